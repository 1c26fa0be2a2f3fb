package election

import (
	"testing"

	"postpoint/internal/clock"
	"postpoint/internal/goldentest"
	"postpoint/internal/protocol"
	"postpoint/internal/protocol/protocoltest"
)

const goldenHolder = "\x83\xa4node\xa8worker-0\xabincarnation\xa4this\xa5lease\x01"

// The value of the leader's key encodes to the recorded bytes and decodes from them.
func TestGoldenHolder(t *testing.T) {
	h := holder{Node: "worker-0", Incarnation: "this", Lease: 1}
	goldentest.RequireTags(t, "msgpack", h)
	protocoltest.RequireGolden(t, "holder", h, goldenHolder)
}

// A campaign puts the key under a lease, and a resignation deletes it, both with the recorded bytes.
func TestGoldenTransactions(t *testing.T) {
	mailbox, store := &manualMailbox{now: clock.Second}, &pendingStore{}
	announced := ""
	candidate := New(mailbox, store,
		Config{Node: "worker-0", Incarnation: "this", TTL: 4 * clock.Second},
		func(Term) {}, func(leader string) { announced = leader })
	candidate.Start()
	store.keyIsAbsent()
	goldentest.Equal(t, "campaign", protocol.Encode(store.txns[0]),
		"\x82\xa6Guards\x91\x82\xa4Path\xaflead/controller\xa5Stamp\x00\xa6Writes\x91\x83\xa5Write"+
			"\xaflead/controller\xa4Data\x83\xa4node\xa8worker-0\xabincarnation\xa4this\xa5lease\x01\xa6P"+
			"ermit\x01")
	store.commitsAt(300)
	if announced != "worker-0" {
		t.Fatalf("announced leader %q, expected worker-0", announced)
	}
	candidate.Resign()
	goldentest.Equal(t, "resignation", protocol.Encode(store.txns[1]),
		"\x82\xa6Guards\x91\x82\xa4Path\xaflead/controller\xa5Stamp\xcd\x01,\xa6Writes\x91\x81\xa6Del"+
			"ete\xaflead/controller")
}

// A candidate announces the controller that the recorded value names as the leader.
func TestGoldenHolderIsNamed(t *testing.T) {
	mailbox, store := &manualMailbox{now: clock.Second}, &pendingStore{}
	announced := ""
	candidate := New(mailbox, store,
		Config{Node: "worker-1", Incarnation: "other", TTL: 4 * clock.Second},
		func(Term) {}, func(leader string) { announced = leader })
	candidate.Start()
	store.keyIs([]byte(goldenHolder), 9)
	if announced != "worker-0" {
		t.Errorf("announced leader %q, expected worker-0", announced)
	}
}
