package snapshots

import (
	"math"
	"slices"
	"strings"

	"postpoint/internal/leader/jobtable"
	"postpoint/internal/leader/objectives"
	"postpoint/internal/ordered"
	"postpoint/internal/planner"
	"postpoint/internal/protocol"
)

// A reserve is capacity that is kept free. The planner sees it as a job that never runs, whose ID
// begins with reservePrefix. No other job's ID does. The planner breaks ties between jobs by their IDs.
const (
	reservePrefix = "spare/"
	// zoneReservePrefix marks reserves for the loss of a zone.
	zoneReservePrefix = reservePrefix + "zone/"
	// heldTaskReservePrefix marks reserves for tasks in a lost zone that aren't proven to have ended
	// yet: machines for them boot in the meantime.
	heldTaskReservePrefix = reservePrefix + "lost/"
)

const (
	// classRetention is how long after the last job of a class more jobs of the class are expected.
	classRetention = 2 * objectives.ArrivalWindow
	// arrivalHorizonS is how far ahead, in seconds, capacity is reserved for expected arrivals.
	arrivalHorizonS = 12.0
)

// IsReserve reports whether a job of a plan is a reserve.
func IsReserve(jobID protocol.JobID) bool { return strings.HasPrefix(string(jobID), reservePrefix) }

// newReserve returns a reserve for the given number of tasks like those of spec, which it changes into
// an array. The reserve has no deadline, and comes after all other jobs of its rank and tier.
func newReserve(id protocol.JobID, spec *protocol.JobSpec, tasks, rank int, tier planner.Tier) planner.Job {
	spec.Shape, spec.Tasks = protocol.ShapeArray, tasks
	return planner.Job{
		ID:          id,
		Spec:        spec,
		Rank:        rank,
		SubmittedAt: math.MaxInt64,
		Tier:        tier,
		StartSlackS: math.MaxFloat64,
		SlackS:      math.MaxFloat64,
		MaxStarts:   tasks,
		Pending:     firstTasks(tasks),
	}
}

// firstTasks returns the numbers of the first n tasks.
func firstTasks(n int) []int {
	var tasks []int
	for task := range n {
		tasks = append(tasks, task)
	}
	return tasks
}

// expectedArrivals returns reserves for jobs that users are expected to submit soon and that should
// start sooner than a machine boots. These reserves come after the jobs that can still start in time,
// and before all others, but yield to jobs that starve.
func (b *Builder) expectedArrivals() []planner.Job {
	var jobs []planner.Job
	for class, history := range ordered.ByKey(b.objectives.Classes) {
		if b.objectives.StartsBeforeBoot(class) && b.Now() <= history.LastAt+classRetention {
			jobs = append(jobs, b.arrivalReserve(class, history))
		}
	}
	return jobs
}

// arrivalReserve returns the reserve for a class: for one more job, and for the arrivals within
// arrivalHorizonS. The reserve of a service comes after all other pending jobs, since a replica can
// preempt other tasks where no capacity is reserved.
func (b *Builder) arrivalReserve(class string, history objectives.ClassHistory) planner.Job {
	spec := history.Spec
	expected := float64(len(history.Arrivals)) * arrivalHorizonS / objectives.ArrivalWindow.Seconds()
	tasks, rank := history.Spec.Tasks*(1+int(expected)), protocol.PriorityOf(spec.Priority)
	if history.Spec.IsService() {
		tasks, rank = b.ReplicaReserve(history), len(protocol.Priorities)
		spec.Types = b.catalogue.ReplicaTypes(&history.Spec)
	}
	id := protocol.JobID(reservePrefix + class)
	reserve := newReserve(id, &spec, tasks, rank, planner.TierStartInTime)
	reserve.Yields = true
	return reserve
}

// ReplicaReserve returns the number of replicas of a class for which capacity is reserved. It is the
// larger of the replicas of one more job and those that users submit while a machine boots, plus the
// replicas on the machine with most of them, since that machine may be lost.
func (b *Builder) ReplicaReserve(history objectives.ClassHistory) int {
	recentReplicas, largestArrival := 0, 0
	for _, arrival := range history.Arrivals {
		recentReplicas += arrival.Tasks
		largestArrival = max(largestArrival, arrival.Tasks)
	}
	slowestBoot := 0.0
	for _, name := range b.catalogue.ReplicaTypes(&history.Spec) {
		slowestBoot = max(slowestBoot, b.catalogue.ByName[name].BootS)
	}
	whileBooting := math.Ceil(float64(recentReplicas) * slowestBoot * objectives.BootTimeFactor /
		objectives.ArrivalWindow.Seconds())
	return max(int(whileBooting), largestArrival) + b.machines.MaxReplicasPerMachine()
}

// zoneReserves returns reserves, in the other zones, for a share of the tasks that each zone runs, if
// the settings of zone recovery ask for it. They come after all pending jobs. While any zone isn't
// healthy there are no such reserves, since their capacity is for that case.
func (b *Builder) zoneReserves() []planner.Job {
	if b.zones.Options == nil || b.zones.Options.Reserve.Share == 0 || b.zones.AnyUnhealthy() {
		return nil
	}
	reserve := b.zones.Options.Reserve
	running := map[string]map[string]int{} // tasks by class and zone
	specs := map[string]*protocol.JobSpec{}
	for _, m := range b.machines.Ordered {
		for id, tasks := range m.Placements {
			j := b.jobs.ByID[id]
			if j == nil || !needsZoneReserve(j, reserve.Classes) {
				continue
			}
			if running[j.Spec.Class] == nil {
				running[j.Spec.Class] = map[string]int{}
			}
			running[j.Spec.Class][m.Zone] += len(tasks)
			specs[j.Spec.Class] = &j.Spec
		}
	}
	var jobs []planner.Job
	for class, zones := range ordered.ByKey(running) {
		for zone, tasks := range ordered.ByKey(zones) {
			reserved := int(math.Ceil(reserve.Share * float64(tasks)))
			jobs = append(jobs, b.reservesOutside(specs[class], zone, reserved)...)
		}
	}
	return jobs
}

// needsZoneReserve reports whether a job's tasks could run in another zone and are of a class that the
// reserve covers. Without any classes the reserve covers all of them.
func needsZoneReserve(j *jobtable.Job, classes []string) bool {
	return !j.MustNotRun() && j.Spec.Zone == "" &&
		(len(classes) == 0 || slices.Contains(classes, j.Spec.Class))
}

// reservesOutside returns reserves for tasks like those of template, spread evenly over all zones but
// lostZone.
func (b *Builder) reservesOutside(template *protocol.JobSpec, lostZone string, tasks int) []planner.Job {
	var others []string
	for name := range ordered.ByKey(b.zones.Zones) {
		if name != lostZone {
			others = append(others, name)
		}
	}
	var jobs []planner.Job
	for i, zone := range others {
		zoneTasks := (tasks + i) / len(others)
		if zoneTasks == 0 {
			continue
		}
		spec := *template
		spec.Zone, spec.OneZone, spec.Spread = zone, false, false
		id := protocol.JobID(zoneReservePrefix + template.Class + "/" + lostZone + "/" + zone)
		jobs = append(jobs, newReserve(id, &spec, zoneTasks, len(protocol.Priorities), planner.TierEndInTime))
	}
	return jobs
}

// heldTaskReserves returns reserves for the tasks on silent machines of lost zones: these tasks will have
// to start in other zones.
func (b *Builder) heldTaskReserves() []planner.Job {
	if b.zones.Options == nil || !b.zones.AnyLost() {
		return nil
	}
	var jobs []planner.Job
	for id, tasks := range ordered.ByKey(b.heldTasks()) {
		j := b.jobs.ByID[id]
		if j == nil || j.MustNotRun() || j.Spec.Zone != "" && b.zones.IsCordoned(j.Spec.Zone) {
			continue
		}
		jobs = append(jobs, b.heldTaskReserve(j, tasks))
	}
	return jobs
}

// heldTasks counts, by job, the tasks on silent machines of lost zones, which aren't proven to have
// ended.
func (b *Builder) heldTasks() map[protocol.JobID]int {
	held := map[protocol.JobID]int{}
	for _, m := range b.machines.Ordered {
		if !b.zones.IsLost(m.Zone) || !b.machines.HeartbeatMissed(m) {
			continue
		}
		for id, tasks := range m.Placements {
			held[id] += len(tasks)
		}
	}
	return held
}

// heldTaskReserve returns the reserve for held tasks of a job, which is as urgent as the job itself.
func (b *Builder) heldTaskReserve(j *jobtable.Job, tasks int) planner.Job {
	spec := j.Spec
	urgency := b.objectives.Urgency(j)
	reserve := newReserve(heldTaskReservePrefix+j.Spec.ID, &spec, tasks, j.Rank(), urgency.Tier)
	reserve.SubmittedAt = j.SubmittedAt
	reserve.SlackS, reserve.StartSlackS = urgency.SlackS, b.objectives.StartSlackS(j)
	reserve.AvoidedMachines = j.AvoidMachines
	if spec.OneZone || spec.Spread {
		spec.OneZone, spec.Tasks = false, j.Spec.Tasks
		reserve.OtherTasksByZone = b.tasksOutsideLostZones(j)
	}
	return reserve
}

// tasksOutsideLostZones counts a job's tasks by zone. It omits the tasks in lost zones, which will have
// to start in other zones.
func (b *Builder) tasksOutsideLostZones(j *jobtable.Job) map[string]int {
	zones := map[string]int{}
	for _, placement := range j.Placements {
		if m := b.machines.ByName[placement.Machine]; m != nil && !b.zones.IsLost(m.Zone) {
			zones[m.Zone]++
		}
	}
	return zones
}
