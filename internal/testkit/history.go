package testkit

import (
	"fmt"

	"postpoint/internal/clock"
)

// History is what ran when, over all cells, and judges it without knowing how it came about:
// no two runs of a task overlap, and a task's result is computed once.
type History struct {
	w    *World
	runs map[taskOf][]run
	done map[taskOf]int
}

type taskOf struct {
	job  *Job
	task int
}

type run struct {
	on       *Worker
	from, to clock.Micros // to is 0 while it goes on
}

// NewHistory watches the given cells.
func NewHistory(w *World, watched ...*Deployment) *History {
	h := &History{w: w, runs: map[taskOf][]run{}, done: map[taskOf]int{}}
	for _, d := range watched {
		d.History = h
	}
	return h
}

func (h *History) began(j *Job, task int, on *Worker) {
	if h != nil {
		k := taskOf{j, task}
		h.runs[k] = append(h.runs[k], run{on: on, from: h.w.now})
	}
}

func (h *History) ended(j *Job, task int, on *Worker) {
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

func (h *History) completed(j *Job, task int) {
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
				wrong = append(wrong, fmt.Sprintf("%s/%d of %s was completed %d times", j.spec.ID, task, j.home.name, h.done[k]))
			}
			for i, a := range h.runs[k] {
				for _, b := range h.runs[k][i+1:] {
					if a.to == 0 || a.to > b.from {
						wrong = append(wrong, fmt.Sprintf("%s/%d of %s ran on %s from %.3f and on %s from %.3f",
							j.spec.ID, task, j.home.name, a.on.name, a.from.Seconds(), b.on.name, b.from.Seconds()))
					}
				}
			}
		}
	}
	return wrong
}

// Elsewhere counts the runs that took place outside the jobs' own cells, and all of them.
func (h *History) Elsewhere() (elsewhere, all int) {
	for k, runs := range h.runs {
		for _, r := range runs {
			all++
			if r.on.d != k.job.home {
				elsewhere++
			}
		}
	}
	return elsewhere, all
}
