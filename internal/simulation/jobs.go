package simulation

import (
	"postpoint/internal/clock"
	"postpoint/internal/planner"
	"postpoint/internal/protocol"
)

// Job is a user's job: its specification, its tasks on machines, and the responses that its user received.
type Job struct {
	origin  *Deployment
	spec    protocol.JobSpec
	runTime clock.Micros // about how long a task runs; 0 for replicas that run until a controller stops them
	// failing is set if all its tasks fail.
	failing bool
	// fetchTime is about how long a machine fetches its image, 0 for a short time of each task. See
	// imagePulls.
	fetchTime clock.Micros

	submittedAt    clock.Micros
	acceptedAt     clock.Micros
	startedAt      clock.Micros // when a worker had first fetched the image for one of its tasks
	lastResponseAt clock.Micros // when its user last got a response
	waitingSince   clock.Micros // since when it waits despite free capacity: see MonitorWaitingJobs

	// cancelRequested is set once its user has cancelled it; cancelledAt is when a controller confirmed
	// the cancellation.
	cancelRequested bool
	cancelledAt     clock.Micros
	// finalStatus is the final status that a controller reported to its user, finalAt the time of that
	// response.
	finalStatus string
	finalAt     clock.Micros

	// completed holds the completed tasks, machines the machines that each task is on.
	completed map[int]bool
	machines  map[int]map[*FakeWorker]bool
}

// newJob returns a job that its user submits now.
func newJob(d *Deployment, spec protocol.JobSpec, run clock.Micros, failing bool) *Job {
	return &Job{
		origin: d, spec: spec, runTime: run, failing: failing, submittedAt: d.World.now,
		completed: map[int]bool{}, machines: map[int]map[*FakeWorker]bool{},
	}
}

// accepted reports whether a controller has accepted the job.
func (j *Job) accepted() bool { return j.acceptedAt != 0 }

// taskResources returns the resources of one task.
func (j *Job) taskResources() planner.Resources { return planner.TaskResources(&j.spec) }

// Done reports whether every task has completed.
func (j *Job) Done() bool { return len(j.completed) == j.spec.Tasks && !j.spec.IsService() }

// complete records that a task has completed. If that completes the job, its user cancels it at that moment
// with probability cancelChance.
func (j *Job) complete(task int, cancelChance float64) {
	d, wasDone := j.origin, j.Done()
	if !j.completed[task] {
		d.History.taskCompleted(j, task)
	}
	j.completed[task] = true
	if !wasDone && j.Done() && d.World.chance(cancelChance) {
		d.Cancel(j)
	}
}

// FinalStatus returns the final status that the user received, empty before.
func (j *Job) FinalStatus() string { return j.finalStatus }

// StartDelay returns the time from the job's submission until a worker had fetched the image for one of its
// tasks, or never.
func (j *Job) StartDelay() clock.Micros { return elapsed(j.submittedAt, j.startedAt) }

// CompletionDelay returns the time from the job's submission until its user received its final status, or
// never.
func (j *Job) CompletionDelay() clock.Micros { return elapsed(j.submittedAt, j.finalAt) }

// never is the delay of an event that didn't happen; it is longer than any simulation.
const never = 100_000 * clock.Second

// elapsed returns the time between two moments, or never if the second is 0.
func elapsed(from, to clock.Micros) clock.Micros {
	if to == 0 {
		return never
	}
	return to - from
}
