package term

import (
	"log/slog"

	"postpoint/internal/clock"
)

// StepTimer decides when the leader plans and writes next: soon after an event, but rarely enough
// that heartbeats, lease renewals and users' requests get processor time.
type StepTimer struct {
	*State
	// Step plans and writes.
	Step func()

	// Pending reports that a step is scheduled.
	Pending bool
	// notBefore is the earliest time of the next step, which keeps steps within stepShare.
	notBefore clock.Micros
	// TickedAt is when the last periodic tick ran, 0 before the first one.
	TickedAt clock.Micros
	// lag is a moving average of how late recent ticks were.
	lag clock.Micros
}

const (
	// TickInterval is the time between two periodic ticks.
	TickInterval = 500 * clock.Millisecond
	// lateTickThreshold is the lateness beyond which a tick is logged.
	lateTickThreshold = 2 * clock.Second
	// wakeDelay lets events that happen at about the same time share a step.
	wakeDelay = 15 * clock.Millisecond
	// stepShare is the fraction of the processor that steps may use.
	stepShare = 0.25
	// overloadLag is the lag of ticks beyond which the process counts as overloaded.
	overloadLag = 300 * clock.Millisecond
)

// NewStepTimer returns a timer. Its Step must be set before the first call of Wake.
func NewStepTimer(state *State) *StepTimer { return &StepTimer{State: state} }

// Begin forgets a step that was scheduled in an earlier term.
func (t *StepTimer) Begin() { t.Pending = false }

// RecordTick measures how late a periodic tick is.
func (t *StepTimer) RecordTick() {
	if t.TickedAt != 0 {
		t.recordLateness(t.Now() - t.TickedAt - TickInterval)
	}
	t.TickedAt = t.Now()
}

// recordLateness logs a very late tick and updates the lag.
func (t *StepTimer) recordLateness(late clock.Micros) {
	if late > lateTickThreshold {
		slog.Info("process was suspended or had no processor time", "for_s", late.Seconds(), "epoch",
			t.Term.Epoch)
	}
	t.lag = (t.lag + max(late, 0)) / 2
}

// PauseAfter delays the next step so that steps of this cost don't exceed their share of the
// processor.
func (t *StepTimer) PauseAfter(cost clock.Micros) {
	if cpu := t.Settings.Deployment.MachineLimits.CPU; cpu > 0 {
		t.notBefore = t.Now() + clock.Micros(float64(cost)/(min(cpu, 1)*stepShare))
	}
}

// Wake schedules a step soon. Further events until then share this step.
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

// Overloaded reports whether the processor can't keep up. Commands are then sent with the responses
// to heartbeats where possible, since a direct command usually costs a connection. Workers that get
// their responses too late reconnect, which leaves even less processor time for the work itself.
func (t *StepTimer) Overloaded() bool { return t.lag > overloadLag }
