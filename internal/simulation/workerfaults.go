package simulation

import "postpoint/internal/clock"

// holdShare is the chance that messages through a cut link are held back instead of lost.
const holdShare = 0.7

func (f *fault) hangWorker() {
	f.worker.Hung = true
	f.w.After(f.duration, f.worker.Resume)
}

func (f *fault) partitionWorker() {
	f.cut(&f.worker.Link, f.w.chance(holdShare))
	f.cut(&f.worker.Commands, f.w.chance(holdShare))
}

func (f *fault) holdCommands() { f.cut(&f.worker.Commands, true) }

func (f *fault) killWorker() { f.worker.Die() }

func (f *fault) recallWorker() { f.d.Recall(f.worker, f.w.Between(0, 12*clock.Second)) }

func (f *fault) failTasks() {
	f.worker.Faulty = true
	f.w.After(f.duration, func() { f.worker.Faulty = false })
}

func (f *fault) loseResponses() {
	f.worker.ResponsesLost = true
	f.w.After(f.duration, func() { f.worker.ResponsesLost = false })
}

func (f *fault) loseHeartbeats() {
	f.worker.HeartbeatsLost = true
	f.w.After(f.duration, func() { f.worker.HeartbeatsLost = false })
}
