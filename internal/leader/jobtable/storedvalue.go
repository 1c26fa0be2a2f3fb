package jobtable

import (
	"slices"

	"postpoint/internal/clock"
	"postpoint/internal/jobrecord"
	"postpoint/internal/protocol"
)

// StoredValue relates what is in memory to one value of the key-value store: a record, or the head
// or a shard of a sharded one.
type StoredValue struct {
	// Version is that of the key when it was last known, 0 if it doesn't exist.
	Version protocol.Revision
	// ChangeCount counts the changes of the content, StoredCount is its value that is stored.
	ChangeCount int
	StoredCount int
	// InFlight reports that a write of the value has been sent.
	InFlight bool
	// ChangedAt is since when the content differs from what is stored.
	ChangedAt clock.Micros
	// Uncommitted are the tasks whose placements aren't stored yet.
	Uncommitted []int
	// OutcomeUnknown reports that a write had no response: the key may exist, or have another
	// version.
	OutcomeUnknown bool
	// UnconfirmedReleases are placements that were released while a write which may contain them was
	// in flight, or had no response. Carried out late it would bring them back, so they count as taken
	// until that can't happen any more.
	UnconfirmedReleases []jobrecord.Placement
	// RefusedBytes is the size at which the store refused the value, 0 if it didn't.
	RefusedBytes int
}

// NoteChange notes a change of the content.
func (v *StoredValue) NoteChange(now clock.Micros) {
	if v.ChangeCount == v.StoredCount {
		v.ChangedAt = now
	}
	v.ChangeCount++
}

// IsStored reports whether what is in memory is stored.
func (v *StoredValue) IsStored() bool { return !v.InFlight && v.ChangeCount == v.StoredCount }

// Replace notes that the content was replaced by what was read at a version.
func (v *StoredValue) Replace(version protocol.Revision) {
	v.Version = version
	v.ResolveOutcome()
	v.ChangeCount++
	v.StoredCount = v.ChangeCount
	v.Uncommitted = nil
}

// ResolveOutcome forgets what was unknown: nothing that was sent before can be carried out any more.
func (v *StoredValue) ResolveOutcome() { v.OutcomeUnknown, v.UnconfirmedReleases = false, nil }

// absent reports whether the key surely doesn't exist.
func (v *StoredValue) absent() bool { return v.Version == 0 && !v.OutcomeUnknown }

// unconfirmedReleases returns the placements that count as taken though they were released. Those of
// tasks that have a new placement are left out: the new one counts.
func (j *Job) unconfirmedReleases() []jobrecord.Placement {
	unconfirmed := slices.Clone(j.UnconfirmedReleases)
	for _, v := range j.Shards {
		unconfirmed = append(unconfirmed, v.UnconfirmedReleases...)
	}
	return slices.DeleteFunc(unconfirmed, func(p jobrecord.Placement) bool {
		_, placed := j.Placements[p.Task]
		return placed
	})
}

// PlacementsTaken returns how many placements of the job count against its team's limit.
func (j *Job) PlacementsTaken() int { return len(j.Placements) + len(j.unconfirmedReleases()) }

// valueOf returns the value in which a task's state is stored. While a record is being sharded that
// is still its undivided form.
func (j *Job) valueOf(task int) *StoredValue {
	if j.ShardSize == 0 || j.Sharding() {
		return &j.StoredValue
	}
	return j.ShardValue(task)
}

// ShardValue returns the stored shard that a task belongs to.
func (j *Job) ShardValue(task int) *StoredValue { return j.Shards[j.ShardOf(task)] }

// MakeShards prepares the bookkeeping of a sharded record, of which no shard exists yet.
func (j *Job) MakeShards() {
	j.Shards = make([]*StoredValue, j.ShardCount())
	for i := range j.Shards {
		j.Shards[i] = &StoredValue{}
	}
}

// ShardsStored reports whether all shards of a record that is being sharded are stored.
func (j *Job) ShardsStored() bool {
	for _, v := range j.Shards {
		if !v.IsStored() {
			return false
		}
	}
	return true
}

// NoteHeadStored notes that the record or head was written. If that ended sharding, the shards are
// the valid record from now on, and all placements are in them.
func (j *Job) NoteHeadStored() {
	if j.Sharding() {
		clear(j.ProposedAt)
	}
	j.NoteRecordEvent(EventHeadStored)
}

// allStored reports whether all of the job is stored as it is in memory. Of the shards of a job that
// is over nothing stays.
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

// OutcomeStored reports whether what became of a task is stored.
func (j *Job) OutcomeStored(task int) bool {
	if !j.ContentKnown() || task >= j.Spec.Tasks {
		return j.ContentKnown()
	}
	v := j.valueOf(task)
	if j.Final() && v != &j.StoredValue {
		return j.IsStored() && v.absent() && !v.InFlight // shards are then only removed
	}
	return v.IsStored()
}
