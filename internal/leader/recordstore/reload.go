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

// shardedRecord is a sharded record as read.
type shardedRecord struct {
	head    *jobrecord.Record
	version protocol.Revision // of the head
	shards  []protocol.Item
}

// reload reads a record again, to replace what is in memory. Nothing was done about what is lost by
// this: the leader acts on durable placements only.
func (r *Reader) reload(j *jobtable.Job) {
	if j.Loading() {
		return
	}
	j.NoteRecordEvent(jobtable.EventReadStarted)
	handle := func(reply kvstore.Result[protocol.Item]) { r.handleReload(j, reply) }
	r.Store.Get(jobrecord.Key(j.Spec.ID), term.Guarded(r.State, handle))
}

// handleReload takes over the record of a reload. For a sharded one it goes on to the shards.
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
		return // over meanwhile
	}
	switch {
	case reply.Err == nil:
		r.Adopt(jobrecord.Key(j.Spec.ID), reply.Value.Value, reply.Value.Version)
	case errors.Is(reply.Err, kvstore.ErrNotFound) && j.Hosted != nil:
		r.jobs.Forget(j) // only this leader removes it
	default:
		r.writer.Pause()
	}
	r.steps.Wake()
}

// listShards reads the stored shards of one record, while its job counts as being read. found isn't
// called if the read fails or the job is over by then.
func (r *Reader) listShards(j *jobtable.Job, found func(shards []protocol.Item)) {
	same := r.SameTerm()
	var shards []protocol.Item
	collect := func(page protocol.ItemList) (more bool) {
		shards = append(shards, page.Items...)
		return same()
	}
	kvstore.WalkPages(r.Store, jobrecord.JobShardsPrefix(j.Spec.ID), "", collect,
		term.Guarded2(r.State, func(err error, _ string) {
			if err == nil {
				r.endListing(j, shards, found)
			} else {
				// All of it is read again after a pause.
				j.NoteRecordEvent(jobtable.EventReadEnded)
				r.writer.Pause()
			}
			r.steps.Wake()
		}))
}

func (r *Reader) endListing(j *jobtable.Job, shards []protocol.Item, found func([]protocol.Item)) {
	if r.jobs.ByID[j.Spec.ID] == j {
		found(shards)
	}
	r.endRead(j)
}

// endRead ends a read of a record or its shards, and takes over what was followed meanwhile.
func (r *Reader) endRead(j *jobtable.Job) {
	j.NoteRecordEvent(jobtable.EventReadEnded)
	if r.jobs.ByID[j.Spec.ID] == j {
		r.adoptDeferred(j)
	}
}

// replaceSharded makes a sharded record, as read, what is known of its job.
func (r *Reader) replaceSharded(j *jobtable.Job, record shardedRecord) {
	if record.version < j.Version {
		return // a response from before the last change; it is read again
	}
	versions, err := applyShards(record)
	r.jobs.RemoveFromMachines(j)
	if err != nil {
		r.jobs.QuarantineRecord(j.Spec.ID, err)
		return
	}
	j.Shards = nil
	r.replaceHead(j, record.head, record.version)
	// The versions come before what the machines reported meanwhile, which is a change of the shards.
	for shard, version := range versions {
		j.Shards[shard].Replace(version)
	}
	r.noteShardsLoaded(j)
}

// applyShards adds what the shards say to the head, and returns the shards' versions by number.
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

// findShards looks for shards of a job that is over whose changes had no response. Its head has
// changed since, so none of those changes can be carried out any more.
func (r *Reader) findShards(j *jobtable.Job) {
	unknown := func(v *jobtable.StoredValue) bool { return v.OutcomeUnknown }
	if j.Loading() || !j.IsStored() || !slices.ContainsFunc(j.Shards, unknown) {
		return
	}
	j.NoteRecordEvent(jobtable.EventReadStarted)
	r.listShards(j, func(shards []protocol.Item) { noteStoredShards(j, shards) })
}

// noteStoredShards notes which shards of a job exist, by a list of all of them.
func noteStoredShards(j *jobtable.Job, shards []protocol.Item) {
	for _, v := range j.Shards {
		v.Version, v.OutcomeUnknown = 0, false
	}
	for _, item := range shards {
		if _, shard, ok := jobrecord.ParseShardKey(item.Key); ok && shard < len(j.Shards) {
			j.Shards[shard].Version = item.Version
		}
	}
}

// findStrayShards looks for what is stored of shards that were dropped, to have it removed. A shard
// whose change had no response may exist unknown to this leader, and would conflict with sharding
// the record again.
func (r *Reader) findStrayShards(j *jobtable.Job) {
	if j.Loading() {
		return
	}
	j.NoteRecordEvent(jobtable.EventReadStarted)
	r.listShards(j, func(shards []protocol.Item) { r.noteStrayShards(j, shards) })
}

func (r *Reader) noteStrayShards(j *jobtable.Job, shards []protocol.Item) {
	for _, item := range shards {
		r.jobs.StrayShards[item.Key] = item.Version
	}
	j.NoteRecordEvent(jobtable.EventStrayShardsListed)
	r.jobs.ForgetIfOver(j)
}
