package dispatch

import (
	"math"
	"slices"

	"postpoint/internal/planner"
	"postpoint/internal/protocol"
)

// reservePrefix marks room that is kept for the loss of a zone.
const reservePrefix = sparePrefix + "zone/"

// reserved are places that other zones have for a share of what each zone runs, if the settings
// of recoveries ask for it. They come after everything that waits.
func (d *Dispatch) reserved() []planner.Job {
	if d.recovery.settings == nil || d.recovery.settings.Reserve.Share == 0 || d.anyAvoided() {
		return nil // a zone that isn't well is what the room is for
	}
	part := d.recovery.settings.Reserve
	most := map[string]map[string]int{} // tasks by class and zone
	specs := map[string]*protocol.JobSpec{}
	for _, m := range d.roster {
		for id, tasks := range m.placed {
			j := d.jobs[id]
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
			jobs = append(jobs, d.reserveFor(specs[class], lost, int(math.Ceil(part.Share*float64(running))))...)
		}
	}
	return jobs
}

// reserveFor keeps n places for tasks like one of a spec in the zones but one, evenly.
func (d *Dispatch) reserveFor(like *protocol.JobSpec, lost string, n int) []planner.Job {
	var others []string
	for name := range inOrder(d.recovery.zones) {
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
