package delegation

import (
	"testing"

	"pgregory.net/rapid"

	"postpoint/internal/clock"
)

// transferModel is a slow, plain model of one delegation of three tasks: the truth that neither cell
// knows. Messages are late, repeated, out of order and lost; both leaders may be replaced at any time;
// what a host is no longer permitted stays on its machines for as long as it may.
type transferModel struct {
	now clock.Micros // of both cells, apart from drift, which the margins cover

	origin      *Delegation
	freed       map[int]bool // by the origin's record: it may start them
	cancelled   bool
	cancelledAt clock.Micros // when its user was told so

	accepted bool
	closed   bool
	done     map[int]bool // by the host's record
	onHost   map[int]bool // on its machines
	permit   *Permission
	// lastUntil is the end of the latest permission of any leader of the host.
	lastUntil clock.Micros

	heartbeats []sentHeartbeat
	responses  []sentResponse
}

type sentHeartbeat struct {
	status Status
	sentAt clock.Micros
}

type sentResponse struct {
	ruling Directive
	sentAt clock.Micros
}

const (
	modelTasks  = 3
	modelCancel = 30 * clock.Second
	modelClear  = 20 * clock.Second // E of docs/cells.md
	modelPermit = modelCancel - modelClear - clock.Second
	// modelPatience is how long a host's leader waits for the origin's first response.
	modelPatience = 4 * clock.Second
)

func newTransferModel() *transferModel {
	m := &transferModel{
		now:    100 * clock.Second,
		freed:  map[int]bool{},
		done:   map[int]bool{},
		onHost: map[int]bool{},
	}
	m.origin = New(Record{Number: 1, Host: "beta", Job: "job-1", Tasks: ranges(0, 1, 2), State: Offered})
	m.origin.Offerable = true
	return m
}

// pass lets time go by; what may no longer be on the host's machines goes.
func (m *transferModel) pass(d clock.Micros) {
	m.now += d
	if m.permit != nil {
		m.permit.CheckExpiry(m.now)
	}
	if m.now >= m.lastUntil+modelClear {
		clear(m.onHost)
	}
}

// status is what the host sends now.
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

// respond is the origin's part of an exchange. It knew all cancellations of lag ago.
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
	length := known + modelPermit - m.now
	if length > 0 && !m.origin.IsOver() {
		m.origin.NotePermission(known, modelCancel)
		m.send(Directive{Number: 1, Action: m.origin.NextAction(false), PermissionFor: length}, r)
	}
}

func (m *transferModel) send(ruling Directive, to sentHeartbeat) {
	m.responses = append(m.responses, sentResponse{ruling, to.sentAt})
}

func (m *transferModel) free(f FreedTasks) {
	for _, task := range f.Unfinished {
		m.freed[task] = true
	}
}

// step lets one thing happen.
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
	m.pass(clock.Micros(rapid.Int64Range(0, int64(longest)).Draw(t, "time")))
}

func (m *transferModel) hostAccepts() {
	if !m.accepted && !m.origin.IsOver() {
		m.accepted, m.permit = true, NewPermission(m.now+modelPatience)
	}
}

func (m *transferModel) hostSendsHeartbeat() {
	if m.accepted {
		m.heartbeats = append(m.heartbeats, sentHeartbeat{m.status(), m.now})
	}
}

// heartbeatArrives delivers any of the heartbeats, as often as it likes.
func (m *transferModel) heartbeatArrives(t *rapid.T) {
	if len(m.heartbeats) == 0 {
		return
	}
	lag := clock.Micros(rapid.Int64Range(0, int64(3*clock.Second)).Draw(t, "lag"))
	m.respond(m.heartbeats[rapid.IntRange(0, len(m.heartbeats)-1).Draw(t, "which")], lag)
}

// responseArrives delivers any of the responses, as often as it likes.
func (m *transferModel) responseArrives(t *rapid.T) {
	if len(m.responses) == 0 || m.permit == nil {
		return
	}
	a := m.responses[rapid.IntRange(0, len(m.responses)-1).Draw(t, "which")]
	m.permit.Apply(a.ruling, a.sentAt, m.now)
	if m.permit.MayKeep(m.now) {
		m.lastUntil = max(m.lastUntil, m.permit.ExpiresAt())
	}
}

func drawTask(t *rapid.T) int { return rapid.IntRange(0, modelTasks-1).Draw(t, "task") }

func (m *transferModel) taskStarts(t *rapid.T) {
	task := drawTask(t)
	if m.accepted && !m.closed && m.permit.MayStart(m.now) && !m.done[task] {
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
	if m.accepted && (m.permit.Closing || rapid.Bool().Draw(t, "gives back")) {
		m.closed = true
	}
}

// leaderIsReplaced replaces the leader of either cell.
func (m *transferModel) leaderIsReplaced(t *rapid.T) {
	if m.accepted && rapid.Bool().Draw(t, "host's") {
		m.permit = NewPermission(m.now + modelPatience)
		return
	}
	left := m.origin.Outstanding
	m.origin = Restore(m.origin.Record, m.now, modelCancel)
	m.origin.Outstanding = left
}

func (m *transferModel) originActs(t *rapid.T) {
	switch rapid.IntRange(0, 2).Draw(t, "home") {
	case 0:
		m.origin.Recall()
	case 1:
		if m.origin.IsClear(m.now) && !m.origin.IsOver() {
			m.free(m.origin.Expire())
		}
	case 2:
		if !m.cancelled {
			m.cancelled, m.cancelledAt = true, m.now
		}
	}
}

// check fails the test if a task is where it must not be.
func (m *transferModel) check(t *rapid.T) {
	for task := range modelTasks {
		if m.freed[task] && m.onHost[task] && !m.done[task] {
			t.Fatalf("task %d is free for the origin and on the host's machines, want one of them", task)
		}
		if m.cancelledAt != 0 && m.now > m.cancelledAt+modelCancel && m.onHost[task] {
			t.Fatalf("task %d is on the host's machines %.1f s after its cancellation, want at most %.0f s",
				task, (m.now - m.cancelledAt).Seconds(), modelCancel.Seconds())
		}
	}
}

// Whatever is lost, late, repeated or replaced: no task is on the host's machines once the origin has
// it back, and none is there longer than cancel_s after its user was told.
func TestTasksNeverRunTwiceNorAfterCancellation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newTransferModel()
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			m.step(t)
			m.check(t)
		}
	})
}
