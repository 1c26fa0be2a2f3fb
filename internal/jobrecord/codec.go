package jobrecord

import (
	"fmt"

	"postpoint/internal/protocol"
)

// Encode returns the value to store at the job's key: the whole record, or the head of a sharded one.
func (r *Record) Encode() []byte {
	stored := storedRecord{
		Spec:        r.Spec,
		Status:      r.Status,
		SubmittedAt: r.SubmittedAt,
		CancelledAt: r.CancelledAt,
		NextAttempt: r.NextAttempt,
		Placed:      r.markers(),
		Lenders:     r.Lenders,
		Cause:       r.Cause,
		Truncated:   r.Truncated,
		Returned:    r.ReturnCount,
		Displaced:   r.DisplacedFrom,
	}
	if !r.Truncated && r.ShardSize == 0 {
		stored.Done = r.Done.String()
		stored.Placed = append(stored.Placed, r.encodePlacements()...)
	}
	return protocol.Encode(stored)
}

// Decode decodes the value at a job's key for callers that don't have the key. Its error is a
// *MalformedError without a key.
func Decode(value []byte) (*Record, error) { return DecodeAt("", value) }

// DecodeAt decodes the value at a job's key. Its error is a *MalformedError with that key.
func DecodeAt(key string, value []byte) (*Record, error) {
	record, err := decode(value)
	if err != nil {
		return nil, &MalformedError{Key: key, Cause: err}
	}
	return record, nil
}

// decode decodes a whole record or a head. Its errors don't name the key.
func decode(value []byte) (*Record, error) {
	var stored storedRecord
	if err := protocol.Decode(value, &stored); err != nil {
		return nil, err
	}
	done, err := ParseTaskSet(stored.Done)
	if err != nil {
		return nil, fmt.Errorf("done tasks %q: %w", stored.Done, err)
	}
	record := &Record{
		Spec:          stored.Spec,
		Status:        stored.Status,
		SubmittedAt:   stored.SubmittedAt,
		CancelledAt:   stored.CancelledAt,
		NextAttempt:   stored.NextAttempt,
		Placements:    map[int]Placement{},
		Lenders:       stored.Lenders[:min(len(stored.Lenders), maxLenders)],
		Cause:         stored.Cause,
		Truncated:     stored.Truncated,
		ReturnCount:   stored.Returned,
		DisplacedFrom: stored.Displaced,
	}
	// Controllers of format 1 classify services as arrays and record exited replicas as done.
	if !record.Spec.IsService() {
		record.Done = done
	}
	for _, text := range stored.Placed {
		if record.applyMarker(text) {
			continue
		}
		if err := record.applyPlacements(text); err != nil {
			return nil, fmt.Errorf("placement %q: %w", text, err)
		}
	}
	return record, nil
}
