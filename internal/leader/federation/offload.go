package federation

import (
	"cmp"
	"maps"
	"slices"

	"postpoint/internal/clock"
	"postpoint/internal/delegation"
	"postpoint/internal/leader/jobtable"
	"postpoint/internal/leader/machinetable"
	"postpoint/internal/ordered"
	"postpoint/internal/planner"
	"postpoint/internal/protocol"
	"postpoint/internal/spill"
)

const (
	// offloadInterval is from one decision to the next.
	offloadInterval = 2 * clock.Second
	// LoadLifetime is for how long a cell's word on its load is used.
	LoadLifetime = 6 * clock.Second
	// MaxReturned is how often work of one job may come back unfinished: after that it stays.
	MaxReturned = 3
	// MinStayTime is how long work that came back stays at least.
	MinStayTime = 60 * clock.Second
	// homeFreeTime is for how long nothing at home has to have waited for room before work
	// that waits elsewhere is wanted back: less than idle machines are kept.
	homeFreeTime = 4 * clock.Second
	// noRoomS is the wait for work that no machine there is at home could ever run.
	noRoomS = 600
)

// inQueue orders jobs about as the planner does.
func inQueue(a, b *jobtable.Job) int {
	return cmp.Or(cmp.Compare(a.Rank(), b.Rank()), cmp.Compare(a.SubmittedAt, b.SubmittedAt), cmp.Compare(a.Spec.ID, b.Spec.ID))
}

// offload has work that can't start here in time run by other cells.
func (oc *Origin) offload() {
	if !oc.cells.Enabled() || oc.Now() < oc.nextOffloadAt || oc.cells.Directory.Own.Draining {
		return
	}
	oc.nextOffloadAt = oc.Now() + offloadInterval
	hosts := oc.candidateHosts()
	if len(hosts) == 0 {
		return
	}
	work := oc.offloadableWork()
	if len(work) == 0 {
		return
	}
	if oc.Numbers.Next == oc.Numbers.End {
		oc.ReserveNumbers()
		return
	}
	for _, c := range spill.Plan(work, hosts) {
		oc.delegateTo(c)
	}
}

// candidateHosts are the cells that can be asked, less what they have been offered since they told their
// load.
func (oc *Origin) candidateHosts() []spill.Host {
	var hosts []spill.Host
	for name, link := range ordered.ByKey(oc.cells.ByCell) {
		if link.LoadAt == 0 || oc.Now() > link.LoadAt+LoadLifetime || oc.cells.drained(name) {
			continue
		}
		h := spill.Host{Name: name, Load: link.Load}
		open := 0
		for _, del := range oc.Delegations {
			if del.Host != name {
				continue
			}
			open++
			if j := oc.jobs.ByID[del.Job]; j != nil && del.State == delegation.Offered {
				h.Load.Room = h.Load.Room.Minus(planner.Needs(&j.Spec).Times(float64(del.Tasks.Len())))
			}
		}
		if open < delegation.MaxPerHost {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// offloadableWork is the work that has waited for long enough, the most urgent first.
func (oc *Origin) offloadableWork() []spill.Work {
	var waiting []*jobtable.Job
	for _, j := range oc.jobs.ByID {
		if n, _ := oc.OffloadableTasks(j); n > 0 {
			waiting = append(waiting, j)
		}
	}
	slices.SortFunc(waiting, inQueue)
	waits := oc.expectedWaits()
	var work []spill.Work
	for _, j := range waiting {
		rule, _ := oc.cells.Directory.Rule(j.Spec.Class, j.Spec.Team)
		tasks, whole := oc.OffloadableTasks(j)
		work = append(work, spill.Work{Job: j.Spec.ID, Spec: &j.Spec, Tasks: tasks, Whole: whole, HomeS: waits[j.Spec.ID], To: rule.To})
	}
	return work
}

// OffloadableTasks is how many tasks of a job may go to another cell now. whole tells that they go
// together: gangs, and jobs whose tasks' zones depend on each other.
func (oc *Origin) OffloadableTasks(j *jobtable.Job) (tasks int, whole bool) {
	now := oc.Now()
	if j.Over() || j.Guest != nil || j.Spec.Service() || j.ReadPending() || j.ShardsUnread() || j.Sharding() ||
		j.UnmetAt == 0 || now > j.UnmetAt+jobtable.UnmetDemandGap || now < j.NotBefore || j.Returned >= MaxReturned ||
		j.GivenBackAt != 0 && now < j.GivenBackAt+MinStayTime {
		return 0, false
	}
	rule, ok := oc.cells.Directory.Rule(j.Spec.Class, j.Spec.Team)
	if !ok || now < j.UnmetSince+max(rule.After, ShortageTime) {
		return 0, false
	}
	if whole = j.Spec.Gang() || j.Spec.OneZone || j.Spec.Spread; whole {
		tasks = j.PendingCount()
		if len(j.Placed) > 0 || tasks > delegation.MaxTasks || j.Spec.Gang() && tasks < j.Spec.Tasks {
			return 0, true
		}
		return tasks, true
	}
	return min(j.UnmetTasks, j.PendingCount()), false
}

// expectedWaits is how long, in seconds, jobs are expected to wait for room here: for what stands
// before them and half of what runs.
func (oc *Origin) expectedWaits() map[string]float64 {
	var whole planner.Amounts
	for i := range oc.snapshots.Views {
		whole = whole.Plus(oc.snapshots.Views[i].Whole)
	}
	queue := slices.SortedFunc(maps.Values(oc.jobs.ByID), inQueue)
	running := 0.0
	for _, j := range queue {
		running += j.Spec.EstimateS * planner.Needs(&j.Spec).Times(float64(len(j.Placed))).Share(whole)
	}
	waits := make(map[string]float64, len(queue))
	ahead := running / 2
	for _, j := range queue {
		if j.Over() {
			continue
		}
		own := j.Spec.EstimateS * planner.Needs(&j.Spec).Times(float64(j.PendingCount())).Share(whole)
		waits[j.Spec.ID] = ahead + own/2
		if !oc.fitsAnyMachine(j) {
			waits[j.Spec.ID] = noRoomS
		}
		ahead += own
	}
	return waits
}

// fitsAnyMachine tells that some machine there is, or that boots, would hold a task if it were empty.
func (oc *Origin) fitsAnyMachine(j *jobtable.Job) bool {
	for i := range oc.snapshots.Views {
		m := &oc.snapshots.Views[i]
		if planner.Needs(&j.Spec).Fits(m.Whole) && planner.Allowed(&j.Spec, m.Type, m.Zone, m.Spot) {
			return true
		}
	}
	return false
}

// delegateTo carries out a choice: the job's last pending tasks go, as many to a delegation as a
// host's record has room for.
func (oc *Origin) delegateTo(c spill.Choice) {
	j := oc.jobs.ByID[c.Job]
	most := min(delegation.MaxTasks, max(1, oc.cells.ByCell[c.Cell].Load.MaxTasks))
	tasks := min(c.Tasks, oc.jobs.TasksWithinQuota(j))
	if _, whole := oc.OffloadableTasks(j); whole {
		most = c.Tasks
		if tasks < c.Tasks {
			return
		}
	}
	for left := tasks; left > 0 && oc.Numbers.Next < oc.Numbers.End && oc.openWith(c.Cell) < delegation.MaxPerHost; left -= most {
		oc.Delegate(j, c.Cell, j.LastPending(min(most, left)))
	}
}

// openWith counts the delegations that a cell has.
func (oc *Origin) openWith(host string) int {
	n := 0
	for _, del := range oc.Delegations {
		if del.Host == host {
			n++
		}
	}
	return n
}

// recallWaiting wants work back that waits elsewhere while there is room here, and all of it from cells
// that are to be drained.
func (oc *Origin) recallWaiting() {
	if len(oc.Delegations) == 0 {
		return
	}
	now := oc.Now()
	wanted := clock.Micros(0)
	for _, j := range oc.jobs.ByID {
		if j.Guest == nil && !j.Over() {
			wanted = max(wanted, j.UnmetAt)
		}
	}
	free := now > max(wanted, oc.BegunAt)+homeFreeTime
	for _, del := range ordered.ByKey(oc.Delegations) {
		j := oc.jobs.ByID[del.Job]
		if j == nil {
			continue
		}
		if oc.cells.drained(del.Host) || free && del.State == delegation.Accepted && del.Reported.Waiting > 0 && oc.fitsHere(j, del.Reported.Waiting) {
			del.Recall()
		}
	}
}

// fitsHere tells that n tasks of a job would find room here: half of them on the machines that
// are up, or one where more of them can be rented as far as is known.
func (oc *Origin) fitsHere(j *jobtable.Job, n int) bool {
	fit := 0
	for i := range oc.snapshots.Views {
		m := &oc.snapshots.Views[i]
		if !m.Booting && planner.Allowed(&j.Spec, m.Type, m.Zone, m.Spot) {
			fit += planner.Needs(&j.Spec).Count(m.Free)
		}
	}
	if 2*fit >= n {
		return true
	}
	refused := oc.autoscaler.Market().Refused
	rentable := func(t protocol.MachineType) bool {
		return machinetable.TypeHolds(t, &j.Spec) && !allRefused(t, refused)
	}
	return fit > 0 && slices.ContainsFunc(oc.catalogue.Types, rentable)
}
