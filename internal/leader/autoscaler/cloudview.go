package autoscaler

import (
	"postpoint/internal/clock"
	"postpoint/internal/scaling"
)

const (
	// initialCapacityPause is after how long a pool that has run out of machines is asked again. The
	// pause doubles with each refusal in a row, up to maxCapacityPause, which bounds how late new
	// capacity is noticed.
	initialCapacityPause = 8 * clock.Second
	maxCapacityPause     = 32 * clock.Second
)

// capacityPause is the time in which a pool that has run out of machines isn't asked.
type capacityPause struct {
	until  clock.Micros
	length clock.Micros
}

// CloudView returns what can be scaled out at present, as far as is known.
func (a *Autoscaler) CloudView() *scaling.CloudView {
	view := &scaling.CloudView{Types: a.catalogue.ByName, OutOfCapacity: map[scaling.CapacityPool]bool{}}
	for pool, pause := range a.scaleOut.exhausted {
		if a.Now() < pause.until {
			view.OutOfCapacity[pool] = true
		}
	}
	if a.zones.AnyCordoned() {
		a.excludeAvoidedZones(view)
	}
	return view
}

// excludeAvoidedZones leaves out the zones that aren't healthy, since machines that boot there may
// never be heard of. Zones that have just returned are only marked: what depends on them may go there.
func (a *Autoscaler) excludeAvoidedZones(view *scaling.CloudView) {
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

// noteExhausted pauses requests for a pool that has run out of machines.
func (a *Autoscaler) noteExhausted(pool scaling.CapacityPool) {
	pause := a.scaleOut.exhausted[pool]
	pause.length = min(max(initialCapacityPause, 2*pause.length), maxCapacityPause)
	pause.until = a.Now() + pause.length
	a.scaleOut.exhausted[pool] = pause
}

// noteAvailable ends the pause of a pool in which there is capacity again.
func (a *Autoscaler) noteAvailable(pool scaling.CapacityPool) { delete(a.scaleOut.exhausted, pool) }
