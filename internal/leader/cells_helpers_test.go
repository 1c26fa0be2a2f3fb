package leader

import (
	"testing"

	"postpoint/internal/actor/actortest"
	"postpoint/internal/cells"
	"postpoint/internal/clock"
	"postpoint/internal/delegation"
	"postpoint/internal/jobrecord"
	"postpoint/internal/kvstore/storetest"
	"postpoint/internal/leader/federation"
	"postpoint/internal/leader/jobtable"
	"postpoint/internal/leader/machinetable"
	"postpoint/internal/protocol"
)

// twoCells is the directory of the cells alpha and beta, each of which may offload tasks to the other.
const twoCells = `
cell = "alpha"
[[cells]]
name = "alpha"
lease_s = 12.0
guests = { cpus = 100.0 }
controllers = [{ node = "worker-0", address = "10.0.0.1:8082" }]
[[cells]]
name = "beta"
lease_s = 12.0
guests = { cpus = 100.0 }
controllers = [{ node = "worker-0", address = "10.1.0.1:8082" }]
[[spill]]
from = "alpha"
to = ["beta"]
[[spill]]
from = "beta"
to = ["alpha"]
`

// cellLeader returns a leader of cell alpha, which hosts jobs of beta and may delegate its own jobs to
// beta.
func cellLeader(tb testing.TB) (*Leader, *fakeStore, *actortest.SynchronousMailbox) {
	tb.Helper()
	l, mailbox := newLeader()
	l.state.Settings.Node = "worker-0"
	directory, err := cells.Parse([]byte(twoCells), l.state.Settings)
	if err != nil {
		tb.Fatal(err)
	}
	store := &fakeStore{}
	useStore(l, store)
	l.state.Format.Services, l.state.Format.Cells = true, true
	l.EnableCells(directory, nil)
	l.cells.Begin()
	l.origin.Begin()
	return l, store, mailbox
}

// hostingLeader returns a leader of alpha with a hosted job of one task. The task's placement on m-1 is
// committed, and the job's permission expires in ten seconds.
func hostingLeader(t *testing.T) (*Leader, *jobtable.Job, *machinetable.Machine, *actortest.SynchronousMailbox) {
	t.Helper()
	l, _, mailbox := cellLeader(t)
	id := jobrecord.HostedJobID("beta", "job-1", 7)
	content := jobrecord.New(protocol.JobSpec{ID: id, Shape: protocol.ShapeArray, Tasks: 1, Cpus: 1}, 1)
	content.Hosted = &jobrecord.HostedJob{OriginCell: "beta", Delegation: 7}
	content.NextAttempt = 2
	content.Placements[0] = jobrecord.Placement{Task: 0, Attempt: 1, Machine: "m-1", Incarnation: 1}
	l.reader.Apply(jobrecord.Key(id), content.Encode(), 5)
	j := l.jobs.ByID[id]
	permission := delegation.Directive{Number: 7, Action: delegation.Continue,
		PermissionFor: 10 * clock.Second}
	j.Permission.Apply(permission, mailbox.Now, mailbox.Now)
	return l, j, l.machines.ByName["m-1"], mailbox
}

// hostedAttempt returns a reference to the attempt of the hosted job's task.
func hostedAttempt(j *jobtable.Job) machinetable.AttemptRef {
	return machinetable.AttemptRef{Job: j.Spec.ID, Task: 0, Attempt: 1}
}

// hostedTask returns the status of the hosted job's task as m-1 reports it.
func hostedTask(j *jobtable.Job, status, cause string) protocol.TaskStatus {
	return protocol.TaskStatus{Task: protocol.TaskName(j.Spec.ID, 0), Attempt: 1, Status: status,
		Cause: cause}
}

// sendHeartbeat sends a heartbeat of m-1 to a leader with a valid lease and current records. It returns
// the status and the commands of the response.
func sendHeartbeat(l *Leader, mailbox *actortest.SynchronousMailbox, counter int64,
	tasks ...protocol.TaskStatus) (status int, commands []protocol.Command) {
	l.state.Term.RenewedAt, l.state.Term.ValidUntil = mailbox.Now, mailbox.Now+4*clock.Second
	l.state.RecordsKnownUntil = mailbox.Now
	l.Heartbeat(workerHeartbeat(1, counter, tasks...), func(s int, body any) {
		status = s
		if response, ok := body.(protocol.HeartbeatResponse); ok {
			commands = response.Commands
		}
	})
	return status, commands
}

// delegatingLeader returns a leader of alpha that has delegated both tasks of a job to beta.
func delegatingLeader(t *testing.T) (*Leader, *jobtable.Job, *fakeStore, *actortest.SynchronousMailbox) {
	t.Helper()
	l, store, mailbox := cellLeader(t)
	content := jobrecord.New(protocol.JobSpec{ID: "job-1", Shape: protocol.ShapeArray, Tasks: 2, Cpus: 1}, 1)
	l.reader.Apply(jobrecord.Key("job-1"), content.Encode(), 5)
	j := l.jobs.ByID["job-1"]
	l.origin.Numbers = federation.NumberBlock{Next: 7, End: 1000}
	l.origin.Delegate(j, "beta", []int{0, 1})
	return l, j, store, mailbox
}

// heartbeatFromBeta returns a heartbeat that beta, as a host, sends to alpha.
func heartbeatFromBeta(statuses ...delegation.Status) delegation.Heartbeat {
	return delegation.Heartbeat{
		Host:               "beta",
		Origin:             "alpha",
		Epoch:              3,
		MaxTerminationTime: cells.MaxTerminationTime(12 * clock.Second),
		Statuses:           statuses,
	}
}

// sendDelegationStatus sends beta's status of delegation 7 to the leader of alpha, and returns the
// response.
func sendDelegationStatus(l *Leader, s delegation.Status) delegation.HeartbeatResponse {
	s.Number, s.Job = 7, "job-1"
	var response delegation.HeartbeatResponse
	l.Exchange(heartbeatFromBeta(s), func(a delegation.HeartbeatResponse, _ bool) { response = a })
	return response
}

// taskSet returns the set of the given tasks.
func taskSet(tasks ...int) jobrecord.TaskSet {
	var set jobrecord.TaskSet
	for _, task := range tasks {
		set.Add(task)
	}
	return set
}

// requires reports whether a transaction depends on the given version of a key.
func requires(t protocol.Txn, key string, version protocol.Revision) bool {
	for _, condition := range t.Conditions {
		if condition.Key == key && condition.Version == version {
			return true
		}
	}
	return false
}

// singleKeyStore is a store that responds to each read with the same status and item.
type singleKeyStore struct {
	*fakeStore
	item   protocol.Item
	status int
}

func (r *singleKeyStore) Get(_ string, done func(storetest.Reply[protocol.Item])) {
	done(storetest.Reply[protocol.Item]{Status: r.status, Value: r.item})
}
