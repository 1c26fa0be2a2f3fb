package simulation

import (
	"fmt"

	"postpoint/internal/clock"
)

// History records what ran when, over all cells, and judges it independently of the controllers: no two runs
// of a task overlap, and each task is completed once. A nil History records nothing.
type History struct {
	w    *World
	runs map[taskOf][]run
	done map[taskOf]int
}

// taskOf is a task of a job, wherever it runs.
type taskOf struct {
	job  *Job
	task int
}

// run is the time of one attempt on a machine.
type run struct {
	on       *FakeWorker
	from, to clock.Micros // to is 0 while it runs
}

// NewHistory returns a History of the given cells.
func NewHistory(w *World, watched ...*Deployment) *History {
	h := &History{w: w, runs: map[taskOf][]run{}, done: map[taskOf]int{}}
	for _, d := range watched {
		d.History = h
	}
	return h
}

// runBegan notes that a run begins.
func (h *History) runBegan(j *Job, task int, on *FakeWorker) {
	if h != nil {
		k := taskOf{j, task}
		h.runs[k] = append(h.runs[k], run{on: on, from: h.w.now})
	}
}

// runEnded notes that the last run on the machine ends.
func (h *History) runEnded(j *Job, task int, on *FakeWorker) {
	if h == nil {
		return
	}
	runs := h.runs[taskOf{j, task}]
	for i := len(runs) - 1; i >= 0; i-- {
		if runs[i].on == on && runs[i].to == 0 {
			runs[i].to = h.w.now
			return
		}
	}
}

// taskCompleted notes that a task is completed.
func (h *History) taskCompleted(j *Job, task int) {
	if h != nil {
		h.done[taskOf{j, task}]++
	}
}

// Judge lists what is wrong with the tasks of the given jobs, all of which should be done.
func (h *History) Judge(jobs []*Job) []string {
	var wrong []string
	for _, j := range jobs {
		for task := range j.spec.Tasks {
			k := taskOf{j, task}
			if h.done[k] != 1 {
				wrong = append(wrong, fmt.Sprintf("%s was completed %d times", k, h.done[k]))
			}
			wrong = append(wrong, h.overlaps(k)...)
		}
	}
	return wrong
}

// overlaps lists the pairs of runs of a task that overlap.
func (h *History) overlaps(k taskOf) []string {
	var wrong []string
	for i, a := range h.runs[k] {
		for _, b := range h.runs[k][i+1:] {
			if a.to == 0 || a.to > b.from {
				wrong = append(wrong, fmt.Sprintf("%s ran on %s from %.3f and on %s from %.3f",
					k, a.on.name, a.from.Seconds(), b.on.name, b.from.Seconds()))
			}
		}
	}
	return wrong
}

// String names the task with its cell.
func (k taskOf) String() string {
	return fmt.Sprintf("%s/%d of %s", k.job.spec.ID, k.task, k.job.origin.name)
}

// Elsewhere counts the runs outside the jobs' origin cells, and all runs.
func (h *History) Elsewhere() (elsewhere, all int) {
	for k, runs := range h.runs {
		for _, r := range runs {
			all++
			if r.on.d != k.job.origin {
				elsewhere++
			}
		}
	}
	return elsewhere, all
}
