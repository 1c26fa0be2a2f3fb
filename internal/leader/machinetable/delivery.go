package machinetable

import (
	"cmp"

	"postpoint/internal/clock"
	"postpoint/internal/protocol"
)

// AttemptRef identifies an attempt of a task.
type AttemptRef struct {
	Job     protocol.JobID
	Task    int
	Attempt protocol.Attempt
}

// CompareAttempts orders attempts by job, task and attempt.
func CompareAttempts(a, b AttemptRef) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Task, b.Task), cmp.Compare(a.Attempt, b.Attempt))
}

// StartDelivery tracks a start command on its way to the worker. While a start may still arrive,
// the leader must not let the worker forget the attempt: the start would run it again.
type StartDelivery struct {
	// InCommand reports that a direct command with the start has no response yet.
	InCommand bool
	// InHeartbeat reports that the response to a heartbeat contained the start, and no later
	// heartbeat has arrived.
	InHeartbeat bool
	// OutcomeUnknown reports that a direct command with the start got no usable response.
	OutcomeUnknown bool
	// DirectToken is the fencing token of the last direct command with the start, 0 if there was none. Late
	// copies of the command may arrive as long as the worker has seen no higher token.
	DirectToken protocol.Epoch
	// StartSentAt and StopSentAt are the times at which a start and a stop were last sent.
	StartSentAt clock.Micros
	StopSentAt  clock.Micros
}

// MayArrive reports whether a start may still reach the worker.
func (d *StartDelivery) MayArrive() bool { return d.InCommand || d.InHeartbeat || d.OutcomeUnknown }

// Delivery returns the delivery state of an attempt, and creates it if there is none.
func (c *CommandState) Delivery(ref AttemptRef) *StartDelivery {
	d := c.Deliveries[ref]
	if d == nil {
		d = &StartDelivery{}
		c.Deliveries[ref] = d
	}
	return d
}

// StartMayArrive reports whether a start of an attempt may still reach the worker.
func (c *CommandState) StartMayArrive(ref AttemptRef) bool {
	d := c.Deliveries[ref]
	return d != nil && d.MayArrive()
}

// DropDeliveries forgets the deliveries of attempts that the worker doesn't list and that aren't
// placed on the machine, unless a start of them may still arrive.
func (m *Machine) DropDeliveries() {
	for ref, d := range m.Deliveries {
		_, listed := m.Tasks[ref]
		_, placed := m.Placements[ref.Job][ref.Task]
		if !listed && !placed && !d.MayArrive() {
			delete(m.Deliveries, ref)
		}
	}
}

// ClearInHeartbeat records that a heartbeat arrived. The worker has then executed or dropped the
// response to its previous heartbeat, since it has only one heartbeat in flight at a time.
func (c *CommandState) ClearInHeartbeat() {
	for _, d := range c.Deliveries {
		d.InHeartbeat = false
	}
}

// RecordHeartbeatStart records that the leader sends a start in the response to a heartbeat.
func (d *StartDelivery) RecordHeartbeatStart(now clock.Micros) {
	d.StartSentAt, d.InHeartbeat = now, true
}

// RecordDirectStart records that the leader sends a start by a direct command with a fencing token.
func (d *StartDelivery) RecordDirectStart(token protocol.Epoch, now clock.Micros) {
	d.StartSentAt, d.InCommand, d.DirectToken = now, true, max(d.DirectToken, token)
}

// DirectToken returns the fencing token of the last direct command with a start of an attempt, 0 if there was
// none.
func (c *CommandState) DirectToken(ref AttemptRef) protocol.Epoch {
	if d := c.Deliveries[ref]; d != nil {
		return d.DirectToken
	}
	return 0
}
