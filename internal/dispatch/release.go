package dispatch

import (
	"net/http"

	"postpoint/internal/cloud"
)

// sendReleases returns what is marked. Once it is answered, the machines and
// all on them are gone: proof for whatever was placed there.
func (sc *autoscaler) sendReleases() {
	leads := sc.leads()
	if sc.releasing || !leads && !sc.mayAnswer() {
		return
	}
	// Those that hold what is cancelled can't wait for others, nor for the cloud to
	// recover from a refusal.
	names := sc.toRelease(nil, true)
	if leads && sc.now() >= sc.downUntil {
		names = sc.toRelease(names, false)
	}
	if len(names) == 0 {
		return
	}
	sc.releasing = true
	epoch := sc.term.Epoch
	sc.cloud.Release(names, sc.actsUntil(), func(status int) {
		if sc.term.Epoch != epoch {
			return
		}
		sc.releasing = false
		if status != http.StatusOK {
			sc.downUntil = sc.now() + downTime
			return
		}
		for _, name := range names {
			sc.forgetMachine(sc.machines.byName[name])
		}
		sc.machines.forgetReleased()
		sc.machines.dropRemoved()
		sc.steps.wake()
	})
}

// toRelease adds marked machines, overdue ones or others, up to what one call takes.
func (sc *autoscaler) toRelease(names []string, overdue bool) []string {
	for _, m := range sc.machines.ordered {
		if m.releasing && m.overdue == overdue && len(names) < cloud.ReleaseSize {
			names = append(names, m.name)
		}
	}
	return names
}

// forgetMachine drops a machine that is proven gone, and frees its places.
func (sc *autoscaler) forgetMachine(m *machine) {
	for id, tasks := range inOrder(m.placed) {
		for _, p := range inOrder(tasks) {
			if j := sc.jobs.byID[id]; j != nil {
				sc.jobs.unplace(j, p)
			}
		}
	}
	sc.machines.remove(m)
	delete(sc.refused, m.kind()) // there is one to be had again
}
