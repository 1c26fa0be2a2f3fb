package leader

import (
	"net/http"
	"testing"

	"postpoint/internal/actor/actortest"
	"postpoint/internal/clock"
	"postpoint/internal/election"
	"postpoint/internal/kvstore/storetest"
	"postpoint/internal/leader/term"
	"postpoint/internal/leader/zonetracker"
	"postpoint/internal/protocol"
	"postpoint/internal/zonerecovery"
)

// saveLostZone returns a leader that has sent the write of a lost zone's record and has no response yet.
func saveLostZone(t *testing.T) (*Leader, *zonetracker.Zone, *fakeStore, *actortest.SynchronousMailbox) {
	t.Helper()
	l, mailbox := newLeader()
	store := &fakeStore{}
	useStore(l, store)
	z := &zonetracker.Zone{
		Zone: &zonerecovery.Zone{Name: "a", Phase: zonerecovery.Lost, Losses: 1,
			Since: 90 * clock.Second},
		RecordVersion: 5,
	}
	l.zones.Zones = map[string]*zonetracker.Zone{"a": z}
	l.zones.SaveZones()
	if len(store.txns) != 1 || !requires(store.txns[0], zonerecovery.Key("a"), 5) {
		t.Fatalf("got %+v, want one transaction on version 5 of the zone", store.txns)
	}
	return l, z, store, mailbox
}

// The leader writes a stored phase again only once it has changed, and at the version of its last write.
// It doesn't store the suspect phase. Otherwise each save would load the store, or conflict with the one
// before.
func TestZonesAreSavedWhenTheirPhasesChange(t *testing.T) {
	l, z, store, _ := saveLostZone(t)
	store.respond(committedAt(6))
	l.zones.SaveZones()
	z.Phase = zonerecovery.Suspect
	l.zones.SaveZones()
	if len(store.txns) != 1 {
		t.Fatalf("got %+v, want no other transaction for a stored phase or a suspect zone", store.txns)
	}
	z.Phase = zonerecovery.Healthy
	l.zones.SaveZones()
	if len(store.txns) != 2 || !requires(store.txns[1], zonerecovery.Key("a"), 6) {
		t.Fatalf("got %+v, want a second transaction on version 6 of the zone", store.txns)
	}
}

// If the outcome of a zone's write is unknown, the leader reads the record and writes it at the version
// that it read. Otherwise every retry could conflict with a write that the store has applied.
func TestZonesAreReadAfterUnknownOutcomes(t *testing.T) {
	for name, response := range map[string]storetest.Reply[protocol.TxnResponse]{
		"no response":      {},
		"server failure":   {Status: http.StatusInternalServerError},
		"version conflict": conflictOn(zonerecovery.Key("a")),
	} {
		l, _, store, mailbox := saveLostZone(t)
		store.respond(response)
		mailbox.Now += term.RetryDelay
		useStore(l, &singleKeyStore{store, protocol.Item{Version: 9}, http.StatusOK})
		l.zones.SaveZones()
		if len(store.txns) != 1 {
			t.Errorf("%s: got %+v, want a read before another transaction", name, store.txns)
		}
		l.zones.SaveZones()
		if len(store.txns) != 2 || !requires(store.txns[1], zonerecovery.Key("a"), 9) {
			t.Errorf("%s: got %+v, want a second transaction on version 9 of the zone", name, store.txns)
		}
	}
}

// If the store rejects a zone's write as throttled or unavailable, the leader retries it after a pause.
// It needs no read before the retry, because the store has applied nothing.
func TestRejectedZonesAreRetried(t *testing.T) {
	for _, status := range []int{http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		l, _, store, mailbox := saveLostZone(t)
		store.respond(storetest.Reply[protocol.TxnResponse]{Status: status})
		l.zones.SaveZones()
		if len(store.txns) != 1 {
			t.Errorf("status %d: got %d transactions during the pause, want 1", status, len(store.txns))
		}
		mailbox.Now += term.RetryDelay
		l.zones.SaveZones()
		if len(store.txns) != 2 || !requires(store.txns[1], zonerecovery.Key("a"), 5) {
			t.Errorf("status %d: got %+v after the pause, want a second transaction", status, store.txns)
		}
	}
}

// A transaction that conflicts on the leader's key shows that another controller leads. The leader must
// step down, and not handle this as a conflict on the zone's record.
func TestZoneConflictDeposesLeader(t *testing.T) {
	l, _, store, _ := saveLostZone(t)
	deposedBy := protocol.Epoch(0)
	l.state.Deposed = func(epoch protocol.Epoch) { deposedBy = epoch }
	store.respond(conflictOn(election.LeaderKey, zonerecovery.Key("a")))
	if deposedBy != 8 {
		t.Errorf("got deposed by epoch %d, want 8", deposedBy)
	}
}
