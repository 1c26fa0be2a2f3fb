package leader

import (
	"testing"

	"postpoint/internal/actor/actortest"
	"postpoint/internal/clock"
	"postpoint/internal/jobrecord"
	"postpoint/internal/kvstore/storetest"
	"postpoint/internal/leader/jobtable"
	"postpoint/internal/leader/machinetable"
	"postpoint/internal/leader/term"
	"postpoint/internal/protocol"
	"postpoint/internal/settings"
)

// newLeader returns a leader that has read its records, in epoch 7.
func newLeader() (*Leader, *actortest.SynchronousMailbox) {
	box := &actortest.SynchronousMailbox{Now: 100 * clock.Second}
	set := &settings.Settings{}
	set.Deployment.Workers = settings.Workers{HeartbeatS: 2, LeaseS: 12, GangPeerTimeoutS: 4, CancelS: 30}
	set.Deployment.KVStore = settings.KVStore{Rps: 100, WriteRps: 40, ValueKb: 8, TxnOps: 5}
	d := New(Dependencies{Mailbox: box, Settings: set, Deposed: func(protocol.Epoch) {}, Resign: func() {}})
	d.state.Term.Epoch, d.state.BegunAt = 7, box.Now
	d.state.Term.RenewedAt, d.state.Term.ValidUntil = box.Now, box.Now+4*clock.Second
	d.jobs.ByID, d.jobs.Malformed = map[protocol.JobID]*jobtable.Job{}, map[protocol.JobID]bool{}
	d.jobs.FinalVersions = map[protocol.JobID]protocol.Revision{}
	d.jobs.StrayShards = map[string]protocol.Revision{}
	d.machines.ByName = map[protocol.MachineName]*machinetable.Machine{}
	d.machines.Released = map[protocol.MachineName]clock.Micros{}
	d.state.Random = term.NewRandom(7)
	d.state.Loaded, d.state.RecordsKnownUntil, d.steps.Pending = true, box.Now, true
	return d, box
}

// useStore gives all components a key-value store that responds as the service does.
func useStore(l *Leader, service storetest.Service) {
	store := storetest.Client(service)
	l.catalogue.Store = store
	l.reader.Store = store
	l.writer.Store = store
	l.origin.Store = store
	l.host.Store = store
	l.zones.Store = store
}

// leaderWithOneTask returns a leader that has committed one task to machine m-1 in its incarnation 1.
func leaderWithOneTask(t *testing.T) (
	*Leader, *jobtable.Job, *machinetable.Machine, *actortest.SynchronousMailbox,
) {
	t.Helper()
	d, box := newLeader()
	content := jobrecord.New(protocol.JobSpec{ID: "job-1", Shape: protocol.ShapeArray, Tasks: 1}, 1)
	content.NextAttempt = 2
	content.Placements[0] = jobrecord.Placement{Task: 0, Attempt: 1, Machine: "m-1", Incarnation: 1}
	d.reader.Apply(jobrecord.Key("job-1"), content.Encode(), 5)
	return d, d.jobs.ByID["job-1"], d.machines.ByName["m-1"], box
}

// exitedHeartbeat returns the first heartbeat of machine m-1, which says that task 0 of job-1 has
// exited.
func exitedHeartbeat(cause string) protocol.Heartbeat {
	return workerHeartbeat(1, 1, protocol.TaskStatus{
		Task:    "job-1/0",
		Attempt: 1,
		Status:  protocol.TaskExited,
		Cause:   cause,
	})
}

// workerHeartbeat returns a heartbeat of machine m-1, whose agent knows of epoch 7.
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

// leaderWithEightTasks returns a leader that has heard of a job's eight tasks where they are placed,
// and the heartbeat that said so.
func leaderWithEightTasks() (*Leader, *jobtable.Job, protocol.Heartbeat) {
	d, _ := newLeader()
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
	d.reader.Apply(jobrecord.Key("job-1"), content.Encode(), 5)
	for range 2 {
		r.Counter++
		d.Heartbeat(r, func(int, any) {})
	}
	return d, d.jobs.ByID["job-1"], r
}
