package leader

import (
	"testing"

	"postpoint/internal/actor/actortest"
	"postpoint/internal/clock"
	"postpoint/internal/jobrecord"
	"postpoint/internal/kvstore/storetest"
	"postpoint/internal/leader/jobtable"
	"postpoint/internal/leader/machinetable"
	"postpoint/internal/leader/reconciler"
	"postpoint/internal/leader/term"
	"postpoint/internal/protocol"
	"postpoint/internal/settings"
)

// newLeader returns a leader in epoch 7 that has loaded its records, and its mailbox, whose clock the
// test sets.
func newLeader() (*Leader, *actortest.SynchronousMailbox) { return newAttestedLeader(nil) }

// newAttestedLeader is newLeader with a function that asks all controllers for attestations.
func newAttestedLeader(attest reconciler.Attester) (*Leader, *actortest.SynchronousMailbox) {
	mailbox := &actortest.SynchronousMailbox{Now: 100 * clock.Second}
	set := &settings.Settings{}
	set.Deployment.Workers = settings.Workers{HeartbeatS: 2, LeaseS: 12, GangPeerTimeoutS: 4, CancelS: 30}
	set.Deployment.KVStore = settings.KVStore{Rps: 100, WriteRps: 40, ValueKb: 8, TxnOps: 5}
	l := New(Dependencies{
		Mailbox:  mailbox,
		Settings: set,
		Deposed:  func(protocol.Epoch) {},
		Resign:   func() {},
		Attest:   attest,
	})
	l.state.Term.Epoch, l.state.BegunAt = 7, mailbox.Now
	l.state.Term.RenewedAt, l.state.Term.ValidUntil = mailbox.Now, mailbox.Now+4*clock.Second
	l.jobs.ByID, l.jobs.Malformed = map[protocol.JobID]*jobtable.Job{}, map[protocol.JobID]bool{}
	l.jobs.FinalVersions = map[protocol.JobID]protocol.Revision{}
	l.jobs.StrayShards = map[string]protocol.Revision{}
	l.machines.ByName = map[protocol.MachineName]*machinetable.Machine{}
	l.machines.Released = map[protocol.MachineName]clock.Micros{}
	l.state.Random = term.NewRandom(7)
	l.state.Loaded, l.state.RecordsKnownUntil, l.steps.Pending = true, mailbox.Now, true
	return l, mailbox
}

// useStore connects all components that access the key-value store to the given fake.
func useStore(l *Leader, service storetest.Service) {
	store := storetest.Client(service)
	l.catalogue.Store = store
	l.reader.Store = store
	l.writer.Store = store
	l.origin.Store = store
	l.host.Store = store
	l.zones.Store = store
}

// leaderWithOneTask returns a leader with a committed placement of one task on incarnation 1 of machine
// m-1, together with the job, the machine and the mailbox.
func leaderWithOneTask(t *testing.T) (*Leader, *jobtable.Job, *machinetable.Machine, *actortest.SynchronousMailbox) {
	t.Helper()
	l, mailbox := newLeader()
	content := jobrecord.New(protocol.JobSpec{ID: "job-1", Shape: protocol.ShapeArray, Tasks: 1}, 1)
	content.NextAttempt = 2
	content.Placements[0] = jobrecord.Placement{Task: 0, Attempt: 1, Machine: "m-1", Incarnation: 1}
	l.reader.Apply(jobrecord.Key("job-1"), content.Encode(), 5)
	return l, l.jobs.ByID["job-1"], l.machines.ByName["m-1"], mailbox
}

// exitedHeartbeat returns the first heartbeat of machine m-1. It reports that task 0 of job-1 has exited
// for the given cause.
func exitedHeartbeat(cause string) protocol.Heartbeat {
	return workerHeartbeat(1, 1, protocol.TaskStatus{
		Task:    "job-1/0",
		Attempt: 1,
		Status:  protocol.TaskExited,
		Cause:   cause,
	})
}

// workerHeartbeat returns a heartbeat of machine m-1, whose worker has seen epoch 7.
func workerHeartbeat(
	incarnation protocol.Incarnation, counter int64, tasks ...protocol.TaskStatus,
) protocol.Heartbeat {
	return protocol.Heartbeat{
		Machine:     "m-1",
		Address:     "m-1:1",
		Incarnation: incarnation,
		Counter:     counter,
		Epoch:       7,
		Tasks:       tasks,
	}
}

// leaderWithEightTasks returns a leader to which machine m-1 has reported all eight tasks of a job, the
// job, and the last of these heartbeats.
func leaderWithEightTasks() (*Leader, *jobtable.Job, protocol.Heartbeat) {
	l, _ := newLeader()
	content := jobrecord.New(protocol.JobSpec{ID: "job-1", Shape: protocol.ShapeArray, Tasks: 8}, 1)
	r := workerHeartbeat(1, 0)
	for task := range 8 {
		content.Placements[task] = jobrecord.Placement{Task: task, Attempt: 1, Machine: "m-1", Incarnation: 1}
		r.Tasks = append(r.Tasks, protocol.TaskStatus{
			Task:    protocol.TaskName("job-1", task),
			Attempt: 1,
			Status:  protocol.TaskRunning,
		})
	}
	l.reader.Apply(jobrecord.Key("job-1"), content.Encode(), 5)
	for range 2 {
		r.Counter++
		l.Heartbeat(r, func(int, any) {})
	}
	return l, l.jobs.ByID["job-1"], r
}
