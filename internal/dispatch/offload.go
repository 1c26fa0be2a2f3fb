package dispatch

import (
	"cmp"
	"maps"
	"slices"

	"postpoint/internal/clock"
	"postpoint/internal/delegation"
	"postpoint/internal/planner"
	"postpoint/internal/protocol"
	"postpoint/internal/spill"
)

const (
	// spillTime is from one decision to the next.
	spillTime = 2 * clock.Second
	// loadTime is for how long a cell's word on its load is used.
	loadTime = 6 * clock.Second
	// maxReturned is how often work of one job may come back unfinished: after that it stays.
	maxReturned = 3
	// settleTime is how long work that came back stays at least.
	settleTime = 60 * clock.Second
	// homeFreeTime is for how long nothing at home has to have waited for room before work
	// that waits elsewhere is wanted back: less than idle machines are kept.
	homeFreeTime = 4 * clock.Second
	// noRoomS is the wait for work that no machine there is at home could ever run.
	noRoomS = 600
)

// inQueue orders jobs about as the planner does.
func inQueue(a, b *job) int {
	return cmp.Or(cmp.Compare(a.rank(), b.rank()), cmp.Compare(a.SubmittedAt, b.SubmittedAt), cmp.Compare(a.Spec.ID, b.Spec.ID))
}

// lastPending are the last n tasks that are neither done nor placed: home starts the first.
func (j *job) lastPending(n int) []int {
	tasks := make([]int, 0, n)
	for task := j.Spec.Tasks - 1; task >= 0 && len(tasks) < n; task-- {
		if _, placed := j.Placed[task]; !placed && !j.Done.Has(task) {
			tasks = append(tasks, task)
		}
	}
	return tasks
}

// spill has work that can't start here in time run by other cells.
func (oc *originCell) spill() {
	if !oc.cells.enabled() || oc.now() < oc.spillAt || oc.cells.directory.Own.Draining {
		return
	}
	oc.spillAt = oc.now() + spillTime
	hosts := oc.hosts()
	if len(hosts) == 0 {
		return
	}
	work := oc.spillable()
	if len(work) == 0 {
		return
	}
	if oc.numbers.next == oc.numbers.end {
		oc.takeNumbers()
		return
	}
	for _, c := range spill.Plan(work, hosts) {
		oc.sendTo(c)
	}
}

// hosts are the cells that can be asked, less what they have been offered since they told their
// load.
func (oc *originCell) hosts() []spill.Host {
	var hosts []spill.Host
	for name, link := range inOrder(oc.cells.links) {
		if link.loadAt == 0 || oc.now() > link.loadAt+loadTime || oc.cells.drained(name) {
			continue
		}
		h := spill.Host{Name: name, Load: link.load}
		open := 0
		for _, del := range oc.delegations {
			if del.Host != name {
				continue
			}
			open++
			if j := oc.jobs.byID[del.Job]; j != nil && del.State == delegation.Offered {
				h.Load.Room = h.Load.Room.Minus(planner.Needs(&j.Spec).Times(float64(del.Tasks.Len())))
			}
		}
		if open < delegation.MaxPerHost {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// spillable is the work that has waited for long enough, the most urgent first.
func (oc *originCell) spillable() []spill.Work {
	var waiting []*job
	for _, j := range oc.jobs.byID {
		if n, _ := oc.spillTasks(j); n > 0 {
			waiting = append(waiting, j)
		}
	}
	slices.SortFunc(waiting, inQueue)
	waits := oc.waits()
	var work []spill.Work
	for _, j := range waiting {
		rule, _ := oc.cells.directory.Rule(j.Spec.Class, j.Spec.Team)
		tasks, whole := oc.spillTasks(j)
		work = append(work, spill.Work{Job: j.Spec.ID, Spec: &j.Spec, Tasks: tasks, Whole: whole, HomeS: waits[j.Spec.ID], To: rule.To})
	}
	return work
}

// spillTasks is how many tasks of a job may go to another cell now. whole tells that they go
// together: gangs, and jobs whose tasks' zones depend on each other.
func (oc *originCell) spillTasks(j *job) (tasks int, whole bool) {
	now := oc.now()
	if j.over() || j.Guest != nil || j.Spec.Service() || j.reread || j.reading || j.partsUnread || j.dividing ||
		j.wantedAt == 0 || now > j.wantedAt+wantedGap || now < j.notBefore || j.Returned >= maxReturned ||
		j.backAt != 0 && now < j.backAt+settleTime {
		return 0, false
	}
	rule, ok := oc.cells.directory.Rule(j.Spec.Class, j.Spec.Team)
	if !ok || now < j.wantedFrom+max(rule.After, shortTime) {
		return 0, false
	}
	if whole = j.Spec.Gang() || j.Spec.OneZone || j.Spec.Spread; whole {
		tasks = j.PendingCount()
		if len(j.Placed) > 0 || tasks > delegation.MaxTasks || j.Spec.Gang() && tasks < j.Spec.Tasks {
			return 0, true
		}
		return tasks, true
	}
	return min(j.wantedTasks, j.PendingCount()), false
}

// waits is how long, in seconds, jobs are expected to wait for room here: for what stands
// before them and half of what runs.
func (oc *originCell) waits() map[string]float64 {
	var whole planner.Amounts
	for i := range oc.snapshots.views {
		whole = whole.Plus(oc.snapshots.views[i].Whole)
	}
	queue := slices.SortedFunc(maps.Values(oc.jobs.byID), inQueue)
	running := 0.0
	for _, j := range queue {
		running += j.Spec.EstimateS * planner.Needs(&j.Spec).Times(float64(len(j.Placed))).Share(whole)
	}
	waits := make(map[string]float64, len(queue))
	ahead := running / 2
	for _, j := range queue {
		if j.over() {
			continue
		}
		own := j.Spec.EstimateS * planner.Needs(&j.Spec).Times(float64(j.PendingCount())).Share(whole)
		waits[j.Spec.ID] = ahead + own/2
		if !oc.heldByAny(j) {
			waits[j.Spec.ID] = noRoomS
		}
		ahead += own
	}
	return waits
}

// heldByAny tells that some machine there is, or that boots, would hold a task if it were empty.
func (oc *originCell) heldByAny(j *job) bool {
	for i := range oc.snapshots.views {
		m := &oc.snapshots.views[i]
		if planner.Needs(&j.Spec).Fits(m.Whole) && planner.Allowed(&j.Spec, m.Type, m.Zone, m.Spot) {
			return true
		}
	}
	return false
}

// sendTo carries out a choice: the job's last pending tasks go, as many to a delegation as a
// host's record has room for.
func (oc *originCell) sendTo(c spill.Choice) {
	j := oc.jobs.byID[c.Job]
	most := min(delegation.MaxTasks, max(1, oc.cells.links[c.Cell].load.MaxTasks))
	tasks := min(c.Tasks, oc.jobs.underLimit(j))
	if _, whole := oc.spillTasks(j); whole {
		most = c.Tasks
		if tasks < c.Tasks {
			return
		}
	}
	for left := tasks; left > 0 && oc.numbers.next < oc.numbers.end && oc.openWith(c.Cell) < delegation.MaxPerHost; left -= most {
		oc.delegate(j, c.Cell, j.lastPending(min(most, left)))
	}
}

// openWith counts the delegations that a cell has.
func (oc *originCell) openWith(host string) int {
	n := 0
	for _, del := range oc.delegations {
		if del.Host == host {
			n++
		}
	}
	return n
}

// recall wants work back that waits elsewhere while there is room here, and all of it from cells
// that are to be drained.
func (oc *originCell) recall() {
	if len(oc.delegations) == 0 {
		return
	}
	now := oc.now()
	wanted := clock.Micros(0)
	for _, j := range oc.jobs.byID {
		if j.Guest == nil && !j.over() {
			wanted = max(wanted, j.wantedAt)
		}
	}
	free := now > max(wanted, oc.begunAt)+homeFreeTime
	for _, del := range inOrder(oc.delegations) {
		j := oc.jobs.byID[del.Job]
		if j == nil {
			continue
		}
		if oc.cells.drained(del.Host) || free && del.State == delegation.Accepted && del.Reported.Waiting > 0 && oc.roomHere(j, del.Reported.Waiting) {
			del.Recall()
		}
	}
}

// roomHere tells that n tasks of a job would find room here: half of them on the machines that
// are up, or one where more of them can be rented as far as is known.
func (oc *originCell) roomHere(j *job, n int) bool {
	fit := 0
	for i := range oc.snapshots.views {
		m := &oc.snapshots.views[i]
		if !m.Booting && planner.Allowed(&j.Spec, m.Type, m.Zone, m.Spot) {
			fit += planner.Needs(&j.Spec).Count(m.Free)
		}
	}
	if 2*fit >= n {
		return true
	}
	refused := oc.autoscaler.market().Refused
	rentable := func(t protocol.MachineType) bool { return typeHolds(t, &j.Spec) && !allRefused(t, refused) }
	return fit > 0 && slices.ContainsFunc(oc.catalogue.list, rentable)
}
