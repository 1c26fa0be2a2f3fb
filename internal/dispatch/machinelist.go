package dispatch

import (
	"net/http"

	"postpoint/internal/clock"
	"postpoint/internal/protocol"
)

// listMachines reads the cloud's list: addresses, strays and failures.
func (sc *autoscaler) listMachines() {
	sc.listing = true
	sc.listedAt = sc.now()
	listed := map[string]bool{}
	var page func(from string)
	epoch, began := sc.term.Epoch, sc.now()
	page = func(from string) {
		sc.cloud.List(from, func(status int, l protocol.MachineList) {
			if sc.term.Epoch != epoch {
				return
			}
			if status != http.StatusOK {
				sc.listing = false
				if status != 0 {
					sc.downUntil = sc.now() + downTime
				}
				return
			}
			for _, x := range l.Machines {
				listed[x.Name] = true
				sc.noteListed(x)
			}
			if l.More && len(l.Machines) > 0 {
				page(l.Machines[len(l.Machines)-1].Name)
				return
			}
			sc.listing = false
			sc.missing(listed, began)
			sc.steps.wake()
		})
	}
	page("")
}

func (sc *autoscaler) noteListed(x protocol.ListedMachine) {
	if sc.machines.wasReleased(x.Name) {
		return
	}
	fresh := sc.machines.byName[x.Name] == nil
	m := sc.machines.get(x.Name)
	if !m.listed {
		m.listed = true
		m.listedAt = sc.now()
	}
	if fresh {
		m.firstSeen -= clock.FromSeconds(x.AgeS)
	}
	if !m.seen {
		m.typ, m.zone, m.spot, m.viewStale = x.Type, x.Zone, x.Spot, true
		m.addr = x.Address
	}
	if was := m.status; was != x.Status {
		m.status = x.Status
		if x.Status == protocol.MachineRunning && !m.seen {
			m.firstSeen = max(m.firstSeen, sc.now()-clock.FromSeconds(sc.catalogue.byName[m.typ].BootS))
		}
	}
}

// missing returns machines that were listed and no longer are. An old list may
// lack young machines, so that only a list surely younger than the machine's
// own first listing counts; the release is what proves them gone.
func (sc *autoscaler) missing(listed map[string]bool, began clock.Micros) {
	lag := 2*clock.FromSeconds(sc.settings.Deployment.Cloud.ListLagS) + clock.Second
	for _, m := range sc.machines.ordered {
		if m.listed && !listed[m.name] && began > m.listedAt+lag && !sc.machines.heardRecently(m) {
			sc.machines.scheduleRelease(m, "no longer listed")
		}
		// It ran tasks before this term and has had time to report since: if it
		// is alive at all, it is out of everybody's sight.
		if !m.listed && !m.seen && len(m.placed) > 0 && began > sc.begunAt+unheardTime {
			sc.machines.scheduleRelease(m, "neither listed nor heard of")
		}
	}
}
