package dispatch

import (
	"log/slog"

	"postpoint/internal/planner"
	"postpoint/internal/recovery"
)

// placementLost marks a job whose task loses its place to the loss of a zone: the rest of it waits for
// its turn.
func (zr *zoneRecovery) placementLost(j *job, machineName string) {
	if zr.options == nil || j.over() {
		return
	}
	m := zr.machines.byName[machineName]
	if m == nil || !zr.lost(m.zone) && !zr.returning(m.zone) || j.Displaced == m.zone {
		return
	}
	j.Displaced, j.displacedAt, j.turn = m.zone, zr.now(), false
	zr.jobs.touchHead(j)
}

// settle ends that: the tasks that it had lost have places again, or are done.
func (zr *zoneRecovery) settle(j *job) {
	j.Displaced = ""
	zr.jobs.touchHead(j)
}

// awaitsTurn tells that a job's tasks aren't to be started yet.
func (zr *zoneRecovery) awaitsTurn(j *job) bool {
	return zr.options != nil && j.Displaced != "" && !j.turn
}

// releaseDisplaced lets displaced work start, in the written order and at the pace of the settings.
func (zr *zoneRecovery) releaseDisplaced() {
	now := zr.now()
	var waiting []recovery.Displaced
	for _, j := range inOrder(zr.jobs.byID) {
		z := zr.zones[j.Displaced]
		if j.displacedAt == 0 {
			j.displacedAt = now // under an earlier leader, if at all
		}
		switch {
		case j.Displaced == "" || j.over():
		case z == nil || j.PendingCount() == 0 && !j.reread:
			zr.settle(j)
		case j.turn:
		case zr.options.Action(z.Name) == recovery.Hold:
		case zr.options.Action(z.Name) == recovery.Hasten, z.Phase == recovery.Healthy, now > j.displacedAt+longestTurn:
			j.turn = true
		default:
			waiting = append(waiting, zr.displacedWork(j))
		}
	}
	recovery.Sort(waiting, zr.options.Order)
	for _, id := range zr.pace.Release(waiting, now, zr.options.TasksPerS) {
		zr.jobs.byID[id].turn = true
		slog.Debug("displaced work may start", "job", id, "zone", zr.jobs.byID[id].Displaced)
	}
}

// displacedWork is a job as the written order sees it.
func (zr *zoneRecovery) displacedWork(j *job) recovery.Displaced {
	w := recovery.Displaced{Job: j.Spec.ID, Rank: j.rank(), SubmittedAt: j.SubmittedAt, Tasks: j.PendingCount(),
		LostShare: float64(j.PendingCount()) / float64(j.Spec.Tasks)}
	tier, slack := zr.objectives.aims(j)
	w.SlackS = slack
	switch {
	case j.Spec.Service():
		w.Kind = recovery.Services
	case j.Spec.DeadlineS != nil && slack >= 0:
		w.Kind = recovery.Deadlines
	case tier == planner.TooLate:
		w.Kind = recovery.Rest
	case j.Spec.Gang():
		w.Kind = recovery.Gangs
	default:
		w.Kind = recovery.Arrays
	}
	return w
}
