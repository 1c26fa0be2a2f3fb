package planner

import (
	"fmt"
	"testing"

	"postpoint/internal/protocol"
)

// BenchmarkMake measures a plan that places 100 arrays of 20 tasks on 48 machines.
func BenchmarkMake(b *testing.B) {
	s := Snapshot{Machines: machinesWith(48, 16, 16)}
	for i := range 100 {
		s.Jobs = append(s.Jobs, arrayJob(protocol.JobID(fmt.Sprint("job-", i)), 2, 20, 1))
	}
	for b.Loop() {
		MakePlan(s)
	}
}

// largeSnapshot has the size of a large deployment: 650 machines, most of them full, and 100
// pending jobs.
func largeSnapshot() Snapshot {
	s := Snapshot{Machines: machinesWith(650, 16, 16)}
	for i := range s.Machines {
		s.Machines[i].Name = protocol.MachineName(fmt.Sprintf("m-%06d", i))
		s.Machines[i].FetchSPerGB = 2
		if i%8 != 0 {
			s.Machines[i].Free = Resources{Cpus: 1}
		}
	}
	for i := range 20 {
		s.Jobs = append(s.Jobs, arrayJob(protocol.JobID(fmt.Sprint("job-a", i)), 2, 400, 1))
	}
	for i := range 80 {
		s.Jobs = append(s.Jobs, gangJob(protocol.JobID(fmt.Sprint("job-g", i)), 2, 2+i%15, 15))
	}
	return s
}

// BenchmarkMakeGrown measures a plan for a large deployment.
func BenchmarkMakeGrown(b *testing.B) {
	s := largeSnapshot()
	for b.Loop() {
		MakePlan(s)
	}
}
