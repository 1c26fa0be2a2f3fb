package federation

import (
	"log/slog"

	"postpoint/internal/cells"
	"postpoint/internal/clock"
	"postpoint/internal/delegation"
	"postpoint/internal/jobrecord"
	"postpoint/internal/leader/jobtable"
	"postpoint/internal/leader/term"
	"postpoint/internal/ordered"
	"postpoint/internal/planner"
	"postpoint/internal/protocol"
	"postpoint/internal/scaling"
)

// Exchanger carries a heartbeat to a controller of another cell. ok reports whether a response came.
type Exchanger interface {
	Exchange(address string, r delegation.Heartbeat, done func(a delegation.HeartbeatResponse, ok bool))
}

// ExchangeTimeout is how long cells wait for each other's responses.
const ExchangeTimeout = clock.Second

const (
	// busyInterval is from one heartbeat to the next for origin cells whose jobs this cell runs.
	busyInterval = clock.Second
	// idleInterval is that for other cells.
	idleInterval = 2 * clock.Second
	// coalesceDelay lets events that happen at about the same time share a heartbeat.
	coalesceDelay = 100 * clock.Millisecond
	// circuitFailures in a row are the most after which a cell counts as reachable.
	circuitFailures = 5
)

// The pauses after failed exchanges double up to a limit, with jitter.
const (
	firstBackoff = 500 * clock.Millisecond
	maxBackoff   = 15 * clock.Second
	maxDoublings = 5
	jitterShare  = 0.25
)

// circuitOpen reports whether the cell has failed so often that it is tried only now and then.
func (s *heartbeatStream) circuitOpen() bool { return s.failures > circuitFailures }

// due reports whether the next heartbeat is to be sent.
func (s *heartbeatStream) due(now clock.Micros) bool { return !s.inFlight && now >= s.nextAt }

// address returns the controller that gets the next heartbeat.
func (s *heartbeatStream) address(origin *cells.Cell) string {
	if s.leader != "" {
		return s.leader
	}
	return origin.Controllers[s.attempt%len(origin.Controllers)].Address
}

// sentHeartbeat is a heartbeat that waits for its response.
type sentHeartbeat struct {
	link    *Link
	origin  *cells.Cell
	address string
	sentAt  clock.Micros
	jobs    []*jobtable.Job // all that the origin cell has delegated
}

// SendHeartbeats sends the heartbeats that are due. It needs no lease: a leader that may still respond to
// workers may also ask what it may keep.
func (h *Host) SendHeartbeats() {
	if !h.cells.Enabled() || !h.Loaded || !h.Leads() && !h.MayRespond() {
		return
	}
	now := h.Now()
	var hosted map[string][]*jobtable.Job // collected only if a heartbeat is due
	for _, link := range ordered.ByKey(h.cells.ByCell) {
		if !link.outgoing.due(now) {
			continue
		}
		if hosted == nil {
			hosted = h.jobs.HostedByOrigin()
		}
		if jobs := hosted[link.cell]; len(jobs) > 0 || h.cells.Directory.AcceptsFrom(link.cell) {
			h.sendHeartbeat(link, jobs)
		}
	}
}

// sendHeartbeat sends one heartbeat to the origin cell of the given jobs.
func (h *Host) sendHeartbeat(link *Link, jobs []*jobtable.Job) {
	origin := h.cells.Directory.Cell(link.cell)
	sent := sentHeartbeat{
		link:    link,
		origin:  origin,
		address: link.outgoing.address(origin),
		sentAt:  h.Now(),
		jobs:    jobs,
	}
	link.outgoing.inFlight = true
	link.outgoing.sequence++
	handle := func(a delegation.HeartbeatResponse, ok bool) { h.handleResponse(&sent, a, ok) }
	h.cells.exchange.Exchange(sent.address, h.heartbeat(link, jobs), term.Guarded2(h.State, handle))
}

// heartbeat returns what the origin cell of the given jobs is told.
func (h *Host) heartbeat(link *Link, jobs []*jobtable.Job) delegation.Heartbeat {
	r := delegation.Heartbeat{
		Host:      h.cells.Directory.Own.Name,
		Origin:    link.cell,
		Epoch:     h.Term.Epoch,
		Sequence:  link.outgoing.sequence,
		ClearTime: cells.ClearTime(h.Settings.Deployment.Workers.Lease()),
		Load:      h.ownLoad(),
	}
	for _, j := range jobs {
		if s, known := h.StatusOf(j); known && len(r.Statuses) < delegation.MaxStatuses {
			r.Statuses = append(r.Statuses, s)
		}
	}
	return r
}

// handleResponse handles the response to a heartbeat, or that none came.
func (h *Host) handleResponse(sent *sentHeartbeat, a delegation.HeartbeatResponse, ok bool) {
	stream := &sent.link.outgoing
	stream.inFlight = false
	if !ok || a.Result != delegation.Processed {
		h.handleFailure(sent, a, ok)
		return
	}
	if stream.circuitOpen() {
		slog.Info("cell responds again", "cell", sent.link.cell)
	}
	stream.leader, stream.failures, stream.respondedAt = sent.address, 0, h.Now()
	stream.nextAt = sent.sentAt + idleInterval
	if len(sent.jobs) > 0 {
		stream.nextAt = sent.sentAt + busyInterval
	}
	h.applyDirectives(sent.jobs, a.Directives, sent.sentAt)
	for _, offer := range a.Offers {
		h.TakeOffer(sent.link, offer)
	}
	h.CheckHostedJobs()
	h.steps.Wake()
}

// handleFailure goes on with another controller of the cell, after a pause if all have been tried.
func (h *Host) handleFailure(sent *sentHeartbeat, a delegation.HeartbeatResponse, ok bool) {
	stream := &sent.link.outgoing
	stream.leader = ""
	stream.attempt++
	if ok && a.Leader != sent.address && sent.origin.HasAddress(a.Leader) {
		stream.leader = a.Leader
	}
	stream.failures++
	if stream.failures == circuitFailures+1 {
		slog.Info("cell does not respond", "cell", sent.link.cell,
			"silent_s", (h.Now() - stream.respondedAt).Seconds())
	}
	stream.nextAt = h.Now() + h.backoff(stream.failures-len(sent.origin.Controllers))
}

// backoff returns the pause after as many failures beyond one of each controller.
func (h *Host) backoff(failures int) clock.Micros {
	pause := firstBackoff << min(max(failures, 0), maxDoublings)
	spread := 1 - jitterShare + 2*jitterShare*h.Random.Float64()
	return min(clock.Micros(float64(pause)*spread), maxBackoff)
}

// reportSoon has a cell told of changes of its jobs, unless it doesn't respond anyway.
func (h *Host) reportSoon(origin string) {
	link := h.cells.ByCell[origin]
	if link == nil || link.outgoing.circuitOpen() {
		return
	}
	if soon := h.Now() + coalesceDelay; link.outgoing.nextAt > soon {
		link.outgoing.nextAt = soon
		h.AfterInTerm(coalesceDelay, h.SendHeartbeats)
	}
}

// StatusOf returns what its origin cell is told of a hosted job. known is false while its record has to be
// read, since only what is stored may be told.
func (h *Host) StatusOf(j *jobtable.Job) (s delegation.Status, known bool) {
	_, originID, number, ok := jobrecord.ParseHostedJobID(j.Spec.ID)
	if !ok || j.ReadPending() {
		return s, false
	}
	s = delegation.Status{
		Number: number,
		Job:    originID,
		Closed: closedAsStored(j),
		Done:   j.StoredDone,
		Reason: j.Cause,
	}
	for task, p := range ordered.ByKey(j.Placements) {
		s.Held.Add(task)
		if h.isRunning(j, p) {
			s.Running++
		}
	}
	s.Waiting = max(0, j.PendingCount()) // a gang whose tasks are done may still be held
	return s, true
}

// closedAsStored reports whether the stored record says that a hosted job starts nothing more.
func closedAsStored(j *jobtable.Job) bool {
	return j.Hosted.Closed && j.StoredCount >= j.ClosedAtChange || j.Final() && j.IsStored()
}

// isRunning reports whether a placement's machine has told that the task runs.
func (h *Host) isRunning(j *jobtable.Job, p jobrecord.Placement) bool {
	m := h.machines.ByName[p.Machine]
	return m != nil && m.RunningSince[j.AttemptOf(p)] != 0
}

// ownLoad returns how much this cell could take, for other cells to choose by.
func (h *Host) ownLoad() delegation.Load {
	limit, _ := h.writer.Limits()
	return delegation.Load{
		QuotaLeft: h.quotaLeft(),
		OwnWait:   h.ownDemandWait(),
		MaxTasks:  hostedTasksWithin(limit),
		Types:     h.typeLoads(),
	}
}

// quotaLeft returns how much more hosted jobs may use.
func (h *Host) quotaLeft() planner.Resources {
	own := h.cells.Directory.Own
	if own.Draining || h.hostedDemandWait() > 0 {
		return planner.Resources{}
	}
	return own.HostedQuota.Minus(h.jobs.HostedAmounts())
}

// typeLoads returns what is free of each machine type beyond the reserve for own work.
func (h *Host) typeLoads() []delegation.TypeLoad {
	free := map[string]planner.Resources{}
	for i := range h.snapshots.LastMachines {
		if m := &h.snapshots.LastMachines[i]; !m.Booting {
			free[m.Type] = free[m.Type].Plus(m.Free)
		}
	}
	refused := h.autoscaler.CloudView().OutOfCapacity
	reserve := h.cells.Directory.Own.Reserve
	var loads []delegation.TypeLoad
	for _, t := range h.catalogue.Types {
		loads = append(loads, delegation.TypeLoad{
			Type:    t,
			Free:    beyondReserve(free[t.Name], reserve),
			SoldOut: outOfCapacity(t, refused),
		})
	}
	return loads
}

// beyondReserve returns what is left of free amounts after a reserve, nowhere below zero.
func beyondReserve(free, reserve planner.Resources) planner.Resources {
	left := free.Minus(reserve)
	return planner.Resources{
		Cpus:     max(0, left.Cpus),
		Gpus:     max(0, left.Gpus),
		MemoryGB: max(0, left.MemoryGB),
	}
}

// outOfCapacity reports whether the cloud has refused a machine type in all of its zones lately, at either
// price.
func outOfCapacity(t protocol.MachineType, refused map[scaling.CapacityPool]bool) bool {
	for _, zone := range t.Zones {
		regular := scaling.CapacityPool{Type: t.Name, Zone: zone}
		spot := scaling.CapacityPool{Type: t.Name, Zone: zone, Spot: true}
		if !refused[regular] && !refused[spot] {
			return false
		}
	}
	return true
}

// ownDemandWait returns how long this cell's own work has been waiting for machines that don't come, 0 if
// none has for as long as ShortageTime.
func (h *Host) ownDemandWait() clock.Micros {
	return h.longestWait(func(j *jobtable.Job) bool { return j.Hosted == nil })
}

// hostedDemandWait is ownDemandWait for hosted jobs.
func (h *Host) hostedDemandWait() clock.Micros {
	return h.longestWait(func(j *jobtable.Job) bool { return j.Hosted != nil })
}

func (h *Host) longestWait(counts func(*jobtable.Job) bool) clock.Micros {
	now := h.Now()
	longest := clock.Micros(0)
	for _, j := range h.jobs.ByID {
		if counts(j) && !j.Over() && j.HasUnmetDemand(now) {
			longest = max(longest, now-j.UnmetSince)
		}
	}
	if longest < ShortageTime {
		return 0
	}
	return longest
}

// ShortageTime is how long work waits at least before there is a shortage of machines: a plan or two and a
// response of the cloud take as long.
const ShortageTime = 5 * clock.Second
