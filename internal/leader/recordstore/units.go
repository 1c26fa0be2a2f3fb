package recordstore

import (
	"postpoint/internal/clock"
	"postpoint/internal/jobrecord"
	"postpoint/internal/leader/jobtable"
	"postpoint/internal/ordered"
	"postpoint/internal/protocol"
)

// HeadIndex denotes a job's record, or the head of a sharded one, in place of a shard number.
const HeadIndex = -1

// Write is a change of one stored value of a job.
type Write struct {
	Job   *jobtable.Job
	Value *jobtable.StoredValue
	Shard int // the shard's number, or HeadIndex
	// ChangeCount is the value's ChangeCount for the content that this write stores.
	ChangeCount int
	// headVersion is the version of the head that the write of a shard requires.
	headVersion protocol.Revision
	remove      bool // deletes the shard
}

// headWrite returns the write of a job's current record or head.
func headWrite(j *jobtable.Job) Write {
	return Write{Job: j, Value: &j.StoredValue, Shard: HeadIndex, ChangeCount: j.ChangeCount}
}

// shardWrite returns the write of a shard's current content.
func shardWrite(j *jobtable.Job, shard int) Write {
	v := j.Shards[shard]
	return Write{Job: j, Value: v, Shard: shard, ChangeCount: v.ChangeCount, headVersion: j.Version}
}

// key returns the key of the value in the store.
func (w *Write) key() string {
	if w.Shard == HeadIndex {
		return jobrecord.Key(w.Job.Spec.ID)
	}
	return jobrecord.ShardKey(w.Job.Spec.ID, w.Shard)
}

// change returns the change that the transaction contains. It encodes the value only now, just before
// the writer sends it.
func (w *Write) change() protocol.Change {
	switch {
	case w.Shard == HeadIndex:
		return protocol.Change{Put: w.key(), Value: w.Job.Encode()}
	case w.remove:
		return protocol.Change{Delete: w.key()}
	}
	return protocol.Change{Put: w.key(), Value: w.Job.EncodeShard(w.Shard)}
}

// recordResponse records that the write isn't in flight any more. If its outcome is decided and the store
// can't execute any earlier write of the value either, recordResponse confirms the releases of placements
// in the value.
func (w *Write) recordResponse(decided bool) {
	w.Value.InFlight = false
	if decided && !w.Value.OutcomeUnknown {
		w.Value.UnconfirmedReleases = nil
	}
}

// markStored records that the store committed the write at a revision.
func (w *Write) markStored(revision protocol.Revision) {
	w.Value.Version, w.Value.StoredCount, w.Value.RejectedBytes = revision, w.ChangeCount, 0
	w.Value.ResolveOutcome()
	if w.remove {
		w.Value.Version = 0
	}
}

// urgency orders the changes of jobs with the same rank.
type urgency int

const (
	urgencyWholeJob urgency = iota // a whole job waits for it
	urgencyStart                   // some tasks of a job wait for it, or all while it is being sharded
	urgencyExit                    // exits of some tasks among many, which nobody waits for
	urgencyRemoval                 // removal of shards that nobody needs any more
)

// WriteUnit is a set of changes that the writer commits in one transaction or not at all.
type WriteUnit struct {
	writes    []Write
	rank      int
	urgency   urgency
	changedAt clock.Micros
}

const (
	// exitCommitDelay is how long the exit of a task may wait for other changes of its record.
	exitCommitDelay = 700 * clock.Millisecond
	// shardExitCommitDelay is the delay for sharded records, which need one write per shard.
	shardExitCommitDelay = 4 * clock.Second
)

// PendingUnits returns the changes that are due, and starts to read the records that must be reloaded.
func (w *Writer) PendingUnits() []WriteUnit {
	var units []WriteUnit
	for _, j := range ordered.ByKey(w.jobs.ByID) {
		switch {
		case j.MustFence():
			units = append(units, w.fenceUnit(j)...)
		case j.MustReload():
			w.reader.reload(j)
		case j.ShardsUnread():
		default:
			if j.HasStrayShards() {
				w.reader.findStrayShards(j)
			}
			units = append(units, w.unitsOf(j)...)
		}
	}
	return units
}

// fenceUnit returns a write of a sharded record's head that must commit before its shards are read.
// Writes of shards with an unknown outcome require the head's present version: the store can't execute
// them after the head has changed, while a read before that might not show them yet.
func (w *Writer) fenceUnit(j *jobtable.Job) []WriteUnit {
	if j.InFlight {
		return nil
	}
	w.jobs.MarkHeadChanged(j)
	return []WriteUnit{{[]Write{headWrite(j)}, j.Rank(), urgencyWholeJob, j.ChangedAt}}
}

// unitsOf returns the changes of one job that are due. Once a job is final, the writer doesn't write
// its shards any more but removes them.
func (w *Writer) unitsOf(j *jobtable.Job) []WriteUnit {
	units := w.headUnits(j)
	if j.Final() {
		w.reader.findUnknownShards(j)
		return append(units, removalUnits(j)...)
	}
	return append(units, w.shardUnits(j)...)
}

// headUnits returns the change of a job's record or head if it is due. The head of a record that is
// being sharded is due only after all of its shards are stored.
func (w *Writer) headUnits(j *jobtable.Job) []WriteUnit {
	v := &j.StoredValue
	if v.InFlight || v.ChangeCount == v.StoredCount || j.Sharding() && !j.ShardsStored() {
		return nil
	}
	urgency := headUrgency(j)
	if w.Now() < v.ChangedAt+commitDelay(urgency, j) {
		return nil
	}
	return []WriteUnit{{[]Write{headWrite(j)}, j.Rank(), urgency, v.ChangedAt}}
}

// shardUnits returns the changes of a job's shards that are due. Each shard is a unit of its own,
// except that the shards of a gang, which starts as a whole, form a single unit if one transaction can
// hold all of them. While a gang's record is being sharded, its shards are separate units too.
func (w *Writer) shardUnits(j *jobtable.Job) []WriteUnit {
	_, txnOps := w.Limits()
	asOneUnit := j.Spec.IsGang() && !j.Sharding() && len(j.Shards) <= txnOps
	var units []WriteUnit
	gangUnit := WriteUnit{rank: j.Rank(), urgency: urgencyWholeJob}
	for shard, v := range j.Shards {
		if v.IsStored() || v.InFlight {
			continue
		}
		urgency := shardUrgency(j, v)
		switch {
		case asOneUnit:
			gangUnit.writes = append(gangUnit.writes, shardWrite(j, shard))
			gangUnit.changedAt = max(gangUnit.changedAt, v.ChangedAt)
		case w.Now() >= v.ChangedAt+commitDelay(urgency, j):
			units = append(units, WriteUnit{[]Write{shardWrite(j, shard)}, j.Rank(), urgency, v.ChangedAt})
		}
	}
	if len(gangUnit.writes) > 0 {
		units = append(units, gangUnit)
	}
	return units
}

// removalUnits returns the removals of the stored shards of a final job. It omits the shards that hold
// placements, because tasks in them may still run, and those that have a write in flight or with an
// unknown outcome.
func removalUnits(j *jobtable.Job) []WriteUnit {
	if !j.IsStored() {
		return nil // the shards are needed until the final record is stored
	}
	needed := map[int]bool{}
	if j.ShardSize > 0 {
		for task := range j.Placements {
			needed[j.ShardOf(task)] = true
		}
	}
	var units []WriteUnit
	for shard, v := range j.Shards {
		if v.Version == 0 || v.OutcomeUnknown || v.InFlight || needed[shard] {
			continue
		}
		removal := shardWrite(j, shard)
		removal.remove = true
		units = append(units, WriteUnit{[]Write{removal}, j.Rank(), urgencyRemoval, 0})
	}
	return units
}

// headUrgency returns the urgency of a change of a record or head. A change that a whole job waits for
// precedes starts of some tasks, and those precede exits of some tasks among many.
func headUrgency(j *jobtable.Job) urgency {
	switch {
	case j.Sharding():
		return urgencyStart
	case j.Final() || j.Spec.IsGang() || len(j.Uncommitted) > 0 && len(j.Uncommitted) == len(j.Placements):
		return urgencyWholeJob
	case len(j.Uncommitted) > 0:
		return urgencyStart
	}
	return urgencyExit
}

// shardUrgency returns the urgency of a change of a shard: starts precede exits.
func shardUrgency(j *jobtable.Job, v *jobtable.StoredValue) urgency {
	if j.Sharding() || len(v.Uncommitted) > 0 {
		return urgencyStart
	}
	return urgencyExit
}

// commitDelay returns how long a change may wait for other changes of the same value. Each write counts
// against the store's rate limit regardless of how much it changes, and the exits of single tasks,
// which nobody waits for, happen one at a time.
func commitDelay(urgency urgency, j *jobtable.Job) clock.Micros {
	switch {
	case urgency != urgencyExit:
		return 0
	case j.ShardSize > 0:
		return shardExitCommitDelay
	}
	return exitCommitDelay
}
