package simulation

import (
	"fmt"

	"postpoint/internal/clock"
	"postpoint/internal/jobrecord"
	"postpoint/internal/planner"
	"postpoint/internal/protocol"
)

// rule is the name of a rule that the controllers must never break.
type rule string

// The protocol's rules. Each comment says what breaks the rule.
const (
	ranTwice            rule = "ran_twice"     // a task runs on two machines at once
	overQuota           rule = "quota"         // a team uses more than its quota
	disallowedPlacement rule = "wrong_place"   // a task starts on a machine or in a zone not allowed
	ranCancelled        rule = "ran_cancelled" // a task starts or runs too long after its job's cancellation
	lostJob             rule = "forgotten"     // a controller doesn't know a job or rejects a valid one
	unsubmittedJob      rule = "invented"      // a controller knows a job that nobody submitted
	doneTooEarly        rule = "not_done"      // a job is reported as done before its tasks have completed
	statusReverted      rule = "went_back"     // a final status changes, or a job is cancelled unrequested
)

// The repository's own rules, which detect a fault earlier than the protocol's rules. Each comment says what
// breaks the rule.
const (
	// noLease: a controller without the leader's lease sends commands other than to stop tasks of final jobs.
	noLease rule = "no_lease"
	// unguarded: a transaction could overwrite a value that its sender hasn't read.
	unguarded rule = "unguarded"
	// forgottenEarly: a worker forgets an exit that the record doesn't contain.
	forgottenEarly rule = "forgot_early"
	// forgottenRestarted: an attempt starts again after the worker forgot its exit.
	forgottenRestarted rule = "started_again"
	// startedCancelled: a controller sends a start command for a job that was cancelled a while ago.
	startedCancelled rule = "started_cancelled"
	// acceptedInvalid: a controller accepts an invalid submission.
	acceptedInvalid rule = "accepted"
	// noResponse: an accepted job's user gets no response for long.
	noResponse rule = "unanswered"
	// waitsDespiteCapacity: a job waits for long although there is free capacity for it.
	waitsDespiteCapacity rule = "left_waiting"
	// missingReplica: a replica doesn't run for long.
	missingReplica rule = "unserved"
	// unreadableFormat: a controller stores a value that a controller of the previous version can't read.
	unreadableFormat rule = "old_format"
	// incompleteGang: only some tasks of a gang are placed for long.
	incompleteGang rule = "gang_in_pieces"
	// messageTooLarge: a controller sends a worker more than the protocol allows in one message, or places
	// more tasks on its machine than one heartbeat can list.
	messageTooLarge rule = "too_large"
	// badOverview: an overview can't be encoded.
	badOverview rule = "overview"
	// badRecord: a record can't be decoded.
	badRecord rule = "record"
	// badExchange: a message between cells can't be decoded.
	badExchange rule = "exchange"
)

// ReportViolation records that a controller broke a rule.
func (w *World) ReportViolation(broken rule, format string, args ...any) {
	message := fmt.Sprintf(format, args...)
	w.Violations = append(w.Violations, fmt.Sprintf("%.3f %s: %s", w.now.Seconds(), broken, message))
}

// limitTolerance allows for rounding errors of sums that reach a limit.
const limitTolerance = 1e-6

// taskStarted records that a task has its image on a machine, and checks whether it may start there.
func (d *Deployment) taskStarted(k taskKey, m *FakeWorker) {
	j := d.findJob(k.job)
	d = j.origin // the rules of the origin cell apply
	d.checkStart(j, k, m)
	if j.startedAt == 0 {
		j.startedAt = d.World.now
	}
	if j.machines[k.task] == nil {
		j.machines[k.task] = map[*FakeWorker]bool{}
	}
	j.machines[k.task][m] = true
	d.History.runBegan(j, k.task, m)
	d.usedByTeam[j.spec.Team] = d.usedByTeam[j.spec.Team].Plus(j.taskResources())
	if !j.completed[k.task] { // a completed task exits at once with its earlier result, and uses nothing
		d.checkQuota(j.spec.Team)
	}
}

// taskEnded records that a task isn't on a machine any more.
func (d *Deployment) taskEnded(k taskKey, m *FakeWorker) {
	j := d.findJob(k.job)
	d = j.origin
	delete(j.machines[k.task], m)
	d.History.runEnded(j, k.task, m)
	d.usedByTeam[j.spec.Team] = d.usedByTeam[j.spec.Team].Minus(j.taskResources())
}

// checkStart checks that a task isn't on another machine, that it doesn't start too long after a
// cancellation, and that its job allows the machine and the zone.
func (d *Deployment) checkStart(j *Job, k taskKey, m *FakeWorker) {
	for other := range j.machines[k.task] {
		if other != m {
			d.World.ReportViolation(ranTwice, "%s/%d on %s and %s", k.job, k.task, other.name, m.name)
		}
	}
	cancelTime := clock.FromSeconds(d.Settings.Deployment.Workers.CancelS)
	if j.cancelledAt != 0 && d.World.now > j.cancelledAt+cancelTime {
		d.World.ReportViolation(ranCancelled, "%s/%d starts", k.job, k.task)
	}
	zone := m.d.name + m.zone
	if !planner.MachineAllowed(&j.spec, m.typ, m.zone, m.spot) ||
		!planner.ZoneAllowed(&j.spec, j.zones(k.task), zone) {
		d.World.ReportViolation(disallowedPlacement, "%s/%d on %s %s", k.job, k.task, m.typ, m.zone)
	}
}

// zones counts the machines with tasks of the job by zone. It leaves out the task `except`.
func (j *Job) zones(except int) map[string]int {
	zones := map[string]int{}
	for task, machines := range j.machines {
		if task == except {
			continue
		}
		for m := range machines {
			zones[m.d.name+m.zone]++
		}
	}
	return zones
}

// checkQuota checks that a team is within its quota.
func (d *Deployment) checkQuota(name string) {
	team, _ := d.Settings.Deployment.Team(name)
	used := d.usedByTeam[name]
	if team.CpusMax > 0 && used.Cpus > team.CpusMax+limitTolerance ||
		team.GpusMax > 0 && used.Gpus > team.GpusMax+limitTolerance {
		d.World.ReportViolation(overQuota, "%s uses %v", name, used)
	}
}

// maxRecordAge is how outdated a leader's copy of the records may be, with some allowance for clock drift.
const maxRecordAge = 6100 * clock.Millisecond

// checkCommands checks that no controller sends commands without the leader's lease, and none to start tasks
// of cancelled jobs. Any controller may stop tasks of final jobs, because no later leader needs them.
func (d *Deployment) checkCommands(n *Node, epoch protocol.Epoch, commands []protocol.Command) {
	for _, c := range commands {
		id, _, _ := protocol.ParseTask(c.Task)
		j := d.findJob(id)
		cancelled := j != nil && j.cancelledAt != 0 && d.World.now > j.cancelledAt+maxRecordAge
		if c.Verb == protocol.VerbStart && cancelled {
			d.World.ReportViolation(startedCancelled, "%s starts %s, cancelled since %.3f s",
				n.Name, c.Task, j.cancelledAt.Seconds())
		}
	}
	if d.Store.isLeaderEpoch(epoch) {
		return
	}
	for _, c := range commands {
		if !d.mayStopWithoutLease(c) {
			d.World.ReportViolation(noLease, "%s sends the command %v for epoch %d", n.Name, c, epoch)
		}
	}
}

// minCheckedEntries is the number of entries from which a message may be too large.
const minCheckedEntries = 400

// checkSize reports whether a message between a controller and a worker is within the protocol's limit, and
// records a violation if it isn't. entries is the number of commands or tasks that it lists.
func (d *Deployment) checkSize(sender string, message any, entries int) bool {
	if entries < minCheckedEntries {
		return true
	}
	size := protocol.JSONSize(protocol.Encode(message))
	if size > protocol.MaxBodyBytes {
		d.World.ReportViolation(messageTooLarge, "%s sends %d entries in %d bytes", sender, entries, size)
	}
	return size <= protocol.MaxBodyBytes
}

// mayStopWithoutLease reports whether a command stops a task of a final job or of a hosted job. A hosted job
// may have to end before its record is final, because the origin cell no longer permits it.
func (d *Deployment) mayStopWithoutLease(c protocol.Command) bool {
	id, _, ok := protocol.ParseTask(c.Task)
	_, _, _, hosted := jobrecord.ParseHostedJobID(id)
	return c.Verb == protocol.VerbStop && ok && (hosted || d.Store.final(id))
}

// checkStatus checks the status in a response to a user against the final status that the user knew when
// asking, and records the end of the job.
func (d *Deployment) checkStatus(j *Job, before string, s protocol.JobStatus) {
	final := s.Status == protocol.StatusDone || s.Status == protocol.StatusCancelled
	if before != "" && s.Status != before || s.Status == protocol.StatusCancelled && !j.cancelRequested {
		d.World.ReportViolation(statusReverted, "%s was %q, is %q", j.spec.ID, before, s.Status)
	}
	if s.Status == protocol.StatusDone && !j.Done() {
		d.World.ReportViolation(doneTooEarly, "%s with %d of %d", j.spec.ID, len(j.completed), j.spec.Tasks)
	}
	if !final || j.finalStatus != "" {
		return
	}
	j.finalStatus, j.finalAt = s.Status, d.World.now
	if s.Status == protocol.StatusCancelled {
		j.cancelledAt = d.World.now
		cancelTime := clock.FromSeconds(d.Settings.Deployment.Workers.CancelS)
		d.World.After(cancelTime+1, func() { d.checkCancelled(j) })
	}
}

// checkCancelled checks that no task of a cancelled job is on a machine any more.
func (d *Deployment) checkCancelled(j *Job) {
	for task, machines := range j.machines {
		if len(machines) > 0 {
			d.World.ReportViolation(ranCancelled, "%s/%d is still there", j.spec.ID, task)
		}
	}
	for _, m := range d.group.machines(d) {
		// Only expiries after the cancellation count: an earlier one proved to the leader that the tasks were
		// gone.
		for id, at := range m.expiredJobs {
			undisturbed := d.World.now > max(d.disturbedAt, m.d.disturbedAt)+releaseTime
			if m.d.findJob(id) == j && at > j.cancelledAt && undisturbed {
				d.World.ReportViolation(ranCancelled, "%s is still on %s, which hangs", j.spec.ID, m.name)
			}
		}
	}
}
