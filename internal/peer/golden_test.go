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

// Requests of every kind encode to the recorded frames and decode from them.
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
			t.Errorf("a request of the unknown kind %d is decoded, want an error", r.Kind)
		}
	}
}

// Responses encode to the recorded frames and decode from them.
func TestGoldenResponses(t *testing.T) {
	for _, c := range []struct {
		response admission.Response
		frame    string
	}{
		{admission.Response{Status: 503, RetryAfterS: 300, Body: []byte("\x81\xa5error\xa1x")},
			"pp01\x00\x00\x00\x0d\x01\xf7\x01,\x81\xa5error\xa1x"},
		{admission.Response{Status: 201, Body: []byte{}}, "pp01\x00\x00\x00\x04\x00\xc9\x00\x00"},
	} {
		goldentest.Equal(t, "response", frame(encodeResponse(c.response)), c.frame)
		payload, err := readFrame(strings.NewReader(c.frame))
		if err != nil {
			t.Fatal(err)
		}
		got, err := decodeResponse(payload)
		if err != nil {
			t.Fatal(err)
		}
		if d := cmp.Diff(c.response, got); d != "" {
			t.Error(d)
		}
	}
}

// The constants of the format have the recorded values.
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
			t.Errorf("constant is %#x, want %#x", c.constant, c.want)
		}
	}
}

const (
	goldenExchangeRequest = "" +
		"pp01\x00\x00\x00S\x10\x01\x00\x04beta\x00\x05alpha\x00\x00\x00\x00\x00\x00\x00)\x00\x00\x00" +
		"\x00\x00\x00\x00\x09\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00" +
		"\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00" +
		"\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00"
	goldenExchangeResponse = "" +
		"pp01\x00\x00\x00\x19\x01\x01\x00\x00\x00\x01\x00\x00\x00\x00\x00\x00\x00\x09\x02\x00\x00\x00" +
		"\x00\x00\x00\x00\x00\x00\x00"
)

// The server responds to the recorded heartbeat frame of another cell with the recorded frame.
func TestGoldenExchangeIsServed(t *testing.T) {
	here, there := net.Pipe()
	ended := make(chan error, 1)
	go func() {
		ended <- serveCell(there, &alphaLeader{})
		_ = there.Close()
	}()
	if _, err := here.Write([]byte(goldenExchangeRequest)); err != nil {
		t.Fatal(err)
	}
	payload, err := readFrame(here)
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Equal(t, "response", frame(payload), goldenExchangeResponse)
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// The client sends a heartbeat to another cell in the recorded frame and decodes the recorded response.
func TestGoldenExchangeIsSent(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	sent := make(chan []byte, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		payload, _ := readFrame(c)
		sent <- frame(payload)
		_, _ = c.Write([]byte(goldenExchangeResponse))
	}()
	mailbox := actortest.ChannelMailbox{Messages: make(chan func(), 1)}
	var got delegation.HeartbeatResponse
	responded := false
	heartbeat := delegation.Heartbeat{Host: "beta", Origin: "alpha", Epoch: 41, Sequence: 9}
	NewCellClient(mailbox).Exchange(l.Addr().String(), heartbeat,
		func(response delegation.HeartbeatResponse, ok bool) { got, responded = response, ok })
	(<-mailbox.Messages)()
	goldentest.Equal(t, "request", <-sent, goldenExchangeRequest)
	want := delegation.HeartbeatResponse{
		Result:     delegation.Processed,
		Directives: []delegation.Directive{{Number: 9, Action: delegation.Close}},
	}
	if d := cmp.Diff(want, got); !responded || d != "" {
		t.Errorf("responded %v, want true; response differs (-want +got):\n%s", responded, d)
	}
}
