package simulation

import (
	"fmt"

	"postpoint/internal/clock"
	"postpoint/internal/jobrecord"
	"postpoint/internal/planner"
	"postpoint/internal/protocol"
)

// rule is the name of a rule that must not be broken.
type rule string

// The protocol's rules.
const (
	ranTwice     rule = "ran_twice"
	overQuota    rule = "quota"
	wrongPlace   rule = "wrong_place"
	ranCancelled rule = "ran_cancelled"
	forgotten    rule = "forgotten"
	invented     rule = "invented"
	notDone      rule = "not_done"
	wentBack     rule = "went_back"
)

// The repository's own rules, which show a fault earlier than the protocol's.
const (
	// noLease: commands without the leader's lease, other than to stop what is final.
	noLease rule = "no_lease"
	// unguarded: a transaction that could overwrite what its sender hasn't read.
	unguarded rule = "unguarded"
	// forgotEarly: a worker forgets an end that the record doesn't have.
	forgotEarly rule = "forgot_early"
	// startedAgain: an attempt starts again after the worker forgot its end.
	startedAgain rule = "started_again"
	// startedCancelled: a start command for a job that was cancelled a while ago.
	startedCancelled rule = "started_cancelled"
	// acceptedInvalid: an invalid submission is accepted.
	acceptedInvalid rule = "accepted"
	// unanswered: an accepted job's user gets no response for long.
	unanswered rule = "unanswered"
	// leftWaiting: a job waits for long though there is room.
	leftWaiting rule = "left_waiting"
	// unserved: a replica doesn't run for long.
	unserved rule = "unserved"
	// oldFormat: a value that a controller of the previous version can't read.
	oldFormat rule = "old_format"
	// incompleteGang: a gang that is placed in part for long.
	incompleteGang rule = "gang_in_pieces"
	// badOverview: an overview that can't be encoded.
	badOverview rule = "overview"
	// badRecord: a record that can't be decoded.
	badRecord rule = "record"
	// badExchange: a message between cells that can't be decoded.
	badExchange rule = "exchange"
)

// Violate notes that a rule was broken.
func (w *World) Violate(broken rule, format string, args ...any) {
	message := fmt.Sprintf(format, args...)
	w.Violations = append(w.Violations, fmt.Sprintf("%.3f %s: %s", w.now.Seconds(), broken, message))
}

// limitTolerance is for sums of fractions that reach a limit.
const limitTolerance = 1e-6

// taskStarted notes that a task has its image on a machine, and checks whether it may be there.
func (d *Deployment) taskStarted(k taskKey, m *FakeWorker) {
	j := d.find(k.job)
	d = j.origin // whose rules count
	d.checkStart(j, k, m)
	if j.startedAt == 0 {
		j.startedAt = d.World.now
	}
	if j.machines[k.task] == nil {
		j.machines[k.task] = map[*FakeWorker]bool{}
	}
	j.machines[k.task][m] = true
	d.History.runBegan(j, k.task, m)
	d.used[j.spec.Team] = d.used[j.spec.Team].Plus(j.needs())
	if !j.completed[k.task] { // or it exits at once with its earlier result, and uses nothing
		d.checkQuota(j.spec.Team)
	}
}

// taskEnded notes that a task isn't on a machine any more.
func (d *Deployment) taskEnded(k taskKey, m *FakeWorker) {
	j := d.find(k.job)
	d = j.origin
	delete(j.machines[k.task], m)
	d.History.runEnded(j, k.task, m)
	d.used[j.spec.Team] = d.used[j.spec.Team].Minus(j.needs())
}

// checkStart checks that a task starts nowhere else, in time before a cancellation, and on a machine
// and in a zone that its job allows.
func (d *Deployment) checkStart(j *Job, k taskKey, m *FakeWorker) {
	for other := range j.machines[k.task] {
		if other != m {
			d.World.Violate(ranTwice, "%s/%d on %s and %s", k.job, k.task, other.name, m.name)
		}
	}
	cancelTime := clock.FromSeconds(d.Settings.Deployment.Workers.CancelS)
	if j.cancelledAt != 0 && d.World.now > j.cancelledAt+cancelTime {
		d.World.Violate(ranCancelled, "%s/%d starts", k.job, k.task)
	}
	zone := m.d.name + m.zone
	if !planner.MachineAllowed(&j.spec, m.typ, m.zone, m.spot) ||
		!planner.ZoneAllowed(&j.spec, j.zones(k.task), zone) {
		d.World.Violate(wrongPlace, "%s/%d on %s %s", k.job, k.task, m.typ, m.zone)
	}
}

// zones counts the machines with other tasks of the job by zone.
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

// checkQuota checks that a team is within its limits.
func (d *Deployment) checkQuota(name string) {
	team, _ := d.Settings.Deployment.Team(name)
	used := d.used[name]
	if team.CpusMax > 0 && used.Cpus > team.CpusMax+limitTolerance ||
		team.GpusMax > 0 && used.Gpus > team.GpusMax+limitTolerance {
		d.World.Violate(overQuota, "%s uses %v", name, used)
	}
}

// startGrace is how old a leader's knowledge of the records may be, a little drift of clocks included.
const startGrace = 6100 * clock.Millisecond

// checkCommands checks that nobody sends commands without the leader's lease, but to stop tasks of final
// jobs: that ends nothing which a later leader could want. Cancelled jobs aren't started.
func (d *Deployment) checkCommands(n *Node, epoch protocol.Epoch, commands []protocol.Command) {
	for _, c := range commands {
		id, _, _ := protocol.ParseTask(c.Task)
		j := d.find(id)
		cancelled := j != nil && j.cancelledAt != 0 && d.World.now > j.cancelledAt+startGrace
		if c.Verb == protocol.VerbStart && cancelled {
			d.World.Violate(startedCancelled, "%s starts %s, cancelled since %.3f s",
				n.Name, c.Task, j.cancelledAt.Seconds())
		}
	}
	if d.Store.leads(epoch) {
		return
	}
	for _, c := range commands {
		if !d.mayStopWithoutLease(c) {
			d.World.Violate(noLease, "%s gives the order %v for epoch %d", n.Name, c, epoch)
		}
	}
}

// mayStopWithoutLease reports whether a command stops a task of a final job, or a hosted one: those end
// without their records saying so if the origin cell no longer permits them.
func (d *Deployment) mayStopWithoutLease(c protocol.Command) bool {
	id, _, ok := protocol.ParseTask(c.Task)
	_, _, _, hosted := jobrecord.ParseHostedJobID(id)
	return c.Verb == protocol.VerbStop && ok && (hosted || d.Store.final(id))
}

// checkStatus checks a response to a user by what the user had been told when asking, and notes the end
// of the job.
func (d *Deployment) checkStatus(j *Job, before string, s protocol.JobStatus) {
	final := s.Status == protocol.StatusDone || s.Status == protocol.StatusCancelled
	if before != "" && s.Status != before || s.Status == protocol.StatusCancelled && !j.cancelRequested {
		d.World.Violate(wentBack, "%s was %q, is %q", j.spec.ID, before, s.Status)
	}
	if s.Status == protocol.StatusDone && !j.Done() {
		d.World.Violate(notDone, "%s with %d of %d", j.spec.ID, len(j.completed), j.spec.Tasks)
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

// checkCancelled checks that nothing of a cancelled job is on a machine any more.
func (d *Deployment) checkCancelled(j *Job) {
	for task, machines := range j.machines {
		if len(machines) > 0 {
			d.World.Violate(ranCancelled, "%s/%d is still there", j.spec.ID, task)
		}
	}
	for _, m := range d.group.machines(d) {
		// If its lease had ended before the cancellation, that would have proven it gone.
		for id, at := range m.expiredJobs {
			undisturbed := d.World.now > max(d.disturbedAt, m.d.disturbedAt)+returnable
			if m.d.find(id) == j && at > j.cancelledAt && undisturbed {
				d.World.Violate(ranCancelled, "%s is still on %s, which hangs", j.spec.ID, m.name)
			}
		}
	}
}
