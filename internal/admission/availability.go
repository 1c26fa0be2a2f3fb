package admission

import (
	"postpoint/internal/clock"
	"postpoint/internal/kvstore"
	"postpoint/internal/protocol"
)

const (
	// failureBackoff is how long the store or the other controllers are considered unavailable after a
	// failed request, so that the requests that follow don't wait for a timeout each. It is well below the
	// time that users wait.
	failureBackoff = 1500 * clock.Millisecond
	// probeInterval is the longest time since the store's last response for which a health check doesn't
	// probe the store.
	probeInterval = 2 * clock.Second
	// isolationTimeout is the time without a response of the store or another controller after which this
	// controller is unhealthy. It is longer than a slow response of either.
	isolationTimeout = 6 * clock.Second
	// catalogueTimeout is how long a starting controller waits for the machine types before it becomes
	// ready for the requests that don't need them.
	catalogueTimeout = 10 * clock.Second
	// probeKey is neither a job ID nor a key in the store.
	probeKey = "probe"
)

// availability records whether the store and the other controllers respond to this controller.
type availability struct {
	storeRespondedAt, peerRespondedAt clock.Micros
	// storeDownUntil and peersDownUntil are the times until which the store and the other controllers are
	// considered unavailable.
	storeDownUntil, peersDownUntil clock.Micros
	probing                        bool // a probe of the store or of another controller is in progress
}

// Ready reports whether this controller can handle requests: it knows the machine types or has waited long
// enough for them, and the store or another controller responds to it. A controller that can't reach the
// store still forwards requests to its peers, and in an outage of the store no other controller could serve
// its users better. A controller that can reach neither only makes its users wait.
func (a *Admission) Ready(reply func(bool)) {
	a.mailbox.Post(func() {
		now, availability := a.mailbox.Monotonic(), &a.availability
		if now > availability.storeRespondedAt+probeInterval || now < availability.storeDownUntil {
			a.probe()
		}
		// The monotonic clock starts with the process: a controller has until catalogueTimeout for its
		// first response.
		started := len(a.types) > 0 || now > catalogueTimeout
		lastResponseAt := max(availability.storeRespondedAt, availability.peerRespondedAt, catalogueTimeout)
		reply(started && now < lastResponseAt+isolationTimeout)
	})
}

// probe sends a request to the store, and to another controller if the store doesn't respond.
func (a *Admission) probe() {
	if a.availability.probing {
		return
	}
	a.availability.probing = true
	a.store.Get(probeKey, func(r kvstore.Result[protocol.Item]) {
		if a.recordStoreResult(storeResultOf(r.Err)) {
			a.availability.probing = false
			return
		}
		a.availability.storeDownUntil = a.mailbox.Monotonic() + probeInterval
		a.forward(Request{Kind: GetStatus, ID: probeKey}, func(_ Response, ok bool) {
			a.availability.probing = false
			a.recordPeerResult(ok)
		})
	})
}

// recordStoreResult records a result of the store and reports whether it shows that the store is available to
// this controller.
func (a *Admission) recordStoreResult(r storeResult) bool {
	if !r.showsAvailable() {
		return false
	}
	a.availability.storeRespondedAt = a.mailbox.Monotonic()
	return true
}

// recordPeerResult records whether another controller responded. If none did, this controller forwards
// nothing for failureBackoff.
func (a *Admission) recordPeerResult(responded bool) {
	now := a.mailbox.Monotonic()
	if responded {
		a.availability.peerRespondedAt = now
	} else {
		a.availability.peersDownUntil = now + failureBackoff
	}
}
