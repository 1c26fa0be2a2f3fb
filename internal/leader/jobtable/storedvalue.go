package jobtable

import (
	"slices"

	"postpoint/internal/clock"
	"postpoint/internal/ledger"
)

// StoredValue relates what is known in memory to one value of the state service: a
// record, or the head or a part of a divided one.
type StoredValue struct {
	Version     int64 // of the key when it was last known, 0 if it doesn't exist
	ChangeCount int   // counts changes of the content
	StoredCount int   // the count that is stored
	InFlight    bool
	// ChangedAt is since when the content differs from what is stored.
	ChangedAt clock.Micros
	// Uncommitted are the tasks whose placements aren't stored yet.
	Uncommitted []int
	// OutcomeUnknown tells that a change had no answer: the key may exist, or have another version.
	OutcomeUnknown bool
	// UnconfirmedReleases are places that were freed while a change was under way, or had no answer, which
	// may say that they are taken. Carried out late it would bring them back, so that they count
	// as taken until that can't happen any more.
	UnconfirmedReleases []ledger.Placement
	// RefusedBytes is the size at which the state service refused the value, 0 if it didn't.
	RefusedBytes int
}

// NoteChange notes a change of the content.
func (v *StoredValue) NoteChange(now clock.Micros) {
	if v.ChangeCount == v.StoredCount {
		v.ChangedAt = now
	}
	v.ChangeCount++
}

// IsStored tells that what is in memory is stored.
func (v *StoredValue) IsStored() bool { return !v.InFlight && v.ChangeCount == v.StoredCount }

// Replace takes over what was read.
func (v *StoredValue) Replace(version int64) {
	v.Version, v.OutcomeUnknown, v.UnconfirmedReleases = version, false, nil
	v.ChangeCount++
	v.StoredCount = v.ChangeCount
	v.Uncommitted = nil
}

// ResolveOutcome forgets what was in doubt: nothing that was sent before can be carried out any more.
func (v *StoredValue) ResolveOutcome() { v.OutcomeUnknown, v.UnconfirmedReleases = false, nil }

// unconfirmedReleases are the places that count as taken though they are free: see doubtful. A task that
// has a new place would only lose that for the old one.
func (j *Job) unconfirmedReleases() []ledger.Placement {
	doubtful := j.UnconfirmedReleases
	for _, v := range j.Shards {
		doubtful = append(doubtful[:len(doubtful):len(doubtful)], v.UnconfirmedReleases...)
	}
	return slices.DeleteFunc(slices.Clone(doubtful), func(p ledger.Placement) bool {
		_, placed := j.Placed[p.Task]
		return placed
	})
}

// PlacesTaken is how many places of the job count against its team's limit.
func (j *Job) PlacesTaken() int { return len(j.Placed) + len(j.unconfirmedReleases()) }

// absent tells that the key surely doesn't exist.
func (v *StoredValue) absent() bool { return v.Version == 0 && !v.OutcomeUnknown }

// valueOf is where a task's state is stored. While a record is being divided that is
// still its undivided form.
func (j *Job) valueOf(task int) *StoredValue {
	if j.PartSize == 0 || j.Sharding() {
		return &j.StoredValue
	}
	return j.ShardOf(task)
}

// ShardOf is the stored shard that a task belongs to.
func (j *Job) ShardOf(task int) *StoredValue { return j.Shards[j.PartOf(task)] }

// MakeShards prepares the bookkeeping of a divided record, of which no part exists yet.
func (j *Job) MakeShards() {
	j.Shards = make([]*StoredValue, j.Parts())
	for i := range j.Shards {
		j.Shards[i] = &StoredValue{}
	}
}

// allStored tells that all of the job is stored as it is in memory. Of the parts of a job
// that is over nothing stays.
func (j *Job) allStored() bool {
	if !j.ContentKnown() || !j.IsStored() {
		return false
	}
	for _, v := range j.Shards {
		if v.InFlight || j.Final() && !v.absent() || !j.Final() && !v.IsStored() {
			return false
		}
	}
	return true
}

// OutcomeStored tells that what became of a task is stored.
func (j *Job) OutcomeStored(task int) bool {
	if !j.ContentKnown() || task >= j.Spec.Tasks {
		return j.ContentKnown()
	}
	v := j.valueOf(task)
	if j.Final() && v != &j.StoredValue {
		return j.IsStored() && v.absent() && !v.InFlight // parts are then only removed
	}
	return v.IsStored()
}
