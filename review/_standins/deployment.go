package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"postpoint/internal/protocol"
	"postpoint/internal/settings"
)

// job is a job that users submit, and how long its tasks really run.
type job struct {
	spec    protocol.JobSpec
	runTime time.Duration
}

// node is one controller.
type node struct {
	name, zone, bind, internal, state string
	settingsPath                      string
	process                           *exec.Cmd
	exited                            chan struct{}
}

// deployment is a small deployment: three controllers in processes of their own, and the stand-ins.
type deployment struct {
	rec     *recorder
	history *history
	store   *store
	cloud   *cloud
	nodes   []*node
	proxies map[string]*proxy // by "from>to"
	workers settings.Workers
	teams   []settings.Team
	kv      settings.KVStore
	fetch   time.Duration
	folder  string
	run     []string
	users   *http.Client

	mu   sync.Mutex
	jobs map[protocol.JobID]*job
}

// newDeployment prepares a deployment with the settings of the small Fondul Comun site.
func newDeployment(rec *recorder, folder string) (*deployment, error) {
	d := &deployment{rec: rec, history: &history{rec: rec}, proxies: map[string]*proxy{},
		jobs: map[protocol.JobID]*job{}, folder: folder, fetch: 300 * time.Millisecond,
		workers: settings.Workers{HeartbeatS: 2.5, LeaseS: 16, GangWaitS: 40, GangPeerTimeoutS: 5, CancelS: 36},
		teams:   []settings.Team{{Name: "evaluare"}},
		kv:      settings.KVStore{Rps: 100, WriteRps: 30, ValueKb: 32, TxnOps: 12},
		users:   &http.Client{Timeout: 5 * time.Second},
	}
	d.cloud = &cloud{d: d, boot: 1500 * time.Millisecond, lag: 5 * time.Second,
		machines: map[protocol.MachineName]*machine{}, bookings: map[string][]protocol.MachineName{},
		capacity: map[string]int{"brad/somes": 8, "brad/mures": 7},
		types: []protocol.MachineType{{Name: "brad", Cpus: 8, MemoryGB: 16, CacheGB: 50, FetchGBPerS: 0.6,
			Price: 0.31, SpotPrice: 0.11, BootS: 30, Zones: []string{"somes", "mures"}}}}
	text, err := os.ReadFile("deploy/service.toml")
	if err != nil {
		return nil, err
	}
	run := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(text)
	if run == nil {
		return nil, errors.New("deploy/service.toml has no run")
	}
	d.run = strings.Fields(string(run[1]))
	return d, nil
}

// start starts the stand-ins and the controllers, and waits until all are healthy and one leads.
func (d *deployment) start() error {
	d.store = newStore(d.rec, int(d.kv.ValueKb), d.kv.TxnOps)
	cloudAddress, err := d.cloud.serve()
	if err != nil {
		return err
	}
	zones := []string{"somes", "mures", "somes"}
	for i, zone := range zones {
		n := &node{name: fmt.Sprintf("worker-%d", i), zone: zone}
		if n.bind, err = freeAddress(); err != nil {
			return err
		}
		if n.internal, err = freeAddress(); err != nil {
			return err
		}
		if n.state, err = d.store.serve(n.name); err != nil {
			return err
		}
		d.nodes = append(d.nodes, n)
	}
	for _, n := range d.nodes {
		if err := d.writeSettings(n, cloudAddress); err != nil {
			return err
		}
		if err := d.startNode(n); err != nil {
			return err
		}
	}
	return d.await("a leader and healthy controllers", 30*time.Second, func() bool {
		for _, n := range d.nodes {
			if status, _ := call(d.users, http.MethodGet, "http://"+n.bind+"/up", nil); status != http.StatusOK {
				return false
			}
		}
		return d.store.leader() != ""
	})
}

// writeSettings writes a controller's settings file. It reaches the others through proxies.
func (d *deployment) writeSettings(n *node, cloudAddress string) error {
	var known []settings.Peer
	for _, other := range d.nodes {
		if other == n {
			continue
		}
		p, err := newProxy(other.internal)
		if err != nil {
			return err
		}
		d.proxies[n.name+">"+other.name] = p
		known = append(known, settings.Peer{Node: other.name, Domain: other.zone, PeerAddr: p.address})
	}
	s := settings.Settings{Node: n.name, Domain: n.zone, Bind: n.bind, InternalAddr: n.internal, Peers: known,
		Endpoints: settings.Endpoints{Cloud: cloudAddress, KVStore: n.state},
		Deployment: settings.Deployment{InitialSize: 3, Zones: []string{"mures", "somes"}, Teams: d.teams,
			Objectives: []settings.Objective{}, Workers: d.workers, KVStore: d.kv,
			Cloud:         settings.Cloud{Rps: 8, ListLagS: 5},
			MachineLimits: settings.MachineLimits{CPU: 0.096, MemoryMb: 179, MaxSockets: 1800}, ClockErrorMs: 250}}
	raw, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return err
	}
	n.settingsPath = filepath.Join(d.folder, n.name+".json")
	return os.WriteFile(n.settingsPath, raw, 0o600)
}

// startNode starts a controller's process with the command of the deploy file.
func (d *deployment) startNode(n *node) error {
	log, err := os.OpenFile(filepath.Join(d.folder, n.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(d.run[0], append(d.run[1:len(d.run):len(d.run)], n.settingsPath)...)
	cmd.Stderr = log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	n.process, n.exited = cmd, make(chan struct{})
	d.rec.note("%s: started, process %d", n.name, cmd.Process.Pid)
	go func(exited chan struct{}) {
		_ = cmd.Wait()
		_ = log.Close()
		close(exited)
	}(n.exited)
	return nil
}

// signal sends a signal to a controller's process.
func (d *deployment) signal(n *node, s syscall.Signal) {
	d.rec.note("%s: %v", n.name, s)
	_ = n.process.Process.Signal(s)
}

// kill ends a controller's process.
func (d *deployment) kill(n *node) {
	d.signal(n, syscall.SIGKILL)
	<-n.exited
}

// end ends all processes that were started.
func (d *deployment) end() {
	for _, n := range d.nodes {
		if n.process != nil {
			d.kill(n)
		}
	}
}

// await waits until a condition holds.
func (d *deployment) await(what string, limit time.Duration, holds func() bool) error {
	deadline := time.Now().Add(limit)
	for !holds() {
		if time.Now().After(deadline) {
			return fmt.Errorf("not within %v: %s", limit, what)
		}
		time.Sleep(10 * time.Millisecond)
	}
	d.rec.note("reached: %s", what)
	return nil
}

// leader returns the leader and the other controllers.
func (d *deployment) leader() (leader *node, others []*node) {
	name := d.store.leader()
	for _, n := range d.nodes {
		if n.name == name {
			leader = n
		} else {
			others = append(others, n)
		}
	}
	return leader, others
}

func (d *deployment) job(id protocol.JobID) *job {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.jobs[id]
}

// array returns the description of an array of tasks without checkpoints.
func array(id string, tasks int, cpus, estimateS float64) protocol.JobSpec {
	return protocol.JobSpec{ID: protocol.JobID(id), Class: "extrase", Team: "evaluare", Shape: protocol.ShapeArray,
		Priority: "normal", Tasks: tasks, Cpus: cpus, MemoryGB: 1.4, Image: "img-01", ImageGB: 1,
		EstimateS: estimateS}
}

// submit submits a job to a controller and returns the status of the answer.
func (d *deployment) submit(n *node, spec protocol.JobSpec, runTime time.Duration) int {
	d.mu.Lock()
	if d.jobs[spec.ID] == nil {
		d.jobs[spec.ID] = &job{spec: spec, runTime: runTime}
	}
	d.mu.Unlock()
	d.rec.note("user: submits %s to %s", spec.ID, n.name)
	status, _ := call(d.users, http.MethodPost, "http://"+n.bind+"/api/jobs", protocol.Encode(spec))
	d.rec.note("user: submission of %s answered %d by %s", spec.ID, status, n.name)
	return status
}

// withdraw cancels a job at a controller and returns the status of the answer and the job's state in it.
func (d *deployment) withdraw(n *node, id protocol.JobID) (int, string) {
	d.rec.note("user: cancels %s at %s", id, n.name)
	status, raw := call(d.users, http.MethodPost, "http://"+n.bind+"/api/jobs/"+string(id)+"/withdraw", nil)
	var s protocol.JobStatus
	_ = protocol.Decode(raw, &s)
	d.rec.note("user: cancellation of %s answered %d %q by %s", id, status, s.Status, n.name)
	return status, s.Status
}
