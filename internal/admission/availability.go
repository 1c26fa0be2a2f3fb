package admission

import (
	"postpoint/internal/clock"
	"postpoint/internal/kvstore"
	"postpoint/internal/protocol"
)

const (
	// downTime is for how long the store, or the other nodes, are taken not to answer once they
	// haven't: users needn't find out one by one. It is well below the time that they wait.
	downTime = 1500 * clock.Millisecond
	// probeInterval is how long ago the store may have answered for a health check not to ask it.
	probeInterval = 2 * clock.Second
	// isolatedTime is how long neither the store nor another node may have answered for this one to
	// be healthy, longer than a slow response of either takes.
	isolatedTime = 6 * clock.Second
	// catalogueTime is how long a starting node waits for the machine types before it takes
	// requests that don't need them.
	catalogueTime = 10 * clock.Second
	// probeKey is no job and no key of the store.
	probeKey = "probe"
)

// availability notes who answers this node.
type availability struct {
	storeAnsweredAt, peerAnsweredAt clock.Micros
	// storeDownUntil and peersDownUntil are until when they are taken not to answer.
	storeDownUntil, peersDownUntil clock.Micros
	probing                        bool // the store or another node is being asked
}

// Ready reports whether this node can take requests: it knows the machine types or has waited long
// enough for them, and somebody answers it. A node without the store still serves through its
// peers, and in an outage all nodes are alike; one that is left without both only costs its
// users time.
func (in *Admission) Ready(reply func(bool)) {
	in.mailbox.Post(func() {
		now, a := in.mailbox.Monotonic(), &in.availability
		if now > a.storeAnsweredAt+probeInterval || now < a.storeDownUntil {
			in.probe()
		}
		started := len(in.types) > 0 || now > catalogueTime
		lastAnswer := max(a.storeAnsweredAt, a.peerAnsweredAt, catalogueTime)
		reply(started && now < lastAnswer+isolatedTime)
	})
}

// probe asks the store, and if that doesn't answer, another node.
func (in *Admission) probe() {
	if in.availability.probing {
		return
	}
	in.availability.probing = true
	in.store.Get(probeKey, func(r kvstore.Result[protocol.Item]) {
		if in.noteStore(storeResultOf(r.Err)) {
			in.availability.probing = false
			return
		}
		in.availability.storeDownUntil = in.mailbox.Monotonic() + probeInterval
		in.forward(Request{Kind: GetStatus, ID: probeKey}, func(_ Response, ok bool) {
			in.availability.probing = false
			in.notePeers(ok)
		})
	})
}

// noteStore notes a result of the store and returns whether it serves this node.
func (in *Admission) noteStore(r storeResult) bool {
	if !r.served() {
		return false
	}
	in.availability.storeAnsweredAt = in.mailbox.Monotonic()
	return true
}

// notePeers notes whether another node has answered.
func (in *Admission) notePeers(answered bool) {
	now := in.mailbox.Monotonic()
	if answered {
		in.availability.peerAnsweredAt = now
	} else {
		in.availability.peersDownUntil = now + downTime
	}
}
