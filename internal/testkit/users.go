package testkit

import (
	"fmt"
	"net/http"
	"sort"

	"postpoint/internal/clock"
	"postpoint/internal/intake"
	"postpoint/internal/planner"
	"postpoint/internal/protocol"
)

// Job is a user's job and what its user was told.
type Job struct {
	home       *Deployment
	spec       protocol.JobSpec
	run        clock.Micros
	mistaken   bool
	told       string // the last final state
	toldAt     clock.Micros
	cancelled  clock.Micros
	wantsEnd   bool
	heardAt    clock.Micros // when its user last got an answer
	idleAt     clock.Micros // when it last ran, or couldn't have: see WatchRoom
	submitted  clock.Micros
	acceptedAt clock.Micros
	began      clock.Micros // when its first task had its image
	gone       map[int]bool // completed tasks
	places     map[int]map[*Worker]bool
}

// accepted tells whether any node has accepted the job.
func (j *Job) accepted() bool { return j.acceptedAt != 0 }

func (j *Job) needs() planner.Amounts { return planner.Needs(&j.spec) }

// Done tells whether every task has completed.
func (j *Job) Done() bool { return len(j.gone) == j.spec.Tasks && !j.spec.Service() }

// complete notes that a task has completed. A share of users cancel the job at the moment of its end.
func (j *Job) complete(task int, cancelShare float64) {
	d, was := j.home, j.Done()
	if !j.gone[task] {
		d.History.completed(j, task)
	}
	j.gone[task] = true
	if !was && j.Done() && d.World.chance(cancelShare) {
		d.Cancel(j)
	}
}

// ask sends a user's request to any node; no answer within the user's time is
// status 0.
func (d *Deployment) ask(r intake.Request, done func(status int, s protocol.JobStatus)) {
	d.askNode(d.Nodes[d.World.Rand.IntN(len(d.Nodes))], r, done)
}

// askNode sends a user's request to the node that is chosen.
func (d *Deployment) askNode(n *Node, r intake.Request, done func(status int, s protocol.JobStatus)) {
	over := false
	d.World.After(5*clock.Second, func() {
		if !over {
			over = true
			done(0, protocol.JobStatus{})
		}
	})
	if !n.proc.alive || d.cut[n.Zone] != nil {
		return
	}
	proc := n.proc
	d.World.After(clock.Millisecond, func() {
		if !proc.alive {
			return
		}
		told := func(a intake.Answer) {
			if over {
				return
			}
			over = true
			var s protocol.JobStatus
			if err := protocol.Decode(a.Body, &s); err != nil {
				s = protocol.JobStatus{}
			}
			done(a.Status, s)
		}
		n.requests.Handle(r, func(a intake.Answer) {
			proc.leaves(func() { d.World.After(clock.Millisecond, func() { told(a) }) })
		})
	})
}

// Submit has a user submit a job, poll it until it is over and now and then
// repeat the submission.
func (d *Deployment) Submit(spec protocol.JobSpec, run clock.Micros, mistaken bool) *Job {
	j := &Job{home: d, spec: spec, run: run, mistaken: mistaken, gone: map[int]bool{}, places: map[int]map[*Worker]bool{}}
	j.submitted = d.World.now
	d.jobs[spec.ID] = j
	d.order = append(d.order, j)
	d.submit(j)
	return j
}

func (d *Deployment) submit(j *Job) {
	before := j.told
	d.ask(intake.Request{Kind: intake.Submit, Body: protocol.Encode(j.spec)}, func(status int, s protocol.JobStatus) {
		switch status {
		case http.StatusCreated, http.StatusOK:
			first := !j.accepted()
			if first {
				j.acceptedAt = d.World.now
			}
			d.checkStatus(j, before, s)
			if first {
				d.poll(j)
			}
		case http.StatusBadRequest, http.StatusUnprocessableEntity:
			d.World.Break(forgotten, "%s answered %d", j.spec.ID, status)
		default:
			d.World.After(clock.Second, func() { d.submit(j) })
		}
	})
}

// Refused has a user submit what must not be accepted.
func (d *Deployment) Refused(body []byte) {
	d.ask(intake.Request{Kind: intake.Submit, Body: body}, func(status int, _ protocol.JobStatus) {
		if status == http.StatusOK || status == http.StatusCreated {
			d.World.Break(acceptedInvalid, "answered %d: %x", status, body)
		}
	})
}

func (d *Deployment) poll(j *Job) {
	d.World.After(d.World.Between(3*clock.Second, 6*clock.Second), func() {
		before := j.told
		d.ask(intake.Request{Kind: intake.Show, ID: j.spec.ID}, func(status int, s protocol.JobStatus) {
			if status == http.StatusNotFound {
				d.World.Break(forgotten, "%s answered 404", j.spec.ID)
			}
			if status == http.StatusOK {
				j.heardAt = d.World.now
				d.checkStatus(j, before, s)
			}
			if j.told == "" || d.World.chance(0.3) {
				d.poll(j)
			}
			if d.World.chance(0.03) {
				d.submit(j)
			}
		})
	})
}

// Cancel has the user cancel the job.
func (d *Deployment) Cancel(j *Job) {
	if !j.accepted() {
		return
	}
	j.wantsEnd = true
	before := j.told
	d.ask(intake.Request{Kind: intake.Cancel, ID: j.spec.ID}, func(status int, s protocol.JobStatus) {
		if status == http.StatusOK {
			d.checkStatus(j, before, s)
			return
		}
		d.World.After(clock.Second, func() { d.Cancel(j) })
	})
}

// Jobs gives all jobs in the order of their submission.
func (d *Deployment) Jobs() []*Job { return d.order }

// Unfinished are accepted jobs that are neither cancelled nor told done.
func (d *Deployment) Unfinished() []string {
	var ids []string
	for _, j := range d.order {
		if !j.wantsEnd && j.told != protocol.StatusDone && !j.mistaken && !j.spec.Service() {
			ids = append(ids, fmt.Sprintf("%s (%d of %d)", j.spec.ID, len(j.gone), j.spec.Tasks))
		}
	}
	sort.Strings(ids)
	return ids
}

// Told is the final state that the job's user was told, "" before.
func (j *Job) Told() string { return j.told }

// Began is how long after its submission the job's first task had its image, or a very long
// time.
func (j *Job) Began() clock.Micros { return since(j.submitted, j.began) }

// Ended is how long after its submission its user was told its end, or a very long time.
func (j *Job) Ended() clock.Micros { return since(j.submitted, j.toldAt) }

func since(from, to clock.Micros) clock.Micros {
	if to == 0 {
		return never
	}
	return to - from
}

// never is longer than any day.
const never = 100_000 * clock.Second
