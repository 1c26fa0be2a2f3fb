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
	"cmp"
	"iter"
	"log/slog"
	"maps"
	"slices"

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
	*leaderTerm
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
	term := &leaderTerm{mailbox: m, settings: set, deposed: deposed}
	l := &Leader{
		leaderTerm:    term,
		resign:        resign,
		steps:         &stepTimer{leaderTerm: term},
		machines:      &machineTable{leaderTerm: term, addresses: map[string]string{}},
		catalogue:     &machineCatalogue{leaderTerm: term, cloud: cl, store: st, published: onTypes, byName: map[string]protocol.MachineType{}},
		jobs:          &jobTable{leaderTerm: term},
		reader:        &recordReader{leaderTerm: term, store: st},
		writer:        &recordWriter{leaderTerm: term, store: st},
		reconciler:    &reconciler{leaderTerm: term},
		commands:      &commandSender{leaderTerm: term, agent: ag},
		cancellations: &cancellations{leaderTerm: term, attest: attest},
		health:        &healthMonitor{leaderTerm: term},
		heartbeats:    &heartbeatHandler{leaderTerm: term},
		autoscaler:    &autoscaler{leaderTerm: term, cloud: cl},
		scheduler:     &taskScheduler{leaderTerm: term},
		snapshots:     &snapshotBuilder{leaderTerm: term},
		objectives:    &objectives{leaderTerm: term, classSeen: map[string]classUse{}},
		cells:         &cellLinks{leaderTerm: term},
		origin:        &originCell{leaderTerm: term, store: st},
		host:          &hostCell{leaderTerm: term, store: st},
		zones:         &zoneRecovery{leaderTerm: term, store: st},
		overview:      &overviewReader{leaderTerm: term},
	}
	l.connect()
	return l
}

// connect tells each component of those that it uses.
func (l *Leader) connect() {
	l.steps.step = l.step
	l.machines.catalogue = l.catalogue
	l.catalogue.machines = l.machines
	l.jobs.machines = l.machines
	l.jobs.steps = l.steps
	l.jobs.zones = l.zones
	l.reader.jobs = l.jobs
	l.reader.machines = l.machines
	l.reader.writer = l.writer
	l.reader.reconciler = l.reconciler
	l.reader.commands = l.commands
	l.reader.heartbeats = l.heartbeats
	l.reader.objectives = l.objectives
	l.reader.origin = l.origin
	l.reader.host = l.host
	l.reader.zones = l.zones
	l.reader.steps = l.steps
	l.writer.jobs = l.jobs
	l.writer.machines = l.machines
	l.writer.reader = l.reader
	l.writer.commands = l.commands
	l.writer.host = l.host
	l.writer.steps = l.steps
	l.reconciler.jobs = l.jobs
	l.reconciler.machines = l.machines
	l.reconciler.commands = l.commands
	l.reconciler.objectives = l.objectives
	l.reconciler.steps = l.steps
	l.commands.jobs = l.jobs
	l.commands.machines = l.machines
	l.commands.reconciler = l.reconciler
	l.cancellations.jobs = l.jobs
	l.cancellations.machines = l.machines
	l.cancellations.commands = l.commands
	l.cancellations.autoscaler = l.autoscaler
	l.cancellations.host = l.host
	l.health.jobs = l.jobs
	l.health.machines = l.machines
	l.health.catalogue = l.catalogue
	l.health.commands = l.commands
	l.heartbeats.machines = l.machines
	l.heartbeats.reconciler = l.reconciler
	l.heartbeats.commands = l.commands
	l.heartbeats.health = l.health
	l.heartbeats.host = l.host
	l.heartbeats.zones = l.zones
	l.autoscaler.jobs = l.jobs
	l.autoscaler.machines = l.machines
	l.autoscaler.catalogue = l.catalogue
	l.autoscaler.objectives = l.objectives
	l.autoscaler.commands = l.commands
	l.autoscaler.scheduler = l.scheduler
	l.autoscaler.snapshots = l.snapshots
	l.autoscaler.zones = l.zones
	l.autoscaler.steps = l.steps
	l.scheduler.jobs = l.jobs
	l.scheduler.machines = l.machines
	l.scheduler.catalogue = l.catalogue
	l.scheduler.writer = l.writer
	l.scheduler.commands = l.commands
	l.scheduler.autoscaler = l.autoscaler
	l.scheduler.snapshots = l.snapshots
	l.scheduler.host = l.host
	l.scheduler.zones = l.zones
	l.snapshots.jobs = l.jobs
	l.snapshots.machines = l.machines
	l.snapshots.catalogue = l.catalogue
	l.snapshots.objectives = l.objectives
	l.snapshots.writer = l.writer
	l.snapshots.commands = l.commands
	l.snapshots.autoscaler = l.autoscaler
	l.snapshots.cells = l.cells
	l.snapshots.host = l.host
	l.snapshots.zones = l.zones
	l.objectives.catalogue = l.catalogue
	l.origin.jobs = l.jobs
	l.origin.catalogue = l.catalogue
	l.origin.reader = l.reader
	l.origin.writer = l.writer
	l.origin.autoscaler = l.autoscaler
	l.origin.snapshots = l.snapshots
	l.origin.cells = l.cells
	l.origin.steps = l.steps
	l.host.jobs = l.jobs
	l.host.machines = l.machines
	l.host.catalogue = l.catalogue
	l.host.reader = l.reader
	l.host.writer = l.writer
	l.host.reconciler = l.reconciler
	l.host.commands = l.commands
	l.host.autoscaler = l.autoscaler
	l.host.snapshots = l.snapshots
	l.host.cells = l.cells
	l.host.steps = l.steps
	l.zones.jobs = l.jobs
	l.zones.machines = l.machines
	l.zones.catalogue = l.catalogue
	l.zones.objectives = l.objectives
	l.zones.reader = l.reader
	l.zones.writer = l.writer
	l.zones.commands = l.commands
	l.zones.overview = l.overview
	l.zones.steps = l.steps
	l.overview.jobs = l.jobs
	l.overview.machines = l.machines
	l.overview.catalogue = l.catalogue
	l.overview.autoscaler = l.autoscaler
	l.overview.scheduler = l.scheduler
	l.overview.writer = l.writer
	l.overview.cells = l.cells
	l.overview.origin = l.origin
	l.overview.zones = l.zones
}

const (
	staleAfter = 6 * clock.Second
	rateTime   = 60 * clock.Second
	followTime = 2 * clock.Second
	cordonTime = 3 * clock.Second
	// resignAgain leaves a leader the time to prove silent machines empty: if it
	// is the workers that are gone, no other node hears them either.
	resignAgain = 60 * clock.Second
	tickTime    = 500 * clock.Millisecond
	lateTick    = 2 * clock.Second
	wakeDelay   = 15 * clock.Millisecond
	retryDelay  = 300 * clock.Millisecond
)

// What one of each adds to a step, in microseconds, and the part of the
// processor that steps may take.
const (
	machineCost = 1
	jobCost     = 5
	placedCost  = 1
	stepShare   = 0.25
)

const strainedLag = 300 * clock.Millisecond

// inOrder goes through a map by its keys, so that the same state always leads
// to the same decisions.
func inOrder[K cmp.Ordered, V any](m map[K]V) iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		for _, k := range slices.Sorted(maps.Keys(m)) {
			if v, ok := m[k]; ok && !yield(k, v) {
				return
			}
		}
	}
}

// Recover switches recoveries on. It is called before Start; ask asks all controllers which zones'
// machines they hear of.
func (l *Leader) Recover(s *recovery.Settings, ask func(done func([]intake.ZoneReports))) {
	l.zones.options, l.zones.ask = s, ask
	l.zones.heardOf = map[string]zoneReport{}
}

// ZoneReports answers another controller's question.
func (l *Leader) ZoneReports(reply func(intake.ZoneReports)) {
	l.mailbox.Post(func() {
		z := intake.ZoneReports{Node: l.settings.Node, Machines: map[string]int{}}
		for name, r := range l.zones.heardOf {
			if l.now() > r.at+heardTime {
				delete(l.zones.heardOf, name)
				continue
			}
			z.Machines[r.zone]++
		}
		reply(z)
	})
}

// JoinCells switches cells on. It is called before Start.
func (l *Leader) JoinCells(directory *cells.Directory, exchange Exchanger) {
	l.cells.directory, l.cells.exchange = directory, exchange
}

// Overview answers from the actor.
func (l *Leader) Overview(reply func(any)) { l.mailbox.Post(func() { reply(l.overview.build()) }) }

// Heartbeat handles a worker's report. The reply is called from the actor.
func (l *Leader) Heartbeat(r protocol.Report, reply func(status int, body any)) {
	arrived := l.now()
	l.mailbox.Post(func() { l.heartbeats.handle(r, arrived, reply) })
}

// Start begins the clockwork.
func (l *Leader) Start() {
	l.mailbox.Post(func() {
		l.catalogue.read()
		l.tick()
	})
}

// SetLeader is told whom workers should report to.
func (l *Leader) SetLeader(node string) { l.mailbox.Post(func() { l.knownLeader = node }) }

// SetTerm is told of every election, renewal and loss.
func (l *Leader) SetTerm(t leadership.Term) {
	l.mailbox.Post(func() {
		before := l.term.Epoch
		l.term = t
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
	l.mailbox.Post(func() {
		l.format = s
		l.steps.wake()
	})
}

// Leads asks, from the actor's own mailbox or a stopped world, whether this node
// may act as leader now.
func (l *Leader) Leads() bool { return l.leads() }

// Knows tells, likewise, that a machine is in this leader's books.
func (l *Leader) Knows(machine string) bool { return l.machines.byName[machine] != nil }

// begin begins a term: the records are read first, then every machine speaks for itself.
func (l *Leader) begin() {
	slog.Info("taking over", "epoch", l.term.Epoch)
	l.jobs.begin()
	l.machines.begin()
	l.cells.begin()
	l.origin.begin()
	l.zones.begin()
	l.heartbeats.begin()
	l.leaderTerm.begin()
	l.autoscaler.begin()
	l.catalogue.sharedThisTerm = false
	l.writer.committing = false
	l.steps.pending = false
	l.cancellations.attesting = false
	l.scheduler.plans = 0
	l.reader.load(l.term.Epoch, "", 0, l.now())
}

// end forgets what was known in a term that is over.
func (l *Leader) end() {
	l.loaded = false
	l.jobs.byID = nil
	l.machines.byName, l.machines.ordered = nil, nil
	l.heartbeats.answerDeferred()
}

func (l *Leader) tick() {
	if late := l.now() - l.steps.tickedAt - tickTime; l.steps.tickedAt != 0 {
		if late > lateTick {
			slog.Info("the process stood still or had no processor", "for_s", late.Seconds(), "epoch", l.term.Epoch)
		}
		l.steps.lag = (l.steps.lag + max(late, 0)) / 2
	}
	l.steps.tickedAt = l.now()
	l.mailbox.After(tickTime, l.tick)
	if l.term.Epoch == 0 {
		return
	}
	l.host.checkGuests()
	l.cancellations.endCancelled()
	l.cancellations.seekAttestation()
	l.host.reportToCells()
	if l.leads() {
		l.health.expire()
		l.health.drain()
		l.health.replaceSilent()
		l.health.remind()
		l.zones.advance()
		l.autoscaler.manage()
		l.catalogue.share()
		l.origin.manageCells()
		if l.now() > l.autoscaler.cordonAt+cordonTime {
			l.autoscaler.cordonAt = l.now()
			l.autoscaler.cordon()
		}
		l.overview.logState()
		if l.machines.hearsNoMachine() && !l.zones.nobodyHears() && (l.resignedAt == 0 || l.now() > l.resignedAt+resignAgain) {
			l.resignedAt = l.now()
			l.resign()
		}
	}
	l.steps.wake()
}

func (l *Leader) step() {
	if !l.leads() {
		return
	}
	l.scheduler.schedule()
	l.writer.commit()
	if cpu := l.settings.Deployment.MachineLimits.CPU; cpu > 0 {
		l.steps.notBefore = l.now() + clock.Micros(float64(l.scheduler.stepCost())/(min(cpu, 1)*stepShare))
	}
}

// Exchange answers a report of another cell. ok tells that it is one that this cell knows.
func (l *Leader) Exchange(r delegation.Report, reply func(a delegation.Answer, ok bool)) {
	arrived := l.now()
	l.mailbox.Post(func() {
		// Behind a stand of the process nobody waits for the answer any more.
		if !l.cells.enabled() || r.Home != l.cells.directory.Own.Name || l.cells.directory.Cell(r.Host) == nil || r.Host == r.Home ||
			l.now() > arrived+exchangeTimeout {
			reply(delegation.Answer{}, false)
			return
		}
		if !l.leads() && !l.mayAnswer() {
			reply(delegation.Answer{Result: delegation.NotLeader, Leader: l.cells.directory.Own.Address(l.knownLeader)}, true)
			return
		}
		reply(l.origin.answerReport(&r), true)
	})
}
