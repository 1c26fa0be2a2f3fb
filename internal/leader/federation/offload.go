package federation

import (
	"cmp"
	"maps"
	"slices"

	"postpoint/internal/clock"
	"postpoint/internal/delegation"
	"postpoint/internal/leader/jobtable"
	"postpoint/internal/offload"
	"postpoint/internal/ordered"
	"postpoint/internal/planner"
	"postpoint/internal/protocol"
)

const (
	// offloadInterval is the time between two decisions about offloading.
	offloadInterval = 2 * clock.Second
	// MaxReturns is how often other cells may return unfinished tasks of a job. After that the job stays in
	// this cell.
	MaxReturns = 3
	// MinStayTime is the least time for which a job stays in this cell after another cell returned its tasks.
	MinStayTime = 60 * clock.Second
	// unschedulableWaitS is the assumed wait, in seconds, of jobs that fit on no machine of this cell.
	unschedulableWaitS = 600
)

// compareQueued orders jobs approximately as the planner does.
func compareQueued(a, b *jobtable.Job) int {
	return cmp.Or(
		cmp.Compare(a.Rank(), b.Rank()),
		cmp.Compare(a.SubmittedAt, b.SubmittedAt),
		cmp.Compare(a.Spec.ID, b.Spec.ID),
	)
}

// offload delegates tasks that can't start in this cell in time.
func (o *Origin) offload() {
	if !o.cells.Enabled() || o.Now() < o.nextOffloadAt || o.cells.Directory.Own.Draining {
		return
	}
	o.nextOffloadAt = o.Now() + offloadInterval
	hosts := o.candidateHosts()
	if len(hosts) == 0 {
		return
	}
	candidates := o.offloadCandidates()
	if len(candidates) == 0 {
		return
	}
	if o.Numbers.empty() {
		o.ReserveNumbers()
		return
	}
	for _, assignment := range offload.Plan(candidates, hosts) {
		o.delegateAssigned(assignment)
	}
}

// candidateHosts returns the cells that may get further delegations. Their quotas are reduced by the tasks of
// delegations that they haven't accepted yet.
func (o *Origin) candidateHosts() []offload.Host {
	now := o.Now()
	var hosts []offload.Host
	for name, link := range ordered.ByKey(o.cells.ByCell) {
		if !link.host.known() || link.host.outdated(now) || o.cells.draining(name) {
			continue
		}
		if o.delegationsTo(name) < delegation.MaxPerHost {
			load := link.host.load
			load.QuotaLeft = o.remainingQuota(name, load.QuotaLeft)
			hosts = append(hosts, offload.Host{Name: name, Load: load})
		}
	}
	return hosts
}

// remainingQuota returns what is left of a host's quota after the delegations that it hasn't accepted yet.
func (o *Origin) remainingQuota(host string, quota planner.Resources) planner.Resources {
	for _, del := range o.Delegations {
		if del.Host != host || del.State != delegation.Offered {
			continue
		}
		if j := o.jobs.ByID[del.Job]; j != nil {
			quota = quota.Minus(planner.TaskResources(&j.Spec).Times(float64(del.Tasks.Len())))
		}
	}
	return quota
}

// delegationsTo counts the delegations to a host.
func (o *Origin) delegationsTo(host string) int {
	n := 0
	for _, del := range o.Delegations {
		if del.Host == host {
			n++
		}
	}
	return n
}

// offloadCandidates returns the jobs whose tasks have waited long enough to be offloaded, the most urgent job
// first.
func (o *Origin) offloadCandidates() []offload.Candidate {
	var waiting []*jobtable.Job
	for _, j := range o.jobs.ByID {
		if o.OffloadableTasks(j).Count > 0 {
			waiting = append(waiting, j)
		}
	}
	slices.SortFunc(waiting, compareQueued)
	waits := o.expectedWaits()
	var candidates []offload.Candidate
	for _, j := range waiting {
		rule, _ := o.cells.Directory.OffloadRule(j.Spec.Class, j.Spec.Team)
		tasks := o.OffloadableTasks(j)
		candidates = append(candidates, offload.Candidate{
			Job:          j.Spec.ID,
			Spec:         &j.Spec,
			Tasks:        tasks.Count,
			AllOrNothing: tasks.AllOrNothing,
			OriginWaitS:  waits[j.Spec.ID],
			Hosts:        rule.To,
		})
	}
	return candidates
}

// Offloadable says how many tasks of a job may be delegated now.
type Offloadable struct {
	Count int
	// AllOrNothing reports that the tasks may only be delegated together. This holds for gangs and for jobs
	// whose tasks' zones depend on each other.
	AllOrNothing bool
}

// OffloadableTasks returns how many tasks of a job may be delegated now.
func (o *Origin) OffloadableTasks(j *jobtable.Job) Offloadable {
	if !o.mayOffload(j) {
		return Offloadable{}
	}
	pending := j.PendingCount()
	if j.Spec.IsGang() || j.Spec.OneZone || j.Spec.Spread {
		if len(j.Placements) > 0 || pending > delegation.MaxTasks ||
			j.Spec.IsGang() && pending < j.Spec.Tasks {
			return Offloadable{AllOrNothing: true}
		}
		return Offloadable{Count: pending, AllOrNothing: true}
	}
	return Offloadable{Count: min(j.UnmetTasks, pending)}
}

// mayOffload reports whether a job has waited as long as its offload rule requires, and no other condition
// keeps its tasks in this cell.
func (o *Origin) mayOffload(j *jobtable.Job) bool {
	now := o.Now()
	switch {
	case j.MustNotRun() || j.Hosted != nil || j.Spec.IsService():
		return false
	case j.ReadPending() || j.ShardsUnread() || j.Sharding():
		return false
	case !j.HasUnmetDemand(now) || now < j.NotBefore:
		return false
	case j.ReturnCount >= MaxReturns || j.ReturnedAt != 0 && now < j.ReturnedAt+MinStayTime:
		return false
	}
	rule, found := o.cells.Directory.OffloadRule(j.Spec.Class, j.Spec.Team)
	return found && now >= j.UnmetSince+max(rule.MinWait, ShortageTime)
}

// expectedWaits estimates, in seconds, how long each open job waits for capacity in this cell: the time for
// the jobs that are queued before it, for half of its own pending tasks and for half of all running tasks.
func (o *Origin) expectedWaits() map[protocol.JobID]float64 {
	capacity := o.capacity()
	queue := slices.SortedFunc(maps.Values(o.jobs.ByID), compareQueued)
	runningS := 0.0
	for _, j := range queue {
		runningS += clusterSeconds(j, len(j.Placements), capacity)
	}
	waits := make(map[protocol.JobID]float64, len(queue))
	aheadS := runningS / 2
	for _, j := range queue {
		if j.MustNotRun() {
			continue
		}
		pendingS := clusterSeconds(j, j.PendingCount(), capacity)
		waits[j.Spec.ID] = aheadS + pendingS/2
		if !o.fitsAnyMachine(j) {
			waits[j.Spec.ID] = unschedulableWaitS
		}
		aheadS += pendingS
	}
	return waits
}

// capacity returns the total resources of this cell's machines.
func (o *Origin) capacity() planner.Resources {
	var sum planner.Resources
	for i := range o.snapshots.LastMachines {
		sum = sum.Plus(o.snapshots.LastMachines[i].Capacity)
	}
	return sum
}

// clusterSeconds returns how long n tasks of a job would occupy the whole capacity, in seconds.
func clusterSeconds(j *jobtable.Job, n int, capacity planner.Resources) float64 {
	return j.Spec.EstimateS * planner.TaskResources(&j.Spec).Times(float64(n)).DominantShare(capacity)
}

// fitsAnyMachine reports whether a task of a job fits on some empty machine of this cell, including booting
// machines.
func (o *Origin) fitsAnyMachine(j *jobtable.Job) bool {
	for i := range o.snapshots.LastMachines {
		m := &o.snapshots.LastMachines[i]
		if planner.TaskResources(&j.Spec).FitsIn(m.Capacity) &&
			planner.MachineAllowed(&j.Spec, m.Type, m.Zone, m.Spot) {
			return true
		}
	}
	return false
}

// delegateAssigned delegates the last pending tasks of a job to the assigned host. It makes as many
// delegations as needed for the tasks to fit into the host's records.
func (o *Origin) delegateAssigned(assignment offload.Assignment) {
	j := o.jobs.ByID[assignment.Job]
	tasks := min(assignment.Tasks, o.jobs.TasksWithinQuota(j))
	perDelegation := min(delegation.MaxTasks, max(1, o.cells.ByCell[assignment.Host].host.load.MaxTasks))
	if o.OffloadableTasks(j).AllOrNothing {
		if tasks < assignment.Tasks {
			return
		}
		perDelegation = assignment.Tasks
	}
	for remaining := tasks; remaining > 0 && o.mayDelegateTo(assignment.Host); remaining -= perDelegation {
		o.Delegate(j, assignment.Host, j.LastPending(min(perDelegation, remaining)))
	}
}

// mayDelegateTo reports whether a delegation number is left and the host has fewer than the maximum number of
// delegations.
func (o *Origin) mayDelegateTo(host string) bool {
	return !o.Numbers.empty() && o.delegationsTo(host) < delegation.MaxPerHost
}
