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
// this attempt no longer is, and never again can be, on that machine. A task that another
// cell runs has that cell in place of a machine: see DelegatedTo.
type Placement struct {
	Task    int
	Attempt int64
	Machine string
	Session int64
}

// Job is the content of a record.
type Job struct {
	Spec        protocol.JobSpec
	Status      string // empty, StatusDone or StatusCancelled; the latter two are final
	SubmittedAt int64  // time of day in microseconds, by the accepting node
	CancelledAt int64  // likewise, by the cancelling node before its user is told
	Done        Ranges
	NextAttempt int64
	Placed      map[int]Placement
	Lenders     []string // jobs that made room for this one and are owed it
	Cause       string   // why the last failed start failed
	// PartSize is how many tasks each part of a divided record is for; 0: undivided.
	PartSize int
	// Marked records are refused as malformed by versions that know neither services nor
	// divided records: they would take a service for an array, and a divided record's tasks
	// for pending. Records are marked only once no such version runs any more.
	Marked bool
	// Truncated tells that the placements of a cancelled job were left out, because the
	// record had become too large for the state service.
	Truncated bool
	// Guest is set for a job that belongs to another cell.
	Guest *Guest
	// Returned counts how often other cells have given tasks of the job back unfinished.
	Returned int
	// Displaced is the zone to whose loss the job has lost tasks that haven't started elsewhere.
	Displaced string
}

// record is the stored form. Its texts keep the value small: the service
// counts sizes as JSON.
type record struct {
	Spec        protocol.JobSpec `msgpack:"spec"`
	Status      string           `msgpack:"status,omitempty"`
	SubmittedAt int64            `msgpack:"at"`
	CancelledAt int64            `msgpack:"cancelled,omitempty"`
	Done        string           `msgpack:"done,omitempty"`
	NextAttempt int64            `msgpack:"try"`
	Placed      []string         `msgpack:"placed,omitempty"`
	Lenders     []string         `msgpack:"lenders,omitempty"`
	Cause       string           `msgpack:"cause,omitempty"`
	Truncated   bool             `msgpack:"truncated,omitempty"`
	Returned    int              `msgpack:"returned,omitempty"`
	Displaced   string           `msgpack:"displaced,omitempty"`
}

// Markers stand among the placements, where earlier versions refuse them.
const (
	markService = "service"
	markParts   = "parts" // followed by the size of a part
	markGuest   = "guest" // followed by what Guest.text gives
)

// New is the record of a job just accepted.
func New(spec protocol.JobSpec, at int64) *Job {
	return &Job{Spec: spec, SubmittedAt: at, NextAttempt: 1, Placed: map[int]Placement{}}
}

// Final tells that nothing may start any more.
func (j *Job) Final() bool { return j.Status != "" }

type place struct {
	machine          string
	session, attempt int64
}

// Encode gives the value to store at the job's key: the whole record, or the head of a
// divided one.
func (j *Job) Encode() []byte {
	r := record{Spec: j.Spec, Status: j.Status, SubmittedAt: j.SubmittedAt, CancelledAt: j.CancelledAt,
		NextAttempt: j.NextAttempt, Lenders: j.Lenders, Cause: j.Cause, Truncated: j.Truncated, Returned: j.Returned, Displaced: j.Displaced}
	if j.Guest != nil {
		r.Placed = append(r.Placed, markGuest+" "+j.Guest.text())
	}
	if j.Marked && j.Spec.Service() {
		r.Placed = append(r.Placed, markService)
	}
	if j.Truncated {
		return protocol.Encode(r)
	}
	if j.PartSize > 0 {
		r.Placed = append(r.Placed, markParts+" "+strconv.Itoa(j.PartSize))
		return protocol.Encode(r)
	}
	r.Done = j.Done.String()
	r.Placed = append(r.Placed, j.places()...)
	return protocol.Encode(r)
}

// mark takes a marker from the stored placements; ok tells that the text is one.
func (j *Job) mark(text string) (ok bool) {
	if text == markService {
		j.Marked = true
		return true
	}
	if guest, isGuest := strings.CutPrefix(text, markGuest+" "); isGuest {
		j.Guest = parseGuest(guest)
		return j.Guest != nil
	}
	size, isParts := strings.CutPrefix(text, markParts+" ")
	n, err := strconv.Atoi(size)
	if !isParts || err != nil || n < 1 || n > maxPartTasks {
		return false
	}
	j.PartSize, j.Marked = n, true
	return true
}

// complete notes that a task is done. A service's tasks never are.
func (j *Job) complete(task int) {
	if !j.Spec.Service() {
		j.Done.Add(task)
	}
}

// places are the texts of the placements: one for all tasks with the same attempt on
// a machine.
func (j *Job) places() []string {
	groups := make(map[place]*Ranges, len(j.Placed)/4)
	for _, task := range slices.Sorted(maps.Keys(j.Placed)) { // in order, sets grow at their ends
		p := j.Placed[task]
		k := place{p.Machine, p.Session, p.Attempt}
		if groups[k] == nil {
			groups[k] = &Ranges{}
		}
		groups[k].Add(task)
	}
	texts := make([]string, 0, len(groups))
	for k, tasks := range groups {
		texts = append(texts, k.machine+" "+strconv.FormatInt(k.session, 10)+" "+strconv.FormatInt(k.attempt, 10)+" "+tasks.String())
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
		NextAttempt: r.NextAttempt, Placed: map[int]Placement{}, Lenders: r.Lenders[:min(len(r.Lenders), maxLenders)], Cause: r.Cause,
		Truncated: r.Truncated, Returned: r.Returned, Displaced: r.Displaced}
	if !j.Spec.Service() {
		j.Done = done // versions that take services for arrays note ends of their tasks
	}
	for _, text := range r.Placed {
		if j.mark(text) {
			continue
		}
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

// parsePlacement reads "machine session attempt tasks".
func parsePlacement(text string) (p Placement, tasks Ranges, err error) {
	machine, parts := placeOf(strings.Fields(text))
	if len(parts) != 4 {
		return p, tasks, errRanges
	}
	p.Machine = machine
	if p.Session, err = strconv.ParseInt(parts[1], 10, 64); err != nil {
		return p, tasks, err
	}
	if p.Attempt, err = strconv.ParseInt(parts[2], 10, 64); err != nil {
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
	const group, machine = 20, 15
	number := len(strconv.Itoa(j.Spec.Tasks)) + 1 // with its comma
	used := j.headBytes() + len(j.Done.spans)*2*number + len(j.Placed)*number + j.groups()*(group+machine)
	return max(0, (Usable(limit)-used)/(number+group+machine))
}

// headBytes is what a record takes at most without what belongs to single tasks.
func (j *Job) headBytes() int {
	const fields = 700 // names, numbers and punctuation
	s := &j.Spec
	used := fields + len(s.ID) + len(s.Class) + len(s.Team) + len(s.Image) + len(s.Zone) + len(j.Cause)
	for _, t := range s.Types {
		used += len(t) + 3
	}
	for _, l := range j.Lenders {
		used += len(l) + 3
	}
	return used
}

// maxLenders bounds what a record grows by while its job makes room again and again.
const maxLenders = 8

// Lend notes that a job made room for this one; it tells whether that is news. The first
// few lenders are kept.
func (j *Job) Lend(lender string) bool {
	if slices.Contains(j.Lenders, lender) || len(j.Lenders) >= maxLenders {
		return false
	}
	j.Lenders = append(j.Lenders, lender)
	return true
}

// groups is how many texts the placements take.
func (j *Job) groups() int {
	seen := make(map[place]bool, len(j.Placed)/4)
	for _, p := range j.Placed {
		seen[place{p.Machine, p.Session, p.Attempt}] = true
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
	if j.Status == protocol.StatusDone && j.PartSize > 0 {
		s.Done = j.Spec.Tasks // the parts are being removed
	}
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
