package simulation

import (
	"postpoint/internal/clock"
	"postpoint/internal/settings"
)

const (
	// defaultHostedLimits is the part of each cell's entry in the cells file that limits hosted jobs.
	defaultHostedLimits = "guests = { cpus = 400.0, gpus = 16.0 }"
	// offloadRules lets each of the three cells offload tasks to the two others.
	offloadRules = `
[[spill]]
from = "alpha"
to = ["beta", "gamma"]
[[spill]]
from = "beta"
to = ["alpha", "gamma"]
[[spill]]
from = "gamma"
to = ["alpha", "beta"]
`
)

// newThreeCells starts three cells that may all offload tasks to each other.
func newThreeCells(w *World, hostedLimits string, loss float64) *Group {
	var configs []*settings.Settings
	for range 3 {
		configs = append(configs, testSettings())
	}
	return NewGroup(w, configs, testTypes(), hostedLimits, offloadRules, loss)
}

const (
	// cellJobsPerDay is how many jobs users submit to the cells of a group, most of them to the first.
	cellJobsPerDay = 60
	// cellFaultsPerDay is how many times faults begin.
	cellFaultsPerDay = 12
	// jobIDCount is the number of different job ids. It is less than cellJobsPerDay, so that some jobs of
	// different cells have the same id.
	jobIDCount = 40
)

// simulateDay simulates a day of three cells, of which the first is overloaded.
func (g *Group) simulateDay() {
	w := g.Cells[0].World
	for _, d := range g.Cells {
		d.MonitorDisturbances()
	}
	for i := range cellJobsPerDay {
		w.After(w.Between(0, dayLength), func() { g.submit(i % jobIDCount) })
	}
	for range cellFaultsPerDay {
		w.After(w.Between(20*clock.Second, dayLength), func() {
			injectCellFault(g)
			w.After(w.Between(0, faultGap), func() { injectCellFault(g) })
		})
	}
	w.Run(faultsEnd)
	for _, d := range g.Cells {
		d.startNodes()
		d.MonitorResponses()
		d.MonitorWaitingJobs()
	}
	w.Run(dayEnd)
}

// submit submits the job with a number to one of the cells, unless that cell already has a job with its id.
func (g *Group) submit(number int) {
	d, w := g.Cells[0], g.Cells[0].World
	if w.chance(0.3) {
		d = g.Cells[w.Rand.IntN(len(g.Cells))]
	}
	s := randomSpec(w, number)
	if d.jobs[s.ID] != nil {
		return
	}
	// A large array would use up its team's quota for long, and MonitorWaitingJobs doesn't account for that.
	s.Team = "open"
	if w.chance(0.3) && s.Tasks < 40 {
		s.Team = "limited"
	}
	j := d.Submit(s, w.Between(5*clock.Second, 60*clock.Second), false)
	if w.chance(0.25) {
		w.After(w.Between(0, 90*clock.Second), func() { d.Cancel(j) })
	}
}
