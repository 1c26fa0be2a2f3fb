package leader

import (
	"net/http"
	"slices"
	"testing"

	"postpoint/internal/actor/actortest"
	"postpoint/internal/clock"
	"postpoint/internal/kvstore/storetest"
	"postpoint/internal/protocol"
)

// BenchmarkHeartbeat handles a heartbeat of eight running tasks that changes nothing.
func BenchmarkHeartbeat(b *testing.B) {
	l, _, r := leaderWithEightTasks()
	for b.Loop() {
		r.Counter++
		l.Heartbeat(r, func(int, any) {})
	}
}

// BenchmarkChangedHeartbeat handles a heartbeat with a changed task and an unassigned one: the leader
// reconciles all tasks, and the response carries a command.
func BenchmarkChangedHeartbeat(b *testing.B) {
	l, _, r := leaderWithEightTasks()
	r.Tasks = append(slices.Clone(r.Tasks), unassignedTask)
	waiting := slices.Clone(r.Tasks)
	waiting[0].Status = protocol.TaskWaiting
	lists := [][]protocol.TaskStatus{r.Tasks, waiting}
	for b.Loop() {
		r.Counter++
		r.Tasks = lists[r.Counter%2]
		l.Heartbeat(r, func(int, any) {})
	}
}

// queuedMailbox is a mailbox that holds messages until the test runs them.
type queuedMailbox struct {
	actortest.SynchronousMailbox
	waiting []func()
}

func (q *queuedMailbox) Post(message func()) { q.waiting = append(q.waiting, message) }

// A heartbeat that has waited in the mailbox for longer than its worker waits for a response says
// nothing about the present. The leader refuses it without reading it, and doesn't count it as responded
// to: it would otherwise act on outdated statuses, and assume a lease renewal that the worker hasn't
// received.
func TestHeartbeatsThatWaitedTooLongAreRefused(t *testing.T) {
	l, mailbox := newLeader()
	q := &queuedMailbox{SynchronousMailbox: *mailbox}
	l.state.Mailbox = q
	heartbeat := func(counter int64, wait clock.Micros) int {
		got := 0
		l.Heartbeat(workerHeartbeat(1, counter), func(status int, _ any) { got = status })
		q.Now += wait
		l.state.RecordsKnownUntil, l.state.Term.ValidUntil = q.Now, q.Now+4*clock.Second
		for _, message := range q.waiting {
			message()
		}
		q.waiting = nil
		return got
	}
	got := heartbeat(1, 3500*clock.Millisecond)
	if got != http.StatusServiceUnavailable || l.machines.ByName["m-1"] != nil {
		t.Fatalf("late heartbeat: got %d and machine %v, want 503 and nil", got,
			l.machines.ByName["m-1"])
	}
	got = heartbeat(2, 500*clock.Millisecond)
	if got != http.StatusOK || l.machines.ByName["m-1"] == nil {
		t.Fatalf("heartbeat in time: got %d and machine %v, want 200 and the machine", got,
			l.machines.ByName["m-1"])
	}
}

// A new leader knows no cancellations until it has read the records. Until then it must not respond to
// heartbeats, even if an earlier leader might still have responded, and even if its process has just
// started: a response would keep cancelled tasks running.
func TestNoLeaseIsRenewedBeforeRecordsAreRead(t *testing.T) {
	l, mailbox := newLeader()
	for _, now := range []clock.Micros{clock.Second, 100 * clock.Second} {
		mailbox.Now = now
		l.state.BegunAt, l.state.RecordsKnownUntil, l.state.Loaded = now, 0, false
		l.state.Term.RenewedAt, l.state.Term.ValidUntil = now, now+4*clock.Second
		if l.state.MayRespond() || l.state.Leads() {
			t.Fatalf("at %.0f s the leader responds or leads without records", now.Seconds())
		}
		l.state.RecordsKnownUntil, l.state.Loaded = now, true
		if !l.state.MayRespond() || !l.state.Leads() {
			t.Fatalf("at %.0f s the leader doesn't respond or doesn't lead with records", now.Seconds())
		}
	}
}

// emptyStore is a key-value store without records that holds the response to a list request until the
// test calls respond.
type emptyStore struct {
	storetest.Service
	respond func()
}

func (s *emptyStore) List(_, _ string, done func(storetest.Reply[protocol.ItemList])) {
	s.respond = func() { done(storetest.Reply[protocol.ItemList]{Status: 200}) }
}

func (s *emptyStore) Watch(
	string, protocol.Revision, clock.Micros, func(storetest.Reply[protocol.WatchResponse]),
) {
}

// Heartbeats that arrive while a new leader reads its records get a response once it has read them, or a
// refusal if that takes too long. If the leader refused them at once, all workers would try the other
// controllers and return a second later with new connections.
func TestEarlyHeartbeatsWaitForRecords(t *testing.T) {
	for _, read := range []bool{true, false} {
		l, _ := newLeader()
		store := &emptyStore{}
		useStore(l, store)
		l.state.Loaded, l.state.RecordsKnownUntil, l.heartbeats.Deferring = false, 0, true
		l.reader.Load()
		status := 0
		l.Heartbeat(workerHeartbeat(1, 1), func(s int, _ any) { status = s })
		if status != 0 {
			t.Fatalf("got status %d before the records are read, want none", status)
		}
		want := http.StatusMisdirectedRequest
		if read {
			store.respond() // to the list of records; the list of shards follows
			if status != 0 {
				t.Fatalf("got status %d before the shards are read, want none", status)
			}
			store.respond()
			want = http.StatusOK
		} else {
			l.heartbeats.HandleDeferred() // after maxDeferral
		}
		if status != want {
			t.Fatalf("records read %v: got status %d, want %d", read, status, want)
		}
		l.Heartbeat(workerHeartbeat(1, 2), func(s int, _ any) { status = -s })
		if status != -want {
			t.Fatalf("records read %v: got status %d for the next heartbeat, want %d", read, -status, want)
		}
	}
}
