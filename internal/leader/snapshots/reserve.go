package snapshots

import (
	"math"
	"slices"

	"postpoint/internal/clock"
	"postpoint/internal/leader/jobtable"
	"postpoint/internal/leader/objectives"
	"postpoint/internal/ordered"
	"postpoint/internal/planner"
	"postpoint/internal/protocol"
	"postpoint/internal/recovery"
)

// zoneReservePrefix marks room that is kept for the loss of a zone.
const zoneReservePrefix = ReservePrefix + "zone/"

// zoneReserves are places that other zones have for a share of what each zone runs, if the settings
// of recoveries ask for it. They come after everything that waits.
func (sb *Builder) zoneReserves() []planner.Job {
	if sb.zones.Options == nil || sb.zones.Options.Reserve.Share == 0 || sb.zones.AnyAvoided() {
		return nil // a zone that isn't well is what the room is for
	}
	part := sb.zones.Options.Reserve
	most := map[string]map[string]int{} // tasks by class and zone
	specs := map[string]*protocol.JobSpec{}
	for _, m := range sb.machines.Ordered {
		for id, tasks := range m.Placements {
			j := sb.jobs.ByID[id]
			if j == nil || j.Over() || j.Spec.Zone != "" || len(part.Classes) > 0 && !slices.Contains(part.Classes, j.Spec.Class) {
				continue
			}
			if most[j.Spec.Class] == nil {
				most[j.Spec.Class] = map[string]int{}
			}
			most[j.Spec.Class][m.Zone] += len(tasks)
			specs[j.Spec.Class] = &j.Spec
		}
	}
	var jobs []planner.Job
	for class, zones := range ordered.ByKey(most) {
		for lost, running := range ordered.ByKey(zones) {
			jobs = append(jobs, sb.reservesOutside(specs[class], lost, int(math.Ceil(part.Share*float64(running))))...)
		}
	}
	return jobs
}

// reservesOutside keeps n places for tasks like one of a spec in the zones but one, evenly.
func (sb *Builder) reservesOutside(like *protocol.JobSpec, lost string, n int) []planner.Job {
	var others []string
	for name := range ordered.ByKey(sb.zones.Zones) {
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
		j := planner.Job{ID: zoneReservePrefix + like.Class + "/" + lost + "/" + zone, Spec: &spec, Rank: len(protocol.Ranks), SubmittedAt: math.MaxInt64,
			Tier: planner.EndsInTime, StartS: math.MaxFloat64, SlackS: math.MaxFloat64, Limit: share}
		for task := range share {
			j.Pending = append(j.Pending, task)
		}
		jobs = append(jobs, j)
	}
	return jobs
}

// displacedReserves are the tasks of lost zones that will have to start elsewhere, once each.
func (sb *Builder) displacedReserves() []planner.Job {
	if sb.zones.Options == nil || !sb.zones.AnyLost() {
		return nil
	}
	lost := map[string]int{} // by job
	for _, m := range sb.machines.Ordered {
		if z := sb.zones.Zones[m.Zone]; z == nil || z.Phase != recovery.Lost || !sb.machines.Late(m) {
			continue
		}
		for id, tasks := range m.Placements {
			lost[id] += len(tasks)
		}
	}
	var jobs []planner.Job
	for id, n := range ordered.ByKey(lost) {
		j := sb.jobs.ByID[id]
		if j == nil || j.Over() || j.Spec.Zone != "" && sb.zones.Avoided(j.Spec.Zone) {
			continue
		}
		spec := j.Spec
		spec.Shape, spec.Tasks = protocol.ShapeArray, n
		urgency := sb.objectives.TierAndSlack(j)
		pj := planner.Job{ID: displacedReservePrefix + id, Spec: &spec, Rank: j.Rank(), SubmittedAt: j.SubmittedAt, Tier: urgency.Tier, SlackS: urgency.SlackS,
			StartS: sb.objectives.StartSlackS(j), Limit: n, Avoid: j.AvoidMachines}
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
func (sb *Builder) zonesLeft(j *jobtable.Job) map[string]int {
	zones := map[string]int{}
	for _, p := range j.Placed {
		if m := sb.machines.ByName[p.Machine]; m != nil && !sb.zones.Lost(m.Zone) {
			zones[m.Zone]++
		}
	}
	return zones
}

// SpareReplicas is how many places are kept for replicas of a class: for one more job, for
// those that come while a machine boots, and for the loss of the machine with most replicas.
func (sb *Builder) SpareReplicas(u objectives.ClassHistory) int {
	recent, largest := 0, 0
	for _, a := range u.Arrivals {
		recent += a.Tasks
		largest = max(largest, a.Tasks)
	}
	boot := 0.0
	for _, name := range sb.catalogue.ReplicaTypes(&u.Spec) {
		boot = max(boot, sb.catalogue.ByName[name].BootS)
	}
	coming := int(math.Ceil(float64(recent) * boot * objectives.BootAllowance / objectives.ArrivalWindow.Seconds()))
	return max(coming, largest) + sb.machines.MostReplicas()
}

// restrictHosted shows a guest to the planner: it never presses, and takes only room beyond the
// reserve.
func (sb *Builder) restrictHosted(j *jobtable.Job, pj *planner.Job, now clock.Micros) {
	pj.MayEvict, pj.StartAim, pj.Returning = false, false, false
	pj.Tier, pj.SlackS, pj.StartS = planner.EndsInTime, math.MaxFloat64, math.MaxFloat64
	pj.Waiting = pj.Waiting || !j.Permission.MayStart(now+startMargin) || j.Guest.Closed
	if sb.Directory == nil || sb.Directory.Own.Reserve == (planner.Amounts{}) {
		return
	}
	room := sb.free.Minus(sb.Directory.Own.Reserve)
	room.MemoryGB = planner.PlentyGB
	if fits := planner.Needs(&j.Spec).Count(room); fits < len(pj.Pending) {
		pj.Limit = min(pj.Limit, fits)
	}
}

// startMargin is what a start needs of a permission at least: less would be in vain.
const startMargin = 2 * clock.Second

// displacedReservePrefix marks room that is kept for tasks which are with a lost zone and not proven gone yet:
// machines for them boot meanwhile.
const displacedReservePrefix = ReservePrefix + "lost/"
