package federation

import (
	"postpoint/internal/delegation"
	"postpoint/internal/jobrecord"
	"postpoint/internal/leader/jobtable"
	"postpoint/internal/protocol"
)

// trackedDelegation is a delegation of this cell's own work, with what is known of its stored record.
type trackedDelegation struct {
	*delegation.Delegation
	record storedRecord
	// returnCounted reports whether its return is among those that its job's record counts.
	returnCounted bool
}

// recordPhase is how a delegation's record relates to the store.
type recordPhase int

const (
	// recordAbsent means that the record was never stored.
	recordAbsent recordPhase = iota
	// recordStored means that the store has it at the known version.
	recordStored
	// recordOutcomeUnknown means that a change of the record may have been carried out or not: it has to be
	// read before anything else is written.
	recordOutcomeUnknown
)

// storedRecord is what is known of a delegation's record in the store.
type storedRecord struct {
	phase   recordPhase
	version protocol.Revision // of its key, 0 if it isn't stored
	state   delegation.State  // what the record says
}

// noteStored notes the record as it was written or read.
func (r *storedRecord) noteStored(version protocol.Revision, state delegation.State) {
	*r = storedRecord{phase: recordStored, version: version, state: state}
}

// noteReloaded notes the version at which the records were read once more within a term. What the record
// says then may be older than what this leader knows, and is written again.
func (r *storedRecord) noteReloaded(version protocol.Revision) {
	r.version = version
	if r.phase == recordAbsent {
		r.phase = recordStored
	}
}

// holds reports whether a placement is one of the delegation's outstanding tasks.
func (d *trackedDelegation) holds(j *jobtable.Job, p jobrecord.Placement) bool {
	return d.ownsPlacement(p) && d.Job == j.Spec.ID && d.Outstanding.Contains(p.Task)
}

// ownsPlacement reports whether a placement of its job is with the delegation's host on its account.
func (d *trackedDelegation) ownsPlacement(p jobrecord.Placement) bool {
	return p.HostCell() == d.Host && p.Incarnation == d.Number
}

// placement returns a task's placement with the delegation's host, if it has one.
func (d *trackedDelegation) placement(j *jobtable.Job, task int) (jobrecord.Placement, bool) {
	p, placed := j.Placements[task]
	return p, placed && d.ownsPlacement(p)
}

// holdsAll reports whether all outstanding tasks are placed with the delegation's host.
func (d *trackedDelegation) holdsAll(j *jobtable.Job) bool {
	for task := range d.Outstanding.All() {
		if _, held := d.placement(j, task); !held {
			return false
		}
	}
	return true
}

// holdsAllAsStored reports whether the stored record of its job says so.
func (d *trackedDelegation) holdsAllAsStored(j *jobtable.Job) bool {
	for task := range d.Outstanding.All() {
		if p, held := d.placement(j, task); !held || !j.Committed(p) {
			return false
		}
	}
	return true
}

// holdsNoneAsStored reports whether by the stored record of its job none of the delegation's tasks, not even
// one that was freed already, is placed with its host.
func (d *trackedDelegation) holdsNoneAsStored(j *jobtable.Job) bool {
	for task := range d.Tasks.All() {
		p, placed := j.Placements[task]
		if placed && p.Incarnation == d.Number && p.HostCell() != "" || !j.OutcomeStored(task) {
			return false
		}
	}
	return true
}
