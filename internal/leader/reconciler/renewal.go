package reconciler

import (
	"postpoint/internal/leader/jobtable"
	"postpoint/internal/leader/machinetable"
)

// mayRenewLease reports whether a response may renew the machine's lease. A cancelled task must be gone
// within cancel_s of the confirmation. From lease_s before that time on, a response may renew the lease
// only if it stops the task. A response stops every such task that the worker's heartbeat lists, but it
// can't stop a task that may be on the machine without being listed. See "The arithmetic of
// cancellations" in cancellations.go.
func (cs *CommandSender) mayRenewLease(m *machinetable.Machine) bool {
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

// renewalRequiresStop reports whether only a response that stops the remaining tasks of a job may renew
// a lease.
func (cs *CommandSender) renewalRequiresStop(j *jobtable.Job) bool {
	if j.Permission != nil {
		return !j.Permission.MayKeep(cs.Now())
	}
	return j.Cancelled && cs.Now() > j.CancelConfirmedAt+cs.Settings.Deployment.Workers.RenewalWindow()
}
