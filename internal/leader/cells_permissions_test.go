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

// A permission counts from the time up to which the leader knows all cancellations, not from now.
// Otherwise, if the leader hasn't received a cancellation yet, the host could keep the cancelled task
// running for too long. A cancelled job gets no permission.
func TestPermissionsCountFromWhatIsKnown(t *testing.T) {
	l, j, _, mailbox := delegatingLeader(t)
	mailbox.Now += 2 * clock.Second // since the leader last read its records and renewed its lease
	l.state.Term.ValidUntil = mailbox.Now + clock.Second
	workers := l.state.Settings.Deployment.Workers
	length := cells.MaxPermission(workers, cells.MaxTerminationTime(12*clock.Second)) - 2*clock.Second
	want := delegation.Directive{Number: 7, Action: delegation.Continue, PermissionFor: length}
	if got := onlyDirective(t, sendDelegationStatus(l, delegation.Status{})); got != want {
		t.Fatalf("got %+v, want %+v", got, want)
	}
	l.jobs.MarkCancelled(j, mailbox.Now)
	want = delegation.Directive{Number: 7, Action: delegation.Cancel}
	if got := onlyDirective(t, sendDelegationStatus(l, delegation.Status{})); got != want {
		t.Fatalf("got %+v for a cancelled job, want %+v", got, want)
	}
}

// Only a leader that has read all records knows that a delegation doesn't exist, so only it tells the
// host to forget one. A controller without the lease, or a leader with a malformed delegation record,
// would make the host drop a valid delegation.
func TestOnlyLeadersWithAllRecordsForgetDelegations(t *testing.T) {
	l, j, _, mailbox := delegatingLeader(t)
	mailbox.Now += 2 * clock.Second
	// The host must forget an unknown delegation even if its job is cancelled.
	l.jobs.MarkCancelled(j, mailbox.Now)
	delete(l.origin.Delegations, 7)
	l.state.Term.ValidUntil = mailbox.Now + clock.Second
	directive := onlyDirective(t, sendDelegationStatus(l, delegation.Status{}))
	if directive.Number != 7 || directive.Action != delegation.Forget {
		t.Fatalf("got %+v from the leader, want delegation 7 to be forgotten", directive)
	}
	l.state.Term.ValidUntil = mailbox.Now
	if a := sendDelegationStatus(l, delegation.Status{}); a.Result != delegation.Processed ||
		len(a.Directives) != 0 {
		t.Fatalf("got %+v from a controller without the lease, want a response without directives", a)
	}
	l.state.Term.ValidUntil = mailbox.Now + clock.Second
	l.origin.HasMalformed = true
	if a := sendDelegationStatus(l, delegation.Status{}); a.Result != delegation.Processed ||
		len(a.Directives) != 0 {
		t.Fatalf("got %+v though a delegation's record is malformed, want a response without directives", a)
	}
}

// BenchmarkExchange measures what a heartbeat with the maximum number of delegations of a host costs
// both leaders: decoding and handling it, and the response.
func BenchmarkExchange(b *testing.B) {
	l, _, mailbox := cellLeader(b)
	l.origin.Numbers = federation.NumberBlock{Next: 1, End: 1000}
	r := benchmarkHeartbeat(l)
	for b.Loop() {
		l.state.RecordsKnownUntil, l.state.Term.RenewedAt, l.state.Term.ValidUntil = mailbox.Now, mailbox.Now,
			mailbox.Now+clock.Second
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

// benchmarkHeartbeat delegates the maximum number of jobs, with a hundred tasks each, to beta. It
// returns the heartbeat that reports all of their tasks as held.
func benchmarkHeartbeat(l *Leader) delegation.Heartbeat {
	const tasksPerJob = 100
	var tasks []int
	for task := range tasksPerJob {
		tasks = append(tasks, task)
	}
	r := heartbeatFromBeta()
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
