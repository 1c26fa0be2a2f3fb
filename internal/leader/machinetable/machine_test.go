package machinetable

import (
	"testing"

	"postpoint/internal/clock"
	"postpoint/internal/jobrecord"
	"postpoint/internal/protocol"
)

// The incarnation decides the order of heartbeats first: counters of different incarnations don't
// compare. By the counter alone, heartbeats of a new incarnation could count as outdated.
func TestHeartbeatNumbersAreOrdered(t *testing.T) {
	for _, c := range []struct {
		name    string
		n, than HeartbeatNumber
		after   bool
	}{
		{"next", HeartbeatNumber{1, 5}, HeartbeatNumber{1, 4}, true},
		{"same", HeartbeatNumber{1, 4}, HeartbeatNumber{1, 4}, false},
		{"earlier", HeartbeatNumber{1, 3}, HeartbeatNumber{1, 4}, false},
		{"later incarnation", HeartbeatNumber{2, 1}, HeartbeatNumber{1, 4}, true},
		{"earlier incarnation", HeartbeatNumber{1, 9}, HeartbeatNumber{2, 4}, false},
	} {
		if got := c.n.After(c.than); got != c.after {
			t.Errorf("%s: after %v, want %v", c.name, got, c.after)
		}
	}
}

// Neither a new incarnation nor an expired lease keeps the running tasks of the earlier incarnation:
// none of them runs any more. Only the expired lease also covers later incarnations that have
// placements but sent no heartbeat. A new incarnation drops the commands to the earlier one, whereas
// an expired lease keeps starts that may still arrive.
func TestNothingOutlivesItsLease(t *testing.T) {
	ref := AttemptRef{Job: "job-1", Task: 0, Attempt: 1}
	used := func() *Machine {
		m := newMachine("m-1", "", 0)
		m.HeartbeatReceived, m.Incarnation, m.PlacedTasksListed, m.ViewStale = true, 2, true, false
		m.Tasks[ref] = protocol.TaskStatus{Task: "job-1/0", Attempt: 1, Status: protocol.TaskRunning}
		m.RunningSince[ref] = 5
		m.Delivery(ref).InCommand = true
		m.Placements["job-1"] = map[int]jobrecord.Placement{0: {Task: 0, Attempt: 1, Machine: "m-1",
			Incarnation: 3}}
		return m
	}
	m := used()
	m.BeginIncarnation(4, 7)
	if m.Incarnation != 4 || m.IncarnationSeenAt != 7 || m.PlacedTasksListed || m.LeaseExpired ||
		len(m.RunningSince) > 0 ||
		len(m.Deliveries) > 0 {
		t.Errorf("state after a new incarnation: %+v %+v", m.IncarnationState, m.WorkerStatus)
	}
	m = used()
	m.ExpireLease()
	if m.Incarnation != 3 || !m.LeaseExpired || !m.ViewStale || len(m.RunningSince) > 0 || len(m.Tasks) > 0 {
		t.Errorf("state after an expired lease: %+v %+v", m.IncarnationState, m.WorkerStatus)
	}
	if !m.StartMayArrive(ref) {
		t.Error("an expired lease drops a start that may still arrive, want it kept")
	}
}

// Guards against a checkpoint that is begun too late because a heartbeat with the cloud's notice was slow:
// the remaining time counts from when the worker sent the heartbeat, so a slow one must not postpone the end.
func TestSlowHeartbeatDoesNotPostponeReclaim(t *testing.T) {
	notice := func(s float64) *float64 { return &s }
	m := newMachine("m-1", "", 0)
	for _, step := range []struct {
		name      string
		remaining *float64
		now, want clock.Micros
	}{
		{"no notice", nil, 10 * clock.Second, 0},
		{"slow by 3 s", notice(30), 13 * clock.Second, 43 * clock.Second},
		{"punctual", notice(26), 14 * clock.Second, 40 * clock.Second},
		{"slow by 2 s", notice(25), 17 * clock.Second, 40 * clock.Second},
		{"the notice is withdrawn", nil, 18 * clock.Second, 0},
		{"another notice", notice(60), 20 * clock.Second, 80 * clock.Second},
	} {
		m.applyReclaimNotice(step.remaining, step.now)
		if m.ReclaimAt != step.want {
			t.Errorf("%s: reclaimed at %.3f s, want %.3f s", step.name, m.ReclaimAt.Seconds(), step.want.Seconds())
		}
	}
}
