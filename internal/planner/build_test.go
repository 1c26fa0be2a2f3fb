package planner

import (
	"fmt"
	"slices"

	"postpoint/internal/protocol"
)

// arrayJob returns an array that may preempt. The given tasks run, and the rest are pending.
func arrayJob(id protocol.JobID, rank, tasks int, cpus float64, running ...RunningTask) Job {
	j := Job{ID: id, Rank: rank, MaxStarts: 100, MayPreempt: true, Running: running,
		Spec: &protocol.JobSpec{ID: id, Shape: protocol.ShapeArray, Tasks: tasks, Cpus: cpus}}
	for task := len(running); task < tasks; task++ {
		j.Pending = append(j.Pending, task)
	}
	return j
}

// gangJob returns a gang that may preempt, all tasks of which are pending.
func gangJob(id protocol.JobID, rank, tasks int, cpus float64) Job {
	j := arrayJob(id, rank, tasks, cpus)
	j.Spec.Shape = protocol.ShapeGang
	return j
}

// machinesWith returns n machines with the given total and free processors, named m0, m1 and so on.
func machinesWith(n int, cpus, free float64) []Machine {
	var machines []Machine
	for i := range n {
		machines = append(machines, Machine{Name: protocol.MachineName(fmt.Sprint("m", i)),
			Capacity: Resources{Cpus: cpus}, Free: Resources{Cpus: free}})
	}
	return machines
}

// machinesByName maps names to pointers into the given machines.
func machinesByName(machines []Machine) map[protocol.MachineName]*Machine {
	byName := make(map[protocol.MachineName]*Machine, len(machines))
	for i := range machines {
		byName[machines[i].Name] = &machines[i]
	}
	return byName
}

// countZones counts running tasks by zone.
func countZones(running []RunningTask) map[string]int {
	zones := map[string]int{}
	for _, r := range running {
		zones[r.Zone]++
	}
	return zones
}

// hasUnmetGang reports whether a gang of several tasks is among the unmet demand. If so, the plan
// may reserve free capacity for it.
func hasUnmetGang(unmet []UnmetDemand) bool {
	return slices.ContainsFunc(unmet, func(demand UnmetDemand) bool { return isMultiTaskGang(demand.Job) })
}

// isMultiTaskGang reports whether a job is a gang of more than one task.
func isMultiTaskGang(j *Job) bool { return j.Spec.IsGang() && j.Spec.Tasks > 1 }
