package planner

import (
	"slices"

	"postpoint/internal/protocol"
)

// Machine is a machine to which the planner can assign tasks. Booting machines take part too: tasks
// assigned to them start later, and the autoscaler adds no other machines for them.
type Machine struct {
	Name protocol.MachineName
	Type string
	Zone string
	// Spot machines are preemptible: the cloud may reclaim them.
	Spot    bool
	Booting bool
	// Capacity is the capacity of the machine without any task.
	Capacity Resources
	// Free is the capacity that no task holds.
	Free Resources
	// StatusBytes is how much of its worker's heartbeat the statuses of the tasks on the machine take.
	StatusBytes int
	// HourlyPrice is the price of the machine for an hour.
	HourlyPrice float64
	// FetchSPerGB is how many seconds it takes to fetch a gigabyte of an image.
	FetchSPerGB float64
	// CachedImages are the images in the machine's cache.
	CachedImages []string
	// PullingImages are the images that the machine is fetching. They share its bandwidth, so that
	// all of them are complete at the same time.
	PullingImages []string
	// PullRemainingS is how many more seconds the machine takes to fetch all of PullingImages.
	PullRemainingS float64
	// BootRemainingS is how many more seconds a booting machine is expected to take to boot.
	BootRemainingS float64
	// Replicas counts the service replicas on the machine. Replicas don't end by themselves, so
	// that the autoscaler can't release the machine.
	Replicas int
	// HeartbeatLate reports whether the machine has missed a heartbeat. The planner assigns no
	// services to it.
	HeartbeatLate bool
	// ZoneAtRisk reports whether the machine's zone was lost and may be lost again. The planner
	// assigns a task to the machine only if the task may have no other zone.
	ZoneAtRisk bool
	// Slowdown is the fraction by which tasks ran longer on this machine than on others, 0 if they
	// ran no longer.
	Slowdown float64
}

// Fits reports whether the machine has free capacity for one more task of a job, and its worker's
// heartbeat has room for the task's status.
func (m *Machine) Fits(s *protocol.JobSpec) bool {
	return TaskResources(s).FitsIn(m.Free) && m.StatusBytes+s.StatusBytes() <= protocol.MaxStatusListBytes
}

// Copies returns how many more tasks of a job fit on the machine.
func (m *Machine) Copies(s *protocol.JobSpec) int {
	return min(TaskResources(s).CopiesIn(m.Free), statusesIn(protocol.MaxStatusListBytes-m.StatusBytes, s))
}

// CopiesInEmpty returns how many tasks of a job fit on an empty machine of the given capacity.
func CopiesInEmpty(s *protocol.JobSpec, capacity Resources) int {
	return min(TaskResources(s).CopiesIn(capacity), statusesIn(protocol.MaxStatusListBytes, s))
}

// statusesIn returns how many statuses of tasks of a job fit into a part of a heartbeat.
func statusesIn(listBytes int, s *protocol.JobSpec) int { return max(0, listBytes) / s.StatusBytes() }

// Take subtracts one task of a job from what is free on the machine.
func (m *Machine) Take(s *protocol.JobSpec) {
	m.Free = m.Free.Minus(TaskResources(s))
	m.StatusBytes += s.StatusBytes()
}

// release undoes Take, except for rounding.
func (m *Machine) release(s *protocol.JobSpec) {
	m.Free = m.Free.Plus(TaskResources(s))
	m.StatusBytes -= s.StatusBytes()
}

// ImageWaitS returns how many seconds a task of the job would wait for its image.
func (m *Machine) ImageWaitS(s *protocol.JobSpec) float64 {
	switch {
	case slices.Contains(m.CachedImages, s.Image):
		return 0
	case slices.Contains(m.PullingImages, s.Image):
		return m.PullRemainingS
	}
	return m.PullRemainingS + s.ImageGB*m.FetchSPerGB
}

// StartPull records that the machine fetches the image for a task assigned to it. It copies
// PullingImages before it appends, since snapshots share the underlying array.
func (m *Machine) StartPull(s *protocol.JobSpec) {
	if !slices.Contains(m.CachedImages, s.Image) && !slices.Contains(m.PullingImages, s.Image) {
		m.PullingImages = append(slices.Clip(m.PullingImages), s.Image)
		m.PullRemainingS += s.ImageGB * m.FetchSPerGB
	}
}
