package simulation

import (
	"postpoint/internal/clock"
	"postpoint/internal/planner"
	"postpoint/internal/protocol"
)

// Job is a user's job, what runs of it, and what its user was told.
type Job struct {
	origin *Deployment
	spec   protocol.JobSpec
	run    clock.Micros // about how long a task runs; 0 for replicas that run until they are stopped
	// failing: its tasks fail.
	failing bool

	submittedAt    clock.Micros
	acceptedAt     clock.Micros
	startedAt      clock.Micros // when its first task had its image
	lastResponseAt clock.Micros // when its user last got a response
	idleAt         clock.Micros // when it last ran, or couldn't have: see WatchRoom

	// cancelRequested: its user has cancelled it. cancelledAt is when that was confirmed.
	cancelRequested bool
	cancelledAt     clock.Micros
	// finalStatus is the final status that its user was told, finalAt when that was.
	finalStatus string
	finalAt     clock.Micros

	// completed are the completed tasks, machines those that each task is on.
	completed map[int]bool
	machines  map[int]map[*FakeWorker]bool
}

func newJob(d *Deployment, spec protocol.JobSpec, run clock.Micros, failing bool) *Job {
	return &Job{
		origin: d, spec: spec, run: run, failing: failing, submittedAt: d.World.now,
		completed: map[int]bool{}, machines: map[int]map[*FakeWorker]bool{},
	}
}

// accepted reports whether a controller has accepted the job.
func (j *Job) accepted() bool { return j.acceptedAt != 0 }

// needs is what one task uses.
func (j *Job) needs() planner.Resources { return planner.TaskResources(&j.spec) }

// Done reports whether every task has completed.
func (j *Job) Done() bool { return len(j.completed) == j.spec.Tasks && !j.spec.Service() }

// complete notes that a task has completed. A share of users cancel the job at the moment of its end.
func (j *Job) complete(task int, cancelShare float64) {
	d, was := j.origin, j.Done()
	if !j.completed[task] {
		d.History.taskCompleted(j, task)
	}
	j.completed[task] = true
	if !was && j.Done() && d.World.chance(cancelShare) {
		d.Cancel(j)
	}
}

// FinalStatus is the final status that the user was told, empty before.
func (j *Job) FinalStatus() string { return j.finalStatus }

// StartDelay is how long after its submission the job's first task had its image, or never.
func (j *Job) StartDelay() clock.Micros { return since(j.submittedAt, j.startedAt) }

// CompletionDelay is how long after its submission its user was told its end, or never.
func (j *Job) CompletionDelay() clock.Micros { return since(j.submittedAt, j.finalAt) }

// never is longer than any simulation.
const never = 100_000 * clock.Second

// since is the time between two moments, the second of which may not have come.
func since(from, to clock.Micros) clock.Micros {
	if to == 0 {
		return never
	}
	return to - from
}
