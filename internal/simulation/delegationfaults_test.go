package simulation

import (
	"fmt"
	"testing"

	"postpoint/internal/clock"
)

// faults maps the names of the faults that the test injects at every step of a delegation to their functions.
var faults = map[string]func(x *transfer, duration clock.Micros){
	"origin's leader crashes": func(x *transfer, duration clock.Micros) { x.origin.crashLeader(duration) },
	"host's leader crashes":   func(x *transfer, duration clock.Micros) { x.host.crashLeader(duration) },
	"both leaders crash": func(x *transfer, duration clock.Micros) {
		x.origin.crashLeader(duration)
		x.host.crashLeader(duration)
	},
	"origin restarts": func(x *transfer, duration clock.Micros) { x.origin.crashAll(duration) },
	"both cells restart": func(x *transfer, duration clock.Micros) {
		x.origin.crashAll(duration)
		x.host.crashAll(duration)
	},
	"outage of the origin's key-value store": func(x *transfer, duration clock.Micros) {
		x.origin.Store.SetOutage(true)
		x.w.After(duration, func() { x.origin.Store.SetOutage(false) })
	},
	"outage of the host's key-value store": func(x *transfer, duration clock.Micros) {
		x.host.Store.SetOutage(true)
		x.w.After(duration, func() { x.host.Store.SetOutage(false) })
	},
	"cells are partitioned": func(x *transfer, duration clock.Micros) {
		x.w.After(duration, x.host.PartitionCell(true))
	},
	"host's responses are lost": func(x *transfer, duration clock.Micros) {
		for _, n := range x.host.Nodes {
			n.CellResponsesLost = true
			x.w.After(duration, func() { n.CellResponsesLost = false })
		}
	},
	"host's leader is paused": func(x *transfer, duration clock.Micros) {
		if n := x.host.Leader(); n != nil {
			n.process.Pause(duration)
		}
	},
	"origin's leader is paused": func(x *transfer, duration clock.Micros) {
		if n := x.origin.Leader(); n != nil {
			n.process.Pause(duration)
		}
	},
	"the job is cancelled": func(x *transfer, _ clock.Micros) { x.origin.Cancel(x.job) },
	"partitioned and cancelled": func(x *transfer, duration clock.Micros) {
		x.w.After(duration, x.host.PartitionCell(false))
		x.origin.Cancel(x.job)
	},
}

// Each fault occurs at each step of a delegation, for a short and for a long time. No task may run twice,
// cancelled tasks must end in time, the whole job must complete, and no record of the delegation may be left.
func TestFaultAtEveryStepOfADelegation(t *testing.T) {
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for i, step := range steps {
				for k, duration := range []clock.Micros{3 * clock.Second, 40 * clock.Second} {
					x := newTransfer(uint64(4000+2*i+k), step.gang && i%2 == k)
					if !x.runTo(step.reached) {
						t.Errorf("the step %q wasn't reached within 200 s", step.name)
						continue
					}
					fault(x, duration)
					x.finish(t, fmt.Sprintf("%s, %.0f s", step.name, duration.Seconds()))
				}
			}
		})
	}
}

// The leader of the origin or of the host cell crashes after any one of the requests that it sends during a
// delegation. No task may run twice, the job must end, and no record of the delegation may be left.
func TestLeaderCrashAfterAnyRequestOfADelegation(t *testing.T) {
	for i, name := range []string{"origin", "host"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for k := 1; k <= 60; k++ {
				x := newTransfer(uint64(4200+k), k%3 == 0)
				x.runTo(steps[0].reached)
				d := []*Deployment{x.origin, x.host}[i]
				n := d.Leader()
				n.process.CrashAfter = k
				x.w.After(60*clock.Second, func() { d.StartNode(n) })
				x.finish(t, fmt.Sprintf("request %d", k))
			}
		})
	}
}

// A user cancels a job that the host cell's workers run. At that moment, or shortly before, the cells are
// partitioned, and another component that could stop the tasks fails too. The tasks must end in time
// nevertheless.
func TestCancelledTasksEndInHostCells(t *testing.T) {
	t.Parallel()
	for name, fault := range map[string]func(x *transfer){
		"no other fault":  func(*transfer) {},
		"store outage":    func(x *transfer) { x.host.Store.SetOutage(true) },
		"leader crashes":  func(x *transfer) { x.host.crashLeader(5 * clock.Second) },
		"leader paused":   func(x *transfer) { x.host.Leader().process.Pause(35 * clock.Second) },
		"all controllers": func(x *transfer) { x.host.crashAll(200 * clock.Second) },
		"machines hang":   func(x *transfer) { x.hangWorkers() },
		"hang, leader crashes": func(x *transfer) {
			x.hangWorkers()
			x.host.crashLeader(5 * clock.Second)
		},
		"commands are held":       func(x *transfer) { x.holdCommands() },
		"origin's leader crashes": func(x *transfer) { x.origin.crashLeader(5 * clock.Second) },
		"origin's store outage": func(x *transfer) {
			x.w.After(clock.Second, func() { x.origin.Store.SetOutage(true) })
			x.w.After(80*clock.Second, func() { x.origin.Store.SetOutage(false) })
		},
	} {
		for delay := range clock.Micros(4) {
			x := newTransfer(uint64(4300+delay), false)
			x.host.MonitorDisturbances()
			if !x.runTo(steps[4].reached) {
				t.Fatal("no task runs in the host cell")
			}
			x.w.Run(x.w.Now() + 2*clock.Second)
			heal := x.host.PartitionCell(false)
			fault(x)
			x.w.Run(x.w.Now() + delay*700*clock.Millisecond)
			confirmCancel(x.w, x.origin, x.job)
			x.w.Run(x.w.Now() + 31*clock.Second)
			for _, m := range x.host.Cloud.all {
				for _, task := range m.tasks {
					if task.onMachine && !m.Hung && x.host.findJob(task.job) == x.job {
						t.Errorf("%s: %s still runs %s, want it ended", name, m.name, task.job)
					}
				}
			}
			x.host.Store.SetOutage(false)
			heal()
			mustKeepRules(t, x.w)
		}
	}
}

// hangWorkers makes the workers that run the job's tasks hang.
func (x *transfer) hangWorkers() {
	for _, workers := range x.job.machines {
		for m := range workers {
			m.Hung = true
		}
	}
}

// holdCommands delays direct commands to the host's workers for a while.
func (x *transfer) holdCommands() {
	for _, m := range x.host.Workers() {
		m.Commands.Cut, m.Commands.Hold = true, true
		x.w.After(20*clock.Second, m.Commands.Heal)
	}
}
