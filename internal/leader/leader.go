// Package leader contains the actor that owns jobs and machines while this controller is the leader.
// The actor makes every placement decision, commits it to the job's record, and only then acts on it.
//
// The Leader decides the order of operations. Each part of the state belongs to one component, and
// only that component's methods change it:
//
//	term           the term, how long this controller may send commands, and when it plans next
//	machinetable   machines with their workers' incarnations and leases, machine types
//	jobtable       jobs that aren't final, with their records and placements
//	recordstore    loading, following and writing the records: the write path
//	reconciler     heartbeats compared with placements, commands to workers, silent machines
//	objectives     service-level objectives and classes of jobs
//	snapshots      the input of the planner
//	scheduler      plans and the placements, preemptions and scale-outs that follow from them
//	autoscaler     scale out and scale in
//	federation     tasks that other cells run for this cell, and jobs that this cell hosts for them
//	zonetracker    loss and return of zones
//	overview       the operators' overview
//
// Other actors handle users' requests (package admission) and the election (package election). This
// package learns their results from the key-value store and from the term.
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

// Leader is the actor. Only functions that run in its mailbox access its state. At the beginning of
// each term it rebuilds the state that it needs as the leader. It decides the order of operations;
// each component owns the state that its type documents.
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

	// resign asks the election to give up leadership.
	resign     func()
	resignedAt clock.Micros // 0 if it never resigned
}

// Dependencies are the services that a Leader uses and the functions that it calls to report
// events.
type Dependencies struct {
	Mailbox  actor.Mailbox
	Settings *settings.Settings
	// Store, Cloud and Workers run their callbacks in the Mailbox.
	Store   kvstore.Store
	Cloud   cloudclient.API
	Workers workerclient.API
	// Deposed is called with each fencing token that is higher than this controller's own.
	Deposed func(epoch protocol.Epoch)
	// Resign asks the election to give up leadership.
	Resign func()
	// Attest asks all controllers which cancellations they have confirmed to users.
	Attest reconciler.Attester
	// CatalogueChanged is called with each new list of machine types.
	CatalogueChanged func([]protocol.MachineType)
}

// New returns a Leader that does nothing until Start is called.
func New(deps Dependencies) *Leader {
	state := term.New(deps.Mailbox, deps.Settings, deps.Deposed)
	l := &Leader{state: state, resign: deps.Resign}
	l.steps = term.NewStepTimer(state)
	l.catalogue = machinetable.NewCatalogue(state, deps.Cloud, deps.Store, deps.CatalogueChanged)
	l.machines = machinetable.New(state, l.catalogue)
	l.jobs = jobtable.New(state, l.machines, l.steps)
	l.objectives = objectives.New(state, l.catalogue)
	l.commands = reconciler.NewCommandSender(state, deps.Workers, l.jobs, l.machines)
	l.reconciler = reconciler.New(state, l.jobs, l.machines, l.commands, l.objectives, l.steps)
	l.health = reconciler.NewHealthMonitor(state, l.jobs, l.machines, l.commands)
	l.heartbeats = reconciler.NewHeartbeatHandler(state, l.jobs, l.machines, l.reconciler, l.commands,
		l.health)
	l.cancellations = reconciler.NewCancellations(state, l.jobs, l.machines, l.commands, deps.Attest)
	l.writer = recordstore.NewWriter(state, deps.Store, l.jobs, l.machines, l.commands, l.steps)
	l.reader = recordstore.NewReader(state, deps.Store, l.jobs, l.machines, l.writer, l.reconciler,
		l.commands, l.heartbeats, l.objectives, l.steps)
	l.zones = zonetracker.New(state, deps.Store, l.jobs, l.machines, l.catalogue, l.objectives, l.reader,
		l.writer, l.commands, l.steps)
	l.snapshots = snapshots.New(state, l.jobs, l.machines, l.catalogue, l.objectives, l.writer, l.commands,
		l.zones)
	l.autoscaler = autoscaler.New(state, deps.Cloud, l.jobs, l.machines, l.catalogue, l.objectives,
		l.commands, l.snapshots, l.zones, l.steps)
	l.scheduler = scheduler.New(state, l.jobs, l.machines, l.catalogue, l.writer, l.commands, l.autoscaler,
		l.snapshots, l.zones)
	l.cells = federation.NewLinks(state)
	l.origin = federation.NewOrigin(state, deps.Store, l.jobs, l.catalogue, l.reader, l.writer, l.autoscaler,
		l.snapshots, l.cells, l.steps)
	l.host = federation.NewHost(state, deps.Store, l.jobs, l.machines, l.catalogue, l.reader, l.writer,
		l.reconciler, l.commands, l.autoscaler, l.snapshots, l.cells, l.steps)
	l.overview = overview.NewReader(state, l.jobs, l.machines, l.catalogue, l.autoscaler, l.scheduler,
		l.writer, l.cells, l.origin, l.zones)
	l.subscribe()
	return l
}

// subscribe connects components to those that New creates after them.
func (l *Leader) subscribe() {
	l.steps.Step = l.step
	l.jobs.Losses = l.zones
	l.heartbeats.Zones = l.zones
	l.cancellations.Releases = l.autoscaler
	l.reader.Delegations = l.origin
	l.reader.Zones = l.zones
	l.writer.Hosted = l.host
}

// EnableZoneRecovery switches zone recovery on; call it before Start. ask asks all controllers from
// which zones they receive heartbeats.
func (l *Leader) EnableZoneRecovery(s *zonerecovery.Settings, ask func(done func([]admission.ZoneReports))) {
	l.zones.Enable(s, ask)
}

// EnableCells switches the federation with other cells on; call it before Start.
func (l *Leader) EnableCells(directory *cells.Directory, exchange federation.Exchanger) {
	l.cells.Connect(directory, exchange)
	l.snapshots.Directory = directory
}

// Start starts the reads of the catalogue and the periodic tick.
func (l *Leader) Start() {
	l.state.Mailbox.Post(func() {
		l.catalogue.Read()
		l.tick()
	})
}
