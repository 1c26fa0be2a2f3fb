package machinetable

import (
	"cmp"
	"slices"

	"postpoint/internal/clock"
	"postpoint/internal/fleet"
	"postpoint/internal/ledger"
	"postpoint/internal/planner"
	"postpoint/internal/protocol"
)

// AttemptRef is an attempt of a task.
type AttemptRef struct {
	Job     string
	Task    int
	Attempt int64
}

// Machine is one worker as it was last heard of.
type Machine struct {
	Name, Address, Type, Zone string
	Spot                      bool

	Seen bool // a report was heard in this term
	// Steady tells that every placed task stood in the last report and none of
	// them had ended: the same report again is no news.
	Steady                      bool
	Incarnation, Counter, Epoch int64
	Tasks                       map[AttemptRef]protocol.TaskReport
	LastTasks                   []protocol.TaskReport // what tasks was made from
	// ExitedTasks counts the tasks that are only to be forgotten, since the last report with
	// news; ForgetAt is when they are at the latest.
	ExitedTasks          int
	ForgetAt             clock.Micros
	RunningSince         map[AttemptRef]clock.Micros // when a task was first seen running
	HeardAt, RespondedAt clock.Micros
	IncarnationSeenAt    clock.Micros // when its present session was first heard of
	RecallAt             clock.Micros // when the cloud takes it; 0: not announced
	HeartbeatIncarnation int64
	HeartbeatCounter     int64
	LeaseExpired         bool // its lease has surely ended: only a newer session counts
	// ResponsesLost machines report, but lose one session after the other though they
	// are answered: answers don't reach them.
	ResponsesLost bool
	ProbedAt      clock.Micros // when it was last asked whether it is still there
	ChallengedAt  clock.Micros // when it was last asked whether it has started over

	Listed      bool
	FirstSeen   clock.Micros
	ListedAt    clock.Micros
	CloudStatus string

	Placements map[string]map[int]ledger.Placement // by job
	// View is the machine as the planner is shown it, kept until anything that
	// it depends on changes.
	View         planner.Machine
	ViewStale    bool
	Unrecognized bool // something of unknown size runs there
	// PullGB was still to be fetched at pulledAt.
	PullGB     float64
	pulledAt   clock.Micros
	Deliveries map[AttemptRef]*StartDelivery
	// CommandInFlight is a direct command on its way; CommandAgain asks for another.
	CommandInFlight, CommandAgain bool
	EpochAnnouncedAt              clock.Micros // when the last empty command was sent

	Pace        float64 // its run times against the classes' averages
	PaceRuns    int     // how many runs that is drawn from
	Images      []image
	FullUntil   clock.Micros
	FailedJobs  map[string]bool // jobs that failed here
	Quarantined bool
	CordonedAt  clock.Micros
	ReservedAt  clock.Micros // when a place on it was last to be kept free
	Cordoned    bool         // takes no new tasks, so that it empties: see fleet.Cordon
	Releasing   bool
	Overdue     bool // holds tasks of a cancelled job that don't end
	IdleSince   clock.Micros
}

// StartDelivery is what is known of a start's way to the worker: as long as one may
// still arrive, the attempt must not be forgotten, or it would start again.
type StartDelivery struct {
	InCommand      bool
	InHeartbeat    bool
	OutcomeUnknown bool
	Replica        bool // of a service, even once that is over and forgotten
	StartSentAt    clock.Micros
	StopSentAt     clock.Micros
}

type image struct {
	Name string
	gb   float64
}

// Kind is what is rented when such a machine is.
func (m *Machine) Kind() fleet.Kind { return fleet.Kind{Type: m.Type, Zone: m.Zone, Spot: m.Spot} }

// SameTasks tells that a report brings no news of the machine's tasks.
func (m *Machine) SameTasks(tasks []protocol.TaskReport) bool {
	if len(tasks) != len(m.Tasks) {
		return false
	}
	if len(tasks) == 0 || len(m.LastTasks) == len(tasks) && &m.LastTasks[0] == &tasks[0] {
		return true // the very list of the last report: see protocol.ReportDecoder
	}
	for _, t := range tasks {
		id, task, ok := protocol.ParseTask(t.Task)
		if !ok {
			return false
		}
		if known, there := m.Tasks[AttemptRef{id, task, t.Attempt}]; !there || known.Status != t.Status {
			return false
		}
	}
	return true
}

// HasImage reports whether an image is likely to be in the machine's cache.
func (m *Machine) HasImage(name string) bool {
	return slices.ContainsFunc(m.Images, func(i image) bool { return i.Name == name })
}

// Delivery is what is known of an attempt's orders.
func (m *Machine) Delivery(ref AttemptRef) *StartDelivery {
	s := m.Deliveries[ref]
	if s == nil {
		s = &StartDelivery{}
		m.Deliveries[ref] = s
	}
	return s
}

// CompareAttempts orders attempts by job, task and attempt.
func CompareAttempts(a, b AttemptRef) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Task, b.Task), cmp.Compare(a.Attempt, b.Attempt))
}

// Slowness is by how much longer tasks take on a machine than on others, 0 if
// that isn't clear. Slow machines are used last; they aren't returned for it,
// since most recover.
func (m *Machine) Slowness() float64 {
	if m.PaceRuns < minPaceRuns || m.Pace < slowPace {
		return 0
	}
	return m.Pace - 1
}

// AdvancePulls lets the images that are being fetched come nearer.
func (m *Machine) AdvancePulls(now clock.Micros, t protocol.MachineType) {
	if len(m.View.Pulling) == 0 {
		m.PullGB = 0
	}
	m.PullGB = max(0, m.PullGB-(now-m.pulledAt).Seconds()*t.FetchGBPerS)
	m.pulledAt = now
}
