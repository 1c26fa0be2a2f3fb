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
	// listInterval is the time between two reads of the cloud's list of machines.
	listInterval = 4 * clock.Second
	// unregisteredTimeout is how long a machine with placements from earlier terms may remain unregistered
	// after the start of a term: the cloud doesn't list the machine and it has sent no heartbeat.
	unregisteredTimeout = 9 * clock.Second
	// The autoscaler ignores that a machine is missing from a listing unless the listing began more than
	// listLagFactor times the list's lag plus listLagMargin after the machine was first listed. An earlier
	// listing may lack a machine that exists.
	listLagFactor = 2
	listLagMargin = clock.Second
)

// listState is the state of reading the cloud's list within a term.
type listState struct {
	inFlight bool
	begunAt  clock.Micros
}

// listing is one read of the whole list, page by page.
type listing struct {
	names   map[protocol.MachineName]bool
	begunAt clock.Micros
}

// listPeriodically reads the cloud's list once per listInterval.
func (a *Autoscaler) listPeriodically() {
	if a.list.inFlight || a.Now() <= a.list.begunAt+listInterval {
		return
	}
	a.list = listState{inFlight: true, begunAt: a.Now()}
	a.readPage(&listing{names: map[protocol.MachineName]bool{}, begunAt: a.Now()}, "")
}

// readPage requests the page of machines whose names follow from; an empty from requests the first page.
func (a *Autoscaler) readPage(l *listing, from protocol.MachineName) {
	a.Cloud.List(from, term.Guarded2(a.State, func(page protocol.MachineList, err error) {
		a.handlePage(l, page, err)
	}))
}

// handlePage records the machines of a page, and requests the next page or finishes the listing. A read
// without a response ends the listing but doesn't start a backoff, because the next listing is due soon
// anyway.
func (a *Autoscaler) handlePage(l *listing, page protocol.MachineList, err error) {
	if err != nil {
		a.list.inFlight = false
		if !errors.Is(err, cloudclient.ErrNoResponse) {
			a.backOff()
		}
		return
	}
	for _, machine := range page.Machines {
		l.names[machine.Name] = true
		a.recordListed(machine)
	}
	if page.More && len(page.Machines) > 0 {
		a.readPage(l, page.Machines[len(page.Machines)-1].Name)
		return
	}
	a.list.inFlight = false
	a.releaseMissing(l)
	a.steps.Wake()
}

// recordListed updates a machine from its entry in the cloud's list. Once the machine's worker has sent a
// heartbeat, the type, zone, spot flag and address that the worker reports take precedence.
func (a *Autoscaler) recordListed(listed protocol.ListedMachine) {
	if a.machines.WasReleased(listed.Name) {
		return // the list lags behind the release
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
	if !m.HeartbeatReceived {
		m.Type, m.Zone, m.Spot, m.ViewStale = listed.Type, listed.Zone, listed.Spot, true
		m.Address = listed.Address
	}
	a.updateCloudStatus(m, listed.Status)
}

// updateCloudStatus records whether the cloud reports a machine as booting or running. If a machine is
// running and hasn't sent a heartbeat yet, its boot counts as begun no earlier than one boot time ago.
func (a *Autoscaler) updateCloudStatus(m *machinetable.Machine, status string) {
	if m.CloudStatus == status {
		return
	}
	m.CloudStatus = status
	if status == protocol.MachineRunning && !m.HeartbeatReceived {
		boot := a.machines.BootTime(m)
		m.FirstSeen = max(m.FirstSeen, a.Now()-boot)
	}
}

// releaseMissing marks machines for release that a listing should contain but lacks. Only the confirmed
// release proves that such a machine is gone.
func (a *Autoscaler) releaseMissing(l *listing) {
	lag := listLagFactor*clock.FromSeconds(a.Settings.Deployment.Cloud.ListLagS) + listLagMargin
	for _, m := range a.machines.Ordered {
		if m.Listed && !l.names[m.Name] && l.begunAt > m.ListedAt+lag && !a.machines.HeartbeatRecent(m) {
			a.machines.ScheduleRelease(m, releaseUnlisted)
		}
		// The machine has placements from an earlier term and has had time to send a heartbeat. If it is
		// alive at all, neither the cloud nor this controller can see it.
		if !m.Listed && !m.HeartbeatReceived && len(m.Placements) > 0 &&
			l.begunAt > a.BegunAt+unregisteredTimeout {
			a.machines.ScheduleRelease(m, releaseUnregistered)
		}
	}
}
