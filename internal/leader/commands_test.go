package leader

import (
	"slices"
	"testing"

	"postpoint/internal/actor/actortest"
	"postpoint/internal/clock"
	"postpoint/internal/leader/jobtable"
	"postpoint/internal/leader/reconciler"
	"postpoint/internal/leader/recordstore"
	"postpoint/internal/leader/term"
	"postpoint/internal/protocol"
	"postpoint/internal/workerclient/workertest"
)

// A leader that no longer receives the changes of users stops sending commands although its lease is
// valid: it could start tasks of a cancelled job. It still responds to heartbeats within the renewal
// window; after that, a response could keep a cancelled task running for too long.
func TestStaleRecordsStopCommands(t *testing.T) {
	l, _, _, mailbox := leaderWithOneTask(t)
	if !l.state.Leads() {
		t.Fatal("the leader doesn't lead with current records")
	}
	mailbox.Now += term.StaleAfter + clock.Second
	l.state.Term.RenewedAt, l.state.Term.ValidUntil = mailbox.Now, mailbox.Now+4*clock.Second
	if l.state.Leads() {
		t.Fatal("the leader leads with stale records")
	}
	if !l.state.MayRespond() {
		t.Fatal("the leader doesn't respond within the renewal window")
	}
	mailbox.Now += l.state.Settings.Deployment.Workers.RenewalWindow()
	l.state.Term.RenewedAt = mailbox.Now
	if l.state.MayRespond() {
		t.Fatal("the leader responds after the renewal window, when tasks may be cancelled")
	}
}

// Most heartbeats change nothing, so the leader must handle them with few allocations. A full
// reconciliation of each would take a large share of its processor time.
func TestUnchangedHeartbeatCostsLittle(t *testing.T) {
	l, _, r := leaderWithEightTasks()
	n := testing.AllocsPerRun(100, func() {
		r.Counter++
		l.Heartbeat(r, func(int, any) {})
	})
	if n > 4 {
		t.Errorf("got %v allocations, want at most 4", n)
	}
}

// Whatever makes a command due, the leader sends it in the response to the next heartbeat, even if that
// heartbeat changes nothing. The shortcut for unchanged heartbeats would otherwise hide the command.
func TestDueCommandsAreNoticed(t *testing.T) {
	for name, change := range map[string]func(l *Leader, j *jobtable.Job, r *protocol.Heartbeat){
		"a task must stop": func(_ *Leader, j *jobtable.Job, _ *protocol.Heartbeat) {
			j.Stops[3] = jobtable.StopRequest{Reason: "preempted"}
		},
		"the job is cancelled": func(l *Leader, j *jobtable.Job, _ *protocol.Heartbeat) {
			l.jobs.MarkCancelled(j, l.state.Now())
		},
		"the heartbeat lacks a task": func(_ *Leader, _ *jobtable.Job, r *protocol.Heartbeat) {
			r.Tasks = r.Tasks[1:]
		},
		"a placement is released": func(l *Leader, j *jobtable.Job, _ *protocol.Heartbeat) {
			l.jobs.ReleasePlacement(j, j.Placements[5])
		},
		"the heartbeat has an unassigned task": func(_ *Leader, _ *jobtable.Job, r *protocol.Heartbeat) {
			r.Tasks = append(slices.Clone(r.Tasks), unassignedTask)
		},
		"a gang is incomplete": func(_ *Leader, j *jobtable.Job, _ *protocol.Heartbeat) {
			j.Spec.Shape, j.Spec.Tasks, j.BrokenAttempt = protocol.ShapeGang, 9, 1
		},
	} {
		l, j, r := leaderWithEightTasks()
		change(l, j, &r)
		r.Counter++
		if commands := commandsInResponse(l, r); len(commands) == 0 {
			t.Errorf("%s: got no commands, want some", name)
		}
	}
}

// unassignedTask is a running task that is in no record.
var unassignedTask = protocol.TaskStatus{Task: "job-2/0", Attempt: 1, Status: protocol.TaskRunning}

// commandsInResponse returns the commands in the response to a heartbeat that the leader accepts.
func commandsInResponse(l *Leader, r protocol.Heartbeat) (commands []protocol.Command) {
	l.Heartbeat(r, func(_ int, body any) { commands = body.(protocol.HeartbeatResponse).Commands })
	return commands
}

// Each command to forget an exited task makes the worker send another heartbeat. To save heartbeats, the
// leader sends these commands several at a time, with other commands, or after a delay, and only once
// the exits are stored.
func TestExitedTasksAreForgottenTogether(t *testing.T) {
	for _, c := range []struct {
		name      string
		exited    int
		other     bool // another command is due
		after     clock.Micros
		forgotten int
	}{
		{"one", 1, false, 0, 0},
		{"one, with another command", 1, true, 0, 1},
		{"one, after the delay", 1, false, reconciler.ForgetDelay, 1},
		{"a batch", reconciler.ForgetBatch, false, 0, reconciler.ForgetBatch},
	} {
		l, j, r := leaderWithEightTasks()
		mailbox := l.state.Mailbox.(*actortest.SynchronousMailbox)
		heartbeat := func() (forgotten int) {
			r.Counter++
			r.Tasks = slices.Clone(r.Tasks)
			for _, c := range commandsInResponse(l, r) {
				if c.Verb == protocol.VerbForget {
					forgotten++
				}
			}
			return forgotten
		}
		for i := range c.exited {
			r.Tasks[i].Status, r.Tasks[i].Cause = protocol.TaskExited, protocol.CauseDone
		}
		if n := heartbeat(); n > 0 {
			t.Errorf("%s: got %d tasks forgotten before their exits are stored, want none", c.name, n)
		}
		j.StoredCount = j.ChangeCount
		if c.other {
			j.Stops[7] = jobtable.StopRequest{Reason: "preempted"}
		}
		for waited := clock.Micros(0); waited < c.after; waited += clock.Second {
			if n := heartbeat(); n > 0 {
				t.Errorf("%s: got %d tasks forgotten after %v s, want none yet", c.name, n, waited.Seconds())
			}
			mailbox.Now += clock.Second
			l.state.RecordsKnownUntil, l.state.Term.ValidUntil = mailbox.Now, mailbox.Now+clock.Second
		}
		if n := heartbeat(); n != c.forgotten {
			t.Errorf("%s: got %d tasks forgotten, want %d", c.name, n, c.forgotten)
		}
	}
}

// A worker may report an unassigned task in the same heartbeat in which an exited task, which it has
// forgotten, is missing. The number of tasks is then the same as before, and a leader that relied on the
// number would not stop the unassigned task.
func TestUnassignedTaskInPlaceOfExitedOneIsStopped(t *testing.T) {
	l, j, r := leaderWithEightTasks()
	heartbeat := func() []protocol.Command {
		r.Counter++
		return commandsInResponse(l, r)
	}
	r.Tasks = slices.Clone(r.Tasks)
	r.Tasks[0].Status, r.Tasks[0].Cause = protocol.TaskExited, protocol.CauseDone
	heartbeat()
	j.StoredCount = j.ChangeCount
	r.Tasks = append(slices.Clone(r.Tasks[1:]), unassignedTask)
	commands := heartbeat()
	if len(commands) != 1 || commands[0].Verb != protocol.VerbStop || commands[0].Task != "job-2/0" {
		t.Errorf("got commands %v, want a stop of job-2/0", commands)
	}
}

// commandCounter counts the requests that send commands to a worker directly.
type commandCounter struct{ n int }

func (c *commandCounter) Commands(string, protocol.CommandRequest, clock.Micros,
	func(int, protocol.Heartbeat)) {
	c.n++
}

// A late tick shows that the leader's processor is overloaded. The leader then sends start commands in
// the responses to heartbeats: a connection for each of them would add to the load.
func TestStartsWaitForHeartbeatsUnderOverload(t *testing.T) {
	for _, late := range []clock.Micros{0, clock.Second} {
		l, j, m, mailbox := leaderWithOneTask(t)
		out := &commandCounter{}
		l.commands.Workers, m.Address = workertest.Client(out), "m-1:1"
		l.reconciler.Observe(m, workerHeartbeat(1, 1))
		l.steps.TickedAt = mailbox.Now
		mailbox.Now += term.TickInterval + late
		l.state.RecordsKnownUntil, l.state.Term.ValidUntil = mailbox.Now, mailbox.Now+4*clock.Second
		l.state.Term.Epoch = 0 // without an epoch, the tick only measures its delay
		l.tick()
		l.state.Term.Epoch = 7
		j.Uncommitted = []int{0}
		l.writer.HandleResult(
			[]recordstore.Write{{Job: j, Value: &j.StoredValue, Shard: recordstore.HeadIndex,
				ChangeCount: j.ChangeCount}},
			resultOf(committedAt(9)))
		if direct := out.n > 0; direct != (late == 0) {
			t.Errorf("late by %v: got %d direct commands, want some only without delay", late, out.n)
		}
		commands := l.commands.CommandsFor(m, reconciler.ViaHeartbeat)
		if late > 0 && (len(commands) != 1 || commands[0].Verb != protocol.VerbStart) {
			t.Errorf("late by %v: got commands %v in the response to the heartbeat, want one start", late, commands)
		}
	}
}
