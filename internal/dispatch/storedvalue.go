package dispatch

import (
	"slices"

	"postpoint/internal/clock"
	"postpoint/internal/ledger"
)

// storedValue relates what is known in memory to one value of the state service: a
// record, or the head or a part of a divided one.
type storedValue struct {
	version  int64 // of the key when it was last known, 0 if it doesn't exist
	changed  int   // counts changes of the content
	durable  int   // the count that is stored
	inFlight bool
	// dirtyAt is since when the content differs from what is stored.
	dirtyAt clock.Micros
	// fresh are the tasks whose placements aren't stored yet.
	fresh []int
	// uncertain tells that a change had no answer: the key may exist, or have another version.
	uncertain bool
	// doubtful are places that were freed while a change was under way, or had no answer, which
	// may say that they are taken. Carried out late it would bring them back, so that they count
	// as taken until that can't happen any more.
	doubtful []ledger.Placement
	// refusedBytes is the size at which the state service refused the value, 0 if it didn't.
	refusedBytes int
}

// touch notes a change of the content.
func (v *storedValue) touch(now clock.Micros) {
	if v.changed == v.durable {
		v.dirtyAt = now
	}
	v.changed++
}

// isStored tells that what is in memory is stored.
func (v *storedValue) isStored() bool { return !v.inFlight && v.changed == v.durable }

// replaced takes over what was read.
func (v *storedValue) replaced(version int64) {
	v.version, v.uncertain, v.doubtful = version, false, nil
	v.changed++
	v.durable = v.changed
	v.fresh = nil
}

// settled forgets what was in doubt: nothing that was sent before can be carried out any more.
func (v *storedValue) settled() { v.uncertain, v.doubtful = false, nil }

// inDoubt are the places that count as taken though they are free: see doubtful. A task that
// has a new place would only lose that for the old one.
func (j *job) inDoubt() []ledger.Placement {
	doubtful := j.doubtful
	for _, v := range j.parts {
		doubtful = append(doubtful[:len(doubtful):len(doubtful)], v.doubtful...)
	}
	return slices.DeleteFunc(slices.Clone(doubtful), func(p ledger.Placement) bool {
		_, placed := j.Placed[p.Task]
		return placed
	})
}

// taken is how many places of the job count against its team's limit.
func (j *job) taken() int { return len(j.Placed) + len(j.inDoubt()) }

// absent tells that the key surely doesn't exist.
func (v *storedValue) absent() bool { return v.version == 0 && !v.uncertain }

// valueOf is where a task's state is stored. While a record is being divided that is
// still its undivided form.
func (j *job) valueOf(task int) *storedValue {
	if j.PartSize == 0 || j.dividing {
		return &j.storedValue
	}
	return j.partOf(task)
}

func (j *job) partOf(task int) *storedValue { return j.parts[j.PartOf(task)] }

// makeParts prepares the bookkeeping of a divided record, of which no part exists yet.
func (j *job) makeParts() {
	j.parts = make([]*storedValue, j.Parts())
	for i := range j.parts {
		j.parts[i] = &storedValue{}
	}
}

// clean tells that all of the job is stored as it is in memory. Of the parts of a job
// that is over nothing stays.
func (j *job) clean() bool {
	if j.reread || j.partsUnread || !j.isStored() {
		return false
	}
	for _, v := range j.parts {
		if v.inFlight || j.Final() && !v.absent() || !j.Final() && !v.isStored() {
			return false
		}
	}
	return true
}

// recorded tells that what became of a task is stored.
func (j *job) recorded(task int) bool {
	if j.reread || j.partsUnread || task >= j.Spec.Tasks {
		return !j.reread && !j.partsUnread
	}
	v := j.valueOf(task)
	if j.Final() && v != &j.storedValue {
		return j.isStored() && v.absent() && !v.inFlight // parts are then only removed
	}
	return v.isStored()
}
