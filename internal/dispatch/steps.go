package dispatch

import (
	"log/slog"

	"postpoint/internal/clock"
)

// stepTimer decides when the leader plans and writes next: soon after an event, but not so often
// that heartbeats, renewals and users' requests are left without processor time.
type stepTimer struct {
	*leaderTerm
	step func()

	pending   bool
	notBefore clock.Micros // see snapshotBuilder.planningCost
	tickedAt  clock.Micros
	// lag is by how much ticks have been late lately.
	lag clock.Micros
}

const (
	tickTime = 500 * clock.Millisecond
	// lateTick is by how much a tick has to be late to be logged.
	lateTick = 2 * clock.Second
	// wakeDelay lets events that happen at about the same time share a step.
	wakeDelay = 15 * clock.Millisecond
	// stepShare is the part of the processor that steps may take.
	stepShare = 0.25
	// strainedLag is the lag of ticks beyond which the processor doesn't keep up.
	strainedLag = 300 * clock.Millisecond
)

func newStepTimer(term *leaderTerm) *stepTimer { return &stepTimer{leaderTerm: term} }

// begin forgets a step that an earlier term had planned.
func (st *stepTimer) begin() { st.pending = false }

// noteTick measures by how much a periodic tick is late.
func (st *stepTimer) noteTick() {
	if late := st.now() - st.tickedAt - tickTime; st.tickedAt != 0 {
		if late > lateTick {
			slog.Info("the process stood still or had no processor", "for_s", late.Seconds(), "epoch", st.term.Epoch)
		}
		st.lag = (st.lag + max(late, 0)) / 2
	}
	st.tickedAt = st.now()
}

// pauseAfter puts the next step off so that steps of this cost take their share of the processor
// and no more.
func (st *stepTimer) pauseAfter(cost clock.Micros) {
	if cpu := st.settings.Deployment.MachineLimits.CPU; cpu > 0 {
		st.notBefore = st.now() + clock.Micros(float64(cost)/(min(cpu, 1)*stepShare))
	}
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
