package jobtable

import (
	"fmt"
	"log/slog"

	"postpoint/internal/protocol"
)

// RecordState tells whether a job in memory agrees with its record in the store, and what the leader
// has to do if the two may differ. It consists of three parts that change independently:
//
//   - the phase, which follows the table below;
//   - whether a read of the record or its shards is in progress. A read overlaps most phases: a reload
//     overlaps the reload phases; a search for stray shards starts in PhaseCurrent and overlaps each
//     phase that follows until the read ends;
//   - whether shards may be stored that belong to no record. They may still have to be listed and
//     removed long after the record was reloaded or changed again.
//
// The zero value is the state of a new job.
type RecordState struct {
	phase       RecordPhase
	loading     bool
	strayShards bool
}

// RecordPhase is the part of a RecordState that decides whether the leader may act on the record
// and what it may write.
type RecordPhase int

// The phases of a record.
const (
	// PhaseCurrent means that memory holds the record as last read, plus this leader's own changes.
	PhaseCurrent RecordPhase = iota
	// PhaseSharding means that the leader is writing the shards of a record. The undivided record
	// stays valid until the leader writes the head, which comes last.
	PhaseSharding
	// PhaseShardsUnread means that only the head of a sharded record has been read.
	PhaseShardsUnread
	// PhaseReloadDue means that the record has changed, or may have changed, and the leader has to
	// read it to learn how.
	PhaseReloadDue
	// PhaseFenceDue means that the leader has to rewrite the head before it reads the record.
	// Writes of shards that had no response depend on the head's version: after the rewrite the
	// store can't execute them any more, whereas a read before the rewrite might miss them.
	PhaseFenceDue
	// PhaseShardingReloadDue is PhaseReloadDue for a record that was being sharded. Until it is
	// read, the leader doesn't know whether the undivided record is still valid, and assumes in
	// memory that it is.
	PhaseShardingReloadDue
)

// phaseNames are the names of the phases in logs and tests.
var phaseNames = map[RecordPhase]string{
	PhaseCurrent:           "current",
	PhaseSharding:          "sharding",
	PhaseShardsUnread:      "shards unread",
	PhaseReloadDue:         "reload due",
	PhaseFenceDue:          "fence due",
	PhaseShardingReloadDue: "sharding, reload due",
}

// String returns the phase's name.
func (p RecordPhase) String() string { return phaseNames[p] }

// RecordEvent is an event that changes the state of a record.
type RecordEvent int

// The events of a record.
const (
	// EventRecordLoaded means that a record was loaded from the store with all of its content.
	EventRecordLoaded RecordEvent = iota
	// EventHeadLoaded means that the head of a sharded record was loaded; its shards are read next.
	EventHeadLoaded
	// EventShardsLoaded means that all shards of a record were loaded.
	EventShardsLoaded
	// EventShardingStarted means that the leader decided to write a record in shards.
	EventShardingStarted
	// EventShardsDropped means that the leader dropped the shards of an undivided record from
	// memory. Those that are stored are now stray.
	EventShardsDropped
	// EventNewerHead means that the watch of the records delivered a newer head.
	EventNewerHead
	// EventRecordConflict means that a write of the record or head failed because another request
	// had changed it.
	EventRecordConflict
	// EventShardConflict means that the store rejected a write of a shard though its head hasn't
	// changed.
	EventShardConflict
	// EventHeadStored means that the store executed a write of the record or head.
	EventHeadStored
	// EventReadStarted means that a read of the record, or of its shards, was sent.
	EventReadStarted
	// EventReadEnded means that this read ended, successfully or not.
	EventReadEnded
	// EventStrayShardsListed means that all stored stray shards were listed.
	EventStrayShardsListed
)

// eventNames are the names of the events in logs and tests.
var eventNames = map[RecordEvent]string{
	EventRecordLoaded:      "record loaded",
	EventHeadLoaded:        "head loaded",
	EventShardsLoaded:      "shards loaded",
	EventShardingStarted:   "sharding started",
	EventShardsDropped:     "shards dropped",
	EventNewerHead:         "head followed",
	EventRecordConflict:    "record conflict",
	EventShardConflict:     "shard conflict",
	EventHeadStored:        "head stored",
	EventReadStarted:       "read started",
	EventReadEnded:         "read ended",
	EventStrayShardsListed: "stray shards listed",
}

// String returns the event's name.
func (e RecordEvent) String() string { return eventNames[e] }

// phaseEvent is a phase and an event that may occur in it.
type phaseEvent struct {
	phase RecordPhase
	event RecordEvent
}

// phaseTransitions holds the next phase for each event that may occur in a phase. A pair that isn't
// listed can't occur. Unread shards, for example, exclude all events except their loading, because
// the leader writes nothing and sends no other read before that. EventReadStarted, EventReadEnded
// and EventStrayShardsListed don't change the phase and are not listed.
var phaseTransitions = map[phaseEvent]RecordPhase{
	{PhaseCurrent, EventRecordLoaded}:    PhaseCurrent,
	{PhaseCurrent, EventHeadLoaded}:      PhaseShardsUnread,
	{PhaseCurrent, EventShardingStarted}: PhaseSharding,
	{PhaseCurrent, EventShardsDropped}:   PhaseCurrent,
	{PhaseCurrent, EventNewerHead}:       PhaseReloadDue,
	{PhaseCurrent, EventRecordConflict}:  PhaseReloadDue,
	{PhaseCurrent, EventShardConflict}:   PhaseFenceDue,
	{PhaseCurrent, EventHeadStored}:      PhaseCurrent,

	// A rejected shard of a record that is being sharded needs no fence: the undivided record is
	// still valid.
	{PhaseSharding, EventShardsDropped}:  PhaseCurrent,
	{PhaseSharding, EventNewerHead}:      PhaseShardingReloadDue,
	{PhaseSharding, EventRecordConflict}: PhaseShardingReloadDue,
	{PhaseSharding, EventShardConflict}:  PhaseShardingReloadDue,
	{PhaseSharding, EventHeadStored}:     PhaseCurrent,

	{PhaseShardsUnread, EventShardsLoaded}: PhaseCurrent,

	{PhaseReloadDue, EventRecordLoaded}:   PhaseCurrent,
	{PhaseReloadDue, EventHeadLoaded}:     PhaseShardsUnread,
	{PhaseReloadDue, EventShardsDropped}:  PhaseReloadDue,
	{PhaseReloadDue, EventNewerHead}:      PhaseReloadDue,
	{PhaseReloadDue, EventRecordConflict}: PhaseReloadDue,
	{PhaseReloadDue, EventShardConflict}:  PhaseFenceDue,
	{PhaseReloadDue, EventHeadStored}:     PhaseReloadDue,

	// A newer head from the watch doesn't replace the fence. The store rejects the fence at the
	// older version, and this conflict makes the reload due.
	{PhaseFenceDue, EventRecordLoaded}:   PhaseCurrent,
	{PhaseFenceDue, EventHeadLoaded}:     PhaseShardsUnread,
	{PhaseFenceDue, EventShardsDropped}:  PhaseFenceDue,
	{PhaseFenceDue, EventNewerHead}:      PhaseFenceDue,
	{PhaseFenceDue, EventRecordConflict}: PhaseReloadDue,
	{PhaseFenceDue, EventShardConflict}:  PhaseFenceDue,
	{PhaseFenceDue, EventHeadStored}:     PhaseReloadDue,

	{PhaseShardingReloadDue, EventHeadLoaded}:     PhaseShardsUnread,
	{PhaseShardingReloadDue, EventShardsDropped}:  PhaseReloadDue,
	{PhaseShardingReloadDue, EventNewerHead}:      PhaseShardingReloadDue,
	{PhaseShardingReloadDue, EventRecordConflict}: PhaseShardingReloadDue,
	{PhaseShardingReloadDue, EventShardConflict}:  PhaseShardingReloadDue,
	{PhaseShardingReloadDue, EventHeadStored}:     PhaseReloadDue,
}

// next returns the state after an event. If the event can't occur in the present state, next returns
// the unchanged state and an error.
func (s RecordState) next(event RecordEvent) (RecordState, error) {
	switch event {
	case EventReadStarted:
		s.loading = true
		return s, nil
	case EventReadEnded:
		s.loading = false
		return s, nil
	case EventStrayShardsListed:
		s.strayShards = false
		return s, nil
	}
	phase, listed := phaseTransitions[phaseEvent{s.phase, event}]
	if !listed {
		return s, fmt.Errorf("record event %q can't occur in phase %q", event, s.phase)
	}
	s.phase = phase
	s.strayShards = s.strayShards || event == EventShardsDropped
	return s, nil
}

// ApplyRecordEvent changes the state of the job's record. An event that can't occur is a bug in this
// program: it is logged, and the state doesn't change.
func (j *Job) ApplyRecordEvent(event RecordEvent) {
	state, err := j.next(event)
	if err != nil {
		slog.Error("unexpected record event", "job", j.id(), "error", err)
	}
	j.RecordState = state
}

// id returns the job's id, "" while its record is unknown.
func (j *Job) id() protocol.JobID {
	if j.Record == nil {
		return ""
	}
	return j.Spec.ID
}

// MustReload reports whether the leader has to read the record before it does anything else for the
// job.
func (s RecordState) MustReload() bool {
	return s.phase == PhaseReloadDue || s.phase == PhaseFenceDue || s.phase == PhaseShardingReloadDue
}

// MustFence reports whether the leader has to rewrite the head before it reads the record.
func (s RecordState) MustFence() bool { return s.phase == PhaseFenceDue }

// Sharding reports whether the leader is writing the shards of a record and assumes that the
// undivided record is still valid.
func (s RecordState) Sharding() bool {
	return s.phase == PhaseSharding || s.phase == PhaseShardingReloadDue
}

// ShardsUnread reports whether only the head of a sharded record has been read.
func (s RecordState) ShardsUnread() bool { return s.phase == PhaseShardsUnread }

// Loading reports whether a read of the record or its shards is in progress.
func (s RecordState) Loading() bool { return s.loading }

// ReadPending reports whether the record is being read or has to be read. Until then the absence of
// something from memory proves nothing.
func (s RecordState) ReadPending() bool { return s.MustReload() || s.loading }

// HasStrayShards reports whether shards may be stored though the record is undivided.
func (s RecordState) HasStrayShards() bool { return s.strayShards }

// ContentKnown reports whether the job's tasks are known from its record, so that the leader may
// plan them and write changes.
func (s RecordState) ContentKnown() bool { return !s.MustReload() && !s.ShardsUnread() }
