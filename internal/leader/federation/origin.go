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

	// Delegations are the tasks of this cell's jobs that other cells run, by number.
	Delegations map[int64]*trackedDelegation
	// HasMalformed reports that a delegation's record can't be decoded.
	HasMalformed  bool
	Numbers       NumberBlock
	saving        bool // records of delegations are being written or read
	nextOffloadAt clock.Micros
}

// NewOrigin returns the component that delegates own jobs.
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

// Begin drops what was known in earlier terms.
func (o *Origin) Begin() {
	o.Delegations = map[int64]*trackedDelegation{}
	o.HasMalformed = false
	o.Numbers = NumberBlock{}
	o.saving = false
}

// lostAfter is how long a host may be silent until it counts as lost, once it has no permission any more.
const lostAfter = 8 * clock.Second

// MatchDelegations releases the placements of all jobs with other cells that no delegation accounts for: it
// was never offered, or is over.
func (o *Origin) MatchDelegations() {
	for _, j := range ordered.ByKey(o.jobs.ByID) {
		o.MatchDelegation(j)
	}
}

// MatchDelegation releases a job's placements with other cells that no delegation accounts for, as long as
// all delegations are known.
func (o *Origin) MatchDelegation(j *jobtable.Job) {
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

// Delegate gives tasks of a job to another cell. The placements are stored first, then the delegation's
// record, and only then it is offered.
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

// Manage offloads and recalls work and carries delegations on, twice a second.
func (o *Origin) Manage() {
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

// checkDelegation recalls a delegation that is of no use any more, and ends one whose host can't run any of
// it any more.
func (o *Origin) checkDelegation(del *trackedDelegation) {
	j := o.jobs.ByID[del.Job]
	if j == nil || j.Over() || o.placementsLost(j, del) {
		del.Recall()
	}
	if !o.mayExpire(j, del) {
		return
	}
	freed := del.Expire()
	slog.Info("delegation expired", "job", del.Job, "cell", del.Host, "delegation", del.Number,
		"tasks", len(freed.Unfinished), "silent_s", (o.Now() - del.LastStatusAt).Seconds())
	o.releaseFreed(del, freed)
}

// mayExpire reports whether a delegation that its host is silent about, or that was recalled, can be ended
// without the host's word: no permission can be left.
func (o *Origin) mayExpire(j *jobtable.Job, del *trackedDelegation) bool {
	now := o.Now()
	silent := now > max(del.LastStatusAt, o.BegunAt)+lostAfter
	switch {
	case del.IsOver() || !del.IsClear(now):
		return false
	case !silent && del.State != delegation.Recalled:
		return false
	}
	return j == nil || !j.ReadPending()
}

// placementsLost reports whether some of a delegation's placements didn't get into its job's record.
func (o *Origin) placementsLost(j *jobtable.Job, del *trackedDelegation) bool {
	return !j.ReadPending() && !j.InFlight && !del.holdsAll(j)
}

// releaseFreed releases the placements of tasks that are no longer the host's.
func (o *Origin) releaseFreed(del *trackedDelegation, freed delegation.FreedTasks) {
	j := o.jobs.ByID[del.Job]
	if j == nil {
		return
	}
	for _, task := range freed.Completed {
		if p, placed := del.placement(j, task); placed {
			j.RecordDone(task)
			o.jobs.ReleasePlacement(j, p)
		}
	}
	returned := false
	for _, task := range freed.Unfinished {
		if p, placed := del.placement(j, task); placed {
			o.jobs.ReleasePlacement(j, p)
			returned = true
		}
	}
	if returned && !j.Over() {
		o.noteReturned(j, del)
	}
	o.jobs.CompleteIfDone(j)
}

// noteReturned notes that a host has given tasks back unfinished. Refusals don't count as returns, and each
// delegation counts once.
func (o *Origin) noteReturned(j *jobtable.Job, del *trackedDelegation) {
	j.GivenBackAt = o.Now()
	if del.State != delegation.Refused && !del.returnCounted {
		del.returnCounted = true
		j.ReturnCount++
		o.jobs.NoteHeadChange(j)
	}
}
