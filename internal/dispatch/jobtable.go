package dispatch

import (
	"log/slog"
	"math"

	"postpoint/internal/clock"
	"postpoint/internal/delegation"
	"postpoint/internal/ledger"
	"postpoint/internal/planner"
	"postpoint/internal/protocol"
)

// jobTable owns the jobs that aren't over, with their records' contents and placements.
type jobTable struct {
	*leaderTerm
	machines *machineTable
	steps    *stepTimer
	// losses is told of placements that are lost before their tasks are done.
	losses lossObserver

	byID map[string]*job
	// finalVersions are the last versions of jobs that are over, until following the records has
	// caught up with them: an older version that still arrives is outdated.
	finalVersions map[string]int64
	// malformed are the jobs whose records can't be decoded.
	malformed map[string]bool
	// strayShards are stored shards that belong to no sharded record, with their versions.
	strayShards map[string]int64
}

func newJobTable(term *leaderTerm, machines *machineTable, steps *stepTimer) *jobTable {
	return &jobTable{leaderTerm: term, machines: machines, steps: steps}
}

// end forgets the jobs when the term is over.
func (jt *jobTable) end() { jt.byID = nil }

// lossObserver is told of placements that are lost before their tasks are done.
type lossObserver interface {
	placementLost(j *job, machineName string)
}

// begin forgets what was known in earlier terms.
func (jt *jobTable) begin() {
	jt.byID = map[string]*job{}
	jt.finalVersions = map[string]int64{}
	jt.malformed = map[string]bool{}
	jt.strayShards = map[string]int64{}
}

// quarantineRecord forgets a job whose record makes no sense: never guess at what may be running.
func (jt *jobTable) quarantineRecord(id string, err error) {
	slog.Error("malformed record", "job", id, "error", err)
	jt.malformed[id] = true
	delete(jt.byID, id)
}

// touch notes a change of what a task's value says.
func (jt *jobTable) touch(j *job, task int) {
	j.valueOf(task).touch(jt.now())
	if j.dividing {
		j.partOf(task).touch(jt.now())
	}
	j.runningStale = true
}

// touchHead notes a change of what concerns the job as a whole.
func (jt *jobTable) touchHead(j *job) {
	j.storedValue.touch(jt.now())
}

// place decides a placement; it counts from now and acts once it is durable.
func (jt *jobTable) place(j *job, p ledger.Placement) {
	j.Placed[p.Task] = p
	jt.machines.index(j.Spec.ID, p)
	jt.touch(j, p.Task)
	v := j.valueOf(p.Task)
	j.proposed[p.Task] = v.changed
	v.fresh = append(v.fresh, p.Task)
}

// unplace frees a place, which only proof allows: see docs/rules.md.
func (jt *jobTable) unplace(j *job, p ledger.Placement) {
	delete(j.Placed, p.Task)
	delete(j.stops, p.Task)
	delete(j.proposed, p.Task)
	if v := j.valueOf(p.Task); v.inFlight || v.uncertain {
		v.doubtful = append(v.doubtful, p)
	}
	jt.machines.unindex(j.Spec.ID, p)
	jt.touch(j, p.Task)
	if !j.Done.Has(p.Task) {
		jt.losses.placementLost(j, p.Machine)
		// It is to run again, under another attempt than any before.
		j.NextAttempt = max(j.NextAttempt, p.Attempt+1)
	}
	jt.steps.wake()
}

func (jt *jobTable) unplaceAll(j *job) {
	for _, p := range inOrder(j.Placed) {
		jt.machines.unindex(j.Spec.ID, p)
	}
}

// retire drops a job that is over and nowhere any more.
func (jt *jobTable) retire(j *job) {
	if j.Final() && len(j.Placed) == 0 && j.clean() && !j.strayParts && j.permit == nil {
		jt.finalVersions[j.Spec.ID] = j.version
		delete(jt.byID, j.Spec.ID)
	}
}

// returnRoom lets those who made room for a job have it back first.
func (jt *jobTable) returnCapacity(j *job) {
	for _, id := range j.Lenders {
		if l := jt.byID[id]; l != nil {
			l.returning = true
		}
	}
}

// underLimit is how many more tasks of a job its team's limit allows, over all cells.
func (jt *jobTable) underLimit(j *job) int {
	team, _ := jt.settings.Deployment.Team(j.Spec.Team)
	room := planner.Amounts{Cpus: team.CpusMax, Gpus: team.GpusMax, MemoryGB: planner.PlentyGB}
	for _, o := range jt.byID {
		if o.Spec.Team == j.Spec.Team {
			room = room.Minus(planner.Needs(&o.Spec).Times(float64(o.taken())))
		}
	}
	if team.CpusMax == 0 { // none
		room.Cpus = math.MaxInt32
	}
	if team.GpusMax == 0 {
		room.Gpus = math.MaxInt32
	}
	return planner.Needs(&j.Spec).Count(room)
}

// zonesOf counts a job's placements by zone, those in unknown ones under "".
func (jt *jobTable) zonesOf(j *job) map[string]int {
	zones := map[string]int{}
	for _, p := range j.Placed {
		zone := ""
		if m := jt.machines.byName[p.Machine]; m != nil {
			zone = m.zone
		}
		zones[zone]++
	}
	return zones
}

// abandonDivision goes on with the undivided record, which has been the valid one.
func (jt *jobTable) abandonDivision(j *job) {
	j.PartSize, j.Marked = 0, j.Spec.Service()
	jt.dropParts(j)
}

// dropParts forgets the parts of a record that turned out to be undivided.
func (jt *jobTable) dropParts(j *job) {
	if len(j.parts) > 0 {
		j.parts, j.dividing, j.strayParts = nil, false, true
	}
}

// finish makes a job done once all of its tasks are.
func (jt *jobTable) finish(j *job) {
	if j.Final() || j.Spec.Service() || j.Done.Len() < j.Spec.Tasks {
		return
	}
	j.Status = protocol.StatusDone
	if j.dividing {
		jt.abandonDivision(j) // its record is small enough again
	}
	jt.touchHead(j)
	jt.returnCapacity(j)
}

// guest tells whether an id is that of a known guest.
func (jt *jobTable) isHosted(id string) bool {
	j := jt.byID[id]
	return j != nil && j.Guest != nil
}

// guestsByHome are the guests of each home cell, in a fixed order.
func (jt *jobTable) hostedByOrigin() map[string][]*job {
	guests := map[string][]*job{}
	for _, j := range inOrder(jt.byID) {
		if j.Guest != nil {
			guests[j.Guest.Home] = append(guests[j.Guest.Home], j)
		}
	}
	return guests
}

// guestAmounts is what guests may use at once.
func (jt *jobTable) hostedAmounts() planner.Amounts {
	var used planner.Amounts
	for _, j := range jt.byID {
		if j.Guest == nil || j.Final() {
			continue
		}
		tasks := len(j.Placed)
		if !j.Guest.Closed {
			tasks += j.PendingCount()
		}
		used = used.Plus(planner.Needs(&j.Spec).Times(float64(tasks)))
	}
	return used
}

// noteCancelled keeps when a cancellation was confirmed, or an earlier time: it
// isn't counted from when this leader came to know of it, since each change of
// leader would then put the end of its tasks off.
func (jt *jobTable) noteCancelled(j *job, at clock.Micros) {
	if !j.cancelled {
		slog.Debug("job cancelled", "job", j.Spec.ID, "placed", len(j.Placed), "ago_s", (jt.now() - at).Seconds())
		j.cancelled, j.cancelledAt = true, at
	}
	j.cancelledAt = min(j.cancelledAt, at)
}

// awaitPermission prepares what is known of a guest beyond its record. Whatever an earlier leader was
// permitted, this one has to ask for itself.
func (jt *jobTable) awaitPermission(j *job) {
	j.permit = delegation.Patient(jt.now() + heedTime)
}

// forget drops a job whose record is gone.
func (jt *jobTable) forget(j *job) {
	jt.finalVersions[j.Spec.ID] = j.version
	delete(jt.byID, j.Spec.ID)
}

const (
	// wantedGap is longer than it takes from one plan to the next.
	wantedGap = 10 * clock.Second
	// heedTime is given to machines to speak for themselves at the beginning of a term.
	heedTime = 4 * clock.Second
)
