package intake

import (
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"

	"postpoint/internal/actor/actortest"
	"postpoint/internal/clock"
	"postpoint/internal/ledger"
	"postpoint/internal/protocol"
	"postpoint/internal/settings"
	"postpoint/internal/statestore"
)

// records is a state service that holds cancelled jobs and serves nothing else.
type records struct{ statestore.Store }

func (records) Get(key string, done func(statestore.Reply[protocol.Item])) {
	j := ledger.New(protocol.JobSpec{ID: key[len(ledger.Prefix):], Tasks: 1}, 1)
	j.Status = protocol.StatusCancelled
	done(statestore.Reply[protocol.Item]{Status: http.StatusOK, Value: protocol.Item{Key: key, Value: j.Encode(), Version: 3}})
}

// A node vouches for what it has told users since its process began, and for its own
// elections; each cancellation counts from when it was told first, by a question's
// answer as well, and what is older than what is asked for is left out.
func TestAttestation(t *testing.T) {
	box := &actortest.Still{Now: 5 * clock.Second}
	in := New(box, records{}, &settings.Settings{}, nil)
	show := func(id string) { in.Handle(Request{Kind: Show, ID: id}, func(Answer) {}) }
	ask := func(back clock.Micros) (Attestation, bool) {
		var told Answer
		in.Handle(AttestRequest(back), func(a Answer) { told = a })
		all, ok := Attestations([]Answer{told}, true)
		if !ok {
			return Attestation{}, false
		}
		return all[0], true
	}
	box.Now += 10 * clock.Second
	show("job-000001")
	in.Elected(9)
	in.Elected(0) // a term that ended
	box.Now += 20 * clock.Second
	show("job-000002")
	box.Now += 5 * clock.Second
	show("job-000001") // once more
	got, ok := ask(30 * clock.Second)
	want := Attestation{Age: 35 * clock.Second, Epoch: 9, Cancelled: []CancelledJob{
		{"job-000001", 25 * clock.Second}, {"job-000002", 5 * clock.Second}}}
	if d := cmp.Diff(want, got); d != "" || !ok {
		t.Fatal(ok, d)
	}
	if got, ok := ask(10 * clock.Second); !ok || len(got.Cancelled) != 1 {
		t.Fatalf("ok %v, %v", ok, got)
	}
	if _, ok := ask(toldTime + 1); ok {
		t.Fatal("it vouches for more than it keeps")
	}
	if _, ok := ask(-1); ok {
		t.Fatal("it vouches for the time to come")
	}
	var refused Answer
	in.Handle(Request{Kind: Attest, Body: []byte{1}}, func(a Answer) { refused = a })
	if refused.Status != http.StatusServiceUnavailable {
		t.Fatalf("a malformed request is answered %d", refused.Status)
	}
}

// Whatever a node is sent in place of an attestation is refused or reads as what it
// writes again, and one that doesn't vouch spoils the whole.
func FuzzAttestations(f *testing.F) {
	f.Add(Attestation{Age: 5, Epoch: 7, Cancelled: []CancelledJob{{"job-000412", 3}}}.Encode())
	f.Add([]byte{1, 2, 3})
	f.Add(append(Attestation{}.Encode(), 200, 'x'))
	f.Add(append(Attestation{}.Encode(), 0, 0xff, 0, 0, 0, 0, 0, 0, 0))
	f.Fuzz(func(t *testing.T, raw []byte) {
		a, err := DecodeAttestation(raw)
		if err == nil && string(a.Encode()) != string(raw) {
			t.Fatalf("%x reads as %+v", raw, a)
		}
		good := Answer{Status: http.StatusOK, Body: Attestation{}.Encode()}
		if all, ok := Attestations([]Answer{good, {Status: http.StatusOK, Body: raw}}, true); ok != (err == nil) || ok && len(all) != 2 {
			t.Fatalf("ok %v, %v", ok, all)
		}
		if _, ok := Attestations([]Answer{good, {Status: http.StatusServiceUnavailable, Body: good.Body}}, true); ok {
			t.Fatal("a refusal vouches")
		}
	})
}
