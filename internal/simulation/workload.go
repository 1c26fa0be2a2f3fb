package simulation

import (
	"fmt"

	"postpoint/internal/clock"
	"postpoint/internal/protocol"
	"postpoint/internal/settings"
)

// testSettings returns the settings of most simulated deployments.
func testSettings() *settings.Settings {
	s := &settings.Settings{}
	s.Deployment = settings.Deployment{
		Teams: []settings.Team{
			{Name: "limited", Cpus: 8, CpusMax: 24, Gpus: 2, GpusMax: 4},
			{Name: "open"},
		},
		Workers: settings.Workers{HeartbeatS: 2, LeaseS: 12, GangWaitS: 20, GangPeerTimeoutS: 4, CancelS: 30},
		KVStore: settings.KVStore{Rps: 100, WriteRps: 40, ValueKb: 8, TxnOps: 5},
		Cloud:   settings.Cloud{Rps: 8, ListLagS: 4},
		// With a tenth of a core the leader pauses between its steps.
		MachineLimits: settings.MachineLimits{CPU: 0.1},
	}
	return s
}

// testTypes returns the machine types of most simulated clouds.
func testTypes() []protocol.MachineType {
	small := protocol.MachineType{
		Name: "small", Cpus: 8, MemoryGB: 32, CacheGB: 20, FetchGBPerS: 1,
		Price: 1, SpotPrice: 0.3, BootS: 8, Zones: []string{"a", "b"},
	}
	big := protocol.MachineType{
		Name: "big", Cpus: 32, Gpus: 4, MemoryGB: 128, CacheGB: 20, FetchGBPerS: 1,
		Price: 8, SpotPrice: 3, BootS: 8, Zones: []string{"a", "b"},
	}
	return []protocol.MachineType{small, big}
}

// arraySpec returns the specification of a job array without placement constraints.
func arraySpec(id protocol.JobID, team string, tasks int, cpus, seconds float64) protocol.JobSpec {
	return protocol.JobSpec{ID: id, Class: "c", Team: team, Shape: protocol.ShapeArray, Priority: "normal",
		Tasks: tasks, Cpus: cpus, MemoryGB: 1, Image: "i", EstimateS: seconds}
}

// randomSpec draws an array or a gang of any priority for one of the teams, perhaps with zone constraints.
func randomSpec(w *World, n int) protocol.JobSpec {
	r := w.Rand
	s := protocol.JobSpec{
		ID: protocol.JobID(fmt.Sprintf("job-%06d", n)), Class: "c",
		Team:  []string{"limited", "open"}[r.IntN(2)],
		Shape: protocol.ShapeArray, Priority: protocol.Priorities[r.IntN(4)], Tasks: 1 + r.IntN(10),
		Cpus: float64(1 + r.IntN(4)), MemoryGB: float64(1 + r.IntN(8)),
		Image: fmt.Sprintf("img-%d", r.IntN(3)), ImageGB: 1,
		Spot: w.chance(0.6), EstimateS: 20, SaveS: 1,
	}
	if w.chance(0.4) {
		s.Shape, s.Tasks = protocol.ShapeGang, 1+r.IntN(4)
		s.OneZone = w.chance(0.4)
		s.Spread = !s.OneZone && w.chance(0.4)
	} else if w.chance(0.3) {
		s.OneZone = w.chance(0.6)
		s.Spread = !s.OneZone
	}
	if w.chance(0.2) {
		s.Gpus = 1
	}
	if w.chance(0.5) {
		s.CheckpointS = 5
	}
	if w.chance(0.2) && !s.Spread {
		s.Zone = "b"
	}
	if w.chance(0.1) {
		// The record of so many tasks doesn't fit in one value within the tightest limits.
		makeLarge(&s, 40+r.IntN(100))
	}
	return s
}

// makeLarge turns a job into an array of many small tasks.
func makeLarge(s *protocol.JobSpec, tasks int) {
	s.Shape, s.Team, s.Tasks = protocol.ShapeArray, "open", tasks
	s.Cpus, s.MemoryGB, s.Gpus = 1, 1, 0
	s.OneZone, s.Spread, s.Zone = false, false, ""
}

// smallTaskSpec draws an array of very many small tasks.
func smallTaskSpec(w *World, n int) protocol.JobSpec {
	s := arraySpec(protocol.JobID(fmt.Sprintf("job-%06d", n)), "open", 150+w.Rand.IntN(100), 0.005, 20)
	s.MemoryGB, s.Image, s.ImageGB, s.Spot = 0.005, "img-0", 1, true
	return s
}

// randomService draws a service. Most services have replicas that run until a controller stops them; the
// replicas of the others exit after about the returned run time.
func randomService(w *World, n int) (s protocol.JobSpec, run clock.Micros) {
	s = randomSpec(w, n)
	s.Shape, s.Team, s.EstimateS, s.CheckpointS = protocol.ShapeService, "open", 0, 0
	s.Tasks, s.Cpus, s.MemoryGB, s.Gpus = 1+w.Rand.IntN(6), 1, 1, 0
	s.OneZone, s.Zone, s.Spread = false, "", w.chance(0.5)
	if w.chance(0.5) {
		s.Priority = "prod"
	}
	if w.chance(0.3) {
		run = w.Between(clock.Second, 60*clock.Second)
	}
	return s, run
}
