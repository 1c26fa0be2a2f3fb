// Package scaling decides which machines to add (scale out), which machines to cordon so that they
// empty and the cluster can release them (scale in), and how long to keep idle ones.
//
// The package is pure: its decisions depend only on their arguments, and it does no I/O and reads
// no clock. The same arguments always yield the same decisions.
//
// It compares prices and decides what the cluster pays for which job: which capacity pools have a
// fair price for a job, and when a job's service-level objective justifies a premium. Package
// planner places the tasks. The leader sends the requests to the cloud, limits their rate, retries
// them and remembers which pools are out of capacity.
//
// The leader calls the package after each plan with the unmet demand, and every few seconds to find
// machines to cordon. Admission uses it to check whether a job fits any machine type at all. The
// paper that the planner follows assumes a fixed set of machines, so that nothing here is based on
// it; see the section on machines in docs/design.md.
package scaling
