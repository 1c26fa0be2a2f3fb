package delegation

import (
	"slices"

	"postpoint/internal/clock"
	"postpoint/internal/jobrecord"
)

// Delegation is the state of a delegation at the origin cell's leader. Times are on that leader's clock.
type Delegation struct {
	Record
	// Offerable means that the store contains the record and the placements that assign the tasks to the
	// host.
	Offerable bool
	// Outstanding is the set of tasks that still belong to the host, as far as the origin's leader knows.
	Outstanding jobrecord.TaskSet
	// expiresAt is the time from which no task runs or can start any more, unless the leader grants another
	// permission. It is 0 if no leader ever granted one.
	expiresAt clock.Micros
	// LastStatus is the last status from the host. LastStatusAt is when it arrived.
	LastStatus   Status
	LastStatusAt clock.Micros
}

// New returns a delegation that its origin cell is about to offer. The host has no permission yet.
func New(r Record) *Delegation { return &Delegation{Record: r, Outstanding: r.Tasks} }

// Restore returns a delegation from the record that a new leader has read. Earlier leaders may have granted
// permissions until the new term began. No task runs for longer than expiryTime after that.
func Restore(r Record, termBegan, expiryTime clock.Micros) *Delegation {
	return &Delegation{Record: r, Outstanding: r.Tasks, Offerable: true, expiresAt: termBegan + expiryTime}
}

// RecordPermission records that the leader granted a permission. knownUntil is the time up to which the
// leader knew all cancellations.
func (d *Delegation) RecordPermission(knownUntil, expiryTime clock.Micros) {
	d.expiresAt = max(d.expiresAt, knownUntil+expiryTime)
}

// IsExpired reports whether none of the tasks runs or can start any more, whatever the host does: there was
// no permission, or the last one expired long enough ago.
func (d *Delegation) IsExpired(now clock.Micros) bool { return now >= d.expiresAt }

// ReturnedTasks lists tasks that no longer belong to a delegation.
type ReturnedTasks struct {
	Completed []int
	// Unfinished tasks may start in the origin cell again.
	Unfinished []int
}

// ApplyStatus updates the delegation from a status of the host and returns the tasks that no longer belong
// to the delegation. Statuses may arrive in any order, because every statement on which the update depends
// stays true once it is true.
func (d *Delegation) ApplyStatus(s Status, now clock.Micros) ReturnedTasks {
	d.LastStatus, d.LastStatusAt = s, now
	returned := d.returnTasks(&s)
	d.State = d.stateAfter(&s)
	return returned
}

// returnTasks removes the tasks that the host has completed, or that it no longer holds after it closed the
// delegation, from the outstanding tasks. It returns the removed tasks.
func (d *Delegation) returnTasks(s *Status) ReturnedTasks {
	var returned ReturnedTasks
	var outstanding jobrecord.TaskSet
	for task := range d.Outstanding.All() {
		switch {
		case s.Done.Contains(task):
			returned.Completed = append(returned.Completed, task)
		case s.Closed && !s.Held.Contains(task):
			returned.Unfinished = append(returned.Unfinished, task)
		default:
			outstanding.Add(task)
		}
	}
	d.Outstanding = outstanding
	return returned
}

// stateAfter returns the state that follows from a status of the host.
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

// Expire ends a delegation and returns all outstanding tasks. The caller has to check IsExpired first.
func (d *Delegation) Expire() ReturnedTasks {
	returned := ReturnedTasks{Unfinished: slices.Collect(d.Outstanding.All())}
	d.Outstanding, d.State = jobrecord.TaskSet{}, Ended
	return returned
}

// Recall starts the return of the tasks to the origin. It can't be undone.
func (d *Delegation) Recall() {
	if d.State == Offered || d.State == Accepted {
		d.State = Recalled
	}
}

// NextAction returns the action to send to the host if the job isn't cancelled. stop means that a recall
// also stops running tasks.
func (d *Delegation) NextAction(stop bool) Action {
	switch {
	case d.State != Recalled:
		return Continue
	case stop:
		return Stop
	}
	return Close
}

// IsOver reports whether no task belongs to the host any more. Once the stored records show this too, the
// origin cell forgets the delegation and tells the host to forget it.
func (d *Delegation) IsOver() bool {
	return d.Outstanding.Len() == 0 && (d.State == Ended || d.State == Refused)
}
