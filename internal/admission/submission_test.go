package admission

import (
	"net/http"
	"testing"

	"postpoint/internal/actor/actortest"
	"postpoint/internal/clock"
	"postpoint/internal/jobrecord"
	"postpoint/internal/protocol"
	"postpoint/internal/rollout"
	"postpoint/internal/settings"
)

// Guards against a controller of an older version that classifies a service as an array. Until all
// controllers support services, a controller responds to the submission of a service at once with status 503
// and Retry-After, so that the user retries. It neither records the submission nor forwards it to a peer.
func TestServicesWaitForTheUpgrade(t *testing.T) {
	set := &settings.Settings{Deployment: visionDeployment()}
	spec := submission()
	spec.Shape = protocol.ShapeService
	submit := Request{Kind: Submit, Body: protocol.Encode(spec)}
	forward := func(Request, func(Response, bool)) { t.Error("forwarded to a peer, want it handled here") }
	for _, storeAvailable := range []bool{true, false} {
		mailbox := &actortest.SynchronousMailbox{Now: clock.Second}
		store := &fakeStore{maxValue: 2 << 10}
		adm := New(mailbox, store, set, forward)
		adm.SetMachineTypes(gpuTypes("a", "b"))
		if !storeAvailable {
			adm.availability.storeDownUntil = mailbox.Now + clock.Second
		}
		got := responseOf(t, adm, submit)
		if got.Status != http.StatusServiceUnavailable || got.RetryAfterS < 1 || len(store.puts) != 0 {
			t.Errorf("store available %v: status %d, retry after %d s, %d puts, want %d, a delay and no puts",
				storeAvailable, got.Status, got.RetryAfterS, len(store.puts), http.StatusServiceUnavailable)
		}
		if !storeAvailable {
			continue
		}
		adm.SetFormatStatus(rollout.Status{Services: true})
		got = responseOf(t, adm, submit)
		if got.Status != http.StatusCreated || len(store.puts) != 1 {
			t.Errorf("after the upgrade: status %d with %d puts, want %d with 1",
				got.Status, len(store.puts), http.StatusCreated)
		}
	}
}

// Guards against a node that runs out of memory: while its memory is full, it rejects new jobs with
// Retry-After and still responds to requests for known jobs.
func TestNewJobsWaitWhileMemoryIsFull(t *testing.T) {
	set := &settings.Settings{}
	set.Deployment.Teams = []settings.Team{{Name: "vision"}}
	spec := submission()
	raw := protocol.Encode(spec)
	for _, known := range []bool{false, true} {
		store := &fakeStore{readOnly: true}
		if known {
			store.values = map[string][]byte{jobrecord.Key(spec.ID): jobrecord.New(spec, 1).Encode()}
		}
		adm := New(&actortest.SynchronousMailbox{Now: 20 * clock.Second}, store, set, nil)
		adm.SetMachineTypes(gpuTypes("a"))
		adm.RejectNewJobsWhen(func() bool { return true })
		for _, r := range []Request{{Kind: Submit, Body: raw}, {Kind: GetStatus, ID: spec.ID}} {
			got := responseOf(t, adm, r)
			want := http.StatusOK
			switch {
			case !known && r.Kind == Submit:
				want = http.StatusServiceUnavailable
			case !known:
				want = http.StatusNotFound
			}
			if got.Status != want || (got.RetryAfterS > 0) != (want == http.StatusServiceUnavailable) {
				t.Errorf("known %v, kind %d: status %d, retry after %d s, want %d, and a delay only with %d",
					known, r.Kind, got.Status, got.RetryAfterS, want, http.StatusServiceUnavailable)
			}
		}
	}
}
