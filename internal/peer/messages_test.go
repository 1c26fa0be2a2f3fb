package peer

import (
	"bytes"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"postpoint/internal/admission"
	"postpoint/internal/clock"
)

// mustReadRequest decodes a request from its frame.
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

// Guards against an upgrade that breaks the exchange with controllers of the previous version: its frames
// decode, and this version encodes the same messages to the same bytes.
func TestFramesOfPreviousVersion(t *testing.T) {
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
			t.Fatalf("request decodes with a difference (-want +got):\n%s", d)
		}
		if again := string(frame(encodeRequest(got))); again != raw {
			t.Errorf("request encodes to %q, want %q", again, raw)
		}
	}
	raw := "pp01\x00\x00\x00\x07\x01\xf7\x00\x01err"
	payload, err := readFrame(strings.NewReader(raw))
	if err != nil {
		t.Fatal(err)
	}
	got, err := decodeResponse(payload)
	if err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(admission.Response{Status: 503, RetryAfterS: 1, Body: []byte("err")}, got); d != "" {
		t.Fatalf("response decodes with a difference (-want +got):\n%s", d)
	}
	if again := string(frame(encodeResponse(got))); again != raw {
		t.Errorf("response encodes to %q, want %q", again, raw)
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
		t.Fatalf("attestation decodes with a difference (-want +got):\n%s", d)
	}
	if string(a.Encode()) != attestation {
		t.Errorf("attestation encodes to %q, want %q", a.Encode(), attestation)
	}
}
