package testkit

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"postpoint/internal/clock"
	"postpoint/internal/delegation"
	"postpoint/internal/fleet"
	"postpoint/internal/ledger"
	"postpoint/internal/protocol"
	"postpoint/internal/settings"
)

// transfer is two cells, the first of which has no machines: all of its job's tasks go to the
// second, which has few. Some time later the first gets machines, for a short job, and what
// waits comes back.
type transfer struct {
	w          *World
	home, host *Deployment
	job        *Job
	history    *History
}

const homeGrowsAt = 45 * clock.Second

func newTransfer(seed uint64, gang bool) *transfer {
	w := NewWorld(seed)
	g := NewGroup(w, []*settings.Settings{testSettings(), testSettings()}, testTypes()[:1], groupGuests,
		"[[spill]]\nfrom = \"alpha\"\nto = [\"beta\"]\n", 0)
	x := &transfer{w: w, home: g.Cells[0], host: g.Cells[1]}
	x.history = NewHistory(w, g.Cells...)
	for _, d := range g.Cells {
		d.Cloud.Reliable = true
		clear(d.Cloud.Capacity)
	}
	x.host.Cloud.Capacity[fleet.Kind{Type: "small", Zone: "a"}] = 2
	w.Run(10 * clock.Second)
	spec := array("job-000001", "open", 20, 4, 25)
	if gang {
		spec.Shape, spec.Tasks, spec.CheckpointS, spec.SaveS = protocol.ShapeGang, 4, 5, 1
	}
	x.job = x.home.Submit(spec, 25*clock.Second, false)
	x.host.Submit(array("job-000001", "open", 1, 4, 20), 20*clock.Second, false) // the same id
	w.After(homeGrowsAt, func() {
		x.home.Cloud.Capacity[fleet.Kind{Type: "small", Zone: "b"}] = 4
		x.home.Submit(array("job-000002", "open", 8, 4, 3), 3*clock.Second, false)
	})
	return x
}

// steps are the states that a transfer goes through, each with how it shows.
var steps = []struct {
	name    string
	reached func(x *transfer) bool
	gang    bool // a gang reaches it, too
}{
	{"placed with the host", func(x *transfer) bool { return x.elsewhere() > 0 }, true},
	{"offered", func(x *transfer) bool { return x.inState(delegation.Offered) }, true},
	{"recorded by the host", func(x *transfer) bool { return x.guest() != nil }, true},
	{"accepted", func(x *transfer) bool { return x.inState(delegation.Accepted) }, true},
	{"running", func(x *transfer) bool { return len(x.job.places) > 0 }, true},
	{"partly done", func(x *transfer) bool { return len(x.job.gone) > 0 }, false},
	{"done tasks at home", func(x *transfer) bool { return x.done() > 0 }, true},
	{"recalled", func(x *transfer) bool { return x.inState(delegation.Recalled) }, false},
	{"closed", func(x *transfer) bool { return x.guest() != nil && x.guest().Guest.Closed }, false},
	{"over for the host", func(x *transfer) bool { return x.guest() != nil && x.guest().Final() }, true},
	{"forgotten by home", func(x *transfer) bool { return x.guest() != nil && !x.delegated() }, true},
	{"forgotten by the host", func(x *transfer) bool { return x.done() > 0 && x.guest() == nil && !x.delegated() }, true},
}

func (x *transfer) elsewhere() int {
	n := 0
	if j := x.home.State.record(x.job.spec.ID); j != nil {
		for _, p := range j.Placed {
			if p.Host() != "" {
				n++
			}
		}
	}
	return n
}

func (x *transfer) done() int {
	if j := x.home.State.record(x.job.spec.ID); j != nil {
		return j.Done.Len()
	}
	return 0
}

func (x *transfer) records() []delegation.Record {
	var records []delegation.Record
	for key, e := range x.home.State.keys {
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

func (x *transfer) guest() *ledger.Job {
	for key := range x.host.State.keys {
		id := strings.TrimPrefix(key, ledger.Prefix)
		if _, _, _, guest := ledger.ParseGuestID(id); guest {
			return x.host.State.record(id)
		}
	}
	return nil
}

// runTo plays until a step is reached, or until it is too late for it.
func (x *transfer) runTo(reached func(x *transfer) bool) bool {
	for x.w.Now() < 200*clock.Second {
		if reached(x) {
			return true
		}
		x.w.Run(x.w.Now() + 5*clock.Millisecond)
	}
	return false
}

// finish plays to the end and judges.
func (x *transfer) finish(t *testing.T, step string) {
	t.Helper()
	x.w.Run(x.w.Now() + 300*clock.Second)
	wrong := x.w.Broken
	if x.job.told == protocol.StatusDone {
		wrong = append(wrong, x.history.Judge([]*Job{x.job})...)
	}
	if x.job.told == "" {
		wrong = append(wrong, fmt.Sprintf("%d of %d tasks are done", x.done(), x.job.spec.Tasks))
	}
	for _, d := range []*Deployment{x.home, x.host} {
		if left := d.State.delegations(); len(left) > 0 {
			wrong = append(wrong, fmt.Sprintf("%s still has %v", d.name, left))
		}
	}
	if len(wrong) > 0 {
		t.Errorf("%s: %v", step, wrong)
	}
}

// faults are what meets a transfer, each at every step of it.
var faults = map[string]func(x *transfer, long clock.Micros){
	"home's leader ends": func(x *transfer, long clock.Micros) { x.home.endLeader(long) },
	"host's leader ends": func(x *transfer, long clock.Micros) { x.host.endLeader(long) },
	"both leaders end":   func(x *transfer, long clock.Micros) { x.home.endLeader(long); x.host.endLeader(long) },
	"home restarts":      func(x *transfer, long clock.Micros) { x.home.restart(long) },
	"both cells restart": func(x *transfer, long clock.Micros) { x.home.restart(long); x.host.restart(long) },
	"home's state service is out": func(x *transfer, long clock.Micros) {
		x.home.State.Outage(true)
		x.w.After(long, func() { x.home.State.Outage(false) })
	},
	"host's state service is out": func(x *transfer, long clock.Micros) {
		x.host.State.Outage(true)
		x.w.After(long, func() { x.host.State.Outage(false) })
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
			n.proc.Stand(long)
		}
	},
	"home's leader stands still": func(x *transfer, long clock.Micros) {
		if n := x.home.Leader(); n != nil {
			n.proc.Stand(long)
		}
	},
	"the job is cancelled": func(x *transfer, _ clock.Micros) { x.home.Cancel(x.job) },
	"cut and cancelled": func(x *transfer, long clock.Micros) {
		x.w.After(long, x.host.CutOff(false))
		x.home.Cancel(x.job)
	},
}

func (d *Deployment) restart(away clock.Micros) {
	for _, n := range d.Nodes {
		n.Crash()
		d.World.After(away, func() { d.StartNode(n) })
	}
}

// Every fault at every step of a transfer, short and long: nothing runs twice, what is
// cancelled is gone in time, all of the job gets done, and nothing of the transfer is left.
func TestTroubleAtEveryStepOfATransfer(t *testing.T) {
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for i, step := range steps {
				for k, long := range []clock.Micros{3 * clock.Second, 40 * clock.Second} {
					x := newTransfer(uint64(4000+2*i+k), step.gang && i%2 == k)
					if !x.runTo(step.reached) {
						t.Errorf("the step %q wasn't reached", step.name)
						continue
					}
					fault(x, long)
					x.finish(t, fmt.Sprintf("%s, %.0f s", step.name, long.Seconds()))
				}
			}
		})
	}
}

// A leader ends after any request that it sends while a transfer is under way.
func TestLeadersEndAfterAnyRequestOfATransfer(t *testing.T) {
	for i, name := range []string{"home", "host"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for k := 1; k <= 60; k++ {
				x := newTransfer(uint64(4200+k), k%3 == 0)
				x.runTo(steps[0].reached)
				d := []*Deployment{x.home, x.host}[i]
				n := d.Leader()
				n.proc.EndAfter = k
				x.w.After(60*clock.Second, func() { d.StartNode(n) })
				x.finish(t, fmt.Sprintf("request %d", k))
			}
		})
	}
}

// The other cell's machines hold what is cancelled, and everything that could end it there
// fails at that moment, or a moment before: it is gone in time all the same.
func TestCancelledWorkIsGoneFromOtherCells(t *testing.T) {
	t.Parallel()
	for name, fault := range map[string]func(x *transfer){
		"nothing more":       func(*transfer) {},
		"state outage":       func(x *transfer) { x.host.State.Outage(true) },
		"leader ends":        func(x *transfer) { x.host.endLeader(5 * clock.Second) },
		"leader stands":      func(x *transfer) { x.host.Leader().proc.Stand(35 * clock.Second) },
		"all controllers":    func(x *transfer) { x.host.restart(200 * clock.Second) },
		"machines hang":      func(x *transfer) { x.hang() },
		"hang, leader ends":  func(x *transfer) { x.hang(); x.host.endLeader(5 * clock.Second) },
		"commands don't go":  func(x *transfer) { x.hold() },
		"home's leader ends": func(x *transfer) { x.home.endLeader(5 * clock.Second) },
		"home's state": func(x *transfer) {
			x.w.After(clock.Second, func() { x.home.State.Outage(true) })
			x.w.After(80*clock.Second, func() { x.home.State.Outage(false) })
		},
	} {
		for delay := range clock.Micros(4) {
			x := newTransfer(uint64(4300+delay), false)
			x.host.WatchService()
			if !x.runTo(steps[4].reached) {
				t.Fatal("nothing runs elsewhere")
			}
			x.w.Run(x.w.Now() + 2*clock.Second)
			heal := x.host.CutOff(false)
			fault(x)
			x.w.Run(x.w.Now() + delay*700*clock.Millisecond)
			confirmCancel(x.w, x.home, x.job)
			x.w.Run(x.w.Now() + 31*clock.Second)
			for _, m := range x.host.Cloud.all {
				for _, task := range m.tasks {
					if task.onIt && !m.Hung && x.host.find(task.job) == x.job {
						t.Errorf("%s: %s still runs %s", name, m.name, task.job)
					}
				}
			}
			x.host.State.Outage(false)
			heal()
			mustKeepRules(t, x.w)
		}
	}
}

// hang lets the machines hang on which the job's tasks are.
func (x *transfer) hang() {
	for _, places := range x.job.places {
		for m := range places {
			m.Hung = true
		}
	}
}

// hold keeps direct commands from arriving, for a while.
func (x *transfer) hold() {
	for _, m := range x.host.Workers() {
		m.Commands.Cut, m.Commands.Hold = true, true
		x.w.After(20*clock.Second, m.Commands.Heal)
	}
}

// The other cell is gone for good while it runs work: home does it itself, once nothing can
// be running there any more, and not later.
func TestWorkComesBackFromALostCell(t *testing.T) {
	t.Parallel()
	x := newTransfer(4400, false)
	if !x.runTo(steps[5].reached) {
		t.Fatal("nothing is done elsewhere")
	}
	lostAt := x.w.Now()
	for _, n := range x.host.Nodes {
		n.Crash()
	}
	x.host.CutOff(false)
	for _, m := range x.host.Workers() {
		m.Die()
	}
	for x.elsewhere() > 0 && x.w.Now() < lostAt+100*clock.Second {
		x.w.Run(x.w.Now() + 100*clock.Millisecond)
	}
	if took := x.w.Now() - lostAt; took > 32*clock.Second {
		t.Errorf("the tasks are home's again after %.1f s", took.Seconds())
	}
	x.w.Run(x.w.Now() + 300*clock.Second)
	mustJudge(t, x.w, x.history, []*Job{x.job})
	if x.delegated() {
		t.Error("the delegation is left")
	}
}

// Controllers get the cells file one after another, and lose it again in the middle of a
// transfer: nothing is delegated before all of them have it, and all of it comes back.
func TestCellsAreSwitchedOnAndOff(t *testing.T) {
	t.Parallel()
	x := newTransfer(4500, false)
	behind := x.home.Nodes[2]
	behind.WithoutCells = true
	behind.Crash()
	// As if that one had never had it.
	for key := range x.home.State.keys {
		if strings.HasPrefix(key, "rollout/") {
			delete(x.home.State.keys, key)
		}
	}
	x.home.restart(100 * clock.Millisecond)
	x.w.Run(50 * clock.Second)
	if x.elsewhere() > 0 {
		t.Fatal("delegated while a controller takes such records for malformed")
	}
	behind.WithoutCells = false
	behind.Crash()
	x.home.StartNode(behind)
	if !x.runTo(steps[4].reached) {
		t.Fatal("nothing runs elsewhere once all have the file")
	}
	for _, n := range x.home.Nodes {
		n.WithoutCells = true
	}
	x.home.restart(100 * clock.Millisecond)
	x.w.Run(x.w.Now() + 300*clock.Second)
	mustJudge(t, x.w, x.history, []*Job{x.job})
	if x.delegated() || x.guest() == nil || !x.guest().Final() {
		t.Error("home still has a delegation, or the host no tombstone that home could ask for")
	}
	for _, n := range x.host.Nodes {
		n.WithoutCells = true
	}
	x.host.restart(100 * clock.Millisecond)
	x.w.Run(x.w.Now() + 60*clock.Second)
	if x.guest() != nil {
		t.Error("the tombstone is left though the host knows no such cell")
	}
}

// What another cell does, or that it is gone, changes nothing for a cell's own work.
func TestOtherCellsCostLittle(t *testing.T) {
	t.Parallel()
	starts := map[string]clock.Micros{}
	for name, neighbour := range map[string]func(w *World, g *Group){
		"alone": func(*World, *Group) {},
		"dead": func(_ *World, g *Group) {
			for _, n := range g.Cells[1].Nodes {
				n.Crash()
			}
		},
		"silent": func(_ *World, g *Group) { g.Cells[1].CutOff(true) },
		// As many messages as the listener lets through, all of them sensible.
		"flooding": func(w *World, g *Group) {
			w.Every(50*clock.Millisecond, func() {
				for _, n := range g.Cells[0].Nodes {
					r := delegation.Report{Host: "beta", Home: "alpha", Epoch: 1 << 40, Counter: int64(w.Now()), Clear: 20 * clock.Second}
					for i := range delegation.MaxReported {
						r.Tasks = append(r.Tasks, delegation.Status{Number: int64(i), Job: "job-000001", Closed: true})
					}
					n.proc.run(func() { n.Dispatch.Exchange(r, func(delegation.Answer, bool) {}) })
				}
			})
		},
	} {
		w := NewWorld(4600)
		w.MessageCost = 100
		g := NewGroup(w, []*settings.Settings{testSettings(), testSettings()}, testTypes(), groupGuests,
			"[[spill]]\nfrom = \"alpha\"\nto = [\"beta\"]\n[[spill]]\nfrom = \"beta\"\nto = [\"alpha\"]\n", 0)
		neighbour(w, g)
		w.Run(20 * clock.Second)
		jobs := flood(g.Cells[0], 4)
		w.Run(300 * clock.Second)
		mustKeepRules(t, w)
		for _, j := range jobs {
			if j.told != protocol.StatusDone {
				t.Errorf("%s: %s isn't done", name, j.spec.ID)
			}
			starts[name] += j.began - j.submitted
		}
	}
	for name, sum := range starts {
		if sum > starts["alone"]*11/10+4*clock.Second {
			t.Errorf("%s: starts after %.1f s in all, %.1f s alone", name, sum.Seconds(), starts["alone"].Seconds())
		}
	}
}

// A cell is drained by its operators while it runs another's work: all of that comes back, with
// what ran stopped in order, and nothing more goes there.
func TestDrainedCellsGiveBack(t *testing.T) {
	t.Parallel()
	x := newTransfer(4700, true)
	if !x.runTo(steps[4].reached) {
		t.Fatal("nothing runs elsewhere")
	}
	x.w.Run(x.w.Now() + 3*clock.Second)
	x.home.group.File = strings.Replace(x.home.group.File, "name = \"beta\"", "name = \"beta\"\ndrain = true", 1)
	for _, d := range []*Deployment{x.host, x.home} {
		for i, n := range d.Nodes {
			x.w.After(clock.Micros(i)*5*clock.Second, func() {
				n.Crash()
				x.w.After(clock.Second, func() { d.StartNode(n) })
			})
		}
	}
	x.w.Run(x.w.Now() + 60*clock.Second)
	if x.elsewhere() > 0 || x.delegated() || x.guest() != nil {
		t.Errorf("a minute later %d tasks are elsewhere, delegated %v, guest %v", x.elsewhere(), x.delegated(), x.guest())
	}
	x.finish(t, "drained")
	if elsewhere, _ := x.history.Elsewhere(); elsewhere != x.job.spec.Tasks {
		t.Errorf("%d runs elsewhere", elsewhere)
	}
}

// Without a cells file nothing of cells is stored: the keys, and the format that controllers
// publish, are those of the version before.
func TestNothingChangesWithoutCells(t *testing.T) {
	t.Parallel()
	puts := 0
	d := play(7, func(d *Deployment) {
		check := d.State.CheckPut
		d.State.CheckPut = func(key string, value []byte) {
			puts++
			check(key, value)
			known := slices.ContainsFunc([]string{ledger.Prefix, ledger.PartsPrefix, "rollout/", "lead/controller", "catalogue"},
				func(prefix string) bool { return strings.HasPrefix(key, prefix) })
			if !known || strings.Contains(string(value), "cell ") || strings.Contains(string(value), "guest ") {
				d.World.Break("cells", "%s: %q", key, value)
			}
			var published struct {
				Format int `msgpack:"format"`
			}
			if strings.HasPrefix(key, "rollout/") && (protocol.Decode(value, &published) != nil || published.Format != 2) {
				d.World.Break("cells", "format %d is published", published.Format)
			}
		}
	})
	mustKeepRules(t, d.World)
	if puts < 100 {
		t.Errorf("only %d puts", puts)
	}
}
