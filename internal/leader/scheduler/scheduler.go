// Package scheduler passes snapshots to the planner and turns its plans into placements,
// preemptions and scale-outs. Package planner makes the plans as pure functions of the snapshots.
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

	// Plans counts the plans of this term.
	Plans int
}

// New returns a scheduler that uses the given components.
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

// Begin resets the count of plans at the start of a term.
func (s *Scheduler) Begin() { s.Plans = 0 }

// Schedule makes a plan from the current state and proposes its placements and preemptions, which
// take effect once they are committed to the key-value store.
func (s *Scheduler) Schedule() {
	if len(s.catalogue.Types) == 0 {
		return
	}
	s.writer.ShardLargeRecords()
	result := s.planWithCordoned()
	s.applyPlacements(result.plan.Placements)
	s.applyPreemptions(result.plan.Preemptions)
	s.recordUnmetDemand(result.plan.UnmetDemand)
	demand := slices.Concat(result.plan.UnmetDemand, s.fairPriceDemand(&result),
		s.hostedDemand(&result.snapshot))
	s.autoscaler.ScaleOut(demand)
}

// planResult is a plan with the snapshot from which it was made.
type planResult struct {
	snapshot planner.Snapshot
	plan     planner.Plan
}

// planWithCordoned makes a plan, and uncordons machines until the plan has no unmet demand that
// they could meet. The number of machines to uncordon doubles with each further plan, since
// hundreds may be cordoned.
func (s *Scheduler) planWithCordoned() planResult {
	result := s.makePlan()
	machines := 1
	for len(result.plan.UnmetDemand) > 0 && s.autoscaler.Uncordon(result.plan.UnmetDemand, machines) {
		result = s.makePlan()
		machines *= 2
	}
	return result
}

// makePlan makes a plan from the current state.
func (s *Scheduler) makePlan() planResult {
	s.Plans++
	snapshot := s.snapshots.Snapshot()
	return planResult{snapshot: snapshot, plan: planner.MakePlan(snapshot)}
}
