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

// A leader that no longer hears what users change stops sending commands, though
// its lease is good: cancelled work must not be started again.
func TestStaleRecordsStopCommands(t *testing.T) {
	d, _, _, box := leaderWithOneTask(t)
	if !d.state.Leads() {
		t.Fatal("it doesn't lead")
	}
	box.Now += term.StaleAfter + clock.Second
	d.state.Term.RenewedAt, d.state.Term.ValidUntil = box.Now, box.Now+4*clock.Second
	if d.state.Leads() {
		t.Fatal("it leads with stale records")
	}
	if !d.state.MayRespond() {
		t.Fatal("it lets the workers go too soon")
	}
	box.Now += d.state.Settings.Deployment.Workers.RenewalWindow()
	d.state.Term.RenewedAt = box.Now
	if d.state.MayRespond() {
		t.Fatal("it keeps tasks alive that may be cancelled")
	}
}

// A heartbeat that changes nothing costs next to nothing.
func TestUnchangedHeartbeatCostsLittle(t *testing.T) {
	d, _, r := leaderWithEightTasks()
	n := testing.AllocsPerRun(100, func() {
		r.Counter++
		d.Heartbeat(r, func(int, any) {})
	})
	if n > 4 {
		t.Errorf("%v allocations, want at most 4", n)
	}
}

// Whatever makes commands due is noticed at the next heartbeat, also where that one changes nothing.
func TestDueCommandsAreNoticed(t *testing.T) {
	for name, change := range map[string]func(d *Leader, j *jobtable.Job, r *protocol.Heartbeat){
		"a task is to stop": func(_ *Leader, j *jobtable.Job, _ *protocol.Heartbeat) {
			j.Stops[3] = jobtable.StopRequest{Reason: "room"}
		},
		"the job is cancelled": func(d *Leader, j *jobtable.Job, _ *protocol.Heartbeat) {
			d.jobs.NoteCancelled(j, d.state.Now())
		},
		"a task has gone": func(_ *Leader, _ *jobtable.Job, r *protocol.Heartbeat) {
			r.Tasks = r.Tasks[1:]
		},
		"a placement is released": func(d *Leader, j *jobtable.Job, _ *protocol.Heartbeat) {
			d.jobs.ReleasePlacement(j, j.Placements[5])
		},
		"a task has been added": func(_ *Leader, _ *jobtable.Job, r *protocol.Heartbeat) {
			r.Tasks = append(slices.Clone(r.Tasks), unassignedTask)
		},
		"a gang is incomplete": func(_ *Leader, j *jobtable.Job, _ *protocol.Heartbeat) {
			j.Spec.Shape, j.Spec.Tasks, j.BrokenAttempt = protocol.ShapeGang, 9, 1
		},
	} {
		d, j, r := leaderWithEightTasks()
		change(d, j, &r)
		r.Counter++
		if commands := commandsInResponse(d, r); len(commands) == 0 {
			t.Errorf("%s: no commands, want some", name)
		}
	}
}

// unassignedTask is a running task that no record has.
var unassignedTask = protocol.TaskStatus{Task: "job-2/0", Attempt: 1, Status: protocol.TaskRunning}

// commandsInResponse returns the commands in the response to a heartbeat that is accepted.
func commandsInResponse(d *Leader, r protocol.Heartbeat) (commands []protocol.Command) {
	d.Heartbeat(r, func(_ int, body any) { commands = body.(protocol.HeartbeatResponse).Commands })
	return commands
}

// Exited tasks are forgotten several at a time, with other commands, or after a while: each
// forgotten one makes its worker send another heartbeat.
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
		{"one, after a while", 1, false, reconciler.ForgetDelay, 1},
		{"a batch", reconciler.ForgetBatch, false, 0, reconciler.ForgetBatch},
	} {
		d, j, r := leaderWithEightTasks()
		box := d.state.Mailbox.(*actortest.SynchronousMailbox)
		heartbeat := func() (forgotten int) {
			r.Counter++
			r.Tasks = slices.Clone(r.Tasks)
			for _, c := range commandsInResponse(d, r) {
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
			t.Errorf("%s: %d forgotten before their ends are durable, want none", c.name, n)
		}
		j.StoredCount = j.ChangeCount
		if c.other {
			j.Stops[7] = jobtable.StopRequest{Reason: "room"}
		}
		for waited := clock.Micros(0); waited < c.after; waited += clock.Second {
			if n := heartbeat(); n > 0 {
				t.Errorf("%s: %d forgotten after %v s, want none yet", c.name, n, waited.Seconds())
			}
			box.Now += clock.Second
			d.state.RecordsKnownUntil, d.state.Term.ValidUntil = box.Now, box.Now+clock.Second
		}
		if n := heartbeat(); n != c.forgotten {
			t.Errorf("%s: %d forgotten, want %d", c.name, n, c.forgotten)
		}
	}
}

// An exited task that was forgotten doesn't hide another that has come in its stead.
func TestUnassignedTaskInPlaceOfExitedOneIsStopped(t *testing.T) {
	d, j, r := leaderWithEightTasks()
	heartbeat := func() []protocol.Command {
		r.Counter++
		return commandsInResponse(d, r)
	}
	r.Tasks = slices.Clone(r.Tasks)
	r.Tasks[0].Status, r.Tasks[0].Cause = protocol.TaskExited, protocol.CauseDone
	heartbeat()
	j.StoredCount = j.ChangeCount
	r.Tasks = append(slices.Clone(r.Tasks[1:]), unassignedTask)
	commands := heartbeat()
	if len(commands) != 1 || commands[0].Verb != protocol.VerbStop || commands[0].Task != "job-2/0" {
		t.Errorf("commands %v, want the stop of job-2/0", commands)
	}
}

// commandCounter counts direct commands.
type commandCounter struct{ n int }

func (c *commandCounter) Commands(string, protocol.CommandRequest, clock.Micros,
	func(int, protocol.Heartbeat)) {
	c.n++
}

// While the processor doesn't keep up, starts wait for the responses to heartbeats instead
// of taking a connection each.
func TestStartsWaitForHeartbeatsUnderOverload(t *testing.T) {
	for _, late := range []clock.Micros{0, clock.Second} {
		d, j, m, box := leaderWithOneTask(t)
		out := &commandCounter{}
		d.commands.Workers, m.Address = workertest.Client(out), "m-1:1"
		d.reconciler.Observe(m, workerHeartbeat(1, 1))
		d.steps.TickedAt = box.Now
		box.Now += term.TickInterval + late
		d.state.RecordsKnownUntil, d.state.Term.ValidUntil = box.Now, box.Now+4*clock.Second
		d.state.Term.Epoch = 0 // the tick only looks at the clock
		d.tick()
		d.state.Term.Epoch = 7
		j.Uncommitted = []int{0}
		d.writer.HandleResult(
			[]recordstore.Write{{Job: j, Value: &j.StoredValue, Shard: recordstore.HeadIndex,
				ChangeCount: j.ChangeCount}},
			resultOf(committedAt(9)))
		if direct := out.n > 0; direct != (late == 0) {
			t.Errorf("late by %v: %d direct commands, want some only without delay", late, out.n)
		}
		commands := d.commands.CommandsFor(m, reconciler.ViaHeartbeat)
		if late > 0 && (len(commands) != 1 || commands[0].Verb != protocol.VerbStart) {
			t.Errorf("late by %v: the heartbeat's response has %v, want the start", late, commands)
		}
	}
}
