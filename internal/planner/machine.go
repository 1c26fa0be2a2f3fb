package planner

import (
	"slices"

	"postpoint/internal/protocol"
)

// Machine is a machine that tasks can be assigned to. Machines that boot take part
// too: tasks assigned to them start later, and nothing more is rented for them.
type Machine struct {
	Name protocol.MachineName
	Type string
	Zone string
	// Spot machines are preemptible: the cloud may take them back.
	Spot    bool
	Booting bool
	// Capacity is the capacity of the machine without any task.
	Capacity Resources
	// Free is the capacity that no task holds.
	Free Resources
	// HourlyPrice is the price of the machine for an hour.
	HourlyPrice float64
	// FetchSPerGB is how many seconds it takes to fetch a gigabyte of an image.
	FetchSPerGB float64
	// CachedImages are the images in the machine's cache.
	CachedImages []string
	// PullingImages are the images being fetched. They share the machine's rate, so that
	// all of them are there at the same time.
	PullingImages []string
	// PullRemainingS is how many seconds fetching all images being fetched takes.
	PullRemainingS float64
	// BootRemainingS is how many seconds a booting machine is expected to go on booting.
	BootRemainingS float64
	// Replicas counts the service replicas on the machine. They don't end by
	// themselves, so that the machine can't be returned.
	Replicas int
	// HeartbeatLate machines have missed a heartbeat. Services keep off them.
	HeartbeatLate bool
	// ZoneAtRisk machines are in a zone that was lost and may be lost again. Only
	// tasks that may have no other zone are assigned to them.
	ZoneAtRisk bool
	// Slowdown is by what fraction tasks ran longer here than elsewhere, 0 if they
	// didn't.
	Slowdown float64
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

// StartPull records that the machine fetches the image for a task assigned to it. It
// leaves the array of the images being fetched as it is, since snapshots share it.
func (m *Machine) StartPull(s *protocol.JobSpec) {
	if !slices.Contains(m.CachedImages, s.Image) && !slices.Contains(m.PullingImages, s.Image) {
		m.PullingImages = append(slices.Clip(m.PullingImages), s.Image)
		m.PullRemainingS += s.ImageGB * m.FetchSPerGB
	}
}
