// Package jobtable owns the jobs of a term that aren't over: the contents of their records, how much
// of that is stored, and their placements. A placement is released only on proof (docs/rules.md).
// It neither reads nor writes the key-value store (package recordstore), and places nothing by
// itself (package scheduler).
package jobtable

import (
	"log/slog"
	"math"

	"postpoint/internal/clock"
	"postpoint/internal/delegation"
	"postpoint/internal/leader/machinetable"
	"postpoint/internal/leader/term"
	"postpoint/internal/ledger"
	"postpoint/internal/ordered"
	"postpoint/internal/planner"
	"postpoint/internal/protocol"
)

// Table owns the jobs that aren't over, with their records' contents and placements.
type Table struct {
	*term.State
	machines *machinetable.Table
	steps    *term.StepTimer
	// Losses is told of placements that are lost before their tasks are done.
	Losses LossObserver

	ByID map[string]*Job
	// FinalVersions are the last versions of jobs that are over, until following the records has
	// caught up with them: an older version that still arrives is outdated.
	FinalVersions map[string]int64
	// Malformed are the jobs whose records can't be decoded.
	Malformed map[string]bool
	// StrayShards are stored shards that belong to no sharded record, with their versions.
	StrayShards map[string]int64
}

// New makes an empty table.
func New(term *term.State, machines *machinetable.Table, steps *term.StepTimer) *Table {
	return &Table{State: term, machines: machines, steps: steps}
}

// End forgets the jobs when the term is over.
func (jt *Table) End() { jt.ByID = nil }

// LossObserver is told of placements that are lost before their tasks are done.
type LossObserver interface {
	PlacementLost(j *Job, machineName string)
}

// Begin forgets what was known in earlier terms.
func (jt *Table) Begin() {
	jt.ByID = map[string]*Job{}
	jt.FinalVersions = map[string]int64{}
	jt.Malformed = map[string]bool{}
	jt.StrayShards = map[string]int64{}
}

// QuarantineRecord forgets a job whose record makes no sense: never guess at what may be running.
func (jt *Table) QuarantineRecord(id string, err error) {
	slog.Error("malformed record", "job", id, "error", err)
	jt.Malformed[id] = true
	delete(jt.ByID, id)
}

// NoteTaskChange notes a change of what a task's value says.
func (jt *Table) NoteTaskChange(j *Job, task int) {
	j.valueOf(task).NoteChange(jt.Now())
	if j.Sharding() {
		j.ShardOf(task).NoteChange(jt.Now())
	}
	j.RunningStale = true
}

// NoteHeadChange notes a change of what concerns the job as a whole.
func (jt *Table) NoteHeadChange(j *Job) {
	j.StoredValue.NoteChange(jt.Now())
}

// AddPlacement decides a placement; it counts from now and acts once it is durable.
func (jt *Table) AddPlacement(j *Job, p ledger.Placement) {
	j.Placed[p.Task] = p
	jt.machines.AddPlacement(j.Spec.ID, p)
	jt.NoteTaskChange(j, p.Task)
	v := j.valueOf(p.Task)
	j.ProposedAt[p.Task] = v.ChangeCount
	v.Uncommitted = append(v.Uncommitted, p.Task)
}

// ReleasePlacement frees a place, which only proof allows: see docs/rules.md.
func (jt *Table) ReleasePlacement(j *Job, p ledger.Placement) {
	delete(j.Placed, p.Task)
	delete(j.Stops, p.Task)
	delete(j.ProposedAt, p.Task)
	if v := j.valueOf(p.Task); v.InFlight || v.OutcomeUnknown {
		v.UnconfirmedReleases = append(v.UnconfirmedReleases, p)
	}
	jt.machines.RemovePlacement(j.Spec.ID, p)
	jt.NoteTaskChange(j, p.Task)
	if !j.Done.Has(p.Task) {
		jt.Losses.PlacementLost(j, p.Machine)
		// It is to run again, under another attempt than any before.
		j.NextAttempt = max(j.NextAttempt, p.Attempt+1)
	}
	jt.steps.Wake()
}

// RemoveFromMachines takes a job's placements off its machines, not out of its record.
func (jt *Table) RemoveFromMachines(j *Job) {
	for _, p := range ordered.ByKey(j.Placed) {
		jt.machines.RemovePlacement(j.Spec.ID, p)
	}
}

// ForgetIfOver drops a job that is over and nowhere any more.
func (jt *Table) ForgetIfOver(j *Job) {
	if j.Final() && len(j.Placed) == 0 && j.allStored() && !j.HasStrayShards() && j.Permission == nil {
		jt.FinalVersions[j.Spec.ID] = j.Version
		delete(jt.ByID, j.Spec.ID)
	}
}

// returnCapacity lets those who made room for a job have it back first.
func (jt *Table) returnCapacity(j *Job) {
	for _, id := range j.Lenders {
		if l := jt.ByID[id]; l != nil {
			l.Reclaiming = true
		}
	}
}

// TasksWithinQuota is how many more tasks of a job its team's limit allows, over all cells.
func (jt *Table) TasksWithinQuota(j *Job) int {
	team, _ := jt.Settings.Deployment.Team(j.Spec.Team)
	room := planner.Amounts{Cpus: team.CpusMax, Gpus: team.GpusMax, MemoryGB: planner.PlentyGB}
	for _, o := range jt.ByID {
		if o.Spec.Team == j.Spec.Team {
			room = room.Minus(planner.Needs(&o.Spec).Times(float64(o.PlacesTaken())))
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

// ZonesOf counts a job's placements by zone, those in unknown ones under "".
func (jt *Table) ZonesOf(j *Job) map[string]int {
	zones := map[string]int{}
	for _, p := range j.Placed {
		zone := ""
		if m := jt.machines.ByName[p.Machine]; m != nil {
			zone = m.Zone
		}
		zones[zone]++
	}
	return zones
}

// AbandonSharding goes on with the undivided record, which has been the valid one.
func (jt *Table) AbandonSharding(j *Job) {
	j.PartSize, j.Marked = 0, j.Spec.Service()
	jt.DropShards(j)
}

// DropShards forgets the parts of a record that turned out to be undivided.
func (jt *Table) DropShards(j *Job) {
	if len(j.Shards) > 0 {
		j.Shards = nil
		j.NoteRecordEvent(EventShardsDropped)
	}
}

// CompleteIfDone makes a job done once all of its tasks are.
func (jt *Table) CompleteIfDone(j *Job) {
	if j.Final() || j.Spec.Service() || j.Done.Len() < j.Spec.Tasks {
		return
	}
	j.Status = protocol.StatusDone
	if j.Sharding() {
		jt.AbandonSharding(j) // its record is small enough again
	}
	jt.NoteHeadChange(j)
	jt.returnCapacity(j)
}

// IsHosted tells whether an id is that of a known guest.
func (jt *Table) IsHosted(id string) bool {
	j := jt.ByID[id]
	return j != nil && j.Guest != nil
}

// HostedByOrigin are the guests of each home cell, in a fixed order.
func (jt *Table) HostedByOrigin() map[string][]*Job {
	guests := map[string][]*Job{}
	for _, j := range ordered.ByKey(jt.ByID) {
		if j.Guest != nil {
			guests[j.Guest.Home] = append(guests[j.Guest.Home], j)
		}
	}
	return guests
}

// HostedAmounts is what guests may use at once.
func (jt *Table) HostedAmounts() planner.Amounts {
	var used planner.Amounts
	for _, j := range jt.ByID {
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

// NoteCancelled keeps when a cancellation was confirmed, or an earlier time: it
// isn't counted from when this leader came to know of it, since each change of
// leader would then put the end of its tasks off.
func (jt *Table) NoteCancelled(j *Job, at clock.Micros) {
	if !j.Cancelled {
		slog.Debug("job cancelled", "job", j.Spec.ID, "placed", len(j.Placed), "ago_s", (jt.Now() - at).Seconds())
		j.Cancelled, j.CancelConfirmedAt = true, at
	}
	j.CancelConfirmedAt = min(j.CancelConfirmedAt, at)
}

// AwaitPermission prepares what is known of a guest beyond its record. Whatever an earlier leader was
// permitted, this one has to ask for itself.
func (jt *Table) AwaitPermission(j *Job) {
	j.Permission = delegation.Patient(jt.Now() + AnnounceTime)
}

// Forget drops a job whose record is gone.
func (jt *Table) Forget(j *Job) {
	jt.FinalVersions[j.Spec.ID] = j.Version
	delete(jt.ByID, j.Spec.ID)
}

const (
	// UnmetDemandGap is longer than it takes from one plan to the next.
	UnmetDemandGap = 10 * clock.Second
	// AnnounceTime is given to machines to speak for themselves at the beginning of a term.
	AnnounceTime = 4 * clock.Second
)
