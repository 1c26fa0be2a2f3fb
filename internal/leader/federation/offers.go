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

// HandleOffer stores whether this cell accepts an offer of another cell. An accepted offer doesn't permit any
// start yet: the next heartbeat reports the record to the origin cell, whose response may grant the
// permission. A refusal is stored as well, so that this cell never accepts the same number later.
func (h *Host) HandleOffer(link *Link, offer delegation.Offer) {
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

// hostedRecord returns the record of an offered job. It marks tasks that the offer doesn't include as done.
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

// hostedSpec returns the specification under which this cell runs a delegated job. The names of its class and
// team get the origin cell as a prefix, so that none of this cell's objectives and limits apply to them.
func hostedSpec(origin string, id protocol.JobID, spec protocol.JobSpec) protocol.JobSpec {
	spec.ID = id
	spec.Class = origin + "." + spec.Class
	spec.Team = origin + "." + spec.Team
	return spec
}

// storeHosted creates the record of an offered job. After an error the host doesn't retry: if the store
// executed the transaction, the watch of the records delivers the record; otherwise the origin offers the job
// again.
func (h *Host) storeHosted(origin string, record *jobrecord.Record) {
	key := jobrecord.Key(record.Spec.ID)
	value := record.Encode()
	txn := h.NewTransaction()
	txn.Require(key, 0)
	txn.Put(key, value)
	txn.Commit(h.Store, term.Guarded(h.State, func(r kvstore.Result[protocol.Revision]) {
		if r.Err == nil {
			h.reader.Apply(key, value, r.Value)
			h.scheduleEarlyHeartbeat(origin)
		}
	}))
}

// The reasons for which the host refuses offers. The host stores the reason in the job's record and sends it
// to the origin cell.
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

// refusalReason returns why this cell refuses an offer, or "" if it accepts the offer.
func (h *Host) refusalReason(origin string, record *jobrecord.Record, offer *delegation.Offer) string {
	spec := &record.Spec
	switch {
	case h.cells.Directory.Own.Draining:
		return refusedDraining
	case !h.cells.Directory.AcceptsFrom(origin):
		return refusedNoRule
	case spec.IsService():
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
	case !h.fitsInRecord(record, offer.Tasks.Len()):
		return refusedRecordSize
	case len(h.jobs.HostedByOrigin()[origin]) >= delegation.MaxPerHost:
		return refusedTooMany
	}
	return ""
}

// validTasks reports whether a delegation may consist of the given tasks. The tasks of a gang are only
// delegated all together.
func validTasks(spec *protocol.JobSpec, tasks *jobrecord.TaskSet) bool {
	n := tasks.Len()
	if n == 0 || n > delegation.MaxTasks || tasks.Max() >= spec.Tasks {
		return false
	}
	return !spec.IsGang() || n >= spec.Tasks
}

// withinHostedQuota reports whether the quota for hosted jobs has enough left for n more tasks. The quota
// doesn't bound memory.
func (h *Host) withinHostedQuota(spec *protocol.JobSpec, n int) bool {
	used := h.jobs.HostedResources().Plus(planner.TaskResources(spec).Times(float64(n)))
	quota := h.cells.Directory.Own.HostedQuota
	return used.Cpus <= quota.Cpus && used.Gpus <= quota.Gpus
}

// fitsInRecord reports whether a job's record can hold the placement of at least one task, or the placements
// of all n tasks if the job is a gang.
func (h *Host) fitsInRecord(record *jobrecord.Record, n int) bool {
	limit, _ := h.writer.Limits()
	capacity := record.StartCapacity(limit)
	return capacity != 0 && (!record.Spec.IsGang() || capacity >= n)
}

// hostedTasksWithin returns how many tasks of an ordinary job fit into the record of a hosted job if the
// record may have at most limit bytes.
func hostedTasksWithin(limit int) int {
	ordinary := protocol.JobSpec{
		ID:    jobrecord.HostedJobID("cell", "job-000000", math.MaxInt32),
		Tasks: delegation.MaxTasks,
	}
	return min(delegation.MaxTasks, jobrecord.New(ordinary, 0).StartCapacity(limit))
}
