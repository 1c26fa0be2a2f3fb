package delegation

import (
	"iter"

	"postpoint/internal/clock"
	"postpoint/internal/ledger"
)

// Delegation is a delegation as the origin cell's leader knows it. Times are on the leader's clock.
type Delegation struct {
	Record
	// Offerable says that the record, and the tasks' assignment to the host, are stored.
	Offerable bool
	// Left are the tasks that are still the host's, as far as the origin's leader knows.
	Left ledger.Ranges
	// clearAt is when nothing of it runs or can start any more, if no other permission is given;
	// 0 if none ever was.
	clearAt clock.Micros
	// Reported is the host's last status, HeardAt when it came.
	Reported Status
	HeardAt  clock.Micros
}

// New returns a delegation that its origin cell is about to offer. Nobody has any permission yet.
func New(r Record) *Delegation { return &Delegation{Record: r, Left: r.Tasks} }

// Resumed returns a delegation from the records that a new leader has read: earlier leaders may
// have given permissions until the term began, after which nothing runs for longer than proofTime.
func Resumed(r Record, termBegan, proofTime clock.Micros) *Delegation {
	return &Delegation{Record: r, Left: r.Tasks, Offerable: true, clearAt: termBegan + proofTime}
}

// Permit notes a permission that was given while all cancellations before known were known.
func (d *Delegation) Permit(known, proofTime clock.Micros) {
	d.clearAt = max(d.clearAt, known+proofTime)
}

// Clear reports whether nothing of it runs or can start any more, whatever the host does: there was
// no permission, or the last one ended long enough ago.
func (d *Delegation) Clear(now clock.Micros) bool { return now >= d.clearAt }

// Freed are the tasks that no longer belong to a delegation.
type Freed struct {
	Completed []int
	// Unfinished tasks may start in the origin cell again.
	Unfinished []int
}

// Hear takes the host's status, in whatever order statuses arrive: all of it that matters never
// changes once it is true.
func (d *Delegation) Hear(s Status, now clock.Micros) Freed {
	d.Reported, d.HeardAt = s, now
	freed := d.freedBy(&s)
	d.remove(freed)
	d.State = d.stateAfter(&s)
	return freed
}

// freedBy returns the tasks that a status of the host frees.
func (d *Delegation) freedBy(s *Status) Freed {
	var freed Freed
	for task := range tasksIn(&d.Left) {
		switch {
		case s.Done.Has(task):
			freed.Completed = append(freed.Completed, task)
		case s.Closed && !s.Held.Has(task):
			freed.Unfinished = append(freed.Unfinished, task)
		}
	}
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
func (d *Delegation) Expire() Freed {
	var freed Freed
	for task := range tasksIn(&d.Left) {
		freed.Unfinished = append(freed.Unfinished, task)
	}
	d.remove(freed)
	d.State = Ended
	return freed
}

// remove takes freed tasks out of the delegation.
func (d *Delegation) remove(freed Freed) {
	gone := map[int]bool{}
	for _, task := range freed.Completed {
		gone[task] = true
	}
	for _, task := range freed.Unfinished {
		gone[task] = true
	}
	if len(gone) == 0 {
		return
	}
	var left ledger.Ranges
	for task := range tasksIn(&d.Left) {
		if !gone[task] {
			left.Add(task)
		}
	}
	d.Left = left
}

// tasksIn iterates over task numbers in ascending order.
func tasksIn(tasks *ledger.Ranges) iter.Seq[int] {
	return func(yield func(int) bool) {
		for task := tasks.NextIn(0); task <= tasks.Max(); task = tasks.NextIn(task + 1) {
			if !yield(task) {
				return
			}
		}
	}
}

// Recall asks for the tasks back, for good.
func (d *Delegation) Recall() {
	if d.State == Offered || d.State == Accepted {
		d.State = Recalled
	}
}

// Verdict returns what the host may do, cancellations apart. stop ends also what runs.
func (d *Delegation) Verdict(stop bool) Verdict {
	switch {
	case d.State != Recalled:
		return Continue
	case stop:
		return Stop
	}
	return Close
}

// Over reports whether nothing of it is the host's any more: once the records say so too, the
// origin cell forgets it, and tells the host to.
func (d *Delegation) Over() bool {
	return d.Left.Len() == 0 && (d.State == Ended || d.State == Refused)
}
