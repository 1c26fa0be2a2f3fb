package autoscaler

import (
	"errors"

	"postpoint/internal/clock"
	"postpoint/internal/cloudclient"
	"postpoint/internal/leader/machinetable"
	"postpoint/internal/leader/term"
	"postpoint/internal/protocol"
)

const (
	// listInterval is from one read of the cloud's list of machines to the next.
	listInterval = 4 * clock.Second
	// unheardTimeout is given to machines that ran tasks before this term to be listed or heard of.
	unheardTimeout = 9 * clock.Second
	// A machine has to be missing from a list that was begun listLagFactor times the list's lag and
	// listLagMargin after its first listing: an older list may lack it though it is there.
	listLagFactor = 2
	listLagMargin = clock.Second
)

// listState is what a term knows of its reads of the cloud's list.
type listState struct {
	inFlight bool
	begunAt  clock.Micros
}

// listing is one read of the list, page by page.
type listing struct {
	names   map[protocol.MachineName]bool
	begunAt clock.Micros
}

// listPeriodically reads the cloud's list once in listInterval.
func (a *Autoscaler) listPeriodically() {
	if a.list.inFlight || a.Now() <= a.list.begunAt+listInterval {
		return
	}
	a.list = listState{inFlight: true, begunAt: a.Now()}
	a.readPage(&listing{names: map[protocol.MachineName]bool{}, begunAt: a.Now()}, "")
}

// readPage reads the machines whose names come after from, "" for the first page.
func (a *Autoscaler) readPage(l *listing, from protocol.MachineName) {
	a.Cloud.List(from, term.Guarded2(a.State, func(page protocol.MachineList, err error) {
		a.pageRead(l, page, err)
	}))
}

// pageRead notes the machines of a page, and asks for the next page or finishes the listing. A read
// without a response says nothing against the cloud: the next one is due soon anyway.
func (a *Autoscaler) pageRead(l *listing, page protocol.MachineList, err error) {
	if err != nil {
		a.list.inFlight = false
		if !errors.Is(err, cloudclient.ErrNoResponse) {
			a.backOff()
		}
		return
	}
	for _, machine := range page.Machines {
		l.names[machine.Name] = true
		a.noteListed(machine)
	}
	if page.More && len(page.Machines) > 0 {
		a.readPage(l, page.Machines[len(page.Machines)-1].Name)
		return
	}
	a.list.inFlight = false
	a.releaseMissing(l)
	a.steps.Wake()
}

// noteListed takes over what the cloud says of a machine. What its worker says counts more, as soon
// as it is heard of.
func (a *Autoscaler) noteListed(listed protocol.ListedMachine) {
	if a.machines.WasReleased(listed.Name) {
		return // the list lags behind
	}
	unknown := a.machines.ByName[listed.Name] == nil
	m := a.machines.GetOrAdd(listed.Name)
	if !m.Listed {
		m.Listed = true
		m.ListedAt = a.Now()
	}
	if unknown {
		m.FirstSeen -= clock.FromSeconds(listed.AgeS)
	}
	if !m.Seen {
		m.Type, m.Zone, m.Spot, m.ViewStale = listed.Type, listed.Zone, listed.Spot, true
		m.Address = listed.Address
	}
	a.noteCloudStatus(m, listed.Status)
}

// noteCloudStatus notes whether a machine boots or is up. One that came up without having been heard
// of began to boot no longer ago than a boot takes.
func (a *Autoscaler) noteCloudStatus(m *machinetable.Machine, status string) {
	if m.CloudStatus == status {
		return
	}
	m.CloudStatus = status
	if status == protocol.MachineRunning && !m.Seen {
		boot := a.machines.BootTime(m)
		m.FirstSeen = max(m.FirstSeen, a.Now()-boot)
	}
}

// releaseMissing releases machines that the list lacks though it should have them: it is the release
// that proves them gone.
func (a *Autoscaler) releaseMissing(l *listing) {
	lag := listLagFactor*clock.FromSeconds(a.Settings.Deployment.Cloud.ListLagS) + listLagMargin
	for _, m := range a.machines.Ordered {
		if m.Listed && !l.names[m.Name] && l.begunAt > m.ListedAt+lag && !a.machines.HeardRecently(m) {
			a.machines.ScheduleRelease(m, releaseUnlisted)
		}
		// It ran tasks before this term and has had time to report since: if it is alive at all,
		// neither the cloud nor this node can see it.
		if !m.Listed && !m.Seen && len(m.Placements) > 0 && l.begunAt > a.BegunAt+unheardTimeout {
			a.machines.ScheduleRelease(m, releaseUnheard)
		}
	}
}
