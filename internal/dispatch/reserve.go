package dispatch

import (
	"math"
	"slices"

	"postpoint/internal/clock"
	"postpoint/internal/planner"
	"postpoint/internal/protocol"
	"postpoint/internal/recovery"
)

// reservePrefix marks room that is kept for the loss of a zone.
const reservePrefix = sparePrefix + "zone/"

// reserved are places that other zones have for a share of what each zone runs, if the settings
// of recoveries ask for it. They come after everything that waits.
func (sb *snapshotBuilder) reserved() []planner.Job {
	if sb.zones.options == nil || sb.zones.options.Reserve.Share == 0 || sb.zones.anyAvoided() {
		return nil // a zone that isn't well is what the room is for
	}
	part := sb.zones.options.Reserve
	most := map[string]map[string]int{} // tasks by class and zone
	specs := map[string]*protocol.JobSpec{}
	for _, m := range sb.machines.ordered {
		for id, tasks := range m.placed {
			j := sb.jobs.byID[id]
			if j == nil || j.over() || j.Spec.Zone != "" || len(part.Classes) > 0 && !slices.Contains(part.Classes, j.Spec.Class) {
				continue
			}
			if most[j.Spec.Class] == nil {
				most[j.Spec.Class] = map[string]int{}
			}
			most[j.Spec.Class][m.zone] += len(tasks)
			specs[j.Spec.Class] = &j.Spec
		}
	}
	var jobs []planner.Job
	for class, zones := range inOrder(most) {
		for lost, running := range inOrder(zones) {
			jobs = append(jobs, sb.reserveFor(specs[class], lost, int(math.Ceil(part.Share*float64(running))))...)
		}
	}
	return jobs
}

// reserveFor keeps n places for tasks like one of a spec in the zones but one, evenly.
func (sb *snapshotBuilder) reserveFor(like *protocol.JobSpec, lost string, n int) []planner.Job {
	var others []string
	for name := range inOrder(sb.zones.zones) {
		if name != lost {
			others = append(others, name)
		}
	}
	var jobs []planner.Job
	for i, zone := range others {
		share := (n + i) / len(others)
		if share == 0 {
			continue
		}
		spec := *like
		spec.Shape, spec.Tasks, spec.Zone, spec.OneZone, spec.Spread = protocol.ShapeArray, share, zone, false, false
		j := planner.Job{ID: reservePrefix + like.Class + "/" + lost + "/" + zone, Spec: &spec, Rank: len(protocol.Ranks), SubmittedAt: math.MaxInt64,
			Tier: planner.EndsInTime, StartS: math.MaxFloat64, SlackS: math.MaxFloat64, Limit: share}
		for task := range share {
			j.Pending = append(j.Pending, task)
		}
		jobs = append(jobs, j)
	}
	return jobs
}

// expectedBack are the tasks of lost zones that will have to start elsewhere, once each.
func (sb *snapshotBuilder) expectedBack() []planner.Job {
	if sb.zones.options == nil || !sb.zones.anyLost() {
		return nil
	}
	lost := map[string]int{} // by job
	for _, m := range sb.machines.ordered {
		if z := sb.zones.zones[m.zone]; z == nil || z.Phase != recovery.Lost || !sb.machines.late(m) {
			continue
		}
		for id, tasks := range m.placed {
			lost[id] += len(tasks)
		}
	}
	var jobs []planner.Job
	for id, n := range inOrder(lost) {
		j := sb.jobs.byID[id]
		if j == nil || j.over() || j.Spec.Zone != "" && sb.zones.avoided(j.Spec.Zone) {
			continue
		}
		spec := j.Spec
		spec.Shape, spec.Tasks = protocol.ShapeArray, n
		tier, slack := sb.objectives.aims(j)
		pj := planner.Job{ID: lostPrefix + id, Spec: &spec, Rank: j.rank(), SubmittedAt: j.SubmittedAt, Tier: tier, SlackS: slack,
			StartS: sb.objectives.startLeft(j), Limit: n, Avoid: j.avoid}
		if spec.OneZone || spec.Spread {
			spec.OneZone, spec.Tasks = false, j.Spec.Tasks
			pj.Zones = sb.zonesLeft(j)
		}
		for task := range n {
			pj.Pending = append(pj.Pending, task)
		}
		jobs = append(jobs, pj)
	}
	return jobs
}

// zonesLeft counts a job's tasks by zone, those in lost zones left out: theirs will be gone.
func (sb *snapshotBuilder) zonesLeft(j *job) map[string]int {
	zones := map[string]int{}
	for _, p := range j.Placed {
		if m := sb.machines.byName[p.Machine]; m != nil && !sb.zones.lost(m.zone) {
			zones[m.zone]++
		}
	}
	return zones
}

// spareReplicas is how many places are kept for replicas of a class: for one more job, for
// those that come while a machine boots, and for the loss of the machine with most replicas.
func (sb *snapshotBuilder) spareReplicas(u classUse) int {
	recent, largest := 0, 0
	for _, a := range u.arrivals {
		recent += a.tasks
		largest = max(largest, a.tasks)
	}
	boot := 0.0
	for _, name := range sb.catalogue.replicaTypes(&u.spec) {
		boot = max(boot, sb.catalogue.byName[name].BootS)
	}
	coming := int(math.Ceil(float64(recent) * boot * soonBoots / rateTime.Seconds()))
	return max(coming, largest) + sb.machines.mostReplicas()
}

// planGuest shows a guest to the planner: it never presses, and takes only room beyond the
// reserve.
func (sb *snapshotBuilder) planGuest(j *job, pj *planner.Job, now clock.Micros) {
	pj.MayEvict, pj.StartAim, pj.Returning = false, false, false
	pj.Tier, pj.SlackS, pj.StartS = planner.EndsInTime, math.MaxFloat64, math.MaxFloat64
	pj.Waiting = pj.Waiting || !j.permit.MayStart(now+startMargin) || j.Guest.Closed
	if sb.directory == nil || sb.directory.Own.Reserve == (planner.Amounts{}) {
		return
	}
	room := sb.free.Minus(sb.directory.Own.Reserve)
	room.MemoryGB = planner.PlentyGB
	if fits := planner.Needs(&j.Spec).Count(room); fits < len(pj.Pending) {
		pj.Limit = min(pj.Limit, fits)
	}
}

// startMargin is what a start needs of a permission at least: less would be in vain.
const startMargin = 2 * clock.Second

// lostPrefix marks room that is kept for tasks which are with a lost zone and not proven gone yet:
// machines for them boot meanwhile.
const lostPrefix = sparePrefix + "lost/"
