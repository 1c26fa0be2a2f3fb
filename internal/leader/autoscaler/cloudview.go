package autoscaler

import (
	"postpoint/internal/clock"
	"postpoint/internal/scaling"
)

const (
	// initialCapacityBackoff is the backoff before the autoscaler requests machines again from a capacity
	// pool that has run out. It doubles with each consecutive refusal, up to maxCapacityBackoff, which
	// bounds how late the autoscaler detects new capacity.
	initialCapacityBackoff = 8 * clock.Second
	maxCapacityBackoff     = 32 * clock.Second
)

// capacityBackoff is the backoff of a capacity pool that has run out of machines.
type capacityBackoff struct {
	until  clock.Micros
	length clock.Micros
}

// CloudView returns the machine types and the capacity pools that are believed to have capacity at present.
func (a *Autoscaler) CloudView() *scaling.CloudView {
	view := &scaling.CloudView{Types: a.catalogue.ByName, OutOfCapacity: map[scaling.CapacityPool]bool{}}
	for pool, backoff := range a.scaleOut.exhausted {
		if a.Now() < backoff.until {
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

// markExhausted starts the backoff of a capacity pool that has run out of machines.
func (a *Autoscaler) markExhausted(pool scaling.CapacityPool) {
	backoff := a.scaleOut.exhausted[pool]
	backoff.length = min(max(initialCapacityBackoff, 2*backoff.length), maxCapacityBackoff)
	backoff.until = a.Now() + backoff.length
	a.scaleOut.exhausted[pool] = backoff
}

// markAvailable ends the backoff of a capacity pool that has capacity again.
func (a *Autoscaler) markAvailable(pool scaling.CapacityPool) { delete(a.scaleOut.exhausted, pool) }
