// Package jobtable owns the jobs of a term: the contents of their records, how much of them is
// stored, and their placements. It drops a job once the job is final, has no placements, and is
// stored in this state. It releases a placement only on proof that the task no longer runs
// (docs/rules.md). Package recordstore reads and writes the key-value store, and package scheduler
// chooses the placements.
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

// Table owns the jobs that aren't final, and the final ones until ForgetIfFinal drops them, with
// their records' contents and placements.
type Table struct {
	*term.State
	machines *machinetable.Table
	steps    *term.StepTimer
	// Losses is notified of placements that are lost before their tasks are done.
	Losses LossObserver

	// ByID holds the jobs by their ids.
	ByID map[protocol.JobID]*Job
	// FinalVersions holds the last record versions of final jobs. The watch of the records may
	// still deliver older versions, which are outdated; an entry stays until the watch has caught
	// up with it.
	FinalVersions map[protocol.JobID]protocol.Revision
	// Malformed holds the ids of jobs whose records can't be decoded.
	Malformed map[protocol.JobID]bool
	// StrayShards holds the versions of stored shards, by key, that belong to no sharded record.
	StrayShards map[string]protocol.Revision
}

// New returns an empty table.
func New(state *term.State, machines *machinetable.Table, steps *term.StepTimer) *Table {
	return &Table{State: state, machines: machines, steps: steps}
}

// End forgets the jobs when the term has ended.
func (t *Table) End() { t.ByID = nil }

// LossObserver is notified of placements that are lost before their tasks are done.
type LossObserver interface {
	// PlacementLost is called when the table releases the placement of a task that isn't done.
	PlacementLost(j *Job, machineName protocol.MachineName)
}

// Begin forgets the state of earlier terms.
func (t *Table) Begin() {
	t.ByID = map[protocol.JobID]*Job{}
	t.FinalVersions = map[protocol.JobID]protocol.Revision{}
	t.Malformed = map[protocol.JobID]bool{}
	t.StrayShards = map[string]protocol.Revision{}
}

// QuarantineRecord forgets a job whose record can't be decoded, and keeps its id: the leader never
// guesses which of its tasks may be running.
func (t *Table) QuarantineRecord(id protocol.JobID, err error) {
	slog.Error("malformed job record", "job", id, "error", err)
	t.Malformed[id] = true
	delete(t.ByID, id)
}

// MarkTaskChanged marks the stored value of a task's state as changed. While a record is being
// sharded, its undivided value and its shard must both be written.
func (t *Table) MarkTaskChanged(j *Job, task int) {
	j.valueOf(task).MarkChanged(t.Now())
	if j.Sharding() {
		j.ShardValue(task).MarkChanged(t.Now())
	}
	j.RunningStale = true
}

// MarkHeadChanged marks the head, which holds the job's own state rather than that of its tasks, as
// changed.
func (t *Table) MarkHeadChanged(j *Job) {
	j.StoredValue.MarkChanged(t.Now())
}

// AddPlacement adds a placement. The placement takes capacity immediately; the leader acts on it once
// it is committed.
func (t *Table) AddPlacement(j *Job, p jobrecord.Placement) {
	j.Placements[p.Task] = p
	j.WaitingSince = t.Now()
	t.machines.AddPlacement(j.Spec.ID, p)
	t.MarkTaskChanged(j, p.Task)
	v := j.valueOf(p.Task)
	j.ProposedAt[p.Task] = v.ChangeCount
	v.Uncommitted = append(v.Uncommitted, p.Task)
}

// ReleasePlacement releases a placement. The caller must have proof that the task can no longer run
// there: see docs/rules.md.
func (t *Table) ReleasePlacement(j *Job, p jobrecord.Placement) {
	if j.PendingCount() == 0 {
		j.WaitingSince = t.Now()
	}
	delete(j.Placements, p.Task)
	delete(j.Stops, p.Task)
	delete(j.ProposedAt, p.Task)
	if v := j.valueOf(p.Task); v.InFlight || v.OutcomeUnknown {
		v.UnconfirmedReleases = append(v.UnconfirmedReleases, p)
	}
	t.machines.RemovePlacement(j.Spec.ID, p)
	t.MarkTaskChanged(j, p.Task)
	if !j.Done.Contains(p.Task) {
		t.Losses.PlacementLost(j, p.Machine)
		// The task has to run again, with an attempt number that was never used before.
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

// ForgetIfFinal drops a job that is final, has no placements, and is stored in this state.
func (t *Table) ForgetIfFinal(j *Job) {
	if j.Final() && len(j.Placements) == 0 && j.allStored() && !j.HasStrayShards() && j.Permission == nil {
		t.Forget(j)
	}
}

// Forget drops a job that no longer needs a leader, or whose record doesn't exist any more.
func (t *Table) Forget(j *Job) {
	t.FinalVersions[j.Spec.ID] = j.Version
	delete(t.ByID, j.Spec.ID)
}

// returnCapacity gives the lenders of a job, which were preempted for it, priority for their
// capacity.
func (t *Table) returnCapacity(j *Job) {
	for _, id := range j.Lenders {
		if lender := t.ByID[id]; lender != nil {
			lender.Reclaiming = true
		}
	}
}

// TasksWithinQuota returns how many more tasks of a job its team's quota allows, over all cells.
func (t *Table) TasksWithinQuota(j *Job) int {
	team, _ := t.Settings.Deployment.Team(j.Spec.Team)
	free := planner.Resources{Cpus: team.CpusMax, Gpus: team.GpusMax, MemoryGB: planner.UnlimitedMemoryGB}
	for _, other := range t.ByID {
		if other.Spec.Team == j.Spec.Team {
			free = free.Minus(planner.TaskResources(&other.Spec).Times(float64(other.CountedPlacements())))
		}
	}
	if team.CpusMax == 0 { // no limit
		free.Cpus = math.MaxInt32
	}
	if team.GpusMax == 0 {
		free.Gpus = math.MaxInt32
	}
	return planner.TaskResources(&j.Spec).CopiesIn(free)
}

// PlacementsByZone counts a job's placements by zone, those in unknown zones under "".
func (t *Table) PlacementsByZone(j *Job) map[string]int {
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

// AbandonSharding keeps the undivided record, which has been the valid one throughout.
func (t *Table) AbandonSharding(j *Job) {
	j.ShardSize, j.FormatMarked = 0, j.Spec.IsService()
	t.DropShards(j)
}

// DropShards forgets the shards of a record that is undivided. Shards that were stored are now
// stray and have to be listed.
func (t *Table) DropShards(j *Job) {
	if len(j.Shards) > 0 {
		j.Shards = nil
		j.ApplyRecordEvent(EventShardsDropped)
	}
}

// CompleteIfDone makes a job final with the status done once all of its tasks are done. Services
// never complete.
func (t *Table) CompleteIfDone(j *Job) {
	if j.Final() || j.Spec.IsService() || j.Done.Len() < j.Spec.Tasks {
		return
	}
	j.Status = protocol.StatusDone
	if j.Sharding() {
		t.AbandonSharding(j) // the final record is small enough to stay undivided
	}
	t.MarkHeadChanged(j)
	t.returnCapacity(j)
}

// IsHosted reports whether an id belongs to a known hosted job.
func (t *Table) IsHosted(id protocol.JobID) bool {
	j := t.ByID[id]
	return j != nil && j.Hosted != nil
}

// HostedByOrigin returns the hosted jobs by their origin cells, each cell's in the order of their
// ids.
func (t *Table) HostedByOrigin() map[string][]*Job {
	hosted := map[string][]*Job{}
	for _, j := range ordered.ByKey(t.ByID) {
		if j.Hosted != nil {
			hosted[j.Hosted.OriginCell] = append(hosted[j.Hosted.OriginCell], j)
		}
	}
	return hosted
}

// HostedResources returns the resources that all hosted jobs may use at the same time.
func (t *Table) HostedResources() planner.Resources {
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

// MarkCancelled marks a job as cancelled. at is when the cancellation was confirmed to a user, or
// earlier. The time at which this leader learned of it doesn't count: each change of leader would
// then postpone the end of the job's tasks.
func (t *Table) MarkCancelled(j *Job, at clock.Micros) {
	if !j.Cancelled {
		slog.Debug("job cancelled", "job", j.Spec.ID, "placed", len(j.Placements), "ago_s",
			(t.Now() - at).Seconds())
		j.Cancelled, j.CancelConfirmedAt = true, at
	}
	j.CancelConfirmedAt = min(j.CancelConfirmedAt, at)
}

// AwaitPermission makes a hosted job wait for the permission of its origin cell. A permission that
// an earlier leader received doesn't count: each leader has to request its own.
func (t *Table) AwaitPermission(j *Job) {
	j.Permission = delegation.NewPermission(t.Now() + FirstHeartbeatWait)
}

const (
	// unmetDemandGap is longer than the time between two plans: demand counts as met if no plan
	// reported it as unmet for so long.
	unmetDemandGap = 10 * clock.Second
	// FirstHeartbeatWait is the time that machines have to send their first heartbeats of a term.
	FirstHeartbeatWait = 4 * clock.Second
)
