package planner

import (
	"fmt"
	"slices"

	"postpoint/internal/protocol"
)

// arrayJob returns an array that may preempt, of which the given tasks run and the rest
// are pending.
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

// machinesWith returns n machines of the given size, named m0 and so on.
func machinesWith(n int, cpus, free float64) []Machine {
	var machines []Machine
	for i := range n {
		machines = append(machines, Machine{Name: protocol.MachineName(fmt.Sprint("m", i)),
			Capacity: Resources{Cpus: cpus}, Free: Resources{Cpus: free}})
	}
	return machines
}

// machinesByName points into the given machines.
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

// hasUnmetGang reports whether a gang of several tasks is among the unmet demand: then
// room that is free may be kept for it.
func hasUnmetGang(wants []UnmetDemand) bool {
	return slices.ContainsFunc(wants, func(w UnmetDemand) bool { return isRealGang(w.Job) })
}

// isRealGang reports whether a job is a gang of more than one task.
func isRealGang(j *Job) bool { return j.Spec.Gang() && j.Spec.Tasks > 1 }
