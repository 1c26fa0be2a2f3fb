package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"time"

	"postpoint/internal/protocol"
)

// Pool is machines of one type in one zone, spot or ordinary.
type Pool struct {
	Type, Zone string
	Spot       bool
}

// Cloud rents machines.
type Cloud struct {
	w        *World
	Types    []protocol.MachineType
	Capacity map[Pool]int
	bookings map[string][]protocol.MachineName
	machines map[protocol.MachineName]*Machine
	all      []*Machine
	Outage   bool
	lists    []listing
	rate     *bucket
	BootS    func(m *Machine) float64
	// Address, if set, chooses the address of a machine; else each gets a new port.
	OnRelease func(names []protocol.MachineName)
}

type listing struct {
	at   time.Time
	list []protocol.ListedMachine
}

func newCloud(w *World) *Cloud {
	both := []string{"somes", "mures"}
	c := &Cloud{w: w, Capacity: map[Pool]int{}, bookings: map[string][]protocol.MachineName{},
		machines: map[protocol.MachineName]*Machine{}, rate: newBucket(8, 16),
		Types: []protocol.MachineType{
			{Name: "brad", Cpus: 8, MemoryGB: 16, CacheGB: 50, FetchGBPerS: 0.6, Price: 0.31, SpotPrice: 0.11, BootS: 30, Zones: both},
			{Name: "stejar", Cpus: 16, MemoryGB: 64, CacheGB: 40, FetchGBPerS: 0.5, Price: 0.71, SpotPrice: 0.23, BootS: 30, Zones: both},
			{Name: "carpat", Cpus: 48, Gpus: 4, MemoryGB: 288, CacheGB: 100, FetchGBPerS: 0.3, Price: 13.79, SpotPrice: 4.76, BootS: 40, Zones: both},
			{Name: "bucegi", Cpus: 96, Gpus: 8, MemoryGB: 768, CacheGB: 80, FetchGBPerS: 0.25, Price: 23.55, SpotPrice: 7.29, BootS: 40, Zones: both},
		},
		BootS: func(*Machine) float64 { return 1.5 },
	}
	for _, t := range c.Types {
		for _, z := range both {
			c.Capacity[Pool{t.Name, z, false}] = 4
			c.Capacity[Pool{t.Name, z, true}] = 1
		}
	}
	go func() {
		for {
			w.Do(c.copyList)
			time.Sleep(time.Second)
		}
	}()
	return c
}

func (c *Cloud) copyList() {
	var l []protocol.ListedMachine
	for _, m := range c.machines {
		status := protocol.MachineStarting
		if m.up {
			status = protocol.MachineRunning
		}
		l = append(l, protocol.ListedMachine{Name: m.Name, Address: m.addr, Type: m.Type, Zone: m.Zone, Spot: m.Spot,
			Status: status, AgeS: time.Since(m.rented).Seconds()})
	}
	sort.Slice(l, func(i, j int) bool { return l[i].Name < l[j].Name })
	c.lists = append(c.lists, listing{time.Now(), l})
}

// Add adds a machine that is up or boots.
func (c *Cloud) Add(p Pool) *Machine {
	m := newMachine(c.w, protocol.MachineName(fmt.Sprintf("m-%06d", len(c.all)+1)), p)
	c.all = append(c.all, m)
	c.machines[m.Name] = m
	return m
}

// Remove takes a machine away.
func (c *Cloud) Remove(name protocol.MachineName) {
	if m := c.machines[name]; m != nil {
		c.w.Log("cloud: machine %s is gone", name)
		m.gone()
		delete(c.machines, name)
		c.Capacity[Pool{m.Type, m.Zone, m.Spot}]++
	}
}

func (c *Cloud) handler(n *Node) http.Handler {
	mux := http.NewServeMux()
	handle := func(pattern string, execute func(r *http.Request, raw []byte) (int, any)) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
			raw, _ := io.ReadAll(r.Body)
			if !gated(n.CloudGate, w, r) {
				return
			}
			time.Sleep(20 * time.Millisecond)
			var status int
			var body any
			c.w.Do(func() {
				switch {
				case c.Outage:
					status, body = 503, map[string]any{"error": "trouble"}
				case !c.rate.allow(1):
					status, body = 429, map[string]any{"error": "too many"}
				default:
					status, body = execute(r, raw)
				}
			})
			if n.CloudGate.Mode() == "drop" || n.CloudGate.Mode() == "hold" {
				silence(r)
			}
			answer(w, status, body)
		})
	}
	handle("GET /catalog", func(*http.Request, []byte) (int, any) {
		return 200, protocol.Catalogue{MachineTypes: c.Types}
	})
	handle("GET /hosts", func(r *http.Request, _ []byte) (int, any) {
		from := protocol.MachineName(r.URL.Query().Get("From"))
		lag := time.Duration(c.w.ListLagS * float64(time.Second))
		list := protocol.MachineList{Machines: []protocol.ListedMachine{}}
		for i := len(c.lists) - 1; i >= 0; i-- {
			if time.Since(c.lists[i].at) >= lag || i == 0 {
				for _, m := range c.lists[i].list {
					if m.Name > from {
						list.Machines = append(list.Machines, m)
					}
				}
				break
			}
		}
		return 200, list
	})
	handle("POST /hosts", func(_ *http.Request, raw []byte) (int, any) {
		var q protocol.ScaleOutRequest
		if protocol.Decode(raw, &q) != nil || q.Count < 1 || q.Count > 50 {
			return 400, map[string]any{"error": "malformed"}
		}
		if names, ok := c.bookings[q.IdempotencyKey]; ok {
			return 200, protocol.ScaleOutResponse{Machines: names}
		}
		p := Pool{q.Type, q.Zone, q.Spot}
		var names []protocol.MachineName
		for range min(q.Count, c.Capacity[p]) {
			c.Capacity[p]--
			m := c.Add(p)
			names = append(names, m.Name)
			m.boot(time.Duration(c.BootS(m) * float64(time.Second)))
		}
		c.w.Log("cloud: %s rents %d of %v: %v", n.Name, q.Count, p, names)
		if len(names) == 0 {
			return 503, protocol.ScaleOutResponse{Error: protocol.NoCapacity}
		}
		c.bookings[q.IdempotencyKey] = names
		return 200, protocol.ScaleOutResponse{Machines: names}
	})
	handle("POST /hosts/release", func(_ *http.Request, raw []byte) (int, any) {
		var q protocol.ScaleInRequest
		if protocol.Decode(raw, &q) != nil || len(q.Machines) > 100 {
			return 400, nil
		}
		c.w.Log("cloud: %s returns %v", n.Name, q.Machines)
		for _, name := range q.Machines {
			c.Remove(name)
		}
		return 200, map[string]any{}
	})
	return mux
}

func toText(v any) string {
	raw, err := json.Marshal(v)
	if err != nil {
		return fmt.Sprint(v)
	}
	return string(raw)
}
