package testkit

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"postpoint/internal/clock"
	"postpoint/internal/intake"
	"postpoint/internal/protocol"
	"postpoint/internal/settings"
	"postpoint/internal/statestore"
)

// RealTime lets a world's simulated time follow real time.
type RealTime struct {
	World *World
	mu    sync.Mutex // of the world and everything in it
	began time.Time
}

// Run lets time pass until the context ends.
func (x *RealTime) Run(ctx context.Context) {
	x.began = time.Now().Add(-x.World.now.Duration())
	for ctx.Err() == nil {
		x.Do(func() { x.World.Run(clock.Micros(time.Since(x.began).Microseconds())) })
		time.Sleep(time.Millisecond)
	}
}

// Do runs something alone among all that happens in the world.
func (x *RealTime) Do(f func()) {
	x.mu.Lock()
	defer x.mu.Unlock()
	f()
}

// Loopback plays a deployment's stand-ins in real time and connects them, over real
// HTTP on the loopback interface, to controllers that run in processes of their own:
// nothing that these decide depends on a simulated clock alone, so that two runs differ.
type Loopback struct {
	Deployment *Deployment
	*RealTime

	node        *Node // what the outside systems take every controller for
	controllers []*Node
	users       http.Client
	// Reports, Polls and Submissions count what the controller has answered with 200,
	// Starts the start commands that reached workers.
	Reports, Polls, Submissions, Starts int
}

// remote is a controller in a process of its own, as workers and users reach it.
type remote struct {
	l        *Loopback
	base     string                  // of its address
	sessions map[string]*http.Client // by worker, a connection each
}

// loopbackTimeout is how long workers and users wait.
const loopbackTimeout = 4 * time.Second

// NewLoopback makes the stand-ins for controllers at the given addresses, by their names.
// Workers get addresses of their own in 127.1.0.0/16, all with the same port.
func NewLoopback(set *settings.Settings, types []protocol.MachineType, controllers []Controller, workerPort int) *Loopback {
	w := NewWorld(1)
	return newLoopback(NewDeployment(w, set, types, 0), &RealTime{World: w}, controllers, workerPort)
}

// Controller is where workers and users reach a controller.
type Controller struct{ Name, Address string }

// NewLoopbackCell makes the stand-ins of one more cell in a world. Its own controllers, if any,
// run nowhere but in processes of their own.
func NewLoopbackCell(x *RealTime, g *Group, name string, set *settings.Settings, types []protocol.MachineType, controllers []Controller, workerPort int) *Loopback {
	d := prepare(x.World, set, types, 0, false)
	d.group, d.name = g, name
	g.Cells = append(g.Cells, d)
	l := newLoopback(d, x, controllers, workerPort)
	d.Nodes = l.controllers
	return l
}

func newLoopback(d *Deployment, x *RealTime, controllers []Controller, workerPort int) *Loopback {
	d.State.Kept, d.State.Page = 10_000, 500
	d.Cloud.Reliable = true
	d.address = func(name string) string {
		n, _ := strconv.Atoi(name[len("m-"):])
		return fmt.Sprintf("127.1.%d.%d:%d", n/250, n%250+1, workerPort)
	}
	l := &Loopback{Deployment: d, RealTime: x}
	l.users = http.Client{Timeout: loopbackTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	l.node = l.stand(d.World, "", nil)
	for _, c := range controllers {
		l.controllers = append(l.controllers, l.stand(d.World, c.Name, &remote{l, "http://" + c.Address, map[string]*http.Client{}}))
	}
	return l
}

// stand is a node whose process is elsewhere.
func (l *Loopback) stand(w *World, name string, at *remote) *Node {
	n := &Node{Name: name, proc: w.process(), reports: at, requests: at}
	for _, link := range []*Link{&n.State, &n.Clouds, &n.Workers, &n.Peers} {
		link.w = w
	}
	return n
}

// WarmUp plays the deployment on the simulated clock, with controllers of its own in
// the same process, which then end.
func (l *Loopback) WarmUp(d clock.Micros) {
	l.Deployment.World.Run(l.Deployment.World.now + d)
	for _, n := range l.Deployment.Nodes {
		n.Crash()
	}
	for i := range l.Deployment.Nodes {
		l.Deployment.Nodes[i] = l.controllers[i%len(l.controllers)]
	}
}

// Heartbeat sends a worker's report to the controller.
func (c *remote) Heartbeat(r protocol.Report, reply func(status int, body any)) {
	session := c.sessions[r.Machine]
	if session == nil {
		session = &http.Client{Timeout: loopbackTimeout, Transport: &http.Transport{MaxConnsPerHost: 1, MaxIdleConnsPerHost: 1}}
		c.sessions[r.Machine] = session
	}
	l := c.l
	go func() {
		var answer protocol.HeartbeatAnswer
		var redirect protocol.Redirect
		status, raw := post(session, c.base+"/agent/beat", protocol.Encode(r))
		switch {
		case status == http.StatusOK && protocol.Decode(raw, &answer) == nil:
			l.Do(func() {
				l.Reports++
				l.countStarts(answer.Orders)
				reply(status, answer)
			})
		case status == http.StatusMisdirectedRequest && protocol.Decode(raw, &redirect) == nil:
			l.Do(func() { reply(status, redirect) })
		case status != 0:
			l.Do(func() { reply(http.StatusServiceUnavailable, protocol.Redirect{}) })
		}
	}()
}

func (l *Loopback) countStarts(orders []protocol.Order) {
	for _, o := range orders {
		if o.Verb == protocol.VerbStart {
			l.Starts++
		}
	}
}

// Handle sends a user's request to the controller.
func (c *remote) Handle(r intake.Request, reply func(intake.Answer)) {
	l := c.l
	go func() {
		var answer intake.Answer
		counter := new(int)
		switch r.Kind {
		case intake.Submit:
			counter = &l.Submissions
			answer.Status, answer.Body = post(&l.users, c.base+"/api/jobs", r.Body)
		case intake.Show:
			counter = &l.Polls
			answer.Status, answer.Body = get(&l.users, c.base+"/api/jobs/"+r.ID)
		case intake.Cancel:
			answer.Status, answer.Body = post(&l.users, c.base+"/api/jobs/"+r.ID+"/withdraw", nil)
		}
		l.Do(func() {
			if answer.Status == http.StatusOK || answer.Status == http.StatusCreated {
				*counter++
			}
			reply(answer)
		})
	}()
}

func post(c *http.Client, url string, body []byte) (int, []byte) {
	resp, err := c.Post(url, "application/msgpack", bytes.NewReader(body))
	return whole(resp, err)
}

func get(c *http.Client, url string) (int, []byte) {
	resp, err := c.Get(url)
	return whole(resp, err)
}

func whole(resp *http.Response, err error) (int, []byte) {
	if err != nil {
		return 0, nil // no answer
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, raw
}

// Serve answers as the state service, the cloud and the workers on the listeners given.
func (l *Loopback) Serve(state, cloud, workers net.Listener) {
	go http.Serve(state, l.stateService())
	go http.Serve(cloud, l.cloudService())
	go http.Serve(workers, l.workerService())
}

// serve decodes a request, lets it be carried out in the world and sends its answer.
func serve[Q any](l *Loopback, carryOut func(r *http.Request, q Q, answer func(status int, body any))) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var q Q
		raw, err := io.ReadAll(r.Body)
		if err == nil && len(raw) > 0 {
			err = protocol.Decode(raw, &q)
		}
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		done := make(chan func(), 1)
		l.Do(func() {
			carryOut(r, q, func(status int, body any) {
				encoded := protocol.Encode(body)
				done <- func() {
					w.WriteHeader(status)
					_, _ = w.Write(encoded)
				}
			})
		})
		(<-done)()
	}
}

type nothing struct{}

func (l *Loopback) stateService() http.Handler {
	store := l.Deployment.State.For(l.node.proc, &l.node.State)
	mux := http.NewServeMux()
	mux.Handle("GET /kv/{key...}", serve(l, func(r *http.Request, _ nothing, answer func(int, any)) {
		store.Get(r.PathValue("key"), func(x statestore.Reply[protocol.Item]) { answer(x.Status, x.Value) })
	}))
	mux.Handle("GET /kv", serve(l, func(r *http.Request, _ nothing, answer func(int, any)) {
		q := r.URL.Query()
		store.List(q.Get("Prefix"), q.Get("From"), func(x statestore.Reply[protocol.ItemList]) { answer(x.Status, x.Value) })
	}))
	mux.Handle("POST /multi", serve(l, func(_ *http.Request, t protocol.Txn, answer func(int, any)) {
		store.Commit(statestore.ForUser, t, func(x statestore.Reply[protocol.TxnAnswer]) { answer(x.Status, x.Value) })
	}))
	mux.Handle("GET /follow", serve(l, func(r *http.Request, _ nothing, answer func(int, any)) {
		q := r.URL.Query()
		from, _ := strconv.ParseInt(q.Get("From"), 10, 64)
		block, _ := strconv.ParseInt(q.Get("BlockMs"), 10, 64)
		store.Follow(q.Get("Prefix"), from, clock.Micros(block)*clock.Millisecond,
			func(x statestore.Reply[protocol.FollowAnswer]) { answer(x.Status, x.Value) })
	}))
	mux.Handle("POST /leases", serve(l, func(_ *http.Request, q protocol.LeaseRequest, answer func(int, any)) {
		store.Grant(clock.Micros(q.TTLMs)*clock.Millisecond, func(x statestore.Reply[protocol.LeaseAnswer]) { answer(x.Status, x.Value) })
	}))
	mux.Handle("POST /leases/{id}/touch", serve(l, func(r *http.Request, _ nothing, answer func(int, any)) {
		id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
		store.Renew(id, func(x statestore.Reply[protocol.LeaseAnswer]) { answer(x.Status, x.Value) })
	}))
	return mux
}

func (l *Loopback) cloudService() http.Handler {
	client := l.Deployment.Cloud.For(l.node.proc, &l.node.Clouds)
	mux := http.NewServeMux()
	mux.Handle("GET /catalog", serve(l, func(_ *http.Request, _ nothing, answer func(int, any)) {
		client.Catalogue(func(status int, c protocol.Catalogue) { answer(status, c) })
	}))
	mux.Handle("POST /hosts", serve(l, func(_ *http.Request, q protocol.Rental, answer func(int, any)) {
		client.Rent(q, math.MaxInt64, func(status int, a protocol.RentalAnswer) { answer(status, a) })
	}))
	mux.Handle("POST /hosts/release", serve(l, func(_ *http.Request, q protocol.MachineNames, answer func(int, any)) {
		client.Release(q.Machines, math.MaxInt64, func(status int) { answer(status, nothing{}) })
	}))
	mux.Handle("GET /hosts", serve(l, func(r *http.Request, _ nothing, answer func(int, any)) {
		client.List(r.URL.Query().Get("From"), func(status int, m protocol.MachineList) { answer(status, m) })
	}))
	return mux
}

func (l *Loopback) workerService() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /commands", serve(l, func(r *http.Request, c protocol.Commands, answer func(int, any)) {
		m := l.Deployment.byAddr[r.Host]
		if m == nil || !m.up {
			answer(http.StatusServiceUnavailable, nothing{})
			return
		}
		l.countStarts(c.Orders)
		status, report := m.command(c)
		answer(status, report)
	}))
	return mux
}
