package main

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"postpoint/internal/protocol"
)

// Machine is a machine with its worker.
type Machine struct {
	w           *World
	Name        protocol.MachineName
	addr        string
	listener    net.Listener
	server      *http.Server
	Type, Zone  string
	Spot        bool
	rented      time.Time
	up, ended   bool
	incarnation protocol.Incarnation
	counter     int64
	epoch       protocol.Epoch
	epochSent   time.Time
	tasks       []*Task
	stuck       []*Task // tasks that a hanging machine should have killed, but can't
	node        int
	leaseStart  time.Time
	recallAt    time.Time
	changed     chan struct{}
	lastSent    time.Time
	images      map[string]time.Time // when an image is there
	// Hung: nothing runs. Cut: the network is gone.
	Hung    bool
	resumed chan struct{}
	Net     *Gate
	// OnReport, if set, changes the report that is sent.
	OnReport func(h *protocol.Heartbeat)
	// Reports counts answered reports.
	Reports, Refused int
	// Orders counts the commands that were executed, TooLarge the bodies above the limit.
	Orders, TooLarge int
}

// Task is an attempt of a task on a machine.
type Task struct {
	m       *Machine
	job     *Job
	id      protocol.JobID
	number  int
	attempt protocol.Attempt
	status  string
	cause   string
	saved   bool
	on      bool // has its image and hasn't ended
	timer   *time.Timer
}

func newMachine(w *World, name protocol.MachineName, p Pool) *Machine {
	return &Machine{w: w, Name: name, Type: p.Type, Zone: p.Zone, Spot: p.Spot, rented: time.Now(),
		changed: make(chan struct{}, 1), images: map[string]time.Time{}, Net: NewGate(),
		resumed: make(chan struct{}), addr: freeAddr()}
}

// boot makes the worker come up after a delay.
func (m *Machine) boot(after time.Duration) {
	time.AfterFunc(after, func() { m.w.Do(m.start) })
}

func (m *Machine) start() {
	if m.ended || m.up {
		return
	}
	l, err := net.Listen("tcp4", m.addr)
	must(err)
	m.up, m.incarnation, m.leaseStart, m.listener = true, 1, time.Now(), l
	m.node = rand.IntN(len(m.w.Nodes))
	m.w.Log("machine %s is up: %s %s spot %v at %s", m.Name, m.Type, m.Zone, m.Spot, m.addr)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /commands", m.serveCommands)
	mux.HandleFunc("GET /show", func(w http.ResponseWriter, r *http.Request) {
		var h protocol.Heartbeat
		m.w.Do(func() { h = m.report() })
		answer(w, 200, h)
	})
	m.server = &http.Server{Handler: mux}
	go func() { _ = m.server.Serve(l) }()
	go m.reportLoop()
	go m.leaseLoop()
}

func (m *Machine) gone() {
	m.ended, m.up, m.stuck = true, false, nil
	m.killAll()
	if m.server != nil {
		s := m.server
		go func() { _ = s.Close() }()
	}
}

// SetHung makes the machine hang or go on.
func (m *Machine) SetHung(on bool) {
	m.w.Log("machine %s hangs: %v", m.Name, on)
	m.Hung = on
	if !on {
		m.stuck = nil
		close(m.resumed)
		m.resumed = make(chan struct{})
	}
}

// awake waits while the machine hangs. The caller doesn't hold the world's lock.
func (m *Machine) awake() {
	for {
		var hung bool
		var resumed chan struct{}
		m.w.Do(func() { hung, resumed = m.Hung, m.resumed })
		if !hung {
			return
		}
		<-resumed
	}
}

func (m *Machine) lease() time.Duration {
	return time.Duration(m.w.Workers.LeaseS * float64(time.Second))
}

func (m *Machine) leaseLoop() {
	for {
		time.Sleep(50 * time.Millisecond)
		ended := false
		m.w.Do(func() {
			ended = m.ended
			if !ended && time.Since(m.leaseStart) > m.lease() {
				m.endSession()
			}
		})
		if ended {
			return
		}
	}
}

// endSession ends the session whose lease has run out. A machine that hangs can't kill its tasks: they count
// no longer as running, but they stay on it until it goes on or is gone.
func (m *Machine) endSession() {
	if len(m.tasks) > 0 {
		m.w.Log("machine %s: lease of session %d ended with %d tasks, hangs %v", m.Name, m.incarnation, len(m.tasks),
			m.Hung)
	}
	if m.Hung {
		for _, t := range m.tasks {
			if t.on {
				m.stuck = append(m.stuck, t)
			}
		}
	}
	m.killAll()
	m.incarnation++
	m.leaseStart = time.Now()
}

func (m *Machine) killAll() {
	for _, t := range m.tasks {
		t.leave()
		t.status = protocol.TaskExited
	}
	m.tasks = nil
	m.giveUpFetches()
}

func (m *Machine) report() protocol.Heartbeat {
	m.counter++
	h := protocol.Heartbeat{Machine: m.Name, Address: m.addr, Type: m.Type, Zone: m.Zone, Spot: m.Spot,
		Incarnation: m.incarnation, Counter: m.counter, Epoch: m.epoch, Tasks: []protocol.TaskStatus{}}
	if !m.recallAt.IsZero() {
		s := time.Until(m.recallAt).Seconds()
		h.ReclaimNoticeS = &s
	}
	for _, t := range m.tasks {
		h.Tasks = append(h.Tasks, protocol.TaskStatus{Task: protocol.TaskName(t.id, t.number), Attempt: t.attempt,
			Status: t.status, Cause: t.cause, Saved: t.saved})
	}
	if m.OnReport != nil {
		m.OnReport(&h)
	}
	return h
}

func (m *Machine) change() {
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

func (m *Machine) reportLoop() {
	transport := &http.Transport{MaxConnsPerHost: 1, MaxIdleConnsPerHost: 1, DisableCompression: true}
	client := &http.Client{Timeout: 4 * time.Second, Transport: transport}
	for {
		m.awake()
		var h protocol.Heartbeat
		var n *Node
		ended := false
		m.w.Do(func() {
			ended = m.ended
			if !ended {
				h, n = m.report(), m.w.Nodes[m.node]
			}
		})
		if ended {
			return
		}
		sent := time.Now()
		pause := m.send(client, n, h, sent)
		if pause > 0 {
			transport.CloseIdleConnections()
			time.Sleep(pause)
			continue
		}
		s := m.w.Workers.ReportS * (0.75 + 0.5*rand.Float64())
		timer := time.NewTimer(time.Duration(s * float64(time.Second)))
		select {
		case <-timer.C:
		case <-m.changed:
			time.Sleep(time.Until(sent.Add(500 * time.Millisecond)))
		}
		timer.Stop()
	}
}

// send sends a report and handles the response. It returns the pause before the report to another node.
func (m *Machine) send(client *http.Client, n *Node, h protocol.Heartbeat, sent time.Time) time.Duration {
	next := func() { m.w.Do(func() { m.node = (m.node + 1) % len(m.w.Nodes) }) }
	body := encodeReport(h)
	deliver := func() (int, []byte) {
		r, err := client.Post("http://"+n.Bind+"/agent/beat", "application/msgpack", bytes.NewReader(body))
		if err != nil {
			return 0, nil
		}
		defer r.Body.Close()
		raw, err := io.ReadAll(r.Body)
		if err != nil {
			return 0, nil
		}
		return r.StatusCode, raw
	}
	for _, g := range []*Gate{m.Net, n.WorkerGate} {
		switch g.Mode() {
		case "drop":
			time.Sleep(4 * time.Second)
			next()
			return time.Second
		case "hold":
			go func() {
				if arrives, _ := g.Pass(); arrives {
					m.w.Log("late report of %s to %s, counter %d", m.Name, n.Name, h.Counter)
					deliver()
				}
			}()
			time.Sleep(4 * time.Second)
			next()
			return time.Second
		}
	}
	status, raw := deliver()
	m.awake()
	if m.Net.Mode() != "" || n.WorkerGate.Mode() != "" {
		status = 0
	}
	if time.Since(sent) > 4*time.Second {
		status = 0
	}
	switch status {
	case 200:
		var a protocol.HeartbeatResponse
		if protocol.JSONSize(raw) > maxBody || protocol.Decode(raw, &a) != nil {
			m.w.Do(func() { m.TooLarge++ })
			m.w.Log("machine %s drops a response of %d bytes as JSON, above the limit of responses", m.Name,
				protocol.JSONSize(raw))
			next()
			return time.Second
		}
		m.w.Do(func() {
			if m.ended || h.Incarnation != m.incarnation || a.Epoch < m.epoch {
				return
			}
			m.Reports++
			m.adopt(a.Epoch)
			m.leaseStart = sent
			m.execute(n.Name+" (200)", a.Commands)
		})
		return 0
	case 421:
		var d protocol.Redirect
		_ = protocol.Decode(raw, &d)
		found := -1
		for i, o := range m.w.Nodes {
			if o.Name == d.Node && o != n {
				found = i
			}
		}
		if found >= 0 {
			m.w.Do(func() { m.node = found })
			return 50 * time.Millisecond
		}
		next()
		return time.Second
	default:
		m.w.Do(func() {
			m.Refused++
			if status == 400 {
				m.w.Log("machine %s: report of %d tasks, %d bytes as JSON, answered %d", m.Name, len(h.Tasks),
					protocol.JSONSize(body), status)
			}
		})
		next()
		return time.Second
	}
}

func (m *Machine) adopt(e protocol.Epoch) {
	if e > m.epoch {
		m.epoch = e
		if time.Since(m.epochSent) > m.lease()/2 {
			m.epochSent = time.Now()
			m.change()
		}
	}
}

func (m *Machine) serveCommands(w http.ResponseWriter, r *http.Request) {
	var c protocol.CommandRequest
	raw, ok := read(r, &c)
	if !ok {
		m.w.Do(func() { m.TooLarge++ })
		m.w.Log("machine %s refuses commands of %d bytes as JSON, above the limit of request bodies", m.Name,
			protocol.JSONSize(raw))
		answer(w, 400, map[string]any{"error": "too large"})
		return
	}
	var gates []*Gate
	m.w.Do(func() {
		gates = []*Gate{m.Net}
		if c.Epoch == m.w.Store.Epoch() {
			for _, n := range m.w.Nodes {
				if n.Name == m.w.Store.leader() {
					gates = append(gates, n.WorkerGate)
				}
			}
		}
	})
	late := false
	for _, g := range gates {
		arrives, held := g.Pass()
		if !arrives {
			silence(r)
		}
		late = late || held
	}
	m.awake()
	var status int
	var h protocol.Heartbeat
	m.w.Do(func() {
		if m.ended {
			return
		}
		status = 200
		if c.Epoch < m.epoch || c.Incarnation != m.incarnation {
			status = 409
			m.w.Log("machine %s refuses commands of token %d, session %d", m.Name, c.Epoch, c.Incarnation)
		} else {
			m.adopt(c.Epoch)
			how := "direct"
			if late {
				how = "direct, late"
			}
			m.execute(how, c.Commands)
		}
		h = m.report()
	})
	if status == 0 {
		silence(r)
	}
	answer(w, status, leanReport(h))
}

// leanTask is a task in a report without the fields that say nothing.
type leanTask struct {
	Task    string           `msgpack:"Leg"`
	Attempt protocol.Attempt `msgpack:"Try"`
	Status  string           `msgpack:"Status"`
	Cause   string           `msgpack:"Cause,omitempty"`
	Saved   bool             `msgpack:"Saved,omitempty"`
}

// lean is a report with such tasks.
type lean struct {
	Machine     protocol.MachineName `msgpack:"Host"`
	Address     string               `msgpack:"Address"`
	Type        string               `msgpack:"Fleet"`
	Zone        string               `msgpack:"Hall"`
	Spot        bool                 `msgpack:"Loaners"`
	Incarnation protocol.Incarnation `msgpack:"Shift"`
	Counter     int64                `msgpack:"Counter"`
	Epoch       protocol.Epoch       `msgpack:"Epoch"`
	Recall      *float64             `msgpack:"RecallS"`
	Tasks       []leanTask           `msgpack:"Legs"`
}

func leanReport(h protocol.Heartbeat) lean {
	l := lean{h.Machine, h.Address, h.Type, h.Zone, h.Spot, h.Incarnation, h.Counter, h.Epoch, h.ReclaimNoticeS,
		make([]leanTask, len(h.Tasks))}
	for i, t := range h.Tasks {
		l.Tasks[i] = leanTask(t)
	}
	return l
}

func encodeReport(h protocol.Heartbeat) []byte { return protocol.Encode(leanReport(h)) }

func (m *Machine) execute(from string, commands []protocol.Command) {
	for _, c := range commands {
		m.Orders++
		m.w.Log("order to %s from %s: %s %s try %d leave %v", m.Name, from, c.Verb, c.Task, c.Attempt, c.GraceS)
		id, number, ok := protocol.ParseTask(c.Task)
		if !ok {
			continue
		}
		t := m.find(id, number, c.Attempt)
		switch c.Verb {
		case protocol.VerbStart:
			if t == nil {
				m.startTask(id, number, c.Attempt)
			}
		case protocol.VerbStop:
			if t != nil && t.status != protocol.TaskExited {
				t.stop(c.GraceS)
			}
		case protocol.VerbForget:
			if t != nil && t.status == protocol.TaskExited {
				for i := range m.tasks {
					if m.tasks[i] == t {
						m.tasks = append(m.tasks[:i:i], m.tasks[i+1:]...)
						break
					}
				}
			}
		}
	}
}

func (m *Machine) find(id protocol.JobID, number int, attempt protocol.Attempt) *Task {
	for _, t := range m.tasks {
		if t.id == id && t.number == number && t.attempt == attempt {
			return t
		}
	}
	return nil
}

func (m *Machine) startTask(id protocol.JobID, number int, attempt protocol.Attempt) {
	j := m.w.Jobs[id]
	t := &Task{m: m, job: j, id: id, number: number, attempt: attempt, status: protocol.TaskExited}
	m.tasks = append(m.tasks, t)
	m.change()
	if j == nil || number >= j.Spec.Tasks {
		t.cause = protocol.CauseNoSuchTask
		return
	}
	var cpus, gpus, memory float64
	for _, o := range m.tasks {
		if o != t && o.status != protocol.TaskExited {
			cpus, gpus, memory = cpus+o.job.Spec.Cpus, gpus+o.job.Spec.Gpus, memory+o.job.Spec.MemoryGB
			if o.id == id && o.number == number {
				t.cause = protocol.CauseOtherAttempt
				return
			}
		}
	}
	for _, mt := range m.w.Cloud.Types {
		if mt.Name == m.Type && (cpus+j.Spec.Cpus > mt.Cpus+1e-6 || gpus+j.Spec.Gpus > mt.Gpus+1e-6 ||
			memory+j.Spec.MemoryGB > mt.MemoryGB+1e-6) {
			t.cause = protocol.CauseNoCapacity
			return
		}
	}
	t.status = protocol.TaskFetching
	there, fetched := m.images[j.Spec.Image]
	if !fetched {
		there = time.Now().Add(time.Duration(j.FetchS * float64(time.Second)))
		m.images[j.Spec.Image] = there
	}
	t.after(time.Until(there), func() {
		if t.status == protocol.TaskFetching {
			t.fetched()
		}
	})
}

// after runs a function later, unless the task has gone by then.
func (t *Task) after(d time.Duration, f func()) {
	session := t.m.incarnation
	t.timer = time.AfterFunc(max(d, 0), func() {
		t.m.awake()
		t.m.w.Do(func() {
			if !t.m.ended && t.m.incarnation == session {
				f()
			}
		})
	})
}

func (t *Task) fetched() {
	t.on = true
	t.m.change()
	t.m.w.taskOn(t)
	switch {
	case t.job.Fails != nil && t.job.Fails(t):
		t.exit(protocol.CauseError)
	case t.job.done[t.number]:
		t.exit(protocol.CauseDone)
	case t.job.Spec.IsGang():
		t.status = protocol.TaskWaiting
		t.after(time.Duration(t.m.w.Workers.GangWaitS*float64(time.Second)), func() {
			if t.status == protocol.TaskWaiting {
				t.job.alone = append(t.job.alone, t.attempt)
				t.exit(protocol.CauseGangIncomplete)
			}
		})
		t.job.startGang(t.attempt)
	default:
		t.run()
	}
}

func (t *Task) run() {
	t.status = protocol.TaskRunning
	t.m.change()
	t.after(t.job.runTime(t.number), func() {
		if t.status != protocol.TaskRunning || !t.on {
			return
		}
		if t.job.Spec.IsGang() {
			t.job.completeGang(t.attempt)
		} else {
			t.exit(protocol.CauseDone)
		}
	})
}

func (t *Task) stop(grace float64) {
	s := &t.job.Spec
	if t.status == protocol.TaskRunning && s.CheckpointS > 0 && grace >= s.SaveS {
		t.status = protocol.TaskSaving
		t.m.change()
		t.after(time.Duration(s.SaveS*float64(time.Second)), func() {
			if t.status == protocol.TaskSaving {
				t.saved = true
				t.exit(protocol.CauseStopped)
			}
		})
		return
	}
	if t.status == protocol.TaskSaving && grace > 0 {
		return
	}
	t.exit(protocol.CauseStopped)
}

func (t *Task) exit(cause string) {
	t.status, t.cause = protocol.TaskExited, cause
	t.m.giveUpFetches()
	if cause == protocol.CauseDone {
		t.job.done[t.number] = true
	}
	t.leave()
	t.m.change()
}

// giveUpFetches gives up the fetches of images for which no task waits any more.
func (m *Machine) giveUpFetches() {
	for image, there := range m.images {
		wanted := time.Now().After(there)
		for _, t := range m.tasks {
			wanted = wanted || t.status == protocol.TaskFetching && t.job.Spec.Image == image
		}
		if !wanted {
			m.w.Log("machine %s gives the fetch of %s up, %.0f s before its end", m.Name, image, time.Until(there).Seconds())
			delete(m.images, image)
		}
	}
}

func (t *Task) leave() {
	if t.on {
		t.on = false
		t.m.w.taskOff(t)
		if t.job.Spec.IsGang() && !t.job.done[t.number] {
			j, attempt := t.job, t.attempt
			time.AfterFunc(time.Duration(t.m.w.Workers.GangPeerS*float64(time.Second)), func() {
				t.m.w.Do(func() { j.breakGang(attempt) })
			})
		}
	}
}
