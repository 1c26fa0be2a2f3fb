package recordstore

import (
	"errors"
	"slices"

	"postpoint/internal/jobrecord"
	"postpoint/internal/kvstore"
	"postpoint/internal/leader/jobtable"
	"postpoint/internal/leader/term"
	"postpoint/internal/protocol"
)

// shardedRecord is a sharded record as the reader has read it.
type shardedRecord struct {
	head    *jobrecord.Record
	version protocol.Revision // of the head
	shards  []protocol.Item
}

// reload reads a record again to replace the state in memory. This may discard uncommitted changes, but
// the leader hasn't acted on them: it acts on committed placements only.
func (r *Reader) reload(j *jobtable.Job) {
	if j.Loading() {
		return
	}
	j.ApplyRecordEvent(jobtable.EventReadStarted)
	handle := func(reply kvstore.Result[protocol.Item]) { r.handleReload(j, reply) }
	r.Store.Get(jobrecord.Key(j.Spec.ID), term.Guarded(r.State, handle))
}

// handleReload applies the record that a reload has read. If it is the head of a sharded record, the
// reader lists the shards next.
func (r *Reader) handleReload(j *jobtable.Job, reply kvstore.Result[protocol.Item]) {
	head, err := jobrecord.Decode(reply.Value.Value)
	if reply.Err == nil && err == nil && head.ShardSize > 0 {
		r.listShards(j, func(shards []protocol.Item) {
			r.replaceSharded(j, shardedRecord{head, reply.Value.Version, shards})
		})
		return
	}
	r.endRead(j)
	if r.jobs.ByID[j.Spec.ID] != j {
		return // the leader has dropped the job during the read
	}
	switch {
	case reply.Err == nil:
		r.Apply(jobrecord.Key(j.Spec.ID), reply.Value.Value, reply.Value.Version)
	case errors.Is(reply.Err, kvstore.ErrNotFound) && j.Hosted != nil:
		r.jobs.Forget(j) // only this leader deletes a hosted job's record
	default:
		r.writer.Pause()
	}
	r.steps.Wake()
}

// listShards reads the stored shards of one record and passes them to found. The job counts as loading
// until then. listShards doesn't call found if the read fails or the leader drops the job during the
// read.
func (r *Reader) listShards(j *jobtable.Job, found func(shards []protocol.Item)) {
	sameTerm := r.SameTerm()
	var shards []protocol.Item
	collect := func(page protocol.ItemList) (more bool) {
		shards = append(shards, page.Items...)
		return sameTerm()
	}
	kvstore.WalkPages(r.Store, jobrecord.JobShardsPrefix(j.Spec.ID), "", collect,
		term.Guarded2(r.State, func(err error, _ string) {
			if err == nil {
				r.endListing(j, shards, found)
			} else {
				// PendingUnits starts the whole read again after the pause.
				j.ApplyRecordEvent(jobtable.EventReadEnded)
				r.writer.Pause()
			}
			r.steps.Wake()
		}))
}

// endListing passes the listed shards to found, unless the leader has dropped the job, and ends the
// read.
func (r *Reader) endListing(j *jobtable.Job, shards []protocol.Item, found func([]protocol.Item)) {
	if r.jobs.ByID[j.Spec.ID] == j {
		found(shards)
	}
	r.endRead(j)
}

// endRead ends a read of a record or its shards, and applies the event that arrived during the read.
func (r *Reader) endRead(j *jobtable.Job) {
	j.ApplyRecordEvent(jobtable.EventReadEnded)
	if r.jobs.ByID[j.Spec.ID] == j {
		r.applyDeferred(j)
	}
}

// replaceSharded replaces the state of a job in memory by its sharded record as read.
func (r *Reader) replaceSharded(j *jobtable.Job, record shardedRecord) {
	if record.version < j.Version {
		return // the response is older than the last known change; the record is read again
	}
	versions, err := applyShards(record)
	r.jobs.RemoveFromMachines(j)
	if err != nil {
		r.jobs.QuarantineRecord(j.Spec.ID, err)
		return
	}
	j.Shards = nil
	r.replaceHead(j, record.head, record.version)
	// The versions must be set first: completeShardLoad applies the heartbeats that arrived during the
	// read, which changes the shards.
	for shard, version := range versions {
		j.Shards[shard].Replace(version)
	}
	r.completeShardLoad(j)
}

// applyShards adds the content of the shards to the head, and returns the shards' versions by number.
func applyShards(record shardedRecord) (versions map[int]protocol.Revision, err error) {
	versions = map[int]protocol.Revision{}
	for _, item := range record.shards {
		_, shard, ok := jobrecord.ParseShardKey(item.Key)
		if !ok {
			continue
		}
		if err := record.head.ApplyShard(shard, item.Value); err != nil {
			return nil, err
		}
		versions[shard] = item.Version
	}
	return versions, nil
}

// findUnknownShards lists the stored shards of a final job if the outcome of some shard write is
// unknown. The head has changed since those writes, so the store can't execute any of them any more.
func (r *Reader) findUnknownShards(j *jobtable.Job) {
	unknown := func(v *jobtable.StoredValue) bool { return v.OutcomeUnknown }
	if j.Loading() || !j.IsStored() || !slices.ContainsFunc(j.Shards, unknown) {
		return
	}
	j.ApplyRecordEvent(jobtable.EventReadStarted)
	r.listShards(j, func(shards []protocol.Item) { recordStoredShards(j, shards) })
}

// recordStoredShards records which shards of a job exist, from a list of all of its stored shards.
func recordStoredShards(j *jobtable.Job, shards []protocol.Item) {
	for _, v := range j.Shards {
		v.Version, v.OutcomeUnknown = 0, false
	}
	for _, item := range shards {
		if _, shard, ok := jobrecord.ParseShardKey(item.Key); ok && shard < len(j.Shards) {
			j.Shards[shard].Version = item.Version
		}
	}
}

// findStrayShards lists the stored shards of a record that is undivided again, so that the writer
// removes them. A shard whose write had an unknown outcome may exist without this leader's knowledge,
// and would conflict with a new attempt to shard the record.
func (r *Reader) findStrayShards(j *jobtable.Job) {
	if j.Loading() {
		return
	}
	j.ApplyRecordEvent(jobtable.EventReadStarted)
	r.listShards(j, func(shards []protocol.Item) { r.registerStrayShards(j, shards) })
}

// registerStrayShards registers the listed shards for removal.
func (r *Reader) registerStrayShards(j *jobtable.Job, shards []protocol.Item) {
	for _, item := range shards {
		r.jobs.StrayShards[item.Key] = item.Version
	}
	j.ApplyRecordEvent(jobtable.EventStrayShardsListed)
	r.jobs.ForgetIfFinal(j)
}
