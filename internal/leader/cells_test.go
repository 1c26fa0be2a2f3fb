package leader

import (
	"fmt"
	"strings"
	"testing"

	"postpoint/internal/actor/actortest"
	"postpoint/internal/cells"
	"postpoint/internal/clock"
	"postpoint/internal/delegation"
	"postpoint/internal/leader/federation"
	"postpoint/internal/leader/jobtable"
	"postpoint/internal/leader/machinetable"
	"postpoint/internal/leader/reconciler"
	"postpoint/internal/leader/recordstore"
	"postpoint/internal/ledger"
	"postpoint/internal/protocol"
	"postpoint/internal/statestore"
)

const twoCells = `
cell = "alpha"
[[cells]]
name = "alpha"
lease_s = 12.0
guests = { cpus = 100.0 }
controllers = [{ node = "worker-0", address = "10.0.0.1:8082" }]
[[cells]]
name = "beta"
lease_s = 12.0
guests = { cpus = 100.0 }
controllers = [{ node = "worker-0", address = "10.1.0.1:8082" }]
[[spill]]
from = "alpha"
to = ["beta"]
[[spill]]
from = "beta"
to = ["alpha"]
`

// cellLeader is a leader of alpha, which runs work for beta and has beta run its own.
func cellLeader(t *testing.T) (*Leader, *commits, *actortest.Still) {
	t.Helper()
	d, box := leader()
	d.state.Settings.Node = "worker-0"
	directory, err := cells.Parse([]byte(twoCells), d.state.Settings)
	if err != nil {
		t.Fatal(err)
	}
	store := &commits{}
	useStore(d, store)
	d.state.Format.Open, d.state.Format.Cells = true, true
	d.JoinCells(directory, nil)
	d.cells.Begin()
	d.origin.Begin()
	return d, store, box
}

// hosting is a leader of alpha with a guest of one task on m-1, committed and permitted until
// ten seconds from now.
func hosting(t *testing.T) (*Leader, *jobtable.Job, *machinetable.Machine, *actortest.Still) {
	t.Helper()
	d, _, box := cellLeader(t)
	id := ledger.GuestID("beta", "job-1", 7)
	content := ledger.New(protocol.JobSpec{ID: id, Shape: protocol.ShapeArray, Tasks: 1, Cpus: 1}, 1)
	content.Guest = &ledger.Guest{Home: "beta", Number: 7}
	content.NextAttempt = 2
	content.Placed[0] = ledger.Placement{Task: 0, Attempt: 1, Machine: "m-1", Session: 1}
	d.reader.Adopt(ledger.Key(id), content.Encode(), 5)
	j := d.jobs.ByID[id]
	j.Permission.Take(delegation.Ruling{Number: 7, Verdict: delegation.Continue, For: 10 * clock.Second}, box.Now, box.Now)
	return d, j, d.machines.ByName["m-1"], box
}

// beat has the machine report, and gives the status and the orders of the answer.
func beat(d *Leader, box *actortest.Still, counter int64, tasks ...protocol.TaskReport) (status int, orders []protocol.Order) {
	d.state.Term.RenewedAt, d.state.Term.ValidUntil, d.state.FreshAt = box.Now, box.Now+4*clock.Second, box.Now
	d.Heartbeat(report(1, counter, tasks...), func(s int, body any) {
		status = s
		if a, ok := body.(protocol.HeartbeatAnswer); ok {
			orders = a.Orders
		}
	})
	return status, orders
}

// An answer renews the lease of a guest's task only while its home permits it; after that it is
// given only if it ends the task, and not at all while a start of it may still arrive.
func TestNoLeaseIsRenewedWithoutPermission(t *testing.T) {
	d, j, m, box := hosting(t)
	task := protocol.TaskReport{Task: protocol.TaskName(j.Spec.ID, 0), Attempt: 1, Status: protocol.TaskRunning}
	if status, orders := beat(d, box, 1, task); status != 200 || len(orders) != 0 {
		t.Fatalf("answered %d with %v while it is permitted", status, orders)
	}
	box.Now += 10 * clock.Second
	if status, orders := beat(d, box, 2, task); status != 200 || len(orders) != 1 || orders[0].Verb != protocol.VerbStop {
		t.Fatalf("answered %d with %v at the permission's end", status, orders)
	}
	m.Deliveries[machinetable.AttemptRef{Job: j.Spec.ID, Task: 0, Attempt: 1}] = &machinetable.StartDelivery{OutcomeUnknown: true}
	if status, _ := beat(d, box, 3); status != 503 {
		t.Fatalf("answered %d though a start may still arrive", status)
	}
}

// A new leader has no permission: machines with guests' tasks wait for an answer until it has
// asked home, or has had the time to.
func TestNewHostWaitsForItsHomesWord(t *testing.T) {
	d, j, _, box := hosting(t)
	d.jobs.AwaitPermission(j)
	task := protocol.TaskReport{Task: protocol.TaskName(j.Spec.ID, 0), Attempt: 1, Status: protocol.TaskRunning}
	if status, _ := beat(d, box, 1, task); status != 503 {
		t.Fatalf("answered %d before home was heard of", status)
	}
	box.Now += jobtable.AnnounceTime
	if status, orders := beat(d, box, 2, task); status != 200 || len(orders) != 1 || orders[0].Verb != protocol.VerbStop {
		t.Fatalf("answered %d with %v after four seconds", status, orders)
	}
}

// Machines that hang with a guest's task are returned in time for what the host tells home in
// its reports, whoever leads.
func TestHungMachinesWithGuestsAreReturnedInTime(t *testing.T) {
	d, j, _, box := hosting(t)
	workers := d.state.Settings.Deployment.Workers
	latest := j.Permission.Until() + cells.ClearTime(workers.Lease()) - reconciler.ReturnTime
	if at := d.cancellations.ReleaseAt(j); at > latest {
		t.Errorf("returned %.1f s too late", (at - latest).Seconds())
	}
	d.jobs.AwaitPermission(j) // a new leader, and the last permission ended just before its predecessor's lease did
	ended := d.state.BegunAt - 5*clock.Second
	if at := d.cancellations.ReleaseAt(j); at > ended+cells.ClearTime(workers.Lease())-reconciler.ReturnTime {
		t.Errorf("returned %.1f s after the new leader's election", (at - d.state.BegunAt).Seconds())
	}
	j.Guest.Closed = true // by its predecessor, long ago perhaps
	if at := d.cancellations.ReleaseAt(j); at != d.state.BegunAt+jobtable.AnnounceTime {
		t.Errorf("returned %.1f s after the new leader's election though it was closed before", (at - d.state.BegunAt).Seconds())
	}
	_ = box
}

// Commands that start a guest's task don't leave once its permission has ended.
func TestCommandsKeepToPermissions(t *testing.T) {
	d, j, m, box := hosting(t)
	worker := &commandsUntil{}
	d.commands.Agent = worker
	d.state.Term.ValidUntil = box.Now + 60*clock.Second
	start := protocol.Order{Verb: protocol.VerbStart, Task: protocol.TaskName(j.Spec.ID, 0), Attempt: 1}
	d.commands.Send(m, 1, []protocol.Order{start}, nil)
	if worker.until != j.Permission.Until() {
		t.Errorf("until %.1f s, permitted until %.1f s", worker.until.Seconds(), j.Permission.Until().Seconds())
	}
	start.Verb = protocol.VerbStop
	d.commands.Send(m, 1, []protocol.Order{start}, nil)
	if worker.until != d.state.Term.ValidUntil {
		t.Error("what ends the task is held back as well")
	}
}

// commandsUntil keeps until when the last commands might leave.
type commandsUntil struct{ until clock.Micros }

func (c *commandsUntil) Commands(_ string, _ protocol.Commands, until clock.Micros, _ func(int, protocol.Report)) {
	c.until = until
}

// While a task is with another cell, its zone isn't known: no other task of a job whose zones
// depend on each other is planned here.
func TestZonesOfTasksElsewhereArentKnown(t *testing.T) {
	for _, oneZone := range []bool{false, true} {
		d, j, _, box := delegating(t)
		j.Spec.OneZone = oneZone
		d.jobs.ReleasePlacement(j, j.Placed[0])
		if pj := d.snapshots.PlannedJob(j, box.Now, false); (len(pj.Pending) == 0) != oneZone {
			t.Errorf("one zone %v: pending %v", oneZone, pj.Pending)
		}
	}
}

// Home learns that a guest is closed, and which of its tasks are done, from what is stored.
func TestStatusIsWhatIsStored(t *testing.T) {
	d, j, m, _ := hosting(t)
	j.Guest.Closed = true
	d.jobs.NoteHeadChange(j)
	j.ClosedAtChange = j.ChangeCount
	d.reconciler.Observe(m, report(1, 1, protocol.TaskReport{Task: protocol.TaskName(j.Spec.ID, 0), Attempt: 1, Status: protocol.TaskExited, Cause: protocol.CauseDone}))
	if s, _ := d.host.StatusOf(j); s.Closed || s.Done.Len() > 0 || s.Held.Len() > 0 {
		t.Fatalf("told before it is stored: %+v", s)
	}
	j.InFlight = true
	d.writer.HandleResult([]recordstore.Write{{J: j, V: &j.StoredValue, Part: recordstore.HeadIndex, Changed: j.ChangeCount}}, statestore.Reply[protocol.TxnAnswer]{Status: 200, Value: protocol.TxnAnswer{Revision: 6}})
	if s, _ := d.host.StatusOf(j); !s.Closed || s.Done.Len() != 1 {
		t.Fatalf("not told though it is stored: %+v", s)
	}
}

// delegating is a leader of alpha whose job's task is with beta, offered and accepted.
func delegating(t *testing.T) (*Leader, *jobtable.Job, *commits, *actortest.Still) {
	t.Helper()
	d, store, box := cellLeader(t)
	content := ledger.New(protocol.JobSpec{ID: "job-1", Shape: protocol.ShapeArray, Tasks: 2, Cpus: 1}, 1)
	d.reader.Adopt(ledger.Key("job-1"), content.Encode(), 5)
	j := d.jobs.ByID["job-1"]
	d.origin.Numbers = federation.NumberBlock{Next: 7, End: 1000}
	d.origin.Delegate(j, "beta", []int{0, 1})
	return d, j, store, box
}

// tell is a report of beta on delegation 7.
func tell(d *Leader, s delegation.Status) delegation.Answer {
	s.Number, s.Job = 7, "job-1"
	r := delegation.Report{Host: "beta", Home: "alpha", Epoch: 3, Clear: cells.ClearTime(12 * clock.Second), Tasks: []delegation.Status{s}}
	var answer delegation.Answer
	d.Exchange(r, func(a delegation.Answer, _ bool) { answer = a })
	return answer
}

// A delegation is recorded only once its places are, and only while they are what they were: a
// creation that is carried out after they were freed makes nothing. It is offered after that.
func TestDelegationsAreRecordedBeforeTheyAreOffered(t *testing.T) {
	d, j, store, _ := delegating(t)
	d.origin.SaveDelegations()
	if len(store.txns) != 0 {
		t.Fatal("recorded before its places")
	}
	j.StoredValue.StoredCount, j.StoredValue.Version = j.ChangeCount, 6
	if offers := d.origin.Offers("beta", nil); len(offers) != 0 {
		t.Fatal("offered before it is recorded")
	}
	d.origin.SaveDelegations()
	if len(store.txns) != 1 || !guards(store.txns[0], ledger.Key("job-1"), 6) || !guards(store.txns[0], delegation.Key(7), 0) {
		t.Fatalf("%+v", store.txns)
	}
	store.answer(statestore.Reply[protocol.TxnAnswer]{Status: 200, Value: protocol.TxnAnswer{Revision: 8}})
	if offers := d.origin.Offers("beta", nil); len(offers) != 1 || offers[0].Tasks.Len() != 2 {
		t.Fatalf("offers %v", offers)
	}
}

func guards(t protocol.Txn, key string, version int64) bool {
	for _, g := range t.Guards {
		if g.Key == key && g.Version == version {
			return true
		}
	}
	return false
}

// A permission lasts from what home knows of cancellations, not from now; nobody but a leader
// that has read the records says that there is no such delegation.
func TestPermissionsFollowWhatIsKnown(t *testing.T) {
	d, j, _, box := delegating(t)
	box.Now += 2 * clock.Second // the records were fresh and the lease renewed before
	d.state.Term.ValidUntil = box.Now + clock.Second
	want := cells.LongestPermission(d.state.Settings.Deployment.Workers, cells.ClearTime(12*clock.Second)) - 2*clock.Second
	if a := tell(d, delegation.Status{}); len(a.Rulings) != 1 || a.Rulings[0].Verdict != delegation.Continue || a.Rulings[0].For != want {
		t.Fatalf("%+v, %.1f s expected", a.Rulings, want.Seconds())
	}
	d.jobs.NoteCancelled(j, box.Now)
	if a := tell(d, delegation.Status{}); a.Rulings[0].Verdict != delegation.Cancel || a.Rulings[0].For != 0 {
		t.Fatalf("%+v for a cancelled job", a.Rulings)
	}
	delete(d.origin.Delegations, 7)
	if a := tell(d, delegation.Status{}); len(a.Rulings) != 1 || a.Rulings[0].Verdict != delegation.Forget {
		t.Fatalf("%+v for a delegation that there isn't", a.Rulings)
	}
	d.state.Term.ValidUntil = box.Now
	if a := tell(d, delegation.Status{}); len(a.Rulings) != 0 {
		t.Fatalf("%+v from a node without the lease", a.Rulings)
	}
	d.state.Term.ValidUntil = box.Now + clock.Second
	d.origin.HasMalformed = true
	if a := tell(d, delegation.Status{}); len(a.Rulings) != 0 {
		t.Fatalf("%+v though a delegation's record makes no sense", a.Rulings)
	}
}

// What a report says of completed tasks counts however late it comes, what it says of others
// only once the guest is closed.
func TestReportsFreeWhatTheyProve(t *testing.T) {
	d, j, _, _ := delegating(t)
	var first, both ledger.Ranges
	first.Add(0)
	both.Add(0)
	both.Add(1)
	tell(d, delegation.Status{Held: both})
	if len(j.Placed) != 2 {
		t.Fatalf("placed %v", j.Placed)
	}
	tell(d, delegation.Status{Done: first})
	if _, placed := j.Placed[1]; !placed || !j.Done.Has(0) || len(j.Placed) != 1 {
		t.Fatalf("placed %v, done %v", j.Placed, j.Done.String())
	}
	tell(d, delegation.Status{Held: both}) // an old one
	tell(d, delegation.Status{Closed: true, Done: first})
	if len(j.Placed) != 0 || j.Returned != 1 || !d.origin.Delegations[7].Over() {
		t.Fatalf("placed %v, returned %d, %+v", j.Placed, j.Returned, d.origin.Delegations[7].Delegation)
	}
}

// Numbers are taken from the state service before any is used.
func TestNumbersAreReserved(t *testing.T) {
	d, store, _ := cellLeader(t)
	found := protocol.Item{Value: protocol.Encode(int64(4001)), Version: 9}
	useStore(d, &oneKey{store, found, 200})
	d.origin.ReserveNumbers()
	if d.origin.Numbers.Next != 0 || len(store.txns) != 1 || !guards(store.txns[0], delegation.NumbersKey, 9) {
		t.Fatalf("%+v, %+v", d.origin.Numbers, store.txns)
	}
	store.answer(statestore.Reply[protocol.TxnAnswer]{Status: 200})
	if d.origin.Numbers.Next != 4001 || d.origin.Numbers.End != 5001 {
		t.Fatalf("%+v", d.origin.Numbers)
	}
}

// oneKey is a state service that has one key, or not even that.
type oneKey struct {
	*commits
	item   protocol.Item
	status int
}

func (r *oneKey) Get(_ string, done func(statestore.Reply[protocol.Item])) {
	done(statestore.Reply[protocol.Item]{Status: r.status, Value: r.item})
}

// Every reason for which an offer is refused leaves a tombstone that says so, and the same
// number can't be accepted afterwards.
func TestRefusalsLeaveTombstones(t *testing.T) {
	var one ledger.Ranges
	one.Add(0)
	good := protocol.JobSpec{ID: "job-1", Class: "c", Team: "t", Shape: protocol.ShapeArray, Rank: "normal", Tasks: 1, Cpus: 1, MemoryGB: 1, Image: "i"}
	for name, change := range map[string]func(d *Leader, o *delegation.Offer){
		"":                       func(*Leader, *delegation.Offer) {},
		"being drained":          func(d *Leader, _ *delegation.Offer) { d.cells.Directory.Own.Draining = true },
		"services":               func(_ *Leader, o *delegation.Offer) { o.Spec.Shape = protocol.ShapeService },
		"not tasks":              func(_ *Leader, o *delegation.Offer) { o.Tasks.Add(3) },
		"no allowed machine":     func(_ *Leader, o *delegation.Offer) { o.Spec.Cpus = 64 },
		"guests have no more":    func(d *Leader, _ *delegation.Offer) { d.cells.Directory.Own.Guests.Cpus = 0 },
		"both spread and in one": func(_ *Leader, o *delegation.Offer) { o.Spec.Tasks, o.Spec.Spread, o.Spec.Zone = 2, true, "a" },
	} {
		d, store, _ := cellLeader(t)
		d.catalogue.Types = []protocol.MachineType{{Name: "small", Cpus: 8, MemoryGB: 32, Price: 1, Zones: []string{"a"}}}
		o := delegation.Offer{Number: 7, Spec: good, Tasks: one}
		change(d, &o)
		d.host.TakeOffer(d.cells.ByCell["beta"], o)
		store.answer(statestore.Reply[protocol.TxnAnswer]{Status: 200, Value: protocol.TxnAnswer{Revision: 8}})
		j := d.jobs.ByID[ledger.GuestID("beta", "job-1", 7)]
		if j == nil || j.Final() != (name != "") || !strings.Contains(j.Cause, name) {
			t.Errorf("%s: %+v", name, j)
			continue
		}
		d.host.TakeOffer(d.cells.ByCell["beta"], o)
		if len(store.txns) != 1 {
			t.Errorf("%s: taken again", name)
		}
	}
}

// BenchmarkExchange is what a report on as many delegations as one cell may have costs both
// leaders: making it, its form, taking it, and the answer.
func BenchmarkExchange(b *testing.B) {
	d, box := leader()
	d.state.Settings.Node = "worker-0"
	directory, err := cells.Parse([]byte(twoCells), d.state.Settings)
	if err != nil {
		b.Fatal(err)
	}
	useStore(d, &commits{})
	d.state.Format.Open, d.state.Format.Cells = true, true
	d.JoinCells(directory, nil)
	d.cells.Begin()
	d.origin.Begin()
	d.origin.Numbers = federation.NumberBlock{Next: 1, End: 1000}
	var tasks []int
	for task := range 100 {
		tasks = append(tasks, task)
	}
	r := delegation.Report{Host: "beta", Home: "alpha", Epoch: 3, Clear: cells.ClearTime(12 * clock.Second)}
	for range delegation.MaxPerHost {
		id := fmt.Sprintf("job-%d", d.origin.Numbers.Next)
		d.reader.Adopt(ledger.Key(id), ledger.New(protocol.JobSpec{ID: id, Shape: protocol.ShapeArray, Tasks: 100, Cpus: 1}, 1).Encode(), 5)
		s := delegation.Status{Number: d.origin.Numbers.Next, Job: id}
		for task := range 100 {
			s.Held.Add(task)
		}
		r.Tasks = append(r.Tasks, s)
		d.origin.Delegate(d.jobs.ByID[id], "beta", tasks)
	}
	for b.Loop() {
		d.state.FreshAt, d.state.Term.RenewedAt, d.state.Term.ValidUntil = box.Now, box.Now, box.Now+clock.Second
		report, err := delegation.DecodeReport(r.Encode())
		if err != nil {
			b.Fatal(err)
		}
		d.Exchange(report, func(a delegation.Answer, _ bool) {
			if len(a.Rulings) != delegation.MaxPerHost {
				b.Fatalf("%d rulings", len(a.Rulings))
			}
			if _, err := delegation.DecodeAnswer(a.Encode()); err != nil {
				b.Fatal(err)
			}
		})
	}
}

// The removal of a tombstone meets a change that had no answer and was carried out after all: the
// record is read, and removed at the version that it has; once it isn't there it is forgotten.
func TestTombstonesAreRemovedWhateverTheirVersion(t *testing.T) {
	d, j, _, _ := hosting(t)
	store := d.writer.Store.(*commits)
	d.jobs.ReleasePlacement(j, j.Placed[0])
	j.Guest.Closed, j.Status, j.Permission.Forgotten = true, protocol.StatusCancelled, true
	stored := protocol.Item{Value: j.Encode(), Version: 9}
	j.StoredValue.Replace(5)
	d.host.CheckJob(j)
	store.answer(statestore.Reply[protocol.TxnAnswer]{Status: 409, Value: protocol.TxnAnswer{Failed: []string{ledger.Key(j.Spec.ID)}}})
	if d.jobs.ByID[j.Spec.ID] == nil {
		t.Fatal("forgotten though the record is there")
	}
	useStore(d, &oneKey{store, stored, 200})
	d.writer.PendingUnits()
	d.host.CheckJob(j)
	if last := store.txns[len(store.txns)-1]; !guards(last, ledger.Key(j.Spec.ID), 9) {
		t.Fatalf("%+v", last)
	}
	store.answer(statestore.Reply[protocol.TxnAnswer]{Status: 409, Value: protocol.TxnAnswer{Failed: []string{ledger.Key(j.Spec.ID)}}})
	useStore(d, &oneKey{store, protocol.Item{}, 404})
	d.writer.PendingUnits()
	if d.jobs.ByID[j.Spec.ID] != nil {
		t.Fatal("it is kept though its record is gone")
	}
}

// What keeps work at home: nothing waits, it hasn't waited for long, it came back a moment ago or
// often enough, it can't go as a whole.
func TestWorkThatMayNotSpill(t *testing.T) {
	for name, c := range map[string]struct {
		change func(d *Leader, j *jobtable.Job)
		tasks  int
	}{
		"waits":               {func(*Leader, *jobtable.Job) {}, 2},
		"wants nothing":       {func(_ *Leader, j *jobtable.Job) { j.UnmetAt = 0 }, 0},
		"waits a little":      {func(d *Leader, j *jobtable.Job) { j.UnmetSince = d.state.Now() - federation.ShortageTime + 1 }, 0},
		"came back":           {func(d *Leader, j *jobtable.Job) { j.GivenBackAt = d.state.Now() - federation.MinStayTime + 1 }, 0},
		"came back too often": {func(_ *Leader, j *jobtable.Job) { j.Returned = federation.MaxReturned }, 0},
		"a service":           {func(_ *Leader, j *jobtable.Job) { j.Spec.Shape = protocol.ShapeService }, 0},
		"a whole gang":        {func(_ *Leader, j *jobtable.Job) { j.Spec.Shape = protocol.ShapeGang }, 4},
		"a broken gang":       {func(_ *Leader, j *jobtable.Job) { j.Spec.Shape = protocol.ShapeGang; j.Done.Add(0) }, 0},
		"one zone, running": {func(d *Leader, j *jobtable.Job) {
			j.Spec.OneZone = true
			d.jobs.AddPlacement(j, ledger.Placement{Task: 0, Attempt: 1, Machine: "m-1", Session: 1})
		}, 0},
		"over": {func(d *Leader, j *jobtable.Job) { d.jobs.NoteCancelled(j, d.state.Now()) }, 0},
	} {
		d, _, box := cellLeader(t)
		d.reader.Adopt(ledger.Key("job-1"), ledger.New(protocol.JobSpec{ID: "job-1", Shape: protocol.ShapeArray, Tasks: 4, Cpus: 1}, 1).Encode(), 5)
		j := d.jobs.ByID["job-1"]
		j.UnmetSince, j.UnmetAt, j.UnmetTasks = box.Now-10*clock.Second, box.Now, 2
		c.change(d, j)
		if n := d.origin.OffloadableTasks(j).Count; n != c.tasks {
			t.Errorf("%s: %d tasks may go", name, n)
		}
	}
}

// A start that may have arrived, of a guest that was closed meanwhile, is made to arrive and be
// stopped while there is permission: else its place would be kept for ever.
func TestUncertainStartsOfClosedGuestsEnd(t *testing.T) {
	d, j, m, box := hosting(t)
	d.commands.Agent = &calls{}
	beat(d, box, 1)
	m.Deliveries[machinetable.AttemptRef{Job: j.Spec.ID, Task: 0, Attempt: 1}] = &machinetable.StartDelivery{OutcomeUnknown: true}
	j.Permission.Take(delegation.Ruling{Number: 7, Verdict: delegation.Close, For: 10 * clock.Second}, box.Now, box.Now)
	d.host.CheckJob(j)
	box.Now += 2 * reconciler.CommandRepeatDelay
	status, orders := beat(d, box, 2)
	if status != 200 || len(orders) != 2 || orders[0].Verb != protocol.VerbStart || orders[1].Verb != protocol.VerbStop {
		t.Fatalf("answered %d with %v", status, orders)
	}
}
