// Package dispatch is the leader: the actor that owns jobs and machines on the node that leads. It
// makes every placement decision, commits it to the job's record, and only then acts on it.
//
// The Leader owns the order in which things happen. Each part of the state belongs to one of its
// components, and only that component's methods change it:
//
//	leaderTerm         the term, and until when this node may give commands or answer heartbeats
//	stepTimer          when the next plan is made
//	machineTable       machines, and their workers' incarnations and leases
//	machineCatalogue   machine types and prices
//	jobTable           jobs that aren't over, with their records and placements
//	recordReader       loading and following the records
//	recordWriter       committing changed records, the write path
//	reconciler         heartbeats against placements
//	commandSender      what workers are told
//	heartbeatHandler   the answers to heartbeats
//	cancellations      ends of cancelled tasks in time
//	healthMonitor      silent, failed and recalled machines
//	autoscaler         scale out and in
//	taskScheduler      plans, and what follows from them
//	snapshotBuilder    what the planner is shown
//	objectives         service-level objectives and classes of jobs
//	cellLinks          the exchange with other cells
//	originCell         own jobs that other cells run
//	hostCell           jobs of other cells that run here
//	zoneRecovery       loss and return of zones
//	overviewReader     the operators' overview
//
// Users' requests are another actor's (package intake), the election a third one's (package
// leadership); this package learns of both through the key-value store and the term.
package dispatch

import (
	"log/slog"

	"postpoint/internal/actor"
	"postpoint/internal/agent"
	"postpoint/internal/cells"
	"postpoint/internal/clock"
	"postpoint/internal/cloud"
	"postpoint/internal/delegation"
	"postpoint/internal/intake"
	"postpoint/internal/leadership"
	"postpoint/internal/protocol"
	"postpoint/internal/recovery"
	"postpoint/internal/rollout"
	"postpoint/internal/settings"
	"postpoint/internal/statestore"
)

// Leader is the actor. All its state belongs to its mailbox; what it knows as a leader is built
// anew at each election. It owns the order in which things happen, and each of its components
// the state that its type says.
type Leader struct {
	state         *leaderTerm
	steps         *stepTimer
	machines      *machineTable
	catalogue     *machineCatalogue
	jobs          *jobTable
	reader        *recordReader
	writer        *recordWriter
	reconciler    *reconciler
	commands      *commandSender
	cancellations *cancellations
	health        *healthMonitor
	heartbeats    *heartbeatHandler
	autoscaler    *autoscaler
	scheduler     *taskScheduler
	snapshots     *snapshotBuilder
	objectives    *objectives
	cells         *cellLinks
	origin        *originCell
	host          *hostCell
	zones         *zoneRecovery
	overview      *overviewReader

	// resign asks to give leadership up.
	resign     func()
	resignedAt clock.Micros
}

// New makes the actor. deposed is told of higher epochs, resign asks to give
// leadership up, attest asks all nodes what they told users, onTypes is told of each
// new catalogue.
func New(m actor.Mailbox, st statestore.Store, cl cloud.API, ag agent.API, set *settings.Settings,
	deposed func(int64), resign func(), attest Attester, onTypes func([]protocol.MachineType)) *Leader {
	state := newLeaderTerm(m, set, deposed)
	l := &Leader{state: state, resign: resign}
	l.steps = newStepTimer(state)
	l.catalogue = newMachineCatalogue(state, cl, st, onTypes)
	l.machines = newMachineTable(state, l.catalogue)
	l.jobs = newJobTable(state, l.machines, l.steps)
	l.objectives = newObjectives(state, l.catalogue)
	l.commands = newCommandSender(state, ag, l.jobs, l.machines)
	l.reconciler = newReconciler(state, l.jobs, l.machines, l.commands, l.objectives, l.steps)
	l.health = newHealthMonitor(state, l.jobs, l.machines, l.catalogue, l.commands)
	l.heartbeats = newHeartbeatHandler(state, l.jobs, l.machines, l.reconciler, l.commands, l.health)
	l.cancellations = newCancellations(state, l.jobs, l.machines, l.commands, attest)
	l.writer = newRecordWriter(state, st, l.jobs, l.machines, l.commands, l.steps)
	l.reader = newRecordReader(state, st, l.jobs, l.machines, l.writer, l.reconciler, l.commands, l.heartbeats,
		l.objectives, l.steps)
	l.zones = newZoneRecovery(state, st, l.jobs, l.machines, l.catalogue, l.objectives, l.reader, l.writer,
		l.commands, l.steps)
	l.snapshots = newSnapshotBuilder(state, l.jobs, l.machines, l.catalogue, l.objectives, l.writer, l.commands,
		l.zones)
	l.autoscaler = newAutoscaler(state, cl, l.jobs, l.machines, l.catalogue, l.objectives, l.commands, l.snapshots,
		l.zones, l.steps)
	l.scheduler = newTaskScheduler(state, l.jobs, l.machines, l.catalogue, l.writer, l.commands, l.autoscaler,
		l.snapshots, l.zones)
	l.cells = newCellLinks(state)
	l.origin = newOriginCell(state, st, l.jobs, l.catalogue, l.reader, l.writer, l.autoscaler, l.snapshots,
		l.cells, l.steps)
	l.host = newHostCell(state, st, l.jobs, l.machines, l.catalogue, l.reader, l.writer, l.reconciler, l.commands,
		l.autoscaler, l.snapshots, l.cells, l.steps)
	l.overview = newOverviewReader(state, l.jobs, l.machines, l.catalogue, l.autoscaler, l.scheduler, l.writer,
		l.cells, l.origin, l.zones)
	l.subscribe()
	return l
}

// subscribe tells the components of those that are made after them.
func (l *Leader) subscribe() {
	l.steps.step = l.step
	l.jobs.losses = l.zones
	l.heartbeats.zones = l.zones
	l.cancellations.machineReleases = l.autoscaler
	l.reader.delegations = l.origin
	l.reader.zones = l.zones
	l.writer.hosted = l.host
}

// resignAgain leaves a leader the time to prove silent machines empty: if it is the workers that
// are gone, no other node hears them either.
const resignAgain = 60 * clock.Second

// Recover switches recoveries on. It is called before Start; ask asks all controllers which zones'
// machines they hear of.
func (l *Leader) Recover(s *recovery.Settings, ask func(done func([]intake.ZoneReports))) {
	l.zones.enable(s, ask)
}

// ZoneReports answers another controller's question.
func (l *Leader) ZoneReports(reply func(intake.ZoneReports)) {
	l.state.mailbox.Post(func() {
		reply(intake.ZoneReports{Node: l.state.settings.Node, Machines: l.zones.heardByZone()})
	})
}

// JoinCells switches cells on. It is called before Start.
func (l *Leader) JoinCells(directory *cells.Directory, exchange Exchanger) {
	l.cells.connect(directory, exchange)
	l.snapshots.directory = directory
}

// Overview answers from the actor.
func (l *Leader) Overview(reply func(any)) {
	l.state.mailbox.Post(func() { reply(l.overview.build()) })
}

// Heartbeat handles a worker's report. The reply is called from the actor.
func (l *Leader) Heartbeat(r protocol.Report, reply func(status int, body any)) {
	arrived := l.state.now()
	l.state.mailbox.Post(func() { l.heartbeats.handle(r, arrived, reply) })
}

// Start begins the clockwork.
func (l *Leader) Start() {
	l.state.mailbox.Post(func() {
		l.catalogue.read()
		l.tick()
	})
}

// SetLeader is told whom workers should report to.
func (l *Leader) SetLeader(node string) { l.state.mailbox.Post(func() { l.state.knownLeader = node }) }

// SetTerm is told of every election, renewal and loss.
func (l *Leader) SetTerm(t leadership.Term) {
	l.state.mailbox.Post(func() {
		before := l.state.term.Epoch
		l.state.term = t
		switch {
		case t.Epoch == before:
		case t.Epoch == 0:
			l.end()
		default:
			l.begin()
		}
	})
}

// SetFormat is told how far the controllers' upgrade is.
func (l *Leader) SetFormat(s rollout.Status) {
	l.state.mailbox.Post(func() {
		l.state.format = s
		l.steps.wake()
	})
}

// Leads asks, from the actor's own mailbox or a stopped world, whether this node
// may act as leader now.
func (l *Leader) Leads() bool { return l.state.leads() }

// Knows tells, likewise, that a machine is in this leader's books.
func (l *Leader) Knows(machine string) bool { return l.machines.byName[machine] != nil }

// begin begins a term: the records are read first, then every machine speaks for itself.
func (l *Leader) begin() {
	slog.Info("taking over", "epoch", l.state.term.Epoch)
	l.jobs.begin()
	l.machines.begin()
	l.cells.begin()
	l.origin.begin()
	l.zones.begin()
	l.heartbeats.begin()
	l.state.begin()
	l.autoscaler.begin()
	l.catalogue.begin()
	l.writer.begin()
	l.steps.begin()
	l.cancellations.begin()
	l.scheduler.begin()
	l.reader.load(l.state.term.Epoch, "", 0, l.state.now())
}

// end forgets what was known in a term that is over.
func (l *Leader) end() {
	l.state.loaded = false
	l.jobs.end()
	l.machines.end()
	l.heartbeats.answerDeferred()
}

func (l *Leader) tick() {
	l.steps.noteTick()
	l.state.mailbox.After(tickTime, l.tick)
	if l.state.term.Epoch == 0 {
		return
	}
	l.host.checkGuests()
	l.cancellations.endCancelled()
	l.cancellations.seekAttestation()
	l.host.reportToCells()
	if l.state.leads() {
		l.health.expire()
		l.health.drain()
		l.health.replaceSilent()
		l.health.remind()
		if l.zones.advance() {
			l.overview.logRecovery()
		}
		l.autoscaler.manage()
		l.catalogue.share()
		l.origin.manageCells()
		l.autoscaler.cordonNowAndThen()
		l.overview.logState()
		if l.machines.hearsNoMachine() && !l.zones.nobodyHears() && (l.resignedAt == 0 || l.state.now() > l.resignedAt+resignAgain) {
			l.resignedAt = l.state.now()
			l.resign()
		}
	}
	l.steps.wake()
}

func (l *Leader) step() {
	if !l.state.leads() {
		return
	}
	l.scheduler.schedule()
	l.writer.commit()
	l.steps.pauseAfter(l.snapshots.planningCost())
}

// Exchange answers a report of another cell. ok tells that it is one that this cell knows.
func (l *Leader) Exchange(r delegation.Report, reply func(a delegation.Answer, ok bool)) {
	arrived := l.state.now()
	l.state.mailbox.Post(func() {
		// Behind a stand of the process nobody waits for the answer any more.
		if !l.cells.enabled() || r.Home != l.cells.directory.Own.Name || l.cells.directory.Cell(r.Host) == nil || r.Host == r.Home ||
			l.state.now() > arrived+exchangeTimeout {
			reply(delegation.Answer{}, false)
			return
		}
		if !l.state.leads() && !l.state.mayAnswer() {
			reply(delegation.Answer{Result: delegation.NotLeader, Leader: l.cells.directory.Own.Address(l.state.knownLeader)}, true)
			return
		}
		reply(l.origin.answerReport(&r), true)
	})
}
