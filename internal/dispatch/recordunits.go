package dispatch

import (
	"postpoint/internal/clock"
	"postpoint/internal/ledger"
	"postpoint/internal/protocol"
)

// head stands for a job's record, or the head of a divided one, where parts are numbered.
const head = -1

// write is a change of one stored value of a job.
type write struct {
	j       *job
	v       *storedValue
	part    int // or head
	changed int
	// guard is the version of the head that a part's change depends on.
	guard  int64
	remove bool
}

func (w *write) key() string {
	if w.part == head {
		return ledger.Key(w.j.Spec.ID)
	}
	return ledger.PartKey(w.j.Spec.ID, w.part)
}

// change is what is written, made when it is sent.
func (w *write) change() protocol.Change {
	switch {
	case w.part == head:
		return protocol.Change{Put: w.key(), Value: w.j.Encode()}
	case w.remove:
		return protocol.Change{Delete: w.key()}
	}
	return protocol.Change{Put: w.key(), Value: w.j.EncodePart(w.part)}
}

// Urgencies of changes of one rank.
const (
	urgentWhole   = iota // a whole job waits for it
	urgentStart          // some tasks of a job wait for it, or all while it is divided
	urgentEnds           // ends of some tasks among many, that nobody waits for
	urgentRemoval        // of parts that nobody needs any more
)

// unit are changes that go in one transaction or not at all.
type unit struct {
	writes  []write
	rank    int
	urgency int
	dirtyAt clock.Micros
}

// removals are the parts of a job that is over which hold nothing that may still run.
func removals(j *job, rank int) []unit {
	if !j.isStored() {
		return nil // until its end is stored they are needed
	}
	needed := map[int]bool{}
	for task := range j.Placed {
		if j.PartSize > 0 {
			needed[j.PartOf(task)] = true
		}
	}
	var units []unit
	for i, v := range j.parts {
		if v.version != 0 && !v.uncertain && !v.inFlight && !needed[i] {
			units = append(units, unit{[]write{{j: j, v: v, part: i, changed: v.changed, guard: j.version, remove: true}}, rank, urgentRemoval, 0})
		}
	}
	return units
}

// headUrgency orders the changes of one rank: what a whole job waits for, then
// starts, then ends of some tasks among many.
func headUrgency(j *job) int {
	switch {
	case j.dividing:
		return urgentStart
	case j.Final() || j.Spec.Gang() || len(j.fresh) > 0 && len(j.fresh) == len(j.Placed):
		return urgentWhole
	case len(j.fresh) > 0:
		return urgentStart
	}
	return urgentEnds
}

func partUrgency(j *job, v *storedValue) int {
	if j.dividing || len(v.fresh) > 0 {
		return urgentStart
	}
	return urgentEnds
}

// commitDelay is how long a change may wait for others of its value: each write
// costs a part of the state service's budget however much it changes, and the
// ends of single tasks, that nobody waits for, come one by one. A divided record costs
// a write for each of its parts.
func commitDelay(urgency int, j *job) clock.Micros {
	switch {
	case urgency != urgentEnds:
		return 0
	case j.PartSize > 0:
		return partEndsTime
	}
	return endsTime
}

const (
	endsTime     = 700 * clock.Millisecond
	partEndsTime = 4 * clock.Second
)

// dirtyUnits are the changes that are due, and reads those records again that must be.
func (rw *recordWriter) dirtyUnits() []unit {
	var units []unit
	for _, j := range inOrder(rw.jobs.byID) {
		switch {
		case j.reread && j.fence:
			units = append(units, rw.fenceUnit(j)...)
		case j.reread:
			rw.reader.readAgain(j)
		case j.partsUnread:
		default:
			if j.strayParts {
				rw.reader.findStrayParts(j)
			}
			units = append(units, rw.unitsOf(j)...)
		}
	}
	return units
}

// fenceUnit writes the head of a divided record anew before its parts are read. Changes of
// parts that had no answer depend on the head's version: they can't be carried out any more
// after it, while a read before it may not show them yet.
func (rw *recordWriter) fenceUnit(j *job) []unit {
	v := &j.storedValue
	if v.inFlight {
		return nil
	}
	v.touch(rw.now())
	return []unit{{[]write{{j: j, v: v, part: head, changed: v.changed}}, j.rank(), urgentWhole, v.dirtyAt}}
}

// unitsOf are the changes of one job that are due.
func (rw *recordWriter) unitsOf(j *job) []unit {
	var units []unit
	rank := j.rank()
	if v := &j.storedValue; !v.inFlight && v.changed != v.durable && (!j.dividing || j.partsStored()) {
		urgency := headUrgency(j)
		if rw.now() >= v.dirtyAt+commitDelay(urgency, j) {
			units = append(units, unit{[]write{{j: j, v: v, part: head, changed: v.changed}}, rank, urgency, v.dirtyAt})
		}
	}
	if j.Final() {
		rw.reader.findParts(j)
		return append(units, removals(j, rank)...)
	}
	_, txnOps := rw.recordLimits()
	parts := unit{rank: rank, urgency: urgentWhole} // of a gang, which starts whole
	for i, v := range j.parts {
		if v.isStored() || v.inFlight {
			continue
		}
		w := write{j: j, v: v, part: i, changed: v.changed, guard: j.version}
		urgency := partUrgency(j, v)
		switch {
		case j.Spec.Gang() && !j.dividing && len(j.parts) <= txnOps:
			parts.writes = append(parts.writes, w)
			parts.dirtyAt = max(parts.dirtyAt, v.dirtyAt)
		case rw.now() >= v.dirtyAt+commitDelay(urgency, j):
			units = append(units, unit{[]write{w}, rank, urgency, v.dirtyAt})
		}
	}
	if len(parts.writes) > 0 {
		units = append(units, parts)
	}
	return units
}
