package admission

import (
	"log/slog"

	"postpoint/internal/jobrecord"
	"postpoint/internal/kvstore"
	"postpoint/internal/protocol"
)

// show answers with the state of a job.
func (c *call) show() {
	c.findRecord(func(record *jobrecord.Record, _ protocol.Revision) {
		if record.ShardSize > 0 && !record.Final() {
			c.showSharded(record)
			return
		}
		c.finish(knownJob(record.UserStatus()))
	})
}

// showSharded reads the shards of a record for what users are shown of its tasks. Without them the
// answer says what the head does.
func (c *call) showSharded(record *jobrecord.Record) {
	prefix := jobrecord.JobShardsPrefix(record.Spec.ID)
	apply := func(page protocol.ItemList) (goOn bool) {
		applyShards(record, page.Items)
		return true
	}
	kvstore.WalkPages(c.in.store, prefix, "", apply, func(error, string) {
		c.finish(knownJob(record.UserStatus()))
	})
}

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
