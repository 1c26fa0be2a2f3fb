package dispatch

import (
	"cmp"
	"maps"
	"math"
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

// spill has work that can't start here in time run by other cells.
func (d *Dispatch) spill() {
	if !d.cellsOn() || d.now() < d.spillAt || d.directory.Own.Draining {
		return
	}
	d.spillAt = d.now() + spillTime
	hosts := d.hosts()
	if len(hosts) == 0 {
		return
	}
	work := d.spillable()
	if len(work) == 0 {
		return
	}
	if d.numbers.next == d.numbers.end {
		d.takeNumbers()
		return
	}
	for _, c := range spill.Plan(work, hosts) {
		d.sendTo(c)
	}
}

// hosts are the cells that can be asked, less what they have been offered since they told their
// load.
func (d *Dispatch) hosts() []spill.Host {
	var hosts []spill.Host
	for name, link := range inOrder(d.links) {
		if link.loadAt == 0 || d.now() > link.loadAt+loadTime || d.drained(name) {
			continue
		}
		h := spill.Host{Name: name, Load: link.load}
		open := 0
		for _, del := range d.delegations {
			if del.Host != name {
				continue
			}
			open++
			if j := d.jobs[del.Job]; j != nil && del.State == delegation.Offered {
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
func (d *Dispatch) spillable() []spill.Work {
	var waiting []*job
	for _, j := range d.jobs {
		if n, _ := d.spillTasks(j); n > 0 {
			waiting = append(waiting, j)
		}
	}
	slices.SortFunc(waiting, inQueue)
	waits := d.waits()
	var work []spill.Work
	for _, j := range waiting {
		rule, _ := d.directory.Rule(j.Spec.Class, j.Spec.Team)
		tasks, whole := d.spillTasks(j)
		work = append(work, spill.Work{Job: j.Spec.ID, Spec: &j.Spec, Tasks: tasks, Whole: whole, HomeS: waits[j.Spec.ID], To: rule.To})
	}
	return work
}

// inQueue orders jobs about as the planner does.
func inQueue(a, b *job) int {
	return cmp.Or(cmp.Compare(a.rank(), b.rank()), cmp.Compare(a.SubmittedAt, b.SubmittedAt), cmp.Compare(a.Spec.ID, b.Spec.ID))
}

// spillTasks is how many tasks of a job may go to another cell now. whole tells that they go
// together: gangs, and jobs whose tasks' zones depend on each other.
func (d *Dispatch) spillTasks(j *job) (tasks int, whole bool) {
	now := d.now()
	if j.over() || j.Guest != nil || j.Spec.Service() || j.reread || j.reading || j.partsUnread || j.dividing ||
		j.wantedAt == 0 || now > j.wantedAt+wantedGap || now < j.notBefore || j.Returned >= maxReturned ||
		j.backAt != 0 && now < j.backAt+settleTime {
		return 0, false
	}
	rule, ok := d.directory.Rule(j.Spec.Class, j.Spec.Team)
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
func (d *Dispatch) waits() map[string]float64 {
	var whole planner.Amounts
	for i := range d.views {
		whole = whole.Plus(d.views[i].Whole)
	}
	queue := slices.SortedFunc(maps.Values(d.jobs), inQueue)
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
		if !d.heldByAny(j) {
			waits[j.Spec.ID] = noRoomS
		}
		ahead += own
	}
	return waits
}

// heldByAny tells that some machine there is, or that boots, would hold a task if it were empty.
func (d *Dispatch) heldByAny(j *job) bool {
	for i := range d.views {
		m := &d.views[i]
		if planner.Needs(&j.Spec).Fits(m.Whole) && planner.Allowed(&j.Spec, m.Type, m.Zone, m.Spot) {
			return true
		}
	}
	return false
}

// sendTo carries out a choice: the job's last pending tasks go, as many to a delegation as a
// host's record has room for.
func (d *Dispatch) sendTo(c spill.Choice) {
	j := d.jobs[c.Job]
	most := min(delegation.MaxTasks, max(1, d.links[c.Cell].load.MaxTasks))
	tasks := min(c.Tasks, d.underLimit(j))
	if _, whole := d.spillTasks(j); whole {
		most = c.Tasks
		if tasks < c.Tasks {
			return
		}
	}
	for left := tasks; left > 0 && d.numbers.next < d.numbers.end && d.openWith(c.Cell) < delegation.MaxPerHost; left -= most {
		d.delegate(j, c.Cell, j.lastPending(min(most, left)))
	}
}

// underLimit is how many more tasks of a job its team's limit allows, over all cells.
func (d *Dispatch) underLimit(j *job) int {
	team, _ := d.set.Deployment.Team(j.Spec.Team)
	room := planner.Amounts{Cpus: team.CpusMax, Gpus: team.GpusMax, MemoryGB: planner.PlentyGB}
	for _, o := range d.jobs {
		if o.Spec.Team == j.Spec.Team {
			room = room.Minus(planner.Needs(&o.Spec).Times(float64(o.taken())))
		}
	}
	if team.CpusMax == 0 { // none
		room.Cpus = math.MaxInt32
	}
	if team.GpusMax == 0 {
		room.Gpus = math.MaxInt32
	}
	return planner.Needs(&j.Spec).Count(room)
}

// openWith counts the delegations that a cell has.
func (d *Dispatch) openWith(host string) int {
	n := 0
	for _, del := range d.delegations {
		if del.Host == host {
			n++
		}
	}
	return n
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

// recall wants work back that waits elsewhere while there is room here, and all of it from cells
// that are to be drained.
func (d *Dispatch) recall() {
	if len(d.delegations) == 0 {
		return
	}
	now := d.now()
	wanted := clock.Micros(0)
	for _, j := range d.jobs {
		if j.Guest == nil && !j.over() {
			wanted = max(wanted, j.wantedAt)
		}
	}
	free := now > max(wanted, d.begunAt)+homeFreeTime
	for _, del := range inOrder(d.delegations) {
		j := d.jobs[del.Job]
		if j == nil {
			continue
		}
		if d.drained(del.Host) || free && del.State == delegation.Accepted && del.Reported.Waiting > 0 && d.roomHere(j, del.Reported.Waiting) {
			del.Recall()
		}
	}
}

// roomHere tells that n tasks of a job would find room here: half of them on the machines that
// are up, or one where more of them can be rented as far as is known.
func (d *Dispatch) roomHere(j *job, n int) bool {
	fit := 0
	for i := range d.views {
		m := &d.views[i]
		if !m.Booting && planner.Allowed(&j.Spec, m.Type, m.Zone, m.Spot) {
			fit += planner.Needs(&j.Spec).Count(m.Free)
		}
	}
	if 2*fit >= n {
		return true
	}
	refused := d.market().Refused
	rentable := func(t protocol.MachineType) bool { return typeHolds(t, &j.Spec) && !allRefused(t, refused) }
	return fit > 0 && slices.ContainsFunc(d.catalogue, rentable)
}
