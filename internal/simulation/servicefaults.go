package simulation

import "postpoint/internal/clock"

const (
	// nearTimeoutDelay delays requests to the store and responses so much that responses hardly ever arrive
	// before the client's timeout.
	nearTimeoutDelay = 700 * clock.Millisecond
	// maxPeerDelay is the longest additional delay of a message between controllers. A request and its
	// response mostly still arrive in time.
	maxPeerDelay = 450 * clock.Millisecond
	// lateWriteChance is the chance that the store executes a transaction late during the fault.
	lateWriteChance = 0.3
	// cancelAtEndChance is the chance that a user cancels a job at the moment of its end during the fault.
	cancelAtEndChance = 0.5
	// maxCancelled is how many jobs users cancel at once, at most.
	maxCancelled = 8
)

// outage makes the store reject all requests for a time.
func (f *fault) outage(duration clock.Micros) {
	f.d.Store.SetOutage(true)
	f.w.After(duration, func() { f.d.Store.SetOutage(false) })
}

// storeOutage makes the store reject all requests until the fault ends.
func (f *fault) storeOutage() { f.outage(f.duration) }

// cloudOutage makes the cloud reject all requests until the fault ends.
func (f *fault) cloudOutage() {
	f.d.Cloud.Outage = true
	f.w.After(f.duration, func() { f.d.Cloud.Outage = false })
}

// rejectNode makes the store reject all requests of one controller.
func (f *fault) rejectNode() {
	n := f.node
	n.StoreLink.StoreRejects = true
	f.w.After(f.duration, func() { n.StoreLink.StoreRejects = false })
}

// rejectNodeBeforeOutage makes the store reject one controller while users cancel jobs through the others.
// Soon afterwards the store rejects all controllers, perhaps for longer than a cancellation may take. The
// controllers may be slow to reach each other meanwhile.
func (f *fault) rejectNodeBeforeOutage() {
	f.rejectNode()
	if f.w.chance(0.5) {
		f.slowPeers()
	}
	cancelRunning(f.d, f.w.Between(1, maxCancelled), 0)
	f.w.After(f.w.Between(0, 3*clock.Second), func() {
		f.outage(f.w.Between(2*clock.Second, 40*clock.Second))
	})
}

// delayWrites makes the store execute many transactions late and without a response.
func (f *fault) delayWrites() {
	before := f.d.Store.LateWriteChance
	f.d.Store.LateWriteChance = lateWriteChance
	f.w.After(f.duration, func() { f.d.Store.LateWriteChance = before })
}

// slowStore delays the requests of all controllers to the store, those of one controller so much that it
// hardly ever gets a response in time.
func (f *fault) slowStore() {
	for _, n := range f.d.Nodes {
		n.StoreLink.Delay = f.w.Between(100*clock.Millisecond, 500*clock.Millisecond)
	}
	f.node.StoreLink.Delay = nearTimeoutDelay
	f.w.After(f.duration, func() {
		for _, n := range f.d.Nodes {
			n.StoreLink.Delay = 0
		}
	})
}

// slowPeers delays the messages between controllers.
func (f *fault) slowPeers() {
	for _, n := range f.d.Nodes {
		n.PeerLink.Delay = f.w.Between(0, maxPeerDelay)
	}
	f.w.After(f.duration, func() {
		for _, n := range f.d.Nodes {
			n.PeerLink.Delay = 0
		}
	})
}

// cancelAtEnd makes users cancel many jobs at the moment of their end.
func (f *fault) cancelAtEnd() {
	f.d.CancelAtEndChance = cancelAtEndChance
	f.w.After(f.duration, func() { f.d.CancelAtEndChance = 0 })
}

// cancelAndHang makes users cancel running jobs while some of their workers hang.
func (f *fault) cancelAndHang() { cancelRunning(f.d, maxCancelled, f.w.Between(0, 60*clock.Second)) }

// sendInvalidRequests makes users send repeated and invalid requests.
func (f *fault) sendInvalidRequests() { sendInvalidRequests(f.d) }
