package simulation

import (
	"fmt"

	"postpoint/internal/clock"
)

// History records when each task ran, in all cells. It checks independently of the controllers that no two
// runs of a task overlap and that each task completes once. A nil History records nothing.
type History struct {
	w    *World
	runs map[jobTask][]run
	done map[jobTask]int
}

// jobTask identifies a task of a job, whichever cell runs it.
type jobTask struct {
	job  *Job
	task int
}

// run is one run of a task on a worker.
type run struct {
	worker   *FakeWorker
	from, to clock.Micros // to is 0 while the task runs
}

// NewHistory returns a History that records the tasks of the given cells.
func NewHistory(w *World, watched ...*Deployment) *History {
	h := &History{w: w, runs: map[jobTask][]run{}, done: map[jobTask]int{}}
	for _, d := range watched {
		d.History = h
	}
	return h
}

// runBegan records that a task begins to run on a worker.
func (h *History) runBegan(j *Job, task int, worker *FakeWorker) {
	if h != nil {
		k := jobTask{j, task}
		h.runs[k] = append(h.runs[k], run{worker: worker, from: h.w.now})
	}
}

// runEnded records that the latest run of a task on a worker ends.
func (h *History) runEnded(j *Job, task int, worker *FakeWorker) {
	if h == nil {
		return
	}
	runs := h.runs[jobTask{j, task}]
	for i := len(runs) - 1; i >= 0; i-- {
		if runs[i].worker == worker && runs[i].to == 0 {
			runs[i].to = h.w.now
			return
		}
	}
}

// taskCompleted records that a task has completed.
func (h *History) taskCompleted(j *Job, task int) {
	if h != nil {
		h.done[jobTask{j, task}]++
	}
}

// Check describes each task of the given jobs that didn't complete exactly once or whose runs overlapped. All
// of the jobs should be done.
func (h *History) Check(jobs []*Job) []string {
	var problems []string
	for _, j := range jobs {
		for task := range j.spec.Tasks {
			k := jobTask{j, task}
			if h.done[k] != 1 {
				problems = append(problems, fmt.Sprintf("%s was completed %d times", k, h.done[k]))
			}
			problems = append(problems, h.overlaps(k)...)
		}
	}
	return problems
}

// overlaps describes each pair of runs of a task that overlap.
func (h *History) overlaps(k jobTask) []string {
	var problems []string
	for i, a := range h.runs[k] {
		for _, b := range h.runs[k][i+1:] {
			if a.to == 0 || a.to > b.from {
				problems = append(problems, fmt.Sprintf("%s ran on %s from %.3f and on %s from %.3f",
					k, a.worker.name, a.from.Seconds(), b.worker.name, b.from.Seconds()))
			}
		}
	}
	return problems
}

// String returns the task's job id and number with its origin cell.
func (k jobTask) String() string {
	return fmt.Sprintf("%s/%d of %s", k.job.spec.ID, k.task, k.job.origin.name)
}

// RunsOutsideOrigin returns the number of runs outside the jobs' origin cells and the number of all runs.
func (h *History) RunsOutsideOrigin() (outside, all int) {
	for k, runs := range h.runs {
		for _, r := range runs {
			all++
			if r.worker.d != k.job.origin {
				outside++
			}
		}
	}
	return outside, all
}
