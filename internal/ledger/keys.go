package ledger

import (
	"strconv"
	"strings"
)

// Prefix is the prefix of the keys of all records, whole ones and heads of sharded ones.
const Prefix = "jobs/"

// PartsPrefix is the prefix of the keys of all shards. Controllers that don't know sharded records
// neither read nor write there.
const PartsPrefix = "parts/"

// Key returns the key of a job's record.
func Key(job string) string { return Prefix + job }

// PartsOf returns the prefix of the keys of one job's shards.
func PartsOf(job string) string { return PartsPrefix + job + "/" }

// PartKey returns the key of one shard.
func PartKey(job string, shard int) string { return PartsOf(job) + strconv.Itoa(shard) }

// ParsePartKey splits the key of a shard; ok reports whether the key is one.
func ParsePartKey(key string) (job string, shard int, ok bool) {
	rest, hasPrefix := strings.CutPrefix(key, PartsPrefix)
	job, number, found := strings.Cut(rest, "/")
	shard, err := strconv.Atoi(number)
	return job, shard, hasPrefix && found && err == nil && shard >= 0
}
