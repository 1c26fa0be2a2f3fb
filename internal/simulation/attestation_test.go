package simulation

import (
	"testing"

	"postpoint/internal/admission"
	"postpoint/internal/clock"
	"postpoint/internal/jobrecord"
	"postpoint/internal/protocol"
)

// attestationDelay is how long a request for an attestation is delayed: less than controllers wait for the
// response.
const attestationDelay = 700 * clock.Millisecond

// delayedAttestation delays the first request for an attestation on its way to a controller.
type delayedAttestation struct {
	w         *World
	handler   requestHandler
	arrivedAt clock.Micros // when the delayed request arrived, 0 before that
}

// delayAttestation delays the next request for an attestation on its way to a controller.
func delayAttestation(w *World, n *Node) *delayedAttestation {
	delayed := &delayedAttestation{w: w, handler: n.peers}
	n.peers = delayed
	return delayed
}

// Handle implements requestHandler.
func (h *delayedAttestation) Handle(r admission.Request, reply func(admission.Response)) {
	if r.Kind != admission.GetAttestation || h.arrivedAt != 0 {
		h.handler.Handle(r, reply)
		return
	}
	h.arrivedAt = h.w.now + attestationDelay
	h.w.After(attestationDelay, func() { h.handler.Handle(r, reply) })
}

// confirmRecentRecords makes the leader's watch of the records respond twice, so that the leader knows all
// changes up to a moment ago. It returns the earliest time up to which the leader knows them.
func confirmRecentRecords(t *testing.T, w *World, d *Deployment, leader *Node) clock.Micros {
	t.Helper()
	knownUntil := clock.Micros(0)
	for _, id := range []protocol.JobID{"job-000101", "job-000102"} {
		before := watchOfRecords(d, leader)
		knownUntil = w.Now()
		d.Submit(arraySpec(id, "open", 1, 1, 300), 300*clock.Second, false)
		renewed := runUntil(w, w.Now()+3*clock.Second, clock.Millisecond, func() bool {
			next := watchOfRecords(d, leader)
			return next != nil && next != before
		})
		if !renewed {
			t.Fatal("the leader hasn't renewed its watch of the records, want it renewed after a submission")
		}
	}
	return knownUntil
}

// watchOfRecords returns the watch of the records that a controller has open at the store, nil if there is
// none.
func watchOfRecords(d *Deployment, n *Node) *watcher {
	for _, x := range d.Store.watchers {
		if x.link == &n.StoreLink && x.prefix == jobrecord.Prefix {
			return x
		}
	}
	return nil
}

// A cancelled task must not outlive cancel_s because a request for an attestation is delayed. The store
// rejects the leader alone, another controller confirms a cancellation, and the store has an outage for longer
// than cancel_s. The request to that controller looks back to the time up to which the leader knows all
// cancellations, or further, however late it arrives. If the controller restarts within a fraction of a second
// and the request arrives after that, its new process doesn't know the cancellation and can't attest.
func TestDelayedAttestationRequestMissesNoCancellation(t *testing.T) {
	for _, restarts := range []bool{false, true} {
		for seed := uint64(31); seed < 36; seed++ {
			w, d, j, _ := twoJobs(t, seed, 300*clock.Second)
			leader := mustLead(t, d)
			teller := d.Nodes[(d.nodeIndex(leader.Name, 0)+1)%len(d.Nodes)]
			knownUntil := confirmRecentRecords(t, w, d, leader)
			leader.StoreLink.StoreRejects = true
			d.cancelAt(teller, j)
			runUntil(w, w.Now()+clock.Second, clock.Millisecond, func() bool { return j.finalStatus != "" })
			mustBeCancelled(t, j)
			if age := w.Now() - knownUntil; age > attestationDelay/2 {
				t.Fatalf("the records were known %.3f s before the confirmation, want %.3f s at most",
					age.Seconds(), (attestationDelay / 2).Seconds())
			}
			d.Store.SetOutage(true)
			if restarts {
				teller.Crash()
				d.StartNode(teller)
			}
			delayed := delayAttestation(w, teller)
			w.Run(w.Now() + 45*clock.Second)
			if delayed.arrivedAt == 0 {
				t.Fatal("the leader requested no attestation, want a request")
			}
			if len(w.Violations) > 0 {
				t.Errorf("seed %d, the controller restarts %v: broken rules %v, want none", seed, restarts, w.Violations)
			}
		}
	}
}
