package leadership

import (
	"net/http"
	"testing"

	"postpoint/internal/clock"
	"postpoint/internal/protocol"
	"postpoint/internal/statestore"
)

// hand is a mailbox whose clock and delayed messages the test moves by hand.
type hand struct {
	now   clock.Micros
	later []func()
}

func (h *hand) Steady() clock.Micros                 { return h.now }
func (h *hand) OfDay() clock.Micros                  { return h.now }
func (h *hand) Post(message func())                  { message() }
func (h *hand) After(_ clock.Micros, message func()) { h.later = append(h.later, message) }
func (h *hand) pass(d clock.Micros) {
	h.now += d
	due := h.later
	h.later = nil
	for _, message := range due {
		message()
	}
}

// shelf is a state service that keeps what it is asked until the test answers.
type shelf struct {
	statestore.Store
	leases  int64
	get     func(statestore.Reply[protocol.Item])
	commit  func(statestore.Reply[protocol.TxnAnswer])
	txns    []protocol.Txn
	renewed []int64
}

func (s *shelf) Get(_ string, done func(statestore.Reply[protocol.Item])) { s.get = done }
func (s *shelf) Grant(_ clock.Micros, done func(statestore.Reply[protocol.LeaseAnswer])) {
	s.leases++
	done(statestore.Reply[protocol.LeaseAnswer]{Status: http.StatusOK, Value: protocol.LeaseAnswer{Lease: s.leases}})
}
func (s *shelf) Commit(_ statestore.Use, t protocol.Txn, done func(statestore.Reply[protocol.TxnAnswer])) {
	s.txns, s.commit = append(s.txns, t), done
}
func (s *shelf) Renew(lease int64, _ func(statestore.Reply[protocol.LeaseAnswer])) {
	s.renewed = append(s.renewed, lease)
}
func (s *shelf) Follow(string, int64, clock.Micros, func(statestore.Reply[protocol.FollowAnswer])) {}

// A campaign that was given up and applied late stands under a lease that nobody
// renews: the node that finds its own name there isn't elected by it, but puts a
// new campaign in its place.
func TestLateCampaignElectsNobody(t *testing.T) {
	box, store := &hand{now: clock.Second}, &shelf{}
	var term Term
	l := New(box, store, Config{Node: "n", Incarnation: "this", TTL: 4 * clock.Second}, func(t Term) { term = t }, func(string) {})
	none := statestore.Reply[protocol.Item]{Status: http.StatusNotFound}
	l.Start()
	for range 2 { // the answers of two campaigns are lost
		store.get(none)
		store.commit(statestore.Reply[protocol.TxnAnswer]{})
		box.pass(clock.Second)
	}
	if len(store.txns) != 2 || store.leases != 2 {
		t.Fatalf("%d campaigns under %d leases", len(store.txns), store.leases)
	}
	first := store.txns[0].Changes[0].Value
	store.get(statestore.Reply[protocol.Item]{Status: http.StatusOK, Value: protocol.Item{Key: Key, Value: first, Version: 9}})
	if term.Epoch != 0 || len(store.renewed) > 0 {
		t.Fatalf("elected with epoch %d, renews %v", term.Epoch, store.renewed)
	}
	if len(store.txns) != 3 || store.txns[2].Guards[0].Version != 9 {
		t.Fatalf("campaigns %+v", store.txns)
	}
	// The one under way is still taken for what it is.
	store.commit(statestore.Reply[protocol.TxnAnswer]{})
	box.pass(clock.Second)
	store.get(statestore.Reply[protocol.Item]{Status: http.StatusOK, Value: protocol.Item{Key: Key, Value: store.txns[2].Changes[0].Value, Version: 10}})
	if term.Epoch != 10 || len(store.renewed) != 1 || store.renewed[0] != 3 {
		t.Fatalf("epoch %d, renews %v", term.Epoch, store.renewed)
	}
}
