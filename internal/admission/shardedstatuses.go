package admission

import (
	"postpoint/internal/clock"
	"postpoint/internal/protocol"
)

const (
	// shardedStatusAge is how old the counts of a sharded job may be in a response. Users may see counts
	// that are up to three seconds old.
	shardedStatusAge = clock.Second
	// maxShardedStatuses bounds the memory of the statuses.
	maxShardedStatuses = 1000
)

// shardedStatuses keeps the last statuses of sharded jobs that aren't final. Each takes a read of all the
// job's shards.
type shardedStatuses map[protocol.JobID]shardedStatus

// shardedStatus is a status of a job with the version of the head that it belongs to.
type shardedStatus struct {
	status  protocol.JobStatus
	version protocol.Revision
	readAt  clock.Micros
}

// get returns the status of a job if it was read recently and its head hasn't changed.
func (s shardedStatuses) get(
	id protocol.JobID, version protocol.Revision, now clock.Micros,
) (status protocol.JobStatus, recent bool) {
	last, known := s[id]
	return last.status, known && last.version == version && now <= last.readAt+shardedStatusAge
}

// put keeps a status whose shards were read from the given time on.
func (s shardedStatuses) put(status protocol.JobStatus, version protocol.Revision, readAt clock.Micros) {
	if len(s) >= maxShardedStatuses {
		clear(s)
	}
	s[status.ID] = shardedStatus{status, version, readAt}
}
