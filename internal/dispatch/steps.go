package dispatch

import "postpoint/internal/clock"

// stepTimer decides when the leader plans and writes next: soon after an event, but not so often
// that heartbeats, renewals and users' requests are left without processor time.
type stepTimer struct {
	*leaderTerm
	step func()

	pending   bool
	notBefore clock.Micros // see taskScheduler.stepCost
	tickedAt  clock.Micros
	// lag is by how much ticks have been late lately.
	lag clock.Micros
}

// wake runs a step soon; what happens until then shares it.
func (st *stepTimer) wake() {
	if st.pending || st.term.Epoch == 0 {
		return
	}
	st.pending = true
	st.inTerm(max(wakeDelay, st.notBefore-st.now()), func() {
		st.pending = false
		st.step()
	})
}

// strained tells that the processor doesn't keep up. What can ride on the answers to
// reports then does: a direct command mostly costs a connection, and once reports are
// answered too late for their workers, these come again and again by new connections,
// until there is less than nothing left for the work itself.
func (st *stepTimer) overloaded() bool { return st.lag > strainedLag }
