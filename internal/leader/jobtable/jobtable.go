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
	"postpoint/internal/jobrecord"
	"postpoint/internal/leader/machinetable"
	"postpoint/internal/leader/term"
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

	// ByID has the jobs by their ids.
	ByID map[protocol.JobID]*Job
	// FinalVersions are the last versions of jobs that are over, until following the records has
	// caught up with them: an older version that still arrives is outdated.
	FinalVersions map[protocol.JobID]protocol.Revision
	// Malformed are the ids of jobs whose records can't be decoded.
	Malformed map[protocol.JobID]bool
	// StrayShards are the versions of stored shards, by key, that belong to no sharded record.
	StrayShards map[string]protocol.Revision
}

// New returns an empty table.
func New(state *term.State, machines *machinetable.Table, steps *term.StepTimer) *Table {
	return &Table{State: state, machines: machines, steps: steps}
}

// End forgets the jobs when the term is over.
func (t *Table) End() { t.ByID = nil }

// LossObserver is told of placements that are lost before their tasks are done.
type LossObserver interface {
	PlacementLost(j *Job, machineName protocol.MachineName)
}

// Begin forgets what was known in earlier terms.
func (t *Table) Begin() {
	t.ByID = map[protocol.JobID]*Job{}
	t.FinalVersions = map[protocol.JobID]protocol.Revision{}
	t.Malformed = map[protocol.JobID]bool{}
	t.StrayShards = map[string]protocol.Revision{}
}

// QuarantineRecord forgets a job whose record can't be decoded, and notes its id: what may be running
// of it is never guessed at.
func (t *Table) QuarantineRecord(id protocol.JobID, err error) {
	slog.Error("malformed record", "job", id, "error", err)
	t.Malformed[id] = true
	delete(t.ByID, id)
}

// NoteTaskChange notes a change of a task's state. While a record is being sharded both of its forms
// have to follow.
func (t *Table) NoteTaskChange(j *Job, task int) {
	j.valueOf(task).NoteChange(t.Now())
	if j.Sharding() {
		j.ShardValue(task).NoteChange(t.Now())
	}
	j.RunningStale = true
}

// NoteHeadChange notes a change of the job's own state, as against that of its tasks.
func (t *Table) NoteHeadChange(j *Job) {
	j.StoredValue.NoteChange(t.Now())
}

// AddPlacement adds a placement. It takes capacity from now on, and is acted on once it is durable.
func (t *Table) AddPlacement(j *Job, p jobrecord.Placement) {
	j.Placements[p.Task] = p
	t.machines.AddPlacement(j.Spec.ID, p)
	t.NoteTaskChange(j, p.Task)
	v := j.valueOf(p.Task)
	j.ProposedAt[p.Task] = v.ChangeCount
	v.Uncommitted = append(v.Uncommitted, p.Task)
}

// ReleasePlacement releases a placement. Only proof that its task can't run there any more allows
// that: see docs/rules.md.
func (t *Table) ReleasePlacement(j *Job, p jobrecord.Placement) {
	delete(j.Placements, p.Task)
	delete(j.Stops, p.Task)
	delete(j.ProposedAt, p.Task)
	if v := j.valueOf(p.Task); v.InFlight || v.OutcomeUnknown {
		v.UnconfirmedReleases = append(v.UnconfirmedReleases, p)
	}
	t.machines.RemovePlacement(j.Spec.ID, p)
	t.NoteTaskChange(j, p.Task)
	if !j.Done.Contains(p.Task) {
		t.Losses.PlacementLost(j, p.Machine)
		// The task is to run again, under another attempt than any before.
		j.NextAttempt = max(j.NextAttempt, p.Attempt+1)
	}
	t.steps.Wake()
}

// RemoveFromMachines removes a job's placements from its machines, but not from its record.
func (t *Table) RemoveFromMachines(j *Job) {
	for _, p := range ordered.ByKey(j.Placements) {
		t.machines.RemovePlacement(j.Spec.ID, p)
	}
}

// ForgetIfOver drops a job that is over, has no placements, and is stored like that.
func (t *Table) ForgetIfOver(j *Job) {
	if j.Final() && len(j.Placements) == 0 && j.allStored() && !j.HasStrayShards() && j.Permission == nil {
		t.Forget(j)
	}
}

// Forget drops a job that needs no leader any more, or whose record is gone.
func (t *Table) Forget(j *Job) {
	t.FinalVersions[j.Spec.ID] = j.Version
	delete(t.ByID, j.Spec.ID)
}

// returnCapacity lets the jobs that were preempted for a job have their capacity back first.
func (t *Table) returnCapacity(j *Job) {
	for _, id := range j.Lenders {
		if lender := t.ByID[id]; lender != nil {
			lender.Reclaiming = true
		}
	}
}

// TasksWithinQuota returns how many more tasks of a job its team's limit allows, over all cells.
func (t *Table) TasksWithinQuota(j *Job) int {
	team, _ := t.Settings.Deployment.Team(j.Spec.Team)
	room := planner.Resources{Cpus: team.CpusMax, Gpus: team.GpusMax, MemoryGB: planner.UnlimitedMemoryGB}
	for _, other := range t.ByID {
		if other.Spec.Team == j.Spec.Team {
			room = room.Minus(planner.TaskResources(&other.Spec).Times(float64(other.PlacementsTaken())))
		}
	}
	if team.CpusMax == 0 { // no limit
		room.Cpus = math.MaxInt32
	}
	if team.GpusMax == 0 {
		room.Gpus = math.MaxInt32
	}
	return planner.TaskResources(&j.Spec).CopiesIn(room)
}

// ZonesOf counts a job's placements by zone, those in unknown ones under "".
func (t *Table) ZonesOf(j *Job) map[string]int {
	zones := map[string]int{}
	for _, p := range j.Placements {
		zone := ""
		if m := t.machines.ByName[p.Machine]; m != nil {
			zone = m.Zone
		}
		zones[zone]++
	}
	return zones
}

// AbandonSharding goes on with the undivided record, which has been the valid one all along.
func (t *Table) AbandonSharding(j *Job) {
	j.ShardSize, j.Marked = 0, j.Spec.Service()
	t.DropShards(j)
}

// DropShards forgets the shards of a record that turned out to be undivided. What is stored of them
// has to be looked for.
func (t *Table) DropShards(j *Job) {
	if len(j.Shards) > 0 {
		j.Shards = nil
		j.NoteRecordEvent(EventShardsDropped)
	}
}

// CompleteIfDone makes a job done once all of its tasks are. A service never is.
func (t *Table) CompleteIfDone(j *Job) {
	if j.Final() || j.Spec.Service() || j.Done.Len() < j.Spec.Tasks {
		return
	}
	j.Status = protocol.StatusDone
	if j.Sharding() {
		t.AbandonSharding(j) // its record is small enough again
	}
	t.NoteHeadChange(j)
	t.returnCapacity(j)
}

// IsHosted reports whether an id is that of a known hosted job.
func (t *Table) IsHosted(id protocol.JobID) bool {
	j := t.ByID[id]
	return j != nil && j.Hosted != nil
}

// HostedByOrigin returns the hosted jobs by their origin cells, each cell's in the order of their ids.
func (t *Table) HostedByOrigin() map[string][]*Job {
	hosted := map[string][]*Job{}
	for _, j := range ordered.ByKey(t.ByID) {
		if j.Hosted != nil {
			hosted[j.Hosted.OriginCell] = append(hosted[j.Hosted.OriginCell], j)
		}
	}
	return hosted
}

// HostedAmounts returns what hosted jobs may use at once.
func (t *Table) HostedAmounts() planner.Resources {
	var used planner.Resources
	for _, j := range t.ByID {
		if j.Hosted == nil || j.Final() {
			continue
		}
		tasks := len(j.Placements)
		if !j.Hosted.Closed {
			tasks += j.PendingCount()
		}
		used = used.Plus(planner.TaskResources(&j.Spec).Times(float64(tasks)))
	}
	return used
}

// NoteCancelled notes when a cancellation was confirmed to a user, or an earlier time. It isn't counted
// from when this leader came to know of it, since each change of leader would then put the end of the
// job's tasks off.
func (t *Table) NoteCancelled(j *Job, at clock.Micros) {
	if !j.Cancelled {
		slog.Debug("job cancelled", "job", j.Spec.ID, "placed", len(j.Placements), "ago_s",
			(t.Now() - at).Seconds())
		j.Cancelled, j.CancelConfirmedAt = true, at
	}
	j.CancelConfirmedAt = min(j.CancelConfirmedAt, at)
}

// AwaitPermission has a hosted job wait for the permission of its origin cell. Whatever an earlier
// leader was permitted, this one has to ask for itself.
func (t *Table) AwaitPermission(j *Job) {
	j.Permission = delegation.NewPermission(t.Now() + AnnounceTime)
}

const (
	// unmetDemandGap is longer than it takes from one plan to the next: demand that no plan had unmet
	// for so long is met.
	unmetDemandGap = 10 * clock.Second
	// AnnounceTime is how long machines have to send their heartbeats at the beginning of a term.
	AnnounceTime = 4 * clock.Second
)
