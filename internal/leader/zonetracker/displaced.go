package zonetracker

import (
	"log/slog"

	"postpoint/internal/leader/jobtable"
	"postpoint/internal/ordered"
	"postpoint/internal/planner"
	"postpoint/internal/recovery"
)

// PlacementLost marks a job whose task loses its place to the loss of a zone: the rest of it waits for
// its turn.
func (zr *Tracker) PlacementLost(j *jobtable.Job, machineName string) {
	if zr.Options == nil || j.Over() {
		return
	}
	m := zr.machines.ByName[machineName]
	if m == nil || !zr.Lost(m.Zone) && !zr.Returning(m.Zone) || j.Displaced == m.Zone {
		return
	}
	j.Displaced, j.DisplacedAt, j.ClearedToStart = m.Zone, zr.Now(), false
	zr.jobs.NoteHeadChange(j)
}

// EndDisplacement ends that: the tasks that it had lost have places again, or are done.
func (zr *Tracker) EndDisplacement(j *jobtable.Job) {
	j.Displaced = ""
	zr.jobs.NoteHeadChange(j)
}

// AwaitsClearance tells that a job's tasks aren't to be started yet.
func (zr *Tracker) AwaitsClearance(j *jobtable.Job) bool {
	return zr.Options != nil && j.Displaced != "" && !j.ClearedToStart
}

// releaseDisplaced lets displaced work start, in the written order and at the pace of the settings.
func (zr *Tracker) releaseDisplaced() {
	now := zr.Now()
	var waiting []recovery.Displaced
	for _, j := range ordered.ByKey(zr.jobs.ByID) {
		z := zr.Zones[j.Displaced]
		if j.DisplacedAt == 0 {
			j.DisplacedAt = now // under an earlier leader, if at all
		}
		switch {
		case j.Displaced == "" || j.Over():
		case z == nil || j.PendingCount() == 0 && !j.MustReload():
			zr.EndDisplacement(j)
		case j.ClearedToStart:
		case zr.Options.Action(z.Name) == recovery.Hold:
		case zr.Options.Action(z.Name) == recovery.Hasten, z.Phase == recovery.Healthy, now > j.DisplacedAt+longestTurn:
			j.ClearedToStart = true
		default:
			waiting = append(waiting, zr.DisplacedWork(j))
		}
	}
	recovery.Sort(waiting, zr.Options.Order)
	for _, id := range zr.pace.Release(waiting, now, zr.Options.TasksPerS) {
		zr.jobs.ByID[id].ClearedToStart = true
		slog.Debug("displaced work may start", "job", id, "zone", zr.jobs.ByID[id].Displaced)
	}
}

// DisplacedWork is a job as the written order sees it.
func (zr *Tracker) DisplacedWork(j *jobtable.Job) recovery.Displaced {
	w := recovery.Displaced{Job: j.Spec.ID, Rank: j.Rank(), SubmittedAt: j.SubmittedAt, Tasks: j.PendingCount(),
		LostShare: float64(j.PendingCount()) / float64(j.Spec.Tasks)}
	urgency := zr.objectives.TierAndSlack(j)
	w.SlackS = urgency.SlackS
	switch {
	case j.Spec.Service():
		w.Kind = recovery.Services
	case j.Spec.DeadlineS != nil && urgency.SlackS >= 0:
		w.Kind = recovery.Deadlines
	case urgency.Tier == planner.TooLate:
		w.Kind = recovery.Rest
	case j.Spec.Gang():
		w.Kind = recovery.Gangs
	default:
		w.Kind = recovery.Arrays
	}
	return w
}
