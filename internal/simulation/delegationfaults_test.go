package simulation

import (
	"fmt"
	"testing"

	"postpoint/internal/clock"
)

// faults are injected at every step of a delegation.
var faults = map[string]func(x *transfer, long clock.Micros){
	"origin's leader ends": func(x *transfer, long clock.Micros) { x.origin.crashLeader(long) },
	"host's leader ends":   func(x *transfer, long clock.Micros) { x.host.crashLeader(long) },
	"both leaders end": func(x *transfer, long clock.Micros) {
		x.origin.crashLeader(long)
		x.host.crashLeader(long)
	},
	"origin restarts": func(x *transfer, long clock.Micros) { x.origin.crashAll(long) },
	"both cells restart": func(x *transfer, long clock.Micros) {
		x.origin.crashAll(long)
		x.host.crashAll(long)
	},
	"origin's key-value store is out": func(x *transfer, long clock.Micros) {
		x.origin.Store.Outage(true)
		x.w.After(long, func() { x.origin.Store.Outage(false) })
	},
	"host's key-value store is out": func(x *transfer, long clock.Micros) {
		x.host.Store.Outage(true)
		x.w.After(long, func() { x.host.Store.Outage(false) })
	},
	"cells are cut": func(x *transfer, long clock.Micros) { x.w.After(long, x.host.CutOff(true)) },
	"host isn't answered": func(x *transfer, long clock.Micros) {
		for _, n := range x.host.Nodes {
			n.Unanswered = true
			x.w.After(long, func() { n.Unanswered = false })
		}
	},
	"host's leader stands still": func(x *transfer, long clock.Micros) {
		if n := x.host.Leader(); n != nil {
			n.process.Pause(long)
		}
	},
	"origin's leader stands still": func(x *transfer, long clock.Micros) {
		if n := x.origin.Leader(); n != nil {
			n.process.Pause(long)
		}
	},
	"the job is cancelled": func(x *transfer, _ clock.Micros) { x.origin.Cancel(x.job) },
	"cut and cancelled": func(x *transfer, long clock.Micros) {
		x.w.After(long, x.host.CutOff(false))
		x.origin.Cancel(x.job)
	},
}

// Every fault at every step of a delegation, short and long: no task runs twice, cancelled tasks end
// in time, the whole job gets done, and nothing of the delegation is left.
func TestFaultAtEveryStepOfADelegation(t *testing.T) {
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for i, step := range steps {
				for k, long := range []clock.Micros{3 * clock.Second, 40 * clock.Second} {
					x := newTransfer(uint64(4000+2*i+k), step.gang && i%2 == k)
					if !x.runTo(step.reached) {
						t.Errorf("the step %q wasn't reached within 200 s", step.name)
						continue
					}
					fault(x, long)
					x.finish(t, fmt.Sprintf("%s, %.0f s", step.name, long.Seconds()))
				}
			}
		})
	}
}

// A leader crashes after any one request that it sends during a delegation.
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

// The host cell's workers run a job that is cancelled, and whatever could stop it there fails at that
// moment, or a moment before: it ends in time nevertheless.
func TestCancelledTasksEndInHostCells(t *testing.T) {
	t.Parallel()
	for name, fault := range map[string]func(x *transfer){
		"nothing more":    func(*transfer) {},
		"state outage":    func(x *transfer) { x.host.Store.Outage(true) },
		"leader ends":     func(x *transfer) { x.host.crashLeader(5 * clock.Second) },
		"leader stands":   func(x *transfer) { x.host.Leader().process.Pause(35 * clock.Second) },
		"all controllers": func(x *transfer) { x.host.crashAll(200 * clock.Second) },
		"machines hang":   func(x *transfer) { x.hang() },
		"hang, leader ends": func(x *transfer) {
			x.hang()
			x.host.crashLeader(5 * clock.Second)
		},
		"commands don't go":    func(x *transfer) { x.hold() },
		"origin's leader ends": func(x *transfer) { x.origin.crashLeader(5 * clock.Second) },
		"origin's state": func(x *transfer) {
			x.w.After(clock.Second, func() { x.origin.Store.Outage(true) })
			x.w.After(80*clock.Second, func() { x.origin.Store.Outage(false) })
		},
	} {
		for delay := range clock.Micros(4) {
			x := newTransfer(uint64(4300+delay), false)
			x.host.WatchService()
			if !x.runTo(steps[4].reached) {
				t.Fatal("no task runs in the host cell")
			}
			x.w.Run(x.w.Now() + 2*clock.Second)
			heal := x.host.CutOff(false)
			fault(x)
			x.w.Run(x.w.Now() + delay*700*clock.Millisecond)
			confirmCancel(x.w, x.origin, x.job)
			x.w.Run(x.w.Now() + 31*clock.Second)
			for _, m := range x.host.Cloud.all {
				for _, task := range m.tasks {
					if task.resident && !m.Hung && x.host.find(task.job) == x.job {
						t.Errorf("%s: %s still runs %s, want it ended", name, m.name, task.job)
					}
				}
			}
			x.host.Store.Outage(false)
			heal()
			mustKeepRules(t, x.w)
		}
	}
}

// hang freezes the workers that run the job's tasks.
func (x *transfer) hang() {
	for _, places := range x.job.machines {
		for m := range places {
			m.Hung = true
		}
	}
}

// hold delays direct commands to the host's workers for a while.
func (x *transfer) hold() {
	for _, m := range x.host.Workers() {
		m.Commands.Cut, m.Commands.Hold = true, true
		x.w.After(20*clock.Second, m.Commands.Heal)
	}
}
