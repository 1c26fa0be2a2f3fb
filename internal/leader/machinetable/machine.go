package machinetable

import (
	"postpoint/internal/clock"
	"postpoint/internal/jobrecord"
	"postpoint/internal/protocol"
	"postpoint/internal/scaling"
)

// Machine is the leader's state of one machine and its worker. The fields are grouped by subject;
// the comment of each group names the component of the leader that changes it. Methods change
// fields that change together.
type Machine struct {
	Identity
	WorkerStatus
	IncarnationState
	LeaseState
	CommandState
	CloudState
	PlacementState
	PlannerView
	Performance
	FaultState
	ScaleInState
}

// newMachine returns a machine of which only the name and possibly the address are known.
func newMachine(name protocol.MachineName, address string, now clock.Micros) *Machine {
	return &Machine{
		Identity: Identity{Name: name, Address: address},
		WorkerStatus: WorkerStatus{
			Tasks:        map[AttemptRef]protocol.TaskStatus{},
			RunningSince: map[AttemptRef]clock.Micros{},
		},
		CommandState: CommandState{Deliveries: map[AttemptRef]*StartDelivery{}},
		CloudState:   CloudState{FirstSeen: now},
		PlacementState: PlacementState{
			Placements: map[protocol.JobID]map[int]jobrecord.Placement{}, IdleSince: now,
		},
		PlannerView: PlannerView{ViewStale: true},
		FaultState:  FaultState{FailedJobs: map[protocol.JobID]bool{}},
	}
}

// Identity is the machine's type and location and its worker's address. The autoscaler fills it in
// from the cloud's responses until heartbeats provide it.
type Identity struct {
	Name                protocol.MachineName
	Address, Type, Zone string
	Spot                bool
}

// CapacityPool returns the capacity pool that the machine belongs to.
func (i *Identity) CapacityPool() scaling.CapacityPool {
	return scaling.CapacityPool{Type: i.Type, Zone: i.Zone, Spot: i.Spot}
}

// IncarnationState is the worker's current incarnation and the highest epoch that it has
// acknowledged. The reconciler changes it.
type IncarnationState struct {
	HeartbeatNumber
	// AcknowledgedEpoch is the highest fencing token that the worker has seen.
	AcknowledgedEpoch protocol.Epoch
	// IncarnationSeenAt is when the first heartbeat of the current incarnation arrived.
	IncarnationSeenAt clock.Micros
}

// LeaseState describes the lease that allows the worker's tasks to run. The heartbeat handler
// renews it; the health monitor establishes that it has expired.
type LeaseState struct {
	// RespondedAt is when the leader last responded to a heartbeat, which renews the lease.
	RespondedAt clock.Micros
	// RespondedTo is the number of that heartbeat.
	RespondedTo HeartbeatNumber
	// LeaseExpired reports that the lease has certainly expired: the leader then accepts only a
	// later incarnation.
	LeaseExpired bool
	// ResponsesLost reports that heartbeats arrive but responses don't reach the worker: it loses
	// one incarnation after another though the leader responds.
	ResponsesLost bool
}

// RecordResponse records that the leader responds to a heartbeat.
func (l *LeaseState) RecordResponse(heartbeat HeartbeatNumber, now clock.Micros) {
	l.RespondedTo, l.RespondedAt = heartbeat, now
}

// BeginIncarnation records that the worker has begun a later incarnation. The worker then holds no
// tasks of earlier incarnations, and commands that were sent to them have no effect, unless the worker
// numbers its incarnations anew.
func (m *Machine) BeginIncarnation(incarnation protocol.Incarnation, now clock.Micros) {
	for _, d := range m.Deliveries {
		m.StaleToken = max(m.StaleToken, d.DirectToken)
	}
	clear(m.Deliveries)
	clear(m.RunningSince)
	m.LeaseExpired = false
	m.PlacedTasksListed = false
	m.Incarnation, m.IncarnationSeenAt = incarnation, now
}

// ExpireLease records that the lease has certainly expired, both of the current incarnation and of
// any incarnation for which a placement was made: no task runs there any more.
func (m *Machine) ExpireLease() {
	m.LeaseExpired = true
	for _, tasks := range m.Placements {
		for _, p := range tasks {
			m.Incarnation = max(m.Incarnation, p.WorkerIncarnation())
		}
	}
	clear(m.Tasks)
	clear(m.RunningSince)
	m.ViewStale = true
}

// CommandState tracks the commands on their way to the worker. The command sender changes it; the
// health monitor and the zone tracker record their probes in it.
type CommandState struct {
	// Deliveries holds the state of the commands of each attempt.
	Deliveries map[AttemptRef]*StartDelivery
	// RaisedToken is the fencing token of the messages to the worker if it was raised above the epoch,
	// else 0.
	RaisedToken protocol.Epoch
	// StaleToken is the highest fencing token of a direct command with a start that the worker may no
	// longer recognise: it has forgotten the attempt, or the start was for an earlier incarnation.
	StaleToken protocol.Epoch
	// CommandInFlight reports that a direct command has no response yet.
	CommandInFlight bool
	// PushPending reports that another direct command has to follow that response.
	PushPending bool
	// UnansweredAt is when the last direct command without a response ended, 0 if there was none.
	UnansweredAt clock.Micros
	// EpochAnnouncedAt is when the leader's epoch was last announced by a direct command.
	EpochAnnouncedAt clock.Micros
	// ProbedAt is when the worker was last asked whether it is reachable.
	ProbedAt clock.Micros
	// ChallengedAt is when the worker was last asked whether it has restarted.
	ChallengedAt clock.Micros
}

// BeginCommand records that the leader sends a direct command; later pushes wait for its response.
func (c *CommandState) BeginCommand() { c.CommandInFlight, c.PushPending = true, false }

// CloudState is what the cloud reports about the machine. The autoscaler changes it.
type CloudState struct {
	// Listed reports that the cloud has listed the machine in this term.
	Listed bool
	// FirstSeen is when the leader first knew of the machine, or earlier if the cloud reports a
	// higher age.
	FirstSeen clock.Micros
	// ListedAt is when the cloud first listed the machine in this term.
	ListedAt clock.Micros
	// CloudStatus is the last status that the cloud reported, "" if it has reported none. A machine
	// that was just scaled out counts as starting.
	CloudStatus string
}

// PlacementState holds the machine's placements according to the job records. The job table changes
// it through Table.AddPlacement and Table.RemovePlacement.
type PlacementState struct {
	// Placements are the placed tasks by job.
	Placements map[protocol.JobID]map[int]jobrecord.Placement
	// IdleSince is when the last placement was released.
	IdleSince clock.Micros
}

// Placed reports whether an attempt is placed on the machine.
func (p *PlacementState) Placed(ref AttemptRef) bool {
	placement, ok := p.Placements[ref.Job][ref.Task]
	return ok && placement.Attempt == ref.Attempt
}

// Performance is how fast tasks run on the machine. Package objectives changes it.
type Performance struct {
	// RelativeRunTime is the average ratio of tasks' run times to the averages of their classes.
	RelativeRunTime float64
	// RunTimeSamples is the number of runs in RelativeRunTime.
	RunTimeSamples int
}

const (
	// minRunTimeSamples is the number of runs from which RelativeRunTime is used: estimates are
	// often wrong by half.
	minRunTimeSamples = 4
	// slowRelativeRunTime is the lowest RelativeRunTime that counts as slow.
	slowRelativeRunTime = 1.6
)

// Slowness returns the fraction by which tasks take longer than on other machines, 0 if it isn't
// established. The planner uses slow machines last; the autoscaler doesn't scale machines in because
// they are slow, since most recover.
func (p *Performance) Slowness() float64 {
	if p.RunTimeSamples < minRunTimeSamples || p.RelativeRunTime < slowRelativeRunTime {
		return 0
	}
	return p.RelativeRunTime - 1
}

// FaultState records the failures on the machine. The reconciler changes it.
type FaultState struct {
	// FullUntil is the time until which the worker counts as full, since it refused a start.
	FullUntil clock.Micros
	// FailedJobs holds the jobs that had a task fail on the machine.
	FailedJobs  map[protocol.JobID]bool
	Quarantined bool
}

// quarantineFailures is the number of jobs with failures on a machine from which the machine itself
// counts as faulty.
const quarantineFailures = 2

// QuarantineIfFaulty quarantines a machine on which several jobs failed, and reports whether this
// call did so. Nothing more is placed on a quarantined machine, and it is scaled in once it is
// empty.
func (f *FaultState) QuarantineIfFaulty() bool {
	if len(f.FailedJobs) < quarantineFailures || f.Quarantined {
		return false
	}
	f.Quarantined = true
	return true
}

// ScaleInState is the progress of the machine's scale-in. The autoscaler cordons the machine; the
// component that establishes that the machine must be released schedules its release.
type ScaleInState struct {
	// Cordoned reports that no new tasks are placed on the machine, so that it empties: see
	// scaling.SurplusMachines.
	Cordoned   bool
	CordonedAt clock.Micros
	// ReservedAt is when capacity on the machine was last reserved.
	ReservedAt clock.Micros
	// Releasing reports that the machine has to be released: see Table.ScheduleRelease.
	Releasing bool
	// Overdue reports that the machine holds tasks of a cancelled job that don't end: the
	// autoscaler releases it before others.
	Overdue bool
}

// Cordon keeps new tasks off the machine.
func (s *ScaleInState) Cordon(now clock.Micros) { s.Cordoned, s.CordonedAt = true, now }

// Uncordon lets new tasks be placed on the machine again.
func (s *ScaleInState) Uncordon() { s.Cordoned = false }
