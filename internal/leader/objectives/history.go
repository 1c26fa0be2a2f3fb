package objectives

import (
	"slices"

	"postpoint/internal/clock"
	"postpoint/internal/leader/machinetable"
	"postpoint/internal/protocol"
)

const (
	// ArrivalWindow is the period over which the arrivals of a class are counted.
	ArrivalWindow = 60 * clock.Second
	// The averages of run times are exponential moving averages. The weight of one run is
	// classRunWeight in the average of its class, which has many runs, and machineRunWeight in the
	// average of its machine, which has few runs and may change.
	classRunWeight   = 0.1
	machineRunWeight = 0.3
)

// ClassHistory holds the last job specification, the recent arrivals and the run times of a class
// of jobs.
type ClassHistory struct {
	Spec protocol.JobSpec
	// LastAt is when the last job of the class arrived.
	LastAt clock.Micros
	// Arrivals are the arrivals within the last ArrivalWindow.
	Arrivals []Arrival
	// runTimeRatio is the average ratio of run times to the users' estimates, 0 before the first
	// run.
	runTimeRatio float64
}

// Arrival is the submission of a job.
type Arrival struct {
	At    clock.Micros
	Tasks int
}

// RecordArrival records a submission, which predicts more jobs of its class.
func (t *Tracker) RecordArrival(spec *protocol.JobSpec) {
	history := t.Classes[spec.Class]
	history.Spec, history.LastAt = *spec, t.Now()
	history.Arrivals = slices.DeleteFunc(history.Arrivals, func(a Arrival) bool {
		return a.At < history.LastAt-ArrivalWindow
	})
	history.Arrivals = append(history.Arrivals, Arrival{At: history.LastAt, Tasks: spec.Tasks})
	t.Classes[spec.Class] = history
}

// RecordRun learns from a completed run how fast a machine is compared with others. The users'
// estimates only make runs comparable: an error that all estimates of a class have in common is part
// of the class's average too, and cancels out.
func (t *Tracker) RecordRun(m *machinetable.Machine, spec *protocol.JobSpec, runTime clock.Micros) {
	history, known := t.Classes[spec.Class]
	if !known || spec.EstimateS <= 0 || runTime <= 0 {
		return
	}
	classRatio := history.addRun(runTime.Seconds() / spec.EstimateS)
	t.Classes[spec.Class] = history
	addMachineRun(m, classRatio)
}

// addRun adds the ratio of a run time to its estimate to the class's average, and returns the
// ratio of this value to the previous average.
func (h *ClassHistory) addRun(estimateRatio float64) float64 {
	if h.runTimeRatio == 0 {
		h.runTimeRatio = estimateRatio
	}
	classRatio := estimateRatio / h.runTimeRatio
	h.runTimeRatio += classRunWeight * (estimateRatio - h.runTimeRatio)
	return classRatio
}

// addMachineRun adds the ratio of a run to its class's average to the average of its machine.
func addMachineRun(m *machinetable.Machine, classRatio float64) {
	if m.RunTimeSamples == 0 {
		m.RelativeRunTime = 1
	}
	m.RunTimeSamples++
	m.ViewStale = true
	m.RelativeRunTime += machineRunWeight * (classRatio - m.RelativeRunTime)
}
