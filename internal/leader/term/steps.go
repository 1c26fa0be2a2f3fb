package term

import (
	"log/slog"

	"postpoint/internal/clock"
)

// StepTimer decides when the leader plans and writes next: soon after an event, but not so often
// that heartbeats, renewals and users' requests are left without processor time.
type StepTimer struct {
	*State
	Step func()

	Pending   bool
	notBefore clock.Micros // see Builder.PlanningCost
	TickedAt  clock.Micros
	// lag is by how much ticks have been late lately.
	lag clock.Micros
}

const (
	// TickInterval is from one periodic look at everything to the next.
	TickInterval = 500 * clock.Millisecond
	// lateTickThreshold is by how much a tick has to be late to be logged.
	lateTickThreshold = 2 * clock.Second
	// wakeDelay lets events that happen at about the same time share a step.
	wakeDelay = 15 * clock.Millisecond
	// stepShare is the part of the processor that steps may take.
	stepShare = 0.25
	// overloadLag is the lag of ticks beyond which the processor doesn't keep up.
	overloadLag = 300 * clock.Millisecond
)

// NewStepTimer makes a timer whose Step has to be set before it is woken.
func NewStepTimer(term *State) *StepTimer { return &StepTimer{State: term} }

// Begin forgets a step that an earlier term had planned.
func (st *StepTimer) Begin() { st.Pending = false }

// NoteTick measures by how much a periodic tick is late.
func (st *StepTimer) NoteTick() {
	if late := st.Now() - st.TickedAt - TickInterval; st.TickedAt != 0 {
		if late > lateTickThreshold {
			slog.Info("the process stood still or had no processor", "for_s", late.Seconds(), "epoch", st.Term.Epoch)
		}
		st.lag = (st.lag + max(late, 0)) / 2
	}
	st.TickedAt = st.Now()
}

// PauseAfter puts the next step off so that steps of this cost take their share of the processor
// and no more.
func (st *StepTimer) PauseAfter(cost clock.Micros) {
	if cpu := st.Settings.Deployment.MachineLimits.CPU; cpu > 0 {
		st.notBefore = st.Now() + clock.Micros(float64(cost)/(min(cpu, 1)*stepShare))
	}
}

// Wake runs a step soon; what happens until then shares it.
func (st *StepTimer) Wake() {
	if st.Pending || st.Term.Epoch == 0 {
		return
	}
	st.Pending = true
	st.AfterInTerm(max(wakeDelay, st.notBefore-st.Now()), func() {
		st.Pending = false
		st.Step()
	})
}

// Overloaded tells that the processor doesn't keep up. What can ride on the answers to
// reports then does: a direct command mostly costs a connection, and once reports are
// answered too late for their workers, these come again and again by new connections,
// until there is less than nothing left for the work itself.
func (st *StepTimer) Overloaded() bool { return st.lag > overloadLag }
