package reconciler

import (
	"postpoint/internal/leader/jobtable"
	"postpoint/internal/leader/machinetable"
)

// mayRenewLease reports whether a response may renew the machine's lease. A cancelled task must be
// gone within cancel_s of the confirmation: from lease_s before that on, a response has to carry the
// task's end, which it does for whatever the worker reports. What may be there without being reported
// can't be ended like that. See "The arithmetic of cancellations" in cancellations.go.
func (cs *CommandSender) mayRenewLease(m *machinetable.Machine) bool {
	for id, tasks := range m.Placements {
		j := cs.jobs.ByID[id]
		if j == nil || !cs.renewalNeedsEnd(j) {
			continue
		}
		if !j.MustEnd() {
			return false // a hosted job that nobody permits and nobody ends, for a moment
		}
		for _, p := range tasks {
			if _, reported := m.Tasks[j.AttemptOf(p)]; !reported && p.WorkerIncarnation() >= m.Incarnation {
				return false
			}
		}
	}
	return true
}

// renewalNeedsEnd reports whether a lease may be renewed only by a response that ends what is left of a
// job.
func (cs *CommandSender) renewalNeedsEnd(j *jobtable.Job) bool {
	if j.Permission != nil {
		return !j.Permission.MayKeep(cs.Now())
	}
	return j.Cancelled && cs.Now() > j.CancelConfirmedAt+cs.Settings.Deployment.Workers.RenewalWindow()
}
