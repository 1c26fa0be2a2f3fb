// Package planner decides which pending tasks start on which machines, and which running tasks it
// preempts for them.
//
// The package is a pure function from a Snapshot to a Plan. It does no I/O, reads no clock and
// keeps no state between calls. The same snapshot always yields the same plan: the planner visits
// machines in the order of their names, every sort ends with an identifier, and floating-point sums
// have a fixed order.
//
// The planner orders the queue, packs tasks onto machines (bin packing), places gangs, enforces
// team quotas and chooses preemption victims. The caller computes what the snapshot contains
// (ranks, objectives and guarantees), carries out the plan and controls the number of machines: the
// plan returns the unmet demand, from which the caller's autoscaler decides how to scale out.
//
// The leader calls the package at every scheduling step. The autoscaler calls it to find machines
// that it could release. The offload planner and the simulation use its resource arithmetic and its
// placement constraints.
//
// Preemption follows N&SPAA of "Hybrid Workload Scheduling on HPC Systems" (Fan, Lan, Rich, Allcock
// and Papka): the mechanism that gives no advance notice and shrinks malleable jobs before it
// preempts whole ones. docs/design.md says where the planner follows the paper and where it
// differs.
package planner
