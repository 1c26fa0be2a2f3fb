package reconciler

import (
	"postpoint/internal/leader/jobtable"
	"postpoint/internal/leader/machinetable"
)

// mayRenewLease reports whether a response may renew the machine's lease. A cancelled task must be gone
// within cancel_s of the confirmation. From lease_s before that on, a response must stop the task, and
// it does so for every task that the worker reports. It can't stop a task that may be on the machine
// without being reported. See "The arithmetic of cancellations" in cancellations.go.
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
			if _, reported := m.Tasks[j.AttemptOf(p)]; !reported && p.WorkerIncarnation() >= m.Incarnation {
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
