package peer

import (
	"net"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"postpoint/internal/actor/actortest"
	"postpoint/internal/admission"
	"postpoint/internal/clock"
	"postpoint/internal/delegation"
	"postpoint/internal/goldentest"
)

// Requests of every kind are the recorded frames, and are read from them.
func TestGoldenRequests(t *testing.T) {
	for _, c := range []struct {
		request admission.Request
		frame   string
	}{
		{admission.Request{Kind: admission.Submit, ID: "x", Body: []byte("\x81\xc0"), Forwarded: true},
			"pp01\x00\x00\x00\x06\x01\x00\x01x\x81\xc0"},
		{admission.Request{Kind: admission.GetStatus, ID: "job-000412", Body: []byte{}, Forwarded: true},
			"pp01\x00\x00\x00\x0d\x02\x00\x0ajob-000412"},
		{admission.Request{Kind: admission.Cancel, ID: "job-000412", Body: []byte("b"), Forwarded: true},
			"pp01\x00\x00\x00\x0e\x03\x00\x0ajob-000412b"},
		{admission.Request{Kind: admission.GetAttestation,
			Body: admission.NewAttestationRequest(clock.Second).Body, Forwarded: true},
			"pp01\x00\x00\x00\x0b\x04\x00\x00\x00\x00\x00\x00\x00\x0fB@"},
		{admission.Request{Kind: admission.GetZoneReports, Body: []byte{}, Forwarded: true},
			"pp01\x00\x00\x00\x03\x05\x00\x00"},
	} {
		goldentest.Equal(t, "request", frame(encodeRequest(c.request)), c.frame)
		if d := cmp.Diff(c.request, mustReadRequest(t, []byte(c.frame))); d != "" {
			t.Error(d)
		}
	}
	for _, unknown := range []string{"pp01\x00\x00\x00\x03\x00\x00\x00", "pp01\x00\x00\x00\x03\x06\x00\x00"} {
		payload, err := readFrame(strings.NewReader(unknown))
		if err != nil {
			t.Fatal(err)
		}
		if r, err := decodeRequest(payload); err == nil {
			t.Errorf("a request of kind %d", r.Kind)
		}
	}
}

// Answers are the recorded frames, and are read from them.
func TestGoldenAnswers(t *testing.T) {
	for _, c := range []struct {
		answer admission.Response
		frame  string
	}{
		{admission.Response{Status: 503, RetryAfterS: 300, Body: []byte("\x81\xa5error\xa1x")},
			"pp01\x00\x00\x00\x0d\x01\xf7\x01,\x81\xa5error\xa1x"},
		{admission.Response{Status: 201, Body: []byte{}}, "pp01\x00\x00\x00\x04\x00\xc9\x00\x00"},
	} {
		goldentest.Equal(t, "answer", frame(encodeAnswer(c.answer)), c.frame)
		payload, err := readFrame(strings.NewReader(c.frame))
		if err != nil {
			t.Fatal(err)
		}
		got, err := decodeAnswer(payload)
		if err != nil {
			t.Fatal(err)
		}
		if d := cmp.Diff(c.answer, got); d != "" {
			t.Error(d)
		}
	}
}

// The numbers of the format.
func TestGoldenConstants(t *testing.T) {
	for _, c := range []struct{ constant, want int }{
		{frameMagic, 0x70703031},
		{frameHeaderBytes, 8},
		{maxFrameBytes, 66560},
		{kindExchange, 16},
		{int(admission.Submit), 1},
		{int(admission.GetStatus), 2},
		{int(admission.Cancel), 3},
		{int(admission.GetAttestation), 4},
		{int(admission.GetZoneReports), 5},
	} {
		if c.constant != c.want {
			t.Errorf("%#x, not %#x", c.constant, c.want)
		}
	}
}

const (
	goldenExchangeRequest = "" +
		"pp01\x00\x00\x00S\x10\x01\x00\x04beta\x00\x05alpha\x00\x00\x00\x00\x00\x00\x00)\x00\x00\x00" +
		"\x00\x00\x00\x00\x09\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00" +
		"\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00" +
		"\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00"
	goldenExchangeAnswer = "" +
		"pp01\x00\x00\x00\x19\x01\x01\x00\x00\x00\x01\x00\x00\x00\x00\x00\x00\x00\x09\x02\x00\x00\x00" +
		"\x00\x00\x00\x00\x00\x00\x00"
)

// A report of another cell comes in the recorded frame and is answered with the recorded one.
func TestGoldenExchangeIsServed(t *testing.T) {
	here, there := net.Pipe()
	ended := make(chan error, 1)
	go func() {
		ended <- serveCell(there, &alpha{})
		_ = there.Close()
	}()
	if _, err := here.Write([]byte(goldenExchangeRequest)); err != nil {
		t.Fatal(err)
	}
	payload, err := readFrame(here)
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Equal(t, "answer", frame(payload), goldenExchangeAnswer)
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// A report to another cell leaves in the recorded frame, and its answer is read from the
// recorded one.
func TestGoldenExchangeIsAsked(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	asked := make(chan []byte, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		payload, _ := readFrame(c)
		asked <- frame(payload)
		_, _ = c.Write([]byte(goldenExchangeAnswer))
	}()
	box := actortest.Instant{Messages: make(chan func(), 1)}
	var got delegation.HeartbeatResponse
	answered := false
	report := delegation.Heartbeat{Host: "beta", Origin: "alpha", Epoch: 41, Sequence: 9}
	NewCellClient(box).Exchange(l.Addr().String(), report,
		func(a delegation.HeartbeatResponse, ok bool) { got, answered = a, ok })
	(<-box.Messages)()
	goldentest.Equal(t, "request", <-asked, goldenExchangeRequest)
	want := delegation.HeartbeatResponse{
		Result:     delegation.Processed,
		Directives: []delegation.Directive{{Number: 9, Action: delegation.Close}},
	}
	if d := cmp.Diff(want, got); !answered || d != "" {
		t.Errorf("answered %v: %s", answered, d)
	}
}
