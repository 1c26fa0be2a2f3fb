package recovery

import (
	"cmp"
	"slices"

	"postpoint/internal/clock"
)

// Displaced is a job of which a lost zone had tasks that are to start elsewhere.
type Displaced struct {
	Job  string
	Kind Kind
	Rank int // 0 is the highest
	// LostShare is the part of a service's replicas that is gone.
	LostShare float64
	// SlackS is how many seconds a job with a deadline can still wait.
	SlackS      float64
	SubmittedAt int64
	// Tasks that wait to be let start. A gang's are let start together.
	Tasks int
}

// Sort brings displaced jobs into the written order, which is total: by kind, then by rank, then
// services by the share that is lost and jobs with deadlines by their slack, then by submission.
func Sort(jobs []Displaced, order []Kind) {
	slices.SortFunc(jobs, func(a, b Displaced) int {
		c := cmp.Or(cmp.Compare(slices.Index(order, a.Kind), slices.Index(order, b.Kind)), cmp.Compare(a.Rank, b.Rank))
		switch {
		case c != 0:
			return c
		case a.Kind == Services:
			c = cmp.Compare(b.LostShare, a.LostShare)
		case a.Kind == Deadlines:
			c = cmp.Compare(a.SlackS, b.SlackS)
		}
		return cmp.Or(c, cmp.Compare(a.SubmittedAt, b.SubmittedAt), cmp.Compare(a.Job, b.Job))
	})
}

// Pace lets so many tasks start in a second. What isn't used is lost but for a second's worth.
type Pace struct {
	left float64
	at   clock.Micros
}

// Release is which of the sorted jobs may start now: as many as the pace allows, in their order.
// A job that is larger than a second's worth starts whole once it is the first, and is paid for
// by the pause after it.
func (p *Pace) Release(jobs []Displaced, now clock.Micros, tasksPerS float64) []string {
	if p.at == 0 {
		p.left, p.at = tasksPerS, now
	}
	p.left = min(p.left+(now-p.at).Seconds()*tasksPerS, tasksPerS)
	p.at = now
	var released []string
	for _, j := range jobs {
		if p.left <= 0 {
			break
		}
		p.left -= float64(j.Tasks)
		released = append(released, j.Job)
	}
	return released
}
