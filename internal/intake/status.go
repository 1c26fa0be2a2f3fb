package intake

import (
	"log/slog"

	"postpoint/internal/ledger"
	"postpoint/internal/protocol"
	"postpoint/internal/statestore"
)

// show answers with the state of a job.
func (c *call) show() {
	c.findRecord(func(record *ledger.Record, _ int64) {
		if record.ShardSize > 0 && !record.Final() {
			c.showSharded(record)
			return
		}
		c.finish(knownJob(record.UserStatus()))
	})
}

// showSharded reads the shards of a record for what users are shown of its tasks. Without them the
// answer says what the head does.
func (c *call) showSharded(record *ledger.Record) {
	prefix := ledger.JobShardsPrefix(record.Spec.ID)
	apply := func(page protocol.ItemList) (goOn bool) {
		applyShards(record, page.Items)
		return true
	}
	statestore.WalkPages(c.in.store, prefix, "", apply, func(error, string) {
		c.finish(knownJob(record.UserStatus()))
	})
}

func applyShards(record *ledger.Record, items []protocol.Item) {
	for _, item := range items {
		_, shard, ok := ledger.ParseShardKey(item.Key)
		if !ok {
			continue
		}
		if err := record.ApplyShard(shard, item.Value); err != nil {
			slog.Error("malformed shard of a job record", "job", record.Spec.ID, "key", item.Key, "error", err)
		}
	}
}
