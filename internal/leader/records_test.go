package leader

import (
	"fmt"
	"testing"

	"postpoint/internal/leader/jobtable"
	"postpoint/internal/leader/recordstore"
	"postpoint/internal/leader/term"
	"postpoint/internal/ledger"
	"postpoint/internal/protocol"
	"postpoint/internal/statestore"
)

// A record read before a change and answered after it doesn't undo the change,
// not even while the record is to be read again.
func TestLateReadsDontBringPlacesBack(t *testing.T) {
	d, j, m, _ := one(t)
	old := j.Encode()
	d.reconciler.Observe(m, report(1, 1, protocol.TaskReport{Task: "job-1/0", Attempt: 1, Status: protocol.TaskExited, Cause: protocol.CauseStopped}))
	d.reader.Adopt(ledger.Key("job-1"), j.Encode(), 6)
	j.NoteRecordEvent(jobtable.EventRecordConflict)
	d.reader.Adopt(ledger.Key("job-1"), old, 5)
	if len(j.Placed) != 0 || j.Version != 6 {
		t.Fatalf("placed %v at version %d", j.Placed, j.Version)
	}
}

// What is followed can be older than what a transaction's answer has told: a
// job that is over and dropped isn't brought back by it.
func TestOldEventsDontBringJobsBack(t *testing.T) {
	d, j, m, _ := one(t)
	old := j.Encode()
	d.reconciler.Observe(m, report(1, 1, protocol.TaskReport{Task: "job-1/0", Attempt: 1, Status: protocol.TaskExited, Cause: protocol.CauseDone}))
	j.InFlight = true
	d.writer.HandleResult([]recordstore.Write{{J: j, V: &j.StoredValue, Part: recordstore.HeadIndex, Changed: j.ChangeCount}}, statestore.Reply[protocol.TxnAnswer]{Status: 200, Value: protocol.TxnAnswer{Revision: 6}})
	if len(d.jobs.ByID) != 0 {
		t.Fatal("the job isn't over")
	}
	d.reader.Adopt(ledger.Key("job-1"), old, 5)
	if len(d.jobs.ByID) != 0 {
		t.Fatal("an old event brought the job back")
	}
}

// commits is a state service that keeps transactions until the test answers.
type commits struct {
	statestore.Store
	txns   []protocol.Txn
	answer func(statestore.Reply[protocol.TxnAnswer])
}

func (c *commits) Commit(_ statestore.Use, t protocol.Txn, done func(statestore.Reply[protocol.TxnAnswer])) {
	c.txns, c.answer = append(c.txns, t), done
}

// A change without an answer may be carried out seconds later. Its places stay taken,
// and it goes again at the same versions, so that only one of the two can apply.
func TestUnansweredChangesGoAgain(t *testing.T) {
	d, box := leader()
	store := &commits{}
	useStore(d, store)
	content := ledger.New(protocol.JobSpec{ID: "job-1", Shape: protocol.ShapeArray, Tasks: 2}, 1)
	d.reader.Adopt(ledger.Key("job-1"), content.Encode(), 5)
	j := d.jobs.ByID["job-1"]
	d.jobs.AddPlacement(j, ledger.Placement{Task: 0, Attempt: 1, Machine: "m-1", Session: 1})
	d.writer.Commit()
	store.answer(statestore.Reply[protocol.TxnAnswer]{})
	if len(j.Placed) != 1 || j.MustReload() || j.Committed(j.Placed[0]) {
		t.Fatalf("placed %v, to be read again %v", j.Placed, j.MustReload())
	}
	box.Now += term.RetryDelay
	d.writer.Commit()
	if len(store.txns) != 2 || fmt.Sprint(store.txns[0]) != fmt.Sprint(store.txns[1]) {
		t.Fatalf("transactions %v", store.txns)
	}
	// The first has applied meanwhile: the record tells.
	store.answer(statestore.Reply[protocol.TxnAnswer]{Status: 409, Value: protocol.TxnAnswer{Failed: []string{ledger.Key("job-1")}}})
	if !j.MustReload() {
		t.Fatal("the record isn't read")
	}
}

// A cancellation that is followed while a change of the same record is under way is
// final, whatever becomes of the change: the job's tasks needn't wait for its answer.
func TestCancellationsDontWaitForChanges(t *testing.T) {
	d, j, m, box := one(t)
	d.reconciler.Observe(m, report(1, 1, protocol.TaskReport{Task: "job-1/0", Attempt: 1, Status: protocol.TaskRunning}))
	j.InFlight = true
	cancelled := *j.Job
	cancelled.Status, cancelled.CancelledAt = protocol.StatusCancelled, int64(box.Now)
	d.reader.Adopt(ledger.Key("job-1"), cancelled.Encode(), 6)
	if orders := d.commands.CommandsFor(m, true); len(orders) != 1 || orders[0].Verb != protocol.VerbStop {
		t.Fatalf("orders %v", orders)
	}
}

// A place that is freed while a change which says that it is taken has no answer counts against
// its team's limit until that change can't be carried out any more: it would bring the place back
// after it had been given away.
func TestFreedPlacesCountWhileAChangeMayComeLate(t *testing.T) {
	unanswered := statestore.Reply[protocol.TxnAnswer]{}
	carriedOut := statestore.Reply[protocol.TxnAnswer]{Status: 200, Value: protocol.TxnAnswer{Revision: 6}}
	refused := statestore.Reply[protocol.TxnAnswer]{Status: 429}
	for name, c := range map[string]struct {
		answers []statestore.Reply[protocol.TxnAnswer]
		taken   int
	}{
		"answered":                 {[]statestore.Reply[protocol.TxnAnswer]{carriedOut}, 0},
		"never carried out":        {[]statestore.Reply[protocol.TxnAnswer]{refused}, 0},
		"unanswered":               {[]statestore.Reply[protocol.TxnAnswer]{unanswered}, 1},
		"unanswered, then refused": {[]statestore.Reply[protocol.TxnAnswer]{unanswered, refused}, 1},
		"unanswered, then another": {[]statestore.Reply[protocol.TxnAnswer]{unanswered, carriedOut}, 0},
	} {
		d, j, m, _ := one(t)
		d.state.Deposed = func(int64) {}
		j.InFlight = true
		d.reconciler.Observe(m, report(1, 1, protocol.TaskReport{Task: "job-1/0", Attempt: 1, Status: protocol.TaskExited, Cause: protocol.CauseStopped}))
		for i, answer := range c.answers {
			j.InFlight = true
			d.writer.HandleResult([]recordstore.Write{{J: j, V: &j.StoredValue, Part: recordstore.HeadIndex, Changed: j.ChangeCount - 1}}, answer)
			if used := d.snapshots.Snapshot().Teams[""].Used; i == len(c.answers)-1 && (j.PlacesTaken() != c.taken || used.Cpus != float64(c.taken)*j.Spec.Cpus) {
				t.Errorf("%s: %d places count, %v are used", name, j.PlacesTaken(), used)
			}
		}
	}
}
