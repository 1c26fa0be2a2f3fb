package simulation

import (
	"fmt"
	"net/http"
	"sort"

	"postpoint/internal/admission"
	"postpoint/internal/clock"
	"postpoint/internal/protocol"
)

const (
	// userTimeout is how long a user waits for a response.
	userTimeout = 5 * clock.Second
	// userLatency is how long a user's request takes each way.
	userLatency = clock.Millisecond
	// retryInterval is how long a user waits before sending a failed request again.
	retryInterval = clock.Second
	// Users poll the status of their jobs in intervals between minPollInterval and maxPollInterval.
	minPollInterval = 3 * clock.Second
	maxPollInterval = 6 * clock.Second
	// pollAfterEndChance is the chance that a user polls once more about a finished job.
	pollAfterEndChance = 0.3
	// resubmissionChance is the chance that a user repeats a submission after a status request.
	resubmissionChance = 0.03
)

// ask sends a user's request to a random controller. Status 0 means no response within userTimeout.
func (d *Deployment) ask(r admission.Request, done func(status int, s protocol.JobStatus)) {
	d.askNode(d.randomNode(), r, done)
}

// randomNode draws a controller.
func (d *Deployment) randomNode() *Node { return d.Nodes[d.World.Rand.IntN(len(d.Nodes))] }

// askNode sends a user's request to one controller.
func (d *Deployment) askNode(n *Node, r admission.Request, done func(status int, s protocol.JobStatus)) {
	finished := false
	finish := func(status int, body []byte) {
		if finished {
			return
		}
		finished = true
		var s protocol.JobStatus
		if err := protocol.Decode(body, &s); err != nil {
			s = protocol.JobStatus{}
		}
		done(status, s)
	}
	d.World.After(userTimeout, func() { finish(0, nil) })
	if !n.Up() || d.partitions[n.Zone] != nil {
		return
	}
	process := n.process
	d.World.After(userLatency, func() {
		if !process.alive {
			return
		}
		n.requests.Handle(r, func(a admission.Response) {
			process.send(func() { d.World.After(userLatency, func() { finish(a.Status, a.Body) }) })
		})
	})
}

// Submit makes a user submit a job, poll its status until it is final, and sometimes repeat the submission.
// run is about how long a task runs. The tasks of failing jobs fail.
func (d *Deployment) Submit(spec protocol.JobSpec, run clock.Micros, failing bool) *Job {
	j := newJob(d, spec, run, failing)
	d.jobs[spec.ID] = j
	d.submittedJobs = append(d.submittedJobs, j)
	d.submit(j)
	return j
}

// submit sends the job's submission until a controller accepts it.
func (d *Deployment) submit(j *Job) {
	before := j.finalStatus
	request := admission.Request{Kind: admission.Submit, Body: protocol.Encode(j.spec)}
	d.ask(request, func(status int, s protocol.JobStatus) {
		switch status {
		case http.StatusCreated, http.StatusOK:
			d.handleSubmitResponse(j, before, s)
		case http.StatusBadRequest, http.StatusUnprocessableEntity:
			d.World.ReportViolation(lostJob, "%s: response with status %d", j.spec.ID, status)
		default:
			d.World.After(retryInterval, func() { d.submit(j) })
		}
	})
}

// handleSubmitResponse handles the response to an accepted submission.
func (d *Deployment) handleSubmitResponse(j *Job, before string, s protocol.JobStatus) {
	first := !j.accepted()
	if first {
		j.acceptedAt = d.World.now
	}
	d.checkStatus(j, before, s)
	if first {
		d.poll(j)
	}
}

// SubmitInvalid makes a user submit something that no controller may accept.
func (d *Deployment) SubmitInvalid(body []byte) {
	d.ask(admission.Request{Kind: admission.Submit, Body: body}, func(status int, _ protocol.JobStatus) {
		if status == http.StatusOK || status == http.StatusCreated {
			d.World.ReportViolation(acceptedInvalid, "response with status %d to %x", status, body)
		}
	})
}

// poll makes the user poll the job's status periodically until it is final.
func (d *Deployment) poll(j *Job) {
	d.World.After(d.World.Between(minPollInterval, maxPollInterval), func() {
		before := j.finalStatus
		d.ask(admission.Request{Kind: admission.GetStatus, ID: j.spec.ID},
			func(status int, s protocol.JobStatus) {
				if status == http.StatusNotFound {
					d.World.ReportViolation(lostJob, "%s: response with status 404", j.spec.ID)
				}
				if status == http.StatusOK {
					j.lastResponseAt = d.World.now
					d.checkStatus(j, before, s)
				}
				if j.finalStatus == "" || d.World.chance(pollAfterEndChance) {
					d.poll(j)
				}
				if d.World.chance(resubmissionChance) {
					d.submit(j)
				}
			})
	})
}

// Cancel makes the user cancel an accepted job and retry until a controller confirms the cancellation.
func (d *Deployment) Cancel(j *Job) {
	if j.accepted() {
		d.cancelAt(d.randomNode(), j)
	}
}

// cancelAt makes the user send a cancellation to one controller, and retry it at random ones.
func (d *Deployment) cancelAt(n *Node, j *Job) {
	j.cancelRequested = true
	before := j.finalStatus
	request := admission.Request{Kind: admission.Cancel, ID: j.spec.ID}
	d.askNode(n, request, func(status int, s protocol.JobStatus) {
		if status == http.StatusOK {
			d.checkStatus(j, before, s)
			return
		}
		d.World.After(retryInterval, func() { d.Cancel(j) })
	})
}

// Jobs returns all jobs in the order of their submission.
func (d *Deployment) Jobs() []*Job { return d.submittedJobs }

// Unfinished lists the jobs that should be done by now but whose users haven't received that status.
func (d *Deployment) Unfinished() []string {
	var ids []string
	for _, j := range d.submittedJobs {
		if !j.cancelRequested && j.finalStatus != protocol.StatusDone && !j.failing && !j.spec.IsService() {
			ids = append(ids, fmt.Sprintf("%s (%d of %d)", j.spec.ID, len(j.completed), j.spec.Tasks))
		}
	}
	sort.Strings(ids)
	return ids
}
