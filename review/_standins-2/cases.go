package main

import (
	"fmt"
	"time"

	"postpoint/internal/protocol"
)

// ready starts the controllers and waits until one leads and users can be served.
func (w *World) ready() error {
	w.StartAll()
	if w.AwaitLeader(nil, 20*time.Second) == nil {
		return fmt.Errorf("no leader")
	}
	if !w.Until(15*time.Second, func() bool { return w.Nodes[0].healthy && w.Nodes[1].healthy && w.Nodes[2].healthy }) {
		return fmt.Errorf("the controllers don't become healthy")
	}
	return nil
}

// machineOf returns the machine that a task of a job is on, nil if none.
func (j *Job) machineOf(task int) *Machine {
	for _, t := range j.on[task] {
		return t.m
	}
	return nil
}

func init() {
	cases["gang"] = gangCase
	cases["limit"] = limitCase
	cases["hang"] = hangCase
}

// gangCase: a gang whose image takes longer to fetch than its tasks wait for each other.
func gangCase(w *World) error {
	for p := range w.Cloud.Capacity {
		w.Cloud.Capacity[p] = 0
	}
	w.Cloud.Capacity[Pool{"carpat", "somes", false}] = 1
	w.Cloud.Capacity[Pool{"carpat", "somes", true}] = 1
	w.Cloud.Capacity[Pool{"carpat", "mures", true}] = 1
	s := Gang("job-000001", 2, 40, 200)
	s.Class = "scenarii"
	s.Gpus, s.Spot, s.ImageGB, s.Types, s.Image = 4, true, 18, []string{"carpat"}, "img-07"
	j := w.AddJob(s, 12)
	// Two spot machines are up and have the image, as after an earlier job.
	var cached []*Machine
	w.Do(func() {
		j.FetchS = 18 / 0.3
		for _, zone := range []string{"somes", "mures"} {
			p := Pool{"carpat", zone, true}
			w.Cloud.Capacity[p]--
			m := w.Cloud.Add(p)
			m.images["img-07"] = time.Now()
			m.start()
			cached = append(cached, m)
		}
	})
	if err := w.ready(); err != nil {
		return err
	}
	if !j.Submit() {
		return fmt.Errorf("the job wasn't accepted")
	}
	if !w.Until(15*time.Second, func() bool { return len(j.on) == 2 && j.on[0][0].status == protocol.TaskRunning }) {
		return fmt.Errorf("the gang doesn't run")
	}
	if w.Trouble {
		w.Do(func() {
			m := cached[0]
			w.Log("the cloud takes %s back in 12.5 s", m.Name)
			m.recallAt = time.Now().Add(12500 * time.Millisecond)
			m.change()
			time.AfterFunc(12500*time.Millisecond, func() { w.Do(func() { w.Cloud.Remove(m.Name) }) })
		})
	}
	alone := 0
	w.Until(112*time.Second-time.Since(w.began), func() bool {
		alone = len(j.alone)
		return j.Final != "" || alone >= 2 && len(j.on) > 0
	})
	w.Do(func() {
		if alone >= 2 && j.Final == "" {
			w.Break("an accepted job must run", "%s: attempts %v in a row ended because a task waited for %v s in vain: each "+
				"time the controller stopped the fetch that the other task was making, and the next attempt begins it anew",
				j.Spec.ID, j.alone, w.Workers.GangWaitS)
		}
	})
	return nil
}

// limitCase: a machine with many small tasks is lost.
func limitCase(w *World) error {
	const jobs, tasks = 6, 190
	for p := range w.Cloud.Capacity {
		w.Cloud.Capacity[p] = 0
	}
	w.Cloud.Capacity[Pool{"stejar", "somes", true}] = 1
	if err := w.ready(); err != nil {
		return err
	}
	var all []*Job
	for i := range jobs {
		s := Spec(fmt.Sprintf("job-%06d", i+1), tasks, 0.01, 0.01)
		s.Class, s.Spot = "scenarii", true
		j := w.AddJob(s, 20)
		j.Stagger = 200 * time.Millisecond
		all = append(all, j)
		if !j.Submit() {
			return fmt.Errorf("a job wasn't accepted")
		}
		time.Sleep(time.Second)
	}
	count := func(of func(j *Job) int) (n int) {
		for _, j := range all {
			n += of(j)
		}
		return n
	}
	on := func(j *Job) int { return len(j.on) }
	if !w.Until(20*time.Second, func() bool { return count(on) == jobs*tasks }) {
		return fmt.Errorf("not all tasks run")
	}
	if !w.Trouble {
		w.Until(110*time.Second-time.Since(w.began), func() bool {
			return count(func(j *Job) int { return len(j.done) }) == jobs*tasks
		})
	} else {
		w.Do(func() {
			w.Log("the cloud takes %s back without notice", all[0].machineOf(0).Name)
			w.Cloud.Remove(all[0].machineOf(0).Name)
		})
	}
	var first time.Time
	starts, stuck := 0, false
	w.Until(112*time.Second-time.Since(w.began), func() bool {
		oversize := 0
		for _, m := range w.Cloud.machines {
			oversize += m.TooLarge
		}
		n := count(func(j *Job) int { return j.Starts })
		if oversize > 0 && (first.IsZero() || n != starts) {
			first, starts = time.Now(), n
		}
		stuck = !first.IsZero() && time.Since(first) > 60*time.Second
		return stuck || count(func(j *Job) int { return len(j.done) }) == jobs*tasks
	})
	w.Do(func() {
		done := count(func(j *Job) int { return len(j.done) })
		w.Log("%d of %d tasks done", done, jobs*tasks)
		if stuck {
			w.Break("an accepted job must run", "no task has started for 60 s since a controller began to send bodies "+
				"above 64 KiB, %d of %d tasks done, the machine is up and empty", done, jobs*tasks)
		} else if done < jobs*tasks {
			fmt.Println("not all tasks done:", done)
		}
	})
	return nil
}

// hangCase: the only machine in use hangs with a cancelled task, while the cloud's interface is down for 20 s.
func hangCase(w *World) error {
	for p := range w.Cloud.Capacity {
		w.Cloud.Capacity[p] = 0
	}
	w.Cloud.Capacity[Pool{"brad", "somes", false}] = 1
	if err := w.ready(); err != nil {
		return err
	}
	s := Spec("job-000001", 1, 4, 4)
	s.Class = "scenarii"
	j := w.AddJob(s, 300)
	if !j.Submit() {
		return fmt.Errorf("the job wasn't accepted")
	}
	if !w.Until(15*time.Second, func() bool { return len(j.on) == 1 }) {
		return fmt.Errorf("the job doesn't run")
	}
	m := j.machineOf(0)
	time.Sleep(time.Second)
	w.Do(func() {
		m.SetHung(true)
		time.AfterFunc(40*time.Second, func() { w.Do(func() { m.SetHung(false) }) })
	})
	time.Sleep(time.Second)
	j.Cancel()
	if w.Trouble {
		time.Sleep(17500 * time.Millisecond)
		w.Do(func() { w.Log("the cloud's interface is down"); w.Cloud.Outage = true })
		time.AfterFunc(20*time.Second, func() {
			w.Do(func() { w.Log("the cloud's interface is back"); w.Cloud.Outage = false })
		})
	}
	w.Until(30*time.Second, func() bool { return time.Since(j.Cancelled) > 38*time.Second })
	return nil
}
