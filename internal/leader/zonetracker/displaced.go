package zonetracker

import (
	"log/slog"

	"postpoint/internal/clock"
	"postpoint/internal/leader/jobtable"
	"postpoint/internal/planner"
	"postpoint/internal/protocol"
	"postpoint/internal/zonerecovery"
)

// maxClearanceWait is the longest time that a displaced job waits for clearance to start.
const maxClearanceWait = 60 * clock.Second

// PlacementLost marks a job as displaced if one of its tasks has lost a placement on a machine of a lost or
// returning zone. The pending tasks of a displaced job wait for clearance to start.
func (t *Tracker) PlacementLost(j *jobtable.Job, machineName protocol.MachineName) {
	if t.Options == nil || j.MustNotRun() {
		return
	}
	m := t.machines.ByName[machineName]
	if m == nil || !t.IsLost(m.Zone) && !t.IsReturning(m.Zone) || j.DisplacedFrom == m.Zone {
		return
	}
	j.DisplacedFrom, j.DisplacedAt, j.ClearedToStart = m.Zone, t.Now(), false
	t.jobs.MarkHeadChanged(j)
}

// EndDisplacement ends a job's displacement, once all tasks that had lost their placements have new ones or
// are done.
func (t *Tracker) EndDisplacement(j *jobtable.Job) {
	j.DisplacedFrom = ""
	t.jobs.MarkHeadChanged(j)
}

// AwaitsClearance reports whether a job is displaced and its tasks aren't cleared to start yet.
func (t *Tracker) AwaitsClearance(j *jobtable.Job) bool {
	return t.Options != nil && j.DisplacedFrom != "" && !j.ClearedToStart
}

// clearDisplaced clears displaced jobs to start, in the order and at the rate that the settings demand.
func (t *Tracker) clearDisplaced() {
	now := t.Now()
	var waiting []zonerecovery.DisplacedJob
	for _, j := range t.jobs.ByID { // in any order: SortDisplaced sorts them
		if j.DisplacedAt == 0 {
			j.DisplacedAt = now // if the job is displaced, that happened under an earlier leader
		}
		if t.checkDisplaced(j, now) {
			waiting = append(waiting, t.DescribeDisplaced(j))
		}
	}
	zonerecovery.SortDisplaced(waiting, t.Options.Order)
	for _, id := range t.pacer.Release(waiting, now, t.Options.TasksPerS) {
		j := t.jobs.ByID[id]
		j.ClearedToStart = true
		slog.Debug("displaced job cleared to start", "job", id, "zone", j.DisplacedFrom)
	}
}

// checkDisplaced ends a job's displacement once the job has no pending tasks or if its zone is unknown, and
// clears the job to start if it needn't wait any longer. waits reports whether the job still waits for
// clearance in the configured order.
func (t *Tracker) checkDisplaced(j *jobtable.Job, now clock.Micros) (waits bool) {
	if j.DisplacedFrom == "" || j.MustNotRun() {
		return false
	}
	z := t.Zones[j.DisplacedFrom]
	if z == nil || j.PendingCount() == 0 && !j.MustReload() {
		t.EndDisplacement(j)
		return false
	}
	action := t.Options.Action(z.Name)
	switch {
	case j.ClearedToStart || action == zonerecovery.Hold:
		return false
	case action == zonerecovery.DeclareLost || z.Phase == zonerecovery.Healthy ||
		now > j.DisplacedAt+maxClearanceWait:
		j.ClearedToStart = true
		return false
	}
	return true
}

// DescribeDisplaced returns the properties of a displaced job that decide in which order jobs are cleared to
// start.
func (t *Tracker) DescribeDisplaced(j *jobtable.Job) zonerecovery.DisplacedJob {
	urgency := t.objectives.Urgency(j)
	pending := j.PendingCount()
	return zonerecovery.DisplacedJob{
		Job:          j.Spec.ID,
		Kind:         displacedKind(j, urgency.Tier, urgency.SlackS),
		Rank:         j.Rank(),
		SubmittedAt:  j.SubmittedAt,
		PendingTasks: pending,
		LostShare:    float64(pending) / float64(j.Spec.Tasks),
		SlackS:       urgency.SlackS,
	}
}

// displacedKind returns the kind by which a displaced job is ordered.
func displacedKind(j *jobtable.Job, tier planner.Tier, slackS float64) zonerecovery.JobKind {
	switch {
	case j.Spec.IsService():
		return zonerecovery.Services
	case j.Spec.DeadlineS != nil && slackS >= 0:
		return zonerecovery.Deadlines
	case tier == planner.TierTooLate:
		return zonerecovery.PastObjective
	case j.Spec.IsGang():
		return zonerecovery.Gangs
	}
	return zonerecovery.Arrays
}
