package main

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"postpoint/internal/protocol"
)

// Job is a job with its user.
type Job struct {
	w      *World
	Spec   protocol.JobSpec
	RunS   float64
	FetchS float64
	Fails  func(t *Task) bool
	// Stagger is how much longer each task runs than the one before.
	Stagger time.Duration

	alone     []protocol.Attempt // attempts that ended because not all tasks came in time
	done      map[int]bool
	on        map[int][]*Task
	Starts    int // tasks that had their image on a machine
	Accepted  time.Time
	Cancelled time.Time // when the user was told
	asked     bool
	Final     string
	FinalAt   time.Time
	Answer    int // of the submission
	Last      protocol.JobStatus
	polled    time.Time // the last answered poll
}

// Spec returns the description of an array with the given number of tasks.
func Spec(id string, tasks int, cpus, memory float64) protocol.JobSpec {
	return protocol.JobSpec{ID: protocol.JobID(id), Class: "extrase", Team: "evaluare", Shape: protocol.ShapeArray,
		Priority: "normal", Tasks: tasks, Cpus: cpus, MemoryGB: memory, Image: "img-1", ImageGB: 1, EstimateS: 40}
}

// Gang returns the description of a gang.
func Gang(id string, tasks int, cpus, memory float64) protocol.JobSpec {
	s := Spec(id, tasks, cpus, memory)
	s.Shape, s.Class, s.CheckpointS, s.SaveS, s.EstimateS = protocol.ShapeGang, "revaluare", 15, 4, 90
	return s
}

// AddJob registers a job, so that workers know it, without submitting it.
func (w *World) AddJob(s protocol.JobSpec, runS float64) *Job {
	j := &Job{w: w, Spec: s, RunS: runS, FetchS: 0.3, done: map[int]bool{}, on: map[int][]*Task{}}
	w.Do(func() { w.Jobs[s.ID] = j })
	return j
}

var users = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}

// request sends one request of a user; status 0 means no response.
func (w *World) request(n *Node, method, path string, body []byte, timeout time.Duration) (int, []byte) {
	client := *users
	client.Timeout = timeout
	r, err := http.NewRequest(method, "http://"+n.Bind+path, bytes.NewReader(body))
	must(err)
	r.Header.Set("Content-Type", "application/msgpack")
	resp, err := client.Do(r)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, raw
}

// probeHealth probes the controllers as the load balancer does, but for its pauses.
func (w *World) probeHealth() {
	for {
		for _, n := range w.Nodes {
			go func() {
				status, _ := w.request(n, "GET", "/up", nil, time.Second)
				w.Do(func() {
					if n.healthy != (status == 200) {
						w.Log("controller %s healthy: %v", n.Name, status == 200)
					}
					n.healthy = status == 200
				})
			}()
		}
		time.Sleep(time.Second)
	}
}

// pick chooses a healthy controller, nil if there is none.
func (w *World) pick() *Node {
	w.mu.Lock()
	defer w.mu.Unlock()
	var healthy []*Node
	for _, n := range w.Nodes {
		if n.healthy {
			healthy = append(healthy, n)
		}
	}
	if len(healthy) == 0 {
		return nil
	}
	return healthy[rand.IntN(len(healthy))]
}

func (j *Job) runTime(task int) time.Duration {
	return time.Duration(j.RunS*float64(time.Second)) + time.Duration(task)*j.Stagger
}

func (j *Job) path() string { return "/api/jobs/" + string(j.Spec.ID) }

// SubmitTo submits the job to a controller once and checks the answer.
func (j *Job) SubmitTo(n *Node) int {
	var before, accepted = j.state()
	status, raw := j.w.request(n, "POST", "/api/jobs", protocol.Encode(j.Spec), 5*time.Second)
	j.w.Do(func() {
		j.w.Log("user of %s submits to %s: %d %s", j.Spec.ID, n.Name, status, text(raw))
		j.Answer = status
		switch status {
		case 200, 201:
			if j.Accepted.IsZero() {
				j.Accepted = time.Now()
			}
			j.check(before, raw)
		case 400, 422:
			if accepted {
				j.w.Break("forgotten", "%s: repeated submission answered %d", j.Spec.ID, status)
			}
		}
	})
	return status
}

func (j *Job) state() (final string, accepted bool) {
	j.w.Do(func() { final, accepted = j.Final, !j.Accepted.IsZero() })
	return final, accepted
}

// Submit submits the job until it is accepted or rejected, for up to 60 s, and then polls it.
func (j *Job) Submit() bool {
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end); time.Sleep(time.Second) {
		if n := j.w.pick(); n != nil {
			switch j.SubmitTo(n) {
			case 200, 201:
				go j.Poll()
				return true
			case 400, 422:
				return false
			}
		}
	}
	return false
}

// Poll polls until the job is over.
func (j *Job) Poll() {
	for {
		time.Sleep(time.Duration((4.5 + rand.Float64()) * float64(time.Second)))
		final, _ := j.state()
		if final != "" {
			return
		}
		if n := j.w.pick(); n != nil {
			j.PollAt(n)
		}
	}
}

// PollAt polls a controller once and checks the answer.
func (j *Job) PollAt(n *Node) int {
	before, accepted := j.state()
	status, raw := j.w.request(n, "GET", j.path(), nil, 2*time.Second)
	j.w.Do(func() {
		j.w.Log("user of %s polls %s: %d %s", j.Spec.ID, n.Name, status, text(raw))
		switch status {
		case 200:
			j.polled = time.Now()
			j.check(before, raw)
		case 404:
			if accepted {
				j.w.Break("forgotten", "%s: poll answered 404", j.Spec.ID)
			}
		}
	})
	return status
}

// CancelAt asks a controller once to cancel the job.
func (j *Job) CancelAt(n *Node) int {
	before, _ := j.state()
	j.w.Do(func() { j.asked = true })
	status, raw := j.w.request(n, "POST", j.path()+"/withdraw", nil, 5*time.Second)
	j.w.Do(func() {
		j.w.Log("user of %s cancels at %s: %d %s", j.Spec.ID, n.Name, status, text(raw))
		if status == 200 {
			j.check(before, raw)
		}
	})
	return status
}

// Cancel asks until the answer is final.
func (j *Job) Cancel() {
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end); time.Sleep(time.Second) {
		if n := j.w.pick(); n != nil && j.CancelAt(n) == 200 {
			return
		}
	}
}

// check checks an answer against what the user was told before the request. The caller holds the lock.
func (j *Job) check(before string, raw []byte) {
	var s protocol.JobStatus
	if protocol.Decode(raw, &s) != nil || s.ID != j.Spec.ID {
		j.w.Break("foreign", "%s: answer %s", j.Spec.ID, text(raw))
		return
	}
	j.Last = s
	if before != "" && s.Status != before {
		j.w.Break("went_back", "%s: was %s, is called %s", j.Spec.ID, before, s.Status)
	}
	switch s.Status {
	case protocol.StatusDone:
		if len(j.done) < j.Spec.Tasks {
			j.w.Break("not_done", "%s: called done with %d of %d tasks", j.Spec.ID, len(j.done), j.Spec.Tasks)
		}
	case protocol.StatusCancelled:
		if !j.asked {
			j.w.Break("went_back", "%s: called cancelled, its user didn't cancel it", j.Spec.ID)
		}
		if j.Cancelled.IsZero() {
			j.Cancelled = time.Now()
			limit := time.Duration(j.w.Workers.CancelS * float64(time.Second))
			time.AfterFunc(limit+50*time.Millisecond, func() { j.w.Do(j.checkGone) })
		}
	default:
		return
	}
	if j.Final == "" {
		j.Final, j.FinalAt = s.Status, time.Now()
	}
}

func (j *Job) checkGone() {
	for _, tasks := range j.on {
		for _, t := range tasks {
			j.w.Break("ran_cancelled", "%s/%d is on %s %.1f s after its user was told", j.Spec.ID, t.number, t.m.Name,
				time.Since(j.Cancelled).Seconds())
		}
	}
	for _, m := range j.w.Cloud.machines {
		for _, t := range m.stuck {
			if t.job == j {
				j.w.Break("ran_cancelled", "%s/%d is on %s, which hangs, %.1f s after its user was told", j.Spec.ID,
					t.number, m.Name, time.Since(j.Cancelled).Seconds())
			}
		}
	}
}

// taskOn checks a task that has its image now.
func (w *World) taskOn(t *Task) {
	j := t.job
	j.Starts++
	w.Log("task %s/%d try %d is on %s", j.Spec.ID, t.number, t.attempt, t.m.Name)
	for _, o := range j.on[t.number] {
		if o.m != t.m {
			w.Break("ran_twice", "%s/%d try %d on %s and try %d on %s", j.Spec.ID, t.number, o.attempt, o.m.Name,
				t.attempt, t.m.Name)
		}
	}
	if !j.Cancelled.IsZero() && time.Since(j.Cancelled).Seconds() > w.Workers.CancelS {
		w.Break("ran_cancelled", "%s/%d starts on %s", j.Spec.ID, t.number, t.m.Name)
	}
	allowed := len(j.Spec.Types) == 0
	for _, x := range j.Spec.Types {
		allowed = allowed || x == t.m.Type
	}
	zones := map[string]int{}
	for number, tasks := range j.on {
		for _, o := range tasks {
			if number != t.number {
				zones[o.m.Zone]++
			}
		}
	}
	switch {
	case !allowed, j.Spec.Zone != "" && j.Spec.Zone != t.m.Zone, !j.Spec.Spot && t.m.Spot:
		w.Break("wrong_place", "%s/%d on %s: %s %s spot %v", j.Spec.ID, t.number, t.m.Name, t.m.Type, t.m.Zone, t.m.Spot)
	case j.Spec.Spread && zones[t.m.Zone]+1 > (j.Spec.Tasks+1)/2:
		w.Break("wrong_place", "%s/%d: too many tasks in zone %s", j.Spec.ID, t.number, t.m.Zone)
	}
	for z, n := range zones {
		if j.Spec.OneZone && n > 0 && z != t.m.Zone {
			w.Break("wrong_place", "%s/%d in zone %s, others are in %s", j.Spec.ID, t.number, t.m.Zone, z)
		}
	}
	j.on[t.number] = append(j.on[t.number], t)
	w.used[j.Spec.Team+" cpus"] += j.Spec.Cpus
	w.used[j.Spec.Team+" gpus"] += j.Spec.Gpus
	for _, team := range w.Teams {
		for _, kind := range []string{"cpus", "gpus"} {
			limit := team[kind+"_max"].(float64)
			if team["name"] == j.Spec.Team && limit > 0 && w.used[j.Spec.Team+" "+kind] > limit+1e-6 && !j.done[t.number] {
				w.Break("quota", "team %s uses %v %s of %v", j.Spec.Team, w.used[j.Spec.Team+" "+kind], kind, limit)
			}
		}
	}
}

// taskOff records that a task isn't on its machine any more.
func (w *World) taskOff(t *Task) {
	j := t.job
	w.Log("task %s/%d try %d left %s: %s", j.Spec.ID, t.number, t.attempt, t.m.Name, t.cause)
	for i, o := range j.on[t.number] {
		if o == t {
			j.on[t.number] = append(j.on[t.number][:i:i], j.on[t.number][i+1:]...)
			break
		}
	}
	if len(j.on[t.number]) == 0 {
		delete(j.on, t.number)
	}
	w.used[j.Spec.Team+" cpus"] -= j.Spec.Cpus
	w.used[j.Spec.Team+" gpus"] -= j.Spec.Gpus
}

// members returns the tasks of one attempt of a gang that are on machines.
func (j *Job) members(attempt protocol.Attempt) []*Task {
	var all []*Task
	for _, tasks := range j.on {
		for _, t := range tasks {
			if t.attempt == attempt {
				all = append(all, t)
			}
		}
	}
	return all
}

func (j *Job) startGang(attempt protocol.Attempt) {
	all := j.members(attempt)
	if len(all) < j.Spec.Tasks {
		return
	}
	for _, t := range all {
		if t.status != protocol.TaskWaiting {
			return
		}
	}
	for _, t := range all {
		t.run()
	}
}

func (j *Job) completeGang(attempt protocol.Attempt) {
	all := j.members(attempt)
	if len(all) < j.Spec.Tasks {
		return
	}
	for _, t := range all {
		if t.status != protocol.TaskRunning || t.m.Hung {
			return
		}
	}
	for i := range j.Spec.Tasks {
		j.done[i] = true
	}
	for _, t := range all {
		t.exit(protocol.CauseDone)
	}
}

func (j *Job) breakGang(attempt protocol.Attempt) {
	all := j.members(attempt)
	if len(all) >= j.Spec.Tasks {
		return
	}
	for _, t := range all {
		if t.status == protocol.TaskRunning || t.status == protocol.TaskSaving {
			t.exit(protocol.CauseGangBroken)
		}
	}
}

func text(raw []byte) string {
	var v any
	if len(raw) == 0 || protocol.Decode(raw, &v) != nil {
		return ""
	}
	return strings.TrimSpace(toText(v))
}
