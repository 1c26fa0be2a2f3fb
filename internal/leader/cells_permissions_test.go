package leader

import (
	"fmt"
	"testing"

	"postpoint/internal/cells"
	"postpoint/internal/clock"
	"postpoint/internal/delegation"
	"postpoint/internal/jobrecord"
	"postpoint/internal/leader/federation"
	"postpoint/internal/protocol"
)

// onlyDirective returns the single directive of a response.
func onlyDirective(t *testing.T, response delegation.HeartbeatResponse) delegation.Directive {
	t.Helper()
	if len(response.Directives) != 1 {
		t.Fatalf("got directives %+v, want one", response.Directives)
	}
	return response.Directives[0]
}

// A permission lasts from the time up to which cancellations are known, not from now; a cancelled job has
// none.
func TestPermissionsCountFromWhatIsKnown(t *testing.T) {
	l, j, _, box := delegatingLeader(t)
	box.Now += 2 * clock.Second // the records were fresh and the lease renewed before
	l.state.Term.ValidUntil = box.Now + clock.Second
	workers := l.state.Settings.Deployment.Workers
	length := cells.MaxPermission(workers, cells.MaxTerminationTime(12*clock.Second)) - 2*clock.Second
	want := delegation.Directive{Number: 7, Action: delegation.Continue, PermissionFor: length}
	if got := onlyDirective(t, reportDelegation(l, delegation.Status{})); got != want {
		t.Fatalf("got %+v, want %+v", got, want)
	}
	l.jobs.NoteCancelled(j, box.Now)
	want = delegation.Directive{Number: 7, Action: delegation.Cancel}
	if got := onlyDirective(t, reportDelegation(l, delegation.Status{})); got != want {
		t.Fatalf("got %+v for a cancelled job, want %+v", got, want)
	}
}

// Nobody but a leader that has read all records says that there is no such delegation.
func TestOnlyLeadersWithAllRecordsForgetDelegations(t *testing.T) {
	l, j, _, box := delegatingLeader(t)
	box.Now += 2 * clock.Second
	l.jobs.NoteCancelled(j, box.Now) // a delegation that there isn't is forgotten, not cancelled
	delete(l.origin.Delegations, 7)
	l.state.Term.ValidUntil = box.Now + clock.Second
	directive := onlyDirective(t, reportDelegation(l, delegation.Status{}))
	if directive.Number != 7 || directive.Action != delegation.Forget {
		t.Fatalf("got %+v from the leader, want delegation 7 to be forgotten", directive)
	}
	l.state.Term.ValidUntil = box.Now
	if a := reportDelegation(l, delegation.Status{}); a.Result != delegation.Processed ||
		len(a.Directives) != 0 {
		t.Fatalf("got %+v from a node without the lease, want a response without directives", a)
	}
	l.state.Term.ValidUntil = box.Now + clock.Second
	l.origin.HasMalformed = true
	if a := reportDelegation(l, delegation.Status{}); a.Result != delegation.Processed ||
		len(a.Directives) != 0 {
		t.Fatalf("got %+v though a delegation's record is malformed, want a response without directives", a)
	}
}

// BenchmarkExchange measures what a heartbeat on as many delegations as one cell may have costs both
// leaders: decoding it, handling it, and the response.
func BenchmarkExchange(b *testing.B) {
	l, _, box := cellLeader(b)
	l.origin.Numbers = federation.NumberBlock{Next: 1, End: 1000}
	r := benchmarkReport(l)
	for b.Loop() {
		l.state.RecordsKnownUntil, l.state.Term.RenewedAt, l.state.Term.ValidUntil = box.Now, box.Now,
			box.Now+clock.Second
		decoded, err := delegation.DecodeHeartbeat(r.Encode())
		if err != nil {
			b.Fatal(err)
		}
		l.Exchange(decoded, func(a delegation.HeartbeatResponse, _ bool) {
			if len(a.Directives) != delegation.MaxPerHost {
				b.Fatalf("got %d directives, want %d", len(a.Directives), delegation.MaxPerHost)
			}
			if _, err := delegation.DecodeHeartbeatResponse(a.Encode()); err != nil {
				b.Fatal(err)
			}
		})
	}
}

// benchmarkReport delegates as many jobs of a hundred tasks as one cell may have, and returns the heartbeat
// by which the host has all of them.
func benchmarkReport(l *Leader) delegation.Heartbeat {
	const tasksPerJob = 100
	var tasks []int
	for task := range tasksPerJob {
		tasks = append(tasks, task)
	}
	r := reportFromBeta()
	for range delegation.MaxPerHost {
		number := l.origin.Numbers.Next
		id := protocol.JobID(fmt.Sprintf("job-%d", number))
		spec := protocol.JobSpec{ID: id, Shape: protocol.ShapeArray, Tasks: tasksPerJob, Cpus: 1}
		l.reader.Apply(jobrecord.Key(id), jobrecord.New(spec, 1).Encode(), 5)
		r.Statuses = append(r.Statuses, delegation.Status{Number: number, Job: id, Held: taskSet(tasks...)})
		l.origin.Delegate(l.jobs.ByID[id], "beta", tasks)
	}
	return r
}
