package planner

import (
	"slices"

	"postpoint/internal/protocol"
)

// MachineAllowed reports whether a job may use machines of a type in a zone, regardless of
// where its other tasks are.
func MachineAllowed(s *protocol.JobSpec, typ, zone string, spot bool) bool {
	return (len(s.Types) == 0 || slices.Contains(s.Types, typ)) &&
		(s.Zone == "" || s.Zone == zone) && (s.Spot || !spot)
}

// ZoneAllowed reports whether one more task of a job may go to a zone, given how many
// of its tasks may be in which zones already, those of earlier attempts included. A
// task whose zone isn't known is counted under "" and may be in any.
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

// MayNeedZone reports whether the tasks of a job may have no other zone to go to.
func MayNeedZone(s *protocol.JobSpec, zone string) bool { return s.Zone == zone || s.Spread }

// readiness selects machines by whether a task assigned to them starts at once.
type readiness int

const (
	// readyNow selects machines that are up.
	readyNow readiness = iota
	// readyOrBooting selects machines that boot as well.
	readyOrBooting
)

// candidates returns the machines with room for one task of the job, regardless of
// where its other tasks are.
func (p *planning) candidates(job *Job, ready readiness) []*Machine {
	var machines []*Machine
	request := TaskResources(job.Spec)
	for i := range p.machines {
		machine := &p.machines[i]
		if request.FitsIn(machine.Free) && !(machine.Booting && ready == readyNow) && job.accepts(machine) {
			machines = append(machines, machine)
		}
	}
	return machines
}

// accepts reports whether the job's tasks may be assigned to the machine if it has
// room for them.
func (j *Job) accepts(machine *Machine) bool {
	if machine.HeartbeatLate && j.Spec.Service() {
		return false
	}
	if machine.ZoneAtRisk && !MayNeedZone(j.Spec, machine.Zone) {
		return false
	}
	return j.mayUse(machine)
}

// mayUse reports whether the job's tasks may be on the machine at all, whatever its
// present state.
func (j *Job) mayUse(machine *Machine) bool {
	return MachineAllowed(j.Spec, machine.Type, machine.Zone, machine.Spot) &&
		!j.AvoidedMachines[machine.Name]
}
