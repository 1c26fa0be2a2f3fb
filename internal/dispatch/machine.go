package dispatch

import (
	"cmp"
	"slices"

	"postpoint/internal/clock"
	"postpoint/internal/fleet"
	"postpoint/internal/ledger"
	"postpoint/internal/planner"
	"postpoint/internal/protocol"
)

// taskRef is an attempt of a task.
type taskRef struct {
	job     string
	task    int
	attempt int64
}

// machine is one worker as it was last heard of.
type machine struct {
	name, addr, typ, zone string
	spot                  bool

	seen bool // a report was heard in this term
	// settled tells that every placed task stood in the last report and none of
	// them had ended: the same report again is no news.
	settled                 bool
	session, counter, epoch int64
	tasks                   map[taskRef]protocol.TaskReport
	reported                []protocol.TaskReport // what tasks was made from
	// ended counts the tasks that are only to be forgotten, since the last report with
	// news; forgetAt is when they are at the latest.
	ended               int
	forgetAt            clock.Micros
	since               map[taskRef]clock.Micros // when a task was first seen running
	heardAt, answeredAt clock.Micros
	sessionAt           clock.Micros // when its present session was first heard of
	recallAt            clock.Micros // when the cloud takes it; 0: not announced
	heartbeatSession    int64
	heartbeatCounter    int64
	expired             bool // its lease has surely ended: only a newer session counts
	// answersLost machines report, but lose one session after the other though they
	// are answered: answers don't reach them.
	answersLost  bool
	probedAt     clock.Micros // when it was last asked whether it is still there
	challengedAt clock.Micros // when it was last asked whether it has started over

	listed    bool
	firstSeen clock.Micros
	listedAt  clock.Micros
	status    string

	placed map[string]map[int]ledger.Placement // by job
	// view is the machine as the planner is shown it, kept until anything that
	// it depends on changes.
	view      planner.Machine
	viewStale bool
	strange   bool // something of unknown size runs there
	// pullGB was still to be fetched at pulledAt.
	pullGB   float64
	pulledAt clock.Micros
	sent     map[taskRef]*sent
	// calling is a direct command on its way; callAgain asks for another.
	calling, callAgain bool
	syncedAt           clock.Micros // when the last empty command was sent

	pace       float64 // its run times against the classes' averages
	paced      int     // how many runs that is drawn from
	images     []image
	fullUntil  clock.Micros
	faults     map[string]bool // jobs that failed here
	quarantine bool
	cordonedAt clock.Micros
	spareAt    clock.Micros // when a place on it was last to be kept free
	cordoned   bool         // takes no new tasks, so that it empties: see fleet.Cordon
	releasing  bool
	overdue    bool // holds tasks of a cancelled job that don't end
	idleSince  clock.Micros
}

// sent is what is known of a start's way to the worker: as long as one may
// still arrive, the attempt must not be forgotten, or it would start again.
type sent struct {
	inCall      bool
	inHeartbeat bool
	uncertain   bool
	replica     bool // of a service, even once that is over and forgotten
	startAt     clock.Micros
	killAt      clock.Micros
}

type image struct {
	name string
	gb   float64
}

func (m *machine) kind() fleet.Kind { return fleet.Kind{Type: m.typ, Zone: m.zone, Spot: m.spot} }

// sameTasks tells that a report brings no news of the machine's tasks.
func (m *machine) sameTasks(tasks []protocol.TaskReport) bool {
	if len(tasks) != len(m.tasks) {
		return false
	}
	if len(tasks) == 0 || len(m.reported) == len(tasks) && &m.reported[0] == &tasks[0] {
		return true // the very list of the last report: see protocol.ReportDecoder
	}
	for _, t := range tasks {
		id, task, ok := protocol.ParseTask(t.Task)
		if !ok {
			return false
		}
		if known, there := m.tasks[taskRef{id, task, t.Attempt}]; !there || known.Status != t.Status {
			return false
		}
	}
	return true
}

func (m *machine) hasImage(name string) bool {
	return slices.ContainsFunc(m.images, func(i image) bool { return i.name == name })
}

// sentOf is what is known of an attempt's orders.
func (m *machine) sentOf(ref taskRef) *sent {
	s := m.sent[ref]
	if s == nil {
		s = &sent{}
		m.sent[ref] = s
	}
	return s
}

func compareRefs(a, b taskRef) int {
	return cmp.Or(cmp.Compare(a.job, b.job), cmp.Compare(a.task, b.task), cmp.Compare(a.attempt, b.attempt))
}
