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
)

// Exchanger sends a heartbeat to a controller of another cell. It calls done with the response; ok is false
// if there is none.
type Exchanger interface {
	Exchange(address string, heartbeat delegation.Heartbeat,
		done func(response delegation.HeartbeatResponse, ok bool))
}

// ExchangeTimeout is how long a cell waits for another cell's response.
const ExchangeTimeout = clock.Second

const (
	// busyInterval is the interval of heartbeats to origin cells whose jobs this cell hosts.
	busyInterval = clock.Second
	// idleInterval is the interval of heartbeats to other cells.
	idleInterval = 2 * clock.Second
	// coalesceDelay lets events that happen at about the same time share one heartbeat.
	coalesceDelay = 100 * clock.Millisecond
	// circuitFailures is the largest number of consecutive failures after which a cell still counts as
	// reachable.
	circuitFailures = 5
)

// The backoff after failed exchanges doubles up to a limit, and has jitter.
const (
	firstBackoff = 500 * clock.Millisecond
	maxBackoff   = 15 * clock.Second
	maxDoublings = 5
	jitterShare  = 0.25
)

// circuitOpen reports whether more than circuitFailures consecutive heartbeats have failed. The cell then
// counts as unreachable, and heartbeats to it are sent at long intervals only.
func (s *heartbeatStream) circuitOpen() bool { return s.failures > circuitFailures }

// due reports whether the next heartbeat is to be sent.
func (s *heartbeatStream) due(now clock.Micros) bool { return !s.inFlight && now >= s.nextAt }

// address returns the address of the controller to which the next heartbeat goes.
func (s *heartbeatStream) address(origin *cells.Cell) string {
	if s.leader != "" {
		return s.leader
	}
	return origin.Controllers[s.attempt%len(origin.Controllers)].Address
}

// sentHeartbeat is a heartbeat whose response is outstanding.
type sentHeartbeat struct {
	link    *Link
	origin  *cells.Cell
	address string
	sentAt  clock.Micros
	jobs    []*jobtable.Job // all jobs that the origin cell has delegated
}

// SendHeartbeats sends the heartbeats that are due. It doesn't need a leader's lease: a leader that may still
// respond to its workers may also renew its permissions for hosted jobs.
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
	handle := func(response delegation.HeartbeatResponse, ok bool) { h.handleResponse(&sent, response, ok) }
	h.cells.exchange.Exchange(sent.address, h.heartbeat(link, jobs), term.Guarded2(h.State, handle))
}

// heartbeat returns the next heartbeat to the origin cell of the given jobs. It contains the status of as
// many jobs as a heartbeat may list.
func (h *Host) heartbeat(link *Link, jobs []*jobtable.Job) delegation.Heartbeat {
	heartbeat := delegation.Heartbeat{
		Host:               h.cells.Directory.Own.Name,
		Origin:             link.cell,
		Epoch:              h.Term.Epoch,
		Sequence:           link.outgoing.sequence,
		MaxTerminationTime: cells.MaxTerminationTime(h.Settings.Deployment.Workers.Lease()),
		Load:               h.ownLoad(),
	}
	for _, j := range jobs {
		if status, known := h.StatusOf(j); known && len(heartbeat.Statuses) < delegation.MaxStatuses {
			heartbeat.Statuses = append(heartbeat.Statuses, status)
		}
	}
	return heartbeat
}

// handleResponse handles the outcome of a heartbeat. It applies the directives and offers of the response, or
// retries if there is no response or the controller isn't the leader.
func (h *Host) handleResponse(sent *sentHeartbeat, response delegation.HeartbeatResponse, ok bool) {
	stream := &sent.link.outgoing
	stream.inFlight = false
	if !ok || response.Result != delegation.Processed {
		h.handleFailure(sent, response, ok)
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
	h.applyDirectives(sent.jobs, response.Directives, sent.sentAt)
	for _, offer := range response.Offers {
		h.HandleOffer(sent.link, offer)
	}
	h.CheckHostedJobs()
	h.steps.Wake()
}

// handleFailure schedules the next heartbeat for the leader that the response names or, if it names none, for
// the next controller of the cell. The backoff grows once each controller has failed.
func (h *Host) handleFailure(sent *sentHeartbeat, response delegation.HeartbeatResponse, ok bool) {
	stream := &sent.link.outgoing
	stream.leader = ""
	stream.attempt++
	if ok && response.Leader != sent.address && sent.origin.HasAddress(response.Leader) {
		stream.leader = response.Leader
	}
	stream.failures++
	if stream.failures == circuitFailures+1 {
		slog.Info("cell does not respond", "cell", sent.link.cell,
			"silent_s", (h.Now() - stream.respondedAt).Seconds())
	}
	stream.nextAt = h.Now() + h.backoff(stream.failures-len(sent.origin.Controllers))
}

// backoff returns the pause before the next heartbeat. failures counts the failures beyond the first one of
// each controller.
func (h *Host) backoff(failures int) clock.Micros {
	pause := firstBackoff << min(max(failures, 0), maxDoublings)
	jitter := 1 - jitterShare + 2*jitterShare*h.Random.Float64()
	return min(clock.Micros(float64(pause)*jitter), maxBackoff)
}

// scheduleEarlyHeartbeat schedules an early heartbeat that reports changes of hosted jobs to their origin
// cell. It does nothing if the cell is unreachable.
func (h *Host) scheduleEarlyHeartbeat(origin string) {
	link := h.cells.ByCell[origin]
	if link == nil || link.outgoing.circuitOpen() {
		return
	}
	if soon := h.Now() + coalesceDelay; link.outgoing.nextAt > soon {
		link.outgoing.nextAt = soon
		h.AfterInTerm(coalesceDelay, h.SendHeartbeats)
	}
}

// StatusOf returns the status of a hosted job for its origin cell. known is false while the job's record has
// to be read, because the host may report completed tasks only from the stored record.
func (h *Host) StatusOf(j *jobtable.Job) (status delegation.Status, known bool) {
	_, originID, number, ok := jobrecord.ParseHostedJobID(j.Spec.ID)
	if !ok || j.ReadPending() {
		return status, false
	}
	status = delegation.Status{
		Number: number,
		Job:    originID,
		Closed: closedAsStored(j),
		Done:   j.StoredDone,
		Reason: j.Cause,
	}
	for task, p := range ordered.ByKey(j.Placements) {
		status.Held.Add(task)
		if h.isRunning(j, p) {
			status.Running++
		}
	}
	// The count of pending tasks may be negative: the completed tasks of a gang may still have placements.
	status.Pending = max(0, j.PendingCount())
	return status, true
}

// closedAsStored reports whether a hosted job is closed, or final, according to its stored record.
func closedAsStored(j *jobtable.Job) bool {
	return j.Hosted.Closed && j.StoredCount >= j.ClosedAtChange || j.Final() && j.IsStored()
}

// isRunning reports whether a placement's machine has reported the task as running.
func (h *Host) isRunning(j *jobtable.Job, p jobrecord.Placement) bool {
	m := h.machines.ByName[p.Machine]
	return m != nil && m.RunningSince[j.AttemptOf(p)] != 0
}
