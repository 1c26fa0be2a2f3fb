package planner

import (
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"postpoint/internal/protocol"
)

// modelRoom is a plain model of how many more tasks of a job fit: its tasks are alike, so
// that it is a count by machine, bounded by what the job allows in each zone.
func modelRoom(j *Job, machines []Machine) int {
	byZone := map[string]int{}
	for _, m := range machines {
		if !m.Booting && MachineAllowed(j.Spec, m.Type, m.Zone, m.Spot) && !j.AvoidedMachines[m.Name] {
			byZone[m.Zone] += modelCount(j, m.Free)
		}
	}
	held := countZones(j.Running)
	total := 0
	for zone, n := range byZone {
		if j.Spec.Spread {
			n = max(0, min(n, (j.Spec.Tasks+1)/2-held[zone]))
		}
		if !j.Spec.OneZone {
			total += n
			continue
		}
		elsewhere := len(j.Running) - held[zone]
		if elsewhere == 0 {
			total = max(total, n)
		}
	}
	return total
}

// modelCount counts, one by one, the tasks of a job that fit into free resources.
func modelCount(j *Job, free Resources) int {
	n := 0
	for ; TaskResources(j.Spec).FitsIn(free); n++ {
		free = free.Minus(TaskResources(j.Spec))
	}
	return n
}

// checkedPlan is a plan with the state that its placements lead to.
type checkedPlan struct {
	Plan
	before Snapshot
	// jobs are those of the snapshot by ID; jobsAfter have what was placed running.
	jobs, jobsAfter map[protocol.JobID]*Job
	// machinesAfter have less free by what was placed.
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
		if m.Free.Cpus < -roundingSlack {
			t.Fatalf("%s has %v processors free, want at least 0", m.Name, m.Free.Cpus)
		}
		c.placed[p.Job]++
		j.Running = append(j.Running, RunningTask{Task: p.Task, Machine: p.Machine, Zone: m.Zone})
	}
	return c
}

// missing is how many tasks of a job neither ran before nor were placed.
func (c *checkedPlan) missing(job protocol.JobID) int {
	before := c.jobs[job]
	return len(before.Running) + len(before.Pending) - len(c.jobsAfter[job].Running)
}

// Every plan is valid, leaves nothing out that fits, and preempts only what the rules
// allow, only if it suffices, and nothing that isn't needed.
func TestPlanAgreesWithModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSnapshot(t)
		c := applyPlacements(t, s, MakePlan(s))
		c.checkLimit(t)
		c.checkZones(t)
		c.checkGangsAreWhole(t)
		c.checkUnmetDemandDoesNotFit(t)
		winners := c.checkRanksOfPreempted(t)
		c.checkPreemptionsAreNeeded(t, winners)
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
	if used > limitedCpus+roundingSlack && used > before {
		t.Fatalf("the team uses %v processors, want at most %v", used, limitedCpus)
	}
}

// checkZones checks that jobs keep to one zone, or spread, as they ask for.
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

// checkGangsAreWhole checks that gangs are placed whole or not at all.
func (c *checkedPlan) checkGangsAreWhole(t *rapid.T) {
	for id, j := range c.jobs {
		if j.Spec.Gang() && c.placed[id] != 0 && c.placed[id] != len(j.Pending) {
			t.Fatalf("%d of %d tasks of gang %s are placed, want all or none", c.placed[id], len(j.Pending),
				id)
		}
	}
}

// checkUnmetDemandDoesNotFit checks that what is left without room really has none.
func (c *checkedPlan) checkUnmetDemandDoesNotFit(t *rapid.T) {
	for _, w := range c.UnmetDemand {
		if len(c.Preemptions) > 0 || isRealGang(w.Job) {
			return // what is free may be held for who is making room, or a gang
		}
		j := c.jobsAfter[w.Job.ID]
		room := modelRoom(j, c.machinesAfter)
		if !j.Spec.Gang() && room > 0 || j.Spec.Gang() && room >= w.Tasks {
			t.Fatalf("%s has unmet demand for %d tasks though %d fit", j.ID, w.Tasks, room)
		}
	}
}

// preempted are preempted tasks by the job that they belong to.
type preempted map[protocol.JobID]map[int]bool

// checkRanksOfPreempted checks that only lower work yields, and returns the preempted
// tasks by the job that they yield to.
func (c *checkedPlan) checkRanksOfPreempted(t *rapid.T) map[protocol.JobID]preempted {
	winners := map[protocol.JobID]preempted{}
	for _, stop := range c.Preemptions {
		if c.jobs[stop.Job].Rank <= c.jobs[stop.Preemptor].Rank {
			t.Fatalf("%s of rank %d is preempted for %s of rank %d, want only lower work to yield",
				stop.Job, c.jobs[stop.Job].Rank, stop.Preemptor, c.jobs[stop.Preemptor].Rank)
		}
		if winners[stop.Preemptor] == nil {
			winners[stop.Preemptor] = preempted{}
		}
		if winners[stop.Preemptor][stop.Job] == nil {
			winners[stop.Preemptor][stop.Job] = map[int]bool{}
		}
		winners[stop.Preemptor][stop.Job][stop.Task] = true
	}
	return winners
}

// everyTask stands for all tasks of a job in machinesWithout.
const everyTask = -1

// machinesWithout returns the machines once the preempted tasks have left, save for one
// task, or every task, of the job that is kept.
func (c *checkedPlan) machinesWithout(tasks preempted, keptJob protocol.JobID, keptTask int) []Machine {
	machines := slices.Clone(c.machinesAfter)
	byName := machinesByName(machines)
	for loser, stopped := range tasks {
		for _, r := range c.jobs[loser].Running {
			kept := loser == keptJob && (keptTask == everyTask || r.Task == keptTask)
			if m := byName[r.Machine]; stopped[r.Task] && !kept {
				m.Free = m.Free.Plus(TaskResources(c.jobs[loser].Spec))
			}
		}
	}
	return machines
}

// checkPreemptionsAreNeeded checks that what is preempted makes enough room, and that
// nothing of it could be kept.
func (c *checkedPlan) checkPreemptionsAreNeeded(t *rapid.T, winners map[protocol.JobID]preempted) {
	if len(winners) != 1 {
		return // each alone may not suffice, or not be needed
	}
	for winner, losers := range winners {
		j, missing := c.jobsAfter[winner], c.missing(winner)
		if room := modelRoom(j, c.machinesWithout(losers, "", everyTask)); room < missing {
			t.Fatalf("preempting for %s makes room for %d tasks, want %d", winner, room, missing)
		}
		if hasUnmetGang(c.UnmetDemand) {
			continue // what is free may be kept for a gang before the winner
		}
		for loser, tasks := range losers {
			for _, kept := range c.possiblyKept(loser, tasks) {
				if room := modelRoom(j, c.machinesWithout(losers, loser, kept)); room >= missing {
					t.Fatalf("%s/%d is preempted for %s, which has room for %d tasks without that and needs %d",
						loser, kept, winner, room, missing)
				}
			}
		}
	}
}

// possiblyKept returns which of the preempted tasks of a job could have been kept without
// the others: any of a shrunk array, only all of a job that is preempted as a whole.
func (c *checkedPlan) possiblyKept(loser protocol.JobID, tasks map[int]bool) []int {
	if c.jobs[loser].Spec.Gang() || len(tasks) == len(c.jobs[loser].Running) {
		return []int{everyTask}
	}
	return slices.Sorted(maps.Keys(tasks))
}

// checkNothingElseToPreempt checks that, if nothing is preempted, preempting all lower
// work wouldn't have helped the first job with unmet demand.
func (c *checkedPlan) checkNothingElseToPreempt(t *rapid.T) {
	if len(c.Preemptions) > 0 {
		return
	}
	for _, w := range c.UnmetDemand {
		j := c.jobsAfter[w.Job.ID]
		if j.Spec.Team == "limited" {
			continue // its limit may be what it waits for
		}
		lower := preempted{}
		for id, v := range c.jobs {
			if v.Rank > j.Rank && len(v.Running) > 0 {
				lower[id] = allTasks(v.Running)
			}
		}
		if len(lower) > 0 && modelRoom(j, c.machinesWithout(lower, "", everyTask)) >= c.missing(j.ID) {
			t.Fatalf("%s has unmet demand for %d tasks, lower work could make room, and nothing is preempted",
				j.ID, w.Tasks)
		}
		if isRealGang(j) {
			return // what is free is kept for it
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
