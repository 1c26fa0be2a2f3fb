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
	// offloadInterval is from one decision to the next.
	offloadInterval = 2 * clock.Second
	// MaxReturns is how often work of one job may come back unfinished: after that it stays.
	MaxReturns = 3
	// MinStayTime is how long work that came back stays at least.
	MinStayTime = 60 * clock.Second
	// unschedulableWaitS is the expected wait for work that no machine of this cell could ever run.
	unschedulableWaitS = 600
)

// compareQueued orders jobs about as the planner does.
func compareQueued(a, b *jobtable.Job) int {
	return cmp.Or(
		cmp.Compare(a.Rank(), b.Rank()),
		cmp.Compare(a.SubmittedAt, b.SubmittedAt),
		cmp.Compare(a.Spec.ID, b.Spec.ID),
	)
}

// offload delegates work that can't start here in time.
func (o *Origin) offload() {
	if !o.cells.Enabled() || o.Now() < o.nextOffloadAt || o.cells.Directory.Own.Draining {
		return
	}
	o.nextOffloadAt = o.Now() + offloadInterval
	hosts := o.candidateHosts()
	if len(hosts) == 0 {
		return
	}
	work := o.offloadableWork()
	if len(work) == 0 {
		return
	}
	if o.Numbers.empty() {
		o.ReserveNumbers()
		return
	}
	for _, choice := range offload.Plan(work, hosts) {
		o.delegateTo(choice)
	}
}

// candidateHosts returns the cells that can be asked, with their loads less what they were offered since.
func (o *Origin) candidateHosts() []offload.Host {
	now := o.Now()
	var hosts []offload.Host
	for name, link := range ordered.ByKey(o.cells.ByCell) {
		if !link.host.known() || link.host.outdated(now) || o.cells.drained(name) {
			continue
		}
		if o.delegationsTo(name) < delegation.MaxPerHost {
			load := link.host.load
			load.QuotaLeft = o.roomLeft(name, load.QuotaLeft)
			hosts = append(hosts, offload.Host{Name: name, Load: load})
		}
	}
	return hosts
}

// roomLeft returns what is left of a host's quota after the delegations that it hasn't accepted yet.
func (o *Origin) roomLeft(host string, room planner.Resources) planner.Resources {
	for _, del := range o.Delegations {
		if del.Host != host || del.State != delegation.Offered {
			continue
		}
		if j := o.jobs.ByID[del.Job]; j != nil {
			room = room.Minus(planner.TaskResources(&j.Spec).Times(float64(del.Tasks.Len())))
		}
	}
	return room
}

// delegationsTo counts the delegations that a host has.
func (o *Origin) delegationsTo(host string) int {
	n := 0
	for _, del := range o.Delegations {
		if del.Host == host {
			n++
		}
	}
	return n
}

// offloadableWork returns the work that has waited for long enough, the most urgent first.
func (o *Origin) offloadableWork() []offload.Candidate {
	var waiting []*jobtable.Job
	for _, j := range o.jobs.ByID {
		if o.OffloadableTasks(j).Count > 0 {
			waiting = append(waiting, j)
		}
	}
	slices.SortFunc(waiting, compareQueued)
	waits := o.expectedWaits()
	var work []offload.Candidate
	for _, j := range waiting {
		rule, _ := o.cells.Directory.OffloadRule(j.Spec.Class, j.Spec.Team)
		tasks := o.OffloadableTasks(j)
		work = append(work, offload.Candidate{
			Job:          j.Spec.ID,
			Spec:         &j.Spec,
			Tasks:        tasks.Count,
			AllOrNothing: tasks.AllOrNothing,
			OriginWaitS:  waits[j.Spec.ID],
			Hosts:        rule.To,
		})
	}
	return work
}

// Offloadable is how many tasks of a job may go to another cell now.
type Offloadable struct {
	Count int
	// AllOrNothing reports that the tasks only go together: those of gangs, and of jobs whose tasks' zones
	// depend on each other.
	AllOrNothing bool
}

// OffloadableTasks returns how many tasks of a job may go to another cell now.
func (o *Origin) OffloadableTasks(j *jobtable.Job) Offloadable {
	if !o.mayOffload(j) {
		return Offloadable{}
	}
	pending := j.PendingCount()
	if j.Spec.Gang() || j.Spec.OneZone || j.Spec.Spread {
		if len(j.Placements) > 0 || pending > delegation.MaxTasks || j.Spec.Gang() && pending < j.Spec.Tasks {
			return Offloadable{AllOrNothing: true}
		}
		return Offloadable{Count: pending, AllOrNothing: true}
	}
	return Offloadable{Count: min(j.UnmetTasks, pending)}
}

// mayOffload reports whether a job's tasks have waited for as long as its rule demands and nothing else keeps
// them here.
func (o *Origin) mayOffload(j *jobtable.Job) bool {
	now := o.Now()
	switch {
	case j.Over() || j.Hosted != nil || j.Spec.Service():
		return false
	case j.ReadPending() || j.ShardsUnread() || j.Sharding():
		return false
	case !j.HasUnmetDemand(now) || now < j.NotBefore:
		return false
	case j.ReturnCount >= MaxReturns || j.GivenBackAt != 0 && now < j.GivenBackAt+MinStayTime:
		return false
	}
	rule, found := o.cells.Directory.OffloadRule(j.Spec.Class, j.Spec.Team)
	return found && now >= j.UnmetSince+max(rule.MinWait, ShortageTime)
}

// expectedWaits returns how long, in seconds, jobs are expected to wait for room here: for what is queued
// before them and half of what runs.
func (o *Origin) expectedWaits() map[protocol.JobID]float64 {
	capacity := o.capacity()
	queue := slices.SortedFunc(maps.Values(o.jobs.ByID), compareQueued)
	running := 0.0
	for _, j := range queue {
		running += clusterSeconds(j, len(j.Placements), capacity)
	}
	waits := make(map[protocol.JobID]float64, len(queue))
	ahead := running / 2
	for _, j := range queue {
		if j.Over() {
			continue
		}
		own := clusterSeconds(j, j.PendingCount(), capacity)
		waits[j.Spec.ID] = ahead + own/2
		if !o.fitsAnyMachine(j) {
			waits[j.Spec.ID] = unschedulableWaitS
		}
		ahead += own
	}
	return waits
}

// capacity returns the resources of all of this cell's machines.
func (o *Origin) capacity() planner.Resources {
	var sum planner.Resources
	for i := range o.snapshots.LastMachines {
		sum = sum.Plus(o.snapshots.LastMachines[i].Capacity)
	}
	return sum
}

// clusterSeconds returns for how long n tasks of a job would keep the whole capacity busy.
func clusterSeconds(j *jobtable.Job, n int, capacity planner.Resources) float64 {
	return j.Spec.EstimateS * planner.TaskResources(&j.Spec).Times(float64(n)).DominantShare(capacity)
}

// fitsAnyMachine reports whether a task would fit on some machine, booting ones included, if that were empty.
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

// delegateTo carries out a choice: the job's last pending tasks go, as many to a delegation as the host's
// records have room for.
func (o *Origin) delegateTo(choice offload.Assignment) {
	j := o.jobs.ByID[choice.Job]
	tasks := min(choice.Tasks, o.jobs.TasksWithinQuota(j))
	perDelegation := min(delegation.MaxTasks, max(1, o.cells.ByCell[choice.Host].host.load.MaxTasks))
	if o.OffloadableTasks(j).AllOrNothing {
		if tasks < choice.Tasks {
			return
		}
		perDelegation = choice.Tasks
	}
	for left := tasks; left > 0 && o.mayDelegateTo(choice.Host); left -= perDelegation {
		o.Delegate(j, choice.Host, j.LastPending(min(perDelegation, left)))
	}
}

// mayDelegateTo reports whether there is a number left and the host has fewer delegations than it may have.
func (o *Origin) mayDelegateTo(host string) bool {
	return !o.Numbers.empty() && o.delegationsTo(host) < delegation.MaxPerHost
}
