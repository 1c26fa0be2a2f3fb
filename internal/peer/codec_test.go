package peer

import (
	"bytes"
	"errors"
	"net"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"postpoint/internal/actor/actortest"
	"postpoint/internal/clock"
	"postpoint/internal/intake"
	"postpoint/internal/settings"
)

func FuzzFrames(f *testing.F) {
	f.Add(frame(encodeRequest(intake.Request{Kind: intake.Show, ID: "job-1"})))
	f.Add(frame(encodeRequest(intake.Request{Kind: intake.Submit, Body: []byte{0x80}})))
	f.Add(frame(encodeAnswer(intake.Answer{Status: 503, RetryS: 1, Body: []byte("x")})))
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	f.Add([]byte{0x70, 0x70, 0x30, 0x31, 0xff, 0xff, 0xff, 0xff, 0})
	f.Fuzz(func(t *testing.T, raw []byte) {
		payload, err := readFrame(bytes.NewReader(raw))
		if err != nil {
			return
		}
		if r, err := decodeRequest(payload); err == nil {
			if !bytes.Equal(encodeRequest(r), payload) {
				t.Fatalf("request %+v", r)
			}
		}
		if a, err := decodeAnswer(payload); err == nil {
			if !bytes.Equal(encodeAnswer(a), payload) {
				t.Fatalf("answer %+v", a)
			}
		}
	})
}

// mustReadRequest reads a request from its whole frame.
func mustReadRequest(t *testing.T, raw []byte) intake.Request {
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

// What a node asks and is answered comes through whole; anything longer than
// its frame may be, or shorter than it says, does not.
func TestFramesComeThrough(t *testing.T) {
	want := intake.Request{Kind: intake.Cancel, ID: "job-000412", Body: []byte{}, Forwarded: true}
	whole := frame(encodeRequest(want))
	got := mustReadRequest(t, whole)
	if d := cmp.Diff(want, got); d != "" {
		t.Fatal(d)
	}
	for cut := range len(whole) {
		if _, err := readFrame(bytes.NewReader(whole[:cut])); err == nil {
			t.Fatalf("%d of %d bytes were taken for a frame", cut, len(whole))
		}
	}
	if _, err := readFrame(bytes.NewReader(frame(make([]byte, maxFrame+1)))); err != errLength {
		t.Fatalf("a frame too long: %v", err)
	}
}

// Frames of the version before, byte for byte: what it asks and answers is understood, and
// it is asked and answered in the same form.
func TestFramesOfTheVersionBefore(t *testing.T) {
	for raw, want := range map[string]intake.Request{
		"pp01\x00\x00\x00\x0d\x02\x00\x0ajob-000412":                 {Kind: intake.Show, ID: "job-000412", Body: []byte{}, Forwarded: true},
		"pp01\x00\x00\x00\x05\x01\x00\x00\x81\xc0":                   {Kind: intake.Submit, Body: []byte("\x81\xc0"), Forwarded: true},
		"pp01\x00\x00\x00\x0b\x04\x00\x00\x00\x00\x00\x00\x00\x0fB@": {Kind: intake.Attest, Body: []byte("\x00\x00\x00\x00\x00\x0fB@"), Forwarded: true},
	} {
		got := mustReadRequest(t, []byte(raw))
		if d := cmp.Diff(want, got); d != "" {
			t.Fatal(d)
		}
		if again := string(frame(encodeRequest(got))); again != raw {
			t.Errorf("asked as %q", again)
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
	if d := cmp.Diff(intake.Answer{Status: 503, RetryS: 1, Body: []byte("err")}, got); d != "" {
		t.Fatal(d)
	}
	if again := string(frame(encodeAnswer(got))); again != raw {
		t.Errorf("answered as %q", again)
	}
	attestation := "\x00\x00\x00\x00\x00\x0fB@\x00\x00\x00\x00\x00\x00\x00\x29\x05job-7\x00\x00\x00\x00\x00\x00\x00\x02"
	a, err := intake.DecodeAttestation([]byte(attestation))
	if err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(intake.Attestation{Age: clock.Second, Epoch: 41, Cancelled: []intake.CancelledJob{{Job: "job-7", Ago: 2}}}, a); d != "" {
		t.Fatal(d)
	}
	if string(a.Encode()) != attestation {
		t.Errorf("vouched for as %q", a.Encode())
	}
}

// Whatever another node or something else sends, the connection is closed with
// a reason and nothing else happens; a request that is one is answered.
func TestServeClosesOnGarbage(t *testing.T) {
	for _, raw := range [][]byte{[]byte("GET / HTTP/1.1\r\n\r\n"), frame(nil), frame([]byte{9, 0, 1, 'x'}), frame([]byte{2, 0xff, 0xff})} {
		here, there := net.Pipe()
		ended := make(chan error, 1)
		go func() {
			ended <- serve(there, nil)
			there.Close()
		}()
		if _, err := here.Write(raw); err != nil && len(raw) <= header {
			t.Fatal(err)
		}
		if err := <-ended; !errors.Is(err, errMagic) && !errors.Is(err, errMalformed) {
			t.Errorf("%q: %v", raw, err)
		}
		here.Close()
	}
}

// All nodes are asked for what they vouch for, this one included; one that can't be
// reached is missed.
func TestEveryoneIsAsked(t *testing.T) {
	quiet := actortest.Instant{Now: clock.Second, Messages: make(chan func())}
	go func() {
		for message := range quiet.Messages {
			message()
		}
	}()
	other := intake.New(quiet, nil, &settings.Settings{}, nil)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if err := serve(c, other); err != nil {
				t.Error(err)
			}
			c.Close()
		}
	}()
	gone, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	gone.Close()
	for _, there := range []bool{true, false} {
		addrs := []string{l.Addr().String()}
		if !there {
			addrs = append(addrs, gone.Addr().String())
		}
		box := actortest.Instant{Now: clock.Second, Messages: make(chan func())}
		own := intake.New(quiet, nil, &settings.Settings{}, nil)
		var all []intake.Attestation
		vouched := false
		NewForwarder(addrs, box).Everyone(own, intake.AttestRequest(clock.Second), func(answers []intake.Answer, ok bool) {
			all, vouched = intake.Attestations(answers, ok)
		})
		(<-box.Messages)()
		if len(all) != 2 || vouched != there {
			t.Fatalf("all there %v: vouched %v, %v", there, vouched, all)
		}
	}
}
