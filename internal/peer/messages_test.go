package peer

import (
	"bytes"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"postpoint/internal/admission"
	"postpoint/internal/clock"
)

// mustReadRequest reads a request from its whole frame.
func mustReadRequest(t *testing.T, raw []byte) admission.Request {
	t.Helper()
	payload, err := readFrame(bytes.NewReader(raw))
	if err != nil {
		t.Fatal(err)
	}
	r, err := decodeRequest(payload)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// Frames of the version before, byte for byte: what it asks and answers is understood, and it is
// asked and answered in the same form.
func TestFramesOfTheVersionBefore(t *testing.T) {
	second := []byte("\x00\x00\x00\x00\x00\x0fB@")
	for raw, want := range map[string]admission.Request{
		"pp01\x00\x00\x00\x0d\x02\x00\x0ajob-000412": {
			Kind: admission.GetStatus, ID: "job-000412", Body: []byte{}, Forwarded: true},
		"pp01\x00\x00\x00\x05\x01\x00\x00\x81\xc0": {
			Kind: admission.Submit, Body: []byte("\x81\xc0"), Forwarded: true},
		"pp01\x00\x00\x00\x0b\x04\x00\x00\x00\x00\x00\x00\x00\x0fB@": {
			Kind: admission.GetAttestation, Body: second, Forwarded: true},
	} {
		got := mustReadRequest(t, []byte(raw))
		if d := cmp.Diff(want, got); d != "" {
			t.Fatalf("request read with a difference (-want +got):\n%s", d)
		}
		if again := string(frame(encodeRequest(got))); again != raw {
			t.Errorf("asked as %q, want %q", again, raw)
		}
	}
	raw := "pp01\x00\x00\x00\x07\x01\xf7\x00\x01err"
	payload, err := readFrame(strings.NewReader(raw))
	if err != nil {
		t.Fatal(err)
	}
	got, err := decodeAnswer(payload)
	if err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(admission.Response{Status: 503, RetryAfterS: 1, Body: []byte("err")}, got); d != "" {
		t.Fatalf("answer read with a difference (-want +got):\n%s", d)
	}
	if again := string(frame(encodeAnswer(got))); again != raw {
		t.Errorf("answered as %q, want %q", again, raw)
	}
	attestation := string(second) +
		"\x00\x00\x00\x00\x00\x00\x00\x29\x05job-7\x00\x00\x00\x00\x00\x00\x00\x02"
	a, err := admission.DecodeAttestation([]byte(attestation))
	if err != nil {
		t.Fatal(err)
	}
	want := admission.Attestation{Age: clock.Second, Epoch: 41,
		Cancelled: []admission.CancelledJob{{Job: "job-7", Age: 2}}}
	if d := cmp.Diff(want, a); d != "" {
		t.Fatalf("attestation read with a difference (-want +got):\n%s", d)
	}
	if string(a.Encode()) != attestation {
		t.Errorf("vouched for as %q, want %q", a.Encode(), attestation)
	}
}
