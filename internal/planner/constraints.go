package planner

import (
	"slices"

	"postpoint/internal/protocol"
)

// MachineAllowed reports whether a job may use machines of a type in a zone, spot or on-demand,
// regardless of where its other tasks are.
func MachineAllowed(s *protocol.JobSpec, typ, zone string, spot bool) bool {
	return (len(s.Types) == 0 || slices.Contains(s.Types, typ)) &&
		(s.Zone == "" || s.Zone == zone) && (s.Spot || !spot)
}

// ZoneAllowed reports whether one more task of a job may go to a zone. zones counts the job's tasks
// that may be in each zone already, tasks of earlier attempts included. It counts a task whose zone
// is unknown under "", since the task may be in any zone.
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

// MayNeedZone reports whether tasks of a job may have no zone to go to except this one.
func MayNeedZone(s *protocol.JobSpec, zone string) bool { return s.Zone == zone || s.Spread }

// readiness selects machines by whether they can start a task now or only after booting.
type readiness int

const (
	// readyNow selects ready machines only.
	readyNow readiness = iota
	// readyOrBooting selects booting machines as well.
	readyOrBooting
)

// candidates returns the machines with free capacity for one task of the job, regardless of where
// its other tasks are.
func (p *planning) candidates(job *Job, ready readiness) []*Machine {
	var machines []*Machine
	for i := range p.machines {
		machine := &p.machines[i]
		if machine.Fits(job.Spec) && !(machine.Booting && ready == readyNow) && job.accepts(machine) {
			machines = append(machines, machine)
		}
	}
	return machines
}

// accepts reports whether the planner may assign the job's tasks to the machine, apart from free
// capacity.
func (j *Job) accepts(machine *Machine) bool {
	if machine.HeartbeatLate && j.Spec.IsService() {
		return false
	}
	if machine.ZoneAtRisk && !MayNeedZone(j.Spec, machine.Zone) {
		return false
	}
	return j.mayUse(machine)
}

// mayUse reports whether the job's tasks may run on the machine at all, regardless of its current
// state.
func (j *Job) mayUse(machine *Machine) bool {
	return MachineAllowed(j.Spec, machine.Type, machine.Zone, machine.Spot) &&
		!j.AvoidedMachines[machine.Name]
}
