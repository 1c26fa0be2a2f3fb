package simulation

import (
	"postpoint/internal/clock"
	"postpoint/internal/settings"
)

const (
	groupGuests = "guests = { cpus = 400.0, gpus = 16.0 }"
	groupRules  = `
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

// group is three cells that may all offload tasks to each other.
func group(w *World, guests string, loss float64) *Group {
	var sets []*settings.Settings
	for range 3 {
		sets = append(sets, testSettings())
	}
	return NewGroup(w, sets, testTypes(), guests, groupRules, loss)
}

const (
	// cellJobsPerDay are submitted to the cells of a group, most of them to the first.
	cellJobsPerDay = 60
	// cellFaultsPerDay is how many times faults begin.
	cellFaultsPerDay = 12
	// sharedIDs: jobs of different cells have the same ids.
	sharedIDs = 40
)

// play runs a day of three cells, of which the first is overloaded.
func (g *Group) play() {
	w := g.Cells[0].World
	for _, d := range g.Cells {
		d.WatchService()
	}
	for i := range cellJobsPerDay {
		w.After(w.Between(0, dayLength), func() { g.submit(i % sharedIDs) })
	}
	for range cellFaultsPerDay {
		w.After(w.Between(20*clock.Second, dayLength), func() {
			injectCellFault(g)
			w.After(w.Between(0, faultGap), func() { injectCellFault(g) })
		})
	}
	w.Run(faultsOver)
	for _, d := range g.Cells {
		d.startNodes()
		d.WatchAnswers()
		d.WatchRoom()
	}
	w.Run(dayEnd)
}

// submit submits a job with a number to one of the cells, unless that has one.
func (g *Group) submit(number int) {
	d, w := g.Cells[0], g.Cells[0].World
	if w.chance(0.3) {
		d = g.Cells[w.Rand.IntN(len(g.Cells))]
	}
	s := randomSpec(w, number)
	if d.jobs[s.ID] != nil {
		return
	}
	// A large array would fill its team's quota for long, which WatchRoom doesn't know of.
	s.Team = "open"
	if w.chance(0.3) && s.Tasks < 40 {
		s.Team = "limited"
	}
	j := d.Submit(s, w.Between(5*clock.Second, 60*clock.Second), false)
	if w.chance(0.25) {
		w.After(w.Between(0, 90*clock.Second), func() { d.Cancel(j) })
	}
}
