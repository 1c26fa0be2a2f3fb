package planner

import "container/heap"

// machineHeap orders machines by the cost of placing one more task of one job on them. A job's
// tasks are alike, so that the planner assigns them one after another without computing the cost of
// every machine for each of them.
type machineHeap struct {
	job     *Job
	entries []heapEntry
}

// heapEntry is a machine of a machineHeap.
type heapEntry struct {
	machine *Machine
	cost    float64
	// position is the index of the machine in the input. It breaks ties between equal costs.
	position int
}

// newMachineHeap returns a heap of machines, each of which must have free capacity for a task of
// the job.
func newMachineHeap(job *Job, machines []*Machine) *machineHeap {
	h := &machineHeap{job, make([]heapEntry, len(machines))}
	for i, m := range machines {
		h.entries[i] = heapEntry{m, placementCost(job, m), i}
	}
	heap.Init(h)
	return h
}

// cheapest returns the machine with the lowest cost in a zone that the job's constraints allow, or
// nil. It drops machines in other zones from the heap: tasks are only added, so that an excluded
// zone stays excluded.
func (h *machineHeap) cheapest(zones map[string]int) *Machine {
	for len(h.entries) > 0 {
		if m := h.entries[0].machine; ZoneAllowed(h.job.Spec, zones, m.Zone) {
			return m
		}
		heap.Pop(h)
	}
	return nil
}

// cheapestCost returns the cost of the machine that cheapest last returned.
func (h *machineHeap) cheapestCost() float64 { return h.entries[0].cost }

// updateCheapest restores the heap order after the planner has assigned a task to the cheapest
// machine.
func (h *machineHeap) updateCheapest() {
	first := &h.entries[0]
	if !first.machine.Fits(h.job.Spec) {
		heap.Pop(h)
		return
	}
	first.cost = placementCost(h.job, first.machine)
	heap.Fix(h, 0)
}

// Len implements heap.Interface.
func (h *machineHeap) Len() int { return len(h.entries) }

// Less implements heap.Interface.
func (h *machineHeap) Less(i, k int) bool {
	a, b := &h.entries[i], &h.entries[k]
	return a.cost < b.cost || a.cost == b.cost && a.position < b.position
}

// Swap implements heap.Interface.
func (h *machineHeap) Swap(i, k int) { h.entries[i], h.entries[k] = h.entries[k], h.entries[i] }

// Push implements heap.Interface.
func (h *machineHeap) Push(x any) { h.entries = append(h.entries, x.(heapEntry)) }

// Pop implements heap.Interface.
func (h *machineHeap) Pop() any {
	last := h.entries[len(h.entries)-1]
	h.entries = h.entries[:len(h.entries)-1]
	return last
}
