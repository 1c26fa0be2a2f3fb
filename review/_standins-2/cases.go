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
	cases["reserve"] = reserveCase
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

// limitCase: a machine with many small tasks is lost, and they all go to another one, on which another job runs.
func limitCase(w *World) error {
	const jobs, tasks = 6, 190
	for p := range w.Cloud.Capacity {
		w.Cloud.Capacity[p] = 0
	}
	w.Cloud.Capacity[Pool{"stejar", "somes", true}] = 1
	if err := w.ready(); err != nil {
		return err
	}
	var small []*Job
	for i := range jobs {
		s := Spec(fmt.Sprintf("job-%06d", i+1), tasks, 0.005, 0.005)
		s.Class, s.Spot, s.CheckpointS, s.SaveS = "scenarii", true, 15, 3
		j := w.AddJob(s, 20)
		j.Stagger = 200 * time.Millisecond
		small = append(small, j)
		if !j.Submit() {
			return fmt.Errorf("a job wasn't accepted")
		}
		time.Sleep(time.Second)
	}
	count := func(of func(j *Job) int) (n int) {
		for _, j := range small {
			n += of(j)
		}
		return n
	}
	done := func(j *Job) int { return len(j.done) }
	if !w.Until(20*time.Second, func() bool { return count(func(j *Job) int { return len(j.on) }) == jobs*tasks }) {
		return fmt.Errorf("not all tasks run")
	}
	// Another user's job, on a machine of its own.
	w.Do(func() { w.Cloud.Capacity[Pool{"brad", "somes", false}] = 1 })
	s := Spec("job-000100", 1, 1, 1.4)
	s.Class = "scenarii"
	other := w.AddJob(s, 60)
	if !other.Submit() || !w.Until(20*time.Second, func() bool { return len(other.on) == 1 }) {
		return fmt.Errorf("the other job doesn't run")
	}
	if w.Trouble {
		w.Do(func() {
			m := small[0].machineOf(0)
			w.Log("the cloud takes %s back without notice, and has no other one", m.Name)
			w.Cloud.Remove(m.Name)
			w.Cloud.Capacity[Pool{"stejar", "somes", true}] = 0
		})
	}
	var since time.Time
	starts, stuck, over := 0, false, false
	w.Until(112*time.Second-time.Since(w.began), func() bool {
		tooLarge := 0
		for _, m := range w.Cloud.machines {
			tooLarge += m.TooLarge
		}
		n := count(func(j *Job) int { return j.Starts }) + other.Starts
		if tooLarge > 0 && (since.IsZero() || n != starts) {
			since, starts = time.Now(), n
		}
		stuck = !since.IsZero() && time.Since(since) > 60*time.Second
		over = count(done) == jobs*tasks && len(other.done) == 1
		return stuck || over
	})
	w.Do(func() {
		w.Log("%d of %d small tasks done, the other job's task done: %v, on a machine: %v", count(done), jobs*tasks,
			len(other.done) == 1, len(other.on) == 1)
		if stuck {
			w.Break("an accepted job must run", "no task has started for 60 s since a controller began to send bodies above "+
				"64 KiB; %d of %d small tasks are done; the other job, which ran, is done: %v, runs: %v", count(done),
				jobs*tasks, len(other.done) == 1, len(other.on) == 1)
		}
	})
	if !stuck && !over {
		return fmt.Errorf("not all tasks are done, and none is stuck")
	}
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

// reserveCase: an array loses its machine, and room that is only kept free for later jobs is never given to it.
func reserveCase(w *World) error {
	for p := range w.Cloud.Capacity {
		w.Cloud.Capacity[p] = 0
	}
	w.Cloud.Capacity[Pool{"stejar", "somes", true}] = 1
	if err := w.ready(); err != nil {
		return err
	}
	s := Spec("job-000001", 7, 2, 1.4)
	s.Spot = true
	array := w.AddJob(s, 8)
	array.Stagger = 3 * time.Second
	if !array.Submit() || !w.Until(20*time.Second, func() bool { return len(array.on) == 7 }) {
		return fmt.Errorf("the array doesn't run")
	}
	w.Do(func() { w.Cloud.Capacity[Pool{"stejar", "somes", false}] = 1 })
	// Jobs of the other class come 5.7 a minute.
	var later []*Job
	go func() {
		for i := range 12 {
			g := Gang(fmt.Sprintf("job-%06d", 100+i), 1, 15, 51)
			j := w.AddJob(g, 3)
			w.Do(func() { later = append(later, j) })
			go j.Submit()
			time.Sleep(10500 * time.Millisecond)
		}
	}()
	if !w.Until(20*time.Second, func() bool { return len(array.done) >= 1 }) {
		return fmt.Errorf("no task of the array is done")
	}
	if w.Trouble {
		w.Do(func() {
			m := array.machineOf(6)
			w.Log("the cloud takes %s back without notice, and has no other one of its kind", m.Name)
			w.Cloud.Remove(m.Name)
			w.Cloud.Capacity[Pool{"stejar", "somes", true}] = 0
		})
	}
	// The machine is lost for certain once the leader has taken its tasks out of the record.
	var free time.Time
	began := 0
	w.Until(114*time.Second-time.Since(w.began), func() bool {
		if free.IsZero() && w.Trouble && w.Store.holds("jobs/job-000001", "m-000001") {
			return false
		}
		if free.IsZero() {
			free = time.Now()
			for _, j := range later {
				began += min(j.Starts, 1)
			}
		}
		return array.Final != ""
	})
	w.Do(func() {
		ran := -began
		for _, j := range later {
			ran += min(j.Starts, 1)
		}
		w.Log("array: %d of 7 tasks done, %d starts; %d later jobs have started since, in %.0f s", len(array.done), array.Starts,
			ran, time.Since(free).Seconds())
		if array.Final == "" && array.Starts == 7 && time.Since(free) > 60*time.Second && ran >= 5 {
			w.Break("an accepted job must run", "%d of its 7 tasks are done, the others haven't started for %.0f s, in which the "+
				"machine was free most of the time and %d jobs that came later have started on it", len(array.done),
				time.Since(free).Seconds(), ran)
		}
	})
	return nil
}
