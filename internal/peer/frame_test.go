package peer

import (
	"bytes"
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"

	"postpoint/internal/admission"
)

func FuzzFrames(f *testing.F) {
	f.Add(frame(encodeRequest(admission.Request{Kind: admission.GetStatus, ID: "job-1"})))
	f.Add(frame(encodeRequest(admission.Request{Kind: admission.Submit, Body: []byte{0x80}})))
	f.Add(frame(encodeAnswer(admission.Response{Status: 503, RetryAfterS: 1, Body: []byte("x")})))
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	f.Add([]byte{0x70, 0x70, 0x30, 0x31, 0xff, 0xff, 0xff, 0xff, 0})
	f.Fuzz(func(t *testing.T, raw []byte) {
		payload, err := readFrame(bytes.NewReader(raw))
		if err != nil {
			return
		}
		if r, err := decodeRequest(payload); err == nil {
			if !bytes.Equal(encodeRequest(r), payload) {
				t.Fatalf("request %+v is written as % x, want % x", r, encodeRequest(r), payload)
			}
		}
		if a, err := decodeAnswer(payload); err == nil {
			if !bytes.Equal(encodeAnswer(a), payload) {
				t.Fatalf("answer %+v is written as % x, want % x", a, encodeAnswer(a), payload)
			}
		}
	})
}

// What a node asks and is answered comes through whole; anything longer than its frame may be, or
// shorter than it says, does not.
func TestFramesComeThroughWholeOrNotAtAll(t *testing.T) {
	want := admission.Request{Kind: admission.Cancel, ID: "job-000412", Body: []byte{}, Forwarded: true}
	whole := frame(encodeRequest(want))
	got := mustReadRequest(t, whole)
	if d := cmp.Diff(want, got); d != "" {
		t.Fatalf("request comes through with a difference (-want +got):\n%s", d)
	}
	for cut := range len(whole) {
		if _, err := readFrame(bytes.NewReader(whole[:cut])); err == nil {
			t.Fatalf("%d of %d bytes were taken for a frame, want an error", cut, len(whole))
		}
	}
	tooLong := frame(make([]byte, maxFrameBytes+1))
	if _, err := readFrame(bytes.NewReader(tooLong)); !errors.Is(err, ErrFrameTooLong) {
		t.Fatalf("a frame too long: %v, want %v", err, ErrFrameTooLong)
	}
}
