// Package scheduler has plans made from snapshots, and turns them into placements, preemptions and
// scale-outs. The plan itself is package planner's, which is pure.
package scheduler

import (
	"slices"

	"postpoint/internal/leader/autoscaler"
	"postpoint/internal/leader/jobtable"
	"postpoint/internal/leader/machinetable"
	"postpoint/internal/leader/reconciler"
	"postpoint/internal/leader/recordstore"
	"postpoint/internal/leader/snapshots"
	"postpoint/internal/leader/term"
	"postpoint/internal/leader/zonetracker"
	"postpoint/internal/planner"
)

// Scheduler makes plans and turns them into placements, preemptions and scale-outs.
type Scheduler struct {
	*term.State
	jobs       *jobtable.Table
	machines   *machinetable.Table
	catalogue  *machinetable.Catalogue
	writer     *recordstore.Writer
	commands   *reconciler.CommandSender
	autoscaler *autoscaler.Autoscaler
	snapshots  *snapshots.Builder
	zones      *zonetracker.Tracker

	// Plans counts those made in this term.
	Plans int
}

// New returns a scheduler of the given components.
func New(term *term.State, jobs *jobtable.Table, machines *machinetable.Table,
	catalogue *machinetable.Catalogue, writer *recordstore.Writer, commands *reconciler.CommandSender,
	autoscaler *autoscaler.Autoscaler, snapshots *snapshots.Builder, zones *zonetracker.Tracker) *Scheduler {
	return &Scheduler{
		State:      term,
		jobs:       jobs,
		machines:   machines,
		catalogue:  catalogue,
		writer:     writer,
		commands:   commands,
		autoscaler: autoscaler,
		snapshots:  snapshots,
		zones:      zones,
	}
}

// Begin counts the plans of a new term.
func (s *Scheduler) Begin() { s.Plans = 0 }

// Schedule plans from what is known now, and carries the plan out as far as that doesn't need the
// key-value store: placements and preemptions count once they are committed.
func (s *Scheduler) Schedule() {
	if len(s.catalogue.Types) == 0 {
		return
	}
	s.writer.ShardLargeRecords()
	made := s.planWithCordoned()
	s.applyPlacements(made.plan.Placements)
	s.applyPreemptions(made.plan.Preemptions)
	s.noteUnmetDemand(made.plan.UnmetDemand)
	demand := slices.Concat(made.plan.UnmetDemand, s.cheaperCapacity(&made), s.hostedDemand(&made.snapshot))
	s.autoscaler.ScaleOut(demand)
}

// planned is a plan with the snapshot that it was made from.
type planned struct {
	snapshot planner.Snapshot
	plan     planner.Plan
}

// planWithCordoned makes a plan, and uncordons machines until it leaves no demand that they could
// meet. Each further plan has twice as many more machines, since hundreds may be cordoned.
func (s *Scheduler) planWithCordoned() planned {
	made := s.makePlan()
	machines := 1
	for len(made.plan.UnmetDemand) > 0 && s.autoscaler.Uncordon(made.plan.UnmetDemand, machines) {
		made = s.makePlan()
		machines *= 2
	}
	return made
}

// makePlan makes a plan from what is known now.
func (s *Scheduler) makePlan() planned {
	s.Plans++
	snapshot := s.snapshots.Snapshot()
	return planned{snapshot: snapshot, plan: planner.MakePlan(snapshot)}
}
