// Package scaling decides which machines to rent (scale out), which to cordon so that they
// empty and can be returned (scale in), and how long idle ones are kept.
//
// The package is pure: its decisions depend on their arguments only, and it does no I/O
// and reads no clock. The same arguments always yield the same decisions.
//
// It owns prices and what is paid for whom: which capacity pools are fair for a job, and
// when a job's service-level objective is worth more. It doesn't own the placement of
// tasks (package planner), the requests to the cloud, their rate and their retries, or
// the memory of pools that are out of capacity; the leader does these.
//
// The leader calls the package after each plan with the demand that found no room, and
// every few seconds to look for machines to cordon. Admission asks it whether a job fits
// any machine type at all. The paper that the planner follows has a fixed set of nodes, so
// that nothing here is taken from it; see the section on machines in docs/design.md.
package scaling
