package planner

import (
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"postpoint/internal/protocol"
)

// modelCapacity is a simple model of how many more tasks of a job fit. The tasks are alike, so that
// it counts them per machine and bounds the sums by what the job allows in each zone.
func modelCapacity(j *Job, machines []Machine) int {
	byZone := map[string]int{}
	for _, m := range machines {
		if !m.Booting && MachineAllowed(j.Spec, m.Type, m.Zone, m.Spot) && !j.AvoidedMachines[m.Name] {
			byZone[m.Zone] += modelCopies(j, m.Free)
		}
	}
	runningByZone := countZones(j.Running)
	total := 0
	for zone, n := range byZone {
		if j.Spec.Spread {
			n = max(0, min(n, (j.Spec.Tasks+1)/2-runningByZone[zone]))
		}
		if !j.Spec.OneZone {
			total += n
			continue
		}
		inOtherZones := len(j.Running) - runningByZone[zone]
		if inOtherZones == 0 {
			total = max(total, n)
		}
	}
	return total
}

// modelCopies counts, one by one, the tasks of a job that fit into free resources.
func modelCopies(j *Job, free Resources) int {
	n := 0
	for ; TaskResources(j.Spec).FitsIn(free); n++ {
		free = free.Minus(TaskResources(j.Spec))
	}
	return n
}

// checkedPlan is a plan with the state that results from its placements.
type checkedPlan struct {
	Plan
	before Snapshot
	// jobs are the jobs of the snapshot by ID. In jobsAfter, the placed tasks run too.
	jobs, jobsAfter map[protocol.JobID]*Job
	// machinesAfter are the machines without the capacity that the placements take.
	machinesAfter []Machine
	placed        map[protocol.JobID]int // tasks by job
}

// applyPlacements applies the placements of a plan and checks each of them.
func applyPlacements(t *rapid.T, s Snapshot, plan Plan) *checkedPlan {
	c := &checkedPlan{Plan: plan, before: s,
		jobs: map[protocol.JobID]*Job{}, jobsAfter: map[protocol.JobID]*Job{},
		machinesAfter: slices.Clone(s.Machines), placed: map[protocol.JobID]int{}}
	for i := range s.Jobs {
		j := &s.Jobs[i]
		after := *j
		after.Running = slices.Clone(j.Running)
		c.jobs[j.ID], c.jobsAfter[j.ID] = j, &after
	}
	byName := machinesByName(c.machinesAfter)
	for _, p := range plan.Placements {
		j, m := c.jobsAfter[p.Job], byName[p.Machine]
		if !MachineAllowed(j.Spec, m.Type, m.Zone, m.Spot) {
			t.Fatalf("%s is placed on %s, which it may not use", p.Job, p.Machine)
		}
		m.Free = m.Free.Minus(TaskResources(j.Spec))
		if m.Free.Cpus < -roundingTolerance {
			t.Fatalf("%s has %v processors free, want at least 0", m.Name, m.Free.Cpus)
		}
		c.placed[p.Job]++
		j.Running = append(j.Running, RunningTask{Task: p.Task, Machine: p.Machine, Zone: m.Zone})
	}
	return c
}

// missing returns how many tasks of a job neither ran before nor were placed.
func (c *checkedPlan) missing(job protocol.JobID) int {
	before := c.jobs[job]
	return len(before.Running) + len(before.Pending) - len(c.jobsAfter[job].Running)
}

// Every plan is valid, places everything that fits, and preempts only what the rules allow, only if
// that suffices, and only what is needed.
func TestPlanAgreesWithModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSnapshot(t)
		c := applyPlacements(t, s, MakePlan(s))
		c.checkLimit(t)
		c.checkZones(t)
		c.checkGangsAreWhole(t)
		c.checkUnmetDemandDoesNotFit(t)
		victimsByPreemptor := c.checkRanksOfPreempted(t)
		c.checkPreemptionsAreNeeded(t, victimsByPreemptor)
		c.checkNothingElseToPreempt(t)
	})
}

// checkLimit checks that no placement takes the limited team beyond its limit.
func (c *checkedPlan) checkLimit(t *rapid.T) {
	before := c.before.Teams["limited"].Used.Cpus
	used := before
	for _, p := range c.Placements {
		if spec := c.jobs[p.Job].Spec; spec.Team == "limited" {
			used += spec.Cpus
		}
	}
	if used > limitedCpus+roundingTolerance && used > before {
		t.Fatalf("the team uses %v processors, want at most %v", used, limitedCpus)
	}
}

// checkZones checks that jobs stay in one zone or spread over zones if they ask for it.
func (c *checkedPlan) checkZones(t *rapid.T) {
	for id, j := range c.jobsAfter {
		zones := countZones(j.Running)
		if j.Spec.OneZone && len(zones) > 1 {
			t.Fatalf("%s is in zones %v, want one zone", id, zones)
		}
		for zone, n := range zones {
			if j.Spec.Spread && n > (j.Spec.Tasks+1)/2 {
				t.Fatalf("%s has %d of %d tasks in %s, want at most half", id, n, j.Spec.Tasks, zone)
			}
		}
	}
}

// checkGangsAreWhole checks that the plan places all tasks of a gang or none.
func (c *checkedPlan) checkGangsAreWhole(t *rapid.T) {
	for id, j := range c.jobs {
		if j.Spec.IsGang() && c.placed[id] != 0 && c.placed[id] != len(j.Pending) {
			t.Fatalf("%d of %d tasks of gang %s are placed, want all or none", c.placed[id], len(j.Pending),
				id)
		}
	}
}

// checkUnmetDemandDoesNotFit checks that there is no free capacity for the unmet demand.
func (c *checkedPlan) checkUnmetDemandDoesNotFit(t *rapid.T) {
	for _, demand := range c.UnmetDemand {
		if len(c.Preemptions) > 0 || isMultiTaskGang(demand.Job) {
			return // free capacity may be reserved for the preemptor or a gang
		}
		j := c.jobsAfter[demand.Job.ID]
		fitting := modelCapacity(j, c.machinesAfter)
		if !j.Spec.IsGang() && fitting > 0 || j.Spec.IsGang() && fitting >= demand.Tasks {
			t.Fatalf("%s has unmet demand for %d tasks though %d fit", j.ID, demand.Tasks, fitting)
		}
	}
}

// preempted is a set of preempted tasks by job.
type preempted map[protocol.JobID]map[int]bool

// checkRanksOfPreempted checks that all victims are of a lower rank than their preemptor, and
// returns the victims by preemptor.
func (c *checkedPlan) checkRanksOfPreempted(t *rapid.T) map[protocol.JobID]preempted {
	victimsByPreemptor := map[protocol.JobID]preempted{}
	for _, preemption := range c.Preemptions {
		if c.jobs[preemption.Job].Rank <= c.jobs[preemption.Preemptor].Rank {
			t.Fatalf("%s of rank %d is preempted for %s of rank %d, want victims of lower ranks only",
				preemption.Job, c.jobs[preemption.Job].Rank,
				preemption.Preemptor, c.jobs[preemption.Preemptor].Rank)
		}
		if victimsByPreemptor[preemption.Preemptor] == nil {
			victimsByPreemptor[preemption.Preemptor] = preempted{}
		}
		if victimsByPreemptor[preemption.Preemptor][preemption.Job] == nil {
			victimsByPreemptor[preemption.Preemptor][preemption.Job] = map[int]bool{}
		}
		victimsByPreemptor[preemption.Preemptor][preemption.Job][preemption.Task] = true
	}
	return victimsByPreemptor
}

// everyTask means all tasks of the kept job in machinesWithout.
const everyTask = -1

// machinesWithout returns the machines after the preempted tasks have stopped, except for one task
// of keptJob, or all of its tasks, which still run.
func (c *checkedPlan) machinesWithout(tasks preempted, keptJob protocol.JobID, keptTask int) []Machine {
	machines := slices.Clone(c.machinesAfter)
	byName := machinesByName(machines)
	for owner, stopped := range tasks {
		for _, r := range c.jobs[owner].Running {
			kept := owner == keptJob && (keptTask == everyTask || r.Task == keptTask)
			if m := byName[r.Machine]; stopped[r.Task] && !kept {
				m.Free = m.Free.Plus(TaskResources(c.jobs[owner].Spec))
			}
		}
	}
	return machines
}

// checkPreemptionsAreNeeded checks that the preemptions free enough capacity, and that each of them
// is needed.
func (c *checkedPlan) checkPreemptionsAreNeeded(t *rapid.T, victimsByPreemptor map[protocol.JobID]preempted) {
	if len(victimsByPreemptor) != 1 {
		return // of several preemptors' victims, each may not suffice alone or not be needed
	}
	for preemptor, victims := range victimsByPreemptor {
		j, missing := c.jobsAfter[preemptor], c.missing(preemptor)
		if fitting := modelCapacity(j, c.machinesWithout(victims, "", everyTask)); fitting < missing {
			t.Fatalf("preempting for %s frees capacity for %d tasks, want %d", preemptor, fitting, missing)
		}
		if hasUnmetGang(c.UnmetDemand) {
			continue // free capacity may be reserved for a gang before the preemptor
		}
		for owner, tasks := range victims {
			for _, kept := range c.possiblyKept(owner, tasks) {
				if fitting := modelCapacity(j, c.machinesWithout(victims, owner, kept)); fitting >= missing {
					t.Fatalf("%s/%d is preempted for %s, but without that %d tasks fit and %d must",
						owner, kept, preemptor, fitting, missing)
				}
			}
		}
	}
}

// possiblyKept returns which of the preempted tasks of a job the plan could have kept
// independently: each task of a shrunk array, but only all tasks of a job that it preempted as a
// whole.
func (c *checkedPlan) possiblyKept(owner protocol.JobID, tasks map[int]bool) []int {
	if c.jobs[owner].Spec.IsGang() || len(tasks) == len(c.jobs[owner].Running) {
		return []int{everyTask}
	}
	return slices.Sorted(maps.Keys(tasks))
}

// checkNothingElseToPreempt checks that, if the plan preempts nothing, preempting all jobs of lower
// ranks wouldn't have sufficed for any job with unmet demand, up to and including the first gang of
// several tasks.
func (c *checkedPlan) checkNothingElseToPreempt(t *rapid.T) {
	if len(c.Preemptions) > 0 {
		return
	}
	for _, demand := range c.UnmetDemand {
		j := c.jobsAfter[demand.Job.ID]
		if j.Spec.Team == "limited" {
			continue // the limit may keep the job pending
		}
		lower := preempted{}
		for id, v := range c.jobs {
			if v.Rank > j.Rank && len(v.Running) > 0 {
				lower[id] = allTasks(v.Running)
			}
		}
		if len(lower) > 0 && modelCapacity(j, c.machinesWithout(lower, "", everyTask)) >= c.missing(j.ID) {
			t.Fatalf("%s has unmet demand for %d tasks and preempts nothing, though that would suffice",
				j.ID, demand.Tasks)
		}
		if isMultiTaskGang(j) {
			return // free capacity is reserved for the gang
		}
	}
}

func allTasks(running []RunningTask) map[int]bool {
	tasks := map[int]bool{}
	for _, r := range running {
		tasks[r.Task] = true
	}
	return tasks
}
