package peer

import (
	"bytes"
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"

	"postpoint/internal/admission"
)

// Guards against frames that the decoders misread: any payload that decodes encodes to the same bytes.
func FuzzFrames(f *testing.F) {
	f.Add(frame(encodeRequest(admission.Request{Kind: admission.GetStatus, ID: "job-1"})))
	f.Add(frame(encodeRequest(admission.Request{Kind: admission.Submit, Body: []byte{0x80}})))
	f.Add(frame(encodeResponse(admission.Response{Status: 503, RetryAfterS: 1, Body: []byte("x")})))
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	f.Add([]byte{0x70, 0x70, 0x30, 0x31, 0xff, 0xff, 0xff, 0xff, 0})
	f.Fuzz(func(t *testing.T, raw []byte) {
		payload, err := readFrame(bytes.NewReader(raw))
		if err != nil {
			return
		}
		if r, err := decodeRequest(payload); err == nil {
			if !bytes.Equal(encodeRequest(r), payload) {
				t.Fatalf("request %+v encodes to % x, want % x", r, encodeRequest(r), payload)
			}
		}
		if a, err := decodeResponse(payload); err == nil {
			if !bytes.Equal(encodeResponse(a), payload) {
				t.Fatalf("response %+v encodes to % x, want % x", a, encodeResponse(a), payload)
			}
		}
	})
}

// Guards against partial messages: a frame arrives whole, and a frame that is too long or truncated is
// rejected.
func TestFramesArriveWholeOrNotAtAll(t *testing.T) {
	want := admission.Request{Kind: admission.Cancel, ID: "job-000412", Body: []byte{}, Forwarded: true}
	whole := frame(encodeRequest(want))
	got := mustReadRequest(t, whole)
	if d := cmp.Diff(want, got); d != "" {
		t.Fatalf("request differs after decoding (-want +got):\n%s", d)
	}
	for cut := range len(whole) {
		if _, err := readFrame(bytes.NewReader(whole[:cut])); err == nil {
			t.Fatalf("%d of %d bytes were accepted as a frame, want an error", cut, len(whole))
		}
	}
	tooLong := frame(make([]byte, maxFrameBytes+1))
	if _, err := readFrame(bytes.NewReader(tooLong)); !errors.Is(err, ErrFrameTooLong) {
		t.Fatalf("too long frame: %v, want %v", err, ErrFrameTooLong)
	}
}
