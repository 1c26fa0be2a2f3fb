package peer

import (
	"net"
	"testing"

	"postpoint/internal/actor/actortest"
	"postpoint/internal/admission"
	"postpoint/internal/clock"
	"postpoint/internal/settings"
)

// listen returns a listener that is closed at the end of the test.
func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// serveAll serves all connections until the listener is closed.
func serveAll(t *testing.T, l net.Listener, adm *admission.Admission) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		if err := serve(c, adm); err != nil {
			t.Error(err)
		}
		c.Close()
	}
}

// Guards against a set of attestations that counts as complete although a node is missing. AskAll asks all
// nodes, including this one, and reports when one is unreachable.
func TestAskAllReportsMissingNodes(t *testing.T) {
	instant := actortest.ChannelMailbox{Now: clock.Second, Messages: make(chan func())}
	go func() {
		for message := range instant.Messages {
			message()
		}
	}()
	l := listen(t)
	go serveAll(t, l, admission.New(instant, nil, &settings.Settings{}, nil))
	unreachable := listen(t)
	unreachable.Close()
	for _, allReachable := range []bool{true, false} {
		addresses := []string{l.Addr().String()}
		if !allReachable {
			addresses = append(addresses, unreachable.Addr().String())
		}
		mailbox := actortest.ChannelMailbox{Now: clock.Second, Messages: make(chan func())}
		own := admission.New(instant, nil, &settings.Settings{}, nil)
		var all []admission.Attestation
		complete := false
		request := admission.NewAttestationRequest(clock.Second)
		NewForwarder(addresses, mailbox).AskAll(own, request, func(responses []admission.Response, ok bool) {
			all, complete = admission.DecodeAttestations(responses, ok)
		})
		(<-mailbox.Messages)()
		if len(all) != 2 || complete != allReachable {
			t.Fatalf("all reachable %v: complete %v, %v, want the same completeness and two attestations",
				allReachable, complete, all)
		}
	}
}
