package jobtable

import (
	"slices"

	"postpoint/internal/clock"
	"postpoint/internal/jobrecord"
	"postpoint/internal/protocol"
)

// StoredValue tracks one value of the key-value store, and whether that value holds the content in
// memory. The value is a record, or the head or a shard of a sharded record.
type StoredValue struct {
	// Version is the last known version of the key, 0 if it doesn't exist.
	Version protocol.Revision
	// ChangeCount counts the changes of the content in memory; StoredCount is the ChangeCount of
	// the stored content.
	ChangeCount int
	StoredCount int
	// InFlight reports that a write of the value was sent and has no response yet.
	InFlight bool
	// ChangedAt is the time since which the content differs from the stored one.
	ChangedAt clock.Micros
	// Uncommitted holds the tasks whose placements aren't stored yet.
	Uncommitted []int
	// OutcomeUnknown reports that a write ended without a response: the key may exist, or have
	// another version.
	OutcomeUnknown bool
	// UnconfirmedReleases holds placements that were released while a write that may contain them
	// was in flight or had an unknown outcome. If the store executes this write late, it restores
	// them, so they count as taken until that is impossible.
	UnconfirmedReleases []jobrecord.Placement
	// RejectedBytes is the size at which the store rejected the value as too large, 0 if it didn't.
	RejectedBytes int
}

// MarkChanged marks the content as changed.
func (v *StoredValue) MarkChanged(now clock.Micros) {
	if v.ChangeCount == v.StoredCount {
		v.ChangedAt = now
	}
	v.ChangeCount++
}

// IsStored reports whether the content in memory is stored.
func (v *StoredValue) IsStored() bool { return !v.InFlight && v.ChangeCount == v.StoredCount }

// Replace records that a read at the given version replaced the content.
func (v *StoredValue) Replace(version protocol.Revision) {
	v.Version = version
	v.ResolveOutcome()
	v.ChangeCount++
	v.StoredCount = v.ChangeCount
	v.Uncommitted = nil
}

// ResolveOutcome resets what was unknown about earlier writes: the store can't execute them any
// more.
func (v *StoredValue) ResolveOutcome() { v.OutcomeUnknown, v.UnconfirmedReleases = false, nil }

// absent reports whether the key certainly doesn't exist.
func (v *StoredValue) absent() bool { return v.Version == 0 && !v.OutcomeUnknown }

// unconfirmedReleases returns the released placements that still count as taken. It omits those of
// tasks that have a new placement, because the new one counts.
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

// CountedPlacements returns how many placements of the job count against its team's quota.
func (j *Job) CountedPlacements() int { return len(j.Placements) + len(j.unconfirmedReleases()) }

// valueOf returns the value that holds a task's state. While a record is being sharded, this is
// still the undivided record.
func (j *Job) valueOf(task int) *StoredValue {
	if j.ShardSize == 0 || j.Sharding() {
		return &j.StoredValue
	}
	return j.ShardValue(task)
}

// ShardValue returns the shard that holds a task's state.
func (j *Job) ShardValue(task int) *StoredValue { return j.Shards[j.ShardOf(task)] }

// MakeShards creates the StoredValue of each shard, in the state of a shard that doesn't exist in the
// store yet.
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

// MarkHeadStored records that the record or head was written. If this write completed the sharding,
// the shards are valid from now on, and they contain all placements.
func (j *Job) MarkHeadStored() {
	if j.Sharding() {
		clear(j.ProposedAt)
	}
	j.ApplyRecordEvent(EventHeadStored)
}

// allStored reports whether the store holds the job as it is in memory. The store then holds no shard
// of a final job any more.
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

// OutcomeStored reports whether the outcome of a task is stored.
func (j *Job) OutcomeStored(task int) bool {
	if !j.ContentKnown() || task >= j.Spec.Tasks {
		return j.ContentKnown()
	}
	v := j.valueOf(task)
	if j.Final() && v != &j.StoredValue {
		return j.IsStored() && v.absent() && !v.InFlight // the leader only removes shards of a final job
	}
	return v.IsStored()
}
