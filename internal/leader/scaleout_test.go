package leader

import (
	"net/http"
	"slices"
	"testing"

	"postpoint/internal/actor/actortest"
	"postpoint/internal/clock"
	"postpoint/internal/cloudclient/cloudtest"
	"postpoint/internal/planner"
	"postpoint/internal/protocol"
	"postpoint/internal/scaling"
)

// fakeCloud is a cloud that records requests and the callbacks by which the test responds to them.
type fakeCloud struct {
	cloudtest.Service
	scaleOuts       []protocol.ScaleOutRequest
	respondScaleOut []func(int, protocol.ScaleOutResponse)
	respondScaleIn  []func(int)
	pageStarts      []protocol.MachineName
	respondList     []func(int, protocol.MachineList)
	releaseSets     [][]protocol.MachineName
}

func (s *fakeCloud) ScaleOut(r protocol.ScaleOutRequest, _ clock.Micros,
	done func(int, protocol.ScaleOutResponse)) {
	s.scaleOuts, s.respondScaleOut = append(s.scaleOuts, r), append(s.respondScaleOut, done)
}

func (s *fakeCloud) ScaleIn(machines []protocol.MachineName, _ clock.Micros, done func(int)) {
	s.releaseSets, s.respondScaleIn = append(s.releaseSets, machines), append(s.respondScaleIn, done)
}

func (s *fakeCloud) List(from protocol.MachineName, done func(int, protocol.MachineList)) {
	s.pageStarts, s.respondList = append(s.pageStarts, from), append(s.respondList, done)
}

// delayedMailbox is a mailbox that holds delayed messages until the test runs them.
type delayedMailbox struct {
	*actortest.SynchronousMailbox
	delayed []func()
}

func (m *delayedMailbox) After(_ clock.Micros, message func()) {
	m.delayed = append(m.delayed, message)
}

// scalingLeader returns a leader whose cloud has one machine type, in one zone.
func scalingLeader() (*Leader, *fakeCloud, *delayedMailbox) {
	l, synchronous := newLeader()
	mailbox := &delayedMailbox{SynchronousMailbox: synchronous}
	l.state.Mailbox = mailbox
	cloud := &fakeCloud{}
	l.autoscaler.Cloud = cloudtest.Client(cloud)
	l.catalogue.Publish = func([]protocol.MachineType) {}
	l.catalogue.Replace([]protocol.MachineType{{
		Name: "t", Zones: []string{"a"}, Cpus: 8, MemoryGB: 32, Price: 1, SpotPrice: 1, BootS: 30,
	}})
	l.state.Settings.Deployment.Cloud.Rps = 100
	l.autoscaler.Begin()
	return l, cloud, mailbox
}

// unmetDemand returns the unmet demand of a job. Each of its tasks needs an on-demand machine of its
// own.
func unmetDemand(tasks int) []planner.UnmetDemand {
	spec := &protocol.JobSpec{
		ID: "job-1", Shape: protocol.ShapeArray, Tasks: tasks, Cpus: 8, MemoryGB: 1, EstimateS: 60,
	}
	return []planner.UnmetDemand{{Job: &planner.Job{ID: "job-1", Spec: spec, MaxStarts: tasks}, Tasks: tasks}}
}

// onDemandPool is the capacity pool from which the leader meets unmetDemand first.
var onDemandPool = scaling.CapacityPool{Type: "t", Zone: "a"}

// A scale-out request without a response may have started machines. The leader retries it up to three
// times with the same idempotency key, so that the cloud doesn't start them twice, and sends no other
// scale-out request until then. After the last retry it pauses before the next request, which has a
// key of its own.
func TestScaleOutWithoutResponseIsRetriedWithItsIdempotencyKey(t *testing.T) {
	l, cloud, mailbox := scalingLeader()
	l.autoscaler.ScaleOut(unmetDemand(1))
	for attempt := 1; attempt < 4; attempt++ {
		cloud.respondScaleOut[len(cloud.respondScaleOut)-1](0, protocol.ScaleOutResponse{})
		if len(mailbox.delayed) != attempt {
			t.Fatalf("after attempt %d: got %d retries, want %d", attempt, len(mailbox.delayed), attempt)
		}
		mailbox.delayed[attempt-1]()
		if len(cloud.scaleOuts) != attempt+1 || cloud.scaleOuts[attempt] != cloud.scaleOuts[0] {
			t.Fatalf("after attempt %d: got requests %+v, want the first one again", attempt, cloud.scaleOuts)
		}
		l.autoscaler.ScaleOut(unmetDemand(1))
		if len(cloud.scaleOuts) != attempt+1 {
			t.Fatalf("after attempt %d: got another request while the first has no response", attempt)
		}
	}
	cloud.respondScaleOut[3](0, protocol.ScaleOutResponse{})
	if len(mailbox.delayed) != 3 {
		t.Fatalf("got %d retries, want no more than 3", len(mailbox.delayed))
	}
	l.autoscaler.ScaleOut(unmetDemand(1))
	if len(cloud.scaleOuts) != 4 {
		t.Fatal("got a scale-out right after a request without any response, want a pause")
	}
	mailbox.Now += 2 * clock.Second
	l.autoscaler.ScaleOut(unmetDemand(1))
	if len(cloud.scaleOuts) != 5 || cloud.scaleOuts[4].IdempotencyKey == cloud.scaleOuts[0].IdempotencyKey {
		t.Fatalf("got requests %+v, want a fifth with an idempotency key of its own", cloud.scaleOuts)
	}
}

// The leader adds the machines in the response to a scale-out as booting ones. Otherwise the next plan
// would scale out again for the same demand.
func TestScaledOutMachinesAreKnownToBoot(t *testing.T) {
	l, cloud, _ := scalingLeader()
	l.autoscaler.ScaleOut(unmetDemand(2))
	request := cloud.scaleOuts[0]
	cloud.respondScaleOut[0](http.StatusOK,
		protocol.ScaleOutResponse{Machines: []protocol.MachineName{"m-1", "m-2"}})
	for _, name := range []protocol.MachineName{"m-1", "m-2"} {
		m := l.machines.ByName[name]
		if m == nil || m.CloudStatus != protocol.MachineStarting ||
			m.CapacityPool() != (scaling.CapacityPool{Type: request.Type, Zone: request.Zone, Spot: request.Spot}) {
			t.Errorf("%s is %+v, want a starting machine of %+v", name, m, request)
		}
	}
	if refused := l.autoscaler.CloudView().OutOfCapacity; len(refused) != 0 {
		t.Errorf("got pools %v out of capacity, want none", refused)
	}
}

// After a capacity pool was out of capacity, the leader pauses its requests to the pool. The pause
// doubles with each refusal up to a limit, and starts over if the pool had some capacity in between.
// Without it, the leader would spend its requests on a pool that has no machines.
func TestPoolWithoutCapacityPausesTwiceAsLongEachTime(t *testing.T) {
	for name, respond := range map[string]func(done func(int, protocol.ScaleOutResponse)){
		"no capacity": func(done func(int, protocol.ScaleOutResponse)) {
			done(http.StatusServiceUnavailable, protocol.ScaleOutResponse{Error: protocol.NoCapacity})
		},
		"fewer machines than asked for": func(done func(int, protocol.ScaleOutResponse)) {
			done(http.StatusOK, protocol.ScaleOutResponse{})
		},
	} {
		l, cloud, mailbox := scalingLeader()
		var pauses []clock.Micros
		for range 4 {
			demand := unmetDemand(1)
			demand[0].Job.Spec.Spot = false
			l.autoscaler.ScaleOut(demand)
			request := cloud.scaleOuts[len(cloud.scaleOuts)-1]
			pool := scaling.CapacityPool{Type: request.Type, Zone: request.Zone, Spot: request.Spot}
			if pool != onDemandPool {
				t.Fatalf("%s: got a scale-out of %v, want %v", name, pool, onDemandPool)
			}
			respond(cloud.respondScaleOut[len(cloud.respondScaleOut)-1])
			begun := mailbox.Now
			for l.autoscaler.CloudView().OutOfCapacity[pool] {
				mailbox.Now += clock.Second
			}
			pauses = append(pauses, mailbox.Now-begun)
		}
		second := clock.Second
		want := []clock.Micros{8 * second, 16 * second, 32 * second, 32 * second}
		if name != "no capacity" {
			want = []clock.Micros{8 * second, 8 * second, 8 * second, 8 * second} // the pool had capacity in between
		}
		if !slices.Equal(pauses, want) {
			t.Errorf("%s: got pauses %v, want %v", name, pauses, want)
		}
	}
}

// If the cloud throttles a scale-out, the leader pauses all requests to the cloud. It doesn't treat
// the pool as out of capacity, because it would then use other pools without need.
func TestRefusedScaleOutPausesRequests(t *testing.T) {
	l, cloud, mailbox := scalingLeader()
	l.autoscaler.ScaleOut(unmetDemand(1))
	cloud.respondScaleOut[0](http.StatusTooManyRequests, protocol.ScaleOutResponse{})
	if refused := l.autoscaler.CloudView().OutOfCapacity; len(refused) != 0 {
		t.Errorf("got pools %v out of capacity, want none", refused)
	}
	l.autoscaler.ScaleOut(unmetDemand(1))
	l.autoscaler.ListAndScaleIn()
	if len(cloud.scaleOuts) != 1 || len(cloud.pageStarts) != 0 {
		t.Fatalf("got %d scale-outs and %d lists during the pause, want 1 and 0", len(cloud.scaleOuts),
			len(cloud.pageStarts))
	}
	mailbox.Now += 2 * clock.Second
	l.autoscaler.ScaleOut(unmetDemand(1))
	l.autoscaler.ListAndScaleIn()
	if len(cloud.scaleOuts) != 2 || len(cloud.pageStarts) != 1 {
		t.Fatalf("got %d scale-outs and %d lists after the pause, want 2 and 1", len(cloud.scaleOuts),
			len(cloud.pageStarts))
	}
}

// Responses to requests of an earlier term may arrive in a later one. The leader ignores them: they
// would add or remove machines on the basis of outdated records.
func TestResponsesOfAnEarlierTermChangeNoMachines(t *testing.T) {
	l, cloud, _ := scalingLeader()
	l.autoscaler.ScaleOut(unmetDemand(1))
	l.autoscaler.ListAndScaleIn()
	m := l.machines.GetOrAdd("m-9")
	l.machines.ScheduleRelease(m, "idle")
	l.autoscaler.SendReleases()
	if len(cloud.respondScaleOut) != 1 || len(cloud.respondList) != 1 || len(cloud.respondScaleIn) != 1 {
		t.Fatalf("got %d scale-outs, %d lists, %d scale-ins, want one each", len(cloud.respondScaleOut),
			len(cloud.respondList),
			len(cloud.respondScaleIn))
	}
	l.state.Term.Epoch = 9
	cloud.respondScaleOut[0](http.StatusOK, protocol.ScaleOutResponse{Machines: []protocol.MachineName{"m-1"}})
	cloud.respondList[0](http.StatusOK, protocol.MachineList{Machines: []protocol.ListedMachine{{Name: "m-2"}}})
	cloud.respondScaleIn[0](http.StatusOK)
	if len(l.machines.ByName) != 1 || l.machines.ByName["m-9"] != m {
		t.Errorf("got machines %v, want only m-9", l.machines.ByName)
	}
}

// The leader reads the cloud's list of machines page by page. It releases a machine as missing only
// after the last page, because a later page may still list it.
func TestListIsReadPageByPage(t *testing.T) {
	l, cloud, mailbox := scalingLeader()
	lost := l.machines.GetOrAdd("m-0")
	lost.Listed, lost.ListedAt = true, mailbox.Now-60*clock.Second
	l.autoscaler.ListAndScaleIn()
	page := func(more bool, name protocol.MachineName) protocol.MachineList {
		machine := protocol.ListedMachine{Name: name, Type: "t", Zone: "a", Status: protocol.MachineRunning}
		return protocol.MachineList{More: more, Machines: []protocol.ListedMachine{machine}}
	}
	cloud.respondList[0](http.StatusOK, page(true, "m-1"))
	if lost.Releasing {
		t.Fatal("the leader releases a machine as missing before the last page")
	}
	cloud.respondList[1](http.StatusOK, page(false, "m-2"))
	if !slices.Equal(cloud.pageStarts, []protocol.MachineName{"", "m-1"}) {
		t.Errorf("got pages from %q, want the second one from m-1", cloud.pageStarts)
	}
	if l.machines.ByName["m-1"] == nil || l.machines.ByName["m-2"] == nil || !lost.Releasing {
		t.Errorf("got machines %v, m-0 released %v, want m-1 and m-2 known and m-0 released", l.machines.ByName,
			lost.Releasing)
	}
}
