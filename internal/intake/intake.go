package intake

import (
	"slices"

	"postpoint/internal/actor"
	"postpoint/internal/clock"
	"postpoint/internal/protocol"
	"postpoint/internal/rollout"
	"postpoint/internal/settings"
	"postpoint/internal/statestore"
)

// maxFinalStates bounds the memory that final states take.
const maxFinalStates = 20_000

// Intake is the actor that answers requests.
type Intake struct {
	mailbox actor.Mailbox
	store   statestore.ResultStore
	set     *settings.Settings
	forward Forward
	types   []protocol.MachineType // empty until the catalogue is known
	// formatOpen reports that all controllers know services and sharded records.
	formatOpen bool
	// memoryFull reports that new jobs have to wait.
	memoryFull func() bool
	// finalStates may be shown from memory by job: they never change.
	finalStates  map[string]protocol.JobStatus
	availability availability
	// startedAt is when this process started, epoch the highest that it was elected with.
	startedAt clock.Micros
	epoch     int64
	// cancellations are those that users were told of.
	cancellations cancellationLog
	// zoneReports asks the part of this node that receives heartbeats.
	zoneReports func(reply func(ZoneReports))
}

// New makes the actor. It answers requests that the store doesn't serve through forward.
func New(m actor.Mailbox, s statestore.ResultStore, set *settings.Settings, forward Forward) *Intake {
	return &Intake{
		mailbox:       m,
		store:         s,
		set:           set,
		forward:       forward,
		memoryFull:    func() bool { return false },
		finalStates:   map[string]protocol.JobStatus{},
		startedAt:     m.Steady(),
		cancellations: newCancellationLog(),
		zoneReports:   func(reply func(ZoneReports)) { reply(ZoneReports{Node: set.Node}) },
	}
}

// RefuseWhen makes new jobs wait while the process is near the limit of its memory: it would be
// killed, and what it was doing with it. It is called before the first request, full from the actor.
func (in *Intake) RefuseWhen(full func() bool) { in.memoryFull = full }

// ZoneReportsFrom lets other nodes ask of which zones' machines this one receives heartbeats. It is
// called before the first request.
func (in *Intake) ZoneReportsFrom(ask func(reply func(ZoneReports))) { in.zoneReports = ask }

// Types is called with each new catalogue.
func (in *Intake) Types(types []protocol.MachineType) {
	types = slices.Clone(types)
	in.mailbox.Post(func() { in.types = types })
}

// Format is called with the progress of the controllers' upgrade.
func (in *Intake) Format(s rollout.Status) { in.mailbox.Post(func() { in.formatOpen = s.Open }) }

// Elected is called at each election of this node, before anything is done about it.
func (in *Intake) Elected(epoch int64) {
	in.mailbox.Post(func() { in.epoch = max(in.epoch, epoch) })
}

// Handle answers a request. It calls reply once, from the actor.
func (in *Intake) Handle(r Request, reply func(Answer)) {
	in.mailbox.Post(func() {
		c := &call{in: in, request: r, reply: reply}
		c.handle()
	})
}

// keepFinal remembers the final state of a job.
func (in *Intake) keepFinal(s protocol.JobStatus) {
	if s.Status == protocol.StatusCancelled {
		in.cancellations.add(s.ID, in.mailbox.Steady())
	}
	if len(in.finalStates) >= maxFinalStates {
		clear(in.finalStates) // rare, and only costs reading again
	}
	in.finalStates[s.ID] = s
}
