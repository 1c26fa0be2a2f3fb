// Package planner decides which pending tasks start on which machines, and which
// running tasks are preempted for them.
//
// The package is a pure function from a Snapshot to a Plan. It does no I/O, reads
// no clock and keeps nothing between calls. The same snapshot always yields the same
// plan: machines are visited in the order of their names, every sort ends with an
// identifier, and floating-point sums are formed in a fixed order.
//
// It owns the order of the queue, bin packing, the placement of gangs, the check of
// team quotas, and the choice of preemption victims. It doesn't own what the snapshot
// says (ranks, objectives and guarantees are computed by the caller), carrying out
// the plan, or the number of machines: demand that found no room is returned to the
// caller, whose autoscaler decides what to rent for it.
//
// The leader calls the package at every scheduling step. The autoscaler calls it to
// find out which machines could be removed. The offload planner and the simulation
// use its resource arithmetic and its placement constraints.
//
// Preemption follows N&SPAA, the mechanism without advance notice that shrinks before
// it preempts, of "Hybrid Workload Scheduling on HPC Systems" (Fan, Lan, Rich, Allcock
// and Papka). docs/design.md says what was kept of the paper and what was changed.
package planner
