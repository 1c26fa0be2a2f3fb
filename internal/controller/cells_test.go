package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"postpoint/internal/clock"
	"postpoint/internal/leader/overview"
	"postpoint/internal/protocol"
	"postpoint/internal/scaling"
	"postpoint/internal/settings"
	"postpoint/internal/simulation"
)

// realCell is a cell whose controllers are real processes.
type realCell struct {
	name      string
	settings  []*settings.Settings // of each controller
	exchanges []string             // their addresses for other cells
	mu        sync.Mutex
	processes []*exec.Cmd
	closed    bool // the test is over: no process is started any more
	standIns  *simulation.Loopback
	file      string // the cells file
}

const controllersPerCell = 2

// cellTypes are machines that boot fast.
var cellTypes = []protocol.MachineType{
	{Name: "small", Cpus: 8, MemoryGB: 32, CacheGB: 50, FetchGBPerS: 1, Price: 0.4, SpotPrice: 0.1, BootS: 4,
		Zones: []string{"a"}},
}

func newRealCell(x *simulation.RealTime, g *simulation.Group, name string, machines int) *realCell {
	c := &realCell{name: name}
	var controllers []simulation.Controller
	for range controllersPerCell {
		s := &settings.Settings{Node: fmt.Sprintf("worker-%d", len(c.settings)), Domain: "a",
			Bind: freeAddress(), InternalAddr: freeAddress()}
		s.Deployment = settings.Deployment{
			InitialSize: controllersPerCell, Zones: []string{"a"}, Teams: []settings.Team{{Name: "open"}},
			Workers: settings.Workers{HeartbeatS: 1, LeaseS: 6, GangWaitS: 15, GangPeerS: 3,
				CancelS: 24},
			MachineLimits: settings.MachineLimits{CPU: 0.2, MemoryMb: 120, MaxSockets: 800},
			KVStore:       settings.KVStore{Rps: 200, WriteRps: 80, ValueKb: 8, TxnOps: 12},
			Cloud:         settings.Cloud{Rps: 8, ListLagS: 1},
		}
		c.settings = append(c.settings, s)
		c.exchanges = append(c.exchanges, freeAddress())
		controllers = append(controllers, simulation.Controller{Name: s.Node, Address: s.Bind})
	}
	state, cloud, workers := listen("127.0.0.1:0"), listen("127.0.0.1:0"), listen("0.0.0.0:0")
	c.standIns = simulation.NewLoopbackCell(x, g, name, c.settings[0], cellTypes, controllers,
		workers.Addr().(*net.TCPAddr).Port)
	clear(c.standIns.Deployment.Cloud.Capacity)
	c.standIns.Deployment.Cloud.Capacity[scaling.CapacityPool{Type: "small", Zone: "a"}] = machines
	c.standIns.Serve(state, cloud, workers)
	for i, s := range c.settings {
		s.Endpoints = settings.Endpoints{KVStore: state.Addr().String(), Cloud: cloud.Addr().String()}
		for k, o := range c.settings {
			if k != i {
				s.Peers = append(s.Peers, settings.Peer{Node: o.Node, PeerAddr: o.InternalAddr})
			}
		}
	}
	return c
}

// entry is the cell's part of the cells file.
func (c *realCell) entry() string {
	text := fmt.Sprintf("[[cells]]\nname = %q\nlease_s = %v\nguests = { cpus = 64.0 }\n", c.name,
		c.settings[0].Deployment.Workers.LeaseS)
	for i, address := range c.exchanges {
		text += fmt.Sprintf("[[cells.controllers]]\nnode = %q\naddress = %q\n", c.settings[i].Node, address)
	}
	return text
}

func (c *realCell) start(i int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		c.processes[i] = startAlone(c.settings[i], cellsVariable+"="+c.file)
	}
}

func (c *realCell) end(i int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.processes[i].Process.Kill()
	_ = c.processes[i].Wait()
}

// close ends all processes for good.
func (c *realCell) close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	for i := range c.processes {
		c.end(i)
	}
}

// overview asks a controller, nil if it doesn't answer.
func (c *realCell) overview(i int) *overview.Overview {
	client := http.Client{Timeout: 2 * time.Second}
	answer, err := client.Get("http://" + c.settings[i].Bind + "/overview")
	if err != nil {
		return nil
	}
	defer answer.Body.Close()
	var o overview.Overview
	if json.NewDecoder(answer.Body).Decode(&o) != nil {
		return nil
	}
	return &o
}

// endLeader kills the process that leads, and starts it again after a while.
func (c *realCell) endLeader(t *testing.T) {
	t.Helper()
	for range 100 {
		for i := range c.processes {
			if o := c.overview(i); o != nil && o.Leads {
				c.end(i)
				time.AfterFunc(2*time.Second, func() { c.start(i) })
				return
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.Errorf("nobody leads %s", c.name)
}

// lent counts the tasks that a cell has with others, -1 if nobody can tell.
func (c *realCell) lent() int {
	for i := range c.processes {
		if o := c.overview(i); o != nil && o.Leads {
			n := 0
			for _, other := range o.Cells {
				n += other.DelegatedTasks
			}
			return n
		}
	}
	return -1
}

// Three cells of real processes on loopback: one is filled, its work spills, each loses its
// leader meanwhile, and every job finishes with each task completed exactly once. What the
// stand-ins say of leases that ended between an answer's making and its arrival isn't judged:
// in real time on a busy machine that says nothing of the order of events in the controller.
func TestThreeCellsOfRealProcesses(t *testing.T) {
	x := &simulation.RealTime{World: simulation.NewWorld(1)}
	g := &simulation.Group{}
	group := []*realCell{
		newRealCell(x, g, "alpha", 1),
		newRealCell(x, g, "beta", 3),
		newRealCell(x, g, "gamma", 3),
	}
	history := simulation.NewHistory(x.World, g.Cells...)
	text := ""
	for _, c := range group {
		text += c.entry()
	}
	text += "[[spill]]\nfrom = \"alpha\"\nto = [\"beta\", \"gamma\"]\n"
	folder := t.TempDir()
	for _, c := range group {
		c.file = filepath.Join(folder, c.name+".toml")
		must(os.WriteFile(c.file, []byte(fmt.Sprintf("cell = %q\n%s", c.name, text)), 0o600))
		c.processes = make([]*exec.Cmd, controllersPerCell)
		for i := range c.processes {
			c.start(i)
		}
		t.Cleanup(c.close)
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go x.Run(ctx)

	alpha := group[0].standIns.Deployment
	var jobs []*simulation.Job
	x.Do(func() {
		for i := range 8 {
			spec := protocol.JobSpec{ID: protocol.JobID(fmt.Sprintf("job-%06d", i)), Class: "c", Team: "open",
				Shape: protocol.ShapeArray, Priority: "normal", Tasks: 8, Cpus: 2, MemoryGB: 1,
				Image: "i", ImageGB: 1, EstimateS: 4}
			if i%4 == 3 {
				spec.Shape, spec.Tasks = protocol.ShapeGang, 3
			}
			jobs = append(jobs, alpha.Submit(spec, 4*clock.Second, false))
		}
	})
	began := time.Now()
	finished := func() (done, elsewhere int) {
		x.Do(func() {
			for _, j := range jobs {
				if j.FinalStatus() == protocol.StatusDone {
					done++
				}
			}
			elsewhere, _ = history.Elsewhere()
		})
		return done, elsewhere
	}
	wait := func(most time.Duration, until func() bool) bool {
		for time.Since(began) < most {
			if until() {
				return true
			}
			time.Sleep(200 * time.Millisecond)
		}
		return false
	}
	if !wait(60*time.Second, func() bool { _, n := finished(); return n >= 6 }) {
		t.Error("hardly anything ran in other cells within a minute")
	}
	for _, c := range group {
		c.endLeader(t)
		time.Sleep(time.Second)
	}
	if !wait(150*time.Second, func() bool { n, _ := finished(); return n == len(jobs) }) {
		n, _ := finished()
		t.Errorf("%d of %d jobs are done after %.0f s", n, len(jobs), time.Since(began).Seconds())
	}
	if !wait(180*time.Second, func() bool { return group[0].lent() == 0 }) {
		t.Error("work is still lent")
	}
	x.Do(func() {
		wrong := history.Judge(jobs)
		for _, broken := range x.World.Violations {
			if !strings.Contains(broken, " no_lease:") {
				wrong = append(wrong, broken)
			}
		}
		if len(wrong) > 0 {
			t.Error(strings.Join(wrong, "\n"))
		}
		elsewhere, all := history.Elsewhere()
		t.Logf("%d of %d runs in other cells, all done after %.0f s", elsewhere, all,
			time.Since(began).Seconds())
	})
}
