// Package leader is the actor that owns jobs and machines on the node that leads. It
// makes every placement decision, commits it to the job's record, and only then acts on it.
//
// The Leader owns the order in which things happen. Each part of the state belongs to one of its
// components, and only that component's methods change it:
//
//	term           the term, until when this node may give commands, and when it plans next
//	machinetable   machines with their workers' incarnations and leases, machine types
//	jobtable       jobs that aren't over, with their records and placements
//	recordstore    loading, following and writing the records: the write path
//	reconciler     heartbeats against placements, commands to workers, silent machines
//	objectives     service-level objectives and classes of jobs
//	snapshots      what the planner is shown
//	scheduler      plans, and what follows from them
//	autoscaler     scale out and in
//	federation     work that other cells run, and theirs that runs here
//	zonetracker    loss and return of zones
//	overview       the operators' overview
//
// Users' requests are another actor's (package admission), the election a third one's (package
// leadership); this package learns of both through the key-value store and the term.
package leader

import (
	"log/slog"

	"postpoint/internal/actor"
	"postpoint/internal/admission"
	"postpoint/internal/cells"
	"postpoint/internal/clock"
	"postpoint/internal/cloudclient"
	"postpoint/internal/delegation"
	"postpoint/internal/election"
	"postpoint/internal/kvstore"
	"postpoint/internal/leader/autoscaler"
	"postpoint/internal/leader/federation"
	"postpoint/internal/leader/jobtable"
	"postpoint/internal/leader/machinetable"
	"postpoint/internal/leader/objectives"
	"postpoint/internal/leader/overview"
	"postpoint/internal/leader/reconciler"
	"postpoint/internal/leader/recordstore"
	"postpoint/internal/leader/scheduler"
	"postpoint/internal/leader/snapshots"
	"postpoint/internal/leader/term"
	"postpoint/internal/leader/zonetracker"
	"postpoint/internal/protocol"
	"postpoint/internal/rollout"
	"postpoint/internal/settings"
	"postpoint/internal/workerclient"
	"postpoint/internal/zonerecovery"
)

// Leader is the actor. All its state belongs to its mailbox; what it knows as a leader is built
// anew at each election. It owns the order in which things happen, and each of its components
// the state that its type says.
type Leader struct {
	state         *term.State
	steps         *term.StepTimer
	machines      *machinetable.Table
	catalogue     *machinetable.Catalogue
	jobs          *jobtable.Table
	reader        *recordstore.Reader
	writer        *recordstore.Writer
	reconciler    *reconciler.Reconciler
	commands      *reconciler.CommandSender
	cancellations *reconciler.Cancellations
	health        *reconciler.HealthMonitor
	heartbeats    *reconciler.HeartbeatHandler
	autoscaler    *autoscaler.Autoscaler
	scheduler     *scheduler.Scheduler
	snapshots     *snapshots.Builder
	objectives    *objectives.Tracker
	cells         *federation.Links
	origin        *federation.Origin
	host          *federation.Host
	zones         *zonetracker.Tracker
	overview      *overview.Reader

	// resign asks to give leadership up.
	resign     func()
	resignedAt clock.Micros
}

// New makes the actor. deposed is told of higher epochs, resign asks to give
// leadership up, attest asks all nodes what they told users, onTypes is told of each
// new catalogue.
func New(m actor.Mailbox, st kvstore.Store, cl cloudclient.API, ag workerclient.API, set *settings.Settings,
	deposed func(protocol.Epoch), resign func(), attest reconciler.Attester,
	onTypes func([]protocol.MachineType)) *Leader {
	state := term.New(m, set, deposed)
	l := &Leader{state: state, resign: resign}
	l.steps = term.NewStepTimer(state)
	l.catalogue = machinetable.NewCatalogue(state, cl, st, onTypes)
	l.machines = machinetable.New(state, l.catalogue)
	l.jobs = jobtable.New(state, l.machines, l.steps)
	l.objectives = objectives.New(state, l.catalogue)
	l.commands = reconciler.NewCommandSender(state, ag, l.jobs, l.machines)
	l.reconciler = reconciler.New(state, l.jobs, l.machines, l.commands, l.objectives, l.steps)
	l.health = reconciler.NewHealthMonitor(state, l.jobs, l.machines, l.catalogue, l.commands)
	l.heartbeats = reconciler.NewHeartbeatHandler(state, l.jobs, l.machines, l.reconciler, l.commands, l.health)
	l.cancellations = reconciler.NewCancellations(state, l.jobs, l.machines, l.commands, attest)
	l.writer = recordstore.NewWriter(state, st, l.jobs, l.machines, l.commands, l.steps)
	l.reader = recordstore.NewReader(state, st, l.jobs, l.machines, l.writer, l.reconciler, l.commands, l.heartbeats,
		l.objectives, l.steps)
	l.zones = zonetracker.New(state, st, l.jobs, l.machines, l.catalogue, l.objectives, l.reader, l.writer,
		l.commands, l.steps)
	l.snapshots = snapshots.New(state, l.jobs, l.machines, l.catalogue, l.objectives, l.writer, l.commands,
		l.zones)
	l.autoscaler = autoscaler.New(state, cl, l.jobs, l.machines, l.catalogue, l.objectives, l.commands, l.snapshots,
		l.zones, l.steps)
	l.scheduler = scheduler.New(state, l.jobs, l.machines, l.catalogue, l.writer, l.commands, l.autoscaler,
		l.snapshots, l.zones)
	l.cells = federation.NewLinks(state)
	l.origin = federation.NewOrigin(state, st, l.jobs, l.catalogue, l.reader, l.writer, l.autoscaler, l.snapshots,
		l.cells, l.steps)
	l.host = federation.NewHost(state, st, l.jobs, l.machines, l.catalogue, l.reader, l.writer, l.reconciler, l.commands,
		l.autoscaler, l.snapshots, l.cells, l.steps)
	l.overview = overview.NewReader(state, l.jobs, l.machines, l.catalogue, l.autoscaler, l.scheduler, l.writer,
		l.cells, l.origin, l.zones)
	l.subscribe()
	return l
}

// subscribe tells the components of those that are made after them.
func (l *Leader) subscribe() {
	l.steps.Step = l.step
	l.jobs.Losses = l.zones
	l.heartbeats.Zones = l.zones
	l.cancellations.Releases = l.autoscaler
	l.reader.Delegations = l.origin
	l.reader.Zones = l.zones
	l.writer.Hosted = l.host
}

// resignAgain leaves a leader the time to prove silent machines empty: if it is the workers that
// are gone, no other node hears them either.
const resignAgain = 60 * clock.Second

// Recover switches recoveries on. It is called before Start; ask asks all controllers which zones'
// machines they hear of.
func (l *Leader) Recover(s *zonerecovery.Settings, ask func(done func([]admission.ZoneReports))) {
	l.zones.Enable(s, ask)
}

// ZoneReports answers another controller's question.
func (l *Leader) ZoneReports(reply func(admission.ZoneReports)) {
	l.state.Mailbox.Post(func() {
		reply(admission.ZoneReports{Node: l.state.Settings.Node, Machines: l.zones.HeardByZone()})
	})
}

// JoinCells switches cells on. It is called before Start.
func (l *Leader) JoinCells(directory *cells.Directory, exchange federation.Exchanger) {
	l.cells.Connect(directory, exchange)
	l.snapshots.Directory = directory
}

// Overview answers from the actor.
func (l *Leader) Overview(reply func(any)) {
	l.state.Mailbox.Post(func() { reply(l.overview.Build()) })
}

// Heartbeat handles a worker's report. The reply is called from the actor.
func (l *Leader) Heartbeat(r protocol.Heartbeat, reply func(status int, body any)) {
	arrived := l.state.Now()
	l.state.Mailbox.Post(func() { l.heartbeats.Handle(r, arrived, reply) })
}

// Start begins the clockwork.
func (l *Leader) Start() {
	l.state.Mailbox.Post(func() {
		l.catalogue.Read()
		l.tick()
	})
}

// SetLeader is told whom workers should report to.
func (l *Leader) SetLeader(node string) { l.state.Mailbox.Post(func() { l.state.KnownLeader = node }) }

// SetTerm is told of every election, renewal and loss.
func (l *Leader) SetTerm(t election.Term) {
	l.state.Mailbox.Post(func() {
		before := l.state.Term.Epoch
		l.state.Term = t
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
	l.state.Mailbox.Post(func() {
		l.state.Format = s
		l.steps.Wake()
	})
}

// Leads asks, from the actor's own mailbox or a stopped world, whether this node
// may act as leader now.
func (l *Leader) Leads() bool { return l.state.Leads() }

// Knows tells, likewise, that a machine is in this leader's books.
func (l *Leader) Knows(machine string) bool { return l.machines.ByName[machine] != nil }

// begin begins a term: the records are read first, then every machine speaks for itself.
func (l *Leader) begin() {
	slog.Info("taking over", "epoch", l.state.Term.Epoch)
	l.jobs.Begin()
	l.machines.Begin()
	l.cells.Begin()
	l.origin.Begin()
	l.zones.Begin()
	l.heartbeats.Begin()
	l.state.Begin()
	l.autoscaler.Begin()
	l.catalogue.Begin()
	l.writer.Begin()
	l.steps.Begin()
	l.cancellations.Begin()
	l.scheduler.Begin()
	l.reader.Load()
}

// end forgets what was known in a term that is over.
func (l *Leader) end() {
	l.state.Loaded = false
	l.jobs.End()
	l.machines.End()
	l.heartbeats.HandleDeferred()
}

func (l *Leader) tick() {
	l.steps.NoteTick()
	l.state.Mailbox.After(term.TickInterval, l.tick)
	if l.state.Term.Epoch == 0 {
		return
	}
	l.host.CheckHostedJobs()
	l.cancellations.EndCancelled()
	l.cancellations.SeekAttestation()
	l.host.SendHeartbeats()
	if l.state.Leads() {
		l.health.ExpireLeases()
		l.health.DrainRecalled()
		l.health.ReplaceSilent()
		l.health.AnnounceEpoch()
		if l.zones.Advance() {
			l.overview.LogRecovery()
		}
		l.autoscaler.Manage()
		l.catalogue.Share()
		l.origin.Manage()
		l.autoscaler.CordonPeriodically()
		l.overview.LogState()
		if l.machines.HearsNoWorker() && !l.zones.OthersHearNothing() && (l.resignedAt == 0 || l.state.Now() > l.resignedAt+resignAgain) {
			l.resignedAt = l.state.Now()
			l.resign()
		}
	}
	l.steps.Wake()
}

func (l *Leader) step() {
	if !l.state.Leads() {
		return
	}
	l.scheduler.Schedule()
	l.writer.Commit()
	l.steps.PauseAfter(l.snapshots.PlanningCost())
}

// Exchange answers a report of another cell. ok tells that it is one that this cell knows.
func (l *Leader) Exchange(r delegation.Heartbeat, reply func(a delegation.HeartbeatResponse, ok bool)) {
	arrived := l.state.Now()
	l.state.Mailbox.Post(func() {
		// Behind a stand of the process nobody waits for the answer any more.
		if !l.cells.Enabled() || r.Origin != l.cells.Directory.Own.Name || l.cells.Directory.Cell(r.Host) == nil || r.Host == r.Origin ||
			l.state.Now() > arrived+federation.ExchangeTimeout {
			reply(delegation.HeartbeatResponse{}, false)
			return
		}
		if !l.state.Leads() && !l.state.MayRespond() {
			reply(delegation.HeartbeatResponse{Result: delegation.NotLeader, Leader: l.cells.Directory.Own.Address(l.state.KnownLeader)}, true)
			return
		}
		reply(l.origin.HandleHeartbeat(&r), true)
	})
}
