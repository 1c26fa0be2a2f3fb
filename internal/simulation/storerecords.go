package simulation

import (
	"postpoint/internal/election"
	"postpoint/internal/jobrecord"
	"postpoint/internal/protocol"
)

// leads reports whether the epoch is that of the leader by the store.
func (s *FakeStore) leads(epoch protocol.Epoch) bool {
	return s.entries[election.LeaderKey].version == protocol.Revision(epoch)
}

// record decodes a job's record, without its shards; nil if there is none.
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
	for part := range j.ShardCount() {
		if e, ok := s.entries[jobrecord.ShardKey(job, part)]; ok {
			if err := j.ApplyShard(part, e.value); err != nil {
				s.w.Violate(badRecord, "part %d of %s: %v", part, job, err)
			}
		}
	}
	return j
}

// assigned reports whether a job's record has an attempt on a machine.
func (s *FakeStore) assigned(k taskKey, attempt protocol.Attempt, machine protocol.MachineName) bool {
	j := s.wholeRecord(k.job)
	return j != nil && j.Placements[k.task].Attempt == attempt && j.Placements[k.task].Machine == machine
}

// final reports whether a job's record is final.
func (s *FakeStore) final(job protocol.JobID) bool {
	j := s.record(job)
	return j != nil && j.Final()
}
