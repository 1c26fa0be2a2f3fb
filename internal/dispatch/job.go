package dispatch

import (
	"log/slog"

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
	// displacedAt is when it lost tasks with a zone, turn that the rest may start: see displace.
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

// touch notes a change of what a task's value says.
func (d *Dispatch) touch(j *job, task int) {
	j.valueOf(task).touch(d.now())
	if j.dividing {
		j.partOf(task).touch(d.now())
	}
	j.runningStale = true
}

// touchHead notes a change of what concerns the job as a whole.
func (d *Dispatch) touchHead(j *job) {
	j.storedValue.touch(d.now())
}

// place decides a placement; it counts from now and acts once it is durable.
func (d *Dispatch) place(j *job, p ledger.Placement) {
	j.Placed[p.Task] = p
	d.index(j, p)
	d.touch(j, p.Task)
	v := j.valueOf(p.Task)
	j.proposed[p.Task] = v.changed
	v.fresh = append(v.fresh, p.Task)
}

// unplace frees a place, which only proof allows: see docs/rules.md.
func (d *Dispatch) unplace(j *job, p ledger.Placement) {
	delete(j.Placed, p.Task)
	delete(j.stops, p.Task)
	delete(j.proposed, p.Task)
	if v := j.valueOf(p.Task); v.inFlight || v.uncertain {
		v.doubtful = append(v.doubtful, p)
	}
	d.unindex(j, p)
	d.touch(j, p.Task)
	if !j.Done.Has(p.Task) {
		d.displace(j, p.Machine)
		// It is to run again, under another attempt than any before.
		j.NextAttempt = max(j.NextAttempt, p.Attempt+1)
	}
	d.wake()
}

func (d *Dispatch) unplaceAll(j *job) {
	for _, p := range inOrder(j.Placed) {
		d.unindex(j, p)
	}
}

// retire drops a job that is over and nowhere any more.
func (d *Dispatch) retire(j *job) {
	if j.Final() && len(j.Placed) == 0 && j.clean() && !j.strayParts && j.permit == nil {
		d.retired[j.Spec.ID] = j.version
		delete(d.jobs, j.Spec.ID)
	}
}

// startFailed notes the cause for the user and the operator, and holds a job
// that fails again and again back for longer each time.
func (d *Dispatch) startFailed(m *machine, j *job, p ledger.Placement, cause string, pause clock.Micros) {
	if j.failures == 0 || j.Cause == "" {
		slog.Info("start failed", "job", j.Spec.ID, "task", p.Task, "machine", m.name, "cause", cause)
	}
	j.Cause = cause + " on " + m.name
	if pause == 0 {
		return
	}
	j.failures++
	if j.failures > 3 {
		pause *= clock.Micros(1) << min(j.failures-3, 6)
	}
	j.notBefore = max(j.notBefore, d.now()+min(pause, 60*clock.Second))
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

// returnRoom lets those who made room for a job have it back first.
func (d *Dispatch) returnRoom(j *job) {
	for _, id := range j.Lenders {
		if l := d.jobs[id]; l != nil {
			l.returning = true
		}
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
