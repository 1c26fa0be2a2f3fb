package testkit

import (
	"postpoint/internal/leadership"
	"postpoint/internal/ledger"
)

// leads reports whether the epoch is that of the leader by the store.
func (s *State) leads(epoch int64) bool { return s.keys[leadership.Key].version == epoch }

// record decodes a job's record, without its shards; nil if there is none.
func (s *State) record(job string) *ledger.Job {
	e, ok := s.keys[ledger.Key(job)]
	if !ok {
		return nil
	}
	j, err := ledger.Decode(e.value)
	if err != nil {
		return nil
	}
	return j
}

// wholeRecord decodes a job's record with its shards; nil if there is none.
func (s *State) wholeRecord(job string) *ledger.Job {
	j := s.record(job)
	if j == nil {
		return nil
	}
	for part := range j.Parts() {
		if e, ok := s.keys[ledger.PartKey(job, part)]; ok {
			if err := j.ApplyPart(part, e.value); err != nil {
				s.w.Break(badRecord, "part %d of %s: %v", part, job, err)
			}
		}
	}
	return j
}

// assigned reports whether a job's record has an attempt on a machine.
func (s *State) assigned(k taskKey, attempt int64, machine string) bool {
	j := s.wholeRecord(k.job)
	return j != nil && j.Placed[k.task].Attempt == attempt && j.Placed[k.task].Machine == machine
}

// final reports whether a job's record is final.
func (s *State) final(job string) bool {
	j := s.record(job)
	return j != nil && j.Final()
}
