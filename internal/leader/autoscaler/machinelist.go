package autoscaler

import (
	"net/http"

	"postpoint/internal/clock"
	"postpoint/internal/protocol"
)

// listMachines reads the cloud's list: addresses, strays and failures.
func (sc *Autoscaler) listMachines() {
	sc.listing = true
	sc.listedAt = sc.Now()
	listed := map[string]bool{}
	var page func(from string)
	epoch, began := sc.Term.Epoch, sc.Now()
	page = func(from string) {
		sc.Cloud.List(from, func(status int, l protocol.MachineList) {
			if sc.Term.Epoch != epoch {
				return
			}
			if status != http.StatusOK {
				sc.listing = false
				if status != 0 {
					sc.DownUntil = sc.Now() + cloudRetryDelay
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
			sc.releaseMissing(listed, began)
			sc.steps.Wake()
		})
	}
	page("")
}

func (sc *Autoscaler) noteListed(x protocol.ListedMachine) {
	if sc.machines.WasReleased(x.Name) {
		return
	}
	fresh := sc.machines.ByName[x.Name] == nil
	m := sc.machines.GetOrAdd(x.Name)
	if !m.Listed {
		m.Listed = true
		m.ListedAt = sc.Now()
	}
	if fresh {
		m.FirstSeen -= clock.FromSeconds(x.AgeS)
	}
	if !m.Seen {
		m.Type, m.Zone, m.Spot, m.ViewStale = x.Type, x.Zone, x.Spot, true
		m.Address = x.Address
	}
	if was := m.CloudStatus; was != x.Status {
		m.CloudStatus = x.Status
		if x.Status == protocol.MachineRunning && !m.Seen {
			m.FirstSeen = max(m.FirstSeen, sc.Now()-clock.FromSeconds(sc.catalogue.ByName[m.Type].BootS))
		}
	}
}

// releaseMissing returns machines that were listed and no longer are. An old list may
// lack young machines, so that only a list surely younger than the machine's
// own first listing counts; the release is what proves them gone.
func (sc *Autoscaler) releaseMissing(listed map[string]bool, began clock.Micros) {
	lag := 2*clock.FromSeconds(sc.Settings.Deployment.Cloud.ListLagS) + clock.Second
	for _, m := range sc.machines.Ordered {
		if m.Listed && !listed[m.Name] && began > m.ListedAt+lag && !sc.machines.HeardRecently(m) {
			sc.machines.ScheduleRelease(m, "no longer listed")
		}
		// It ran tasks before this term and has had time to report since: if it
		// is alive at all, it is out of everybody's sight.
		if !m.Listed && !m.Seen && len(m.Placements) > 0 && began > sc.BegunAt+unheardTimeout {
			sc.machines.ScheduleRelease(m, "neither listed nor heard of")
		}
	}
}
