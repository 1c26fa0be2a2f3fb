package federation

import (
	"postpoint/internal/delegation"
	"postpoint/internal/jobrecord"
	"postpoint/internal/leader/jobtable"
	"postpoint/internal/protocol"
)

// trackedDelegation is a delegation of this cell's own tasks, with the known state of its stored record.
type trackedDelegation struct {
	*delegation.Delegation
	record storedRecord
	// returnCounted reports whether the return count of its job includes this delegation.
	returnCounted bool
}

// recordPhase describes what the leader knows of a delegation's record in the store.
type recordPhase int

const (
	// recordAbsent means that the record was never stored.
	recordAbsent recordPhase = iota
	// recordStored means that the store holds the record at the known version.
	recordStored
	// recordOutcomeUnknown means that the store may or may not have executed a write of the record. The
	// leader has to read the record before it writes it again.
	recordOutcomeUnknown
)

// storedRecord is the known state of a delegation's record in the store.
type storedRecord struct {
	phase   recordPhase
	version protocol.Revision // version of the key, 0 if the record isn't stored
	state   delegation.State  // state in the stored record
}

// markStored updates the version and state after a write or read of the record.
func (r *storedRecord) markStored(version protocol.Revision, state delegation.State) {
	*r = storedRecord{phase: recordStored, version: version, state: state}
}

// markReloaded updates the version after the leader has read all records again within a term. It ignores the
// state in the record, which may be older than the leader's own; in that case the leader writes its own
// state.
func (r *storedRecord) markReloaded(version protocol.Revision) {
	r.version = version
	if r.phase == recordAbsent {
		r.phase = recordStored
	}
}

// holds reports whether a placement of a job belongs to one of the delegation's outstanding tasks.
func (d *trackedDelegation) holds(j *jobtable.Job, p jobrecord.Placement) bool {
	return d.ownsPlacement(p) && d.Job == j.Spec.ID && d.Outstanding.Contains(p.Task)
}

// ownsPlacement reports whether a placement names this delegation and its host.
func (d *trackedDelegation) ownsPlacement(p jobrecord.Placement) bool {
	return p.HostCell() == d.Host && p.Incarnation == d.Number
}

// placement returns a task's placement that belongs to this delegation, if there is one.
func (d *trackedDelegation) placement(j *jobtable.Job, task int) (jobrecord.Placement, bool) {
	p, placed := j.Placements[task]
	return p, placed && d.ownsPlacement(p)
}

// holdsAll reports whether all outstanding tasks have placements that belong to this delegation.
func (d *trackedDelegation) holdsAll(j *jobtable.Job) bool {
	for task := range d.Outstanding.All() {
		if _, held := d.placement(j, task); !held {
			return false
		}
	}
	return true
}

// holdsAllAsStored reports whether all outstanding tasks have placements that belong to this delegation and
// that the stored record of its job contains.
func (d *trackedDelegation) holdsAllAsStored(j *jobtable.Job) bool {
	for task := range d.Outstanding.All() {
		if p, held := d.placement(j, task); !held || !j.Committed(p) {
			return false
		}
	}
	return true
}

// holdsNoneAsStored reports whether the stored record of its job holds no placement of this delegation. It
// checks all of the delegation's tasks, including those that are no longer outstanding.
func (d *trackedDelegation) holdsNoneAsStored(j *jobtable.Job) bool {
	for task := range d.Tasks.All() {
		p, placed := j.Placements[task]
		if placed && p.Incarnation == d.Number && p.HostCell() != "" || !j.OutcomeStored(task) {
			return false
		}
	}
	return true
}
