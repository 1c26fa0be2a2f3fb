package simulation

import (
	"net/http"
	"strings"

	"postpoint/internal/clock"
	"postpoint/internal/delegation"
	"postpoint/internal/kvstore/storetest"
	"postpoint/internal/protocol"
	"postpoint/internal/settings"
)

// conditionsPerChange is the limit of conditions in a transaction, as a multiple of the limit of changes.
const conditionsPerChange = 4

// SetLimits sets the limits of the settings; it sets the limit on the rate of changes only if rate is set.
func (s *FakeStore) SetLimits(l settings.KVStore, rate bool) {
	s.ValueBytes, s.TxnOps = l.ValueBytes(), l.TxnOps
	if rate {
		s.ChangesPerS = int(l.WriteRps)
	}
}

// limitExceeded returns the status with which the store rejects a transaction that exceeds a limit, 0 if
// the limits allow it.
func (s *FakeStore) limitExceeded(t protocol.Txn) int {
	if s.TxnOps > 0 && (len(t.Changes) > s.TxnOps || len(t.Conditions) > conditionsPerChange*s.TxnOps) {
		return http.StatusBadRequest
	}
	for _, c := range t.Changes {
		if s.ValueBytes > 0 && c.Put != "" && protocol.JSONSize(c.Value) > s.ValueBytes {
			return http.StatusBadRequest
		}
	}
	if second := s.w.now / clock.Second; second != s.currentSecond {
		s.currentSecond, s.changesThisSecond = second, 0
	}
	s.changesThisSecond += len(t.Changes)
	if s.ChangesPerS > 0 && s.changesThisSecond > s.ChangesPerS {
		return http.StatusTooManyRequests
	}
	return 0
}

// failedConditions lists the keys that don't have the versions that a transaction requires.
func (s *FakeStore) failedConditions(t protocol.Txn) []string {
	var failed []string
	for _, condition := range t.Conditions {
		if s.entries[condition.Key].version != condition.Version {
			failed = append(failed, condition.Key)
		}
	}
	return failed
}

// leasesExist reports whether all leases exist to which a transaction binds entries.
func (s *FakeStore) leasesExist(t protocol.Txn) bool {
	for _, c := range t.Changes {
		if c.Lease != 0 && s.leases[c.Lease] == nil {
			return false
		}
	}
	return true
}

// commit executes a compare-and-swap transaction, or rejects it as a whole.
func (s *FakeStore) commit(t protocol.Txn) storetest.Reply[protocol.TxnResponse] {
	respond := func(status int, body protocol.TxnResponse) storetest.Reply[protocol.TxnResponse] {
		return storetest.Reply[protocol.TxnResponse]{Status: status, Value: body}
	}
	if status := s.limitExceeded(t); status != 0 {
		return respond(status, protocol.TxnResponse{})
	}
	if !s.leasesExist(t) {
		return respond(http.StatusBadRequest, protocol.TxnResponse{Error: "no such lease"})
	}
	if failed := s.failedConditions(t); len(failed) > 0 {
		return respond(http.StatusConflict, protocol.TxnResponse{Revision: s.revision, Failed: failed})
	}
	s.apply(t.Changes)
	s.notifyWatchers()
	return respond(http.StatusOK, protocol.TxnResponse{Revision: s.revision})
}

// apply makes the changes of a transaction at a new revision.
func (s *FakeStore) apply(changes []protocol.Change) {
	if len(changes) > 0 {
		s.revision++
	}
	for _, c := range changes {
		s.Changes++
		if c.Put == "" {
			s.remove(c.Delete)
			continue
		}
		if s.CheckPut != nil {
			s.CheckPut(c.Put, c.Value)
		}
		if strings.HasPrefix(c.Put, delegation.Prefix) && s.entries[c.Put].version == 0 {
			s.delegationsStored++
		}
		s.put(c.Put, c.Value, c.Lease)
	}
}
