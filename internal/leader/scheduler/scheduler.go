// Package scheduler has plans made from snapshots, and turns them into placements, preemptions and
// scale-outs. The plan itself is package planner's, which is pure.
package scheduler

import (
	"log/slog"
	"math"
	"slices"
	"strings"

	"postpoint/internal/clock"
	"postpoint/internal/fleet"
	"postpoint/internal/leader/autoscaler"
	"postpoint/internal/leader/jobtable"
	"postpoint/internal/leader/machinetable"
	"postpoint/internal/leader/reconciler"
	"postpoint/internal/leader/recordstore"
	"postpoint/internal/leader/snapshots"
	"postpoint/internal/leader/term"
	"postpoint/internal/leader/zonetracker"
	"postpoint/internal/ledger"
	"postpoint/internal/planner"
)

// Scheduler makes plans and turns them into placements, preemptions and rentals.
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

	Plans int // made in this term
}

// New makes a scheduler of the given components.
func New(term *term.State, jobs *jobtable.Table, machines *machinetable.Table, catalogue *machinetable.Catalogue,
	writer *recordstore.Writer, commands *reconciler.CommandSender, autoscaler *autoscaler.Autoscaler, snapshots *snapshots.Builder,
	zones *zonetracker.Tracker) *Scheduler {
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
func (ts *Scheduler) Begin() { ts.Plans = 0 }

// Schedule plans from what is known now and turns the plan into proposals.
func (ts *Scheduler) Schedule() {
	if len(ts.catalogue.Types) == 0 {
		return
	}
	ts.writer.ShardLargeRecords()
	snapshot, plan := ts.makePlan()
	ts.applyPlacements(plan.Places)
	ts.applyPreemptions(plan.Stops)
	ts.noteUnmetDemand(plan.Wants)
	ts.autoscaler.ScaleOut(slices.Concat(plan.Wants, ts.cheaperAlternatives(plan, snapshot), ts.hostedBeyondReserve(&snapshot)))
}

// makePlan plans, and takes cordoned machines back if there is need of them.
func (ts *Scheduler) makePlan() (planner.Snapshot, planner.Plan) {
	ts.Plans++
	snapshot := ts.snapshots.Snapshot()
	plan := planner.Make(snapshot)
	// Each look costs a plan, and hundreds may have been spared.
	for n := 1; len(plan.Wants) > 0 && ts.autoscaler.Uncordon(plan.Wants, n); n *= 2 {
		ts.Plans++
		snapshot = ts.snapshots.Snapshot()
		plan = planner.Make(snapshot)
	}
	return snapshot, plan
}

// applyPlacements proposes placements. A gang of which a part would boot yet stays whole:
// placed in part it would hold its places, fail for want of the rest and start over. The
// plan has kept the room for it.
func (ts *Scheduler) applyPlacements(places []planner.Place) {
	booting := map[string]bool{}
	for _, p := range places {
		if p.Booting && !strings.HasPrefix(p.Job, snapshots.ReservePrefix) && ts.jobs.ByID[p.Job].Spec.Gang() {
			booting[p.Job] = true
		}
	}
	for _, p := range places {
		if strings.HasPrefix(p.Job, snapshots.ReservePrefix) {
			ts.machines.ByName[p.Machine].ReservedAt = ts.Now()
			continue
		}
		if p.Booting || booting[p.Job] {
			continue
		}
		j, m := ts.jobs.ByID[p.Job], ts.machines.ByName[p.Machine]
		if term.DebugEnabled() {
			slog.Debug("placing task", "job", p.Job, "class", j.Spec.Class, "task", p.Task, "machine", m.Name, "type", m.Type,
				"image_there", m.HasImage(j.Spec.Image), "since_submission_s", (ts.Mailbox.OfDay() - clock.Micros(j.SubmittedAt)).Seconds())
		}
		ts.jobs.AddPlacement(j, ledger.Placement{Task: p.Task, Attempt: j.CurrentAttempt(), Machine: m.Name, Session: m.Incarnation})
		if j.Displaced != "" && j.PendingCount() == 0 {
			ts.zones.EndDisplacement(j) // all that a lost zone took has places again
		}
	}
}

// applyPreemptions makes room for the jobs that it is planned for, which owe it.
func (ts *Scheduler) applyPreemptions(stops []planner.Stop) {
	for _, s := range stops {
		j, winner := ts.jobs.ByID[s.Job], ts.jobs.ByID[s.For]
		slog.Info("making room", "from", s.Job, "task", s.Task, "for", s.For)
		ts.commands.Stop(j, s.Task, "room", s.For)
		if winner.Lend(s.Job) {
			ts.jobs.NoteHeadChange(winner)
		}
	}
}

// noteUnmetDemand keeps since when machines have been wanted for a job.
func (ts *Scheduler) noteUnmetDemand(wants []planner.Want) {
	for _, w := range wants {
		if j := ts.jobs.ByID[w.Job.ID]; j != nil {
			if j.UnmetAt == 0 || ts.Now() > j.UnmetAt+jobtable.UnmetDemandGap {
				j.UnmetSince = ts.Now()
			}
			j.UnmetAt, j.UnmetTasks = ts.Now(), w.Tasks
		}
	}
}

// cheaperAlternatives are the tasks that wait for costly machines to boot: a cheaper place
// is rented if there is any, and leaves the costly one to those who need it.
func (ts *Scheduler) cheaperAlternatives(plan planner.Plan, s planner.Snapshot) []planner.Want {
	market := ts.autoscaler.Market()
	waiting := map[string][]fleet.Kind{} // by job, the kinds that its tasks wait for
	for _, p := range plan.Places {
		if p.Booting {
			waiting[p.Job] = append(waiting[p.Job], ts.machines.ByName[p.Machine].Kind())
		}
	}
	var wants []planner.Want
	for i := range s.Jobs {
		j := &s.Jobs[i]
		costly := 0
		for _, k := range waiting[j.ID] {
			if !market.Fair(k, j) {
				costly++
			}
		}
		if costly > 0 {
			patient := *j
			patient.SlackS, patient.StartAim = math.MaxFloat64, false // nothing but a fair price counts
			wants = append(wants, planner.Want{Job: &patient, Tasks: costly})
		}
	}
	return wants
}

// hostedBeyondReserve are the tasks of guests that the reserve keeps off the machines that are up:
// others are rented for them.
func (ts *Scheduler) hostedBeyondReserve(s *planner.Snapshot) []planner.Want {
	var wants []planner.Want
	for i := range s.Jobs {
		j := &s.Jobs[i]
		if rest := len(j.Pending) - j.Limit; rest > 0 && ts.jobs.IsHosted(j.ID) && !j.Waiting && !j.Spec.Gang() {
			wants = append(wants, planner.Want{Job: j, Tasks: rest})
		} else if rest > 0 && ts.jobs.IsHosted(j.ID) && !j.Waiting {
			wants = append(wants, planner.Want{Job: j, Tasks: len(j.Pending)})
		}
	}
	return wants
}
