package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"postpoint/internal/protocol"
)

// machine is a rented machine.
type machine struct {
	protocol.ListedMachine
	rentedAt time.Time
	worker   *worker
}

// cloud is the cloud's interface.
type cloud struct {
	d     *deployment
	types []protocol.MachineType
	boot  time.Duration
	lag   time.Duration

	mu       sync.Mutex
	capacity map[string]int // ordinary machines that may still be rented, by type and zone
	machines map[protocol.MachineName]*machine
	bookings map[string][]protocol.MachineName
	number   int
	down     bool
}

func (c *cloud) serve() (string, error) {
	l, err := listen()
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog", c.guard(func(w http.ResponseWriter, _ *http.Request) {
		answer(w, http.StatusOK, protocol.Catalogue{MachineTypes: c.types})
	}))
	mux.HandleFunc("POST /hosts", c.guard(c.rent))
	mux.HandleFunc("POST /hosts/release", c.guard(c.release))
	mux.HandleFunc("GET /hosts", c.guard(c.list))
	go func() { _ = http.Serve(l, mux) }()
	return l.Addr().String(), nil
}

func (c *cloud) guard(handle func(http.ResponseWriter, *http.Request)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c.mu.Lock()
		down := c.down
		c.mu.Unlock()
		if down {
			answer(w, http.StatusServiceUnavailable, map[string]any{"error": "trouble"})
			return
		}
		handle(w, r)
	}
}

func (c *cloud) rent(w http.ResponseWriter, r *http.Request) {
	var q protocol.ScaleOutRequest
	if !readMessage(w, r, &q) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if names, known := c.bookings[q.IdempotencyKey]; known {
		answer(w, http.StatusOK, map[string]any{"Hosts": names})
		return
	}
	pool := q.Type + "/" + q.Zone
	if q.Spot {
		pool += "/spot"
	}
	n := min(q.Count, c.capacity[pool])
	if n <= 0 {
		answer(w, http.StatusServiceUnavailable, map[string]any{"error": protocol.NoCapacity})
		return
	}
	c.capacity[pool] -= n
	var names []protocol.MachineName
	for range n {
		names = append(names, c.add(q.Type, q.Zone, q.Spot))
	}
	c.bookings[q.IdempotencyKey] = names
	c.d.rec.note("cloud: rented %v (%s %s spot %v) for %s", names, q.Type, q.Zone, q.Spot, q.IdempotencyKey)
	answer(w, http.StatusOK, map[string]any{"Hosts": names})
}

// add rents one machine, which boots. The caller holds the lock.
func (c *cloud) add(typ, zone string, spot bool) protocol.MachineName {
	c.number++
	name := protocol.MachineName(fmt.Sprintf("m-%06d", c.number))
	m := &machine{rentedAt: time.Now()}
	m.Name, m.Type, m.Zone, m.Spot, m.Status = name, typ, zone, spot, protocol.MachineStarting
	wk, err := newWorker(c.d, m.ListedMachine, c.typeOf(typ))
	if err != nil {
		c.d.rec.note("cloud: %s can't be started: %v", name, err)
		return name
	}
	m.worker, m.Address = wk, wk.address
	c.machines[name] = m
	time.AfterFunc(c.boot, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.machines[name] == m {
			m.Status = protocol.MachineRunning
			go wk.run()
		}
	})
	return name
}

func (c *cloud) typeOf(name string) protocol.MachineType {
	for _, t := range c.types {
		if t.Name == name {
			return t
		}
	}
	return protocol.MachineType{}
}

func (c *cloud) release(w http.ResponseWriter, r *http.Request) {
	var q protocol.ScaleInRequest
	if !readMessage(w, r, &q) {
		return
	}
	c.mu.Lock()
	for _, name := range q.Machines {
		m := c.machines[name]
		if m == nil {
			continue
		}
		pool := m.Type + "/" + m.Zone
		if m.Spot {
			pool += "/spot"
		}
		c.capacity[pool]++
		delete(c.machines, name)
		m.worker.end()
		c.d.rec.note("cloud: released %s", name)
	}
	c.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{})
}

func (c *cloud) list(w http.ResponseWriter, r *http.Request) {
	from := protocol.MachineName(r.URL.Query().Get("From"))
	c.mu.Lock()
	list := protocol.MachineList{Machines: []protocol.ListedMachine{}}
	for _, m := range c.machines {
		age := time.Since(m.rentedAt) - c.lag
		if m.Name > from && age > 0 {
			entry := m.ListedMachine
			entry.AgeS = age.Seconds()
			list.Machines = append(list.Machines, entry)
		}
	}
	c.mu.Unlock()
	slices.SortFunc(list.Machines, func(x, y protocol.ListedMachine) int {
		return strings.Compare(string(x.Name), string(y.Name))
	})
	answer(w, http.StatusOK, list)
}
