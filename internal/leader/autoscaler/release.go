package autoscaler

import (
	"net/http"

	"postpoint/internal/cloud"
	"postpoint/internal/leader/machinetable"
	"postpoint/internal/ordered"
)

// SendReleases returns what is marked. Once it is answered, the machines and
// all on them are gone: proof for whatever was placed there.
func (sc *Autoscaler) SendReleases() {
	leads := sc.Leads()
	if sc.releasing || !leads && !sc.MayAnswer() {
		return
	}
	// Those that hold what is cancelled can't wait for others, nor for the cloud to
	// recover from a refusal.
	names := sc.addScheduled(nil, true)
	if leads && sc.Now() >= sc.DownUntil {
		names = sc.addScheduled(names, false)
	}
	if len(names) == 0 {
		return
	}
	sc.releasing = true
	epoch := sc.Term.Epoch
	sc.Cloud.Release(names, sc.ActsUntil(), func(status int) {
		if sc.Term.Epoch != epoch {
			return
		}
		sc.releasing = false
		if status != http.StatusOK {
			sc.DownUntil = sc.Now() + cloudRetryDelay
			return
		}
		for _, name := range names {
			sc.forgetMachine(sc.machines.ByName[name])
		}
		sc.machines.ForgetReleased()
		sc.machines.DropRemoved()
		sc.steps.Wake()
	})
}

// addScheduled adds marked machines, overdue ones or others, up to what one call takes.
func (sc *Autoscaler) addScheduled(names []string, overdue bool) []string {
	for _, m := range sc.machines.Ordered {
		if m.Releasing && m.Overdue == overdue && len(names) < cloud.ReleaseSize {
			names = append(names, m.Name)
		}
	}
	return names
}

// forgetMachine drops a machine that is proven gone, and frees its places.
func (sc *Autoscaler) forgetMachine(m *machinetable.Machine) {
	for id, tasks := range ordered.ByKey(m.Placements) {
		for _, p := range ordered.ByKey(tasks) {
			if j := sc.jobs.ByID[id]; j != nil {
				sc.jobs.ReleasePlacement(j, p)
			}
		}
	}
	sc.machines.Remove(m)
	delete(sc.refused, m.Kind()) // there is one to be had again
}
