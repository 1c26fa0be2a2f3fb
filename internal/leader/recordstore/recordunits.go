package recordstore

import (
	"postpoint/internal/clock"
	"postpoint/internal/leader/jobtable"
	"postpoint/internal/ledger"
	"postpoint/internal/ordered"
	"postpoint/internal/protocol"
)

// HeadIndex stands for a job's record, or the head of a divided one, where parts are numbered.
const HeadIndex = -1

// Write is a change of one stored value of a job.
type Write struct {
	J       *jobtable.Job
	V       *jobtable.StoredValue
	Part    int // or head
	Changed int
	// guard is the version of the head that a part's change depends on.
	guard  int64
	remove bool
}

func (w *Write) key() string {
	if w.Part == HeadIndex {
		return ledger.Key(w.J.Spec.ID)
	}
	return ledger.PartKey(w.J.Spec.ID, w.Part)
}

// change is what is written, made when it is sent.
func (w *Write) change() protocol.Change {
	switch {
	case w.Part == HeadIndex:
		return protocol.Change{Put: w.key(), Value: w.J.Encode()}
	case w.remove:
		return protocol.Change{Delete: w.key()}
	}
	return protocol.Change{Put: w.key(), Value: w.J.EncodePart(w.Part)}
}

// Urgencies of changes of one rank.
const (
	urgentWhole   = iota // a whole job waits for it
	urgentStart          // some tasks of a job wait for it, or all while it is divided
	urgentEnds           // ends of some tasks among many, that nobody waits for
	urgentRemoval        // of parts that nobody needs any more
)

// WriteUnit are changes that go in one transaction or not at all.
type WriteUnit struct {
	writes  []Write
	rank    int
	urgency int
	dirtyAt clock.Micros
}

// removals are the parts of a job that is over which hold nothing that may still run.
func removals(j *jobtable.Job, rank int) []WriteUnit {
	if !j.IsStored() {
		return nil // until its end is stored they are needed
	}
	needed := map[int]bool{}
	for task := range j.Placed {
		if j.PartSize > 0 {
			needed[j.PartOf(task)] = true
		}
	}
	var units []WriteUnit
	for i, v := range j.Shards {
		if v.Version != 0 && !v.OutcomeUnknown && !v.InFlight && !needed[i] {
			units = append(units, WriteUnit{[]Write{{J: j, V: v, Part: i, Changed: v.ChangeCount, guard: j.Version, remove: true}}, rank, urgentRemoval, 0})
		}
	}
	return units
}

// headUrgency orders the changes of one rank: what a whole job waits for, then
// starts, then ends of some tasks among many.
func headUrgency(j *jobtable.Job) int {
	switch {
	case j.Sharding():
		return urgentStart
	case j.Final() || j.Spec.Gang() || len(j.Uncommitted) > 0 && len(j.Uncommitted) == len(j.Placed):
		return urgentWhole
	case len(j.Uncommitted) > 0:
		return urgentStart
	}
	return urgentEnds
}

func partUrgency(j *jobtable.Job, v *jobtable.StoredValue) int {
	if j.Sharding() || len(v.Uncommitted) > 0 {
		return urgentStart
	}
	return urgentEnds
}

// commitDelay is how long a change may wait for others of its value: each write
// costs a part of the state service's budget however much it changes, and the
// ends of single tasks, that nobody waits for, come one by one. A divided record costs
// a write for each of its parts.
func commitDelay(urgency int, j *jobtable.Job) clock.Micros {
	switch {
	case urgency != urgentEnds:
		return 0
	case j.PartSize > 0:
		return shardEndedTasksDelay
	}
	return endedTasksDelay
}

const (
	endedTasksDelay      = 700 * clock.Millisecond
	shardEndedTasksDelay = 4 * clock.Second
)

// PendingUnits are the changes that are due, and reads those records again that must be.
func (rw *Writer) PendingUnits() []WriteUnit {
	var units []WriteUnit
	for _, j := range ordered.ByKey(rw.jobs.ByID) {
		switch {
		case j.MustFence():
			units = append(units, rw.fenceUnit(j)...)
		case j.MustReload():
			rw.reader.reload(j)
		case j.ShardsUnread():
		default:
			if j.HasStrayShards() {
				rw.reader.findStrayShards(j)
			}
			units = append(units, rw.unitsOf(j)...)
		}
	}
	return units
}

// fenceUnit writes the head of a divided record anew before its parts are read. Changes of
// parts that had no answer depend on the head's version: they can't be carried out any more
// after it, while a read before it may not show them yet.
func (rw *Writer) fenceUnit(j *jobtable.Job) []WriteUnit {
	v := &j.StoredValue
	if v.InFlight {
		return nil
	}
	v.NoteChange(rw.Now())
	return []WriteUnit{{[]Write{{J: j, V: v, Part: HeadIndex, Changed: v.ChangeCount}}, j.Rank(), urgentWhole, v.ChangedAt}}
}

// unitsOf are the changes of one job that are due.
func (rw *Writer) unitsOf(j *jobtable.Job) []WriteUnit {
	var units []WriteUnit
	rank := j.Rank()
	if v := &j.StoredValue; !v.InFlight && v.ChangeCount != v.StoredCount && (!j.Sharding() || j.ShardsStored()) {
		urgency := headUrgency(j)
		if rw.Now() >= v.ChangedAt+commitDelay(urgency, j) {
			units = append(units, WriteUnit{[]Write{{J: j, V: v, Part: HeadIndex, Changed: v.ChangeCount}}, rank, urgency, v.ChangedAt})
		}
	}
	if j.Final() {
		rw.reader.findShards(j)
		return append(units, removals(j, rank)...)
	}
	_, txnOps := rw.Limits()
	parts := WriteUnit{rank: rank, urgency: urgentWhole} // of a gang, which starts whole
	for i, v := range j.Shards {
		if v.IsStored() || v.InFlight {
			continue
		}
		w := Write{J: j, V: v, Part: i, Changed: v.ChangeCount, guard: j.Version}
		urgency := partUrgency(j, v)
		switch {
		case j.Spec.Gang() && !j.Sharding() && len(j.Shards) <= txnOps:
			parts.writes = append(parts.writes, w)
			parts.dirtyAt = max(parts.dirtyAt, v.ChangedAt)
		case rw.Now() >= v.ChangedAt+commitDelay(urgency, j):
			units = append(units, WriteUnit{[]Write{w}, rank, urgency, v.ChangedAt})
		}
	}
	if len(parts.writes) > 0 {
		units = append(units, parts)
	}
	return units
}
