package delegation

import (
	"testing"

	"pgregory.net/rapid"

	"postpoint/internal/clock"
)

// transferModel is a simple model of one delegation of three tasks. It tracks the actual state, which neither
// cell knows. Messages are delayed, duplicated, reordered and lost. Both leaders may be replaced at any time.
// Tasks without a permission stay on the host's machines for as long as they can.
type transferModel struct {
	now clock.Micros // clock of both cells; the margins cover the drift between them

	origin      *Delegation
	freed       map[int]bool // tasks that the origin may start, by its record
	cancelled   bool
	cancelledAt clock.Micros // when the user got the confirmation

	accepted   bool
	closed     bool
	done       map[int]bool // completed tasks, by the host's record
	onHost     map[int]bool // tasks on the host's machines
	permission *Permission
	// lastUntil is when the last permission of any of the host's leaders expires.
	lastUntil clock.Micros

	heartbeats []sentHeartbeat
	responses  []sentResponse
}

type sentHeartbeat struct {
	status Status
	sentAt clock.Micros
}

type sentResponse struct {
	directive Directive
	sentAt    clock.Micros
}

const (
	modelTasks              = 3
	modelCancelTime         = 30 * clock.Second
	modelMaxTerminationTime = 20 * clock.Second // E of docs/cells.md
	modelMaxPermission      = modelCancelTime - modelMaxTerminationTime - clock.Second
	// modelFirstResponseTime is how long a host's leader waits for the origin's first response.
	modelFirstResponseTime = 4 * clock.Second
)

func newTransferModel() *transferModel {
	m := &transferModel{
		now:    100 * clock.Second,
		freed:  map[int]bool{},
		done:   map[int]bool{},
		onHost: map[int]bool{},
	}
	m.origin = New(Record{Number: 1, Host: "beta", Job: "job-1", Tasks: taskSet(0, 1, 2), State: Offered})
	m.origin.Offerable = true
	return m
}

// advance moves the clock forward. It removes the tasks from the host's machines once they can't be there any
// more.
func (m *transferModel) advance(d clock.Micros) {
	m.now += d
	if m.permission != nil {
		m.permission.CheckExpiry(m.now)
	}
	if m.now >= m.lastUntil+modelMaxTerminationTime {
		clear(m.onHost)
	}
}

// status returns the status that the host would send now.
func (m *transferModel) status() Status {
	s := Status{Number: 1, Job: "job-1", Closed: m.closed}
	for task := range modelTasks {
		if m.done[task] {
			s.Done.Add(task)
		}
		if m.onHost[task] && !m.done[task] {
			s.Held.Add(task)
		}
	}
	return s
}

// respond makes the origin process a heartbeat and send its response. lag is how long before now the origin
// last knew all cancellations.
func (m *transferModel) respond(r sentHeartbeat, lag clock.Micros) {
	if m.origin.IsOver() {
		m.send(Directive{Number: 1, Action: Forget}, r)
		return
	}
	m.free(m.origin.ApplyStatus(r.status, m.now))
	if m.cancelled {
		m.send(Directive{Number: 1, Action: Cancel}, r)
		return
	}
	known := m.now - lag
	length := known + modelMaxPermission - m.now
	if length > 0 && !m.origin.IsOver() {
		m.origin.RecordPermission(known, modelCancelTime)
		m.send(Directive{Number: 1, Action: m.origin.NextAction(false), PermissionFor: length}, r)
	}
}

func (m *transferModel) send(directive Directive, to sentHeartbeat) {
	m.responses = append(m.responses, sentResponse{directive, to.sentAt})
}

func (m *transferModel) free(f ReturnedTasks) {
	for _, task := range f.Unfinished {
		m.freed[task] = true
	}
}

// step performs one random event.
func (m *transferModel) step(t *rapid.T) {
	switch rapid.IntRange(0, 13).Draw(t, "step") {
	case 0, 1:
		m.timePasses(t)
	case 2:
		m.hostAccepts()
	case 3:
		m.hostSendsHeartbeat()
	case 4, 5:
		m.heartbeatArrives(t)
	case 6, 7:
		m.responseArrives(t)
	case 8, 9:
		m.taskStarts(t)
	case 10:
		m.taskEnds(t)
	case 11:
		m.hostCloses(t)
	case 12:
		m.leaderIsReplaced(t)
	case 13:
		m.originActs(t)
	}
}

func (m *transferModel) timePasses(t *rapid.T) {
	bounds := []clock.Micros{clock.Second, 4 * clock.Second, 40 * clock.Second}
	longest := rapid.SampledFrom(bounds).Draw(t, "longest")
	m.advance(clock.Micros(rapid.Int64Range(0, int64(longest)).Draw(t, "time")))
}

func (m *transferModel) hostAccepts() {
	if !m.accepted && !m.origin.IsOver() {
		m.accepted, m.permission = true, NewPermission(m.now+modelFirstResponseTime)
	}
}

func (m *transferModel) hostSendsHeartbeat() {
	if m.accepted {
		m.heartbeats = append(m.heartbeats, sentHeartbeat{m.status(), m.now})
	}
}

// heartbeatArrives delivers a random heartbeat of those sent so far. The same one may arrive several times.
func (m *transferModel) heartbeatArrives(t *rapid.T) {
	if len(m.heartbeats) == 0 {
		return
	}
	lag := clock.Micros(rapid.Int64Range(0, int64(3*clock.Second)).Draw(t, "lag"))
	m.respond(m.heartbeats[rapid.IntRange(0, len(m.heartbeats)-1).Draw(t, "which")], lag)
}

// responseArrives delivers a random response of those sent so far. The same one may arrive several times.
func (m *transferModel) responseArrives(t *rapid.T) {
	if len(m.responses) == 0 || m.permission == nil {
		return
	}
	response := m.responses[rapid.IntRange(0, len(m.responses)-1).Draw(t, "which")]
	m.permission.Apply(response.directive, response.sentAt, m.now)
	if m.permission.MayKeep(m.now) {
		m.lastUntil = max(m.lastUntil, m.permission.ExpiresAt())
	}
}

func drawTask(t *rapid.T) int { return rapid.IntRange(0, modelTasks-1).Draw(t, "task") }

func (m *transferModel) taskStarts(t *rapid.T) {
	task := drawTask(t)
	if m.accepted && !m.closed && m.permission.MayStart(m.now) && !m.done[task] {
		m.onHost[task] = true
	}
}

func (m *transferModel) taskEnds(t *rapid.T) {
	task := drawTask(t)
	if m.onHost[task] {
		delete(m.onHost, task)
		m.done[task] = m.done[task] || rapid.Bool().Draw(t, "completes")
	}
}

func (m *transferModel) hostCloses(t *rapid.T) {
	if m.accepted && (m.permission.Closing || rapid.Bool().Draw(t, "returns tasks")) {
		m.closed = true
	}
}

// leaderIsReplaced replaces the leader of either cell.
func (m *transferModel) leaderIsReplaced(t *rapid.T) {
	if m.accepted && rapid.Bool().Draw(t, "host's") {
		m.permission = NewPermission(m.now + modelFirstResponseTime)
		return
	}
	outstanding := m.origin.Outstanding
	m.origin = Restore(m.origin.Record, m.now, modelCancelTime)
	m.origin.Outstanding = outstanding
}

func (m *transferModel) originActs(t *rapid.T) {
	switch rapid.IntRange(0, 2).Draw(t, "origin") {
	case 0:
		m.origin.Recall()
	case 1:
		if m.origin.IsExpired(m.now) && !m.origin.IsOver() {
			m.free(m.origin.Expire())
		}
	case 2:
		if !m.cancelled {
			m.cancelled, m.cancelledAt = true, m.now
		}
	}
}

// check fails the test if a task may run twice, or runs too long after its cancellation.
func (m *transferModel) check(t *rapid.T) {
	for task := range modelTasks {
		if m.freed[task] && m.onHost[task] && !m.done[task] {
			t.Fatalf("task %d may start at the origin and is on a machine of the host, want at most one", task)
		}
		if m.cancelledAt != 0 && m.now > m.cancelledAt+modelCancelTime && m.onHost[task] {
			t.Fatalf("task %d is on the host's machines %.1f s after its cancellation, want at most %.0f s",
				task, (m.now - m.cancelledAt).Seconds(), modelCancelTime.Seconds())
		}
	}
}

// A task must not be on the host's machines after the origin may start it again, nor longer than cancel_s
// after the user got the confirmation of its cancellation. Lost, late and duplicated messages and new leaders
// could cause either failure.
func TestTasksNeverRunTwiceNorAfterCancellation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newTransferModel()
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			m.step(t)
			m.check(t)
		}
	})
}
