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
// election); this package learns of both through the key-value store and the term.
package leader

import (
	"postpoint/internal/actor"
	"postpoint/internal/admission"
	"postpoint/internal/cells"
	"postpoint/internal/clock"
	"postpoint/internal/cloudclient"
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
	resignedAt clock.Micros // 0: never
}

// Dependencies are what a Leader talks to, and whom it tells what.
type Dependencies struct {
	Mailbox  actor.Mailbox
	Settings *settings.Settings
	// Store, Cloud and Workers respond to the Mailbox.
	Store   kvstore.Store
	Cloud   cloudclient.API
	Workers workerclient.API
	// Deposed is told of fencing tokens above this node's own.
	Deposed func(epoch protocol.Epoch)
	// Resign asks to give leadership up.
	Resign func()
	// Attest asks all nodes what they have told users of cancellations.
	Attest reconciler.Attester
	// CatalogueChanged is told of each new catalogue.
	CatalogueChanged func([]protocol.MachineType)
}

// New returns a leader's actor that does nothing before it is started.
func New(d Dependencies) *Leader {
	state := term.New(d.Mailbox, d.Settings, d.Deposed)
	l := &Leader{state: state, resign: d.Resign}
	l.steps = term.NewStepTimer(state)
	l.catalogue = machinetable.NewCatalogue(state, d.Cloud, d.Store, d.CatalogueChanged)
	l.machines = machinetable.New(state, l.catalogue)
	l.jobs = jobtable.New(state, l.machines, l.steps)
	l.objectives = objectives.New(state, l.catalogue)
	l.commands = reconciler.NewCommandSender(state, d.Workers, l.jobs, l.machines)
	l.reconciler = reconciler.New(state, l.jobs, l.machines, l.commands, l.objectives, l.steps)
	l.health = reconciler.NewHealthMonitor(state, l.jobs, l.machines, l.commands)
	l.heartbeats = reconciler.NewHeartbeatHandler(state, l.jobs, l.machines, l.reconciler, l.commands,
		l.health)
	l.cancellations = reconciler.NewCancellations(state, l.jobs, l.machines, l.commands, d.Attest)
	l.writer = recordstore.NewWriter(state, d.Store, l.jobs, l.machines, l.commands, l.steps)
	l.reader = recordstore.NewReader(state, d.Store, l.jobs, l.machines, l.writer, l.reconciler, l.commands,
		l.heartbeats,
		l.objectives, l.steps)
	l.zones = zonetracker.New(state, d.Store, l.jobs, l.machines, l.catalogue, l.objectives, l.reader,
		l.writer,
		l.commands, l.steps)
	l.snapshots = snapshots.New(state, l.jobs, l.machines, l.catalogue, l.objectives, l.writer, l.commands,
		l.zones)
	l.autoscaler = autoscaler.New(state, d.Cloud, l.jobs, l.machines, l.catalogue, l.objectives, l.commands,
		l.snapshots,
		l.zones, l.steps)
	l.scheduler = scheduler.New(state, l.jobs, l.machines, l.catalogue, l.writer, l.commands, l.autoscaler,
		l.snapshots, l.zones)
	l.cells = federation.NewLinks(state)
	l.origin = federation.NewOrigin(state, d.Store, l.jobs, l.catalogue, l.reader, l.writer, l.autoscaler,
		l.snapshots,
		l.cells, l.steps)
	l.host = federation.NewHost(state, d.Store, l.jobs, l.machines, l.catalogue, l.reader, l.writer,
		l.reconciler, l.commands,
		l.autoscaler, l.snapshots, l.cells, l.steps)
	l.overview = overview.NewReader(state, l.jobs, l.machines, l.catalogue, l.autoscaler, l.scheduler,
		l.writer,
		l.cells, l.origin, l.zones)
	l.subscribe()
	return l
}

// subscribe connects components with those that are made after them.
func (l *Leader) subscribe() {
	l.steps.Step = l.step
	l.jobs.Losses = l.zones
	l.heartbeats.Zones = l.zones
	l.cancellations.Releases = l.autoscaler
	l.reader.Delegations = l.origin
	l.reader.Zones = l.zones
	l.writer.Hosted = l.host
}

// Recover switches zone recovery on. It is called before Start. ask asks all controllers which zones'
// machines they hear from.
func (l *Leader) Recover(s *zonerecovery.Settings, ask func(done func([]admission.ZoneReports))) {
	l.zones.Enable(s, ask)
}

// JoinCells switches cells on. It is called before Start.
func (l *Leader) JoinCells(directory *cells.Directory, exchange federation.Exchanger) {
	l.cells.Connect(directory, exchange)
	l.snapshots.Directory = directory
}

// Start begins to read the catalogue and to tick.
func (l *Leader) Start() {
	l.state.Mailbox.Post(func() {
		l.catalogue.Read()
		l.tick()
	})
}
