// Package protocoltest has fixtures and checks for the tests of packages that encode messages and records.
package protocoltest

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"postpoint/internal/goldentest"
	"postpoint/internal/protocol"
)

// FullJobSpec returns a submission with every field set.
func FullJobSpec() protocol.JobSpec {
	deadline := 900.0
	return protocol.JobSpec{
		ID:          "job-000412",
		Class:       "train",
		Team:        "vision",
		Shape:       protocol.ShapeArray,
		Priority:    "urgent",
		Tasks:       12,
		Cpus:        8,
		Gpus:        1,
		MemoryGB:    64,
		Image:       "img-07",
		ImageGB:     6.25,
		Types:       []string{"g8"},
		Zone:        "a",
		OneZone:     true,
		Spread:      true,
		Spot:        true,
		EstimateS:   240,
		CheckpointS: 30,
		SaveS:       4,
		DeadlineS:   &deadline,
	}
}

// RequireGolden fails the test unless a value has every field set, encodes to the recorded bytes and decodes
// from them.
func RequireGolden[T any](t testing.TB, name string, value T, recorded string) {
	t.Helper()
	goldentest.RequireFieldsSet(t, name, value)
	goldentest.Equal(t, name, protocol.Encode(value), recorded)
	var decoded T
	if err := protocol.Decode([]byte(recorded), &decoded); err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	if d := cmp.Diff(value, decoded); d != "" {
		t.Errorf("%s: decoded value differs: %s", name, d)
	}
}
