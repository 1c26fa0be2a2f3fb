package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"postpoint/internal/protocol"
)

// World is one small deployment: controllers as processes of their own, and stand-ins for the store, the
// cloud, the workers, the users and the network, all on loopback addresses and the real clock.
type World struct {
	mu      sync.Mutex // guards everything below and the stand-ins' state
	began   time.Time
	record  *os.File
	rec     sync.Mutex
	folder  string
	program string
	Trouble bool

	Nodes []*Node
	Store *Store
	Cloud *Cloud
	Jobs  map[protocol.JobID]*Job

	Workers  WorkerSettings
	Teams    []map[string]any
	StateCfg map[string]any
	ListLagS float64
	Broken   []string
	used     map[string]float64
}

// WorkerSettings are the settings of workers, as in the settings file.
type WorkerSettings struct{ ReportS, LeaseS, GangWaitS, GangPeerS, CancelS float64 }

// Node is a controller: its process, its addresses, and the network between it and the others.
type Node struct {
	w                    *World
	Name, Zone           string
	Bind, Internal       string
	storeAddr, cloudAddr string
	peerAddr             map[string]string // by the name of the other controller
	cmd                  *exec.Cmd
	exited               chan struct{}
	wanted               bool // the process is meant to run
	StoreGate, CloudGate *Gate
	WorkerGate           *Gate            // between this controller and all workers
	PeerGate             map[string]*Gate // requests from this controller to another
	settings             string
	starts               int
	healthy              bool
	conns                int
	ResponseDelay        time.Duration
}

// Gate is one path of the network.
type Gate struct {
	mu      sync.Mutex
	mode    string // "" passes; "drop" never answers; "hold" delivers late; "refuse" answers 503
	changed chan struct{}
}

// NewGate returns an open gate.
func NewGate() *Gate { return &Gate{changed: make(chan struct{})} }

// Set changes the mode.
func (g *Gate) Set(mode string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.mode = mode
	close(g.changed)
	g.changed = make(chan struct{})
}

// Mode returns the mode.
func (g *Gate) Mode() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.mode
}

// Pass waits while the gate holds or drops. It reports whether the message arrives, and whether the gate
// has stood in its way meanwhile, so that nobody waits for a response any more.
func (g *Gate) Pass() (arrives, late bool) {
	for {
		g.mu.Lock()
		mode, changed := g.mode, g.changed
		g.mu.Unlock()
		switch mode {
		case "drop":
			return false, true
		case "hold":
			late = true
			<-changed
		default:
			return true, late
		}
	}
}

// NewWorld returns a deployment of three controllers that don't run yet.
func NewWorld(folder, program string, trouble bool) *World {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	must(err)
	w := &World{began: time.Now(), record: f, program: program, Trouble: trouble,
		Jobs: map[protocol.JobID]*Job{}, used: map[string]float64{},
		Workers:  WorkerSettings{2.5, 16, 40, 5, 36},
		Teams:    []map[string]any{{"name": "evaluare", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}},
		StateCfg: map[string]any{"rps": 100.0, "write_rps": 30.0, "value_kb": 32.0, "txn_ops": 12},
		ListLagS: 10,
	}
	w.folder, err = os.MkdirTemp("", "review")
	must(err)
	w.Store = newStore(w)
	w.Cloud = newCloud(w)
	zones := []string{"somes", "mures", "somes"}
	for i := range 3 {
		n := &Node{w: w, Name: fmt.Sprintf("worker-%d", i), Zone: zones[i], Bind: freeAddr(), Internal: freeAddr(),
			StoreGate: NewGate(), CloudGate: NewGate(), WorkerGate: NewGate(),
			PeerGate: map[string]*Gate{}, peerAddr: map[string]string{}}
		n.storeAddr = serveHTTP(w.Store.handler(n))
		n.cloudAddr = serveHTTP(w.Cloud.handler(n))
		w.Nodes = append(w.Nodes, n)
	}
	for _, n := range w.Nodes {
		for _, o := range w.Nodes {
			if o != n {
				n.PeerGate[o.Name] = NewGate()
				n.peerAddr[o.Name] = n.proxyTo(o)
			}
		}
	}
	return w
}

// proxyTo serves a proxy for requests from one controller to another.
func (n *Node) proxyTo(o *Node) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must(err)
	gate := n.PeerGate[o.Name]
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if gate.Mode() == "refuse" {
					return
				}
				arrives, _ := gate.Pass()
				if !arrives {
					time.Sleep(5 * time.Second)
					return
				}
				s, err := net.Dial("tcp4", o.Internal)
				if err != nil {
					return
				}
				defer s.Close()
				go func() { _, _ = copyConn(s, c) }()
				_, _ = copyConn(c, s)
			}()
		}
	}()
	return l.Addr().String()
}

func copyConn(dst, src net.Conn) (int64, error) {
	buffer := make([]byte, 32<<10)
	total := int64(0)
	for {
		k, err := src.Read(buffer)
		if k > 0 {
			if _, err := dst.Write(buffer[:k]); err != nil {
				return total, err
			}
			total += int64(k)
		}
		if err != nil {
			return total, err
		}
	}
}

// Log writes one line to the record.
func (w *World) Log(format string, args ...any) {
	w.rec.Lock()
	defer w.rec.Unlock()
	fmt.Fprintf(w.record, "%8.3f ", time.Since(w.began).Seconds())
	fmt.Fprintf(w.record, format, args...)
	fmt.Fprintln(w.record)
}

// Break records that a rule was broken.
func (w *World) Break(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	w.Log("BROKEN %s", text)
	w.Broken = append(w.Broken, text)
}

// Do runs a function with exclusive access to the stand-ins' state.
func (w *World) Do(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

// writeSettings writes a controller's settings file.
func (n *Node) writeSettings() {
	w := n.w
	var known []map[string]any
	for _, o := range w.Nodes {
		if o != n {
			known = append(known, map[string]any{"node": o.Name, "domain": o.Zone, "peer_addr": n.peerAddr[o.Name]})
		}
	}
	s := map[string]any{
		"node": n.Name, "domain": n.Zone, "bind": n.Bind, "internal_addr": n.Internal, "known": known,
		"outside": map[string]any{"cloud": n.cloudAddr, "state": n.storeAddr},
		"deployment": map[string]any{
			"initial_size": 3, "zones": []string{"mures", "somes"}, "teams": w.Teams,
			"objectives": []map[string]any{
				{"kind": "wait", "class": "revaluare", "within_s": 5.0, "share": 0.85},
				{"kind": "finished", "class": "extrase", "within_s": 100.0, "share": 0.9},
			},
			"workers": map[string]any{"report_s": w.Workers.ReportS, "lease_s": w.Workers.LeaseS,
				"gang_wait_s": w.Workers.GangWaitS, "gang_peer_s": w.Workers.GangPeerS, "cancel_s": w.Workers.CancelS},
			"state": w.StateCfg, "cloud": map[string]any{"rps": 8.0, "list_lag_s": w.ListLagS},
			"machine_limits": map[string]any{"cpu": 0.096, "memory_mb": 179.0, "max_sockets": 1800},
			"clock_error_ms": 250.0,
		},
	}
	raw, err := json.MarshalIndent(s, "", " ")
	must(err)
	n.settings = filepath.Join(w.folder, n.Name+".json")
	must(os.WriteFile(n.settings, raw, 0o600))
}

// Start starts the controller's process.
func (n *Node) Start() {
	n.writeSettings()
	n.starts++
	logFile, err := os.OpenFile(filepath.Join(n.w.folder, n.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	words := append(strings.Fields(n.w.program), n.settings)
	cmd := exec.Command(words[0], words[1:]...)
	cmd.Stderr, cmd.Stdout = logFile, logFile
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	must(cmd.Start())
	n.cmd, n.wanted = cmd, true
	exited := make(chan struct{})
	n.exited = exited
	n.w.Log("controller %s started, process %d", n.Name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		logFile.Close()
		if n.wanted && n.cmd == cmd {
			n.w.Do(func() { n.w.Break("crash", "controller %s ended by itself: %v", n.Name, err) })
		}
		close(exited)
	}()
}

// Kill ends the controller's process.
func (n *Node) Kill() {
	n.wanted = false
	n.w.Log("controller %s killed", n.Name)
	_ = n.cmd.Process.Kill()
	<-n.exited
}

// Signal sends a signal to the controller's process.
func (n *Node) Signal(s syscall.Signal) {
	n.w.Log("controller %s gets signal %v", n.Name, s)
	_ = n.cmd.Process.Signal(s)
}

// End ends all processes and removes the temporary folder.
func (w *World) End() {
	for _, n := range w.Nodes {
		if n.cmd != nil {
			n.wanted = false
			_ = n.cmd.Process.Kill()
			<-n.exited
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.folder)
	} else {
		fmt.Println(w.folder)
	}
	w.record.Close()
}

// StartAll starts all controllers, and a probe of their health.
func (w *World) StartAll() {
	for _, n := range w.Nodes {
		n.Start()
	}
	go w.probeHealth()
}

// Leader returns the controller that holds the leader's key, nil if none does.
func (w *World) Leader() *Node {
	w.mu.Lock()
	defer w.mu.Unlock()
	name := w.Store.leader()
	for _, n := range w.Nodes {
		if n.Name == name {
			return n
		}
	}
	return nil
}

// AwaitLeader waits until a controller leads other than the given one.
func (w *World) AwaitLeader(other *Node, limit time.Duration) *Node {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if l := w.Leader(); l != nil && l != other {
			return l
		}
	}
	return nil
}

// Until waits until a condition holds, at most for the given time, and reports whether it does.
func (w *World) Until(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		ok := false
		w.Do(func() { ok = condition() })
		if ok {
			return true
		}
	}
	return false
}

// host is this process's own loopback address, so that no other process takes a port while its owner is
// restarted.
var host = fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()>>16&63, os.Getpid()>>8&255, 1+os.Getpid()&127)

func freeAddr() string {
	l, err := net.Listen("tcp4", host+":0")
	must(err)
	defer l.Close()
	return l.Addr().String()
}

func must(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "stand-ins:", err)
		os.Exit(2)
	}
}
