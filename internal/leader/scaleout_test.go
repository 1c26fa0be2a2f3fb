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

// fakeCloud keeps requests until the test responds to them.
type fakeCloud struct {
	cloudtest.Service
	scaleOuts   []protocol.ScaleOutRequest
	scaledOut   []func(int, protocol.ScaleOutResponse)
	scaledIn    []func(int)
	pages       []protocol.MachineName
	listed      []func(int, protocol.MachineList)
	releaseSets [][]protocol.MachineName
}

func (s *fakeCloud) ScaleOut(r protocol.ScaleOutRequest, _ clock.Micros,
	done func(int, protocol.ScaleOutResponse)) {
	s.scaleOuts, s.scaledOut = append(s.scaleOuts, r), append(s.scaledOut, done)
}

func (s *fakeCloud) ScaleIn(machines []protocol.MachineName, _ clock.Micros, done func(int)) {
	s.releaseSets, s.scaledIn = append(s.releaseSets, machines), append(s.scaledIn, done)
}

func (s *fakeCloud) List(from protocol.MachineName, done func(int, protocol.MachineList)) {
	s.pages, s.listed = append(s.pages, from), append(s.listed, done)
}

// delayedMailbox keeps what is to happen later until the test runs it.
type delayedMailbox struct {
	*actortest.SynchronousMailbox
	delayed []func()
}

func (m *delayedMailbox) After(_ clock.Micros, message func()) {
	m.delayed = append(m.delayed, message)
}

// scalingLeader returns a leader whose cloud has one machine type, in one zone.
func scalingLeader() (*Leader, *fakeCloud, *delayedMailbox) {
	d, box := newLeader()
	mailbox := &delayedMailbox{SynchronousMailbox: box}
	d.state.Mailbox = mailbox
	stub := &fakeCloud{}
	d.autoscaler.Cloud = cloudtest.Client(stub)
	d.catalogue.Publish = func([]protocol.MachineType) {}
	d.catalogue.Replace([]protocol.MachineType{{
		Name: "t", Zones: []string{"a"}, Cpus: 8, MemoryGB: 32, Price: 1, SpotPrice: 1, BootS: 30,
	}})
	d.state.Settings.Deployment.Cloud.Rps = 100
	d.autoscaler.Begin()
	return d, stub, mailbox
}

// unmetDemand is a job that needs a machine which isn't spot for each of its tasks.
func unmetDemand(tasks int) []planner.UnmetDemand {
	spec := &protocol.JobSpec{
		ID: "job-1", Shape: protocol.ShapeArray, Tasks: tasks, Cpus: 8, MemoryGB: 1, EstimateS: 60,
	}
	return []planner.UnmetDemand{{Job: &planner.Job{ID: "job-1", Spec: spec, MaxStarts: tasks}, Tasks: tasks}}
}

// onDemandPool is where unmetDemand is served first.
var onDemandPool = scaling.CapacityPool{Type: "t", Zone: "a"}

func TestScaleOutWithoutResponseIsRepeatedUnderItsBooking(t *testing.T) {
	d, stub, mailbox := scalingLeader()
	d.autoscaler.ScaleOut(unmetDemand(1))
	for attempt := 1; attempt < 4; attempt++ {
		stub.scaledOut[len(stub.scaledOut)-1](0, protocol.ScaleOutResponse{})
		if len(mailbox.delayed) != attempt {
			t.Fatalf("after attempt %d: %d repetitions, want %d", attempt, len(mailbox.delayed), attempt)
		}
		mailbox.delayed[attempt-1]()
		if len(stub.scaleOuts) != attempt+1 || stub.scaleOuts[attempt] != stub.scaleOuts[0] {
			t.Fatalf("after attempt %d: requests %+v, want the first one again", attempt, stub.scaleOuts)
		}
		d.autoscaler.ScaleOut(unmetDemand(1))
		if len(stub.scaleOuts) != attempt+1 {
			t.Fatalf("after attempt %d: another request while the first has no response", attempt)
		}
	}
	stub.scaledOut[3](0, protocol.ScaleOutResponse{})
	if len(mailbox.delayed) != 3 {
		t.Fatalf("%d repetitions, want no more than 3", len(mailbox.delayed))
	}
	d.autoscaler.ScaleOut(unmetDemand(1))
	if len(stub.scaleOuts) != 4 {
		t.Fatal("scaled out at once after a request without any response, want a pause")
	}
	mailbox.Now += 2 * clock.Second
	d.autoscaler.ScaleOut(unmetDemand(1))
	if len(stub.scaleOuts) != 5 || stub.scaleOuts[4].IdempotencyKey == stub.scaleOuts[0].IdempotencyKey {
		t.Fatalf("requests %+v, want a fifth under a booking of its own", stub.scaleOuts)
	}
}

func TestScaledOutMachinesAreKnownToBoot(t *testing.T) {
	d, stub, _ := scalingLeader()
	d.autoscaler.ScaleOut(unmetDemand(2))
	request := stub.scaleOuts[0]
	stub.scaledOut[0](http.StatusOK, protocol.ScaleOutResponse{Machines: []protocol.MachineName{"m-1", "m-2"}})
	for _, name := range []protocol.MachineName{"m-1", "m-2"} {
		m := d.machines.ByName[name]
		if m == nil || m.CloudStatus != protocol.MachineStarting ||
			m.CapacityPool() != (scaling.CapacityPool{Type: request.Type, Zone: request.Zone, Spot: request.Spot}) {
			t.Errorf("%s is %+v, want a starting machine of %+v", name, m, request)
		}
	}
	if refused := d.autoscaler.CloudView().OutOfCapacity; len(refused) != 0 {
		t.Errorf("out of capacity: %v, want none", refused)
	}
}

func TestPoolWithoutCapacityPausesTwiceAsLongEachTime(t *testing.T) {
	for name, respond := range map[string]func(done func(int, protocol.ScaleOutResponse)){
		"no capacity": func(done func(int, protocol.ScaleOutResponse)) {
			done(http.StatusServiceUnavailable, protocol.ScaleOutResponse{Error: protocol.NoCapacity})
		},
		"fewer machines than asked for": func(done func(int, protocol.ScaleOutResponse)) {
			done(http.StatusOK, protocol.ScaleOutResponse{})
		},
	} {
		d, stub, mailbox := scalingLeader()
		var pauses []clock.Micros
		for range 4 {
			demand := unmetDemand(1)
			demand[0].Job.Spec.Spot = false
			d.autoscaler.ScaleOut(demand)
			request := stub.scaleOuts[len(stub.scaleOuts)-1]
			pool := scaling.CapacityPool{Type: request.Type, Zone: request.Zone, Spot: request.Spot}
			if pool != onDemandPool {
				t.Fatalf("%s: scaled out %v, want %v", name, pool, onDemandPool)
			}
			respond(stub.scaledOut[len(stub.scaledOut)-1])
			begun := mailbox.Now
			for d.autoscaler.CloudView().OutOfCapacity[pool] {
				mailbox.Now += clock.Second
			}
			pauses = append(pauses, mailbox.Now-begun)
		}
		second := clock.Second
		want := []clock.Micros{8 * second, 16 * second, 32 * second, 32 * second}
		if name != "no capacity" {
			want = []clock.Micros{8 * second, 8 * second, 8 * second, 8 * second} // it had some in between
		}
		if !slices.Equal(pauses, want) {
			t.Errorf("%s: pauses %v, want %v", name, pauses, want)
		}
	}
}

func TestRefusedScaleOutPausesRequests(t *testing.T) {
	d, stub, mailbox := scalingLeader()
	d.autoscaler.ScaleOut(unmetDemand(1))
	stub.scaledOut[0](http.StatusTooManyRequests, protocol.ScaleOutResponse{})
	if refused := d.autoscaler.CloudView().OutOfCapacity; len(refused) != 0 {
		t.Errorf("out of capacity: %v, want none", refused)
	}
	d.autoscaler.ScaleOut(unmetDemand(1))
	d.autoscaler.ListAndScaleIn()
	if len(stub.scaleOuts) != 1 || len(stub.pages) != 0 {
		t.Fatalf("%d scale-outs and %d lists during the pause, want 1 and 0", len(stub.scaleOuts),
			len(stub.pages))
	}
	mailbox.Now += 2 * clock.Second
	d.autoscaler.ScaleOut(unmetDemand(1))
	d.autoscaler.ListAndScaleIn()
	if len(stub.scaleOuts) != 2 || len(stub.pages) != 1 {
		t.Fatalf("%d scale-outs and %d lists after the pause, want 2 and 1", len(stub.scaleOuts),
			len(stub.pages))
	}
}

func TestResponsesOfAnEarlierTermChangeNoMachines(t *testing.T) {
	d, stub, _ := scalingLeader()
	d.autoscaler.ScaleOut(unmetDemand(1))
	d.autoscaler.ListAndScaleIn()
	m := d.machines.GetOrAdd("m-9")
	d.machines.ScheduleRelease(m, "idle")
	d.autoscaler.SendReleases()
	if len(stub.scaledOut) != 1 || len(stub.listed) != 1 || len(stub.scaledIn) != 1 {
		t.Fatalf("%d scale-outs, %d lists, %d scale-ins, want one each", len(stub.scaledOut),
			len(stub.listed),
			len(stub.scaledIn))
	}
	d.state.Term.Epoch = 9
	stub.scaledOut[0](http.StatusOK, protocol.ScaleOutResponse{Machines: []protocol.MachineName{"m-1"}})
	stub.listed[0](http.StatusOK, protocol.MachineList{Machines: []protocol.ListedMachine{{Name: "m-2"}}})
	stub.scaledIn[0](http.StatusOK)
	if len(d.machines.ByName) != 1 || d.machines.ByName["m-9"] != m {
		t.Errorf("machines %v, want m-9 alone", d.machines.ByName)
	}
}

func TestListIsReadPageByPage(t *testing.T) {
	d, stub, mailbox := scalingLeader()
	lost := d.machines.GetOrAdd("m-0")
	lost.Listed, lost.ListedAt = true, mailbox.Now-60*clock.Second
	d.autoscaler.ListAndScaleIn()
	page := func(more bool, name protocol.MachineName) protocol.MachineList {
		machine := protocol.ListedMachine{Name: name, Type: "t", Zone: "a", Status: protocol.MachineRunning}
		return protocol.MachineList{More: more, Machines: []protocol.ListedMachine{machine}}
	}
	stub.listed[0](http.StatusOK, page(true, "m-1"))
	if lost.Releasing {
		t.Fatal("a machine is released as missing before the last page")
	}
	stub.listed[1](http.StatusOK, page(false, "m-2"))
	if !slices.Equal(stub.pages, []protocol.MachineName{"", "m-1"}) {
		t.Errorf("pages from %q, want the second one from m-1", stub.pages)
	}
	if d.machines.ByName["m-1"] == nil || d.machines.ByName["m-2"] == nil || !lost.Releasing {
		t.Errorf("machines %v, m-0 released %v, want m-1 and m-2 known and m-0 released", d.machines.ByName,
			lost.Releasing)
	}
}
