package jobrecord

import (
	"maps"
	"slices"
	"strconv"
	"strings"

	"postpoint/internal/protocol"
)

// Placement is the assignment of a task to a machine. It stays in the record until it is proven
// that this attempt no longer is, and never again can be, on that machine. A task that another cell
// runs has that cell in place of a machine: see DelegatedTo.
type Placement struct {
	Task    int
	Attempt protocol.Attempt
	Machine protocol.MachineName
	// Incarnation is the incarnation of the machine's worker or, for a task that another cell runs, the
	// number of the delegation. It is a plain number because the two share their place in the record.
	Incarnation int64
}

// WorkerIncarnation returns the incarnation of the worker that a task of this cell was placed on.
func (p Placement) WorkerIncarnation() protocol.Incarnation {
	return protocol.Incarnation(p.Incarnation)
}

// placementGroup is what the placements have in common that share one text of the record.
type placementGroup struct {
	machine protocol.MachineName
	start   start
}

// tasksPerGroup is about how many tasks share a text, to size maps of groups.
const tasksPerGroup = 4

// start identifies one start of a task among all others.
type start struct {
	incarnation int64
	attempt     protocol.Attempt
}

func (p Placement) start() start { return start{p.Incarnation, p.Attempt} }

func (p Placement) group() placementGroup { return placementGroup{p.Machine, p.start()} }

// appendTo appends the text of a start, " incarnation attempt".
func (s start) appendTo(text []byte) []byte {
	text = append(text, ' ')
	text = strconv.AppendInt(text, s.incarnation, 10)
	text = append(text, ' ')
	return strconv.AppendInt(text, int64(s.attempt), 10)
}

// parseStart reads the two words that appendTo writes.
func parseStart(incarnation, attempt string) (s start, err error) {
	if s.incarnation, err = strconv.ParseInt(incarnation, 10, 64); err != nil {
		return start{}, err
	}
	number, err := strconv.ParseInt(attempt, 10, 64)
	if err != nil {
		return start{}, err
	}
	s.attempt = protocol.Attempt(number)
	return s, nil
}

// encodePlacements returns the texts of all placements, "machine incarnation attempt tasks".
func (r *Record) encodePlacements() []string {
	groups := make(map[placementGroup]*TaskSet, len(r.Placements)/tasksPerGroup)
	for _, task := range slices.Sorted(maps.Keys(r.Placements)) { // in order, sets grow at their ends
		group := r.Placements[task].group()
		if groups[group] == nil {
			groups[group] = &TaskSet{}
		}
		groups[group].Add(task)
	}
	texts := make([]string, 0, len(groups))
	var text []byte
	for group, tasks := range groups {
		text = append(text[:0], group.machine...)
		text = group.start.appendTo(text)
		text = append(text, ' ')
		text = tasks.appendTo(text)
		texts = append(texts, string(text))
	}
	slices.Sort(texts)
	return texts
}

// applyPlacements adds the placements of one text. Tasks that the job doesn't have are ignored.
func (r *Record) applyPlacements(text string) error {
	placement, tasks, err := parsePlacements(text)
	if err != nil {
		return err
	}
	for _, s := range tasks.spans {
		for task := s.lo; task <= s.hi && task < r.Spec.Tasks; task++ {
			placement.Task = task
			r.Placements[task] = placement
		}
	}
	return nil
}

// parsePlacements reads "machine incarnation attempt tasks".
func parsePlacements(text string) (Placement, TaskSet, error) {
	const incarnation, attempt, taskRanges, count = 1, 2, 3, 4
	machine, words := splitMachine(strings.Fields(text))
	if len(words) != count {
		return Placement{}, TaskSet{}, errInvalidPlacement
	}
	s, err := parseStart(words[incarnation], words[attempt])
	if err != nil {
		return Placement{}, TaskSet{}, err
	}
	tasks, err := ParseTaskSet(words[taskRanges])
	return Placement{Machine: machine, Incarnation: s.incarnation, Attempt: s.attempt}, tasks, err
}
