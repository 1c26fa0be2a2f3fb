package reconciler

import (
	"log/slog"
	"maps"
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
//     (HealthMonitor.EndOverdueFetches). The next one gets twice the time.

const (
	// slowFetchFactor is how many times longer than usual a fetch may take: machines differ by a third, and
	// several fetches share a machine's bandwidth.
	slowFetchFactor = 3
	// fetchCheckInterval is the time between two checks for fetches that take too long.
	fetchCheckInterval = 5 * clock.Second
	// maxPatienceDoublings bounds how often the time for a fetch doubles. It doubles each time a fetch of the
	// job was given up, since all machines may be that slow.
	maxPatienceDoublings = 8
	// stopFetchOverdue is the reason for stops of tasks whose fetch takes far too long.
	stopFetchOverdue = "fetch overdue"
)

// maxFetchTime returns how long a machine may take to fetch images of the given size in total, 0 if that
// isn't known.
func (cs *CommandSender) maxFetchTime(m *machinetable.Machine, sizeGB float64) clock.Micros {
	return slowFetchFactor * cs.machines.FetchTime(m, sizeGB)
}

// gangWait returns how long a task of a gang waits for its peers.
func (cs *CommandSender) gangWait() clock.Micros {
	return clock.FromSeconds(cs.Settings.Deployment.Workers.GangWaitS)
}

// mayOutlastGangWait reports whether a machine may take longer to fetch a gang's image than a task waits for
// its peers: by the usual rate, or because a task of the gang has waited in vain before.
func (cs *CommandSender) mayOutlastGangWait(m *machinetable.Machine, j *jobtable.Job) bool {
	return j.IncompleteAttempt > 0 || cs.maxFetchTime(m, j.Spec.ImageGB) > cs.gangWait()
}

// awaitsPeerFetch reports whether the start of a gang's task on a machine is to be delayed: the task would
// wait at once, and a peer still has to fetch the image, which may take longer than the task would wait.
func (cs *CommandSender) awaitsPeerFetch(j *jobtable.Job, m *machinetable.Machine) bool {
	if !j.Spec.IsGang() || !m.HasImage(j.Spec.Image) {
		return false
	}
	for _, p := range j.Placements {
		peer := cs.machines.ByName[p.Machine]
		if peer != nil && !hasFetched(j, p, peer) && cs.mayOutlastGangWait(peer, j) {
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
	if !j.Spec.IsGang() || !cs.mayOutlastGangWait(fetched, j) {
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
			j.OverdueFetches++
			hm.commands.stopTask(j, ref.Task, stopFetchOverdue, "")
		}
	}
}

// overdueFetches returns the placed tasks of gangs on a machine whose fetches are overdue, in a fixed order.
func (hm *HealthMonitor) overdueFetches(m *machinetable.Machine) []machinetable.AttemptRef {
	fetching := hm.fetchingGangTasks(m)
	if len(fetching) == 0 {
		return nil
	}
	maxTime := hm.commands.maxFetchTime(m, hm.fetchingGB(m))
	return slices.DeleteFunc(fetching, func(ref machinetable.AttemptRef) bool {
		patience := maxTime << min(hm.jobs.ByID[ref.Job].OverdueFetches, maxPatienceDoublings)
		return patience == 0 || hm.Now() <= hm.fetchingSince(m, ref)+patience+hm.commands.gangWait()
	})
}

// fetchingGangTasks returns the placed tasks of gangs on a machine that fetch their images and aren't to
// stop, in a fixed order.
func (hm *HealthMonitor) fetchingGangTasks(m *machinetable.Machine) []machinetable.AttemptRef {
	var fetching []machinetable.AttemptRef
	for id, tasks := range m.Placements {
		j := hm.jobs.ByID[id]
		if j == nil || !j.Spec.IsGang() || j.MustNotRun() {
			continue
		}
		for _, p := range tasks {
			_, stopping := j.Stops[p.Task]
			if ref := j.AttemptOf(p); !stopping && m.Tasks[ref].Status == protocol.TaskFetching {
				fetching = append(fetching, ref)
			}
		}
	}
	slices.SortFunc(fetching, machinetable.CompareAttempts)
	return fetching
}

// fetchingSince returns when the start of a task was last sent, or the beginning of the term if that was
// before it.
func (hm *HealthMonitor) fetchingSince(m *machinetable.Machine, ref machinetable.AttemptRef) clock.Micros {
	if d := m.Deliveries[ref]; d != nil {
		return max(hm.BegunAt, d.StartSentAt)
	}
	return hm.BegunAt
}

// fetchingGB returns the total size of the images that a machine fetches, which share its bandwidth.
func (hm *HealthMonitor) fetchingGB(m *machinetable.Machine) float64 {
	sizes := map[string]float64{}
	for ref, t := range m.Tasks {
		if j := hm.jobs.ByID[ref.Job]; j != nil && t.Status == protocol.TaskFetching {
			sizes[j.Spec.Image] = j.Spec.ImageGB
		}
	}
	total := 0.0
	for _, image := range slices.Sorted(maps.Keys(sizes)) {
		total += sizes[image]
	}
	return total
}

// Completable reports whether a gang that lost tasks hasn't started, so that replacements with the same
// attempt number can complete it. The leader doesn't know the last state of a lost task, but if the gang
// had started, the remaining tasks would be running, or would have exited because a peer was missing,
// by the time the loss is proven.
func (cs *CommandSender) Completable(j *jobtable.Job) bool {
	if !j.Spec.IsGang() || len(j.Placements) == 0 || len(j.Stops) > 0 {
		return false
	}
	attempt := protocol.Attempt(0)
	for _, p := range j.Placements {
		if p.Attempt <= j.BrokenAttempt || attempt != 0 && p.Attempt != attempt {
			return false
		}
		if !cs.mayWaitForPeers(j, p) {
			return false
		}
		attempt = p.Attempt
	}
	return true
}

// mayWaitForPeers reports whether a task of a gang hasn't started yet and is on a machine that keeps
// running: one that renews its lease and that the cloud isn't about to reclaim.
func (cs *CommandSender) mayWaitForPeers(j *jobtable.Job, p jobrecord.Placement) bool {
	m := cs.machines.ByName[p.Machine]
	if m == nil || !cs.machines.EpochAcknowledged(m) || !cs.machines.LeaseRenewed(m) || m.ReclaimAt != 0 {
		return false
	}
	t, isListed := m.Tasks[j.AttemptOf(p)]
	return !isListed || t.Status == protocol.TaskFetching || t.Status == protocol.TaskWaiting
}
