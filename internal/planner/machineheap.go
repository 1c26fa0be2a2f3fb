package planner

import "container/heap"

// machineHeap orders machines by the cost of a task of one job. The tasks of a job are
// alike, so that they are assigned one after another without computing the cost of
// every machine for each of them.
type machineHeap struct {
	job     *Job
	entries []heapEntry
}

// heapEntry is a machine of a machineHeap.
type heapEntry struct {
	machine *Machine
	cost    float64
	// position among the machines given breaks ties between equal costs.
	position int
}

// newMachineHeap returns a heap of machines that all have room for a task of the job.
func newMachineHeap(job *Job, machines []*Machine) *machineHeap {
	h := &machineHeap{job, make([]heapEntry, len(machines))}
	for i, m := range machines {
		h.entries[i] = heapEntry{m, placementCost(job, m), i}
	}
	heap.Init(h)
	return h
}

// cheapest returns the machine with the lowest cost in a zone that the job's tasks
// allow, or nil. Machines in other zones are dropped: as tasks are only added, a zone
// that they exclude stays excluded.
func (h *machineHeap) cheapest(zones map[string]int) *Machine {
	for len(h.entries) > 0 {
		if m := h.entries[0].machine; ZoneAllowed(h.job.Spec, zones, m.Zone) {
			return m
		}
		heap.Pop(h)
	}
	return nil
}

// cheapestCost returns the cost of the machine that cheapest has returned.
func (h *machineHeap) cheapestCost() float64 { return h.entries[0].cost }

// updateCheapest restores the order after a task was assigned to the cheapest machine.
func (h *machineHeap) updateCheapest() {
	first := &h.entries[0]
	if !TaskResources(h.job.Spec).FitsIn(first.machine.Free) {
		heap.Pop(h)
		return
	}
	first.cost = placementCost(h.job, first.machine)
	heap.Fix(h, 0)
}

// Len is part of heap.Interface.
func (h *machineHeap) Len() int { return len(h.entries) }

// Less is part of heap.Interface.
func (h *machineHeap) Less(i, k int) bool {
	a, b := &h.entries[i], &h.entries[k]
	return a.cost < b.cost || a.cost == b.cost && a.position < b.position
}

// Swap is part of heap.Interface.
func (h *machineHeap) Swap(i, k int) { h.entries[i], h.entries[k] = h.entries[k], h.entries[i] }

// Push is part of heap.Interface.
func (h *machineHeap) Push(x any) { h.entries = append(h.entries, x.(heapEntry)) }

// Pop is part of heap.Interface.
func (h *machineHeap) Pop() any {
	last := h.entries[len(h.entries)-1]
	h.entries = h.entries[:len(h.entries)-1]
	return last
}
