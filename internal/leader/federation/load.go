package federation

import (
	"postpoint/internal/clock"
	"postpoint/internal/delegation"
	"postpoint/internal/leader/jobtable"
	"postpoint/internal/planner"
	"postpoint/internal/protocol"
	"postpoint/internal/scaling"
)

// ownLoad returns the capacity that this cell has for hosted jobs. Other cells choose a host by it.
func (h *Host) ownLoad() delegation.Load {
	limit, _ := h.writer.Limits()
	return delegation.Load{
		QuotaLeft: h.quotaLeft(),
		OwnWait:   h.ownDemandWait(),
		MaxTasks:  hostedTasksWithin(limit),
		Types:     h.typeLoads(),
	}
}

// quotaLeft returns how much of the quota for hosted jobs is left. It is zero while this cell is being
// drained or hosted jobs wait for capacity.
func (h *Host) quotaLeft() planner.Resources {
	own := h.cells.Directory.Own
	if own.Draining || h.hostedDemandWait() > 0 {
		return planner.Resources{}
	}
	return own.HostedQuota.Minus(h.jobs.HostedResources())
}

// typeLoads returns the free capacity of each machine type beyond the reserve for own jobs.
func (h *Host) typeLoads() []delegation.TypeLoad {
	free := map[string]planner.Resources{}
	for i := range h.snapshots.LastMachines {
		if m := &h.snapshots.LastMachines[i]; !m.Booting {
			free[m.Type] = free[m.Type].Plus(m.Free)
		}
	}
	refused := h.autoscaler.CloudView().OutOfCapacity
	reserve := h.cells.Directory.Own.Reserve
	var loads []delegation.TypeLoad
	for _, t := range h.catalogue.Types {
		loads = append(loads, delegation.TypeLoad{
			Type:          t,
			Free:          beyondReserve(free[t.Name], reserve),
			OutOfCapacity: outOfCapacity(t, refused),
		})
	}
	return loads
}

// beyondReserve returns the free resources less a reserve. No amount is negative.
func beyondReserve(free, reserve planner.Resources) planner.Resources {
	remaining := free.Minus(reserve)
	return planner.Resources{
		Cpus:     max(0, remaining.Cpus),
		Gpus:     max(0, remaining.Gpus),
		MemoryGB: max(0, remaining.MemoryGB),
	}
}

// outOfCapacity reports whether the cloud has recently refused a machine type in all of its zones. Per zone,
// a refusal of either spot or on-demand machines is enough.
func outOfCapacity(t protocol.MachineType, refused map[scaling.CapacityPool]bool) bool {
	for _, zone := range t.Zones {
		onDemand := scaling.CapacityPool{Type: t.Name, Zone: zone}
		spot := scaling.CapacityPool{Type: t.Name, Zone: zone, Spot: true}
		if !refused[onDemand] && !refused[spot] {
			return false
		}
	}
	return true
}

// ownDemandWait returns the longest time for which one of this cell's own jobs has had unmet demand, or 0 if
// that is less than ShortageTime.
func (h *Host) ownDemandWait() clock.Micros {
	return h.longestWait(func(j *jobtable.Job) bool { return j.Hosted == nil })
}

// hostedDemandWait is like ownDemandWait, but for hosted jobs.
func (h *Host) hostedDemandWait() clock.Micros {
	return h.longestWait(func(j *jobtable.Job) bool { return j.Hosted != nil })
}

// longestWait returns the longest time for which one of the selected jobs has had unmet demand, or 0 if that
// is less than ShortageTime.
func (h *Host) longestWait(selected func(*jobtable.Job) bool) clock.Micros {
	now := h.Now()
	longest := clock.Micros(0)
	for _, j := range h.jobs.ByID {
		if selected(j) && !j.MustNotRun() && j.HasUnmetDemand(now) {
			longest = max(longest, now-j.UnmetSince)
		}
	}
	if longest < ShortageTime {
		return 0
	}
	return longest
}

// ShortageTime is how long a job must have unmet demand before that counts as a shortage of machines. A plan
// or two and a response of the cloud take about as long.
const ShortageTime = 5 * clock.Second
