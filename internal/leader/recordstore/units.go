package recordstore

import (
	"postpoint/internal/clock"
	"postpoint/internal/jobrecord"
	"postpoint/internal/leader/jobtable"
	"postpoint/internal/ordered"
	"postpoint/internal/protocol"
)

// HeadIndex stands for a job's record, or the head of a sharded one, where shards are numbered.
const HeadIndex = -1

// Write is a change of one stored value of a job.
type Write struct {
	Job   *jobtable.Job
	Value *jobtable.StoredValue
	Shard int // the shard's number, or HeadIndex
	// ChangeCount is the value's count of changes that this write stores.
	ChangeCount int
	// headVersion is the version of the head that a shard's change depends on.
	headVersion protocol.Revision
	remove      bool
}

// headWrite returns the write of a job's record or head as it is now.
func headWrite(j *jobtable.Job) Write {
	return Write{Job: j, Value: &j.StoredValue, Shard: HeadIndex, ChangeCount: j.ChangeCount}
}

// shardWrite returns the write of a shard as it is now.
func shardWrite(j *jobtable.Job, shard int) Write {
	v := j.Shards[shard]
	return Write{Job: j, Value: v, Shard: shard, ChangeCount: v.ChangeCount, headVersion: j.Version}
}

func (w *Write) key() string {
	if w.Shard == HeadIndex {
		return jobrecord.Key(w.Job.Spec.ID)
	}
	return jobrecord.ShardKey(w.Job.Spec.ID, w.Shard)
}

// change returns what is written, encoded only when it is about to be sent.
func (w *Write) change() protocol.Change {
	switch {
	case w.Shard == HeadIndex:
		return protocol.Change{Put: w.key(), Value: w.Job.Encode()}
	case w.remove:
		return protocol.Change{Delete: w.key()}
	}
	return protocol.Change{Put: w.key(), Value: w.Job.EncodeShard(w.Shard)}
}

// end ends the time in which the write is in flight. Releases that it may contradict are confirmed
// if it is decided, and no earlier write of the value can come late.
func (w *Write) end(decided bool) {
	w.Value.InFlight = false
	if decided && !w.Value.OutcomeUnknown {
		w.Value.UnconfirmedReleases = nil
	}
}

// markStored notes that the write was carried out.
func (w *Write) markStored(revision protocol.Revision) {
	w.Value.Version, w.Value.StoredCount, w.Value.RefusedBytes = revision, w.ChangeCount, 0
	w.Value.ResolveOutcome()
	if w.remove {
		w.Value.Version = 0
	}
}

// urgency orders the changes of one rank.
type urgency int

const (
	urgencyWhole   urgency = iota // a whole job waits for it
	urgencyStart                  // some tasks of a job wait for it, or all while it is sharded
	urgencyEnds                   // ends of some tasks among many, that nobody waits for
	urgencyRemoval                // of shards that nobody needs any more
)

// WriteUnit is a set of changes that go in one transaction or not at all.
type WriteUnit struct {
	writes    []Write
	rank      int
	urgency   urgency
	changedAt clock.Micros
}

const (
	// endedTasksDelay is how long the end of a task may wait for other changes of its record.
	endedTasksDelay = 700 * clock.Millisecond
	// shardEndedTasksDelay is the same for sharded records, that cost a write for each shard.
	shardEndedTasksDelay = 4 * clock.Second
)

// PendingUnits returns the changes that are due, and starts to read the records that must be
// reloaded.
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

// fenceUnit writes the head of a sharded record anew before its shards are read. Changes of shards
// that had no response depend on the head's version: they can't be carried out any more after it,
// while a read before it may not show them yet.
func (w *Writer) fenceUnit(j *jobtable.Job) []WriteUnit {
	if j.InFlight {
		return nil
	}
	w.jobs.NoteHeadChange(j)
	return []WriteUnit{{[]Write{headWrite(j)}, j.Rank(), urgencyWhole, j.ChangedAt}}
}

// unitsOf returns the changes of one job that are due. Once a job is over its shards aren't written
// any more, but removed.
func (w *Writer) unitsOf(j *jobtable.Job) []WriteUnit {
	units := w.headUnits(j)
	if j.Final() {
		w.reader.findShards(j)
		return append(units, removalUnits(j)...)
	}
	return append(units, w.shardUnits(j)...)
}

// headUnits returns the change of a job's record or head, if it is due. A record that is being
// sharded gets its head once all of its shards are stored.
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

// shardUnits returns the changes of a job's shards that are due: each for itself, or all together
// for a gang, which starts as a whole.
func (w *Writer) shardUnits(j *jobtable.Job) []WriteUnit {
	_, txnOps := w.Limits()
	together := j.Spec.Gang() && !j.Sharding() && len(j.Shards) <= txnOps
	var units []WriteUnit
	whole := WriteUnit{rank: j.Rank(), urgency: urgencyWhole}
	for shard, v := range j.Shards {
		if v.IsStored() || v.InFlight {
			continue
		}
		urgency := shardUrgency(j, v)
		switch {
		case together:
			whole.writes = append(whole.writes, shardWrite(j, shard))
			whole.changedAt = max(whole.changedAt, v.ChangedAt)
		case w.Now() >= v.ChangedAt+commitDelay(urgency, j):
			units = append(units, WriteUnit{[]Write{shardWrite(j, shard)}, j.Rank(), urgency, v.ChangedAt})
		}
	}
	if len(whole.writes) > 0 {
		units = append(units, whole)
	}
	return units
}

// removalUnits returns the removals of those shards of a job that is over which hold nothing that
// may still run.
func removalUnits(j *jobtable.Job) []WriteUnit {
	if !j.IsStored() {
		return nil // until its end is stored they are needed
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

// headUrgency puts what a whole job waits for before starts, and those before ends of some tasks
// among many.
func headUrgency(j *jobtable.Job) urgency {
	switch {
	case j.Sharding():
		return urgencyStart
	case j.Final() || j.Spec.Gang() || len(j.Uncommitted) > 0 && len(j.Uncommitted) == len(j.Placements):
		return urgencyWhole
	case len(j.Uncommitted) > 0:
		return urgencyStart
	}
	return urgencyEnds
}

func shardUrgency(j *jobtable.Job, v *jobtable.StoredValue) urgency {
	if j.Sharding() || len(v.Uncommitted) > 0 {
		return urgencyStart
	}
	return urgencyEnds
}

// commitDelay is how long a change may wait for others of its value. Each write costs a part of the
// store's rate limit however much it changes, and the ends of single tasks, that nobody waits for,
// come one by one.
func commitDelay(urgency urgency, j *jobtable.Job) clock.Micros {
	switch {
	case urgency != urgencyEnds:
		return 0
	case j.ShardSize > 0:
		return shardEndedTasksDelay
	}
	return endedTasksDelay
}
