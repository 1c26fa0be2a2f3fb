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
	// The planner waits for a booting machine for maxBootFactor times the usual boot time of its type
	// plus bootMargin: a slow boot takes at most twice the usual time.
	maxBootFactor = 2
	bootMargin    = 5 * clock.Second
	// firstHeartbeatMargin is added to the usual boot time for a machine that runs according to the
	// cloud, but whose worker has yet to find the leader.
	firstHeartbeatMargin = 10 * clock.Second
)

// PlannedMachine returns the planner's view of a machine, and reports whether plans may use the
// machine.
func (b *Builder) PlannedMachine(m *machinetable.Machine, now clock.Micros) (planner.Machine, bool) {
	machineType, known := b.catalogue.ByName[m.Type]
	if !known || !b.acceptsTasks(m, now) {
		return planner.Machine{}, false
	}
	if m.ViewStale {
		b.rebuildView(m, machineType)
	}
	m.View.ZoneAtRisk = b.zones.IsReturning(m.Zone)
	if !m.HeartbeatReceived {
		setBooting(m, machineType, now)
		return m.View, m.View.Booting && len(m.Placements) == 0
	}
	m.AdvancePulls(now, machineType)
	m.View.PullRemainingS = m.PullGB * m.View.FetchSPerGB
	m.View.HeartbeatLate = b.machines.HeartbeatMissed(m)
	return m.View, !m.Unrecognized
}

// acceptsTasks reports whether a machine may get tasks, regardless of the tasks that it runs.
func (b *Builder) acceptsTasks(m *machinetable.Machine, now clock.Micros) bool {
	if m.Releasing || m.Quarantined || m.ReclaimAt != 0 || now < m.FullUntil || b.zones.IsLost(m.Zone) {
		return false
	}
	if !m.HeartbeatReceived {
		return true
	}
	return !m.Cordoned && !m.ResponsesLost && b.machines.EpochAcknowledged(m) && b.machines.LeaseRenewed(m)
}

// setBooting sets whether the planner waits for a machine that hasn't sent a heartbeat yet, and how
// long its boot still takes. A machine that is late is expected to need as much time again as it is
// late.
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

// rebuildView rebuilds the planner's view of a machine.
func (b *Builder) rebuildView(m *machinetable.Machine, machineType protocol.MachineType) {
	m.ViewStale = false
	m.AdvancePulls(b.Now(), machineType)
	pulling := m.View.PullingImages
	m.View = emptyView(m, machineType)
	b.addPlacements(m, pulling)
	m.View.StatusBytes += unplacedStatusBytes(m)
	m.Unrecognized = runsUnrecognizedTask(m)
}

// emptyView returns the planner's view of a machine without placements.
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

// addPlacements subtracts the placements on a machine from the free capacity of its view. Images that
// the machine wasn't pulling before add to PullGB, the amount that it still has to pull.
func (b *Builder) addPlacements(m *machinetable.Machine, pulling []string) {
	for id, tasks := range ordered.ByKey(m.Placements) {
		spec := &b.jobs.ByID[id].Spec
		m.View.Free = m.View.Free.Minus(planner.TaskResources(spec).Times(float64(len(tasks))))
		m.View.StatusBytes += spec.StatusBytes() * len(tasks)
		if spec.IsService() {
			m.View.Replicas += len(tasks)
		}
		m.View.StartPull(spec)
		if !slices.Contains(pulling, spec.Image) && slices.Contains(m.View.PullingImages, spec.Image) {
			m.PullGB += spec.ImageGB
			pulling = append(pulling, spec.Image)
		}
	}
}

// unplacedStatusBytes returns how much of the worker's heartbeat the tasks take that are listed but not
// placed on the machine, most of which have exited.
func unplacedStatusBytes(m *machinetable.Machine) int {
	size := 0
	for ref, task := range m.Tasks {
		if !m.Placed(ref) {
			size += task.ListedBytes()
		}
	}
	return size
}

// runsUnrecognizedTask reports whether a machine runs a task that isn't placed there, whose resource
// needs are therefore unknown.
func runsUnrecognizedTask(m *machinetable.Machine) bool {
	for ref, task := range m.Tasks {
		if _, placed := m.Placements[ref.Job][ref.Task]; !placed && task.Status != protocol.TaskExited {
			return true
		}
	}
	return false
}
