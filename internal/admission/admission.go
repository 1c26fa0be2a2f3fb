package admission

import (
	"slices"

	"postpoint/internal/actor"
	"postpoint/internal/clock"
	"postpoint/internal/kvstore"
	"postpoint/internal/protocol"
	"postpoint/internal/rollout"
	"postpoint/internal/settings"
)

// maxFinalStates bounds the memory that final states take.
const maxFinalStates = 20_000

// Admission is the actor that answers requests.
type Admission struct {
	mailbox actor.Mailbox
	store   kvstore.Store
	set     *settings.Settings
	forward Forward
	types   []protocol.MachineType // empty until the catalogue is known
	// formatOpen reports that all controllers know services and sharded records.
	formatOpen bool
	// memoryFull reports that new jobs have to wait.
	memoryFull func() bool
	// finalStates may be shown from memory by job: they never change.
	finalStates  map[protocol.JobID]protocol.JobStatus
	availability availability
	// startedAt is when this process started, epoch the highest that it was elected with.
	startedAt clock.Micros
	epoch     protocol.Epoch
	// cancellations are those that users were told of.
	cancellations cancellationLog
	// zoneReports asks the part of this node that receives heartbeats.
	zoneReports func(reply func(ZoneReports))
}

// New makes the actor. It answers requests that the store doesn't serve through forward.
func New(m actor.Mailbox, s kvstore.Store, set *settings.Settings, forward Forward) *Admission {
	return &Admission{
		mailbox:       m,
		store:         s,
		set:           set,
		forward:       forward,
		memoryFull:    func() bool { return false },
		finalStates:   map[protocol.JobID]protocol.JobStatus{},
		startedAt:     m.Monotonic(),
		cancellations: newCancellationLog(),
		zoneReports:   func(reply func(ZoneReports)) { reply(ZoneReports{Node: set.Node}) },
	}
}

// RefuseWhen makes new jobs wait while the process is near the limit of its memory: it would be
// killed, and what it was doing with it. It is called before the first request, full from the actor.
func (in *Admission) RefuseWhen(full func() bool) { in.memoryFull = full }

// ZoneReportsFrom lets other nodes ask of which zones' machines this one receives heartbeats. It is
// called before the first request.
func (in *Admission) ZoneReportsFrom(ask func(reply func(ZoneReports))) { in.zoneReports = ask }

// SetMachineTypes is called with each new catalogue.
func (in *Admission) SetMachineTypes(types []protocol.MachineType) {
	types = slices.Clone(types)
	in.mailbox.Post(func() { in.types = types })
}

// SetFormatStatus is called with the progress of the controllers' upgrade.
func (in *Admission) SetFormatStatus(s rollout.Status) {
	in.mailbox.Post(func() { in.formatOpen = s.Services })
}

// NoteElection is called at each election of this node, before anything is done about it.
func (in *Admission) NoteElection(epoch protocol.Epoch) {
	in.mailbox.Post(func() { in.epoch = max(in.epoch, epoch) })
}

// Handle answers a request. It calls reply once, from the actor.
func (in *Admission) Handle(r Request, reply func(Response)) {
	in.mailbox.Post(func() {
		c := &call{in: in, request: r, reply: reply}
		c.handle()
	})
}

// keepFinal remembers the final state of a job.
func (in *Admission) keepFinal(s protocol.JobStatus) {
	if s.Status == protocol.StatusCancelled {
		in.cancellations.add(s.ID, in.mailbox.Monotonic())
	}
	if len(in.finalStates) >= maxFinalStates {
		clear(in.finalStates) // rare, and only costs reading again
	}
	in.finalStates[s.ID] = s
}
