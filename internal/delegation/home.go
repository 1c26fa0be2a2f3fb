package delegation

import (
	"postpoint/internal/clock"
	"postpoint/internal/ledger"
)

// Delegation is a delegation as home's leader knows it. Times are on the leader's clock.
type Delegation struct {
	Record
	// Offerable tells that the record, and the tasks' places with the host, are stored.
	Offerable bool
	// Left are the tasks that are still the host's, as far as home's leader knows.
	Left ledger.Ranges
	// clearAt is when nothing of it runs or can start any more, if no other permission is
	// given; 0 if none ever was.
	clearAt clock.Micros
	// Reported is what the host said last, HeardAt when.
	Reported Status
	HeardAt  clock.Micros
}

// New is a delegation that its home is about to offer. Nobody has any permission yet.
func New(r Record) *Delegation { return &Delegation{Record: r, Left: r.Tasks} }

// Resumed is a delegation in the records that a new leader has read: earlier leaders may
// have given permissions until the term began, after which nothing runs for longer than
// proofTime.
func Resumed(r Record, termBegan, proofTime clock.Micros) *Delegation {
	return &Delegation{Record: r, Left: r.Tasks, Offerable: true, clearAt: termBegan + proofTime}
}

// Permit notes a permission that was given while all cancellations before known were known.
func (d *Delegation) Permit(known, proofTime clock.Micros) {
	d.clearAt = max(d.clearAt, known+proofTime)
}

// Clear tells that whatever the host does nothing of it runs or can start any more: there
// was no permission, or the last one ended long enough ago.
func (d *Delegation) Clear(now clock.Micros) bool { return now >= d.clearAt }

// Freed are the tasks that a report gives back to home.
type Freed struct {
	Completed []int
	// Unfinished tasks may start at home again.
	Unfinished []int
}

// Hear takes what the host says, in whatever order it comes: all of it that matters never
// changes once it is true.
func (d *Delegation) Hear(s Status, now clock.Micros) Freed {
	d.Reported, d.HeardAt = s, now
	var freed Freed
	for task := d.Left.NextIn(0); task <= d.Left.Max(); task = d.Left.NextIn(task + 1) {
		switch {
		case s.Done.Has(task):
			freed.Completed = append(freed.Completed, task)
		case s.Closed && !s.Held.Has(task):
			freed.Unfinished = append(freed.Unfinished, task)
		}
	}
	d.remove(freed)
	switch {
	case d.State == Refused || d.State == Ended:
	case s.Closed && s.Held.Len() == 0 && d.State == Offered:
		d.State = Refused
	case s.Closed && s.Held.Len() == 0:
		d.State = Ended
	case d.State == Offered:
		d.State = Accepted
	}
	return freed
}

// Expire gives all tasks back whose host has had no permission for long enough.
func (d *Delegation) Expire() Freed {
	freed := Freed{}
	for task := d.Left.NextIn(0); task <= d.Left.Max(); task = d.Left.NextIn(task + 1) {
		freed.Unfinished = append(freed.Unfinished, task)
	}
	d.remove(freed)
	d.State = Ended
	return freed
}

func (d *Delegation) remove(freed Freed) {
	var left ledger.Ranges
	gone := map[int]bool{}
	for _, tasks := range [][]int{freed.Completed, freed.Unfinished} {
		for _, task := range tasks {
			gone[task] = true
		}
	}
	if len(gone) == 0 {
		return
	}
	for task := d.Left.NextIn(0); task <= d.Left.Max(); task = d.Left.NextIn(task + 1) {
		if !gone[task] {
			left.Add(task)
		}
	}
	d.Left = left
}

// Recall asks for the tasks back, for good.
func (d *Delegation) Recall() {
	if d.State == Offered || d.State == Accepted {
		d.State = Recalled
	}
}

// Verdict is what its host is told, apart from cancellations. stop ends also what runs.
func (d *Delegation) Verdict(stop bool) Verdict {
	switch {
	case d.State != Recalled:
		return Continue
	case stop:
		return Stop
	}
	return Close
}

// Over tells that nothing of it is the host's any more: once the records say so too, home
// forgets it, and the host is told to.
func (d *Delegation) Over() bool {
	return d.Left.Len() == 0 && (d.State == Ended || d.State == Refused)
}
