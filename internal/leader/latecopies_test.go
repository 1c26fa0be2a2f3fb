package leader

import (
	"testing"

	"postpoint/internal/actor/actortest"
	"postpoint/internal/clock"
	"postpoint/internal/jobrecord"
	"postpoint/internal/leader/reconciler"
	"postpoint/internal/protocol"
	"postpoint/internal/workerclient/workertest"
)

// heldCommands is a fake of all workers that keeps the last direct commands until the test responds.
type heldCommands struct {
	last protocol.CommandRequest
	done func(int, protocol.Heartbeat)
}

func (h *heldCommands) Commands(_ string, c protocol.CommandRequest, _ clock.Micros,
	done func(int, protocol.Heartbeat)) {
	h.last, h.done = c, done
}

// A worker that has forgotten an attempt would run it again if a late copy of its start arrived. So the
// response that lets it forget the attempt carries a higher fencing token than the start did, whether the
// attempt was done or not, of a service or not, and whether or not its job is over.
func TestForgottenStartsAreFenced(t *testing.T) {
	for _, c := range []struct {
		name, shape, cause string
		over               bool
	}{
		{"done task of an array", protocol.ShapeArray, protocol.CauseDone, false},
		{"stopped task of an array", protocol.ShapeArray, protocol.CauseStopped, false},
		{"task of a job that is over", protocol.ShapeArray, protocol.CauseStopped, true},
		{"done replica", protocol.ShapeService, protocol.CauseDone, false},
		{"replica of a service that is over", protocol.ShapeService, protocol.CauseDone, true},
	} {
		t.Run(c.name, func(t *testing.T) { checkFence(t, c.shape, c.cause, c.over) })
	}
}

// checkFence starts a task by a direct command, lets it exit, and checks how the leader makes its worker forget
// it.
func checkFence(t *testing.T, shape, cause string, over bool) {
	l, mailbox := newLeader()
	content := jobrecord.New(protocol.JobSpec{ID: "job-1", Shape: shape, Priority: "normal", Tasks: 2}, 1)
	content.Placements[0] = jobrecord.Placement{Task: 0, Attempt: 1, Machine: "m-1", Incarnation: 1}
	l.reader.Apply(jobrecord.Key("job-1"), content.Encode(), 5)
	j, m := l.jobs.ByID["job-1"], l.machines.ByName["m-1"]
	workers := &heldCommands{}
	l.commands.Workers, m.Address = workertest.Client(workers), "m-1:1"
	counter := int64(0)
	heartbeat := func(tasks ...protocol.TaskStatus) protocol.Heartbeat {
		counter++
		return workerHeartbeat(1, counter, tasks...)
	}
	respond := func(tasks ...protocol.TaskStatus) (response protocol.HeartbeatResponse) {
		keepLeading(l, mailbox)
		l.Heartbeat(heartbeat(tasks...), func(_ int, body any) {
			response, _ = body.(protocol.HeartbeatResponse)
		})
		return response
	}

	l.reconciler.Observe(m, heartbeat())
	l.commands.Push(m)
	start := workers.last
	if len(start.Commands) != 1 || start.Commands[0].Verb != protocol.VerbStart || start.Epoch != 7 {
		t.Fatalf("direct commands %+v, want a start of epoch 7", start)
	}
	workers.done(200, heartbeat(protocol.TaskStatus{Task: "job-1/0", Attempt: 1, Status: protocol.TaskRunning}))
	exited := protocol.TaskStatus{Task: "job-1/0", Attempt: 1, Status: protocol.TaskExited, Cause: cause}
	respond(exited)
	j.StoredCount = j.ChangeCount
	if over {
		delete(l.jobs.ByID, "job-1")
	}

	mailbox.Now += reconciler.ForgetDelay
	if response := respond(exited); len(response.Commands) > 0 {
		t.Fatalf("commands %+v without a higher token, want none", response.Commands)
	}
	l.state.RecordCommit(20)
	m.CommandInFlight = true
	mailbox.Now += reconciler.ForgetDelay
	if response := respond(exited); len(response.Commands) > 0 || response.Epoch != 7 {
		t.Fatalf("response %+v while a command is on its way, want none of a higher token", response)
	}
	m.CommandInFlight = false
	mailbox.Now += reconciler.ForgetDelay
	response := respond(exited)
	if len(response.Commands) != 1 || response.Commands[0].Verb != protocol.VerbForget || response.Epoch != 20 {
		t.Fatalf("response %+v, want a forget with token 20", response)
	}
	acknowledged := heartbeat()
	acknowledged.Epoch = 20
	l.reconciler.Observe(m, acknowledged)
	if !l.machines.EpochAcknowledged(m) {
		t.Error("the worker's token counts as another leader's, want this leader's")
	}
	l.commands.Probe(m)
	if workers.last.Epoch != 20 {
		t.Errorf("a direct command has the token %d after that, want 20", workers.last.Epoch)
	}
}

// keepLeading renews the leader's lease and its knowledge of the records.
func keepLeading(l *Leader, mailbox *actortest.SynchronousMailbox) {
	l.state.Term.RenewedAt, l.state.RecordsKnownUntil = mailbox.Now, mailbox.Now
	l.state.Term.ValidUntil = mailbox.Now + 4*clock.Second
}
