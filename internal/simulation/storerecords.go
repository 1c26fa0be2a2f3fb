package simulation

import (
	"postpoint/internal/election"
	"postpoint/internal/jobrecord"
	"postpoint/internal/protocol"
)

// isLeaderEpoch reports whether a fencing token is one that only the current leader in the store may use: its
// epoch, or the revision of a change since then.
func (s *FakeStore) isLeaderEpoch(token protocol.Epoch) bool {
	elected := s.entries[election.LeaderKey].version
	return elected != 0 && protocol.Revision(token) >= elected && protocol.Revision(token) <= s.revision
}

// record decodes the head of a job's record, without its shards; nil if there is none.
func (s *FakeStore) record(job protocol.JobID) *jobrecord.Record {
	e, ok := s.entries[jobrecord.Key(job)]
	if !ok {
		return nil
	}
	j, err := jobrecord.Decode(e.value)
	if err != nil {
		return nil
	}
	return j
}

// wholeRecord decodes a job's record with its shards; nil if there is none.
func (s *FakeStore) wholeRecord(job protocol.JobID) *jobrecord.Record {
	j := s.record(job)
	if j == nil {
		return nil
	}
	for shard := range j.ShardCount() {
		if e, ok := s.entries[jobrecord.ShardKey(job, shard)]; ok {
			if err := j.ApplyShard(shard, e.value); err != nil {
				s.w.ReportViolation(badRecord, "shard %d of %s: %v", shard, job, err)
			}
		}
	}
	return j
}

// assigned reports whether a job's record places an attempt on a machine.
func (s *FakeStore) assigned(k taskKey, attempt protocol.Attempt, machine protocol.MachineName) bool {
	j := s.wholeRecord(k.job)
	return j != nil && j.Placements[k.task].Attempt == attempt && j.Placements[k.task].Machine == machine
}

// final reports whether a job's record is final.
func (s *FakeStore) final(job protocol.JobID) bool {
	j := s.record(job)
	return j != nil && j.Final()
}
