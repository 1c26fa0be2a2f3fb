package admission

import (
	"slices"

	"postpoint/internal/actor"
	"postpoint/internal/clock"
	"postpoint/internal/jobrecord"
	"postpoint/internal/kvstore"
	"postpoint/internal/protocol"
	"postpoint/internal/rollout"
	"postpoint/internal/settings"
)

// maxFinalStates bounds the memory of the cached final states.
const maxFinalStates = 20_000

// Admission is the actor that handles the requests of users and controllers.
type Admission struct {
	mailbox actor.Mailbox
	store   kvstore.Store
	// sharedReads reads records for users' questions.
	sharedReads *kvstore.SharedReads
	settings    *settings.Settings
	forward     Forward
	types       []protocol.MachineType // empty until the first catalogue arrives
	// formatOpen reports that all controllers support services and sharded records.
	formatOpen bool
	// memoryFull reports that the process is too close to its memory limit to accept new jobs.
	memoryFull func() bool
	// finalStates caches the status of final jobs, by job. Such a status never changes.
	finalStates map[protocol.JobID]protocol.JobStatus
	// shardedStatuses keeps recent statuses of sharded jobs.
	shardedStatuses shardedStatuses
	availability    availability
	// startedAt is when this process started, epoch the highest epoch of its elections.
	startedAt clock.Micros
	epoch     protocol.Epoch
	// cancellations are the cancellations that this controller has reported to users.
	cancellations cancellationLog
	// zoneReports asks the part of this controller that receives heartbeats for its zone reports.
	zoneReports func(reply func(ZoneReports))
}

// New returns the actor. While the store is unavailable, it passes requests to other controllers with
// forward.
func New(m actor.Mailbox, s kvstore.Store, config *settings.Settings, forward Forward) *Admission {
	return &Admission{
		mailbox:         m,
		store:           s,
		sharedReads:     kvstore.NewSharedReads(s, m, jobrecord.Prefix, probeKey),
		settings:        config,
		forward:         forward,
		memoryFull:      func() bool { return false },
		finalStates:     map[protocol.JobID]protocol.JobStatus{},
		shardedStatuses: shardedStatuses{},
		startedAt:       m.Monotonic(),
		cancellations:   newCancellationLog(),
		zoneReports:     func(reply func(ZoneReports)) { reply(ZoneReports{Node: config.Node}) },
	}
}

// RejectNewJobsWhen makes Admission reject new jobs as retryable while full returns true: a process that
// exceeds its memory limit is killed with all of its work in progress. The caller calls RejectNewJobsWhen
// before the first request; the actor calls full.
func (a *Admission) RejectNewJobsWhen(full func() bool) { a.memoryFull = full }

// SetZoneReporter sets the function that responds to GetZoneReports. The caller calls it before the
// first request.
func (a *Admission) SetZoneReporter(ask func(reply func(ZoneReports))) { a.zoneReports = ask }

// SetMachineTypes replaces the machine types when a new catalogue arrives.
func (a *Admission) SetMachineTypes(types []protocol.MachineType) {
	types = slices.Clone(types)
	a.mailbox.Post(func() { a.types = types })
}

// SetFormatStatus records the progress of the upgrade of the controllers.
func (a *Admission) SetFormatStatus(s rollout.Status) {
	a.mailbox.Post(func() { a.formatOpen = s.Services })
}

// RecordElection records an election of this controller. The caller calls it before the new leader does
// anything.
func (a *Admission) RecordElection(epoch protocol.Epoch) {
	a.mailbox.Post(func() { a.epoch = max(a.epoch, epoch) })
}

// Handle handles a request. The actor calls reply exactly once.
func (a *Admission) Handle(r Request, reply func(Response)) {
	a.mailbox.Post(func() {
		c := &call{admission: a, request: r, reply: reply}
		c.handle()
	})
}

// cacheFinalStatus caches the final status of a job. If the job is cancelled, it also logs the cancellation
// for attestations; the caller must therefore call it before it sends the status to a user.
func (a *Admission) cacheFinalStatus(s protocol.JobStatus) {
	if s.Status == protocol.StatusCancelled {
		a.cancellations.add(s.ID, a.mailbox.Monotonic())
	}
	if len(a.finalStates) >= maxFinalStates {
		clear(a.finalStates) // rare, and costs only repeated reads
	}
	a.finalStates[s.ID] = s
}
