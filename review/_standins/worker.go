package main

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"postpoint/internal/protocol"
)

// task is an attempt of a task on a worker.
type task struct {
	protocol.TaskStatus
	job   *job
	index int
	// onMachine is set from the moment at which the task has its image until it has exited.
	onMachine bool
}

// worker is the worker of one machine.
type worker struct {
	d       *deployment
	machine protocol.ListedMachine
	typ     protocol.MachineType
	address string
	server  *http.Server
	ctx     context.Context
	cancel  context.CancelFunc
	client  *http.Client
	changes chan struct{}

	mu      sync.Mutex
	up      bool
	shift   int64
	counter int64
	epoch   int64
	tasks   []*task
	// leaseFrom is when the last answered report was sent, or when the session began.
	leaseFrom time.Time
	node      int
	// hung is set while the machine hangs: it does nothing until it goes on.
	hung bool
}

// newWorker returns the worker of a machine that boots. Its address refuses connections until it is up.
func newWorker(d *deployment, m protocol.ListedMachine, typ protocol.MachineType) (*worker, error) {
	l, err := listen()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	w := &worker{d: d, machine: m, typ: typ, address: l.Addr().String(), ctx: ctx, cancel: cancel,
		changes: make(chan struct{}, 1), shift: 1}
	w.client = newWorkerClient()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /commands", w.commands)
	mux.HandleFunc("GET /show", func(rw http.ResponseWriter, _ *http.Request) {
		w.mu.Lock()
		defer w.mu.Unlock()
		answer(rw, http.StatusOK, w.report())
	})
	w.server = &http.Server{Handler: mux}
	go func(l net.Listener) { _ = w.server.Serve(l) }(l)
	return w, nil
}

// answerTimeout is how long a worker waits for the answer to a report.
const answerTimeout = 4 * time.Second

func newWorkerClient() *http.Client {
	return &http.Client{Timeout: answerTimeout,
		Transport: &http.Transport{MaxConnsPerHost: 1, MaxIdleConnsPerHost: 1}}
}

// run reports until the machine is gone.
func (w *worker) run() {
	w.mu.Lock()
	w.up, w.leaseFrom, w.node = true, time.Now(), rand.IntN(len(w.d.nodes))
	w.mu.Unlock()
	go w.watchLease()
	for w.ctx.Err() == nil {
		sent := time.Now()
		wait := w.sendReport()
		interval := time.Duration(w.d.workers.HeartbeatS * (0.75 + 0.5*rand.Float64()) * float64(time.Second))
		select {
		case <-w.ctx.Done():
			return
		case <-time.After(wait):
		}
		if wait > 0 {
			continue // to the next node at once
		}
		select {
		case <-w.ctx.Done():
		case <-time.After(time.Until(sent.Add(interval))):
		case <-w.changes:
			time.Sleep(time.Until(sent.Add(500 * time.Millisecond)))
		}
	}
}

// sendReport sends one report and returns how long to wait before the next one at another node, 0 if the
// worker stays with its node.
func (w *worker) sendReport() time.Duration {
	w.mu.Lock()
	if w.hung {
		w.mu.Unlock()
		time.Sleep(50 * time.Millisecond)
		return time.Millisecond
	}
	w.counter++
	report, shift, sent := w.report(), w.shift, time.Now()
	node := w.d.nodes[w.node]
	w.mu.Unlock()
	status, raw := call(w.client, http.MethodPost, "http://"+node.bind+"/agent/beat", protocol.Encode(report))
	w.waitHung()
	w.mu.Lock()
	defer w.mu.Unlock()
	if time.Since(sent) > answerTimeout {
		status = 0
	}
	switch status {
	case http.StatusOK:
		var response protocol.HeartbeatResponse
		if protocol.Decode(raw, &response) != nil || w.shift != shift || int64(response.Epoch) < w.epoch {
			return 0
		}
		w.leaseFrom = sent
		w.see(int64(response.Epoch))
		w.execute(response.Commands, "answer of "+node.name)
		return 0
	case http.StatusMisdirectedRequest:
		var redirect protocol.Redirect
		if protocol.Decode(raw, &redirect) == nil {
			for i, other := range w.d.nodes {
				if other.name == redirect.Node && i != w.node {
					w.node = i
					w.client.CloseIdleConnections()
					return time.Duration(1+rand.IntN(500)) * time.Millisecond
				}
			}
		}
	}
	w.node = (w.node + 1) % len(w.d.nodes)
	w.client.CloseIdleConnections()
	return time.Second
}

// see notes a token. The caller holds the lock.
func (w *worker) see(epoch int64) {
	if epoch > w.epoch {
		w.epoch = epoch
		w.changed()
	}
}

func (w *worker) changed() {
	select {
	case w.changes <- struct{}{}:
	default:
	}
}

// report is a worker's report in its shortest form: what may be left out is left out.
type report struct {
	Host    string       `msgpack:"Host"`
	Address string       `msgpack:"Address"`
	Fleet   string       `msgpack:"Fleet"`
	Hall    string       `msgpack:"Hall"`
	Loaners bool         `msgpack:"Loaners"`
	Shift   int64        `msgpack:"Shift"`
	Counter int64        `msgpack:"Counter"`
	Epoch   int64        `msgpack:"Epoch"`
	Legs    []reportTask `msgpack:"Legs"`
}

// reportTask is a task in a report.
type reportTask struct {
	Leg    string `msgpack:"Leg"`
	Try    int64  `msgpack:"Try"`
	Status string `msgpack:"Status"`
	Cause  string `msgpack:"Cause,omitempty"`
}

// report returns the worker's report. The caller holds the lock.
func (w *worker) report() report {
	tasks := []reportTask{}
	for _, t := range w.tasks {
		tasks = append(tasks, reportTask{Leg: t.Task, Try: int64(t.Attempt), Status: t.Status, Cause: t.Cause})
	}
	return report{Host: string(w.machine.Name), Address: w.address, Fleet: w.machine.Type, Hall: w.machine.Zone,
		Loaners: w.machine.Spot, Shift: w.shift, Counter: w.counter, Epoch: w.epoch, Legs: tasks}
}

// commands serves direct commands.
func (w *worker) commands(rw http.ResponseWriter, r *http.Request) {
	var q protocol.CommandRequest
	if !readMessage(rw, r, &q) {
		return
	}
	w.waitHung()
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up {
		answer(rw, http.StatusServiceUnavailable, map[string]any{})
		return
	}
	w.counter++
	if int64(q.Epoch) < w.epoch || int64(q.Incarnation) != w.shift {
		answer(rw, http.StatusConflict, w.report())
		return
	}
	w.see(int64(q.Epoch))
	w.execute(q.Commands, "command")
	answer(rw, http.StatusOK, w.report())
}

// execute executes commands in order. The caller holds the lock.
func (w *worker) execute(commands []protocol.Command, source string) {
	for _, c := range commands {
		w.d.rec.note("%s: %s %s try %d (%s, token %d)", w.machine.Name, c.Verb, c.Task, c.Attempt, source, w.epoch)
		switch c.Verb {
		case protocol.VerbStart:
			w.start(c)
		case protocol.VerbStop:
			if t := w.find(c); t != nil && t.Status != protocol.TaskExited {
				w.exit(t, protocol.CauseStopped)
			}
		case protocol.VerbForget:
			w.forget(c)
		}
	}
}

// find returns the attempt that a command names, nil if the worker doesn't know it.
func (w *worker) find(c protocol.Command) *task {
	for _, t := range w.tasks {
		if t.Task == c.Task && t.Attempt == c.Attempt {
			return t
		}
	}
	return nil
}

func (w *worker) forget(c protocol.Command) {
	for i, t := range w.tasks {
		if t.Task == c.Task && t.Attempt == c.Attempt && t.Status == protocol.TaskExited {
			w.tasks = append(w.tasks[:i:i], w.tasks[i+1:]...)
			w.changed()
			return
		}
	}
}

// start executes a start command. The caller holds the lock.
func (w *worker) start(c protocol.Command) {
	if w.find(c) != nil {
		return
	}
	id, index, _ := protocol.ParseTask(c.Task)
	t := &task{TaskStatus: protocol.TaskStatus{Task: c.Task, Attempt: c.Attempt, Status: protocol.TaskFetching},
		job: w.d.job(id), index: index}
	busy := false
	for _, other := range w.tasks {
		busy = busy || other.Task == c.Task && other.Status != protocol.TaskExited
	}
	w.tasks = append(w.tasks, t)
	w.changed()
	switch {
	case t.job == nil || index >= t.job.spec.Tasks:
		w.exit(t, protocol.CauseNoSuchTask)
	case busy:
		w.exit(t, protocol.CauseOtherAttempt)
	case !w.fits():
		w.exit(t, protocol.CauseNoCapacity)
	default:
		w.after(t, w.d.fetch, func() { w.begin(t) })
	}
}

// fits reports whether the tasks on the machine fit into it.
func (w *worker) fits() bool {
	var cpus, gpus, memory float64
	for _, t := range w.tasks {
		if t.Status != protocol.TaskExited && t.job != nil {
			cpus, gpus, memory = cpus+t.job.spec.Cpus, gpus+t.job.spec.Gpus, memory+t.job.spec.MemoryGB
		}
	}
	const tolerance = 1e-6
	return cpus <= w.typ.Cpus+tolerance && gpus <= w.typ.Gpus+tolerance && memory <= w.typ.MemoryGB+tolerance
}

// after runs a function under the lock later, if the task is still in the same state by then.
func (w *worker) after(t *task, delay time.Duration, do func()) {
	status := t.Status
	time.AfterFunc(delay, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if t.Status == status && w.ctx.Err() == nil {
			if w.hung {
				w.after(t, 200*time.Millisecond, do)
				return
			}
			if !w.leaseExpired() {
				do()
			}
		}
	})
}

// waitHung waits until the machine doesn't hang.
func (w *worker) waitHung() {
	for {
		w.mu.Lock()
		h := w.hung
		w.mu.Unlock()
		if !h || w.ctx.Err() != nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// set runs a function under the lock.
func (w *worker) set(f func()) {
	w.mu.Lock()
	f()
	w.mu.Unlock()
}

// begin runs a task that has its image.
func (w *worker) begin(t *task) {
	t.Status, t.onMachine = protocol.TaskRunning, true
	w.d.history.begin(t.Task, int64(t.Attempt), string(w.machine.Name))
	w.changed()
	w.after(t, t.job.runTime, func() { w.exit(t, protocol.CauseDone) })
}

// exit ends a task. The caller holds the lock.
func (w *worker) exit(t *task, cause string) {
	w.leave(t, cause)
	t.Status, t.Cause = protocol.TaskExited, cause
	w.changed()
}

// leave notes that a task is not on the machine any more.
func (w *worker) leave(t *task, cause string) {
	if t.onMachine {
		t.onMachine = false
		w.d.history.end(t.Task, int64(t.Attempt), string(w.machine.Name), cause)
	}
}

// leaseExpired reports whether the lease has expired. The caller holds the lock.
func (w *worker) leaseExpired() bool {
	return time.Since(w.leaseFrom) > time.Duration(w.d.workers.LeaseS*float64(time.Second))
}

// watchLease ends the session when the lease expires.
func (w *worker) watchLease() {
	for w.ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
		w.mu.Lock()
		if !w.hung && w.leaseExpired() && w.ctx.Err() == nil {
			w.killAll("lease expired")
			w.shift++
			w.leaseFrom = time.Now()
			w.d.rec.note("%s: lease expired, session %d begins", w.machine.Name, w.shift)
			w.changed()
		}
		w.mu.Unlock()
	}
}

// killAll kills and forgets all tasks. The caller holds the lock.
func (w *worker) killAll(cause string) {
	for _, t := range w.tasks {
		if t.Status != protocol.TaskExited {
			w.leave(t, cause)
			t.Status = protocol.TaskExited
		}
	}
	w.tasks = nil
}

// end removes the machine and everything on it.
func (w *worker) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancel()
	w.up = false
	w.killAll("machine gone")
	go func() { _ = w.server.Close() }()
}
