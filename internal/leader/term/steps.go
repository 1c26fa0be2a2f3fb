package term

import (
	"log/slog"

	"postpoint/internal/clock"
)

// StepTimer decides when the leader plans and writes next: soon after an event, but not so often
// that heartbeats, renewals and users' requests are left without processor time.
type StepTimer struct {
	*State
	// Step plans and writes.
	Step func()

	// Pending reports that a step is scheduled.
	Pending bool
	// notBefore keeps steps to their share of the processor.
	notBefore clock.Micros
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

// NewStepTimer returns a timer whose Step has to be set before it is woken.
func NewStepTimer(state *State) *StepTimer { return &StepTimer{State: state} }

// Begin forgets a step that an earlier term had scheduled.
func (t *StepTimer) Begin() { t.Pending = false }

// NoteTick measures by how much a periodic tick is late.
func (t *StepTimer) NoteTick() {
	if t.TickedAt != 0 {
		t.noteLateness(t.Now() - t.TickedAt - TickInterval)
	}
	t.TickedAt = t.Now()
}

func (t *StepTimer) noteLateness(late clock.Micros) {
	if late > lateTickThreshold {
		slog.Info("the process stood still or had no processor", "for_s", late.Seconds(), "epoch",
			t.Term.Epoch)
	}
	t.lag = (t.lag + max(late, 0)) / 2
}

// PauseAfter puts the next step off so that steps of this cost take their share of the processor
// and no more.
func (t *StepTimer) PauseAfter(cost clock.Micros) {
	if cpu := t.Settings.Deployment.MachineLimits.CPU; cpu > 0 {
		t.notBefore = t.Now() + clock.Micros(float64(cost)/(min(cpu, 1)*stepShare))
	}
}

// Wake schedules a step for soon. What happens until then shares it.
func (t *StepTimer) Wake() {
	if t.Pending || t.Term.Epoch == 0 {
		return
	}
	t.Pending = true
	t.AfterInTerm(max(wakeDelay, t.notBefore-t.Now()), func() {
		t.Pending = false
		t.Step()
	})
}

// Overloaded reports whether the processor doesn't keep up. Commands then go with the responses to
// heartbeats where they can: a direct command mostly costs a connection. Workers whose heartbeats
// are responded to too late come again by new connections, which leaves even less time for the work
// itself.
func (t *StepTimer) Overloaded() bool { return t.lag > overloadLag }
