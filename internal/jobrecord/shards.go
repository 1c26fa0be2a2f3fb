package jobrecord

import (
	"cmp"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"

	"postpoint/internal/protocol"
)

// A sharded record keeps the state of its tasks in shards, separate values for ShardSize consecutive
// tasks each. The head, at the job's key, keeps the rest. The tasks of a shard that doesn't exist are
// pending.

// maxShardTasks limits the memory that a malformed shard or marker can make a reader allocate. No job
// has more tasks.
const maxShardTasks = 100_000

// ShardCount returns the number of shards, 0 for a record that isn't sharded.
func (r *Record) ShardCount() int {
	if r.ShardSize == 0 {
		return 0
	}
	return (r.Spec.Tasks + r.ShardSize - 1) / r.ShardSize
}

// ShardOf returns the shard of a task.
func (r *Record) ShardOf(task int) int { return task / r.ShardSize }

// shardTasks returns the range of a shard's tasks: the first one, and the one after the last.
func (r *Record) shardTasks(shard int) (first, end int) {
	return shard * r.ShardSize, min((shard+1)*r.ShardSize, r.Spec.Tasks)
}

// EncodeShard returns the value to store at a shard's key.
func (r *Record) EncodeShard(shard int) []byte {
	first, end := r.shardTasks(shard)
	groups := map[placementGroup]*TaskSet{}
	counts := map[attemptID]int{}
	for task := first; task < end; task++ {
		placement, placed := r.Placements[task]
		if !placed {
			continue
		}
		group := placement.group()
		if groups[group] == nil {
			groups[group] = &TaskSet{}
		}
		groups[group].Add(task - first)
		counts[group.attemptID]++
	}
	common := mostCommon(counts)
	return protocol.Encode(storedShard{
		Done:        r.doneBitmap(first, end),
		NextAttempt: r.NextAttempt,
		Incarnation: common.incarnation,
		Attempt:     common.attempt,
		Placed:      encodeShardPlacements(groups, common),
	})
}

// encodeShardPlacements returns the placements of a shard as text. It includes a group's incarnation and
// attempt only if they differ from the most common ones.
func encodeShardPlacements(groups map[placementGroup]*TaskSet, common attemptID) string {
	texts := make([]string, 0, len(groups))
	var text []byte
	for group, tasks := range groups {
		text = append(text[:0], group.machine...)
		text = append(text, ' ')
		text = tasks.appendTo(text)
		if group.attemptID != common {
			text = group.attemptID.appendTo(text)
		}
		texts = append(texts, string(text))
	}
	slices.Sort(texts)
	return strings.Join(texts, ";")
}

// mostCommon returns the attemptID with the highest count. If several have it, it returns the smallest.
func mostCommon(counts map[attemptID]int) attemptID {
	var best attemptID
	maxCount := 0
	for id, count := range counts {
		if count > maxCount || count == maxCount && id.compare(best) < 0 {
			best, maxCount = id, count
		}
	}
	return best
}

// compare orders by incarnation and attempt.
func (id attemptID) compare(other attemptID) int {
	return cmp.Or(cmp.Compare(id.incarnation, other.incarnation), cmp.Compare(id.attempt, other.attempt))
}

// doneBitmap returns the completed tasks from first to end, end excluded, as a hexadecimal bitmap. It is
// empty if there are none.
func (r *Record) doneBitmap(first, end int) string {
	bits := make([]byte, bitmapBytes(end-first))
	found := false
	for task := r.Done.NextPresent(first); task < end; task = r.Done.NextPresent(task + 1) {
		bits[(task-first)/8] |= 1 << ((task - first) % 8)
		found = true
	}
	if !found {
		return ""
	}
	return hex.EncodeToString(bits)
}

// bitmapBytes returns the number of bytes of a bitmap.
func bitmapBytes(tasks int) int { return (tasks + 7) / 8 }

// ApplyShard adds the tasks' state in the value at a shard's key to the record. If the value is
// malformed, the record doesn't change and the error is a *MalformedError with the shard's key.
func (r *Record) ApplyShard(shard int, value []byte) error {
	if err := r.applyShard(shard, value); err != nil {
		return &MalformedError{Key: ShardKey(r.Spec.ID, shard), Cause: err}
	}
	return nil
}

// applyShard is ApplyShard with errors that don't name the key.
func (r *Record) applyShard(shard int, value []byte) error {
	if shard >= r.ShardCount() {
		return errNoSuchShard
	}
	var stored storedShard
	if err := protocol.Decode(value, &stored); err != nil {
		return err
	}
	first, end := r.shardTasks(shard)
	bits, err := hex.DecodeString(stored.Done)
	if err != nil || len(bits) > bitmapBytes(end-first) {
		return errInvalidBitmap
	}
	placements, err := stored.placements()
	if err != nil {
		return err
	}
	for task := first; task < end && (task-first)/8 < len(bits); task++ {
		if bits[(task-first)/8]&(1<<((task-first)%8)) != 0 {
			r.complete(task)
		}
	}
	for _, placement := range placements {
		if placement.Task += first; placement.Task < end {
			r.Placements[placement.Task] = placement
		}
	}
	r.NextAttempt = max(r.NextAttempt, stored.NextAttempt)
	return nil
}

// placements returns the placements of a shard. Their task numbers count from the shard's first task.
func (s *storedShard) placements() ([]Placement, error) {
	if s.Placed == "" {
		return nil, nil
	}
	var placements []Placement
	for text := range strings.SplitSeq(s.Placed, ";") {
		placement, tasks, err := s.parsePlacements(text)
		if err != nil {
			return nil, fmt.Errorf("placement %q: %w", text, err)
		}
		for _, span := range tasks.spans {
			for task := span.lo; task <= span.hi; task++ {
				placement.Task = task
				placements = append(placements, placement)
			}
		}
	}
	return placements, nil
}

// parsePlacements parses "machine tasks" or "machine tasks incarnation attempt".
func (s *storedShard) parsePlacements(text string) (Placement, TaskSet, error) {
	const taskRanges, incarnation, attempt = 1, 2, 3
	const countWithoutAttempt, countWithAttempt = 2, 4
	machine, words := splitMachine(strings.Fields(text))
	id := attemptID{s.Incarnation, s.Attempt}
	switch len(words) {
	case countWithoutAttempt:
	case countWithAttempt:
		var err error
		if id, err = parseAttemptID(words[incarnation], words[attempt]); err != nil {
			return Placement{}, TaskSet{}, err
		}
	default:
		return Placement{}, TaskSet{}, errInvalidPlacement
	}
	tasks, err := ParseTaskSet(words[taskRanges])
	if err != nil {
		return Placement{}, TaskSet{}, err
	}
	if tasks.Max() >= maxShardTasks {
		return Placement{}, TaskSet{}, errInvalidPlacement
	}
	return Placement{Machine: machine, Incarnation: id.incarnation, Attempt: id.attempt}, tasks, nil
}
