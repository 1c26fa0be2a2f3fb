package leader

import (
	"testing"

	"postpoint/internal/actor/actortest"
	"postpoint/internal/clock"
	"postpoint/internal/protocol"
	"postpoint/internal/statestore"
)

func BenchmarkHeartbeat(b *testing.B) {
	d, _, r := eightRunning()
	for b.Loop() {
		r.Counter++
		d.Heartbeat(r, func(int, any) {})
	}
}

// queued is a mailbox whose messages wait until the test lets them through.
type queued struct {
	actortest.Still
	waiting []func()
}

func (q *queued) Post(message func()) { q.waiting = append(q.waiting, message) }

// A report that has waited for longer than its worker does is refused without being
// looked at: it says nothing of now, and it wasn't answered.
func TestReportsThatWaitedTooLongAreRefused(t *testing.T) {
	d, box := leader()
	q := &queued{Still: *box}
	d.state.Mailbox = q
	heartbeat := func(counter int64, wait clock.Micros) int {
		got := 0
		d.Heartbeat(report(1, counter), func(status int, _ any) { got = status })
		q.Now += wait
		d.state.FreshAt, d.state.Term.ValidUntil = q.Now, q.Now+4*clock.Second
		for _, message := range q.waiting {
			message()
		}
		q.waiting = nil
		return got
	}
	if got := heartbeat(1, 3500*clock.Millisecond); got != 503 || d.machines.ByName["m-1"] != nil {
		t.Fatalf("a late report is answered %d, the machine is %v", got, d.machines.ByName["m-1"])
	}
	if got := heartbeat(2, 500*clock.Millisecond); got != 200 || d.machines.ByName["m-1"] == nil {
		t.Fatalf("one in time is answered %d", got)
	}
}

// A leader that was just elected knows of no cancellation before it has read the
// records, however long an earlier one might have answered, on a young process too.
func TestNothingIsKeptBeforeTheRecordsAreRead(t *testing.T) {
	d, box := leader()
	for _, now := range []clock.Micros{clock.Second, 100 * clock.Second} {
		box.Now = now
		d.state.BegunAt, d.state.FreshAt, d.state.Loaded = now, 0, false
		d.state.Term.RenewedAt, d.state.Term.ValidUntil = now, now+4*clock.Second
		if d.state.MayAnswer() || d.state.Leads() {
			t.Fatalf("at %.0f s it keeps tasks alive without records", now.Seconds())
		}
		d.state.FreshAt, d.state.Loaded = now, true
		if !d.state.MayAnswer() || !d.state.Leads() {
			t.Fatalf("at %.0f s it doesn't keep them with records", now.Seconds())
		}
	}
}

// lists is a state service that has no records, and keeps the answer until the test asks.
type lists struct {
	statestore.Store
	answer func()
}

func (l *lists) List(_, _ string, done func(statestore.Reply[protocol.ItemList])) {
	l.answer = func() { done(statestore.Reply[protocol.ItemList]{Status: 200}) }
}

func (l *lists) Follow(string, int64, clock.Micros, func(statestore.Reply[protocol.FollowAnswer])) {}

// Reports that come while a new leader reads its records are answered once it has, or
// refused when that takes long: sent round the other nodes at once, all workers would
// be back a second later with new connections.
func TestEarlyReportsWaitForRecords(t *testing.T) {
	for _, read := range []bool{true, false} {
		d, _ := leader()
		store := &lists{}
		useStore(d, store)
		d.state.Loaded, d.state.FreshAt, d.heartbeats.Deferring = false, 0, true
		d.reader.Load()
		status := 0
		d.Heartbeat(report(1, 1), func(s int, _ any) { status = s })
		if status != 0 {
			t.Fatalf("answered %d before the records are read", status)
		}
		want := 421
		if read {
			store.answer() // the records, and the parts of divided ones after them
			if status != 0 {
				t.Fatalf("answered %d before the parts are read", status)
			}
			store.answer()
			want = 200
		} else {
			d.heartbeats.AnswerDeferred() // after deferredTime
		}
		if status != want {
			t.Fatalf("records read %v: answered %d", read, status)
		}
		d.Heartbeat(report(1, 2), func(s int, _ any) { status = -s })
		if status != -want {
			t.Fatalf("records read %v: the next is answered %d", read, -status)
		}
	}
}
