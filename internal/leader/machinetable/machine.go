package machinetable

import (
	"slices"

	"postpoint/internal/clock"
	"postpoint/internal/jobrecord"
	"postpoint/internal/planner"
	"postpoint/internal/protocol"
	"postpoint/internal/scaling"
)

// Machine is one worker as the leader knows it. Its fields are grouped by subject; the comment of
// each group names the part of the leader that changes it. Fields that change together are changed
// by methods.
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

// newMachine returns a machine of which nothing but its name is known.
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

// Identity is what a machine is and where its worker can be reached. The autoscaler fills it in from
// the cloud's responses, until heartbeats say it themselves.
type Identity struct {
	Name                protocol.MachineName
	Address, Type, Zone string
	Spot                bool
}

// Kind returns what is scaled out to get such a machine.
func (i *Identity) Kind() scaling.CapacityPool {
	return scaling.CapacityPool{Type: i.Type, Zone: i.Zone, Spot: i.Spot}
}

// WorkerStatus is what the last heartbeat of the worker said. The reconciler changes it.
type WorkerStatus struct {
	HeardAt clock.Micros
	// RecallAt is when the cloud takes the machine back, 0 as long as that isn't announced.
	RecallAt clock.Micros
	Tasks    map[AttemptRef]protocol.TaskStatus
	// listedTasks is the list that Tasks was made from.
	listedTasks []protocol.TaskStatus
	// RunningSince is when an attempt was first seen running.
	RunningSince map[AttemptRef]clock.Micros
	// Steady reports that every placed task stood in the last heartbeat and none of them had
	// exited: the same heartbeat again proves nothing new.
	Steady bool
	// Seen reports that a heartbeat was received in this term.
	Seen bool
	// ExitedTasks counts the tasks that only have to be forgotten, as of the last heartbeat that
	// changed anything. ForgetAt is when that happens at the latest.
	ExitedTasks int
	ForgetAt    clock.Micros
}

// SetTasks replaces the tasks by those that a heartbeat lists. Running times are kept of those that
// are still listed.
func (s *WorkerStatus) SetTasks(tasks []protocol.TaskStatus) {
	clear(s.Tasks)
	s.listedTasks, s.ExitedTasks = tasks, 0
	for _, t := range tasks {
		job, task, ok := protocol.ParseTask(t.Task)
		if !ok {
			continue
		}
		s.Tasks[AttemptRef{Job: job, Task: task, Attempt: t.Attempt}] = t
	}
	for ref := range s.RunningSince {
		if _, listed := s.Tasks[ref]; !listed {
			delete(s.RunningSince, ref)
		}
	}
}

// RunsTasks reports whether anything runs there, whether or not a record knows it.
func (s *WorkerStatus) RunsTasks() bool {
	for _, t := range s.Tasks {
		if t.Status != protocol.TaskExited {
			return true
		}
	}
	return false
}

// SameTasks reports whether a heartbeat lists the tasks that are known, in the states that are known.
func (s *WorkerStatus) SameTasks(tasks []protocol.TaskStatus) bool {
	if len(tasks) != len(s.Tasks) {
		return false
	}
	if len(tasks) == 0 || len(s.listedTasks) == len(tasks) && &s.listedTasks[0] == &tasks[0] {
		return true // the very list of the last heartbeat: see protocol.HeartbeatDecoder
	}
	for _, t := range tasks {
		job, task, ok := protocol.ParseTask(t.Task)
		if !ok {
			return false
		}
		known, listed := s.Tasks[AttemptRef{Job: job, Task: task, Attempt: t.Attempt}]
		if !listed || known.Status != t.Status {
			return false
		}
	}
	return true
}

// HeartbeatNumber orders the heartbeats of a machine, however late each of them arrives.
type HeartbeatNumber struct {
	// Incarnation rises each time the worker begins a new lease after losing one.
	Incarnation protocol.Incarnation
	// Counter rises with each heartbeat.
	Counter int64
}

// NumberOf returns the number of a heartbeat.
func NumberOf(r *protocol.Heartbeat) HeartbeatNumber {
	return HeartbeatNumber{Incarnation: r.Incarnation, Counter: r.Counter}
}

// After reports whether a heartbeat was sent after another one.
func (n HeartbeatNumber) After(other HeartbeatNumber) bool {
	return n.Incarnation > other.Incarnation || n.Incarnation == other.Incarnation &&
		n.Counter > other.Counter
}

// IncarnationState is the worker's present incarnation and what it has acknowledged. The reconciler
// changes it.
type IncarnationState struct {
	HeartbeatNumber
	// AcknowledgedEpoch is the highest fencing token that the worker has seen.
	AcknowledgedEpoch protocol.Epoch
	// IncarnationSeenAt is when the present incarnation was first heard of.
	IncarnationSeenAt clock.Micros
}

// LeaseState is what is known of the lease that lets the worker's tasks run. The heartbeat handler
// renews it, the health monitor proves it expired.
type LeaseState struct {
	// RespondedAt is when a heartbeat was last responded to, which renews the lease.
	RespondedAt clock.Micros
	// RespondedTo is the heartbeat that was.
	RespondedTo HeartbeatNumber
	// LeaseExpired reports that the lease has certainly expired: only a later incarnation counts.
	LeaseExpired bool
	// ResponsesLost reports that heartbeats arrive, but the worker loses one incarnation after the
	// other though they are responded to: responses don't reach it.
	ResponsesLost bool
}

// NoteResponse notes that a heartbeat is responded to.
func (l *LeaseState) NoteResponse(heartbeat HeartbeatNumber, now clock.Micros) {
	l.RespondedTo, l.RespondedAt = heartbeat, now
}

// BeginIncarnation notes that the worker has begun a later incarnation. It holds nothing of the
// earlier ones, and no command that was sent to them has any effect on it.
func (m *Machine) BeginIncarnation(incarnation protocol.Incarnation, now clock.Micros) {
	clear(m.Deliveries)
	clear(m.RunningSince)
	m.LeaseExpired = false
	m.Steady = false
	m.Incarnation, m.IncarnationSeenAt = incarnation, now
}

// ExpireLease notes that the lease of the present incarnation, and of any that something was placed
// in, has certainly expired: nothing runs there any more.
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

// CommandState is which commands are on their way to the worker. The command sender changes it; the
// health monitor and the zone tracker note their probes.
type CommandState struct {
	Deliveries map[AttemptRef]*StartDelivery
	// CommandInFlight reports that a direct command has no response yet.
	CommandInFlight bool
	// PushPending asks for another direct command after that.
	PushPending bool
	// EpochAnnouncedAt is when the leader's epoch was last announced by a direct command.
	EpochAnnouncedAt clock.Micros
	// ProbedAt is when the worker was last asked whether it is still there.
	ProbedAt clock.Micros
	// ChallengedAt is when the worker was last asked whether it has started over.
	ChallengedAt clock.Micros
}

// BeginCommand notes that a direct command is sent; pushes wait for its response.
func (c *CommandState) BeginCommand() { c.CommandInFlight, c.PushPending = true, false }

// CloudState is what the cloud says of the machine. The autoscaler changes it.
type CloudState struct {
	Listed bool
	// FirstSeen is when the machine was first heard of, or earlier if the cloud says so.
	FirstSeen   clock.Micros
	ListedAt    clock.Micros
	CloudStatus string
}

// PlacementState is what the job records place on the machine. The job table changes it, through
// Table.AddPlacement and Table.RemovePlacement.
type PlacementState struct {
	// Placements are the placed tasks by job.
	Placements map[protocol.JobID]map[int]jobrecord.Placement
	// IdleSince is when the last placement was released.
	IdleSince clock.Micros
}

// Placed reports whether the machine's placement of a task is the given attempt.
func (p *PlacementState) Placed(ref AttemptRef) bool {
	placement, ok := p.Placements[ref.Job][ref.Task]
	return ok && placement.Attempt == ref.Attempt
}

// PlannerView is the machine as the planner is shown it. Package snapshots makes it anew whenever
// ViewStale is set, which everything does that changes what it depends on.
type PlannerView struct {
	View      planner.Machine
	ViewStale bool
	// Unrecognized reports that something of unknown size runs there.
	Unrecognized bool
	Images       []image
	// PullGB was still to be fetched at pulledAt.
	PullGB   float64
	pulledAt clock.Micros
}

// image is a container image that is likely to be in the machine's cache.
type image struct {
	Name   string
	sizeGB float64
}

// HasImage reports whether an image is likely to be in the machine's cache.
func (v *PlannerView) HasImage(name string) bool {
	return slices.ContainsFunc(v.Images, func(i image) bool { return i.Name == name })
}

// noteImage moves an image to the front of the cache, which holds the most recently used images up
// to its size.
func (v *PlannerView) noteImage(name string, sizeGB, cacheGB float64) {
	images := []image{{name, sizeGB}}
	used := sizeGB
	for _, i := range v.Images {
		if i.Name != name && used+i.sizeGB <= cacheGB {
			used += i.sizeGB
			images = append(images, i)
		}
	}
	v.Images = images
	v.ViewStale = true
}

// AdvancePulls subtracts what was fetched of the pulled images since it was last called.
func (v *PlannerView) AdvancePulls(now clock.Micros, t protocol.MachineType) {
	if len(v.View.PullingImages) == 0 {
		v.PullGB = 0
	}
	v.PullGB = max(0, v.PullGB-(now-v.pulledAt).Seconds()*t.FetchGBPerS)
	v.pulledAt = now
}

// Performance is how fast tasks run there. Package objectives changes it.
type Performance struct {
	// Pace is the run times of tasks in proportion to the averages of their classes.
	Pace float64
	// PaceRuns is from how many runs Pace is drawn.
	PaceRuns int
}

const (
	// minPaceRuns is from how many runs on Pace is believed: estimates are often wrong by half.
	minPaceRuns = 4
	// slowPace is the least Pace that counts as slow.
	slowPace = 1.6
)

// Slowness returns by which part tasks take longer than on other machines, 0 if that isn't clear.
// Slow machines are used last; they aren't scaled in for it, since most recover.
func (p *Performance) Slowness() float64 {
	if p.PaceRuns < minPaceRuns || p.Pace < slowPace {
		return 0
	}
	return p.Pace - 1
}

// FaultState is what failed on the machine. The reconciler changes it.
type FaultState struct {
	// FullUntil is until when the worker is taken to have no room, since it refused a start.
	FullUntil clock.Micros
	// FailedJobs are the jobs of which a task failed there.
	FailedJobs  map[protocol.JobID]bool
	Quarantined bool
}

// quarantineFailures is from how many failed jobs on it is the machine that is taken to be faulty.
const quarantineFailures = 2

// QuarantineIfFaulty quarantines a machine on which several jobs failed, and reports whether it was
// that call that did. Nothing is placed on it any more, and it is scaled in once it is empty.
func (f *FaultState) QuarantineIfFaulty() bool {
	if len(f.FailedJobs) < quarantineFailures || f.Quarantined {
		return false
	}
	f.Quarantined = true
	return true
}

// ScaleInState is whether the machine is to go. The autoscaler cordons it; whoever proves that it has
// to go schedules its release.
type ScaleInState struct {
	// Cordoned reports that no new tasks are placed there, so that the machine empties: see
	// scaling.Cordon.
	Cordoned   bool
	CordonedAt clock.Micros
	// ReservedAt is when room on it was last reserved.
	ReservedAt clock.Micros
	// Releasing reports that the machine is to be released: see Table.ScheduleRelease.
	Releasing bool
	// Overdue reports that the machine holds tasks of a cancelled job that don't end: its release
	// goes before others.
	Overdue bool
}

// Cordon keeps new tasks off the machine.
func (s *ScaleInState) Cordon(now clock.Micros) { s.Cordoned, s.CordonedAt = true, now }

// Uncordon lets new tasks be placed on the machine again.
func (s *ScaleInState) Uncordon() { s.Cordoned = false }
