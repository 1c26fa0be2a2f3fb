package ledger

import (
	"cmp"
	"encoding/hex"
	"errors"
	"slices"
	"strconv"
	"strings"

	"postpoint/internal/protocol"
)

// A divided record keeps what belongs to single tasks in parts, values of their own, each
// for PartSize consecutive tasks. The head, at the job's key, keeps the rest. A part that
// doesn't exist says nothing of its tasks: they are pending.

// PartsPrefix is where the parts of all divided records stand. Versions that know no
// parts neither read nor write there.
const PartsPrefix = "parts/"

// PartsOf is the prefix of one job's parts.
func PartsOf(job string) string { return PartsPrefix + job + "/" }

// PartKey is the key of one part.
func PartKey(job string, part int) string { return PartsOf(job) + strconv.Itoa(part) }

// ParsePartKey splits a part's key.
func ParsePartKey(key string) (job string, part int, ok bool) {
	rest, isPart := strings.CutPrefix(key, PartsPrefix)
	job, number, found := strings.Cut(rest, "/")
	part, err := strconv.Atoi(number)
	return job, part, isPart && found && err == nil && part >= 0
}

const (
	// fillPercent of a value's limit is used.
	fillPercent = 90
	// partOverhead is what a part takes besides its tasks, in bytes of JSON.
	partOverhead = 90
	// placementBytes is what the placement of a task alone on its machine mostly takes,
	// with its share of the bitmap of completed tasks.
	placementBytes = 17
	// freshPlacementBytes is what a placement that isn't made yet is taken to need.
	freshPlacementBytes = 20
	// attemptBytes is what it takes to tell an attempt from most others of the part.
	attemptBytes = 14
)

// Usable is how much of a value's limit is used: the state service may count the same JSON
// with more digits or spaces than we do.
func Usable(limit int) int { return limit * fillPercent / 100 }

// PartSizeWithin is how many tasks a part has if it may take limit bytes.
func PartSizeWithin(limit int) int {
	return max(1, (Usable(limit)-partOverhead)/placementBytes)
}

// PartSizeFor is how many tasks each part of a new record is for, 0 if one value of limit
// bytes has room for all of it at any time.
func PartSizeFor(spec *protocol.JobSpec, limit int) int {
	if New(*spec, 0).Room(limit) >= spec.Tasks {
		return 0
	}
	return PartSizeWithin(limit)
}

// Recordable tells whether a job can be recorded in values of limit bytes and
// transactions of txnOps changes. A gang starts whole, so that all of its parts have to
// be written at once.
func Recordable(spec *protocol.JobSpec, limit, txnOps int) bool {
	j := New(*spec, 0)
	j.PartSize = PartSizeFor(spec, limit)
	if j.PartSize == 0 {
		return true
	}
	return j.headBytes() <= Usable(limit) && (!spec.Gang() || j.Parts() <= txnOps)
}

// Parts is how many parts the record is divided into, 0 for an undivided one.
func (j *Job) Parts() int {
	if j.PartSize == 0 {
		return 0
	}
	return (j.Spec.Tasks + j.PartSize - 1) / j.PartSize
}

// PartOf is the part that a task belongs to.
func (j *Job) PartOf(task int) int { return task / j.PartSize }

// partTasks are the first task of a part and the first after it.
func (j *Job) partTasks(part int) (first, end int) {
	return part * j.PartSize, min((part+1)*j.PartSize, j.Spec.Tasks)
}

// partRecord is the stored form of a part. Tasks are counted from its first one.
type partRecord struct {
	// Done is a bitmap in hexadecimal digits.
	Done        string `msgpack:"done,omitempty"`
	NextAttempt int64  `msgpack:"next"`
	// Session and Attempt are those of every placement that names no others.
	Session int64  `msgpack:"shift,omitempty"`
	Attempt int64  `msgpack:"try,omitempty"`
	Placed  string `msgpack:"placed,omitempty"`
}

var errPart = errors.New("malformed part")

// EncodePart gives the value of a part.
func (j *Job) EncodePart(part int) []byte {
	first, end := j.partTasks(part)
	r := partRecord{Done: j.doneBitmap(first, end), NextAttempt: j.NextAttempt}
	groups := map[place]*Ranges{}
	counts := map[attemptKey]int{}
	for task := first; task < end; task++ {
		p, placed := j.Placed[task]
		if !placed {
			continue
		}
		k := place{p.Machine, p.Session, p.Attempt}
		if groups[k] == nil {
			groups[k] = &Ranges{}
		}
		groups[k].Add(task - first)
		counts[attemptKey{p.Session, p.Attempt}]++
	}
	usual := mostCommon(counts)
	r.Session, r.Attempt = usual.session, usual.attempt
	texts := make([]string, 0, len(groups))
	for k, tasks := range groups {
		text := k.machine + " " + tasks.String()
		if (attemptKey{k.session, k.attempt}) != usual {
			text += " " + strconv.FormatInt(k.session, 10) + " " + strconv.FormatInt(k.attempt, 10)
		}
		texts = append(texts, text)
	}
	slices.Sort(texts)
	r.Placed = strings.Join(texts, ";")
	return protocol.Encode(r)
}

// attemptKey is what most placements of a part have in common.
type attemptKey struct{ session, attempt int64 }

func mostCommon(counts map[attemptKey]int) attemptKey {
	var best attemptKey
	most := 0
	for a, n := range counts {
		if n > most || n == most && cmp.Or(cmp.Compare(a.session, best.session), cmp.Compare(a.attempt, best.attempt)) < 0 {
			best, most = a, n
		}
	}
	return best
}

func (j *Job) doneBitmap(first, end int) string {
	bits := make([]byte, (end-first+7)/8)
	found := false
	for task := j.Done.NextIn(first); task < end; task = j.Done.NextIn(task + 1) {
		bits[(task-first)/8] |= 1 << ((task - first) % 8)
		found = true
	}
	if !found {
		return ""
	}
	return hex.EncodeToString(bits)
}

// ApplyPart adds what a stored part says. A malformed one changes nothing.
func (j *Job) ApplyPart(part int, raw []byte) error {
	if part >= j.Parts() {
		return errPart
	}
	var r partRecord
	if err := protocol.Decode(raw, &r); err != nil {
		return err
	}
	first, end := j.partTasks(part)
	bits, err := hex.DecodeString(r.Done)
	if err != nil || len(bits) > (end-first+7)/8 {
		return errPart
	}
	placed, err := parsePartPlacements(&r)
	if err != nil {
		return err
	}
	for task := first; task < end && (task-first)/8 < len(bits); task++ {
		if bits[(task-first)/8]&(1<<((task-first)%8)) != 0 {
			j.complete(task)
		}
	}
	for _, p := range placed {
		if p.Task += first; p.Task < end {
			j.Placed[p.Task] = p
		}
	}
	j.NextAttempt = max(j.NextAttempt, r.NextAttempt)
	return nil
}

// parsePartPlacements reads the placements of a part, their tasks counted from its first.
func parsePartPlacements(r *partRecord) ([]Placement, error) {
	var placed []Placement
	if r.Placed == "" {
		return placed, nil
	}
	for text := range strings.SplitSeq(r.Placed, ";") {
		machine, fields := placeOf(strings.Fields(text))
		p := Placement{Session: r.Session, Attempt: r.Attempt}
		switch len(fields) {
		case 2:
		case 4:
			var err error
			if p.Session, err = strconv.ParseInt(fields[2], 10, 64); err != nil {
				return nil, errPart
			}
			if p.Attempt, err = strconv.ParseInt(fields[3], 10, 64); err != nil {
				return nil, errPart
			}
		default:
			return nil, errPart
		}
		p.Machine = machine
		tasks, err := ParseRanges(fields[1])
		if err != nil || tasks.Max() >= maxPartTasks {
			return nil, errPart
		}
		for _, s := range tasks.spans {
			for p.Task = s.lo; p.Task <= s.hi; p.Task++ {
				placed = append(placed, p)
			}
		}
	}
	return placed, nil
}

// maxPartTasks bounds what a malformed part can make a reader allocate.
const maxPartTasks = 100_000

// Startable gives up to most pending tasks, in their order, that may start now: however
// they end, no value of the record outgrows limit bytes.
func (j *Job) Startable(limit, most int) []int {
	if j.PartSize == 0 {
		return j.Pending(min(most, j.Room(limit)))
	}
	used := j.partBytes()
	var tasks []int
	for task := j.Done.NextMissing(0); task < j.Spec.Tasks && len(tasks) < most; task = j.Done.NextMissing(task + 1) {
		if _, placed := j.Placed[task]; placed {
			continue
		}
		part := j.PartOf(task)
		if used[part]+freshPlacementBytes <= Usable(limit) {
			used[part] += freshPlacementBytes
			tasks = append(tasks, task)
		}
	}
	return tasks
}

// partBytes is what each part takes at most while what is placed goes on: every task ends
// up alone on its machine.
func (j *Job) partBytes() []int {
	used := make([]int, j.Parts())
	counts := make([]map[attemptKey]int, len(used))
	placed := make([]int, len(used))
	digits := len(strconv.Itoa(j.PartSize))
	for i := range used {
		used[i] = partOverhead + j.PartSize/4
		counts[i] = map[attemptKey]int{}
	}
	for task, p := range j.Placed {
		part := j.PartOf(task)
		used[part] += len(p.Machine) + digits + 2
		counts[part][attemptKey{p.Session, p.Attempt}]++
		placed[part]++
	}
	for i := range used {
		used[i] += (placed[i] - counts[i][mostCommon(counts[i])]) * attemptBytes
	}
	return used
}
