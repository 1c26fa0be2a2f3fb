package dispatch

import (
	"context"
	"log/slog"
	"math"
	"slices"
	"strings"

	"postpoint/internal/clock"
	"postpoint/internal/fleet"
	"postpoint/internal/ledger"
	"postpoint/internal/planner"
)

// planTasks bounds how many tasks of one job a single plan starts.
const planTasks = 2000

// schedule plans from what is known now and turns the plan into proposals.
func (d *Dispatch) schedule() {
	if len(d.catalogue) == 0 {
		return
	}
	d.divideLarge()
	snapshot, plan := d.makePlan()
	d.carryOutPlaces(plan.Places)
	d.carryOutStops(plan.Stops)
	d.noteWants(plan.Wants)
	d.rent(slices.Concat(plan.Wants, d.cheaper(plan, snapshot), d.beyondReserve(&snapshot)))
}

// makePlan plans, and takes cordoned machines back if there is need of them.
func (d *Dispatch) makePlan() (planner.Snapshot, planner.Plan) {
	d.plans++
	snapshot := d.snapshot()
	plan := planner.Make(snapshot)
	// Each look costs a plan, and hundreds may have been spared.
	for n := 1; len(plan.Wants) > 0 && d.uncordon(plan.Wants, n); n *= 2 {
		d.plans++
		snapshot = d.snapshot()
		plan = planner.Make(snapshot)
	}
	return snapshot, plan
}

// carryOutPlaces proposes placements. A gang of which a part would boot yet stays whole:
// placed in part it would hold its places, fail for want of the rest and start over. The
// plan has kept the room for it.
func (d *Dispatch) carryOutPlaces(places []planner.Place) {
	booting := map[string]bool{}
	for _, p := range places {
		if p.Booting && !strings.HasPrefix(p.Job, sparePrefix) && d.jobs[p.Job].Spec.Gang() {
			booting[p.Job] = true
		}
	}
	for _, p := range places {
		if strings.HasPrefix(p.Job, sparePrefix) {
			d.machines[p.Machine].spareAt = d.now()
			continue
		}
		if p.Booting || booting[p.Job] {
			continue
		}
		j, m := d.jobs[p.Job], d.machines[p.Machine]
		if debugging() {
			slog.Debug("placing task", "job", p.Job, "class", j.Spec.Class, "task", p.Task, "machine", m.name, "type", m.typ,
				"image_there", m.hasImage(j.Spec.Image), "since_submission_s", (d.mailbox.OfDay() - clock.Micros(j.SubmittedAt)).Seconds())
		}
		d.place(j, ledger.Placement{Task: p.Task, Attempt: j.currentAttempt(), Machine: m.name, Session: m.session})
		if j.Displaced != "" && j.PendingCount() == 0 {
			d.settle(j) // all that a lost zone took has places again
		}
	}
}

// carryOutStops makes room for the jobs that it is planned for, which owe it.
func (d *Dispatch) carryOutStops(stops []planner.Stop) {
	for _, s := range stops {
		j, winner := d.jobs[s.Job], d.jobs[s.For]
		slog.Info("making room", "from", s.Job, "task", s.Task, "for", s.For)
		d.stop(j, s.Task, "room", s.For)
		if winner.Lend(s.Job) {
			d.touchHead(winner)
		}
	}
}

// noteWants keeps since when machines have been wanted for a job.
func (d *Dispatch) noteWants(wants []planner.Want) {
	for _, w := range wants {
		if j := d.jobs[w.Job.ID]; j != nil {
			if j.wantedAt == 0 || d.now() > j.wantedAt+wantedGap {
				j.wantedFrom = d.now()
			}
			j.wantedAt, j.wantedTasks = d.now(), w.Tasks
		}
	}
}

const (
	// unmetTime is after which machines that were wanted and haven't come are taken
	// not to: longer than any boots, and less than the 90 s that users give other jobs.
	unmetTime = 60 * clock.Second
	// wantedGap is longer than it takes from one plan to the next.
	wantedGap = 10 * clock.Second
)

// debugging spares the cost of what would be thrown away.
func debugging() bool { return slog.Default().Enabled(context.Background(), slog.LevelDebug) }

// cheaper are the tasks that wait for costly machines to boot: a cheaper place
// is rented if there is any, and leaves the costly one to those who need it.
func (d *Dispatch) cheaper(plan planner.Plan, s planner.Snapshot) []planner.Want {
	market := d.market()
	waiting := map[string][]fleet.Kind{} // by job, the kinds that its tasks wait for
	for _, p := range plan.Places {
		if p.Booting {
			waiting[p.Job] = append(waiting[p.Job], d.machines[p.Machine].kind())
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
