package simulation

import (
	"testing"

	"postpoint/internal/clock"
	"postpoint/internal/protocol"
	"postpoint/internal/scaling"
)

// lateCopies delivers a late copy of each direct command with starts that a machine has executed.
func (m *FakeWorker) lateCopies() (starts int) {
	m.KeepCommands = false
	for _, c := range m.executed {
		if n := startsIn(c); n > 0 {
			starts += n
			m.command(c)
		}
	}
	return starts
}

// startsIn counts the starts in a direct command.
func startsIn(c protocol.CommandRequest) int {
	starts := 0
	for _, command := range c.Commands {
		if command.Verb == protocol.VerbStart {
			starts++
		}
	}
	return starts
}

// lateCopyCase brings a task into a state in which it must not start on its machine again.
type lateCopyCase struct {
	name  string
	tasks int
	run   func(t *testing.T, w *World, d *Deployment, j *Job, m *FakeWorker)
}

// forgotten reports whether the machine remembers no task of the job.
func (m *FakeWorker) forgot(j *Job) bool {
	for _, t := range m.tasks {
		if t.job == j.spec.ID && t.status == protocol.TaskExited {
			return false
		}
	}
	return true
}

// lateCopyCases are the states of tasks whose starts may come again: completed and then cancelled, cancelled
// while they ran, and moved to another machine.
var lateCopyCases = []lateCopyCase{
	{"completed, then cancelled", 8, func(t *testing.T, w *World, d *Deployment, j *Job, m *FakeWorker) {
		t.Helper()
		oneDone := func() bool { return len(j.completed) > 0 && m.forgot(j) }
		if !runUntil(w, w.Now()+200*clock.Second, clock.Second, oneDone) || j.Done() {
			t.Fatalf("%d tasks are done, want some", len(j.completed))
		}
		confirmCancel(w, d, j)
		w.Run(w.Now() + clock.FromSeconds(d.Settings.Deployment.Workers.CancelS) + clock.Second)
	}},
	{"cancelled", 8, func(_ *testing.T, w *World, d *Deployment, j *Job, _ *FakeWorker) {
		confirmCancel(w, d, j)
		w.Run(w.Now() + clock.FromSeconds(d.Settings.Deployment.Workers.CancelS) + clock.Second)
	}},
	{"moved", 8, moveAll},
	{"many moved", 450, moveAll},
}

// moveAll makes all tasks fail on the machine, so that they move to others.
func moveAll(t *testing.T, w *World, _ *Deployment, j *Job, m *FakeWorker) {
	t.Helper()
	for _, failing := range m.tasks {
		if failing.job == j.spec.ID {
			m.exit(failing, protocol.CauseError)
		}
	}
	moved := func() bool {
		for task := range j.spec.Tasks {
			if len(j.machines[task]) == 0 {
				return false
			}
		}
		return true
	}
	if !runUntil(w, w.Now()+100*clock.Second, clock.Second, moved) {
		t.Fatal("not all tasks run elsewhere")
	}
	w.Run(w.Now() + 10*clock.Second) // what may be forgotten is
}

// A late copy of a start command that a machine executed and answered reaches the machine once more, after the
// task was completed, cancelled or moved. It must start nothing, also if the controller or the machine has
// been away for a moment meanwhile.
func TestLateCopiesOfExecutedStartsStartNothing(t *testing.T) {
	for _, c := range lateCopyCases {
		for name, disturb := range map[string]func(d *Deployment, m *FakeWorker){
			"nothing": func(*Deployment, *FakeWorker) {},
			"the controller returns within a second": func(d *Deployment, _ *FakeWorker) {
				d.crashLeader(300 * clock.Millisecond)
			},
			"the machine returns within a second": func(_ *Deployment, m *FakeWorker) { m.RestartCounters(true) },
		} {
			t.Run(c.name+", "+name, func(t *testing.T) {
				w, d, j, m := oneMachine(t, c.tasks)
				c.run(t, w, d, j, m)
				disturb(d, m)
				w.Run(w.Now() + 600*clock.Millisecond)
				if starts := m.lateCopies(); m.ended || starts < c.tasks {
					t.Fatalf("%d starts were direct commands, want %d; machine gone: %v", starts, c.tasks, m.ended)
				}
				w.Run(w.Now() + 20*clock.Second)
				mustKeepRules(t, w)
			})
		}
	}
}

// oneMachine starts a deployment that runs all tasks of an array on one machine, which keeps the commands. A
// long task of another job keeps the machine in use. The cloud has one more machine.
func oneMachine(t *testing.T, tasks int) (*World, *Deployment, *Job, *FakeWorker) {
	t.Helper()
	w := NewWorld(46)
	config := testSettings()
	config.Deployment.KVStore.ValueKb = 32
	d := NewDeployment(w, config, testTypes(), 0)
	d.Cloud.Reliable = true
	d.Cloud.Capacity = map[scaling.CapacityPool]int{{Type: "small", Zone: "a"}: 1}
	other := d.Submit(arraySpec("job-000002", "open", 1, 1, 600), 1000*clock.Second, false)
	spec := arraySpec("job-000001", "open", tasks, 4/float64(tasks), 60)
	spec.MemoryGB = 0.01
	j := d.Submit(spec, 60*clock.Second, false)
	j.fetchTime = clock.Second
	var m *FakeWorker
	running := func() bool {
		if m == nil && len(d.Workers()) > 0 {
			m = d.Workers()[0]
			m.KeepCommands = true
			m.CacheImage(spec.Image) // a late start is on the machine at once
		}
		return len(j.machines) == tasks && m.runs(other)
	}
	if !runUntil(w, 100*clock.Second, 100*clock.Millisecond, running) {
		t.Fatal("not all tasks run")
	}
	d.Cloud.Capacity[scaling.CapacityPool{Type: "small", Zone: "a"}] = 1
	return w, d, j, m
}
