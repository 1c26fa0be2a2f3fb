package dispatch

import (
	"postpoint/internal/clock"
	"postpoint/internal/delegation"
	"postpoint/internal/ledger"
	"postpoint/internal/planner"
	"postpoint/internal/protocol"
)

// job is a record with what this leader knows beyond it.
type job struct {
	*ledger.Job
	// The value at the job's key: the whole record, or the head of a divided one.
	storedValue
	parts []*storedValue // of a divided record
	// dividing tells that the parts of a record are being written whose undivided form is
	// the valid one until its head says otherwise: see divide.
	dividing bool
	// strayParts tells that parts may be stored though the record is undivided.
	strayParts bool
	// partsUnread tells that a new leader hasn't read the parts yet.
	partsUnread bool

	reread bool // the record must be read before anything else happens
	// fence tells that the head has to be written anew before that: see fenceUnit.
	fence         bool
	reading       bool
	followedEvent *protocol.Event // what was followed while a change was in flight

	// proposed holds, for each placement, the count of its value's changes at its proposal:
	// it is in the record once the durable count has reached that.
	proposed map[int]int
	// running is what the planner is shown, kept until a placement changes.
	running      []planner.Running
	runningSince []clock.Micros
	runningStale bool
	elsewhere    int // tasks with other cells, counted with running
	// brokenAttempt is a gang's try that can't be completed any more.
	brokenAttempt int64
	failures      int
	notBefore     clock.Micros
	avoid         map[string]bool
	restarts      map[int]restart // of a service's replicas
	// cancelled tells that a user was told so; the record may still be behind.
	cancelled bool
	// cancelledAt is when that was, or somewhat earlier. It may lie before this process
	// began, and so be negative on its steady clock.
	cancelledAt clock.Micros
	stops       map[int]stop
	returning   bool
	moved       bool // off a machine that could be spared
	// wantedAt is when a plan last wanted machines for it, wantedFrom since when all did,
	// wantedTasks for how many tasks.
	wantedFrom, wantedAt clock.Micros
	wantedTasks          int
	// permit is what may be done with a job of another cell, nil for this cell's own.
	permit *delegation.Permit
	// closedAt counts the record's changes at the one that closed the guest, storedDone
	// are the tasks that are done by the stored record.
	closedAt   int
	storedDone ledger.Ranges
	// displacedAt is when it lost tasks with a zone, turn that the rest may start: see zoneRecovery.placementLost.
	displacedAt clock.Micros
	turn        bool
	// backAt is when another cell last gave tasks of the job back unfinished.
	backAt clock.Micros
}

type stop struct {
	grace float64
	why   string
}

// committed tells that a placement is in the record: only then is it acted on.
func (j *job) committed(p ledger.Placement) bool {
	return !j.partsUnread && j.proposed[p.Task] <= j.valueOf(p.Task).durable
}

func newJob() *job {
	return &job{avoid: map[string]bool{}, stops: map[int]stop{}, proposed: map[int]int{}, restarts: map[int]restart{}, runningStale: true}
}

// over tells that nothing of the job may start or stay any more.
func (j *job) over() bool { return j.Final() || j.mustEnd() }

// mustEnd tells that whatever is left of the job has to be gone in time: it was cancelled, or
// the cell whose job it is no longer permits it.
func (j *job) mustEnd() bool { return j.cancelled || j.permit != nil && j.permit.Ending }

// rank is the job's place among ranks, 0 the highest. Jobs of other cells come after all of
// this cell's own.
func (j *job) rank() int {
	rank := protocol.RankOf(j.Spec.Rank)
	if j.Guest != nil {
		rank += len(protocol.Ranks) + 1
	}
	return rank
}

// maxAvoided is how many machines a job fails on before they are taken to be good.
const maxAvoided = 8

// avoidMachine keeps a job off a machine on which it failed.
func (j *job) avoidMachine(name string) {
	j.avoid[name] = true
	if len(j.avoid) > maxAvoided {
		// It failed wherever it went: the machines aren't at fault.
		clear(j.avoid)
	}
}

// currentAttempt is the attempt for tasks placed now: none of them ever had it, since the
// next attempt rises above that of each task that has to run again. A gang that is to
// be completed goes on with the attempt of its other tasks.
func (j *job) currentAttempt() int64 {
	if j.Spec.Gang() {
		for _, p := range j.Placed {
			return p.Attempt
		}
	}
	return j.NextAttempt
}
