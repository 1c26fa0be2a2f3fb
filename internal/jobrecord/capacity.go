package jobrecord

import (
	"strconv"

	"postpoint/internal/protocol"
)

// The store bounds the size of a value, counted as JSON. Tasks are started only as far as the
// record has room for whatever may become of them. All constants below that name bytes count the
// bytes of that JSON.
const (
	// usablePercent of the limit of a value is used: the store may count the same JSON with
	// more digits or spaces than this package does.
	usablePercent = 90
	// headFieldBytes are the names, numbers and punctuation of a record.
	headFieldBytes = 700
	// listItemBytes are the quotation marks and the comma of a text in a list.
	listItemBytes = 3
	// groupBytes are the incarnation, the attempt and the punctuation of a placement's text, in a
	// record that isn't sharded.
	groupBytes = 20
	// machineBytes are the name of a machine.
	machineBytes = 15
	// shardOverheadBytes are the names, numbers and punctuation of a shard.
	shardOverheadBytes = 90
	// shardTaskBytes is what a task that is alone on its machine mostly takes in a shard, its
	// share of the bitmap of completed tasks included.
	shardTaskBytes = 17
	// newPlacementBytes is what the next placement in a shard is taken to need.
	newPlacementBytes = 20
	// startBytes are the incarnation and the attempt of a placement that doesn't share those of
	// most others in its shard.
	startBytes = 14
	// tasksPerBitmapByte is how many tasks one hexadecimal digit of the bitmap is for.
	tasksPerBitmapByte = 4
)

// UsableBytes returns how much of the limit of a value, in bytes, is used.
func UsableBytes(limit int) int { return limit * usablePercent / 100 }

// ShardSizeWithin returns the number of tasks in a shard that may take limit bytes.
func ShardSizeWithin(limit int) int {
	return max(1, (UsableBytes(limit)-shardOverheadBytes)/shardTaskBytes)
}

// ShardSizeFor returns the number of tasks in a shard of a new record, or 0 if one value of limit
// bytes has room for the whole record at any time.
func ShardSizeFor(spec *protocol.JobSpec, limit int) int {
	if New(*spec, 0).StartCapacity(limit) >= spec.Tasks {
		return 0
	}
	return ShardSizeWithin(limit)
}

// Recordable reports whether a job can be recorded in values of limit bytes and transactions of
// txnOps changes. A gang starts whole, so that all of its shards must fit one transaction.
func Recordable(spec *protocol.JobSpec, limit, txnOps int) bool {
	record := New(*spec, 0)
	record.ShardSize = ShardSizeFor(spec, limit)
	if record.ShardSize == 0 {
		return true
	}
	return record.headBytes() <= UsableBytes(limit) && (!spec.Gang() || record.ShardCount() <= txnOps)
}

// StartCapacity returns how many more tasks may start before a record that isn't sharded could outgrow limit
// bytes. It assumes the worst: every running task ends up as a range of its own, among the
// done ones or among those that run on, and every new one is alone on its machine.
func (r *Record) StartCapacity(limit int) int {
	numberBytes := len(strconv.Itoa(r.Spec.Tasks)) + 1 // with its comma
	used := r.headBytes() + len(r.Done.spans)*2*numberBytes + len(r.Placements)*numberBytes +
		r.groupCount()*(groupBytes+machineBytes)
	return max(0, (UsableBytes(limit)-used)/(numberBytes+groupBytes+machineBytes))
}

// headBytes returns what a record takes at most without what belongs to single tasks.
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

// groupCount returns the number of texts that the placements take.
func (r *Record) groupCount() int {
	groups := make(map[placementGroup]bool, len(r.Placements)/tasksPerGroup)
	for _, placement := range r.Placements {
		groups[placement.group()] = true
	}
	return len(groups)
}

// Startable returns up to most pending tasks, in increasing order, that may start now: however they
// end, no value of the record outgrows limit bytes.
func (r *Record) Startable(limit, most int) []int {
	if r.ShardSize == 0 {
		return r.Pending(min(most, r.StartCapacity(limit)))
	}
	used := r.shardBytes()
	var tasks []int
	next := r.Done.NextMissing
	for task := next(0); task < r.Spec.Tasks && len(tasks) < most; task = next(task + 1) {
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

// shardBytes returns what each shard takes at most while what is placed goes on: every task ends
// up alone on its machine.
func (r *Record) shardBytes() []int {
	used := make([]int, r.ShardCount())
	counts := make([]map[start]int, len(used))
	placed := make([]int, len(used))
	digits := len(strconv.Itoa(r.ShardSize))
	for shard := range used {
		used[shard] = shardOverheadBytes + r.ShardSize/tasksPerBitmapByte
		counts[shard] = map[start]int{}
	}
	for task, placement := range r.Placements {
		shard := r.ShardOf(task)
		used[shard] += len(placement.Machine) + digits + 2 // a space and a semicolon
		counts[shard][placement.start()]++
		placed[shard]++
	}
	for shard := range used {
		withOwnStart := placed[shard] - counts[shard][mostCommon(counts[shard])]
		used[shard] += withOwnStart * startBytes
	}
	return used
}
