package jobrecord

import (
	"strconv"

	"postpoint/internal/protocol"
)

// The store limits the size of a value, measured as JSON. The leader starts only as many tasks as the
// record can hold, however they end. All constants below that name bytes count bytes of that JSON.
const (
	// usablePercent is the part of a value's limit that records use. The rest is a margin, because the
	// store may format the same JSON with more digits or spaces than this package does.
	usablePercent = 90
	// headFieldBytes is the size of the field names, numbers and punctuation of a record.
	headFieldBytes = 700
	// listItemBytes is the size of the quotation marks and the comma of a text in a list.
	listItemBytes = 3
	// groupBytes is the size of the incarnation, the attempt and the punctuation of a placement's text
	// in a record that isn't sharded.
	groupBytes = 20
	// machineBytes is the size of a machine's name.
	machineBytes = 15
	// shardOverheadBytes is the size of the field names, numbers and punctuation of a shard.
	shardOverheadBytes = 90
	// shardTaskBytes is the typical size of a task in a shard if no other task of the shard is on its
	// machine. It includes the task's share of the bitmap of completed tasks.
	shardTaskBytes = 17
	// newPlacementBytes is the assumed size of one more placement in a shard.
	newPlacementBytes = 20
	// attemptIDBytes is the size of the incarnation and the attempt of a placement. A shard stores them only
	// for placements that differ from the most common ones.
	attemptIDBytes = 14
	// tasksPerBitmapByte is the number of tasks in one hexadecimal digit of the bitmap, which takes one byte.
	tasksPerBitmapByte = 4
)

// UsableBytes returns how many bytes of a value's limit records may use.
func UsableBytes(limit int) int { return limit * usablePercent / 100 }

// ShardSizeWithin returns the number of tasks per shard if a shard may take limit bytes.
func ShardSizeWithin(limit int) int {
	return max(1, (UsableBytes(limit)-shardOverheadBytes)/shardTaskBytes)
}

// ShardSizeFor returns the number of tasks per shard of a new record, or 0 if the whole record always
// fits one value of limit bytes.
func ShardSizeFor(spec *protocol.JobSpec, limit int) int {
	if New(*spec, 0).StartCapacity(limit) >= spec.Tasks {
		return 0
	}
	return ShardSizeWithin(limit)
}

// FitsStore reports whether values of limit bytes and transactions of txnOps changes can hold a job's
// record. A gang starts in one transaction, which must be able to change all of its shards.
func FitsStore(spec *protocol.JobSpec, limit, txnOps int) bool {
	record := New(*spec, 0)
	record.ShardSize = ShardSizeFor(spec, limit)
	if record.ShardSize == 0 {
		return true
	}
	return record.headBytes() <= UsableBytes(limit) && (!spec.IsGang() || record.ShardCount() <= txnOps)
}

// StartCapacity returns how many more tasks may start before a record that isn't sharded could exceed
// limit bytes. It assumes the worst case: every running task becomes a range of its own, either of the
// completed tasks or of a placement, and every new task has a machine of its own.
func (r *Record) StartCapacity(limit int) int {
	numberBytes := len(strconv.Itoa(r.Spec.Tasks)) + 1 // with a comma
	used := r.headBytes() + len(r.Done.spans)*2*numberBytes + len(r.Placements)*numberBytes +
		r.groupCount()*(groupBytes+machineBytes)
	return max(0, (UsableBytes(limit)-used)/(numberBytes+groupBytes+machineBytes))
}

// headBytes returns the maximum size of a record without the state of its tasks.
func (r *Record) headBytes() int {
	spec := &r.Spec
	used := headFieldBytes + len(spec.ID) + len(spec.Class) + len(spec.Team) + len(spec.Image) +
		len(spec.Zone) + len(r.Cause)
	for _, machineType := range spec.Types {
		used += len(machineType) + listItemBytes
	}
	for _, lender := range r.Lenders {
		used += len(lender) + listItemBytes
	}
	return used
}

// groupCount returns the number of texts in which a record stores its placements.
func (r *Record) groupCount() int {
	groups := make(map[placementGroup]bool, len(r.Placements)/tasksPerGroup)
	for _, placement := range r.Placements {
		groups[placement.group()] = true
	}
	return len(groups)
}

// Startable returns up to maxTasks pending tasks, in increasing order, that may start now: however they
// end, no value of the record exceeds limit bytes.
func (r *Record) Startable(limit, maxTasks int) []int {
	if r.ShardSize == 0 {
		return r.Pending(min(maxTasks, r.StartCapacity(limit)))
	}
	used := r.shardBytes()
	var tasks []int
	next := r.Done.NextMissing
	for task := next(0); task < r.Spec.Tasks && len(tasks) < maxTasks; task = next(task + 1) {
		if _, placed := r.Placements[task]; placed {
			continue
		}
		shard := r.ShardOf(task)
		if used[shard]+newPlacementBytes <= UsableBytes(limit) {
			used[shard] += newPlacementBytes
			tasks = append(tasks, task)
		}
	}
	return tasks
}

// shardBytes returns the maximum size of each shard with its present placements. It assumes the worst
// case, that no two tasks of a shard share a machine.
func (r *Record) shardBytes() []int {
	used := make([]int, r.ShardCount())
	counts := make([]map[attemptID]int, len(used))
	placed := make([]int, len(used))
	digits := len(strconv.Itoa(r.ShardSize))
	for shard := range used {
		used[shard] = shardOverheadBytes + r.ShardSize/tasksPerBitmapByte
		counts[shard] = map[attemptID]int{}
	}
	for task, placement := range r.Placements {
		shard := r.ShardOf(task)
		used[shard] += len(placement.Machine) + digits + 2 // a space and a semicolon
		counts[shard][placement.attemptID()]++
		placed[shard]++
	}
	for shard := range used {
		withOwnAttempt := placed[shard] - counts[shard][mostCommon(counts[shard])]
		used[shard] += withOwnAttempt * attemptIDBytes
	}
	return used
}
