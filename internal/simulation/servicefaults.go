package simulation

import "postpoint/internal/clock"

const (
	// hardlyServed delays each way of the store so much that responses hardly come in time.
	hardlyServed = 700 * clock.Millisecond
	// lateWriteShare of transactions are executed late during the fault.
	lateWriteShare = 0.3
	// cancelAtEndShare of jobs are cancelled at the moment of their end during the fault.
	cancelAtEndShare = 0.5
	// maxCancelled jobs are cancelled at once.
	maxCancelled = 8
)

func (f *fault) outage(duration clock.Micros) {
	f.d.Store.Outage(true)
	f.w.After(duration, func() { f.d.Store.Outage(false) })
}

func (f *fault) storeOutage() { f.outage(f.duration) }

func (f *fault) cloudOutage() {
	f.d.Cloud.Outage = true
	f.w.After(f.duration, func() { f.d.Cloud.Outage = false })
}

// refuse has the store refuse one controller.
func (f *fault) refuse() {
	n := f.node
	n.State.StoreRefuses = true
	f.w.After(f.duration, func() { n.State.StoreRefuses = false })
}

// refuseBeforeOutage has the store refuse one controller while users cancel jobs through the others, and
// then everybody, for longer than a cancellation may take.
func (f *fault) refuseBeforeOutage() {
	f.refuse()
	cancelRunning(f.d, f.w.Between(1, maxCancelled), 0)
	f.w.After(f.w.Between(0, 3*clock.Second), func() {
		f.outage(f.w.Between(2*clock.Second, 40*clock.Second))
	})
}

// writeLate has the store execute many transactions late, without a response.
func (f *fault) writeLate() {
	before := f.d.Store.LateWrites
	f.d.Store.LateWrites = lateWriteShare
	f.w.After(f.duration, func() { f.d.Store.LateWrites = before })
}

// slowStore has the store respond slowly, to one controller hardly ever in time.
func (f *fault) slowStore() {
	for _, n := range f.d.Nodes {
		n.State.Delay = f.w.Between(100*clock.Millisecond, 500*clock.Millisecond)
	}
	f.node.State.Delay = hardlyServed
	f.w.After(f.duration, func() {
		for _, n := range f.d.Nodes {
			n.State.Delay = 0
		}
	})
}

func (f *fault) cancelAtEnd() {
	f.d.CancelAtEnd = cancelAtEndShare
	f.w.After(f.duration, func() { f.d.CancelAtEnd = 0 })
}

// cancelAndHang has users cancel running jobs while some of their workers hang.
func (f *fault) cancelAndHang() { cancelRunning(f.d, maxCancelled, f.w.Between(0, 60*clock.Second)) }

func (f *fault) sendInvalidRequests() { sendInvalidRequests(f.d) }
