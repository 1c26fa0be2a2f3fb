package machinetable

import (
	"testing"

	"postpoint/internal/jobrecord"
	"postpoint/internal/protocol"
)

// Heartbeats are ordered by incarnation first: counters don't compare across incarnations.
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

// A new incarnation, and the end of a lease, leave nothing of what ran before. Only the latter covers
// incarnations that were placed in without being heard of.
func TestNothingOutlivesItsLease(t *testing.T) {
	ref := AttemptRef{Job: "job-1", Task: 0, Attempt: 1}
	used := func() *Machine {
		m := newMachine("m-1", "", 0)
		m.Seen, m.Incarnation, m.Steady, m.ViewStale = true, 2, true, false
		m.Tasks[ref] = protocol.TaskStatus{Task: "job-1/0", Attempt: 1, Status: protocol.TaskRunning}
		m.RunningSince[ref] = 5
		m.Delivery(ref).InCommand = true
		m.Placements["job-1"] = map[int]jobrecord.Placement{0: {Task: 0, Attempt: 1, Machine: "m-1",
			Incarnation: 3}}
		return m
	}
	m := used()
	m.BeginIncarnation(4, 7)
	if m.Incarnation != 4 || m.IncarnationSeenAt != 7 || m.Steady || m.LeaseExpired ||
		len(m.RunningSince) > 0 ||
		len(m.Deliveries) > 0 {
		t.Errorf("a new incarnation leaves %+v %+v", m.IncarnationState, m.WorkerStatus)
	}
	m = used()
	m.ExpireLease()
	if m.Incarnation != 3 || !m.LeaseExpired || !m.ViewStale || len(m.RunningSince) > 0 || len(m.Tasks) > 0 {
		t.Errorf("an expired lease leaves %+v %+v", m.IncarnationState, m.WorkerStatus)
	}
	if !m.StartMayArrive(ref) {
		t.Error("a start on its way is forgotten with the lease, want it kept")
	}
}
