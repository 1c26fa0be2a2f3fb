package jobrecord

import (
	"maps"
	"slices"
	"strconv"
	"strings"

	"postpoint/internal/protocol"
)

// Placement is the assignment of a task to a machine. It stays in the record until the leader has proof
// that this attempt isn't on that machine and can't be there again. A task that another cell runs has
// that cell in place of a machine: see DelegatedTo.
type Placement struct {
	Task    int
	Attempt protocol.Attempt
	Machine protocol.MachineName
	// Incarnation is the incarnation of the machine's worker or, for a task that another cell runs, the
	// number of the delegation. It is a plain int64 because the record stores both in the same field.
	Incarnation int64
}

// WorkerIncarnation returns the incarnation of the worker that the task was placed on. It is valid only
// if this cell runs the task.
func (p Placement) WorkerIncarnation() protocol.Incarnation {
	return protocol.Incarnation(p.Incarnation)
}

// placementGroup identifies the placements that the record stores in one text.
type placementGroup struct {
	machine   protocol.MachineName
	attemptID attemptID
}

// tasksPerGroup is the estimated number of tasks per group, for the initial size of maps.
const tasksPerGroup = 4

// attemptID is an attempt of a task together with the incarnation of the worker, or the number of the
// delegation, that runs it.
type attemptID struct {
	incarnation int64
	attempt     protocol.Attempt
}

// attemptID returns the attempt that the placement is for.
func (p Placement) attemptID() attemptID { return attemptID{p.Incarnation, p.Attempt} }

// group returns the group in whose text the record stores the placement.
func (p Placement) group() placementGroup { return placementGroup{p.Machine, p.attemptID()} }

// appendTo appends the stored form, " incarnation attempt".
func (id attemptID) appendTo(text []byte) []byte {
	text = append(text, ' ')
	text = strconv.AppendInt(text, id.incarnation, 10)
	text = append(text, ' ')
	return strconv.AppendInt(text, int64(id.attempt), 10)
}

// parseAttemptID parses the two words that appendTo appends.
func parseAttemptID(incarnation, attempt string) (id attemptID, err error) {
	if id.incarnation, err = strconv.ParseInt(incarnation, 10, 64); err != nil {
		return attemptID{}, err
	}
	number, err := strconv.ParseInt(attempt, 10, 64)
	if err != nil {
		return attemptID{}, err
	}
	id.attempt = protocol.Attempt(number)
	return id, nil
}

// encodePlacements returns all placements as sorted texts, "machine incarnation attempt tasks".
func (r *Record) encodePlacements() []string {
	groups := make(map[placementGroup]*TaskSet, len(r.Placements)/tasksPerGroup)
	for _, task := range slices.Sorted(maps.Keys(r.Placements)) { // increasing, so that Add appends
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
		text = group.attemptID.appendTo(text)
		text = append(text, ' ')
		text = tasks.appendTo(text)
		texts = append(texts, string(text))
	}
	slices.Sort(texts)
	return texts
}

// applyPlacements adds the placements of one text. It ignores tasks that the job doesn't have.
func (r *Record) applyPlacements(text string) error {
	placement, tasks, err := parsePlacements(text)
	if err != nil {
		return err
	}
	for _, span := range tasks.spans {
		for task := span.lo; task <= span.hi && task < r.Spec.Tasks; task++ {
			placement.Task = task
			r.Placements[task] = placement
		}
	}
	return nil
}

// parsePlacements parses "machine incarnation attempt tasks".
func parsePlacements(text string) (Placement, TaskSet, error) {
	const incarnation, attempt, taskRanges, count = 1, 2, 3, 4
	machine, words := splitMachine(strings.Fields(text))
	if len(words) != count {
		return Placement{}, TaskSet{}, errInvalidPlacement
	}
	id, err := parseAttemptID(words[incarnation], words[attempt])
	if err != nil {
		return Placement{}, TaskSet{}, err
	}
	tasks, err := ParseTaskSet(words[taskRanges])
	return Placement{Machine: machine, Incarnation: id.incarnation, Attempt: id.attempt}, tasks, err
}
