package jobtable

import (
	"fmt"
	"log/slog"

	"postpoint/internal/protocol"
)

// RecordState says how far a job in memory can be trusted to agree with its record in the store,
// and what has to be done about it. It is a product of three parts that change independently:
//
//   - the phase, which follows the table below;
//   - whether a read of the record or its shards is under way. It overlaps most phases: a reload in
//     the reload phases, a search for shards that nobody needs in PhaseCurrent and whatever that
//     becomes until the read ends;
//   - whether shards may be stored that belong to no record. They may still be there, to be listed
//     and removed, when the record has long been reloaded or changed again.
//
// The zero value is the state of a job that was just made.
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
	// PhaseCurrent means that memory is the record as last read with this leader's own changes.
	PhaseCurrent RecordPhase = iota
	// PhaseSharding means that shards are being written of a record whose undivided form stays the
	// valid one until its head, which is written last, says otherwise.
	PhaseSharding
	// PhaseShardsUnread means that only the head of a sharded record has been read.
	PhaseShardsUnread
	// PhaseReloadDue means that the record has changed, or may have, in a way that only reading it
	// shows.
	PhaseReloadDue
	// PhaseFenceDue means that the head has to be written anew before the record is read: changes of
	// shards without a response depend on the head's version, and can't be carried out after that,
	// while a read before it may not show them yet.
	PhaseFenceDue
	// PhaseShardingReloadDue is PhaseReloadDue for a record that was being sharded: whether its
	// undivided form is still valid is unknown until it is read, and memory goes on as if it were.
	PhaseShardingReloadDue
)

// phaseNames are for logs and tests.
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

// RecordEvent is something that happens to a record and changes its state.
type RecordEvent int

// The events of a record.
const (
	// EventRecordLoaded is a record taken over from the store, with all there is to know of it.
	EventRecordLoaded RecordEvent = iota
	// EventHeadLoaded is the head of a sharded record taken over, the shards of which come next.
	EventHeadLoaded
	// EventShardsLoaded is all shards of a record taken over.
	EventShardsLoaded
	// EventShardingStarted is the decision to write a record in shards.
	EventShardingStarted
	// EventShardsDropped is the end of the bookkeeping of shards, whose record is undivided. What is
	// stored of them is stray.
	EventShardsDropped
	// EventHeadFollowed is a newer head seen while following the records.
	EventHeadFollowed
	// EventRecordConflict is a write of the record or head that another request has made void.
	EventRecordConflict
	// EventShardConflict is a write of a shard that was refused though its head hasn't changed.
	EventShardConflict
	// EventHeadStored is a write of the record or head that was carried out.
	EventHeadStored
	// EventReadStarted is a read of the record, or of its shards, that was sent.
	EventReadStarted
	// EventReadEnded is the end of that read, whether it succeeded or not.
	EventReadEnded
	// EventStrayShardsListed is a list of all that is stored of stray shards.
	EventStrayShardsListed
)

// eventNames are for logs and tests.
var eventNames = map[RecordEvent]string{
	EventRecordLoaded:      "record loaded",
	EventHeadLoaded:        "head loaded",
	EventShardsLoaded:      "shards loaded",
	EventShardingStarted:   "sharding started",
	EventShardsDropped:     "shards dropped",
	EventHeadFollowed:      "head followed",
	EventRecordConflict:    "record conflict",
	EventShardConflict:     "shard conflict",
	EventHeadStored:        "head stored",
	EventReadStarted:       "read started",
	EventReadEnded:         "read ended",
	EventStrayShardsListed: "stray shards listed",
}

// String returns the event's name.
func (e RecordEvent) String() string { return eventNames[e] }

// phaseStep is a phase and an event that may occur in it.
type phaseStep struct {
	phase RecordPhase
	event RecordEvent
}

// phaseTransitions has the next phase for each event that may occur in a phase. A pair that isn't
// listed can't occur: unread shards, for instance, exclude all events but their reading, since
// nothing is written and no read is sent before that. EventReadStarted, EventReadEnded and
// EventStrayShardsListed leave every phase as it is and are not listed.
var phaseTransitions = map[phaseStep]RecordPhase{
	{PhaseCurrent, EventRecordLoaded}:    PhaseCurrent,
	{PhaseCurrent, EventHeadLoaded}:      PhaseShardsUnread,
	{PhaseCurrent, EventShardingStarted}: PhaseSharding,
	{PhaseCurrent, EventShardsDropped}:   PhaseCurrent,
	{PhaseCurrent, EventHeadFollowed}:    PhaseReloadDue,
	{PhaseCurrent, EventRecordConflict}:  PhaseReloadDue,
	{PhaseCurrent, EventShardConflict}:   PhaseFenceDue,
	{PhaseCurrent, EventHeadStored}:      PhaseCurrent,

	// Shards that were refused under way to a sharded record need no fence: the undivided record is
	// still the valid one.
	{PhaseSharding, EventShardsDropped}:  PhaseCurrent,
	{PhaseSharding, EventHeadFollowed}:   PhaseShardingReloadDue,
	{PhaseSharding, EventRecordConflict}: PhaseShardingReloadDue,
	{PhaseSharding, EventShardConflict}:  PhaseShardingReloadDue,
	{PhaseSharding, EventHeadStored}:     PhaseCurrent,

	{PhaseShardsUnread, EventShardsLoaded}: PhaseCurrent,

	{PhaseReloadDue, EventRecordLoaded}:   PhaseCurrent,
	{PhaseReloadDue, EventHeadLoaded}:     PhaseShardsUnread,
	{PhaseReloadDue, EventShardsDropped}:  PhaseReloadDue,
	{PhaseReloadDue, EventHeadFollowed}:   PhaseReloadDue,
	{PhaseReloadDue, EventRecordConflict}: PhaseReloadDue,
	{PhaseReloadDue, EventShardConflict}:  PhaseFenceDue,
	{PhaseReloadDue, EventHeadStored}:     PhaseReloadDue,

	// A newer head that is followed doesn't replace the fence: a fence at the version before it is
	// refused, and that refusal does.
	{PhaseFenceDue, EventRecordLoaded}:   PhaseCurrent,
	{PhaseFenceDue, EventHeadLoaded}:     PhaseShardsUnread,
	{PhaseFenceDue, EventShardsDropped}:  PhaseFenceDue,
	{PhaseFenceDue, EventHeadFollowed}:   PhaseFenceDue,
	{PhaseFenceDue, EventRecordConflict}: PhaseReloadDue,
	{PhaseFenceDue, EventShardConflict}:  PhaseFenceDue,
	{PhaseFenceDue, EventHeadStored}:     PhaseReloadDue,

	{PhaseShardingReloadDue, EventHeadLoaded}:     PhaseShardsUnread,
	{PhaseShardingReloadDue, EventShardsDropped}:  PhaseReloadDue,
	{PhaseShardingReloadDue, EventHeadFollowed}:   PhaseShardingReloadDue,
	{PhaseShardingReloadDue, EventRecordConflict}: PhaseShardingReloadDue,
	{PhaseShardingReloadDue, EventShardConflict}:  PhaseShardingReloadDue,
	{PhaseShardingReloadDue, EventHeadStored}:     PhaseReloadDue,
}

// next returns the state after an event, or the present one and an error if the event can't occur
// in it.
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
	phase, listed := phaseTransitions[phaseStep{s.phase, event}]
	if !listed {
		return s, fmt.Errorf("record event %q can't occur in phase %q", event, s.phase)
	}
	s.phase = phase
	s.strayShards = s.strayShards || event == EventShardsDropped
	return s, nil
}

// NoteRecordEvent changes the state of the job's record. An event that can't occur is a fault of
// this program: it is logged, and the state stays.
func (j *Job) NoteRecordEvent(event RecordEvent) {
	state, err := j.next(event)
	if err != nil {
		slog.Error("unexpected record event", "job", j.id(), "error", err)
	}
	j.RecordState = state
}

// id returns the job's id, "" before its record is known.
func (j *Job) id() protocol.JobID {
	if j.Record == nil {
		return ""
	}
	return j.Spec.ID
}

// MustReload reports whether the record has to be read before anything else happens to the job.
func (s RecordState) MustReload() bool {
	return s.phase == PhaseReloadDue || s.phase == PhaseFenceDue || s.phase == PhaseShardingReloadDue
}

// MustFence reports whether the head has to be written anew before the record is read.
func (s RecordState) MustFence() bool { return s.phase == PhaseFenceDue }

// Sharding reports whether shards are being written of a record whose undivided form is, as far as
// is known, the valid one.
func (s RecordState) Sharding() bool {
	return s.phase == PhaseSharding || s.phase == PhaseShardingReloadDue
}

// ShardsUnread reports whether only the head of a sharded record has been read.
func (s RecordState) ShardsUnread() bool { return s.phase == PhaseShardsUnread }

// Loading reports whether a read of the record or its shards is under way.
func (s RecordState) Loading() bool { return s.loading }

// ReadPending reports whether the record is being read, or has to be: until then nothing may be
// concluded from what it doesn't say.
func (s RecordState) ReadPending() bool { return s.MustReload() || s.loading }

// HasStrayShards reports whether shards may be stored though the record is undivided.
func (s RecordState) HasStrayShards() bool { return s.strayShards }

// ContentKnown reports whether the job's tasks are known from its record, so that the leader may
// plan them and write what changes.
func (s RecordState) ContentKnown() bool { return !s.MustReload() && !s.ShardsUnread() }
