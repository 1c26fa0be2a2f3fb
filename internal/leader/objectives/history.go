package objectives

import (
	"slices"

	"postpoint/internal/clock"
	"postpoint/internal/leader/machinetable"
	"postpoint/internal/protocol"
)

const (
	// ArrivalWindow is the time over which the arrivals of a class are counted.
	ArrivalWindow = 60 * clock.Second
	// The averages of run times are exponential. One run counts for classRunWeight in that of its
	// class, which has many runs, and for machineRunWeight in that of its machine, which has few and
	// may change.
	classRunWeight   = 0.1
	machineRunWeight = 0.3
)

// ClassHistory is what a class of jobs was last seen to need.
type ClassHistory struct {
	Spec   protocol.JobSpec
	LastAt clock.Micros
	// Arrivals are those of the last ArrivalWindow.
	Arrivals []Arrival
	// pace is the average ratio of run times to the owners' estimates, 0 before the first run.
	pace float64
}

// Arrival is a job that was submitted.
type Arrival struct {
	At    clock.Micros
	Tasks int
}

// NoteArrival notes a submission, from which more jobs of its class are expected.
func (t *Tracker) NoteArrival(spec *protocol.JobSpec) {
	history := t.Classes[spec.Class]
	history.Spec, history.LastAt = *spec, t.Now()
	history.Arrivals = slices.DeleteFunc(history.Arrivals, func(a Arrival) bool {
		return a.At < history.LastAt-ArrivalWindow
	})
	history.Arrivals = append(history.Arrivals, Arrival{At: history.LastAt, Tasks: spec.Tasks})
	t.Classes[spec.Class] = history
}

// NoteRun learns from a completed run how fast a machine is beside others. The owners' estimates
// only make runs comparable: what all of them get wrong is in the average of the class.
func (t *Tracker) NoteRun(m *machinetable.Machine, spec *protocol.JobSpec, ran clock.Micros) {
	history, known := t.Classes[spec.Class]
	if !known || spec.EstimateS <= 0 || ran <= 0 {
		return
	}
	toClass := history.noteRun(ran.Seconds() / spec.EstimateS)
	t.Classes[spec.Class] = history
	noteMachineRun(m, toClass)
}

// noteRun adds a run's ratio to the class's average, and returns the run's ratio to the average before.
func (h *ClassHistory) noteRun(toEstimate float64) float64 {
	if h.pace == 0 {
		h.pace = toEstimate
	}
	toClass := toEstimate / h.pace
	h.pace += classRunWeight * (toEstimate - h.pace)
	return toClass
}

// noteMachineRun adds a run's ratio to its class's average to the average of its machine.
func noteMachineRun(m *machinetable.Machine, toClass float64) {
	if m.PaceRuns == 0 {
		m.Pace = 1
	}
	m.PaceRuns++
	m.ViewStale = true
	m.Pace += machineRunWeight * (toClass - m.Pace)
}
