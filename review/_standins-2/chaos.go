package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"syscall"
	"time"
)

// The case "chaos" is no case of the review but a random search, with a seed in SEED: many kinds of jobs and
// disruptions, also several at once, and all rules checked. BIG=1 adds large arrays and a store of small values.
func init() {
	cases["chaos"] = func(w *World) error {
		seed, _ := strconv.Atoi(os.Getenv("SEED"))
		r := rand.New(rand.NewPCG(uint64(seed), 7))
		w.Teams = []map[string]any{
			{"name": "evaluare", "cpus": 0.0, "cpus_max": 40.0, "gpus": 0.0, "gpus_max": 0.0},
			{"name": "other", "cpus": 8.0, "cpus_max": 24.0, "gpus": 0.0, "gpus_max": 6.0}}
		big := os.Getenv("BIG") != ""
		// CALM=1: few jobs, all of one priority, and time without troubles at the end in which all have to be done.
		jobsEnd, troublesEnd, pause := 65*time.Second, 70*time.Second, 0
		if os.Getenv("CALM") != "" {
			jobsEnd, troublesEnd, pause = 35*time.Second, 45*time.Second, 1500
		}
		if big {
			w.StateCfg["value_kb"] = 4.0
		}
		w.StartAll()
		if w.AwaitLeader(nil, 20*time.Second) == nil {
			return fmt.Errorf("no leader")
		}
		began := time.Now()
		go func() {
			for i := 0; time.Since(began) < jobsEnd; i++ {
				id := fmt.Sprintf("job-%06d", i)
				s := Spec(id, 1+r.IntN(30), 1, 1.4)
				if r.IntN(2) == 0 {
					s = Gang(id, 1+r.IntN(5), 4, 6)
				}
				if big && r.IntN(2) == 0 {
					s = Spec(id, 200+r.IntN(1500), 0.1, 0.1)
				}
				if r.IntN(2) == 0 {
					s.Team = "other"
				}
				s.Spot = r.IntN(2) == 0
				s.Priority = []string{"prod", "urgent", "normal", "idle"}[r.IntN(4)]
				if r.IntN(3) == 0 {
					s.OneZone = true
				} else if r.IntN(4) == 0 {
					s.Spread = true
				}
				if r.IntN(6) == 0 {
					s.Zone = "mures"
					s.Spread = false
				}
				if pause > 0 {
					s.Priority = "normal"
				}
				w.Log("job %s: %s", id, toText(s))
				j := w.AddJob(s, 2+r.Float64()*12)
				go j.Submit()
				if r.IntN(4) == 0 {
					go func() {
						time.Sleep(time.Duration(r.IntN(15000)) * time.Millisecond)
						if _, ok := j.state(); ok {
							j.Cancel()
						}
					}()
				}
				time.Sleep(time.Duration(500+pause+r.IntN(2500)) * time.Millisecond)
			}
		}()
		node := func() *Node {
			if l := w.Leader(); l != nil && r.IntN(2) == 0 {
				return l
			}
			return w.Nodes[r.IntN(3)]
		}
		machine := func() (m *Machine) {
			w.Do(func() {
				for _, x := range w.Cloud.machines {
					if x.up && !x.Hung && x.Net.Mode() == "" {
						m = x
						if r.IntN(3) == 0 {
							return
						}
					}
				}
			})
			return m
		}
		secs := func(lo, hi float64) time.Duration {
			return time.Duration((lo + r.Float64()*(hi-lo)) * float64(time.Second))
		}
		busy := map[*Node]bool{}
		for time.Since(began) < troublesEnd {
			time.Sleep(secs(1, 7))
			n := node()
			taken := false
			w.Do(func() { taken = busy[n] })
			if taken {
				continue
			}
			free := func() { w.Do(func() { busy[n] = false }) }
			mode := []string{"hold", "drop", "refuse"}[r.IntN(3)]
			switch r.IntN(14) {
			case 12, 13: // the controller loses the network
				if mode == "refuse" {
					mode = "drop"
				}
				w.Do(func() { busy[n] = true })
				gates := []*Gate{n.StoreGate, n.WorkerGate, n.CloudGate}
				for _, o := range w.Nodes {
					if o != n {
						gates = append(gates, n.PeerGate[o.Name], o.PeerGate[n.Name])
					}
				}
				w.Log("gate of everything of %s: %s", n.Name, mode)
				for _, g := range gates {
					g.Set(mode)
				}
				time.AfterFunc(secs(5, 35), func() {
					w.Log("gate of everything of %s opens", n.Name)
					for _, g := range gates {
						g.Set("")
					}
					free()
				})
			case 0:
				n.Kill()
				time.Sleep([]time.Duration{secs(0.1, 0.6), 6 * time.Second}[r.IntN(2)])
				n.Start()
			case 1:
				if r.IntN(2) == 0 {
					for _, x := range w.Nodes {
						x.Kill()
					}
					time.Sleep(secs(0.2, 6))
					for _, x := range w.Nodes {
						x.Start()
					}
				}
			case 2:
				n.Signal(syscall.SIGSTOP)
				time.Sleep(secs(0.5, 18))
				n.Signal(syscall.SIGCONT)
			case 3:
				w.Do(func() { w.Store.SetOutage(true) })
				time.Sleep(secs(2, 20))
				w.Do(func() { w.Store.SetOutage(false) })
			case 4, 5:
				w.Do(func() { busy[n] = true })
				w.Log("gate store of %s: %s", n.Name, mode)
				n.StoreGate.Set(mode)
				time.AfterFunc(secs(1, 30), func() { w.Log("gate store of %s opens", n.Name); n.StoreGate.Set(""); free() })
			case 6:
				w.Do(func() { busy[n] = true })
				if mode == "refuse" {
					mode = "hold"
				}
				w.Log("gate workers of %s: %s", n.Name, mode)
				n.WorkerGate.Set(mode)
				time.AfterFunc(secs(1, 30), func() { w.Log("gate workers of %s opens", n.Name); n.WorkerGate.Set(""); free() })
			case 7:
				if m := machine(); m != nil {
					w.Do(func() { m.SetHung(true) })
					time.AfterFunc(secs(1, 40), func() { w.Do(func() { m.SetHung(false) }) })
				}
			case 8, 9:
				if m := machine(); m != nil {
					if mode == "refuse" {
						mode = "hold"
					}
					w.Log("gate of machine %s: %s", m.Name, mode)
					m.Net.Set(mode)
					time.AfterFunc(secs(1, 40), func() { w.Log("gate of machine %s opens", m.Name); m.Net.Set("") })
				}
			case 10:
				if m := machine(); m != nil {
					w.Do(func() { w.Cloud.Remove(m.Name) })
				}
			case 11:
				w.Do(func() { w.Cloud.Outage = true })
				time.AfterFunc(secs(1, 20), func() { w.Do(func() { w.Cloud.Outage = false }) })
			}
		}
		time.Sleep(22 * time.Second)
		if pause > 0 {
			time.Sleep(time.Until(w.began.Add(112 * time.Second)))
		}
		w.Do(func() {
			over, all := 0, 0
			for _, j := range w.Jobs {
				if !j.Accepted.IsZero() {
					all++
					if j.Final != "" {
						over++
					}
				}
			}
			fmt.Printf("%d of %d accepted jobs over\n", over, all)
			for id, j := range w.Jobs {
				if !j.Accepted.IsZero() && j.Final == "" && pause > 0 {
					fmt.Println("not over:", id, "accepted at", j.Accepted.Sub(w.began), "starts", j.Starts, "done", len(j.done))
				}
			}
		})
		return nil
	}
}
