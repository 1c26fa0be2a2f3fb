package scaling

import (
	"fmt"
	"math/rand/v2"

	"postpoint/internal/planner"
	"postpoint/internal/protocol"
)

// drawCloudView draws a cloud with four machine types in two zones. Some pools are out of capacity,
// those of the larger types more often.
func drawCloudView(r *rand.Rand) *CloudView {
	view := &CloudView{Types: map[string]protocol.MachineType{}, OutOfCapacity: map[CapacityPool]bool{}}
	for i, t := range []protocol.MachineType{
		{Name: "small", Cpus: 8, MemoryGB: 16, Price: 0.3, SpotPrice: 0.1, BootS: 30, FetchGBPerS: 0.6},
		{Name: "middle", Cpus: 16, MemoryGB: 64, Price: 0.7, SpotPrice: 0.2, BootS: 30, FetchGBPerS: 0.5},
		{Name: "large", Cpus: 48, Gpus: 4, MemoryGB: 288, Price: 14, SpotPrice: 5, BootS: 40,
			FetchGBPerS: 0.3},
		{Name: "huge", Cpus: 96, Gpus: 8, MemoryGB: 768, Price: 24, SpotPrice: 7, BootS: 40,
			FetchGBPerS: 0.25},
	} {
		t.Zones = []string{"a", "b"}
		view.Types[t.Name] = t
		for _, zone := range t.Zones {
			for _, spot := range []bool{true, false} {
				view.OutOfCapacity[CapacityPool{t.Name, zone, spot}] = r.IntN(4) < i
			}
		}
	}
	return view
}

// drawUnmetDemand draws unmet demand of jobs of all urgencies.
func drawUnmetDemand(r *rand.Rand, jobs, mostTasks int) []planner.UnmetDemand {
	unmet := make([]planner.UnmetDemand, jobs)
	for i := range unmet {
		spec := &protocol.JobSpec{ID: protocol.JobID(fmt.Sprint("job-", i)), Tasks: 1 + r.IntN(mostTasks),
			Cpus: []float64{1, 10, 15}[r.IntN(3)], MemoryGB: []float64{1.4, 51}[r.IntN(2)],
			Gpus: float64(r.IntN(4) / 3), ImageGB: 2 * r.Float64(), Spot: r.IntN(3) > 0,
			OneZone: r.IntN(4) == 0}
		j := &planner.Job{ID: spec.ID, Spec: spec, SlackS: -400 + 800*r.Float64(),
			HasStartObjective: r.IntN(4) == 0, BackingOff: r.IntN(20) == 0}
		if r.IntN(3) == 0 {
			j.Running = []planner.RunningTask{{Task: 0, Machine: "m-1", Zone: []string{"a", "b"}[r.IntN(2)]}}
		}
		unmet[i] = planner.UnmetDemand{Job: j, Tasks: spec.Tasks}
	}
	return unmet
}
