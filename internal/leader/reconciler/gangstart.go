package reconciler

import (
	"log/slog"
	"slices"

	"postpoint/internal/clock"
	"postpoint/internal/jobrecord"
	"postpoint/internal/leader/jobtable"
	"postpoint/internal/leader/machinetable"
	"postpoint/internal/ordered"
	"postpoint/internal/protocol"
)

// The tasks of a gang start to run together once each of them has its image. A task that has it waits for
// the others for GangWaitS at most, and then exits. An image can take longer than that to fetch, and a
// machine abandons a fetch for which no task waits any more. So that the gang starts all the same:
//
//   - The start of a task on a machine that has the image is delayed while a peer's fetch may outlast the
//     wait (CommandSender.awaitsPeerFetch).
//   - If a task gave up, the leader lets the tasks that still fetch complete their fetches before it stops
//     them (CommandSender.completesFetch): the next attempt finds the image there.
//   - A fetch that takes far longer than it should is given up, and the job avoids the machine
//     (HealthMonitor.EndOverdueFetches).

const (
	// slowFetchFactor is how many times longer than usual a fetch may take: machines differ by a third, and
	// several fetches share a machine's bandwidth.
	slowFetchFactor = 3
	// fetchCheckInterval is the time between two checks for fetches that take too long.
	fetchCheckInterval = 5 * clock.Second
	// stopFetchOverdue is the reason for stops of tasks whose fetch takes far too long.
	stopFetchOverdue = "fetch overdue"
)

// maxFetchTime returns how long a machine may take to fetch the image of a job.
func (cs *CommandSender) maxFetchTime(m *machinetable.Machine, spec *protocol.JobSpec) clock.Micros {
	return slowFetchFactor * cs.machines.FetchTime(m, spec.ImageGB)
}

// gangWait returns how long a task of a gang waits for its peers.
func (cs *CommandSender) gangWait() clock.Micros {
	return clock.FromSeconds(cs.Settings.Deployment.Workers.GangWaitS)
}

// mayOutlastGangWait reports whether a machine may take longer to fetch a job's image than a task of a gang
// waits for its peers.
func (cs *CommandSender) mayOutlastGangWait(m *machinetable.Machine, spec *protocol.JobSpec) bool {
	return cs.maxFetchTime(m, spec) > cs.gangWait()
}

// awaitsPeerFetch reports whether the start of a gang's task on a machine is to be delayed: the task would
// wait at once, and a peer still has to fetch the image, which may take longer than the task would wait.
func (cs *CommandSender) awaitsPeerFetch(j *jobtable.Job, m *machinetable.Machine) bool {
	if !j.Spec.IsGang() || !m.HasImage(j.Spec.Image) {
		return false
	}
	for _, p := range j.Placements {
		peer := cs.machines.ByName[p.Machine]
		if peer != nil && !hasFetched(j, p, peer) && cs.mayOutlastGangWait(peer, &j.Spec) {
			return true
		}
	}
	return false
}

// hasFetched reports whether a placed task has its job's image, or will have it as soon as it starts.
func hasFetched(j *jobtable.Job, p jobrecord.Placement, m *machinetable.Machine) bool {
	t, isListed := m.Tasks[j.AttemptOf(p)]
	if isListed {
		return t.Status != protocol.TaskFetching
	}
	return m.HasImage(j.Spec.Image)
}

// completesFetch reports whether a task of a broken gang may complete the fetch of its image, since a peer
// gave up waiting for it.
func (cs *CommandSender) completesFetch(j *jobtable.Job, p jobrecord.Placement) bool {
	m := cs.machines.ByName[p.Machine]
	return p.Attempt == j.IncompleteAttempt && m != nil &&
		m.Tasks[j.AttemptOf(p)].Status == protocol.TaskFetching
}

// pushPeers sends the starts that awaitsPeerFetch has delayed until the task of the gang on a machine had
// its image.
func (cs *CommandSender) pushPeers(j *jobtable.Job, fetched *machinetable.Machine) {
	if !j.Spec.IsGang() || !cs.mayOutlastGangWait(fetched, &j.Spec) {
		return
	}
	for _, p := range ordered.ByKey(j.Placements) {
		m := cs.machines.ByName[p.Machine]
		if m == nil {
			continue
		}
		if _, isListed := m.Tasks[j.AttemptOf(p)]; !isListed {
			cs.Push(m)
		}
	}
}

// EndOverdueFetches stops tasks of gangs whose images take far longer to fetch than they should, and makes
// their jobs avoid the machines. It checks the machines once in fetchCheckInterval.
func (hm *HealthMonitor) EndOverdueFetches() {
	if hm.Now() < hm.fetchesCheckedAt+fetchCheckInterval {
		return
	}
	hm.fetchesCheckedAt = hm.Now()
	for _, m := range hm.machines.Ordered {
		for _, ref := range hm.overdueFetches(m) {
			j := hm.jobs.ByID[ref.Job]
			slog.Info("image fetch takes too long", "job", ref.Job, "task", ref.Task, "machine", m.Name,
				"image_gb", j.Spec.ImageGB)
			j.AvoidMachine(m.Name)
			hm.commands.stopTask(j, ref.Task, stopFetchOverdue, "")
		}
	}
}

// overdueFetches returns the placed tasks of gangs on a machine whose fetches are overdue, in a fixed order.
func (hm *HealthMonitor) overdueFetches(m *machinetable.Machine) []machinetable.AttemptRef {
	var overdue []machinetable.AttemptRef
	for id, tasks := range m.Placements {
		j := hm.jobs.ByID[id]
		if j == nil || !j.Spec.IsGang() || j.MustNotRun() {
			continue
		}
		for _, p := range tasks {
			if _, stopping := j.Stops[p.Task]; !stopping && hm.fetchOverdue(j, p, m) {
				overdue = append(overdue, j.AttemptOf(p))
			}
		}
	}
	slices.SortFunc(overdue, machinetable.CompareAttempts)
	return overdue
}

// fetchOverdue reports whether a placed task of a gang has been fetching its image for far too long.
func (hm *HealthMonitor) fetchOverdue(j *jobtable.Job, p jobrecord.Placement, m *machinetable.Machine) bool {
	ref := j.AttemptOf(p)
	if m.Tasks[ref].Status != protocol.TaskFetching {
		return false
	}
	since := hm.BegunAt
	if d := m.Deliveries[ref]; d != nil {
		since = max(since, d.StartSentAt)
	}
	return hm.Now() > since+hm.commands.maxFetchTime(m, &j.Spec)+hm.commands.gangWait()
}
