package federation

import (
	"log/slog"
	"math"

	"postpoint/internal/clock"
	"postpoint/internal/delegation"
	"postpoint/internal/jobrecord"
	"postpoint/internal/kvstore"
	"postpoint/internal/leader/term"
	"postpoint/internal/planner"
	"postpoint/internal/protocol"
	"postpoint/internal/scaling"
)

// TakeOffer records whether this cell accepts what another offers. It permits nothing yet: the next
// heartbeat tells the origin cell of the record, and its response may permit the start. A refusal is
// recorded as well, so that the same number is never accepted later.
func (h *Host) TakeOffer(link *Link, offer delegation.Offer) {
	id := jobrecord.HostedJobID(link.cell, offer.Spec.ID, offer.Number)
	if h.jobs.ByID[id] != nil || !h.Leads() {
		return
	}
	record := hostedRecord(link.cell, id, &offer, h.Mailbox.TimeOfDay())
	if reason := h.refusalReason(link.cell, record, &offer); reason != "" {
		slog.Info("offer refused", "job", id, "cell", link.cell, "reason", reason)
		record.Hosted.Closed, record.Status, record.Cause = true, protocol.StatusCancelled, reason
	} else {
		slog.Info("offer accepted", "job", id, "cell", link.cell, "tasks", offer.Tasks.Len())
	}
	h.storeHosted(link.cell, record)
}

// hostedRecord returns the record of an offered job. Tasks that aren't offered count as done.
func hostedRecord(
	origin string, id protocol.JobID, offer *delegation.Offer, now clock.Micros,
) *jobrecord.Record {
	record := jobrecord.New(hostedSpec(origin, id, offer.Spec), int64(now-offer.JobAge))
	record.Hosted = &jobrecord.HostedJob{OriginCell: origin, Delegation: offer.Number}
	for task := range offer.Spec.Tasks {
		if !offer.Tasks.Contains(task) {
			record.Done.Add(task)
		}
	}
	return record
}

// hostedSpec returns a delegated job as this cell runs it. Its class and team are those of another cell:
// none of this one's objectives and limits apply to them.
func hostedSpec(origin string, id protocol.JobID, spec protocol.JobSpec) protocol.JobSpec {
	spec.ID = id
	spec.Class = origin + "." + spec.Class
	spec.Team = origin + "." + spec.Team
	return spec
}

// storeHosted creates the record of an offered job. If that fails, watching the records shows it all the
// same, or the job is offered again.
func (h *Host) storeHosted(origin string, record *jobrecord.Record) {
	key := jobrecord.Key(record.Spec.ID)
	value := record.Encode()
	t := h.NewTransaction()
	t.Require(key, 0)
	t.Put(key, value)
	t.Commit(h.Store, term.Guarded(h.State, func(r kvstore.Result[protocol.Revision]) {
		if r.Err == nil {
			h.reader.Adopt(key, value, r.Value)
			h.reportSoon(origin)
		}
	}))
}

// The reasons for which offers are refused. They are stored in the job's record and told to its origin cell.
const (
	refusedDraining   = "the cell is being drained"
	refusedNoRule     = "no rule lets this cell take work from there"
	refusedService    = "services aren't delegated"
	refusedTasks      = "not tasks that can be delegated"
	refusedNoType     = "a task fits no allowed machine type here"
	refusedSpread     = "its tasks can't be both spread and in one zone"
	refusedQuota      = "guests have no more room"
	refusedShortage   = "the cell is short itself"
	refusedRecordSize = "too large to be recorded"
	refusedTooMany    = "too many delegations"
)

// refusalReason returns why this cell doesn't accept an offer, "" if it does.
func (h *Host) refusalReason(origin string, record *jobrecord.Record, offer *delegation.Offer) string {
	spec := &record.Spec
	switch {
	case h.cells.Directory.Own.Draining:
		return refusedDraining
	case !h.cells.Directory.AcceptsFrom(origin):
		return refusedNoRule
	case spec.Service():
		return refusedService
	case !validTasks(spec, &offer.Tasks):
		return refusedTasks
	case !scaling.FitsAnyType(h.catalogue.Types, spec):
		return refusedNoType
	case spec.Spread && spec.Tasks > 1 && (spec.OneZone || spec.Zone != ""):
		return refusedSpread
	case !h.withinHostedQuota(spec, offer.Tasks.Len()):
		return refusedQuota
	case h.ownDemandWait() > 0 || h.hostedDemandWait() > 0:
		return refusedShortage
	case !h.recordHasRoom(record, offer.Tasks.Len()):
		return refusedRecordSize
	case len(h.jobs.HostedByOrigin()[origin]) >= delegation.MaxPerHost:
		return refusedTooMany
	}
	return ""
}

// validTasks reports whether a delegation may consist of the tasks: gangs go as a whole.
func validTasks(spec *protocol.JobSpec, tasks *jobrecord.TaskSet) bool {
	n := tasks.Len()
	if n == 0 || n > delegation.MaxTasks || tasks.Max() >= spec.Tasks {
		return false
	}
	return !spec.Gang() || n >= spec.Tasks
}

// withinHostedQuota reports whether hosted jobs may use as much more as n tasks need. Memory isn't bounded.
func (h *Host) withinHostedQuota(spec *protocol.JobSpec, n int) bool {
	used := h.jobs.HostedAmounts().Plus(planner.TaskResources(spec).Times(float64(n)))
	quota := h.cells.Directory.Own.HostedQuota
	return used.Cpus <= quota.Cpus && used.Gpus <= quota.Gpus
}

// recordHasRoom reports whether a job's record has room for the placement of some task, and for those of all
// n tasks if they have to start together.
func (h *Host) recordHasRoom(record *jobrecord.Record, n int) bool {
	limit, _ := h.writer.Limits()
	room := record.StartCapacity(limit)
	return room != 0 && (!record.Spec.Gang() || room >= n)
}

// hostedTasksWithin returns how many tasks of an ordinary job have room in a hosted job's record of limit
// bytes.
func hostedTasksWithin(limit int) int {
	ordinary := protocol.JobSpec{
		ID:    jobrecord.HostedJobID("cell", "job-000000", math.MaxInt32),
		Tasks: delegation.MaxTasks,
	}
	return min(delegation.MaxTasks, jobrecord.New(ordinary, 0).StartCapacity(limit))
}
