package simulation

import (
	"fmt"
	"strings"
	"testing"

	"postpoint/internal/clock"
	"postpoint/internal/delegation"
	"postpoint/internal/jobrecord"
	"postpoint/internal/protocol"
	"postpoint/internal/scaling"
	"postpoint/internal/settings"
)

// transfer is a delegation between two cells. The origin cell has no machines, so it delegates all tasks of
// its job to the host cell, which has few. Later the origin cell gets machines for a short job, and the
// pending tasks return to it.
type transfer struct {
	w            *World
	origin, host *Deployment
	job          *Job
	history      *History
}

const originGrowsAt = 45 * clock.Second

func newTransfer(seed uint64, gang bool) *transfer {
	w := NewWorld(seed)
	g := NewGroup(w, []*settings.Settings{testSettings(), testSettings()}, testTypes()[:1], defaultHostedLimits,
		"[[spill]]\nfrom = \"alpha\"\nto = [\"beta\"]\n", 0)
	x := &transfer{w: w, origin: g.Cells[0], host: g.Cells[1]}
	x.history = NewHistory(w, g.Cells...)
	for _, d := range g.Cells {
		d.Cloud.Reliable = true
		clear(d.Cloud.Capacity)
	}
	x.host.Cloud.Capacity[scaling.CapacityPool{Type: "small", Zone: "a"}] = 2
	w.Run(10 * clock.Second)
	spec := arraySpec("job-000001", "open", 20, 4, 25)
	if gang {
		spec.Shape, spec.Tasks, spec.CheckpointS, spec.SaveS = protocol.ShapeGang, 4, 5, 1
	}
	x.job = x.origin.Submit(spec, 25*clock.Second, false)
	x.host.Submit(arraySpec("job-000001", "open", 1, 4, 20), 20*clock.Second, false) // the same id
	w.After(originGrowsAt, func() {
		x.origin.Cloud.Capacity[scaling.CapacityPool{Type: "small", Zone: "b"}] = 4
		x.origin.Submit(arraySpec("job-000002", "open", 8, 4, 3), 3*clock.Second, false)
	})
	return x
}

// steps lists the steps of a delegation in their order, each with a function that reports whether the
// delegation has reached it.
var steps = []struct {
	name    string
	reached func(x *transfer) bool
	gang    bool // set if gangs reach the step, too
}{
	{"placed with the host", func(x *transfer) bool { return x.offloadedTasks() > 0 }, true},
	{"offered", func(x *transfer) bool { return x.inState(delegation.Offered) }, true},
	{"recorded by the host", func(x *transfer) bool { return x.hosted() != nil }, true},
	{"accepted", func(x *transfer) bool { return x.inState(delegation.Accepted) }, true},
	{"running", func(x *transfer) bool { return len(x.job.machines) > 0 }, true},
	{"partly done", func(x *transfer) bool { return len(x.job.completed) > 0 }, false},
	{"completed tasks recorded by the origin", func(x *transfer) bool { return x.done() > 0 }, true},
	{"recalled", func(x *transfer) bool { return x.inState(delegation.Recalled) }, false},
	{"closed", func(x *transfer) bool { return x.hosted() != nil && x.hosted().Hosted.Closed }, false},
	{"final at the host", func(x *transfer) bool { return x.hosted() != nil && x.hosted().Final() }, true},
	{"forgotten by the origin", func(x *transfer) bool { return x.hosted() != nil && !x.delegated() }, true},
	{"forgotten by the host", func(x *transfer) bool {
		return x.done() > 0 && x.hosted() == nil && !x.delegated()
	}, true},
}

// offloadedTasks counts the tasks that the job's record places in the host cell.
func (x *transfer) offloadedTasks() int {
	n := 0
	if j := x.origin.Store.record(x.job.spec.ID); j != nil {
		for _, p := range j.Placements {
			if p.HostCell() != "" {
				n++
			}
		}
	}
	return n
}

func (x *transfer) done() int {
	if j := x.origin.Store.record(x.job.spec.ID); j != nil {
		return j.Done.Len()
	}
	return 0
}

func (x *transfer) records() []delegation.Record {
	var records []delegation.Record
	for key, e := range x.origin.Store.entries {
		if strings.HasPrefix(key, delegation.Prefix) {
			if r, err := delegation.DecodeRecord(key, e.value); err == nil {
				records = append(records, r)
			}
		}
	}
	return records
}

func (x *transfer) delegated() bool { return len(x.records()) > 0 }

func (x *transfer) inState(s delegation.State) bool {
	for _, r := range x.records() {
		if r.State == s {
			return true
		}
	}
	return false
}

func (x *transfer) hosted() *jobrecord.Record {
	for key := range x.host.Store.entries {
		id := protocol.JobID(strings.TrimPrefix(key, jobrecord.Prefix))
		if _, _, _, hosted := jobrecord.ParseHostedJobID(id); hosted {
			return x.host.Store.record(id)
		}
	}
	return nil
}

// runTo runs until the delegation reaches a step, and reports whether it did so in time.
func (x *transfer) runTo(reached func(x *transfer) bool) bool {
	return runUntil(x.w, 200*clock.Second, 5*clock.Millisecond, func() bool { return reached(x) })
}

// finish runs to the end and checks that the job ended properly and that no record of the delegation is left.
func (x *transfer) finish(t *testing.T, step string) {
	t.Helper()
	x.w.Run(x.w.Now() + 300*clock.Second)
	wrong := x.w.Violations
	if x.job.finalStatus == protocol.StatusDone {
		wrong = append(wrong, x.history.Check([]*Job{x.job})...)
	}
	if x.job.finalStatus == "" {
		wrong = append(wrong, fmt.Sprintf("%d of %d tasks are done", x.done(), x.job.spec.Tasks))
	}
	for _, d := range []*Deployment{x.origin, x.host} {
		if remaining := d.Store.delegations(); len(remaining) > 0 {
			wrong = append(wrong, fmt.Sprintf("%s still has %v", d.name, remaining))
		}
	}
	if len(wrong) > 0 {
		t.Errorf("%s: want the job ended once and no delegation left: %v", step, wrong)
	}
}
