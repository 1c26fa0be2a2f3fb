package jobtable

import "testing"

// conditions are the results of a RecordState's queries that depend on the phase alone.
type conditions struct {
	mustReload, mustFence, sharding, shardsUnread bool
}

func conditionsOf(s RecordState) conditions {
	return conditions{s.MustReload(), s.MustFence(), s.Sharding(), s.ShardsUnread()}
}

// after returns the conditions that must hold after an event. It states the rules of
// phaseTransitions a second time, independently of the phases.
func (c conditions) after(event RecordEvent) conditions {
	switch event {
	case EventRecordLoaded:
		c.mustReload, c.mustFence = false, false
	case EventHeadLoaded:
		c = conditions{shardsUnread: true}
	case EventShardsLoaded:
		c.shardsUnread = false
	case EventShardingStarted:
		c.sharding = true
	case EventShardsDropped:
		c.sharding = false
	case EventNewerHead:
		c.mustReload = true
	case EventRecordConflict:
		c.mustReload, c.mustFence = true, false
	case EventShardConflict:
		c.mustReload, c.mustFence = true, !c.sharding
	case EventHeadStored:
		c.sharding, c.mustFence = false, false
	}
	return c
}

// impossible holds the events that can't occur in a phase.
var impossible = map[RecordPhase][]RecordEvent{
	PhaseCurrent: {EventShardsLoaded},
	// The leader drops unfinished shards before it loads an undivided record, and loads a sharded
	// one only when a reload is due.
	PhaseSharding: {EventRecordLoaded, EventHeadLoaded, EventShardsLoaded, EventShardingStarted},
	// The leader writes nothing, and sends no other read, before it has loaded the shards.
	PhaseShardsUnread: {EventRecordLoaded, EventHeadLoaded, EventShardingStarted, EventShardsDropped,
		EventNewerHead, EventRecordConflict, EventShardConflict, EventHeadStored},
	PhaseReloadDue:         {EventShardsLoaded, EventShardingStarted},
	PhaseFenceDue:          {EventShardsLoaded, EventShardingStarted},
	PhaseShardingReloadDue: {EventRecordLoaded, EventShardsLoaded, EventShardingStarted},
}

// After a wrong transition, the leader could write a record that it must reload first, or read shards
// without a fence. Each transition must lead to a phase with the conditions that conditions.after
// computes. An impossible event must return an error and leave the state unchanged.
func TestPhaseTransitionsKeepTheConditions(t *testing.T) {
	for phase := range phaseNames {
		excluded := map[RecordEvent]bool{}
		for _, event := range impossible[phase] {
			excluded[event] = true
		}
		for event := range eventNames {
			before := RecordState{phase: phase}
			after, err := before.next(event)
			switch {
			case excluded[event] && err == nil:
				t.Errorf("%s, %s: leads to %s, want an error", phase, event, after.phase)
			case excluded[event] && after != before:
				t.Errorf("%s, %s: an impossible event changed the state to %+v", phase, event, after)
			case !excluded[event] && err != nil:
				t.Errorf("%s, %s: %v", phase, event, err)
			case !excluded[event] && conditionsOf(after) != conditionsOf(before).after(event):
				t.Errorf("%s, %s: %+v, want %+v", phase, event, conditionsOf(after),
					conditionsOf(before).after(event))
			}
		}
	}
}

// The queries must return the listed conditions for each phase, and the list must contain every phase.
// In the list, no two phases have the same conditions.
func TestPhasesStandForDifferentConditions(t *testing.T) {
	want := map[RecordPhase]conditions{
		PhaseCurrent:           {},
		PhaseSharding:          {sharding: true},
		PhaseShardsUnread:      {shardsUnread: true},
		PhaseReloadDue:         {mustReload: true},
		PhaseFenceDue:          {mustReload: true, mustFence: true},
		PhaseShardingReloadDue: {mustReload: true, sharding: true},
	}
	if len(want) != len(phaseNames) {
		t.Fatalf("%d phases are named, want %d", len(phaseNames), len(want))
	}
	for phase, c := range want {
		if got := conditionsOf(RecordState{phase: phase}); got != c {
			t.Errorf("%s: %+v, want %+v", phase, got, c)
		}
	}
}

// The leader could never again write the record of a job in a phase that no event leaves, and a phase
// that no event reaches would be dead code.
func TestEveryPhaseCanBeReachedAndLeft(t *testing.T) {
	reached := map[RecordPhase]bool{PhaseCurrent: true}
	for range phaseNames {
		for step, next := range phaseTransitions {
			if reached[step.phase] {
				reached[next] = true
			}
		}
	}
	for phase, name := range phaseNames {
		left := false
		for step, next := range phaseTransitions {
			left = left || step.phase == phase && next != phase
		}
		if !reached[phase] || !left {
			t.Errorf("%s: reached %v, left %v, want both", name, reached[phase], left)
		}
	}
}

// Reads and stray shards overlap every phase, so their events must not change it.
func TestReadsAndStrayShardsAreIndependentOfThePhase(t *testing.T) {
	for phase := range phaseNames {
		s := RecordState{phase: phase, strayShards: true}
		steps := []struct {
			event RecordEvent
			want  RecordState
		}{
			{EventReadStarted, RecordState{phase: phase, loading: true, strayShards: true}},
			{EventStrayShardsListed, RecordState{phase: phase, loading: true}},
			{EventReadEnded, RecordState{phase: phase}},
		}
		for _, step := range steps {
			next, err := s.next(step.event)
			if err != nil || next != step.want {
				t.Errorf("%s, %s: %+v, %v, want %+v", phase, step.event, next, err, step.want)
			}
			s = next
		}
	}
}

// An event of the phase must neither end a read in progress nor forget stray shards that are stored.
// Only EventShardsDropped changes one of the two: it leaves stray shards behind.
func TestPhaseEventsKeepReadsAndStrayShards(t *testing.T) {
	for step := range phaseTransitions {
		for _, loading := range []bool{false, true} {
			for _, stray := range []bool{false, true} {
				after, err := RecordState{step.phase, loading, stray}.next(step.event)
				wantStray := stray || step.event == EventShardsDropped
				if err != nil || after.Loading() != loading || after.HasStrayShards() != wantStray {
					t.Errorf("%s, %s: loading %v, stray shards %v, error %v, want %v, %v, none", step.phase,
						step.event, after.Loading(), after.HasStrayShards(), err, loading, wantStray)
				}
			}
		}
	}
}

// A read is pending if a reload is due or a read is in progress. The content is known unless a reload
// is due or the shards are unread. Otherwise the leader could act on an outdated record.
func TestQueriesCombineTheConditions(t *testing.T) {
	for phase := range phaseNames {
		for _, loading := range []bool{false, true} {
			s := RecordState{phase: phase, loading: loading}
			if want := s.MustReload() || loading; s.ReadPending() != want {
				t.Errorf("%s, loading %v: read pending %v, want %v", phase, loading, s.ReadPending(), want)
			}
			if want := !s.MustReload() && !s.ShardsUnread(); s.ContentKnown() != want {
				t.Errorf("%s: content known %v, want %v", phase, s.ContentKnown(), want)
			}
		}
	}
}

// NoteRecordEvent must leave the state unchanged if the event can't occur in the present phase.
func TestUnexpectedRecordEventsLeaveTheStateAlone(t *testing.T) {
	j := NewJob(0)
	j.ApplyRecordEvent(EventShardsLoaded) // a new job has no record
	if j.RecordState != (RecordState{}) {
		t.Fatalf("state %+v, want that of a new job", j.RecordState)
	}
}
