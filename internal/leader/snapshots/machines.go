package snapshots

import (
	"slices"

	"postpoint/internal/clock"
	"postpoint/internal/leader/machinetable"
	"postpoint/internal/ordered"
	"postpoint/internal/planner"
	"postpoint/internal/protocol"
	"postpoint/internal/scaling"
)

const (
	// A machine that the cloud boots is waited for maxBootFactor times its type's usual boot and
	// bootMargin: the same again is all that a slow boot takes.
	maxBootFactor = 2
	bootMargin    = 5 * clock.Second
	// firstHeartbeatMargin is added to the usual boot for a machine that is up by the cloud's word, and
	// whose worker has yet to find the leader.
	firstHeartbeatMargin = 10 * clock.Second
)

// PlannedMachine returns a machine as the planner is shown it, and reports whether it may be used.
func (b *Builder) PlannedMachine(m *machinetable.Machine, now clock.Micros) (planner.Machine, bool) {
	machineType, known := b.catalogue.ByName[m.Type]
	if !known || !b.acceptsTasks(m, now) {
		return planner.Machine{}, false
	}
	if m.ViewStale {
		b.rebuildView(m, machineType)
	}
	m.View.ZoneAtRisk = b.zones.IsReturning(m.Zone)
	if !m.Seen {
		setBooting(m, machineType, now)
		return m.View, m.View.Booting && len(m.Placements) == 0
	}
	m.AdvancePulls(now, machineType)
	m.View.PullRemainingS = m.PullGB * m.View.FetchSPerGB
	m.View.HeartbeatLate = b.machines.HeartbeatMissed(m)
	return m.View, !m.Unrecognized
}

// acceptsTasks reports whether a machine may get tasks, as far as it isn't a matter of what it runs.
func (b *Builder) acceptsTasks(m *machinetable.Machine, now clock.Micros) bool {
	if m.Releasing || m.Quarantined || m.RecallAt != 0 || now < m.FullUntil || b.zones.IsLost(m.Zone) {
		return false
	}
	if !m.Seen {
		return true
	}
	return !m.Cordoned && !m.ResponsesLost && b.machines.EpochAcknowledged(m) && b.machines.LeaseRenewed(m)
}

// setBooting sets whether a machine that was never heard of is waited for, and for how long. One that
// is late is expected to take as long again as it is late.
func setBooting(m *machinetable.Machine, machineType protocol.MachineType, now clock.Micros) {
	boot := clock.FromSeconds(machineType.BootS)
	switch m.CloudStatus {
	case protocol.MachineStarting:
		m.View.Booting = now < m.FirstSeen+maxBootFactor*boot+bootMargin
	case protocol.MachineRunning:
		m.View.Booting = now < m.FirstSeen+boot+firstHeartbeatMargin
	default:
		m.View.Booting = false
	}
	late := now - m.FirstSeen - boot
	m.View.BootRemainingS = max(-late, late).Seconds()
}

// rebuildView makes the planner's view of a machine anew.
func (b *Builder) rebuildView(m *machinetable.Machine, machineType protocol.MachineType) {
	m.ViewStale = false
	m.AdvancePulls(b.Now(), machineType)
	pulling := m.View.PullingImages
	m.View = emptyView(m, machineType)
	b.addPlacements(m, pulling)
	m.Unrecognized = runsUnrecognizedTask(m)
}

// emptyView returns the planner's view of a machine without any placements.
func emptyView(m *machinetable.Machine, machineType protocol.MachineType) planner.Machine {
	view := planner.Machine{
		Name:        m.Name,
		Type:        m.Type,
		Zone:        m.Zone,
		Spot:        m.Spot,
		Capacity:    scaling.Capacity(machineType),
		Free:        scaling.Capacity(machineType),
		HourlyPrice: scaling.HourlyPrice(machineType, m.Spot),
		Slowdown:    m.Slowness(),
	}
	if machineType.FetchGBPerS > 0 {
		view.FetchSPerGB = 1 / machineType.FetchGBPerS
	}
	for _, image := range m.Images {
		view.CachedImages = append(view.CachedImages, image.Name)
	}
	return view
}

// addPlacements takes what is placed on a machine out of what its view has free. Images that weren't
// being pulled before add to what is still to be pulled.
func (b *Builder) addPlacements(m *machinetable.Machine, pulling []string) {
	for id, tasks := range ordered.ByKey(m.Placements) {
		spec := &b.jobs.ByID[id].Spec
		m.View.Free = m.View.Free.Minus(planner.TaskResources(spec).Times(float64(len(tasks))))
		if spec.Service() {
			m.View.Replicas += len(tasks)
		}
		m.View.StartPull(spec)
		if !slices.Contains(pulling, spec.Image) && slices.Contains(m.View.PullingImages, spec.Image) {
			m.PullGB += spec.ImageGB
			pulling = append(pulling, spec.Image)
		}
	}
}

// runsUnrecognizedTask reports whether a machine runs a task that isn't placed there: nobody knows
// what it takes.
func runsUnrecognizedTask(m *machinetable.Machine) bool {
	for ref, task := range m.Tasks {
		if _, placed := m.Placements[ref.Job][ref.Task]; !placed && task.Status != protocol.TaskExited {
			return true
		}
	}
	return false
}
