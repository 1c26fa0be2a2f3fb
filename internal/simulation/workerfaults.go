package simulation

import "postpoint/internal/clock"

// holdChance is the chance that a cut link holds messages back instead of losing them.
const holdChance = 0.7

// hangWorker makes the worker do nothing until the fault ends.
func (f *fault) hangWorker() {
	f.worker.Hung = true
	f.w.After(f.duration, f.worker.Resume)
}

// partitionWorker cuts the worker off from the controllers, in both directions.
func (f *fault) partitionWorker() {
	f.cut(&f.worker.Link, f.w.chance(holdChance))
	f.cut(&f.worker.Commands, f.w.chance(holdChance))
}

// holdCommands delays direct commands to the worker until the fault ends.
func (f *fault) holdCommands() { f.cut(&f.worker.Commands, true) }

// killWorker makes the machine fail without notice.
func (f *fault) killWorker() { f.worker.Fail() }

// reclaimWorker makes the cloud reclaim the machine, after a short notice or none.
func (f *fault) reclaimWorker() { f.d.Reclaim(f.worker, f.w.Between(0, 12*clock.Second)) }

// restartAgent makes the worker's agent return within a moment: without its tasks, and with its counters from
// one. It keeps the highest fencing token that it has seen.
func (f *fault) restartAgent() { f.worker.RestartCounters(true) }

// failTasks makes the worker fail every task that it starts.
func (f *fault) failTasks() {
	f.worker.Faulty = true
	f.w.After(f.duration, func() { f.worker.Faulty = false })
}

// loseResponses loses all responses and commands to the worker; its heartbeats arrive.
func (f *fault) loseResponses() {
	f.worker.ResponsesLost = true
	f.w.After(f.duration, func() { f.worker.ResponsesLost = false })
}

// loseHeartbeats loses all heartbeats of the worker; direct commands reach it.
func (f *fault) loseHeartbeats() {
	f.worker.HeartbeatsLost = true
	f.w.After(f.duration, func() { f.worker.HeartbeatsLost = false })
}
