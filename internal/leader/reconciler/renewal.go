package reconciler

import (
	"postpoint/internal/leader/jobtable"
	"postpoint/internal/leader/machinetable"
	"postpoint/internal/protocol"
)

// mayRenewLease reports whether a response may renew the machine's lease. A cancelled task must be gone
// within cancel_s of the confirmation. From lease_s before that time on, a response may renew the lease
// only if it stops the task. A response stops every such task that the worker's heartbeat lists, but it
// can't stop a task that may be on the machine without being listed, nor more tasks than fit into a
// message. See "The arithmetic of cancellations" in cancellations.go.
func (cs *CommandSender) mayRenewLease(m *machinetable.Machine) bool {
	if !cs.requiredStopsFit(m) {
		return false
	}
	for id, tasks := range m.Placements {
		j := cs.jobs.ByID[id]
		if j == nil || !cs.renewalRequiresStop(j) {
			continue
		}
		if !j.MustEnd() {
			return false // a hosted job that is briefly neither permitted nor ending
		}
		for _, p := range tasks {
			if _, isListed := m.Tasks[j.AttemptOf(p)]; !isListed && p.WorkerIncarnation() >= m.Incarnation {
				return false
			}
		}
	}
	return true
}

// requiredStopsFit reports whether one message can carry all stops without which the machine's lease must
// not be renewed.
func (cs *CommandSender) requiredStopsFit(m *machinetable.Machine) bool {
	if len(m.Tasks)*protocol.MaxStopBytes <= protocol.MaxCommandListBytes {
		return true
	}
	size := 0
	for ref, t := range m.Tasks {
		j := cs.jobs.ByID[ref.Job]
		if j != nil && t.Status != protocol.TaskExited && cs.renewalRequiresStop(j) {
			stop := commandFor(protocol.VerbStop, ref)
			size += stop.JSONBytes()
		}
	}
	return size <= protocol.MaxCommandListBytes
}

// renewalRequiresStop reports whether only a response that stops the remaining tasks of a job may renew
// a lease.
func (cs *CommandSender) renewalRequiresStop(j *jobtable.Job) bool {
	if j.Permission != nil {
		return !j.Permission.MayKeep(cs.Now())
	}
	return j.Cancelled && cs.Now() > j.CancelConfirmedAt+cs.Settings.Deployment.Workers.RenewalWindow()
}
