package planner

import (
	"slices"

	"postpoint/internal/protocol"
)

// Machine is a place for tasks. Booting machines take part too: what is
// planned for them starts later and need not be rented for.
type Machine struct {
	Name    string
	Type    string
	Zone    string
	Spot    bool
	Booting bool
	Whole   Amounts
	Free    Amounts
	Price   float64  // an hour
	FetchS  float64  // seconds a GB of image
	Images  []string // cached
	// Pulling are the images being fetched, which takes PullS seconds for all of
	// them: they share the rate.
	Pulling []string
	PullS   float64
	// BootS is how many seconds a booting machine is expected to take yet.
	BootS float64
	// Replicas counts the replicas of services there, which nothing makes end.
	Replicas int
	// Late machines should have been heard of by now.
	Late bool
	// Doubtful machines are in a zone that may be lost again: only what depends on the zone goes
	// there.
	Doubtful bool
	Slow     float64 // by how much longer its tasks ran than others', 0 if they didn't
}

// ImageS is how many seconds a task of the job would wait there for its image.
func (m *Machine) ImageS(s *protocol.JobSpec) float64 {
	switch {
	case slices.Contains(m.Images, s.Image):
		return 0
	case slices.Contains(m.Pulling, s.Image):
		return m.PullS
	}
	return m.PullS + s.ImageGB*m.FetchS
}

// Pull notes that the image is being fetched for a task placed there.
func (m *Machine) Pull(s *protocol.JobSpec) {
	if !slices.Contains(m.Images, s.Image) && !slices.Contains(m.Pulling, s.Image) {
		m.Pulling = append(slices.Clip(m.Pulling), s.Image)
		m.PullS += s.ImageGB * m.FetchS
	}
}

// Running is a task that may be on a machine.
type Running struct {
	Task     int
	Machine  string
	Zone     string
	Stopping bool
	// Overhead is what stopping it loses, in seconds.
	Overhead float64
	// Borrowed tells that its team runs it beyond the team's guarantee.
	Borrowed bool
}

// Job is a job that isn't over.
type Job struct {
	ID          string
	Spec        *protocol.JobSpec
	Rank        int // 0 is the highest
	SubmittedAt int64
	// Returning jobs lent room to a job that has ended: they resume first.
	Returning bool
	// Pending are the tasks to start, in order; Limit is how many of them the
	// record has room for. A gang starts whole or not at all.
	Pending []int
	Limit   int
	Running []Running
	// Zones counts tasks by zone that aren't among Running and matter to where others may be.
	Zones map[string]int
	// Waiting jobs hold back after failures; they neither start nor evict.
	Waiting  bool
	MayEvict bool
	// Within tells that the job fits into its team's guarantee together with the
	// team's earlier jobs, so that it needn't wait for other teams.
	Within bool
	// StartAim tells that its class is expected to start soon.
	StartAim bool
	// StartS orders those that are to start: how many seconds are left for it.
	StartS float64
	// Tier and then SlackS order jobs of one rank: see Tier's values.
	Tier Tier
	// SlackS is how many seconds the job can still wait before its tasks must
	// run for it to meet its aim.
	SlackS float64
	Avoid  map[string]bool // machines on which it failed
	// Unmet tells that machines for it have been wanted for long and haven't come.
	Unmet bool
	// started counts what a plan has started of it and not added to Running.
	started int
}

// DependsOn tells that a job's tasks may have no other zone to go to.
func DependsOn(s *protocol.JobSpec, zone string) bool { return s.Zone == zone || s.Spread }

// zoned tells that the zones of its tasks depend on each other.
func (j *Job) zoned() bool { return j.Spec.OneZone || j.Spec.Spread }

// Tier tells which of the users' aims for a job can still be met.
type Tier int

const (
	// StartsInTime says that the aim for its start can be met, if it starts now.
	StartsInTime Tier = iota
	// EndsInTime says that the aim for its end can be met; the least slack goes first.
	EndsInTime
	// TooLate says that no aim can be met any more. It gives way, in the order of
	// submission, until it has waited so long that it goes first again.
	TooLate
)

// Team is what a team may and does use.
type Team struct {
	Limit     Amounts // 0: none
	Guarantee Amounts
	Used      Amounts
	// BacklogS is how long its unfinished work takes at least, in seconds, when
	// it always uses all that its limit allows.
	BacklogS float64
}

// Guaranteed tells that the team has a guarantee.
func (t *Team) Guaranteed() bool { return t.Guarantee.Cpus > 0 || t.Guarantee.Gpus > 0 }

func (t *Team) allows(a Amounts, n int) bool {
	k := float64(n)
	return (t.Limit.Cpus == 0 || t.Used.Cpus+k*a.Cpus <= t.Limit.Cpus+slack) &&
		(t.Limit.Gpus == 0 || t.Used.Gpus+k*a.Gpus <= t.Limit.Gpus+slack)
}

// Snapshot is all that a plan depends on.
type Snapshot struct {
	Jobs     []Job
	Machines []Machine
	Teams    map[string]Team
}

// Place starts a task on a machine.
type Place struct {
	Job     string
	Task    int
	Machine string
	Booting bool
}

// Stop takes a task off its machine so that For can have the room.
type Stop struct {
	Job  string
	Task int
	For  string
}

// Want is what found no room: tasks of a job that should run now.
type Want struct {
	Job   *Job
	Tasks int
}

// Plan is what is to be done now.
type Plan struct {
	Places []Place
	Stops  []Stop
	Wants  []Want
}
