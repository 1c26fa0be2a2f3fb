package autoscaler

import (
	"postpoint/internal/clock"
	"postpoint/internal/scaling"
)

const (
	// initialCapacityPause is the pause before the autoscaler requests machines again from a capacity pool
	// that has run out. The pause doubles with each consecutive refusal, up to maxCapacityPause, which
	// bounds how late the autoscaler detects new capacity.
	initialCapacityPause = 8 * clock.Second
	maxCapacityPause     = 32 * clock.Second
)

// capacityPause is the pause in requests to a capacity pool that has run out of machines.
type capacityPause struct {
	until  clock.Micros
	length clock.Micros
}

// CloudView returns the machine types and the capacity pools that are believed to have capacity at present.
func (a *Autoscaler) CloudView() *scaling.CloudView {
	view := &scaling.CloudView{Types: a.catalogue.ByName, OutOfCapacity: map[scaling.CapacityPool]bool{}}
	for pool, pause := range a.scaleOut.exhausted {
		if a.Now() < pause.until {
			view.OutOfCapacity[pool] = true
		}
	}
	if a.zones.AnyUnhealthy() {
		a.excludeCordonedZones(view)
	}
	return view
}

// excludeCordonedZones marks the capacity pools of cordoned zones as out of capacity, because machines that
// boot there may never send a heartbeat. Returning zones are only marked as at risk: jobs that depend on such
// a zone may still get machines there.
func (a *Autoscaler) excludeCordonedZones(view *scaling.CloudView) {
	view.ZonesAtRisk = map[string]bool{}
	for _, machineType := range a.catalogue.Types {
		for _, zone := range machineType.Zones {
			if a.zones.IsReturning(zone) {
				view.ZonesAtRisk[zone] = true
			} else if a.zones.IsCordoned(zone) {
				view.OutOfCapacity[scaling.CapacityPool{Type: machineType.Name, Zone: zone}] = true
				view.OutOfCapacity[scaling.CapacityPool{Type: machineType.Name, Zone: zone,
					Spot: true}] = true
			}
		}
	}
}

// markExhausted pauses requests to a capacity pool that has run out of machines.
func (a *Autoscaler) markExhausted(pool scaling.CapacityPool) {
	pause := a.scaleOut.exhausted[pool]
	pause.length = min(max(initialCapacityPause, 2*pause.length), maxCapacityPause)
	pause.until = a.Now() + pause.length
	a.scaleOut.exhausted[pool] = pause
}

// markAvailable ends the pause in requests to a capacity pool that has capacity again.
func (a *Autoscaler) markAvailable(pool scaling.CapacityPool) { delete(a.scaleOut.exhausted, pool) }
