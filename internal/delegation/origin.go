package delegation

import (
	"slices"

	"postpoint/internal/clock"
	"postpoint/internal/jobrecord"
)

// Delegation is a delegation as the origin cell's leader knows it. Times are on the leader's clock.
type Delegation struct {
	Record
	// Offerable says that the record, and the tasks' assignment to the host, are stored.
	Offerable bool
	// Outstanding are the tasks that are still the host's, as far as the origin's leader knows.
	Outstanding jobrecord.TaskSet
	// clearAt is when nothing of it runs or can start any more, if no other permission is given;
	// 0 if none ever was.
	clearAt clock.Micros
	// LastStatus is the host's last status, LastStatusAt when it came.
	LastStatus   Status
	LastStatusAt clock.Micros
}

// New returns a delegation that its origin cell is about to offer. Nobody has any permission yet.
func New(r Record) *Delegation { return &Delegation{Record: r, Outstanding: r.Tasks} }

// Restore returns a delegation from the records that a new leader has read: earlier leaders may
// have given permissions until the term began, after which nothing runs for longer than proofTime.
func Restore(r Record, termBegan, proofTime clock.Micros) *Delegation {
	return &Delegation{Record: r, Outstanding: r.Tasks, Offerable: true, clearAt: termBegan + proofTime}
}

// NotePermission notes a permission that was given while all cancellations before known were known.
func (d *Delegation) NotePermission(known, proofTime clock.Micros) {
	d.clearAt = max(d.clearAt, known+proofTime)
}

// IsClear reports whether nothing of it runs or can start any more, whatever the host does: there was
// no permission, or the last one ended long enough ago.
func (d *Delegation) IsClear(now clock.Micros) bool { return now >= d.clearAt }

// FreedTasks are the tasks that no longer belong to a delegation.
type FreedTasks struct {
	Completed []int
	// Unfinished tasks may start in the origin cell again.
	Unfinished []int
}

// ApplyStatus takes the host's status, in whatever order statuses arrive: all of it that matters never
// changes once it is true.
func (d *Delegation) ApplyStatus(s Status, now clock.Micros) FreedTasks {
	d.LastStatus, d.LastStatusAt = s, now
	freed := d.free(&s)
	d.State = d.stateAfter(&s)
	return freed
}

// free takes the tasks out of the delegation that a status of the host frees, and returns them.
func (d *Delegation) free(s *Status) FreedTasks {
	var freed FreedTasks
	var left jobrecord.TaskSet
	for task := range d.Outstanding.All() {
		switch {
		case s.Done.Contains(task):
			freed.Completed = append(freed.Completed, task)
		case s.Closed && !s.Held.Contains(task):
			freed.Unfinished = append(freed.Unfinished, task)
		default:
			left.Add(task)
		}
	}
	d.Outstanding = left
	return freed
}

// stateAfter returns the state after a status of the host.
func (d *Delegation) stateAfter(s *Status) State {
	hostIsDone := s.Closed && s.Held.Len() == 0
	switch {
	case d.State == Refused || d.State == Ended:
		return d.State
	case hostIsDone && d.State == Offered:
		return Refused
	case hostIsDone:
		return Ended
	case d.State == Offered:
		return Accepted
	}
	return d.State
}

// Expire frees all tasks of a delegation whose host has had no permission for long enough.
func (d *Delegation) Expire() FreedTasks {
	freed := FreedTasks{Unfinished: slices.Collect(d.Outstanding.All())}
	d.Outstanding, d.State = jobrecord.TaskSet{}, Ended
	return freed
}

// Recall asks for the tasks back, for good.
func (d *Delegation) Recall() {
	if d.State == Offered || d.State == Accepted {
		d.State = Recalled
	}
}

// NextAction returns what the host may do, cancellations apart. stop ends also what runs.
func (d *Delegation) NextAction(stop bool) Action {
	switch {
	case d.State != Recalled:
		return Continue
	case stop:
		return Stop
	}
	return Close
}

// IsOver reports whether nothing of it is the host's any more: once the records say so too, the
// origin cell forgets it, and tells the host to.
func (d *Delegation) IsOver() bool {
	return d.Outstanding.Len() == 0 && (d.State == Ended || d.State == Refused)
}
