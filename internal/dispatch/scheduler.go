package dispatch

import (
	"log/slog"
	"math"
	"slices"
	"strings"

	"postpoint/internal/clock"
	"postpoint/internal/fleet"
	"postpoint/internal/ledger"
	"postpoint/internal/planner"
)

// taskScheduler makes plans and turns them into placements, preemptions and rentals.
type taskScheduler struct {
	*leaderTerm
	jobs       *jobTable
	machines   *machineTable
	catalogue  *machineCatalogue
	writer     *recordWriter
	commands   *commandSender
	autoscaler *autoscaler
	snapshots  *snapshotBuilder
	zones      *zoneRecovery

	plans int // made in this term
}

func newTaskScheduler(term *leaderTerm, jobs *jobTable, machines *machineTable, catalogue *machineCatalogue,
	writer *recordWriter, commands *commandSender, autoscaler *autoscaler, snapshots *snapshotBuilder,
	zones *zoneRecovery) *taskScheduler {
	return &taskScheduler{
		leaderTerm: term,
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

// begin counts the plans of a new term.
func (ts *taskScheduler) begin() { ts.plans = 0 }

// schedule plans from what is known now and turns the plan into proposals.
func (ts *taskScheduler) schedule() {
	if len(ts.catalogue.list) == 0 {
		return
	}
	ts.writer.divideLarge()
	snapshot, plan := ts.makePlan()
	ts.carryOutPlaces(plan.Places)
	ts.carryOutStops(plan.Stops)
	ts.noteWants(plan.Wants)
	ts.autoscaler.rent(slices.Concat(plan.Wants, ts.cheaper(plan, snapshot), ts.beyondReserve(&snapshot)))
}

// makePlan plans, and takes cordoned machines back if there is need of them.
func (ts *taskScheduler) makePlan() (planner.Snapshot, planner.Plan) {
	ts.plans++
	snapshot := ts.snapshots.snapshot()
	plan := planner.Make(snapshot)
	// Each look costs a plan, and hundreds may have been spared.
	for n := 1; len(plan.Wants) > 0 && ts.autoscaler.uncordon(plan.Wants, n); n *= 2 {
		ts.plans++
		snapshot = ts.snapshots.snapshot()
		plan = planner.Make(snapshot)
	}
	return snapshot, plan
}

// carryOutPlaces proposes placements. A gang of which a part would boot yet stays whole:
// placed in part it would hold its places, fail for want of the rest and start over. The
// plan has kept the room for it.
func (ts *taskScheduler) carryOutPlaces(places []planner.Place) {
	booting := map[string]bool{}
	for _, p := range places {
		if p.Booting && !strings.HasPrefix(p.Job, sparePrefix) && ts.jobs.byID[p.Job].Spec.Gang() {
			booting[p.Job] = true
		}
	}
	for _, p := range places {
		if strings.HasPrefix(p.Job, sparePrefix) {
			ts.machines.byName[p.Machine].spareAt = ts.now()
			continue
		}
		if p.Booting || booting[p.Job] {
			continue
		}
		j, m := ts.jobs.byID[p.Job], ts.machines.byName[p.Machine]
		if debugging() {
			slog.Debug("placing task", "job", p.Job, "class", j.Spec.Class, "task", p.Task, "machine", m.name, "type", m.typ,
				"image_there", m.hasImage(j.Spec.Image), "since_submission_s", (ts.mailbox.OfDay() - clock.Micros(j.SubmittedAt)).Seconds())
		}
		ts.jobs.place(j, ledger.Placement{Task: p.Task, Attempt: j.currentAttempt(), Machine: m.name, Session: m.session})
		if j.Displaced != "" && j.PendingCount() == 0 {
			ts.zones.settle(j) // all that a lost zone took has places again
		}
	}
}

// carryOutStops makes room for the jobs that it is planned for, which owe it.
func (ts *taskScheduler) carryOutStops(stops []planner.Stop) {
	for _, s := range stops {
		j, winner := ts.jobs.byID[s.Job], ts.jobs.byID[s.For]
		slog.Info("making room", "from", s.Job, "task", s.Task, "for", s.For)
		ts.commands.stop(j, s.Task, "room", s.For)
		if winner.Lend(s.Job) {
			ts.jobs.touchHead(winner)
		}
	}
}

// noteWants keeps since when machines have been wanted for a job.
func (ts *taskScheduler) noteWants(wants []planner.Want) {
	for _, w := range wants {
		if j := ts.jobs.byID[w.Job.ID]; j != nil {
			if j.wantedAt == 0 || ts.now() > j.wantedAt+wantedGap {
				j.wantedFrom = ts.now()
			}
			j.wantedAt, j.wantedTasks = ts.now(), w.Tasks
		}
	}
}

// cheaper are the tasks that wait for costly machines to boot: a cheaper place
// is rented if there is any, and leaves the costly one to those who need it.
func (ts *taskScheduler) cheaper(plan planner.Plan, s planner.Snapshot) []planner.Want {
	market := ts.autoscaler.market()
	waiting := map[string][]fleet.Kind{} // by job, the kinds that its tasks wait for
	for _, p := range plan.Places {
		if p.Booting {
			waiting[p.Job] = append(waiting[p.Job], ts.machines.byName[p.Machine].kind())
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

// beyondReserve are the tasks of guests that the reserve keeps off the machines that are up:
// others are rented for them.
func (ts *taskScheduler) beyondReserve(s *planner.Snapshot) []planner.Want {
	var wants []planner.Want
	for i := range s.Jobs {
		j := &s.Jobs[i]
		if rest := len(j.Pending) - j.Limit; rest > 0 && ts.jobs.isHosted(j.ID) && !j.Waiting && !j.Spec.Gang() {
			wants = append(wants, planner.Want{Job: j, Tasks: rest})
		} else if rest > 0 && ts.jobs.isHosted(j.ID) && !j.Waiting {
			wants = append(wants, planner.Want{Job: j, Tasks: len(j.Pending)})
		}
	}
	return wants
}
