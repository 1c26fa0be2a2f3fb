// Package ledger holds the one record per job that the state service keeps,
// and the job as it is in memory.
package ledger

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"postpoint/internal/protocol"
)

// Prefix is where the records stand; a hosted service would put its tenant
// in front of it.
const Prefix = "jobs/"

// Key is the key of a job's record.
func Key(job string) string { return Prefix + job }

// Placement is a task's place. It stays in the record until it is proven that
// this try no longer is, and never again can be, on that machine.
type Placement struct {
	Task    int
	Try     int64
	Machine string
	Shift   int64
}

// Job is the content of a record.
type Job struct {
	Spec        protocol.JobSpec
	Status      string // empty, StatusDone or StatusCancelled; the latter two are final
	SubmittedAt int64  // time of day in microseconds, by the accepting node
	CancelledAt int64  // likewise, by the cancelling node before its user is told
	Done        Ranges
	NextTry     int64
	Placed      map[int]Placement
	Lenders     []string // jobs that made room for this one and are owed it
	Cause       string   // why the last failed start failed
}

// record is the stored form. Its texts keep the value small: the service
// counts sizes as JSON.
type record struct {
	Spec        protocol.JobSpec `msgpack:"spec"`
	Status      string           `msgpack:"status,omitempty"`
	SubmittedAt int64            `msgpack:"at"`
	CancelledAt int64            `msgpack:"cancelled,omitempty"`
	Done        string           `msgpack:"done,omitempty"`
	NextTry     int64            `msgpack:"try"`
	Placed      []string         `msgpack:"placed,omitempty"`
	Lenders     []string         `msgpack:"lenders,omitempty"`
	Cause       string           `msgpack:"cause,omitempty"`
}

// New is the record of a job just accepted.
func New(spec protocol.JobSpec, at int64) *Job {
	return &Job{Spec: spec, SubmittedAt: at, NextTry: 1, Placed: map[int]Placement{}}
}

// Final tells that nothing may start any more.
func (j *Job) Final() bool { return j.Status != "" }

type place struct {
	machine    string
	shift, try int64
}

// Encode gives the value to store.
func (j *Job) Encode() []byte {
	return protocol.Encode(record{Spec: j.Spec, Status: j.Status, SubmittedAt: j.SubmittedAt, CancelledAt: j.CancelledAt,
		Done: j.Done.String(), NextTry: j.NextTry, Lenders: j.Lenders, Cause: j.Cause, Placed: j.places()})
}

// places are the texts of the placements: one for all tasks with the same try on
// a machine.
func (j *Job) places() []string {
	groups := make(map[place]*Ranges, len(j.Placed)/4)
	for _, task := range slices.Sorted(maps.Keys(j.Placed)) { // in order, sets grow at their ends
		p := j.Placed[task]
		k := place{p.Machine, p.Shift, p.Try}
		if groups[k] == nil {
			groups[k] = &Ranges{}
		}
		groups[k].Add(task)
	}
	texts := make([]string, 0, len(groups))
	for k, tasks := range groups {
		texts = append(texts, k.machine+" "+strconv.FormatInt(k.shift, 10)+" "+strconv.FormatInt(k.try, 10)+" "+tasks.String())
	}
	slices.Sort(texts)
	return texts
}

// Decode reads a stored value.
func Decode(raw []byte) (*Job, error) {
	var r record
	if err := protocol.Decode(raw, &r); err != nil {
		return nil, err
	}
	done, err := ParseRanges(r.Done)
	if err != nil {
		return nil, err
	}
	j := &Job{Spec: r.Spec, Status: r.Status, SubmittedAt: r.SubmittedAt, CancelledAt: r.CancelledAt,
		Done: done, NextTry: r.NextTry, Placed: map[int]Placement{}, Lenders: r.Lenders, Cause: r.Cause}
	for _, text := range r.Placed {
		p, set, err := parsePlacement(text)
		if err != nil {
			return nil, fmt.Errorf("malformed placement %q", text)
		}
		for _, s := range set.spans {
			for t := s.lo; t <= s.hi && t < j.Spec.Tasks; t++ {
				q := p
				q.Task = t
				j.Placed[t] = q
			}
		}
	}
	return j, nil
}

// parsePlacement reads "machine shift try tasks".
func parsePlacement(text string) (p Placement, tasks Ranges, err error) {
	parts := strings.Fields(text)
	if len(parts) != 4 {
		return p, tasks, errRanges
	}
	p.Machine = parts[0]
	if p.Shift, err = strconv.ParseInt(parts[1], 10, 64); err != nil {
		return p, tasks, err
	}
	if p.Try, err = strconv.ParseInt(parts[2], 10, 64); err != nil {
		return p, tasks, err
	}
	tasks, err = ParseRanges(parts[3])
	return p, tasks, err
}

// Room is how many more tasks may start before the record could outgrow limit
// bytes. It assumes the worst: every running task ends up as a number of its own,
// among the done ones or among those that run on, and every new one is alone on
// its machine.
func (j *Job) Room(limit int) int {
	const spec, group, machine = 700, 20, 15
	s := &j.Spec
	number := len(strconv.Itoa(s.Tasks)) + 1 // with its comma
	used := spec + len(s.ID) + len(s.Class) + len(s.Team) + len(s.Image) + len(s.Zone) + len(j.Cause) +
		len(j.Done.spans)*2*number + len(j.Placed)*number + j.groups()*(group+machine)
	for _, t := range s.Types {
		used += len(t) + 3
	}
	for _, l := range j.Lenders {
		used += len(l) + 3
	}
	return max(0, (limit*9/10-used)/(number+group+machine))
}

// groups is how many texts the placements take.
func (j *Job) groups() int {
	seen := make(map[place]bool, len(j.Placed)/4)
	for _, p := range j.Placed {
		seen[place{p.Machine, p.Shift, p.Try}] = true
	}
	return len(seen)
}

// Pending gives up to limit tasks, in their order, that are neither done nor
// placed.
func (j *Job) Pending(limit int) []int {
	var tasks []int
	for t := j.Done.NextMissing(0); t < j.Spec.Tasks && len(tasks) < limit; t = j.Done.NextMissing(t + 1) {
		if _, placed := j.Placed[t]; !placed {
			tasks = append(tasks, t)
		}
	}
	return tasks
}

// PendingCount is how many tasks are neither done nor placed.
func (j *Job) PendingCount() int { return j.Spec.Tasks - j.Done.Len() - len(j.Placed) }

// UserStatus is the job as users see it.
func (j *Job) UserStatus() protocol.JobStatus {
	s := protocol.JobStatus{ID: j.Spec.ID, Status: j.Status, Done: j.Done.Len(), Cause: j.Cause}
	if j.Final() {
		return s
	}
	s.Running = len(j.Placed)
	s.Status = protocol.StatusPending
	if s.Running > 0 {
		s.Status = protocol.StatusRunning
	}
	return s
}
