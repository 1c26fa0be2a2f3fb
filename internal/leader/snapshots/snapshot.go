// Package snapshots builds the planner's view of jobs, machines and teams. The scheduler plans from a
// snapshot, and the autoscaler searches one for surplus machines. Besides cached views and the estimates
// of image pulls, the package changes only one thing: it resets Job.Reclaiming of jobs that have no
// pending tasks.
package snapshots

import (
	"slices"

	"postpoint/internal/cells"
	"postpoint/internal/clock"
	"postpoint/internal/leader/jobtable"
	"postpoint/internal/leader/machinetable"
	"postpoint/internal/leader/objectives"
	"postpoint/internal/leader/reconciler"
	"postpoint/internal/leader/recordstore"
	"postpoint/internal/leader/term"
	"postpoint/internal/leader/zonetracker"
	"postpoint/internal/ordered"
	"postpoint/internal/planner"
)

// Builder builds snapshots of the leader's jobs, machines and teams.
type Builder struct {
	*term.State
	jobs       *jobtable.Table
	machines   *machinetable.Table
	catalogue  *machinetable.Catalogue
	objectives *objectives.Tracker
	writer     *recordstore.Writer
	commands   *reconciler.CommandSender
	zones      *zonetracker.Tracker
	// Directory lists the cells, nil if federation is disabled.
	Directory *cells.Directory

	// LastMachines are the machines of the last snapshot.
	LastMachines []planner.Machine
	// free is the free capacity of these machines, known only if federation is enabled.
	free planner.Resources
}

// New returns a builder that takes snapshots of the given components.
func New(term *term.State, jobs *jobtable.Table, machines *machinetable.Table,
	catalogue *machinetable.Catalogue, objectives *objectives.Tracker, writer *recordstore.Writer,
	commands *reconciler.CommandSender, zones *zonetracker.Tracker) *Builder {
	return &Builder{
		State:      term,
		jobs:       jobs,
		machines:   machines,
		catalogue:  catalogue,
		objectives: objectives,
		writer:     writer,
		commands:   commands,
		zones:      zones,
	}
}

// Snapshot returns the present state. It is valid until the next snapshot is taken.
func (b *Builder) Snapshot() planner.Snapshot {
	now := b.Now()
	s := planner.Snapshot{Teams: b.teams()}
	s.Machines = b.plannedMachines(now)
	overheads := b.overheadsNeeded(s.Teams)
	s.Jobs = make([]planner.Job, 0, len(b.jobs.ByID)+len(b.objectives.Classes))
	for _, j := range ordered.ByKey(b.jobs.ByID) {
		addUsage(s.Teams, j)
		if plannable(j, now) {
			s.Jobs = append(s.Jobs, b.PlannedJob(j, now, overheads))
		}
	}
	b.markWithinGuarantees(&s)
	promoteQuotaLimited(&s)
	s.Jobs = append(s.Jobs, b.expectedArrivals()...)
	s.Jobs = append(s.Jobs, b.heldTaskReserves()...)
	s.Jobs = append(s.Jobs, b.zoneReserves()...)
	MarkOverQuota(&s)
	return s
}

// plannedMachines returns the machines that plans may use. It overwrites the machines of the last
// snapshot, which is no longer valid.
func (b *Builder) plannedMachines(now clock.Micros) []planner.Machine {
	planned := slices.Grow(b.LastMachines[:0], len(b.machines.Ordered))
	for _, m := range b.machines.Ordered {
		if view, usable := b.PlannedMachine(m, now); usable {
			planned = append(planned, view)
		}
	}
	b.LastMachines = planned
	if b.Directory != nil {
		b.free = freeResources(planned)
	}
	return planned
}

// freeResources returns the free capacity of machines, including booting ones.
func freeResources(machines []planner.Machine) planner.Resources {
	var free planner.Resources
	for i := range machines {
		free = free.Plus(machines[i].Free)
	}
	return free
}

// These constants are what each machine, job and placement adds to the cost of a step.
const (
	machineCost   clock.Micros = 1
	jobCost       clock.Micros = 5
	placementCost clock.Micros = 1
)

// PlanningCost returns the estimated cost of a step. The pause after the step is derived from it and
// leaves processor time to heartbeats, renewals and users' requests: a leader that plans without pauses
// on a tenth of a core is late for everything else. The cost is counted, not measured, so that the same
// events always lead to the same decisions.
func (b *Builder) PlanningCost() clock.Micros {
	placements := 0
	for _, j := range b.jobs.ByID {
		placements += len(j.Placements)
	}
	return clock.Micros(len(b.machines.Ordered))*machineCost + clock.Micros(len(b.jobs.ByID))*jobCost +
		clock.Micros(placements)*placementCost
}
