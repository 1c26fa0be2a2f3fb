package federation

import (
	"log/slog"
	"slices"

	"postpoint/internal/clock"
	"postpoint/internal/delegation"
	"postpoint/internal/jobrecord"
	"postpoint/internal/kvstore"
	"postpoint/internal/leader/autoscaler"
	"postpoint/internal/leader/jobtable"
	"postpoint/internal/leader/machinetable"
	"postpoint/internal/leader/recordstore"
	"postpoint/internal/leader/snapshots"
	"postpoint/internal/leader/term"
	"postpoint/internal/ordered"
)

// Origin delegates this cell's own jobs to other cells.
type Origin struct {
	*term.State
	Store      kvstore.Store
	jobs       *jobtable.Table
	catalogue  *machinetable.Catalogue
	reader     *recordstore.Reader
	writer     *recordstore.Writer
	autoscaler *autoscaler.Autoscaler
	snapshots  *snapshots.Builder
	cells      *Links
	steps      *term.StepTimer

	// Delegations holds the delegations of this cell's jobs to other cells, by number.
	Delegations map[int64]*trackedDelegation
	// HasMalformed reports that the record of some delegation can't be decoded.
	HasMalformed  bool
	Numbers       NumberBlock
	saving        bool // a read or write of delegations' records is in flight
	nextOffloadAt clock.Micros
}

// NewOrigin returns the component that delegates this cell's own jobs.
func NewOrigin(term *term.State, store kvstore.Store, jobs *jobtable.Table,
	catalogue *machinetable.Catalogue, reader *recordstore.Reader, writer *recordstore.Writer,
	autoscaler *autoscaler.Autoscaler, snapshots *snapshots.Builder, links *Links,
	steps *term.StepTimer) *Origin {
	return &Origin{
		State:      term,
		Store:      store,
		jobs:       jobs,
		catalogue:  catalogue,
		reader:     reader,
		writer:     writer,
		autoscaler: autoscaler,
		snapshots:  snapshots,
		cells:      links,
		steps:      steps,
	}
}

// Begin drops the state of earlier terms.
func (o *Origin) Begin() {
	o.Delegations = map[int64]*trackedDelegation{}
	o.HasMalformed = false
	o.Numbers = NumberBlock{}
	o.saving = false
}

// hostSilenceTimeout is the age of a delegation's last status beyond which its host counts as silent. The
// origin then ends the delegation once no permission for it is left.
const hostSilenceTimeout = 8 * clock.Second

// ReleaseOrphanedPlacements calls ReleaseOrphanedPlacementsOf for all jobs.
func (o *Origin) ReleaseOrphanedPlacements() {
	for _, j := range ordered.ByKey(o.jobs.ByID) {
		o.ReleaseOrphanedPlacementsOf(j)
	}
}

// ReleaseOrphanedPlacementsOf releases a job's placements with other cells that belong to no delegation:
// their delegation was never offered or is over. It does nothing while some delegations may be unknown.
func (o *Origin) ReleaseOrphanedPlacementsOf(j *jobtable.Job) {
	if o.reader.Loading || j.ShardsUnread() || o.HasMalformed {
		return
	}
	for _, p := range ordered.ByKey(j.Placements) {
		if p.HostCell() == "" {
			continue
		}
		if del := o.Delegations[p.Incarnation]; del == nil || !del.holds(j, p) {
			o.jobs.ReleasePlacement(j, p)
		}
	}
}

// Delegate delegates tasks of a job to another cell. The leader first stores the placements, then the
// delegation's record, and only then offers the delegation to the host.
func (o *Origin) Delegate(j *jobtable.Job, host string, tasks []int) {
	number := o.Numbers.take()
	r := delegation.Record{
		Number:    number,
		Host:      host,
		Job:       j.Spec.ID,
		State:     delegation.Offered,
		OfferedAt: int64(o.Mailbox.TimeOfDay()),
	}
	slices.Sort(tasks)
	attempt := j.CurrentAttempt()
	for _, task := range tasks {
		r.Tasks.Add(task)
		o.jobs.AddPlacement(j, jobrecord.Placement{
			Task:        task,
			Attempt:     attempt,
			Machine:     jobrecord.DelegatedTo(host),
			Incarnation: number,
		})
	}
	del := &trackedDelegation{Delegation: delegation.New(r)}
	del.LastStatusAt = o.Now()
	o.Delegations[number] = del
	slog.Info("tasks delegated", "job", j.Spec.ID, "cell", host, "delegation", number, "tasks",
		r.Tasks.String())
}

// ManageDelegations offloads and recalls tasks, ends delegations that have expired and saves the
// delegations' records. The leader calls it on each tick, twice a second.
func (o *Origin) ManageDelegations() {
	if len(o.Delegations) == 0 && !o.cells.Enabled() {
		return
	}
	if o.cells.Directory != nil {
		o.offload()
		o.recall()
	}
	for _, del := range ordered.ByKey(o.Delegations) {
		o.checkDelegation(del)
	}
	o.SaveDelegations()
}

// checkDelegation recalls a delegation that this cell no longer needs, and ends a delegation that may expire.
func (o *Origin) checkDelegation(del *trackedDelegation) {
	j := o.jobs.ByID[del.Job]
	if j == nil || j.MustNotRun() || o.placementsLost(j, del) {
		del.Recall()
	}
	if !o.mayExpire(j, del) {
		return
	}
	returned := del.Expire()
	slog.Info("delegation expired", "job", del.Job, "cell", del.Host, "delegation", del.Number,
		"tasks", len(returned.Unfinished), "silent_s", (o.Now() - del.LastStatusAt).Seconds())
	o.releaseReturned(del, returned)
}

// mayExpire reports whether the origin may end a delegation without a final status from its host. This
// requires that the delegation is recalled or its host silent, that no permission is left under which a task
// could still run or start, and that no read of the job's record is pending.
func (o *Origin) mayExpire(j *jobtable.Job, del *trackedDelegation) bool {
	now := o.Now()
	silent := now > max(del.LastStatusAt, o.BegunAt)+hostSilenceTimeout
	switch {
	case del.IsOver() || !del.IsExpired(now):
		return false
	case !silent && del.State != delegation.Recalled:
		return false
	}
	return j == nil || !j.ReadPending()
}

// placementsLost reports whether some of a delegation's placements are missing from its job while the job's
// record is neither being read nor written.
func (o *Origin) placementsLost(j *jobtable.Job, del *trackedDelegation) bool {
	return !j.ReadPending() && !j.InFlight && !del.holdsAll(j)
}

// releaseReturned releases the placements of tasks that no longer belong to a delegation, and marks completed
// tasks as done.
func (o *Origin) releaseReturned(del *trackedDelegation, returned delegation.ReturnedTasks) {
	j := o.jobs.ByID[del.Job]
	if j == nil {
		return
	}
	for _, task := range returned.Completed {
		if p, placed := del.placement(j, task); placed {
			j.RecordDone(task)
			o.jobs.ReleasePlacement(j, p)
		}
	}
	anyUnfinished := false
	for _, task := range returned.Unfinished {
		if p, placed := del.placement(j, task); placed {
			o.jobs.ReleasePlacement(j, p)
			anyUnfinished = true
		}
	}
	if anyUnfinished && !j.MustNotRun() {
		o.recordReturn(j, del)
	}
	o.jobs.CompleteIfDone(j)
}

// recordReturn records that a host has returned unfinished tasks of a job. It counts each delegation at most
// once, and doesn't count refusals.
func (o *Origin) recordReturn(j *jobtable.Job, del *trackedDelegation) {
	j.ReturnedAt = o.Now()
	if del.State != delegation.Refused && !del.returnCounted {
		del.returnCounted = true
		j.ReturnCount++
		o.jobs.MarkHeadChanged(j)
	}
}
