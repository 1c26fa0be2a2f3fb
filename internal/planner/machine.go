package planner

import (
	"slices"

	"postpoint/internal/protocol"
)

// Machine is a machine that tasks can be assigned to. Machines that boot take part
// too: tasks assigned to them start later, and nothing more is rented for them.
type Machine struct {
	Name string
	Type string
	Zone string
	// Spot machines are preemptible: the cloud may take them back.
	Spot    bool
	Booting bool
	// Whole is the capacity of the machine without any task.
	Whole Amounts
	// Free is the capacity that no task holds.
	Free Amounts
	// Price is the price of the machine for an hour.
	Price float64
	// FetchS is how many seconds it takes to fetch a gigabyte of an image.
	FetchS float64
	// Images are the images in the machine's cache.
	Images []string
	// Pulling are the images being fetched. They share the machine's rate, so that
	// all of them are there at the same time.
	Pulling []string
	// PullS is how many seconds fetching all images being fetched takes.
	PullS float64
	// BootS is how many seconds a booting machine is expected to go on booting.
	BootS float64
	// Replicas counts the service replicas on the machine. They don't end by
	// themselves, so that the machine can't be returned.
	Replicas int
	// Late machines have missed a heartbeat. Services keep off them.
	Late bool
	// Doubtful machines are in a zone that was lost and may be lost again. Only
	// tasks that may have no other zone are assigned to them.
	Doubtful bool
	// Slow is by what fraction tasks ran longer here than elsewhere, 0 if they
	// didn't.
	Slow float64
}

// ImageWaitS returns how many seconds a task of the job would wait for its image.
func (m *Machine) ImageWaitS(s *protocol.JobSpec) float64 {
	switch {
	case slices.Contains(m.Images, s.Image):
		return 0
	case slices.Contains(m.Pulling, s.Image):
		return m.PullS
	}
	return m.PullS + s.ImageGB*m.FetchS
}

// Pull records that the machine fetches the image for a task assigned to it. It
// leaves the array of the images being fetched as it is, since snapshots share it.
func (m *Machine) Pull(s *protocol.JobSpec) {
	if !slices.Contains(m.Images, s.Image) && !slices.Contains(m.Pulling, s.Image) {
		m.Pulling = append(slices.Clip(m.Pulling), s.Image)
		m.PullS += s.ImageGB * m.FetchS
	}
}
