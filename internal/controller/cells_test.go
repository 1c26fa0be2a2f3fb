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

// realCell is a cell whose controllers are child processes.
type realCell struct {
	name          string
	settings      []*settings.Settings // of each controller
	cellAddresses []string             // of each controller, for other cells
	mu            sync.Mutex
	processes     []*exec.Cmd
	closed        bool // the test has ended: start does nothing any more
	fakes         *simulation.Loopback
	file          string // the cells file
}

const controllersPerCell = 2

// cellTypes has one type of machine, which boots fast.
var cellTypes = []protocol.MachineType{
	{Name: "small", Cpus: 8, MemoryGB: 32, CacheGB: 50, FetchGBPerS: 1, Price: 0.4, SpotPrice: 0.1, BootS: 4,
		Zones: []string{"a"}},
}

// newRealCell starts the fakes of a cell and returns it. Its controllers start later.
func newRealCell(realTime *simulation.RealTime, g *simulation.Group, name string, machines int) *realCell {
	c := &realCell{name: name}
	var controllers []simulation.Controller
	for range controllersPerCell {
		s := &settings.Settings{Node: fmt.Sprintf("worker-%d", len(c.settings)), Domain: "a",
			Bind: freeAddress(), InternalAddr: freeAddress()}
		s.Deployment = settings.Deployment{
			InitialSize: controllersPerCell, Zones: []string{"a"}, Teams: []settings.Team{{Name: "open"}},
			Workers: settings.Workers{HeartbeatS: 1, LeaseS: 6, GangWaitS: 15, GangPeerTimeoutS: 3,
				CancelS: 24},
			MachineLimits: settings.MachineLimits{CPU: 0.2, MemoryMb: 120, MaxSockets: 800},
			KVStore:       settings.KVStore{Rps: 200, WriteRps: 80, ValueKb: 8, TxnOps: 12},
			Cloud:         settings.Cloud{Rps: 8, ListLagS: 1},
		}
		c.settings = append(c.settings, s)
		c.cellAddresses = append(c.cellAddresses, freeAddress())
		controllers = append(controllers, simulation.Controller{Name: s.Node, Address: s.Bind})
	}
	state, cloud, workers := listen("127.0.0.1:0"), listen("127.0.0.1:0"), listen("0.0.0.0:0")
	c.fakes = simulation.NewLoopbackCell(realTime, g, name, c.settings[0], cellTypes, controllers,
		workers.Addr().(*net.TCPAddr).Port)
	clear(c.fakes.Deployment.Cloud.Capacity)
	c.fakes.Deployment.Cloud.Capacity[scaling.CapacityPool{Type: "small", Zone: "a"}] = machines
	c.fakes.Serve(state, cloud, workers)
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

// entry returns the cell's section of the cells file.
func (c *realCell) entry() string {
	text := fmt.Sprintf("[[cells]]\nname = %q\nlease_s = %v\nguests = { cpus = 64.0 }\n", c.name,
		c.settings[0].Deployment.Workers.LeaseS)
	for i, address := range c.cellAddresses {
		text += fmt.Sprintf("[[cells.controllers]]\nnode = %q\naddress = %q\n", c.settings[i].Node, address)
	}
	return text
}

// start starts a controller's process.
func (c *realCell) start(i int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		c.processes[i] = startControllerProcess(c.settings[i], cellsVariable+"="+c.file)
	}
}

// kill kills a controller's process.
func (c *realCell) kill(i int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.processes[i].Process.Kill()
	_ = c.processes[i].Wait()
}

// close kills all processes and prevents restarts.
func (c *realCell) close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	for i := range c.processes {
		c.kill(i)
	}
}

// overview returns the overview of a controller, or nil if the controller doesn't respond.
func (c *realCell) overview(i int) *overview.Overview {
	client := http.Client{Timeout: 2 * time.Second}
	response, err := client.Get("http://" + c.settings[i].Bind + "/overview")
	if err != nil {
		return nil
	}
	defer response.Body.Close()
	var o overview.Overview
	if json.NewDecoder(response.Body).Decode(&o) != nil {
		return nil
	}
	return &o
}

// killLeader kills the leader's process and restarts it after 2 s.
func (c *realCell) killLeader(t *testing.T) {
	t.Helper()
	for range 100 {
		for i := range c.processes {
			if o := c.overview(i); o != nil && o.Leads {
				c.kill(i)
				time.AfterFunc(2*time.Second, func() { c.start(i) })
				return
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.Errorf("no controller of %s leads", c.name)
}

// delegatedTasks returns the number of the cell's tasks that other cells hold, or -1 without a leader that
// responds.
func (c *realCell) delegatedTasks() int {
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

// Three cells, with controllers in processes of their own, run on the loopback interface. One cell is
// overloaded and offloads jobs, and each cell loses its leader while the jobs run. Every job must complete,
// with each task completed exactly once. The test ignores violations of the rule no_lease. Such a violation
// reports that a lease expired between the sending and the arrival of a response; in real time on a busy
// machine this doesn't show the order of events in the controller.
func TestThreeCellsOfRealProcesses(t *testing.T) {
	realTime := &simulation.RealTime{World: simulation.NewWorld(1)}
	g := &simulation.Group{}
	group := []*realCell{
		newRealCell(realTime, g, "alpha", 1),
		newRealCell(realTime, g, "beta", 3),
		newRealCell(realTime, g, "gamma", 3),
	}
	history := simulation.NewHistory(realTime.World, g.Cells...)
	text := ""
	for _, c := range group {
		text += c.entry()
	}
	text += "[[spill]]\nfrom = \"alpha\"\nto = [\"beta\", \"gamma\"]\n"
	directory := t.TempDir()
	for _, c := range group {
		c.file = filepath.Join(directory, c.name+".toml")
		must(os.WriteFile(c.file, []byte(fmt.Sprintf("cell = %q\n%s", c.name, text)), 0o600))
		c.processes = make([]*exec.Cmd, controllersPerCell)
		for i := range c.processes {
			c.start(i)
		}
		t.Cleanup(c.close)
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go realTime.Run(ctx)

	alpha := group[0].fakes.Deployment
	var jobs []*simulation.Job
	realTime.Do(func() {
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
	finished := func() (done, outside int) {
		realTime.Do(func() {
			for _, j := range jobs {
				if j.FinalStatus() == protocol.StatusDone {
					done++
				}
			}
			outside, _ = history.RunsOutsideOrigin()
		})
		return done, outside
	}
	wait := func(timeout time.Duration, condition func() bool) bool {
		for time.Since(began) < timeout {
			if condition() {
				return true
			}
			time.Sleep(200 * time.Millisecond)
		}
		return false
	}
	if !wait(60*time.Second, func() bool { _, n := finished(); return n >= 6 }) {
		t.Error("fewer than 6 runs in other cells within a minute")
	}
	for _, c := range group {
		c.killLeader(t)
		time.Sleep(time.Second)
	}
	if !wait(150*time.Second, func() bool { n, _ := finished(); return n == len(jobs) }) {
		n, _ := finished()
		t.Errorf("%d of %d jobs are done after %.0f s", n, len(jobs), time.Since(began).Seconds())
	}
	if !wait(180*time.Second, func() bool { return group[0].delegatedTasks() == 0 }) {
		t.Error("the origin cell still has delegated tasks, or no leader that responds")
	}
	realTime.Do(func() {
		wrong := history.Check(jobs)
		for _, broken := range realTime.World.Violations {
			if !strings.Contains(broken, " no_lease:") {
				wrong = append(wrong, broken)
			}
		}
		if len(wrong) > 0 {
			t.Error(strings.Join(wrong, "\n"))
		}
		outside, all := history.RunsOutsideOrigin()
		t.Logf("%d of %d runs in other cells, all done after %.0f s", outside, all,
			time.Since(began).Seconds())
	})
}
