package admission

import (
	"log/slog"

	"postpoint/internal/jobrecord"
	"postpoint/internal/kvstore"
	"postpoint/internal/protocol"
)

// getStatus responds with the status of a job. Users ask so often that their reads share requests.
func (c *call) getStatus() {
	c.findRecord(c.admission.sharedReads.Get, func(record *jobrecord.Record, version protocol.Revision) {
		if record.ShardSize > 0 && !record.Final() {
			c.getShardedStatus(record, version)
			return
		}
		c.finish(knownJob(record.UserStatus()))
	})
}

// getShardedStatus reads the shards of a record to complete the status of the job, unless they were read a
// moment ago. If a read fails, the response contains the status as far as the head and the shards that were
// read show it.
func (c *call) getShardedStatus(record *jobrecord.Record, version protocol.Revision) {
	now := c.admission.mailbox.Monotonic()
	if status, recent := c.admission.shardedStatuses.get(record.Spec.ID, version, now); recent {
		c.finish(knownJob(status))
		return
	}
	prefix := jobrecord.JobShardsPrefix(record.Spec.ID)
	apply := func(page protocol.ItemList) (more bool) {
		applyShards(record, page.Items)
		return true
	}
	kvstore.WalkPages(c.admission.store, prefix, "", apply, func(err error, _ string) {
		status := record.UserStatus()
		if err == nil {
			c.admission.shardedStatuses.put(status, version, now)
		}
		c.finish(knownJob(status))
	})
}

// applyShards merges the shards into the record and skips malformed ones.
func applyShards(record *jobrecord.Record, items []protocol.Item) {
	for _, item := range items {
		_, shard, ok := jobrecord.ParseShardKey(item.Key)
		if !ok {
			continue
		}
		if err := record.ApplyShard(shard, item.Value); err != nil {
			slog.Error("malformed shard of a job record", "job", record.Spec.ID, "key", item.Key, "error",
				err)
		}
	}
}
