package leader

import (
	"encoding/json"
	"slices"
	"testing"

	"postpoint/internal/clock"
	"postpoint/internal/cloudclient/cloudtest"
	"postpoint/internal/delegation"
	"postpoint/internal/goldentest"
	"postpoint/internal/jobrecord"
	"postpoint/internal/kvstore/storetest"
	"postpoint/internal/leader/federation"
	"postpoint/internal/leader/jobtable"
	"postpoint/internal/leader/machinetable"
	"postpoint/internal/leader/overview"
	"postpoint/internal/leader/zonetracker"
	"postpoint/internal/planner"
	"postpoint/internal/protocol"
	"postpoint/internal/rollout"
	"postpoint/internal/settings"
	"postpoint/internal/zonerecovery"
)

// The golden tests compare stored records, responses and the overview with recorded forms. Controllers of
// other versions and users read these forms, so an unintended change of an encoding must fail a test.

// goldenTypes returns a catalogue with one machine type in which every field is set.
func goldenTypes() []protocol.MachineType {
	return []protocol.MachineType{{
		Name:        "g8",
		Cpus:        96,
		Gpus:        8,
		MemoryGB:    768,
		CacheGB:     900,
		FetchGBPerS: 0.5,
		Price:       24.5,
		SpotPrice:   7.25,
		BootS:       90,
		Zones:       []string{"a", "b"},
	}}
}

// onlyTxn returns the encoded form of the only transaction that the leader has sent.
func onlyTxn(t *testing.T, store *fakeStore) []byte {
	t.Helper()
	if len(store.txns) != 1 {
		t.Fatalf("got %d transactions, want 1", len(store.txns))
	}
	return protocol.Encode(store.txns[0])
}

// The leader shares the catalogue with other controllers under the recorded key in the recorded bytes,
// and the next leader reads it from there.
func TestGoldenCatalogue(t *testing.T) {
	l, _ := newLeader()
	store := &fakeStore{}
	useStore(l, &singleKeyStore{store, protocol.Item{}, 404})
	l.catalogue.Publish = func([]protocol.MachineType) {}
	l.catalogue.Replace(goldenTypes())
	l.catalogue.FromCloud = true
	l.catalogue.Share()
	goldentest.Equal(t, "catalogue", onlyTxn(t, store),
		"\x82\xa6Guards\x92\x82\xa4Path\xaflead/controller\xa5Stamp\x07\x82\xa4Path\xa9catalogue\xa5S"+
			"tamp\x00\xa6Writes\x91\x82\xa5Write\xa9catalogue\xa4Data\x81\xa6Fleets\x91\x8a\xa3Sku\xa2g8"+
			"\xa5Vcpus\xcb@X\x00\x00\x00\x00\x00\x00\xa4Gpus\xcb@ \x00\x00\x00\x00\x00\x00\xa5MemGb\xcb@"+
			"\x88\x00\x00\x00\x00\x00\x00\xa7LocalGb\xcb@\x8c \x00\x00\x00\x00\x00\xabFetchGbPerS\xcb?"+
			"\xe0\x00\x00\x00\x00\x00\x00\xa6Hourly\xcb@8\x80\x00\x00\x00\x00\x00\xa9SpotPrice\xcb@\x1d"+
			"\x00\x00\x00\x00\x00\x00\xa8StartupS\xcb@V\x80\x00\x00\x00\x00\x00\xa5Halls\x92\xa1a\xa1b")

	next, _ := newLeader()
	shared := protocol.Item{Key: "catalogue", Value: store.txns[0].Changes[0].Value, Version: 9}
	useStore(next, &singleKeyStore{store, shared, 200})
	next.catalogue.Publish = func([]protocol.MachineType) {}
	next.catalogue.ReadShared()
	if len(next.catalogue.Types) != 1 || !machinetable.SameType(next.catalogue.Types[0], goldenTypes()[0]) {
		t.Errorf("got machine types %+v, want the shared one", next.catalogue.Types)
	}
}

// The recorded form of a reserved block of delegation numbers: of a later block, and of the first one.
func TestGoldenNumbers(t *testing.T) {
	l, store, _ := cellLeader(t)
	reserved := protocol.Item{Key: "delegation-numbers", Value: []byte("\xcd\x0f\xa1"), Version: 9}
	useStore(l, &singleKeyStore{store, reserved, 200})
	l.origin.ReserveNumbers()
	goldentest.Equal(t, "numbers", onlyTxn(t, store),
		"\x82\xa6Guards\x92\x82\xa4Path\xaflead/controller\xa5Stamp\x07\x82\xa4Path\xb2delegation-num"+
			"bers\xa5Stamp\x09\xa6Writes\x91\x82\xa5Write\xb2delegation-numbers\xa4Data\xcd\x13\x89")

	first, firstStore, _ := cellLeader(t)
	useStore(first, &singleKeyStore{firstStore, protocol.Item{}, 404})
	first.origin.ReserveNumbers()
	goldentest.Equal(t, "first numbers", onlyTxn(t, firstStore),
		"\x82\xa6Guards\x92\x82\xa4Path\xaflead/controller\xa5Stamp\x07\x82\xa4Path\xb2delegation-num"+
			"bers\xa5Stamp\x00\xa6Writes\x91\x82\xa5Write\xb2delegation-numbers\xa4Data\xcd\x03\xe9")
}

// The recorded form of a delegation: the job's record, whose placements are in the other cell, the
// delegation's record, and the offer.
func TestGoldenDelegation(t *testing.T) {
	l, j, store, _ := delegatingLeader(t)
	goldentest.Equal(t, "job", j.Encode(),
		"\x84\xa4spec\xde\x00\x13\xa3Uid\xa5job-1\xa4Lane\xa0\xa4Desk\xa0\xa5Shape\xa5batch\xa4Rank"+
			"\xa0\xa4Legs\x02\xa5Vcpus\xcb?\xf0\x00\x00\x00\x00\x00\x00\xa4Gpus\xcb\x00\x00\x00\x00\x00"+
			"\x00\x00\x00\xa5MemGb\xcb\x00\x00\x00\x00\x00\x00\x00\x00\xa6Bundle\xa0\xa6PullGb\xcb\x00"+
			"\x00\x00\x00\x00\x00\x00\x00\xa6Fleets\xc0\xa9SamePlace\xc2\xa6Spread\xc2\xa7Loaners\xc2\xa9"+
			"ExpectedS\xcb\x00\x00\x00\x00\x00\x00\x00\x00\xa9SnapshotS\xcb\x00\x00\x00\x00\x00\x00\x00"+
			"\x00\xa6FlushS\xcb\x00\x00\x00\x00\x00\x00\x00\x00\xa4DueS\xc0\xa2at\x01\xa3try\x01\xa6place"+
			"d\x91\xb1cell beta 7 1 0-1")
	j.StoredValue.StoredCount, j.StoredValue.Version = j.ChangeCount, 6
	l.origin.SaveDelegations()
	goldentest.Equal(t, "delegation", onlyTxn(t, store),
		"\x82\xa6Guards\x93\x82\xa4Path\xaflead/controller\xa5Stamp\x07\x82\xa4Path\xaddelegations/7"+
			"\xa5Stamp\x00\x82\xa4Path\xaajobs/job-1\xa5Stamp\x06\xa6Writes\x91\x82\xa5Write\xaddelegatio"+
			"ns/7\xa4Data\x85\xa4host\xa4beta\xa3job\xa5job-1\xa5tasks\xa30-1\xa5state\xa7offered\xa2at"+
			"\xce\x05\xf5\xe1\x00")
	store.respond(storetest.Reply[protocol.TxnResponse]{Status: 200, Value: protocol.TxnResponse{Revision: 8}})
	offers := l.origin.OffersTo("beta", nil)
	if len(offers) != 1 {
		t.Fatalf("got offers %v, want one", offers)
	}
	response := delegation.HeartbeatResponse{Result: delegation.Processed, Offers: offers}
	goldentest.Equal(t, "offer", response.Encode(),
		"\x01\x01\x00\x00\x00\x00\x00\x01\x00\x00\x00\x00\x00\x00\x00\x07\x00\xd5\xde\x00\x13\xa3Uid"+
			"\xa5job-1\xa4Lane\xa0\xa4Desk\xa0\xa5Shape\xa5batch\xa4Rank\xa0\xa4Legs\x02\xa5Vcpus\xcb?"+
			"\xf0\x00\x00\x00\x00\x00\x00\xa4Gpus\xcb\x00\x00\x00\x00\x00\x00\x00\x00\xa5MemGb\xcb\x00"+
			"\x00\x00\x00\x00\x00\x00\x00\xa6Bundle\xa0\xa6PullGb\xcb\x00\x00\x00\x00\x00\x00\x00\x00\xa6"+
			"Fleets\xc0\xa9SamePlace\xc2\xa6Spread\xc2\xa7Loaners\xc2\xa9ExpectedS\xcb\x00\x00\x00\x00"+
			"\x00\x00\x00\x00\xa9SnapshotS\xcb\x00\x00\x00\x00\x00\x00\x00\x00\xa6FlushS\xcb\x00\x00\x00"+
			"\x00\x00\x00\x00\x00\xa4DueS\xc0\x00\x030-1\x00\x00\x00\x00\x05\xf5\xe0\xff")
}

// The recorded form of the record of an accepted hosted job, and of a refused one.
func TestGoldenHostedJobs(t *testing.T) {
	for _, c := range []struct {
		name     string
		draining bool
		want     string
	}{
		{"accepted", false,
			"\x82\xa6Guards\x92\x82\xa4Path\xaflead/controller\xa5Stamp\x07\x82\xa4Path\xb1jobs/beta." +
				"job-1.7\xa5Stamp\x00\xa6Writes\x91\x82\xa5Write\xb1jobs/beta.job-1.7\xa4Data\x85\xa4spec" +
				"\xde\x00\x13\xa3Uid\xacbeta.job-1.7\xa4Lane\xa6beta.c\xa4Desk\xa6beta.t\xa5Shape\xa5batc" +
				"h\xa4Rank\xa6normal\xa4Legs\x03\xa5Vcpus\xcb?\xf0\x00\x00\x00\x00\x00\x00\xa4Gpus\xcb" +
				"\x00\x00\x00\x00\x00\x00\x00\x00\xa5MemGb\xcb?\xf0\x00\x00\x00\x00\x00\x00\xa6Bundle\xa1" +
				"i\xa6PullGb\xcb\x00\x00\x00\x00\x00\x00\x00\x00\xa6Fleets\xc0\xa9SamePlace\xc2\xa6Spread" +
				"\xc2\xa7Loaners\xc2\xa9ExpectedS\xcb\x00\x00\x00\x00\x00\x00\x00\x00\xa9SnapshotS\xcb" +
				"\x00\x00\x00\x00\x00\x00\x00\x00\xa6FlushS\xcb\x00\x00\x00\x00\x00\x00\x00\x00\xa4DueS" +
				"\xc0\xa2at\xce\x00\x98\x96\x80\xa4done\xa30,2\xa3try\x01\xa6placed\x91\xacguest beta 7"},
		{"refused", true,
			"\x82\xa6Guards\x92\x82\xa4Path\xaflead/controller\xa5Stamp\x07\x82\xa4Path\xb1jobs/beta." +
				"job-1.7\xa5Stamp\x00\xa6Writes\x91\x82\xa5Write\xb1jobs/beta.job-1.7\xa4Data\x87\xa4spec" +
				"\xde\x00\x13\xa3Uid\xacbeta.job-1.7\xa4Lane\xa6beta.c\xa4Desk\xa6beta.t\xa5Shape\xa5batc" +
				"h\xa4Rank\xa6normal\xa4Legs\x03\xa5Vcpus\xcb?\xf0\x00\x00\x00\x00\x00\x00\xa4Gpus\xcb" +
				"\x00\x00\x00\x00\x00\x00\x00\x00\xa5MemGb\xcb?\xf0\x00\x00\x00\x00\x00\x00\xa6Bundle\xa1" +
				"i\xa6PullGb\xcb\x00\x00\x00\x00\x00\x00\x00\x00\xa6Fleets\xc0\xa9SamePlace\xc2\xa6Spread" +
				"\xc2\xa7Loaners\xc2\xa9ExpectedS\xcb\x00\x00\x00\x00\x00\x00\x00\x00\xa9SnapshotS\xcb" +
				"\x00\x00\x00\x00\x00\x00\x00\x00\xa6FlushS\xcb\x00\x00\x00\x00\x00\x00\x00\x00\xa4DueS" +
				"\xc0\xa6status\xa7aborted\xa2at\xce\x00\x98\x96\x80\xa4done\xa30,2\xa3try\x01\xa6placed" +
				"\x91\xb3guest beta 7 closed\xa5cause\xb9the cell is being drained"},
	} {
		l, store, _ := cellLeader(t)
		l.catalogue.Types = goldenTypes()
		l.cells.Directory.Own.Draining = c.draining
		var tasks jobrecord.TaskSet
		tasks.Add(1)
		spec := protocol.JobSpec{
			ID:       "job-1",
			Class:    "c",
			Team:     "t",
			Shape:    protocol.ShapeArray,
			Priority: "normal",
			Tasks:    3,
			Cpus:     1,
			MemoryGB: 1,
			Image:    "i",
		}
		offer := delegation.Offer{Number: 7, Spec: spec, Tasks: tasks, JobAge: 90 * clock.Second}
		l.host.HandleOffer(l.cells.ByCell["beta"], offer)
		goldentest.Equal(t, c.name, onlyTxn(t, store), c.want)
	}
}

// The recorded form of a zone's record, as the leader writes it.
func TestGoldenZone(t *testing.T) {
	l, _ := newLeader()
	store := &fakeStore{}
	useStore(l, store)
	lost := &zonerecovery.Zone{Name: "somes", Phase: zonerecovery.Lost, Losses: 3, Since: 90 * clock.Second,
		Flaps: 2}
	l.zones.Zones = map[string]*zonetracker.Zone{"somes": {Zone: lost, RecordVersion: 9}}
	l.zones.SaveZones()
	goldentest.Equal(t, "zone", onlyTxn(t, store),
		"\x82\xa6Guards\x92\x82\xa4Path\xaflead/controller\xa5Stamp\x07\x82\xa4Path\xaerecovery/somes"+
			"\xa5Stamp\x09\xa6Writes\x91\x82\xa5Write\xaerecovery/somes\xa4Data\x84\xa6number\x03\xa5phas"+
			"e\xa4lost\xa5since\xce\x05]J\x80\xa5flaps\x02")
}

// The recorded form of a job's changes, as the leader writes them: of its record, or of a shard of a
// sharded one.
func TestGoldenCommits(t *testing.T) {
	l, j, _, _ := leaderWithOneTask(t)
	store := &fakeStore{}
	useStore(l, store)
	j.RecordDone(0)
	l.jobs.ReleasePlacement(j, j.Placements[0])
	l.jobs.MarkHeadChanged(j)
	j.StoredValue.ChangedAt = 0
	l.writer.Commit()
	goldentest.Equal(t, "record", onlyTxn(t, store),
		"\x82\xa6Guards\x92\x82\xa4Path\xaflead/controller\xa5Stamp\x07\x82\xa4Path\xaajobs/job-1\xa5"+
			"Stamp\x05\xa6Writes\x91\x82\xa5Write\xaajobs/job-1\xa4Data\x84\xa4spec\xde\x00\x13\xa3Uid"+
			"\xa5job-1\xa4Lane\xa0\xa4Desk\xa0\xa5Shape\xa5batch\xa4Rank\xa0\xa4Legs\x01\xa5Vcpus\xcb\x00"+
			"\x00\x00\x00\x00\x00\x00\x00\xa4Gpus\xcb\x00\x00\x00\x00\x00\x00\x00\x00\xa5MemGb\xcb\x00"+
			"\x00\x00\x00\x00\x00\x00\x00\xa6Bundle\xa0\xa6PullGb\xcb\x00\x00\x00\x00\x00\x00\x00\x00\xa6"+
			"Fleets\xc0\xa9SamePlace\xc2\xa6Spread\xc2\xa7Loaners\xc2\xa9ExpectedS\xcb\x00\x00\x00\x00"+
			"\x00\x00\x00\x00\xa9SnapshotS\xcb\x00\x00\x00\x00\x00\x00\x00\x00\xa6FlushS\xcb\x00\x00\x00"+
			"\x00\x00\x00\x00\x00\xa4DueS\xc0\xa2at\x01\xa4done\xa10\xa3try\x02")

	_, shardStore, _ := shardedArray(t)
	goldentest.Equal(t, "shard", onlyTxn(t, shardStore),
		"\x82\xa6Guards\x93\x82\xa4Path\xaflead/controller\xa5Stamp\x07\x82\xa4Path\xaajobs/job-1\xa5"+
			"Stamp\x05\x82\xa4Path\xadparts/job-1/0\xa5Stamp\x00\xa6Writes\x91\x82\xa5Write\xadparts/job-"+
			"1/0\xa4Data\x84\xa4next\x01\xa5shift\x01\xa3try\x01\xa6placed\xa5m-1 0")
}

// goldenOverview returns an overview in which every field is set.
func goldenOverview() overview.Overview {
	return overview.Overview{
		Node:   "worker-0",
		Leader: "worker-0",
		Leads:  true,
		Epoch:  41,
		Plans:  7,
		Classes: []overview.ClassOverview{{Class: "train", Jobs: 2, PendingTasks: 3, PlacedTasks: 4,
			Restarting: 1}},
		Machines: []overview.PoolOverview{{
			Type:       "g8",
			Zone:       "a",
			Spot:       true,
			Machines:   5,
			Booting:    1,
			Idle:       2,
			Silent:     1,
			NoCapacity: true,
		}},
		Failing:        []overview.FailingJob{{Job: "job-1", Cause: "error on m-1"}},
		PresentFormats: true,
		Missing:        []string{"worker-1"},
		TightLimits:    true,
		Cell:           "alpha",
		Cells: []federation.CellOverview{{
			Cell:             "beta",
			Reachable:        true,
			DelegatedTasks:   3,
			HostedTasks:      4,
			Recalled:         1,
			OldestStatusAgeS: 2.5,
			OwnWaitS:         7.5,
		}},
		Zones: []overview.ZoneOverview{{
			Zone:                "somes",
			Phase:               zonerecovery.Lost,
			Losses:              3,
			SinceS:              10.5,
			Diagnosis:           zonerecovery.PoweredOff,
			Flaps:               2,
			Machines:            9,
			OnTime:              1,
			Controllers:         1,
			ControllersReached:  1,
			HeartbeatsElsewhere: 4,
			HeldTasks:           6,
			DisplacedTasks:      8,
			Waiting: []overview.WaitingJob{{Job: "job-1", Kind: zonerecovery.Gangs, Tasks: 2,
				Reason: "its turn"}},
		}},
	}
}

// The recorded keys of the overview: all of them, and those that are always present.
func TestGoldenOverview(t *testing.T) {
	full := goldenOverview()
	goldentest.RequireFieldsSet(t, "overview", full)
	goldentest.RequireTags(t, "json", full)
	for _, c := range []struct {
		name  string
		value overview.Overview
		want  string
	}{
		{"full", full,
			`{"node":"worker-0","leader":"worker-0","leads":true,"epoch":41,"plans":7,` +
				`"classes":[{"class":"train","jobs":2,"pending_tasks":3,"placed_tasks":4,"restarting":1}],` +
				`"machines":[{"type":"g8","zone":"a","spot":true,"machines":5,"booting":1,"idle":2,` +
				`"silent":1,"no_capacity":true}],"failing":[{"job":"job-1","cause":"error on m-1"}],` +
				`"present_formats":true,"missing":["worker-1"],"tight_limits":true,"cell":"alpha",` +
				`"cells":[{"cell":"beta","reachable":true,"lent_tasks":3,"borrowed_tasks":4,"recalled":1,` +
				`"oldest_unanswered_s":2.5,"short_s":7.5}],"zones":[{"zone":"somes","phase":"lost",` +
				`"losses":3,"since_s":10.5,"reading":"it is dark","flaps":2,"machines":9,"heard":1,` +
				`"controllers":1,"controllers_reached":1,"heard_elsewhere":4,"held_tasks":6,` +
				`"displaced_tasks":8,"waiting":[{"job":"job-1","kind":"gangs","tasks":2,"why":"its turn"}]}]}`},
		{"empty", overview.Overview{}, `{"node":"","leader":"","leads":false,"present_formats":false}`},
		{"empty lists", overview.Overview{
			Classes:  []overview.ClassOverview{{}},
			Machines: []overview.PoolOverview{{}},
			Failing:  []overview.FailingJob{{}},
			Cells:    []federation.CellOverview{{}},
			Zones:    []overview.ZoneOverview{{Waiting: []overview.WaitingJob{{}}}},
		},
			`{"node":"","leader":"","leads":false,"classes":[{"class":"","jobs":0,"pending_tasks":0,` +
				`"placed_tasks":0}],"machines":[{"type":"","zone":"","spot":false,"machines":0,"booting":0,` +
				`"idle":0,"silent":0,"no_capacity":false}],"failing":[{"job":"","cause":""}],` +
				`"present_formats":false,"cells":[{"cell":"","reachable":false,"lent_tasks":0,` +
				`"borrowed_tasks":0,"recalled":0,"oldest_unanswered_s":0}],"zones":[{"zone":"","phase":"",` +
				`"since_s":0,"machines":0,"heard":0,"waiting":[{"job":"","kind":"","tasks":0,"why":""}]}]}`},
	} {
		got, err := json.Marshal(c.value)
		if err != nil {
			t.Fatal(err)
		}
		goldentest.Equal(t, c.name, got, c.want)
	}
}

// The recorded form of the overview of a leader with a job, a machine, cells and zones.
func TestGoldenOverviewOfALeader(t *testing.T) {
	l, _, _, _ := hostingLeader(t)
	l.state.KnownLeader, l.scheduler.Plans, l.writer.LimitsTightened = "worker-0", 7, true
	l.state.Format = rollout.Status{Services: true, Cells: true, Missing: []string{"worker-1"}}
	s := zonerecovery.Defaults()
	l.zones.Options = &s
	l.zones.Zones = map[string]*zonetracker.Zone{"somes": {
		Zone: &zonerecovery.Zone{
			Name:      "somes",
			Phase:     zonerecovery.Lost,
			Losses:    3,
			Since:     90 * clock.Second,
			Diagnosis: zonerecovery.PoweredOff,
		},
		Evidence: zonerecovery.Evidence{Machines: 4, OnTime: 1, Controllers: 1, ControllersReached: 1,
			OnTimeElsewhere: 2},
	}}
	var got []byte
	l.Overview(func(o any) {
		var err error
		if got, err = json.Marshal(o); err != nil {
			t.Fatal(err)
		}
	})
	goldentest.Equal(t, "overview", got,
		`{"node":"worker-0","leader":"worker-0","leads":true,"epoch":7,"plans":7,`+
			`"classes":[{"class":"","jobs":1,"pending_tasks":0,"placed_tasks":1}],"machines":[{"type":"",`+
			`"zone":"","spot":false,"machines":1,"booting":0,"idle":0,"silent":1,"no_capacity":false}],`+
			`"present_formats":true,"missing":["worker-1"],"tight_limits":true,"cell":"alpha",`+
			`"cells":[{"cell":"beta","reachable":true,"lent_tasks":0,"borrowed_tasks":1,"recalled":0,`+
			`"oldest_unanswered_s":0}],"zones":[{"zone":"somes","phase":"lost","losses":3,"since_s":10,`+
			`"reading":"it is dark","machines":4,"heard":1,"controllers":1,"controllers_reached":1,`+
			`"heard_elsewhere":2}]}`)
}

// The idempotency key of a scale-out request consists of the epoch and a counter.
func TestGoldenIdempotencyKeys(t *testing.T) {
	l, _ := newLeader()
	recorder := &scaleOutRecorder{}
	l.autoscaler.Cloud = cloudtest.Client(recorder)
	l.catalogue.Publish = func([]protocol.MachineType) {}
	l.catalogue.Replace(goldenTypes())
	l.state.Settings.Deployment.Cloud.Rps = 100
	l.autoscaler.Begin()
	spec := &protocol.JobSpec{
		ID:        "job-1",
		Shape:     protocol.ShapeArray,
		Tasks:     1,
		Cpus:      1,
		MemoryGB:  1,
		Spot:      true,
		EstimateS: 600,
	}
	job := &planner.Job{ID: "job-1", Spec: spec, Pending: []int{0}, MaxStarts: 1}
	l.autoscaler.ScaleOut([]planner.UnmetDemand{{Job: job, Tasks: 1}})
	if len(recorder.requests) != 1 {
		t.Fatalf("got requests %+v, want one", recorder.requests)
	}
	goldentest.Equal(t, "scale-out request", protocol.Encode(recorder.requests[0]),
		"\x85\xa7Booking\xa4e7-1\xa5Fleet\xa2g8\xa4Hall\xa1a\xa7Loaners\xc3\xa7HowMany\x01")
}

// scaleOutRecorder is a fake cloud that records scale-out requests.
type scaleOutRecorder struct {
	cloudtest.Service
	requests []protocol.ScaleOutRequest
}

func (r *scaleOutRecorder) ScaleOut(x protocol.ScaleOutRequest, _ clock.Micros,
	_ func(int, protocol.ScaleOutResponse)) {
	r.requests = append(r.requests, x)
}

// The recorded form of responses to heartbeats: commands with each verb, redirects and refusals.
func TestGoldenHeartbeatResponses(t *testing.T) {
	respondTo := func(l *Leader, r protocol.Heartbeat) (int, []byte) {
		status, body := 0, []byte(nil)
		l.Heartbeat(r, func(s int, b any) { status, body = s, protocol.Encode(b) })
		return status, body
	}
	start, _, _, _ := leaderWithOneTask(t)
	status, body := respondTo(start, workerHeartbeat(1, 1))
	goldentest.Equal(t, "start", body,
		"\x82\xa5Epoch\x07\xa6Orders\x91\x84\xa4Verb\xa5start\xa3Leg\xa7job-1/0\xa3Try\x01\xa6LeaveS"+
			"\xcb\x00\x00\x00\x00\x00\x00\x00\x00")
	if status != 200 {
		t.Errorf("start: got status %d, want 200", status)
	}
	stray := protocol.TaskStatus{Task: "job-9/0", Attempt: 1, Status: protocol.TaskRunning}
	stop, _, _, _ := leaderWithOneTask(t)
	status, body = respondTo(stop, workerHeartbeat(1, 1, stray))
	goldentest.Equal(t, "stop", body,
		"\x82\xa5Epoch\x07\xa6Orders\x92\x84\xa4Verb\xa5start\xa3Leg\xa7job-1/0\xa3Try\x01\xa6LeaveS"+
			"\xcb\x00\x00\x00\x00\x00\x00\x00\x00\x84\xa4Verb\xa4kill\xa3Leg\xa7job-9/0\xa3Try\x01\xa6Lea"+
			"veS\xcb\x00\x00\x00\x00\x00\x00\x00\x00")
	if status != 200 {
		t.Errorf("stop: got status %d, want 200", status)
	}
	ended := protocol.TaskStatus{
		Task:    "job-9/0",
		Attempt: 1,
		Status:  protocol.TaskExited,
		Cause:   protocol.CauseDone,
	}
	forget, _, _, _ := leaderWithOneTask(t)
	status, body = respondTo(forget, workerHeartbeat(1, 1, ended))
	goldentest.Equal(t, "forget", body,
		"\x82\xa5Epoch\x07\xa6Orders\x92\x84\xa4Verb\xa5start\xa3Leg\xa7job-1/0\xa3Try\x01\xa6LeaveS"+
			"\xcb\x00\x00\x00\x00\x00\x00\x00\x00\x84\xa4Verb\xa6forget\xa3Leg\xa7job-9/0\xa3Try\x01\xa6L"+
			"eaveS\xcb\x00\x00\x00\x00\x00\x00\x00\x00")
	if status != 200 {
		t.Errorf("forget: got status %d, want 200", status)
	}
	other, _, _, _ := leaderWithOneTask(t)
	other.state.Term.Epoch, other.state.KnownLeader = 0, "worker-1"
	status, body = respondTo(other, workerHeartbeat(1, 1))
	goldentest.Equal(t, "another controller leads", body, "\x81\xaaDispatcher\xa8worker-1")
	if status != 421 {
		t.Errorf("another controller leads: got status %d, want 421", status)
	}
	released, _, _, mailbox := leaderWithOneTask(t)
	released.machines.Released["m-1"] = mailbox.Now
	status, body = respondTo(released, workerHeartbeat(1, 1))
	goldentest.Equal(t, "released", body, "\x80")
	if status != 421 {
		t.Errorf("released: got status %d, want 421", status)
	}
}

// The kinds of objectives in the settings, and the start objective and the due times that the leader
// derives from them.
func TestGoldenObjectives(t *testing.T) {
	l, _ := newLeader()
	l.state.Settings.Deployment.Objectives = []settings.Objective{
		{Kind: "wait", Class: "c", WithinS: 5},
		{Kind: "finished", Class: "c", WithinS: 300},
		{Kind: "deadline", Class: "c", DeadlineFactor: 1.5},
	}
	if s := l.objectives.StartObjectiveS("c"); s != 5 {
		t.Errorf("got a start objective of %v s, want 5", s)
	}
	due := 100.0
	j := jobtable.NewJob(0)
	j.Record = jobrecord.New(protocol.JobSpec{ID: "job-1", Class: "c", DeadlineS: &due}, 1)
	if times := l.objectives.DueTimes(j); !slices.Equal(times, []float64{100, 150, 300}) {
		t.Errorf("got due times %v s, want 100, 150 and 300", times)
	}
}
