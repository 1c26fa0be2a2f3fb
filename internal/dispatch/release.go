package dispatch

import (
	"log/slog"
	"maps"
	"net/http"
	"slices"

	"postpoint/internal/clock"
	"postpoint/internal/cloud"
	"postpoint/internal/protocol"
)

// release marks a machine for return; nothing is placed on it from now on.
func (d *Dispatch) release(m *machine, why string) {
	if m.releasing {
		return
	}
	m.releasing = true
	slog.Info("releasing machine", "machine", m.name, "type", m.typ, "zone", m.zone, "spot", m.spot, "why", why)
}

// sendReleases returns what is marked. Once it is answered, the machines and
// all on them are gone: proof for whatever was placed there.
func (d *Dispatch) sendReleases() {
	leads := d.leads()
	if d.renting.releasing || !leads && !d.keeps() {
		return
	}
	// Those that hold what is cancelled can't wait for others, nor for the cloud to
	// recover from a refusal.
	names := d.toRelease(nil, true)
	if leads && d.now() >= d.renting.downUntil {
		names = d.toRelease(names, false)
	}
	if len(names) == 0 {
		return
	}
	d.renting.releasing = true
	epoch := d.term.Epoch
	d.cloud.Release(names, d.actsUntil(), func(status int) {
		if d.term.Epoch != epoch {
			return
		}
		d.renting.releasing = false
		if status != http.StatusOK {
			d.renting.downUntil = d.now() + downTime
			return
		}
		for _, name := range names {
			d.forgetMachine(d.machines[name])
		}
		d.forgetReleased()
		d.roster = slices.DeleteFunc(slices.Clone(d.roster), func(m *machine) bool { return d.machines[m.name] != m })
		d.wake()
	})
}

// toRelease adds marked machines, overdue ones or others, up to what one call takes.
func (d *Dispatch) toRelease(names []string, overdue bool) []string {
	for _, m := range d.roster {
		if m.releasing && m.overdue == overdue && len(names) < cloud.ReleaseSize {
			names = append(names, m.name)
		}
	}
	return names
}

// forgetMachine drops a machine that is proven gone, and frees its places.
func (d *Dispatch) forgetMachine(m *machine) {
	for id, tasks := range inOrder(m.placed) {
		for _, p := range inOrder(tasks) {
			if j := d.jobs[id]; j != nil {
				d.unplace(j, p)
			}
		}
	}
	delete(d.machines, m.name)
	delete(d.addresses, m.name)
	delete(d.renting.refused, m.kind()) // there is one to be had again
	d.released[m.name] = d.now()
}

// wasReleased tells that a machine was returned in this term, not long ago.
func (d *Dispatch) wasReleased(name string) bool {
	_, released := d.released[name]
	return released
}

// forgetReleased keeps what a long term remembers bounded.
func (d *Dispatch) forgetReleased() {
	old := d.now() - releasedTime
	maps.DeleteFunc(d.released, func(_ string, at clock.Micros) bool { return at < old })
}

// releasedTime is far beyond any delay of a report or a list. A machine of which still
// older word came would be taken for an unexpected one, and be returned once more.
const releasedTime = 15 * 60 * clock.Second

// listMachines reads the cloud's list: addresses, strays and failures.
func (d *Dispatch) listMachines() {
	d.renting.listing = true
	d.renting.listedAt = d.now()
	listed := map[string]bool{}
	var page func(from string)
	epoch, began := d.term.Epoch, d.now()
	page = func(from string) {
		d.cloud.List(from, func(status int, l protocol.MachineList) {
			if d.term.Epoch != epoch {
				return
			}
			if status != http.StatusOK {
				d.renting.listing = false
				if status != 0 {
					d.renting.downUntil = d.now() + downTime
				}
				return
			}
			for _, x := range l.Machines {
				listed[x.Name] = true
				d.noteListed(x)
			}
			if l.More && len(l.Machines) > 0 {
				page(l.Machines[len(l.Machines)-1].Name)
				return
			}
			d.renting.listing = false
			d.missing(listed, began)
			d.wake()
		})
	}
	page("")
}

func (d *Dispatch) noteListed(x protocol.ListedMachine) {
	if d.wasReleased(x.Name) {
		return
	}
	fresh := d.machines[x.Name] == nil
	m := d.machine(x.Name)
	if !m.listed {
		m.listed = true
		m.listedAt = d.now()
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
			m.firstSeen = max(m.firstSeen, d.now()-clock.FromSeconds(d.types[m.typ].BootS))
		}
	}
}

// missing returns machines that were listed and no longer are. An old list may
// lack young machines, so that only a list surely younger than the machine's
// own first listing counts; the release is what proves them gone.
func (d *Dispatch) missing(listed map[string]bool, began clock.Micros) {
	lag := 2*clock.FromSeconds(d.set.Deployment.Cloud.ListLagS) + clock.Second
	for _, m := range d.roster {
		if m.listed && !listed[m.name] && began > m.listedAt+lag && !d.heardRecently(m) {
			d.release(m, "no longer listed")
		}
		// It ran tasks before this term and has had time to report since: if it
		// is alive at all, it is out of everybody's sight.
		if !m.listed && !m.seen && len(m.placed) > 0 && began > d.begunAt+unheardTime {
			d.release(m, "neither listed nor heard of")
		}
	}
}
