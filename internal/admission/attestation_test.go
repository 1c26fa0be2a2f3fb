package admission

import (
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"

	"postpoint/internal/actor/actortest"
	"postpoint/internal/clock"
	"postpoint/internal/jobrecord"
	"postpoint/internal/protocol"
	"postpoint/internal/settings"
)

// cancelledJobs returns a store with the records of cancelled jobs.
func cancelledJobs(ids ...protocol.JobID) *fakeStore {
	store := &fakeStore{values: map[string][]byte{}, readOnly: true}
	for _, id := range ids {
		record := jobrecord.New(protocol.JobSpec{ID: id, Tasks: 1}, 1)
		record.Status = protocol.StatusCancelled
		store.values[jobrecord.Key(id)] = record.Encode()
	}
	return store
}

// Guards against a new leader that misses a cancellation that another node has reported to a user. An
// attestation covers the node's elections and the cancellations that it reported since its process
// started. A cancellation counts from its first report, which may be the response to a status request;
// cancellations before the requested time are left out.
func TestAttestationListsReportedCancellations(t *testing.T) {
	mailbox := &actortest.SynchronousMailbox{Now: 5 * clock.Second}
	adm := New(mailbox, cancelledJobs("job-000001", "job-000002"), &settings.Settings{}, nil)
	getStatus := func(id protocol.JobID) { responseOf(t, adm, Request{Kind: GetStatus, ID: id}) }
	attest := func(period clock.Micros) (Attestation, bool) {
		all, ok := DecodeAttestations([]Response{responseOf(t, adm, NewAttestationRequest(period))}, true)
		if !ok {
			return Attestation{}, false
		}
		return all[0], true
	}
	mailbox.Now += 10 * clock.Second
	getStatus("job-000001")
	adm.RecordElection(9)
	adm.RecordElection(0) // a term ended
	mailbox.Now += 20 * clock.Second
	getStatus("job-000002")
	mailbox.Now += 5 * clock.Second
	getStatus("job-000001") // a repeated report
	got, ok := attest(30 * clock.Second)
	want := Attestation{Age: 35 * clock.Second, Epoch: 9, Cancelled: []CancelledJob{
		{"job-000001", 25 * clock.Second}, {"job-000002", 5 * clock.Second}}}
	if d := cmp.Diff(want, got); d != "" || !ok {
		t.Fatalf("attestation, ok %v, want it as follows (-want +got):\n%s", ok, d)
	}
	if got, ok := attest(10 * clock.Second); !ok || len(got.Cancelled) != 1 {
		t.Fatalf("attestation of the last ten seconds: ok %v, %v, want one job", ok, got)
	}
	if _, ok := attest(cancellationRetention + 1); ok {
		t.Fatal("attestation for longer than the retention, want a rejection")
	}
	if _, ok := attest(-1); ok {
		t.Fatal("attestation for a negative time, want a rejection")
	}
	rejected := responseOf(t, adm, Request{Kind: GetAttestation, Body: []byte{1}})
	if rejected.Status != http.StatusServiceUnavailable {
		t.Fatalf("status %d for a malformed request, want %d", rejected.Status, http.StatusServiceUnavailable)
	}
}

// Guards against malformed attestations that a leader accepts: any bytes are either rejected or decode to
// a value that encodes to the same bytes, and one response without an attestation makes the whole set
// incomplete.
func FuzzAttestations(f *testing.F) {
	f.Add(Attestation{Age: 5, Epoch: 7, Cancelled: []CancelledJob{{"job-000412", 3}}}.Encode())
	f.Add([]byte{1, 2, 3})
	f.Add(append(Attestation{}.Encode(), 200, 'x'))
	f.Add(append(Attestation{}.Encode(), 0, 0xff, 0, 0, 0, 0, 0, 0, 0))
	f.Fuzz(func(t *testing.T, raw []byte) {
		a, err := DecodeAttestation(raw)
		if err == nil && string(a.Encode()) != string(raw) {
			t.Fatalf("%x decodes to %+v, which encodes to %x, want the same bytes", raw, a, a.Encode())
		}
		good := Response{Status: http.StatusOK, Body: Attestation{}.Encode()}
		all, ok := DecodeAttestations([]Response{good, {Status: http.StatusOK, Body: raw}}, true)
		if ok != (err == nil) || ok && len(all) != 2 {
			t.Fatalf("ok %v, %v, want ok %v", ok, all, err == nil)
		}
		rejection := Response{Status: http.StatusServiceUnavailable, Body: good.Body}
		if _, ok := DecodeAttestations([]Response{good, rejection}, true); ok {
			t.Fatal("a rejection counts as an attestation, want it not to")
		}
	})
}
