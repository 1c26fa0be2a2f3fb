package jobrecord

import (
	"strconv"
	"strings"

	"postpoint/internal/protocol"
)

// Prefix is the prefix of the keys of all records, whole ones and heads of sharded ones.
const Prefix = "jobs/"

// ShardsPrefix is the prefix of the keys of all shards. Controllers that don't know sharded records
// neither read nor write keys with this prefix.
const ShardsPrefix = "parts/"

// Key returns the key of a job's record.
func Key(job protocol.JobID) string { return Prefix + string(job) }

// JobShardsPrefix returns the prefix of the keys of one job's shards.
func JobShardsPrefix(job protocol.JobID) string { return ShardsPrefix + string(job) + "/" }

// ShardKey returns the key of one shard.
func ShardKey(job protocol.JobID, shard int) string {
	return JobShardsPrefix(job) + strconv.Itoa(shard)
}

// ParseShardKey splits the key of a shard; ok reports whether the key is that of a shard.
func ParseShardKey(key string) (job protocol.JobID, shard int, ok bool) {
	idAndShard, hasPrefix := strings.CutPrefix(key, ShardsPrefix)
	id, number, found := strings.Cut(idAndShard, "/")
	shard, err := strconv.Atoi(number)
	return protocol.JobID(id), shard, hasPrefix && found && err == nil && shard >= 0
}
