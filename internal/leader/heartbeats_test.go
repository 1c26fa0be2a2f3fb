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
	d, _, r := leaderWithEightTasks()
	for b.Loop() {
		r.Counter++
		d.Heartbeat(r, func(int, any) {})
	}
}

// BenchmarkChangedHeartbeat handles a heartbeat with a task that has changed and one that no record
// has: everything is reconciled, and the response carries a command.
func BenchmarkChangedHeartbeat(b *testing.B) {
	d, _, r := leaderWithEightTasks()
	r.Tasks = append(slices.Clone(r.Tasks), unassignedTask)
	waiting := slices.Clone(r.Tasks)
	waiting[0].Status = protocol.TaskWaiting
	lists := [][]protocol.TaskStatus{r.Tasks, waiting}
	for b.Loop() {
		r.Counter++
		r.Tasks = lists[r.Counter%2]
		d.Heartbeat(r, func(int, any) {})
	}
}

// queuedMailbox is a mailbox whose messages wait until the test lets them through.
type queuedMailbox struct {
	actortest.SynchronousMailbox
	waiting []func()
}

func (q *queuedMailbox) Post(message func()) { q.waiting = append(q.waiting, message) }

// A heartbeat that has waited for longer than its worker does is refused without being
// looked at: it says nothing of now, and it doesn't count as responded to.
func TestHeartbeatsThatWaitedTooLongAreRefused(t *testing.T) {
	d, box := newLeader()
	q := &queuedMailbox{SynchronousMailbox: *box}
	d.state.Mailbox = q
	heartbeat := func(counter int64, wait clock.Micros) int {
		got := 0
		d.Heartbeat(workerHeartbeat(1, counter), func(status int, _ any) { got = status })
		q.Now += wait
		d.state.RecordsKnownUntil, d.state.Term.ValidUntil = q.Now, q.Now+4*clock.Second
		for _, message := range q.waiting {
			message()
		}
		q.waiting = nil
		return got
	}
	got := heartbeat(1, 3500*clock.Millisecond)
	if got != http.StatusServiceUnavailable || d.machines.ByName["m-1"] != nil {
		t.Fatalf("a late heartbeat gets %d, the machine is %v; want 503 and nil", got,
			d.machines.ByName["m-1"])
	}
	got = heartbeat(2, 500*clock.Millisecond)
	if got != http.StatusOK || d.machines.ByName["m-1"] == nil {
		t.Fatalf("one in time gets %d, the machine is %v; want 200 and the machine", got,
			d.machines.ByName["m-1"])
	}
}

// A leader that was just elected knows of no cancellation before it has read the
// records, however long an earlier one might have responded, on a young process too.
func TestNothingIsKeptAliveBeforeRecordsAreRead(t *testing.T) {
	d, box := newLeader()
	for _, now := range []clock.Micros{clock.Second, 100 * clock.Second} {
		box.Now = now
		d.state.BegunAt, d.state.RecordsKnownUntil, d.state.Loaded = now, 0, false
		d.state.Term.RenewedAt, d.state.Term.ValidUntil = now, now+4*clock.Second
		if d.state.MayRespond() || d.state.Leads() {
			t.Fatalf("at %.0f s it keeps tasks alive without records", now.Seconds())
		}
		d.state.RecordsKnownUntil, d.state.Loaded = now, true
		if !d.state.MayRespond() || !d.state.Leads() {
			t.Fatalf("at %.0f s it doesn't keep them with records", now.Seconds())
		}
	}
}

// emptyStore is a key-value store that has no records, and keeps its response until the test asks.
type emptyStore struct {
	storetest.Service
	respond func()
}

func (l *emptyStore) List(_, _ string, done func(storetest.Reply[protocol.ItemList])) {
	l.respond = func() { done(storetest.Reply[protocol.ItemList]{Status: 200}) }
}

func (l *emptyStore) Watch(
	string, protocol.Revision, clock.Micros, func(storetest.Reply[protocol.WatchResponse]),
) {
}

// Heartbeats that come while a new leader reads its records are responded to once it has, or
// refused when that takes long: sent round the other nodes at once, all workers would
// be back a second later with new connections.
func TestEarlyHeartbeatsWaitForRecords(t *testing.T) {
	for _, read := range []bool{true, false} {
		d, _ := newLeader()
		store := &emptyStore{}
		useStore(d, store)
		d.state.Loaded, d.state.RecordsKnownUntil, d.heartbeats.Deferring = false, 0, true
		d.reader.Load()
		status := 0
		d.Heartbeat(workerHeartbeat(1, 1), func(s int, _ any) { status = s })
		if status != 0 {
			t.Fatalf("status %d before the records are read, want none", status)
		}
		want := http.StatusMisdirectedRequest
		if read {
			store.respond() // the records, and the shards of sharded ones after them
			if status != 0 {
				t.Fatalf("status %d before the shards are read, want none", status)
			}
			store.respond()
			want = http.StatusOK
		} else {
			d.heartbeats.HandleDeferred() // after maxDeferral
		}
		if status != want {
			t.Fatalf("records read %v: status %d, want %d", read, status, want)
		}
		d.Heartbeat(workerHeartbeat(1, 2), func(s int, _ any) { status = -s })
		if status != -want {
			t.Fatalf("records read %v: the next gets %d, want %d", read, -status, want)
		}
	}
}
