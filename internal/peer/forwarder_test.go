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

// serveAll answers the requests of all connections until the listener is closed.
func serveAll(t *testing.T, l net.Listener, in *admission.Admission) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		if err := serve(c, in); err != nil {
			t.Error(err)
		}
		c.Close()
	}
}

// All nodes are asked for what they vouch for, this one included; one that can't be reached is
// missed.
func TestEveryoneIsAsked(t *testing.T) {
	quiet := actortest.Instant{Now: clock.Second, Messages: make(chan func())}
	go func() {
		for message := range quiet.Messages {
			message()
		}
	}()
	l := listen(t)
	go serveAll(t, l, admission.New(quiet, nil, &settings.Settings{}, nil))
	gone := listen(t)
	gone.Close()
	for _, allThere := range []bool{true, false} {
		addresses := []string{l.Addr().String()}
		if !allThere {
			addresses = append(addresses, gone.Addr().String())
		}
		box := actortest.Instant{Now: clock.Second, Messages: make(chan func())}
		own := admission.New(quiet, nil, &settings.Settings{}, nil)
		var all []admission.Attestation
		vouched := false
		request := admission.NewAttestationRequest(clock.Second)
		NewForwarder(addresses, box).AskAll(own, request, func(answers []admission.Response, ok bool) {
			all, vouched = admission.DecodeAttestations(answers, ok)
		})
		(<-box.Messages)()
		if len(all) != 2 || vouched != allThere {
			t.Fatalf("all there %v: vouched %v, %v, want that vouched, by two nodes", allThere, vouched, all)
		}
	}
}
