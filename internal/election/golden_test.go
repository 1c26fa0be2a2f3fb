package election

import (
	"testing"

	"postpoint/internal/clock"
	"postpoint/internal/goldentest"
	"postpoint/internal/protocol"
	"postpoint/internal/protocol/protocoltest"
)

const goldenHolder = "\x83\xa4node\xa8worker-0\xabincarnation\xa4this\xa5lease\x01"

// The value of the leader's key is the recorded bytes, and is read from them.
func TestGoldenHolder(t *testing.T) {
	h := holder{Node: "worker-0", Incarnation: "this", Lease: 1}
	goldentest.RequireTags(t, "msgpack", h)
	protocoltest.RequireGolden(t, "holder", h, goldenHolder)
}

// A campaign puts the key under a lease, and a leader that resigns deletes it: both as recorded.
func TestGoldenTransactions(t *testing.T) {
	box, store := &manualMailbox{now: clock.Second}, &pendingStore{}
	led := ""
	l := New(box, store, Config{Node: "worker-0", Incarnation: "this", TTL: 4 * clock.Second}, func(Term) {},
		func(leader string) { led = leader })
	l.Start()
	store.keyIsAbsent()
	goldentest.Equal(t, "campaign", protocol.Encode(store.txns[0]),
		"\x82\xa6Guards\x91\x82\xa4Path\xaflead/controller\xa5Stamp\x00\xa6Writes\x91\x83\xa5Write"+
			"\xaflead/controller\xa4Data\x83\xa4node\xa8worker-0\xabincarnation\xa4this\xa5lease\x01\xa6P"+
			"ermit\x01")
	store.commitsAt(300)
	if led != "worker-0" {
		t.Fatalf("led by %q", led)
	}
	l.Resign()
	goldentest.Equal(t, "resignation", protocol.Encode(store.txns[1]),
		"\x82\xa6Guards\x91\x82\xa4Path\xaflead/controller\xa5Stamp\xcd\x01,\xa6Writes\x91\x81\xa6Del"+
			"ete\xaflead/controller")
}

// Another node that stands in the recorded value is named as the leader.
func TestGoldenHolderIsNamed(t *testing.T) {
	box, store := &manualMailbox{now: clock.Second}, &pendingStore{}
	led := ""
	l := New(box, store, Config{Node: "worker-1", Incarnation: "other", TTL: 4 * clock.Second}, func(Term) {},
		func(leader string) { led = leader })
	l.Start()
	store.keyIs([]byte(goldenHolder), 9)
	if led != "worker-0" {
		t.Errorf("led by %q", led)
	}
}
