package planner

import (
	"slices"

	"postpoint/internal/protocol"
)

// fitGang returns a machine for each of n tasks, or nil if not all of them fit. If the job needs
// one zone, it chooses the zone with the lowest total cost.
func (p *planning) fitGang(job *Job, n int, ready readiness) []*Machine {
	candidates := p.candidates(job, ready)
	capacity := 0
	for _, machine := range candidates {
		capacity += machine.Copies(job.Spec)
	}
	if capacity < n {
		return nil
	}
	var best []*Machine
	bestCost := 0.0
	for _, group := range p.zoneGroups(job, candidates) {
		machines, cost := p.fitUpTo(job, n, group)
		if len(machines) == n && (best == nil || cost < bestCost) {
			best, bestCost = machines, cost
		}
	}
	return best
}

// zoneGroups splits machines into the groups within which all of the job's tasks must stay: one
// group of all machines, or one per zone.
func (p *planning) zoneGroups(job *Job, machines []*Machine) [][]*Machine {
	if !job.Spec.OneZone {
		return [][]*Machine{machines}
	}
	groups := make([][]*Machine, len(p.zones))
	for _, machine := range machines {
		i := slices.Index(p.zones, machine.Zone)
		groups[i] = append(groups[i], machine)
	}
	return groups
}

// fitUpTo returns a machine for each of up to n tasks, as many as fit, and their total cost. It
// leaves the machines unchanged.
func (p *planning) fitUpTo(job *Job, n int, candidates []*Machine) (machines []*Machine, cost float64) {
	available := newMachineHeap(job, candidates)
	zones := job.TasksByZone()
	var freeBefore []Resources
	for len(machines) < n {
		machine := available.cheapest(zones)
		if machine == nil {
			break
		}
		cost += available.cheapestCost()
		freeBefore = append(freeBefore, machine.Free)
		machine.Take(job.Spec)
		zones[machine.Zone]++
		machines = append(machines, machine)
		available.updateCheapest()
	}
	// Restore in reverse order, since a machine may hold several tasks. Adding the requests back
	// would not restore the exact bits.
	for i, machine := range slices.Backward(machines) {
		machine.release(job.Spec)
		machine.Free = freeBefore[i]
	}
	return machines, cost
}

// reserveForGang reserves free capacity for the first gang in the queue that should start now
// (TierStartInTime) and doesn't fit. It returns for how many of the gang's n tasks it reserved
// capacity. Without the reservation, smaller jobs behind the gang would take each resource as it
// becomes free, and a large gang would never find enough at once.
//
// It reserves nothing for a gang whose scale-out is overdue and that wouldn't fit on the present
// machines even if they were empty: such a reservation would never end.
func (p *planning) reserveForGang(job *Job, n int) int {
	if p.gangReserved || !job.Spec.IsGang() || job.Tier != TierStartInTime {
		return 0
	}
	if job.ScaleOutOverdue && !p.fitsWhenEmpty(job, n) {
		return 0
	}
	p.gangReserved = true
	var largest []*Machine
	for _, group := range p.zoneGroups(job, p.candidates(job, readyNow)) {
		// Not all n fit, or assignGang would have assigned them.
		machines, _ := p.fitUpTo(job, n-1, group)
		if len(machines) > len(largest) {
			largest = machines
		}
	}
	p.reserveOnMachines(job, largest)
	return len(largest)
}

// reserveOnMachines subtracts the resources of one task of the job on each of the machines, for the
// rest of the plan.
func (p *planning) reserveOnMachines(job *Job, machines []*Machine) {
	for _, machine := range machines {
		machine.Take(job.Spec)
	}
}

// fitsWhenEmpty reports whether n tasks would fit on the present machines, booting ones included,
// if nothing else ran there but the service replicas that the job may not preempt: they don't end.
func (p *planning) fitsWhenEmpty(job *Job, n int) bool {
	held := p.heldByReplicas(job)
	var usable []*Machine
	for i := range p.machines {
		if machine := &p.machines[i]; job.mayUse(machine) {
			usable = append(usable, machine)
		}
	}
	for _, group := range p.zoneGroups(job, usable) {
		capacity := 0
		for _, machine := range group {
			capacity += CopiesInEmpty(job.Spec, machine.Capacity.Minus(held[machine.Name]))
		}
		if capacity >= n {
			return true
		}
	}
	return false
}

// heldByReplicas returns, by machine, the resources of the service replicas that the job may not preempt.
func (p *planning) heldByReplicas(job *Job) map[protocol.MachineName]Resources {
	held := map[protocol.MachineName]Resources{}
	for _, replica := range p.replicas {
		if !canBePreempted(replica.job, replica.run, job) {
			name := replica.run.Machine
			held[name] = held[name].Plus(TaskResources(replica.job.Spec))
		}
	}
	return held
}
