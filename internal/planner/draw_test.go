package planner

import (
	"fmt"

	"pgregory.net/rapid"

	"postpoint/internal/protocol"
)

// limitedCpus is the processor limit of the team "limited". The team "open" has no limit.
const limitedCpus = 12

// drawSnapshot draws machines and jobs. Some of the jobs run already.
func drawSnapshot(t *rapid.T) Snapshot {
	s := Snapshot{Teams: map[string]Team{
		"limited": {Limit: Resources{Cpus: limitedCpus}, Guarantee: Resources{Cpus: 6}},
		"open":    {},
	}}
	for i := range rapid.IntRange(1, 6).Draw(t, "machines") {
		s.Machines = append(s.Machines, drawMachine(t, protocol.MachineName(fmt.Sprint("m", i))))
	}
	for i := range rapid.IntRange(1, 6).Draw(t, "jobs") {
		spec := drawSpec(t, protocol.JobID(fmt.Sprint("job-", i)))
		j := Job{ID: spec.ID, Spec: spec, Rank: rapid.IntRange(0, 3).Draw(t, "rank"),
			SubmittedAt: int64(i), MaxStarts: 100, MayPreempt: true}
		start := rapid.Bool().Draw(t, "running")
		for task := range spec.Tasks {
			if !start || !runSomewhere(t, &s, &j, task) {
				j.Pending = append(j.Pending, task)
			}
		}
		if spec.IsGang() && len(j.Running) > 0 {
			j.Pending = nil
		}
		s.Jobs = append(s.Jobs, j)
	}
	return s
}

func drawMachine(t *rapid.T, name protocol.MachineName) Machine {
	whole := Resources{Cpus: float64(rapid.IntRange(2, 12).Draw(t, "cpus")), MemoryGB: 64}
	return Machine{Name: name, Type: "t", Zone: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone"),
		Spot: rapid.Bool().Draw(t, "spot"), Capacity: whole, Free: whole, HourlyPrice: 1}
}

func drawSpec(t *rapid.T, id protocol.JobID) *protocol.JobSpec {
	shapes := []string{protocol.ShapeArray, protocol.ShapeGang, protocol.ShapeService}
	tasks := rapid.IntRange(1, 5).Draw(t, "tasks")
	return &protocol.JobSpec{ID: id, Team: rapid.SampledFrom([]string{"limited", "open"}).Draw(t, "team"),
		Shape: rapid.SampledFrom(shapes).Draw(t, "shape"), Tasks: tasks,
		Cpus: float64(rapid.IntRange(1, 5).Draw(t, "cpus of a task")), MemoryGB: 1,
		Spot:    rapid.Bool().Draw(t, "spot allowed"),
		OneZone: rapid.IntRange(0, 3).Draw(t, "one zone") == 0,
		Spread:  rapid.IntRange(0, 3).Draw(t, "spread") == 0}
}

// runSomewhere starts a task on the first machine that it fits and may use, and reports whether
// there is one.
func runSomewhere(t *rapid.T, s *Snapshot, j *Job, task int) bool {
	request, zones := TaskResources(j.Spec), countZones(j.Running)
	for i := range s.Machines {
		m := &s.Machines[i]
		if !request.FitsIn(m.Free) || !MachineAllowed(j.Spec, m.Type, m.Zone, m.Spot) ||
			!ZoneAllowed(j.Spec, zones, m.Zone) {
			continue
		}
		m.Free = m.Free.Minus(request)
		j.Running = append(j.Running, RunningTask{Task: task, Machine: m.Name, Zone: m.Zone,
			OverheadS: float64(rapid.IntRange(0, 50).Draw(t, "overhead"))})
		team := s.Teams[j.Spec.Team]
		team.Used = team.Used.Plus(request)
		s.Teams[j.Spec.Team] = team
		return true
	}
	return false
}

// drawQueue draws a snapshot whose jobs and machines differ in everything that affects their order.
// No job may preempt.
func drawQueue(t *rapid.T) Snapshot {
	s := drawSnapshot(t)
	images := []string{"x", "y", "z"}
	for i := range s.Machines {
		m := &s.Machines[i]
		m.HourlyPrice = float64(rapid.IntRange(1, 4).Draw(t, "price"))
		m.FetchSPerGB = 2
		m.CachedImages = rapid.SliceOfNDistinct(rapid.SampledFrom(images), 0, 2, rapid.ID[string]).Draw(t,
			"images")
		if rapid.IntRange(0, 3).Draw(t, "booting") == 0 && m.Free == m.Capacity {
			m.Booting, m.BootRemainingS = true, float64(rapid.IntRange(0, 30).Draw(t, "boot remaining"))
		}
	}
	for i := range s.Jobs {
		j := &s.Jobs[i]
		spec := *j.Spec
		spec.Image, spec.ImageGB, spec.EstimateS = rapid.SampledFrom(images).Draw(t, "image"), 3, 40
		spec.CheckpointS = float64(10 * rapid.IntRange(0, 1).Draw(t, "checkpoints"))
		j.Spec = &spec
		j.MayPreempt, j.Rank = false, rapid.IntRange(0, 1).Draw(t, "rank")
		j.Tier = Tier(rapid.IntRange(0, 2).Draw(t, "tier"))
		j.SlackS = float64(rapid.IntRange(-50, 100).Draw(t, "slack"))
		j.WithinGuarantee = rapid.IntRange(0, 4).Draw(t, "within guarantee") == 0
		j.MaxStarts = rapid.IntRange(1, 6).Draw(t, "max starts")
		j.ScaleOutOverdue = rapid.Bool().Draw(t, "scale-out overdue")
	}
	return s
}
