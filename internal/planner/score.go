package planner

import (
	"container/heap"
	"maps"
	"slices"

	"postpoint/internal/protocol"
)

// zonesOf counts the job's tasks by zone, if that matters to it.
func zonesOf(j *Job) map[string]int {
	zones := map[string]int{}
	if !j.zoned() {
		return zones
	}
	maps.Copy(zones, j.Zones)
	for _, r := range j.Running {
		zones[r.Zone]++
	}
	return zones
}

// Allowed tells whether a job may use a kind of machine in a zone, its other
// tasks aside.
func Allowed(s *protocol.JobSpec, typ, zone string, spot bool) bool {
	return (len(s.Types) == 0 || slices.Contains(s.Types, typ)) &&
		(s.Zone == "" || s.Zone == zone) && (s.Spot || !spot)
}

// ZoneAllowed judges a zone by where the job's tasks may be already, those of
// old attempts included. A task in a zone not known ("") may be in any.
func ZoneAllowed(s *protocol.JobSpec, zones map[string]int, zone string) bool {
	if s.OneZone {
		for z, n := range zones {
			if n > 0 && z != zone {
				return false
			}
		}
	}
	return !s.Spread || zones[zone]+zones[""]+1 <= (s.Tasks+1)/2
}

// candidates are the machines with room for a task of the job, its other tasks
// aside.
func (p *planning) candidates(j *Job, up bool) []*Machine {
	var all []*Machine
	needs := Needs(j.Spec)
	for i := range p.machines {
		m := &p.machines[i]
		if needs.Fits(m.Free) && !(up && m.Booting) && !(m.Late && j.Spec.Service()) && (!m.Doubtful || DependsOn(j.Spec, m.Zone)) && Allowed(j.Spec, m.Type, m.Zone, m.Spot) && !j.Avoid[m.Name] {
			all = append(all, m)
		}
	}
	return all
}

// choices are machines in the order of their scores for tasks of one job: alike
// tasks are placed one after another without a look at every machine for each.
type choices struct {
	j    *Job
	list []choice
}

type choice struct {
	m     *Machine
	score float64
	order int // among equal ones
}

func (p *planning) choices(j *Job, machines []*Machine) *choices {
	c := &choices{j, make([]choice, len(machines))}
	for i, m := range machines {
		c.list[i] = choice{m, score(j, m), i}
	}
	heap.Init(c)
	return c
}

func (c *choices) Len() int { return len(c.list) }

func (c *choices) Less(i, k int) bool {
	a, b := &c.list[i], &c.list[k]
	return a.score < b.score || a.score == b.score && a.order < b.order
}

func (c *choices) Swap(i, k int) { c.list[i], c.list[k] = c.list[k], c.list[i] }

func (c *choices) Push(x any) { c.list = append(c.list, x.(choice)) }

func (c *choices) Pop() any {
	last := c.list[len(c.list)-1]
	c.list = c.list[:len(c.list)-1]
	return last
}

// best is the most suitable machine with room for one more task, or nil. A zone
// that the job's tasks close to it stays closed, since they only become more.
func (c *choices) best(zones map[string]int) *Machine {
	for len(c.list) > 0 {
		if m := c.list[0].m; ZoneAllowed(c.j.Spec, zones, m.Zone) {
			return m
		}
		heap.Pop(c)
	}
	return nil
}

// taken tells that the best machine has less room now.
func (c *choices) taken() {
	first := &c.list[0]
	if !Needs(c.j.Spec).Fits(first.m.Free) {
		heap.Pop(c)
		return
	}
	first.score = score(c.j, first.m)
	heap.Fix(c, 0)
}

// spotRisk is the part of its run that a task without checkpoints is taken to lose
// on a spot machine, which may be taken back.
const spotRisk = 0.1

// bootRiskS is for machines that take longer to boot than they should, in seconds.
const bootRiskS = 10

const (
	// pinnedWeight is what a machine's price, an hour, counts in seconds if a service's
	// replica is the first to keep it.
	pinnedWeight = 3
	// crowdS is what each replica on a machine counts, in seconds, for the next: all of them
	// are lost with it.
	crowdS = 1
)

// replicaScore is for the whole machine that a replica keeps from being returned, and for
// what would be lost together.
func replicaScore(m *Machine) float64 {
	if m.Replicas == 0 {
		return pinnedWeight * m.Price
	}
	return crowdS * float64(m.Replicas)
}

// score weighs, in seconds, the wait for the image, running on a costlier
// machine than needed, and how much of the machine would be left in pieces:
// full machines leave others idle, and idle ones can be returned.
func score(j *Job, m *Machine) float64 {
	s := m.ImageS(j.Spec)
	if m.Booting {
		s += m.BootS + bootRiskS
	}
	needs := Needs(j.Spec)
	s += m.Slow * j.Spec.EstimateS
	if m.Spot && j.Spec.CheckpointS == 0 {
		s += spotRisk * j.Spec.EstimateS
	}
	if j.Spec.Service() {
		s += replicaScore(m)
	}
	s += 10 * m.Price * needs.Share(m.Whole)
	s += 5 * m.Free.Minus(needs).Share(m.Whole)
	return s
}
