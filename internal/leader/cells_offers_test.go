package leader

import (
	"strings"
	"testing"

	"postpoint/internal/delegation"
	"postpoint/internal/jobrecord"
	"postpoint/internal/protocol"
)

// For each reason to refuse an offer, the host stores a tombstone that names the reason. It can't accept
// the same delegation number afterwards, even if the offer arrives again. Without a reason to refuse it,
// the host accepts the offer, once.
func TestRefusedOffersLeaveTombstones(t *testing.T) {
	validSpec := protocol.JobSpec{
		ID:       "job-1",
		Class:    "c",
		Team:     "t",
		Shape:    protocol.ShapeArray,
		Priority: "normal",
		Tasks:    1,
		Cpus:     1,
		MemoryGB: 1,
		Image:    "i",
	}
	for reason, change := range map[string]func(l *Leader, offer *delegation.Offer){
		"":              func(*Leader, *delegation.Offer) {},
		"being drained": func(l *Leader, _ *delegation.Offer) { l.cells.Directory.Own.Draining = true },
		"services": func(_ *Leader, offer *delegation.Offer) {
			offer.Spec.Shape = protocol.ShapeService
		},
		"not tasks":           func(_ *Leader, offer *delegation.Offer) { offer.Tasks.Add(3) },
		"no allowed machine":  func(_ *Leader, offer *delegation.Offer) { offer.Spec.Cpus = 64 },
		"guests have no more": func(l *Leader, _ *delegation.Offer) { l.cells.Directory.Own.HostedQuota.Cpus = 0 },
		"both spread and in one": func(_ *Leader, offer *delegation.Offer) {
			offer.Spec.Tasks, offer.Spec.Spread, offer.Spec.Zone = 2, true, "a"
		},
	} {
		l, store, _ := cellLeader(t)
		l.catalogue.Types = []protocol.MachineType{{
			Name:     "small",
			Cpus:     8,
			MemoryGB: 32,
			Price:    1,
			Zones:    []string{"a"},
		}}
		offer := delegation.Offer{Number: 7, Spec: validSpec, Tasks: taskSet(0)}
		change(l, &offer)
		l.host.HandleOffer(l.cells.ByCell["beta"], offer)
		store.respond(committedAt(8))
		j := l.jobs.ByID[jobrecord.HostedJobID("beta", "job-1", 7)]
		if j == nil || j.Final() != (reason != "") || !strings.Contains(j.Cause, reason) {
			t.Errorf("reason %q: got %+v, want a record that is final and names the reason if there is one",
				reason, j)
			continue
		}
		l.host.HandleOffer(l.cells.ByCell["beta"], offer)
		if len(store.txns) != 1 {
			t.Errorf("reason %q: got %d transactions after a second offer, want 1", reason, len(store.txns))
		}
	}
}
