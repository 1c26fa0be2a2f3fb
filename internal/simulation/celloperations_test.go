package simulation

import (
	"slices"
	"strings"
	"testing"

	"postpoint/internal/clock"
	"postpoint/internal/delegation"
	"postpoint/internal/jobrecord"
	"postpoint/internal/protocol"
	"postpoint/internal/settings"
)

// The host cell fails permanently while it runs tasks. The origin cell must run the tasks itself as soon as
// no task can still run in the host cell.
func TestTasksReturnFromALostHostCell(t *testing.T) {
	t.Parallel()
	x := newTransfer(4400, false)
	if !x.runTo(steps[5].reached) {
		t.Fatal("no task was completed by the host cell")
	}
	lostAt := x.w.Now()
	for _, n := range x.host.Nodes {
		n.Crash()
	}
	x.host.PartitionCell(false)
	for _, m := range x.host.Workers() {
		m.Fail()
	}
	for x.offloadedTasks() > 0 && x.w.Now() < lostAt+100*clock.Second {
		x.w.Run(x.w.Now() + 100*clock.Millisecond)
	}
	if took := x.w.Now() - lostAt; took > 32*clock.Second {
		t.Errorf("the tasks are the origin's again after %.1f s, want 32 s at most", took.Seconds())
	}
	x.w.Run(x.w.Now() + 300*clock.Second)
	mustCompleteOnce(t, x.w, x.history, []*Job{x.job})
	if x.delegated() {
		t.Error("the delegation is left, want it removed")
	}
}

// Controllers get the cells file one after another, and lose it again during a delegation. The origin cell
// must delegate no task before all its controllers have the file, and all tasks must return to it.
func TestCellsAreSwitchedOnAndOffDuringADelegation(t *testing.T) {
	t.Parallel()
	x := newTransfer(4500, false)
	behind := x.origin.Nodes[2]
	behind.WithoutCells = true
	behind.Crash()
	// Delete the published formats, as if that controller had never had the file.
	for key := range x.origin.Store.entries {
		if strings.HasPrefix(key, "rollout/") {
			delete(x.origin.Store.entries, key)
		}
	}
	x.origin.crashAll(100 * clock.Millisecond)
	x.w.Run(50 * clock.Second)
	if x.offloadedTasks() > 0 {
		t.Fatal("tasks are delegated while a controller can't read such records, want none")
	}
	behind.WithoutCells = false
	behind.Crash()
	x.origin.StartNode(behind)
	if !x.runTo(steps[4].reached) {
		t.Fatal("no task runs in the host cell once all controllers have the file")
	}
	for _, n := range x.origin.Nodes {
		n.WithoutCells = true
	}
	x.origin.crashAll(100 * clock.Millisecond)
	x.w.Run(x.w.Now() + 300*clock.Second)
	mustCompleteOnce(t, x.w, x.history, []*Job{x.job})
	if x.delegated() || x.hosted() == nil || !x.hosted().Final() {
		t.Error("the origin still has a delegation, want none; or the host has no final record, want one")
	}
	for _, n := range x.host.Nodes {
		n.WithoutCells = true
	}
	x.host.crashAll(100 * clock.Millisecond)
	x.w.Run(x.w.Now() + 60*clock.Second)
	if x.hosted() != nil {
		t.Error("the host keeps the final record without a cells file, want it removed")
	}
}

// Another cell is dead, partitioned or floods a cell with heartbeats. The cell must start its own jobs about
// as soon as without another cell. How long a machine boots differs from world to world, so the test compares
// the averages over several of them.
func TestOtherCellsDontDelayOwnJobs(t *testing.T) {
	t.Parallel()
	const worlds = 8
	starts := map[string]clock.Micros{}
	for seed := range uint64(worlds) {
		for name, delay := range startsWithNeighbours(t, 4600+seed) {
			starts[name] += delay / worlds
		}
	}
	for name, mean := range starts {
		if mean > starts[withoutNeighbour]*11/10+4*clock.Second {
			t.Errorf("%s: jobs waited %.1f s in total, want at most a tenth and 4 s more than alone (%.1f s)",
				name, mean.Seconds(), starts[withoutNeighbour].Seconds())
		}
	}
}

// withoutNeighbour names the case without another cell.
const withoutNeighbour = "alone"

// startsWithNeighbours returns for how long the jobs of a cell waited in total, by the state of another cell.
func startsWithNeighbours(t *testing.T, seed uint64) map[string]clock.Micros {
	t.Helper()
	starts := map[string]clock.Micros{}
	for name, neighbour := range map[string]func(w *World, g *Group){
		withoutNeighbour: func(_ *World, g *Group) {
			for _, n := range g.Cells[0].Nodes {
				n.WithoutCells = true
				n.Crash()
			}
			g.Cells[0].startNodes()
		},
		"dead": func(_ *World, g *Group) {
			for _, n := range g.Cells[1].Nodes {
				n.Crash()
			}
		},
		"silent": func(_ *World, g *Group) { g.Cells[1].PartitionCell(true) },
		// The neighbour sends as many messages as the listener accepts, all of them valid.
		"flooding": func(w *World, g *Group) {
			w.Every(50*clock.Millisecond, func() {
				for _, n := range g.Cells[0].Nodes {
					r := delegation.Heartbeat{Host: "beta", Origin: "alpha", Epoch: 1 << 40,
						Sequence: int64(w.Now()), MaxTerminationTime: 20 * clock.Second}
					for i := range delegation.MaxStatuses {
						r.Statuses = append(r.Statuses,
							delegation.Status{Number: int64(i), Job: "job-000001", Closed: true})
					}
					n.process.run(func() {
						n.Leader.Exchange(r,
							func(delegation.HeartbeatResponse, bool) {})
					})
				}
			})
		},
	} {
		w := NewWorld(seed)
		w.MessageCost = 100
		g := NewGroup(w, []*settings.Settings{testSettings(), testSettings()}, testTypes(), defaultHostedLimits,
			"[[spill]]\nfrom = \"alpha\"\nto = [\"beta\"]\n[[spill]]\nfrom = \"beta\"\nto = [\"alpha\"]\n", 0)
		neighbour(w, g)
		w.Run(20 * clock.Second)
		jobs := flood(g.Cells[0], 4)
		w.Run(300 * clock.Second)
		mustKeepRules(t, w)
		for _, j := range jobs {
			if j.finalStatus != protocol.StatusDone {
				t.Errorf("%s: %s has status %q, want %q", name, j.spec.ID, j.finalStatus, protocol.StatusDone)
			}
			starts[name] += j.startedAt - j.submittedAt
		}
	}
	return starts
}

// Operators drain a cell while it hosts another cell's tasks. All tasks must return to the origin cell after
// a graceful stop, and the origin cell must offer no more tasks to the drained cell.
func TestDrainedCellReturnsHostedJobs(t *testing.T) {
	t.Parallel()
	x := newTransfer(4700, true)
	if !x.runTo(steps[4].reached) {
		t.Fatal("no task runs in the host cell")
	}
	x.w.Run(x.w.Now() + 3*clock.Second)
	group := x.origin.group
	group.File = strings.Replace(group.File, "name = \"beta\"", "name = \"beta\"\ndrain = true", 1)
	for _, d := range []*Deployment{x.host, x.origin} {
		for i, n := range d.Nodes {
			x.w.After(clock.Micros(i)*5*clock.Second, func() { d.crashFor(n, clock.Second) })
		}
	}
	x.w.Run(x.w.Now() + 60*clock.Second)
	if x.offloadedTasks() > 0 || x.delegated() || x.hosted() != nil {
		t.Errorf("a minute later %d tasks are in the host cell, delegated %v, hosted job %v, want none of these",
			x.offloadedTasks(), x.delegated(), x.hosted())
	}
	x.finish(t, "drained")
	if outside, _ := x.history.RunsOutsideOrigin(); outside != x.job.spec.Tasks {
		t.Errorf("%d runs in the host cell, want %d", outside, x.job.spec.Tasks)
	}
}

// Without a cells file controllers store nothing about cells: the keys and the format that they publish are
// those of the previous version.
func TestStoreIsUnchangedWithoutCellsFile(t *testing.T) {
	t.Parallel()
	puts := 0
	prefixes := []string{jobrecord.Prefix, jobrecord.ShardsPrefix, "rollout/", "lead/controller", "catalogue"}
	d := simulateDay(7, func(d *Deployment) {
		check := d.Store.CheckPut
		d.Store.CheckPut = func(key string, value []byte) {
			puts++
			check(key, value)
			known := slices.ContainsFunc(prefixes,
				func(prefix string) bool { return strings.HasPrefix(key, prefix) })
			if !known || strings.Contains(string(value), "cell ") ||
				strings.Contains(string(value), "guest ") {
				d.World.ReportViolation("cells", "%s: %q", key, value)
			}
			var published struct {
				Format int `msgpack:"format"`
			}
			if !strings.HasPrefix(key, "rollout/") {
				return
			}
			if protocol.Decode(value, &published) != nil || published.Format != 2 {
				d.World.ReportViolation("cells", "format %d is published", published.Format)
			}
		}
	})
	mustKeepRules(t, d.World)
	if puts < 100 {
		t.Errorf("%d values were stored, want at least 100", puts)
	}
}
