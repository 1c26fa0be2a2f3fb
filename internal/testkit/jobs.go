package testkit

import (
	"postpoint/internal/clock"
	"postpoint/internal/planner"
	"postpoint/internal/protocol"
)

// Job is a user's job, what runs of it, and what its user was told.
type Job struct {
	home *Deployment
	spec protocol.JobSpec
	run  clock.Micros // about how long a task runs; 0 for replicas that run until they are stopped
	// mistaken jobs' tasks fail.
	mistaken bool

	submitted  clock.Micros
	acceptedAt clock.Micros
	began      clock.Micros // when its first task had its image
	heardAt    clock.Micros // when its user last got a response
	idleAt     clock.Micros // when it last ran, or couldn't have: see WatchRoom

	// wantsEnd: its user has cancelled it. cancelled is when that was confirmed.
	wantsEnd  bool
	cancelled clock.Micros
	// told is the final status that its user was told, toldAt when that was.
	told   string
	toldAt clock.Micros

	// gone are the completed tasks, places the machines that each task is on.
	gone   map[int]bool
	places map[int]map[*Worker]bool
}

func newJob(d *Deployment, spec protocol.JobSpec, run clock.Micros, mistaken bool) *Job {
	return &Job{
		home: d, spec: spec, run: run, mistaken: mistaken, submitted: d.World.now,
		gone: map[int]bool{}, places: map[int]map[*Worker]bool{},
	}
}

// accepted reports whether a controller has accepted the job.
func (j *Job) accepted() bool { return j.acceptedAt != 0 }

// needs is what one task uses.
func (j *Job) needs() planner.Amounts { return planner.Needs(&j.spec) }

// Done reports whether every task has completed.
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

// Told is the final status that the user was told, empty before.
func (j *Job) Told() string { return j.told }

// Began is how long after its submission the job's first task had its image, or never.
func (j *Job) Began() clock.Micros { return since(j.submitted, j.began) }

// Ended is how long after its submission its user was told its end, or never.
func (j *Job) Ended() clock.Micros { return since(j.submitted, j.toldAt) }

// never is longer than any simulation.
const never = 100_000 * clock.Second

// since is the time between two moments, the second of which may not have come.
func since(from, to clock.Micros) clock.Micros {
	if to == 0 {
		return never
	}
	return to - from
}
