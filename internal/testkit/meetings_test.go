package testkit

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"testing"

	"postpoint/internal/clock"
	"postpoint/internal/fleet"
	"postpoint/internal/intake"
	"postpoint/internal/leadership"
	"postpoint/internal/protocol"
)

// These scenes bring about the meetings of two troubles in which rules broke:
// see the table in docs/rules.md.

// twoJobs is a deployment on which one job to be cancelled and one to go on run for a
// long time.
func twoJobs(t *testing.T, seed uint64, run clock.Micros) (w *World, d *Deployment, cancelled, other *Job) {
	t.Helper()
	w = NewWorld(seed)
	d = NewDeployment(w, testSettings(), testTypes(), 0)
	cancelled = d.Submit(array("job-000001", "open", 6, 4, run.Seconds()), run, false)
	other = d.Submit(array("job-000002", "open", 6, 4, run.Seconds()), run, false)
	for w.Now() < 100*clock.Second && (len(cancelled.places) < 6 || len(other.places) < 6) {
		w.Run(w.Now() + 100*clock.Millisecond)
	}
	w.Run(w.Now() + 10*clock.Second)
	if len(cancelled.places) < 6 || len(other.places) < 6 {
		t.Fatalf("%d and %d tasks run", len(cancelled.places), len(other.places))
	}
	return w, d, cancelled, other
}

// confirmCancel has the user cancel the job and waits for the confirmation.
func confirmCancel(w *World, d *Deployment, j *Job) {
	d.Cancel(j)
	for j.told == "" {
		w.Run(w.Now() + 10*clock.Millisecond)
	}
}

func mustKeepRules(t *testing.T, w *World) {
	t.Helper()
	if len(w.Broken) > 0 {
		t.Fatal(w.Broken)
	}
}

// runs tells that a task of the job is on the machine.
func (m *Worker) runs(j *Job) bool {
	for _, t := range m.tasks {
		if t.job == j.spec.ID && t.onIt {
			return true
		}
	}
	return false
}

// lost counts the machines that lost a session and with it their tasks.
func lost(d *Deployment) int {
	n := 0
	for _, m := range d.Workers() {
		if m.session > 1 {
			n++
		}
	}
	return n
}

// The gap: the state service refuses the leader alone, another node confirms a
// cancellation, and then it is out for everybody for longer than cancel_s, while the
// workers report to the old leader. What was cancelled is gone in time, also from a
// machine that hangs, and what wasn't runs on: the nodes vouch for what they told.
// If one of them can't be asked, or has started since, nobody vouches, and the leader
// lets everything go in time.
func TestRefusedLeaderBeforeAnOutage(t *testing.T) {
	for _, silent := range []string{"nobody", "a peer", "a young peer"} {
		for seed := uint64(31); seed < 36; seed++ {
			w, d, j, other := twoJobs(t, seed, 300*clock.Second)
			leader := d.Nodes[leading(t, d)]
			leader.State.Refused = true
			w.Run(w.Now() + w.Between(0, 500*clock.Millisecond))
			confirmCancel(w, d, j)
			d.State.Outage(true)
			for _, n := range d.Nodes {
				if n == leader {
					continue
				}
				switch silent {
				case "a peer":
					n.Peers.Cut = true
				case "a young peer":
					n.Crash()
					d.StartNode(n)
				}
				break
			}
			hung := sortedKeys(j.places[0])[0]
			hung.Hung = silent == "nobody"
			w.Run(w.Now() + 45*clock.Second)
			mustKeepRules(t, w)
			if silent != "nobody" {
				if lost(d) == 0 {
					t.Fatalf("%s is silent and tasks are kept for 45 s", silent)
				}
				continue
			}
			if !hung.ended {
				t.Fatalf("%s hangs with cancelled tasks and is kept", hung.name)
			}
			if lost(d) > 0 {
				t.Fatalf("%d machines lost their tasks though all nodes vouch", lost(d))
			}
			d.State.Outage(false)
			leader.State.Refused = false
			w.Run(w.Now() + 600*clock.Second)
			mustBeDone(t, w, other)
		}
	}
}

// In the gap a machine reaches no controller, and direct commands reach it only once the
// leader's lease is over: they end what is cancelled there all the same.
func TestRefusedLeaderEndsByCommand(t *testing.T) {
	w, d, j, _ := twoJobs(t, 37, 300*clock.Second)
	d.Nodes[leading(t, d)].State.Refused = true
	mute := sortedKeys(j.places[0])[0]
	mute.Mute, mute.Commands.Cut = true, true
	confirmCancel(w, d, j)
	d.State.Outage(true)
	w.Run(w.Now() + 4*clock.Second)
	mute.Commands.Heal()
	w.Run(w.Now() + 5*clock.Second)
	if mute.runs(j) || mute.session != 1 {
		t.Fatalf("what is cancelled runs %v, session %d", mute.runs(j), mute.session)
	}
	w.Run(w.Now() + 40*clock.Second)
	mustKeepRules(t, w)
}

// A leader that was elected and can't read the records knows of no cancellation: an
// outage that begins with its election lets all tasks go in time.
func TestLeaderWithoutRecordsKeepsNothing(t *testing.T) {
	w, d, j, _ := twoJobs(t, 41, 300*clock.Second)
	first := d.Nodes[leading(t, d)]
	epoch := d.State.keys[leadership.Key].version
	first.State.Refused = true
	confirmCancel(w, d, j)
	first.Crash()
	for d.State.keys[leadership.Key].version <= epoch {
		w.Run(w.Now() + 200)
	}
	d.State.Outage(true) // its election's answer is on its way
	w.Run(w.Now() + 60*clock.Second)
	mustKeepRules(t, w)
}

// Leaders change every few seconds while a machine hangs with what was cancelled. The
// time of the cancellation is the record's: none of them puts the return off.
func TestChangingLeadersReturnHungMachinesInTime(t *testing.T) {
	w, d, j, other := twoJobs(t, 42, 200*clock.Second)
	hung := sortedKeys(j.places[0])[0]
	d.Cancel(j)
	w.Run(w.Now() + 3*clock.Millisecond) // before any command has reached it
	hung.Hung = true
	for range 5 {
		w.Run(w.Now() + 5*clock.Second)
		for _, n := range d.Nodes {
			if n.Dispatch.Leads() {
				n.Crash()
				w.After(200*clock.Millisecond, func() { d.StartNode(n) })
				break
			}
		}
	}
	w.Run(w.Now() + 20*clock.Second)
	mustKeepRules(t, w)
	if j.told != protocol.StatusCancelled || !hung.ended {
		t.Fatalf("told %q, machine gone %v", j.told, hung.ended)
	}
	w.Run(w.Now() + 600*clock.Second)
	mustBeDone(t, w, other)
}

// The cloud refuses everything while a machine hangs with what was cancelled: its
// return is asked for again until the cloud answers, before any other.
func TestRefusedReturnsGoAgain(t *testing.T) {
	w, d, j, _ := twoJobs(t, 43, 300*clock.Second)
	hung := sortedKeys(j.places[0])[0]
	d.Cancel(j)
	w.Run(w.Now() + 3*clock.Millisecond)
	hung.Hung = true
	w.Run(w.Now() + 10*clock.Second)
	d.Cloud.Outage = true
	w.Run(w.Now() + 19*clock.Second)
	d.Cloud.Outage = false // 900 ms are left
	w.Run(w.Now() + 20*clock.Second)
	mustKeepRules(t, w)
}

// A machine that reaches no controller, while direct commands reach it, is heard of by
// their answers. It gets no work that would die with its lease all the same, and what
// it ran goes on once a machine hears.
func TestMuteMachineGetsNoWork(t *testing.T) {
	w := NewWorld(44)
	d := NewDeployment(w, testSettings(), testTypes(), 0)
	d.Cloud.Reliable = true
	d.Cloud.Capacity = map[fleet.Kind]int{{Type: "small", Zone: "a"}: 1} // there is no other
	long := d.Submit(array("job-000001", "open", 1, 2, 90), 90*clock.Second, false)
	w.Run(40 * clock.Second)
	if len(long.places) != 1 {
		t.Fatalf("%d tasks run", len(long.places))
	}
	m := d.Workers()[0]
	m.Mute = true
	for i := range 20 {
		d.Submit(array(fmt.Sprintf("job-1%05d", i), "open", 1, 1, 4), 4*clock.Second, false)
		for until := w.Now() + 3*clock.Second; w.Now() < until; {
			w.Run(w.Now() + 100*clock.Millisecond)
			if m.session > 1 && len(m.tasks) > 0 {
				t.Fatalf("%s got %d tasks in session %d", m.name, len(m.tasks), m.session)
			}
		}
	}
	m.Mute = false
	w.Run(w.Now() + 400*clock.Second)
	mustKeepRules(t, w)
	if left := d.Unfinished(); len(left) > 0 {
		t.Fatalf("left: %v", left)
	}
}

// A leader that is refused by the state service learns from the others, long before
// its allowance ends, that one of them was elected, and sends the workers on, also if
// these hear nothing of the next leader.
func TestRefusedLeaderLearnsOfTheNext(t *testing.T) {
	w, d, j, _ := twoJobs(t, 45, 300*clock.Second)
	old := d.Nodes[leading(t, d)]
	old.State.Refused = true
	for _, n := range d.Nodes {
		n.Workers.Cut = n != old
	}
	refusedAt := w.Now()
	for old.Dispatch.Leads() {
		w.Run(w.Now() + 100*clock.Millisecond)
	}
	for ; w.Now() < refusedAt+30*clock.Second; w.Run(w.Now() + 100*clock.Millisecond) {
		status := 0
		old.Dispatch.Heartbeat(d.Workers()[0].snapshot(), func(s int, _ any) { status = s })
		w.Run(w.Now() + clock.Millisecond)
		if status == http.StatusMisdirectedRequest {
			break
		}
	}
	if took := w.Now() - refusedAt; took > 8*clock.Second {
		t.Fatalf("it answers reports for %.1f s", took.Seconds())
	}
	d.Cancel(j)
	w.Run(w.Now() + 60*clock.Second)
	mustKeepRules(t, w)
}

// Ten leaders in two minutes, an outage among them: no task is lost, and the tasks of
// jobs that end far apart each end once.
func TestManyLeadersLoseNothing(t *testing.T) {
	w, d, _, other := twoJobs(t, 46, 200*clock.Second)
	apart := d.Submit(array("job-000003", "open", 3, 2, 80), 80*clock.Second, false)
	for i := range 10 {
		w.Run(w.Now() + 12*clock.Second)
		if i == 5 {
			d.State.Outage(true)
			w.After(9*clock.Second, func() { d.State.Outage(false) })
		}
		for _, n := range d.Nodes {
			if n.Dispatch.Leads() {
				n.Crash()
				w.After(w.Between(100*clock.Millisecond, 3*clock.Second), func() { d.StartNode(n) })
			}
		}
	}
	if lost(d) > 0 {
		t.Fatalf("%d machines lost their tasks", lost(d))
	}
	w.Run(w.Now() + 400*clock.Second)
	mustBeDone(t, w, other)
	mustBeDone(t, w, apart)
	if record := d.State.record(apart.spec.ID); record.NextAttempt != 1 {
		t.Fatalf("a task was started again: next try %d", record.NextAttempt)
	}
}

// A job is cancelled, and all controllers are away for longer than the workers' lease
// before its tasks could be stopped.
func TestAllControllersAwayAfterACancellation(t *testing.T) {
	w, d, j, other := twoJobs(t, 47, 100*clock.Second)
	d.Cancel(j)
	for j.told == "" {
		w.Run(w.Now() + 500)
	}
	for _, n := range d.Nodes {
		n.Crash()
	}
	w.Run(w.Now() + 20*clock.Second)
	d.StartNode(d.Nodes[0]) // one returns
	w.Run(w.Now() + 300*clock.Second)
	mustBeDone(t, w, other)
}

// A team is at its limit, the leader changes, some of its machines can't be asked, and
// its job is cancelled: the room counts as taken until each place is proven empty.
func TestCancelledRoomCountsUntilProof(t *testing.T) {
	for seed := uint64(51); seed < 55; seed++ {
		w := NewWorld(seed)
		d := NewDeployment(w, testSettings(), testTypes(), 0)
		j := d.Submit(array("job-000001", "limited", 6, 4, 300), 300*clock.Second, false)
		for w.Now() < 100*clock.Second && len(j.places) < 6 {
			w.Run(w.Now() + 100*clock.Millisecond)
		}
		d.Submit(array("job-000002", "limited", 6, 4, 20), 20*clock.Second, false)
		d.Submit(array("job-000003", "open", 2, 4, 300), 300*clock.Second, false) // keeps room up
		for _, m := range sortedKeys(j.places[0]) {
			m.Link.Cut, m.Commands.Cut = true, true
		}
		leader := d.Nodes[leading(t, d)]
		leader.Crash()
		w.Run(w.Now() + w.Between(0, 2*clock.Second))
		d.Cancel(j)
		w.Run(w.Now() + 60*clock.Second)
		if j.told != protocol.StatusCancelled {
			t.Fatalf("the user was told %q", j.told)
		}
		d.StartNode(leader)
		w.Run(w.Now() + 200*clock.Second)
		mustKeepRules(t, w)
		if len(d.Unfinished()) > 1 {
			t.Fatalf("left: %v", d.Unfinished())
		}
	}
}

// Placements whose transaction gets no answer and is carried out after newer ones are
// still counted: a team's other jobs don't get their room meanwhile.
func TestLateChangesKeepTheirPlaces(t *testing.T) {
	for seed := uint64(61); seed < 65; seed++ {
		w := NewWorld(seed)
		d := NewDeployment(w, testSettings(), testTypes(), 0)
		keep := d.Submit(array("job-000001", "open", 6, 6, 300), 300*clock.Second, false) // machines, with room left
		w.Run(40 * clock.Second)
		if len(keep.places) == 0 {
			t.Fatal("nothing runs")
		}
		d.State.LateWrites = 0.5
		for i := range 6 {
			d.Submit(array(fmt.Sprintf("job-1%05d", i), "limited", 4, 2, 15), 15*clock.Second, false)
			w.Run(w.Now() + 2*clock.Second)
		}
		w.Run(w.Now() + 30*clock.Second)
		d.State.LateWrites = 0
		w.Run(w.Now() + 300*clock.Second)
		mustKeepRules(t, w)
		if left := d.Unfinished(); len(left) > 1 {
			t.Fatalf("left: %v", left)
		}
	}
}

// Cancellations, questions and repeated submissions meet the end of the last task:
// whatever users are told first stays, and the job ends once.
func TestCancellationsMeetTheEnd(t *testing.T) {
	w := NewWorld(71)
	d := NewDeployment(w, testSettings(), testTypes(), 0)
	d.CancelAtEnd = 1
	var jobs []*Job
	for i := range 40 {
		jobs = append(jobs, d.Submit(array(fmt.Sprintf("job-%06d", i), "open", 1+i%3, 2, 10), 10*clock.Second, false))
	}
	for w.Now() < 300*clock.Second {
		w.Run(w.Now() + 500*clock.Millisecond)
		for _, j := range jobs {
			if j.Done() && j.told == "" {
				d.submit(j)
			}
		}
	}
	mustKeepRules(t, w)
	told := map[string]int{}
	for _, j := range jobs {
		told[j.told]++
		if record := d.State.record(j.spec.ID); record.Status != j.told || len(record.Placed) > 0 {
			t.Fatalf("%s was told %q, its record says %q, placed %v", j.spec.ID, j.told, record.Status, record.Placed)
		}
	}
	if told[""] > 0 || told[protocol.StatusCancelled] == 0 {
		t.Fatalf("users were told %v", told)
	}
}

// Users repeat submissions, cancel what is done, ask for what was never submitted, and
// send what can't run or lacks a field: nothing of it is accepted, and nothing changes.
func TestOddRequests(t *testing.T) {
	w, d, j := busyDay(t, 72, 30*clock.Second)
	done := d.Submit(array("job-000003", "open", 1, 1, 5), 5*clock.Second, false)
	for range 30 {
		oddRequests(d)
		d.ask(intake.Request{Kind: intake.Show, ID: "job-999999"}, func(status int, _ protocol.JobStatus) {
			if status != http.StatusNotFound {
				w.Break("invented", "answered %d", status)
			}
		})
		w.Run(w.Now() + 4*clock.Second)
	}
	mustBeDone(t, w, j)
	mustBeDone(t, w, done)
	want := []string{"catalogue", "jobs/job-000001", "jobs/job-000003", "lead/controller",
		"rollout/gate", "rollout/node/worker-0", "rollout/node/worker-1", "rollout/node/worker-2"}
	if keys := slices.Sorted(maps.Keys(d.State.keys)); !slices.Equal(keys, want) {
		t.Fatalf("keys %v", keys)
	}
}

// Arrays and gangs bound to one zone lose machines: what runs elsewhere is never in
// another zone than what may still be there, and all of it gets done.
func TestZoneBoundJobsLoseMachines(t *testing.T) {
	for seed := uint64(81); seed < 85; seed++ {
		w := NewWorld(seed)
		d := NewDeployment(w, testSettings(), testTypes(), 0)
		d.Cloud.Capacity = map[fleet.Kind]int{}
		for _, zone := range []string{"a", "b"} {
			d.Cloud.Capacity[fleet.Kind{Type: "small", Zone: zone}] = 6
		}
		var jobs []*Job
		for i := range 6 {
			s := array(fmt.Sprintf("job-%06d", i), "open", 4, 4, 30)
			s.OneZone = true
			if i%2 == 1 {
				s.Shape = protocol.ShapeGang
			}
			jobs = append(jobs, d.Submit(s, 30*clock.Second, false))
		}
		for i := range 8 {
			w.Run(w.Now() + 15*clock.Second)
			up := d.Workers()
			if len(up) == 0 {
				continue
			}
			m := up[w.Rand.IntN(len(up))]
			if i%2 == 0 {
				m.Die()
			} else {
				m.Link.Cut, m.Commands.Cut = true, true
				w.After(20*clock.Second, func() { m.Link.Heal(); m.Commands.Heal() })
			}
		}
		w.Run(w.Now() + 500*clock.Second)
		for _, j := range jobs {
			mustBeDone(t, w, j)
		}
	}
}

// A gang that the machines there are, and all that the cloud still has, can't hold
// keeps no room from smaller work: it would for ever.
func TestGangThatNeverFitsHoldsUpNobody(t *testing.T) {
	w := NewWorld(91)
	d := NewDeployment(w, testSettings(), testTypes(), 0)
	d.Cloud.Reliable = true
	d.Cloud.Capacity = map[fleet.Kind]int{{Type: "small", Zone: "a"}: 3, {Type: "small", Zone: "b"}: 3}
	gang := array("job-000001", "open", 5, 6, 20)
	gang.Shape, gang.Zone = protocol.ShapeGang, "a"
	d.Submit(gang, 20*clock.Second, false)
	for i := range 8 {
		w.After(clock.Micros(100+i*20)*clock.Second, func() {
			s := array(fmt.Sprintf("job-1%05d", i), "open", 4, 4, 15)
			s.Zone = gang.Zone
			d.Submit(s, 15*clock.Second, false)
		})
	}
	w.Run(150 * clock.Second)
	d.WatchRoom()
	w.Run(500 * clock.Second)
	mustKeepRules(t, w)
	if left := d.Unfinished(); len(left) != 1 {
		t.Fatalf("left: %v", left)
	}
}
