// Package machinetable owns the machines of a term, with their workers' incarnations and leases,
// and the cloud's machine types and prices. It makes no decisions: the reconciler changes machines
// according to heartbeats, and the autoscaler scales out and in.
package machinetable

import (
	"cmp"
	"log/slog"
	"maps"
	"slices"

	"postpoint/internal/clock"
	"postpoint/internal/jobrecord"
	"postpoint/internal/leader/term"
	"postpoint/internal/protocol"
)

// Table owns the machines and the state of their workers' incarnations and leases.
type Table struct {
	*term.State
	catalogue *Catalogue

	// ByName holds the machines by their names.
	ByName map[protocol.MachineName]*Machine
	// Ordered holds the machines in the order of their names. The slice is replaced, never changed
	// in place, so that machines may be added or removed while it is iterated over.
	Ordered []*Machine
	// Released holds the machines that were scaled in, and when: later messages about them are
	// outdated. The table keeps an entry for ReleasedRetention.
	Released map[protocol.MachineName]clock.Micros
	// addresses holds the workers' addresses, across terms and also on controllers that don't lead.
	addresses map[protocol.MachineName]string
}

// New returns an empty table whose planner views follow the catalogue's prices.
func New(term *term.State, catalogue *Catalogue) *Table {
	mt := &Table{State: term, catalogue: catalogue, addresses: map[protocol.MachineName]string{}}
	catalogue.invalidateViews = mt.MarkViewsStale
	return mt
}

// Begin forgets the state of earlier terms.
func (mt *Table) Begin() {
	mt.ByName = map[protocol.MachineName]*Machine{}
	mt.Ordered = nil
	mt.Released = map[protocol.MachineName]clock.Micros{}
}

// End forgets the machines when the term has ended.
func (mt *Table) End() { mt.ByName, mt.Ordered = nil, nil }

// GetOrAdd returns the machine of that name, and adds it if it is unknown.
func (mt *Table) GetOrAdd(name protocol.MachineName) *Machine {
	m := mt.ByName[name]
	if m == nil {
		m = newMachine(name, mt.addresses[name], mt.Now())
		mt.ByName[name] = m
		i, _ := slices.BinarySearchFunc(mt.Ordered, name, func(m *Machine, name protocol.MachineName) int {
			return cmp.Compare(m.Name, name)
		})
		mt.Ordered = slices.Insert(slices.Clone(mt.Ordered), i, m)
	}
	return m
}

// MarkViewsStale causes a rebuild of the planner's views of all machines.
func (mt *Table) MarkViewsStale() {
	for _, m := range mt.Ordered {
		m.ViewStale = true
	}
}

// Remove forgets a machine that certainly no longer exists.
func (mt *Table) Remove(m *Machine) {
	delete(mt.ByName, m.Name)
	delete(mt.addresses, m.Name)
	mt.Released[m.Name] = mt.Now()
}

// DropRemoved deletes the removed machines from Ordered.
func (mt *Table) DropRemoved() {
	removed := func(m *Machine) bool { return mt.ByName[m.Name] != m }
	mt.Ordered = slices.DeleteFunc(slices.Clone(mt.Ordered), removed)
}

// WasReleased reports whether a machine was scaled in recently in this term.
func (mt *Table) WasReleased(name protocol.MachineName) bool {
	_, released := mt.Released[name]
	return released
}

// ForgetReleased deletes the entries of Released that are older than ReleasedRetention, which
// bounds the memory of a long term.
func (mt *Table) ForgetReleased() {
	old := mt.Now() - ReleasedRetention
	maps.DeleteFunc(mt.Released, func(_ protocol.MachineName, at clock.Micros) bool { return at < old })
}

// ReleaseReason is the reason of a scale-in, as it appears in the log.
type ReleaseReason string

// The reasons for which the reconciler releases machines.
const (
	ReleaseIncarnationReset   ReleaseReason = "it has started over"
	ReleaseResponsesLost      ReleaseReason = "responses don't reach it"
	ReleaseSilent             ReleaseReason = "silent"
	ReleaseSilentReplicas     ReleaseReason = "silent with replicas"
	ReleaseSilentCancelled    ReleaseReason = "silent with cancelled tasks"
	ReleaseCancelledRemaining ReleaseReason = "cancelled tasks don't end"
	ReleaseFailed             ReleaseReason = "failed"
	ReleaseNeverBooted        ReleaseReason = "never came up"
	ReleaseNoHeartbeat        ReleaseReason = "up but no heartbeat"
	ReleaseQuarantined        ReleaseReason = "quarantined"
)

// ScheduleRelease marks a machine to be scaled in. Nothing is placed on it from now on.
func (mt *Table) ScheduleRelease(m *Machine, reason ReleaseReason) {
	if m.Releasing {
		return
	}
	m.Releasing = true
	slog.Info("releasing machine", "machine", m.Name, "type", m.Type, "zone", m.Zone, "spot", m.Spot,
		"reason", string(reason))
}

// ScheduleOverdueRelease marks a machine to be scaled in before others, because it holds tasks of a
// cancelled job that must end in time.
func (mt *Table) ScheduleOverdueRelease(m *Machine, reason ReleaseReason) {
	m.Overdue = true
	mt.ScheduleRelease(m, reason)
}

// RecordAddress records the address of a machine for a later term in which this controller may lead. The
// number of addresses of replaced machines is bounded.
func (mt *Table) RecordAddress(machine protocol.MachineName, address string) {
	if len(mt.addresses) > 2*len(mt.Ordered)+MaxAddresses {
		clear(mt.addresses) // heartbeats restore the addresses of live machines
	}
	mt.addresses[machine] = address
}

// AddPlacement adds a placement to its machine and returns the machine, nil if another cell runs
// the task.
func (mt *Table) AddPlacement(jobID protocol.JobID, p jobrecord.Placement) *Machine {
	if p.HostCell() != "" {
		return nil
	}
	m := mt.GetOrAdd(p.Machine)
	m.ViewStale, m.PlacedTasksListed = true, false
	if m.Placements[jobID] == nil {
		m.Placements[jobID] = map[int]jobrecord.Placement{}
	}
	m.Placements[jobID][p.Task] = p
	return m
}

// RemovePlacement removes a placement from its machine.
func (mt *Table) RemovePlacement(jobID protocol.JobID, p jobrecord.Placement) {
	m := mt.ByName[p.Machine]
	if m == nil {
		return
	}
	m.ViewStale = true
	delete(m.Placements[jobID], p.Task)
	if len(m.Placements[jobID]) == 0 {
		delete(m.Placements, jobID)
	}
	if len(m.Placements) == 0 {
		m.IdleSince = mt.Now()
	}
}

// ApplyHeartbeat updates the machine's own state from a heartbeat.
func (mt *Table) ApplyHeartbeat(m *Machine, heartbeat *protocol.Heartbeat) {
	m.HeartbeatReceived = true
	m.Address, m.Type, m.Zone, m.Spot = heartbeat.Address, heartbeat.Type, heartbeat.Zone, heartbeat.Spot
	m.HeartbeatNumber, m.AcknowledgedEpoch = NumberOf(heartbeat), heartbeat.Epoch
	m.HeartbeatAt = mt.Now()
	if m.ResponsesLost &&
		m.HeartbeatAt > m.IncarnationSeenAt+mt.Settings.Deployment.Workers.Lease()+leaseMargin {
		m.ResponsesLost = false // this incarnation has outlasted its first lease: responses arrive again
	}
	m.applyReclaimNotice(heartbeat.ReclaimNoticeS, m.HeartbeatAt)
}

// AddCachedImage adds an image to the estimate of the machine's image cache.
func (mt *Table) AddCachedImage(m *Machine, name string, sizeGB float64) {
	m.addCachedImage(name, sizeGB, mt.catalogue.ByName[m.Type].CacheGB)
}

// FetchTime returns how long a machine usually takes to fetch an image of the given size, 0 if its type is
// unknown.
func (mt *Table) FetchTime(m *Machine, sizeGB float64) clock.Micros {
	rate := mt.catalogue.ByName[m.Type].FetchGBPerS
	if rate <= 0 {
		return 0
	}
	return clock.FromSeconds(sizeGB / rate)
}

// HeartbeatCount counts the machines that should send heartbeats, and those that do so on time.
type HeartbeatCount struct{ OnTime, Expected int }

// MostOnTime reports whether at least half of the machines send heartbeats on time.
func (c HeartbeatCount) MostOnTime() bool { return 2*c.OnTime >= c.Expected }

// HeartbeatsByZone returns, by zone, the counts of the machines that have sent a heartbeat in this term
// or have placements, except those that are being released.
func (mt *Table) HeartbeatsByZone() map[string]HeartbeatCount {
	zones := map[string]HeartbeatCount{}
	for _, m := range mt.Ordered {
		if m.Releasing || !m.HeartbeatReceived && len(m.Placements) == 0 {
			continue
		}
		c := zones[m.Zone]
		c.Expected++
		if !mt.HeartbeatMissed(m) {
			c.OnTime++
		}
		zones[m.Zone] = c
	}
	return zones
}

// MostMachinesOnTime reports whether at least half of all machines send heartbeats on time. If not, it is
// more likely that this controller receives nothing than that the machines are silent.
func (mt *Table) MostMachinesOnTime() bool {
	var total HeartbeatCount
	for _, zone := range mt.HeartbeatsByZone() {
		total.OnTime += zone.OnTime
		total.Expected += zone.Expected
	}
	return total.MostOnTime()
}

// AnyMachineOnTime reports whether any machine sends heartbeats on time.
func (mt *Table) AnyMachineOnTime() bool {
	for _, zone := range mt.HeartbeatsByZone() {
		if zone.OnTime > 0 {
			return true
		}
	}
	return false
}

// SilentFor reports whether a machine has sent no heartbeat for the given time, neither by itself nor in
// response to a direct command, of which at least one has failed since.
func (mt *Table) SilentFor(m *Machine, d clock.Micros) bool {
	return m.UnansweredAt > m.HeartbeatAt && mt.Now() > max(m.HeartbeatAt, mt.BegunAt)+d
}

// HeartbeatMissed reports whether a machine's heartbeat is late or none has arrived in this term. A new
// leader first waits TakeoverTime, so that workers can find it.
func (mt *Table) HeartbeatMissed(m *Machine) bool {
	if mt.Now() <= mt.BegunAt+TakeoverTime {
		return false
	}
	return !m.HeartbeatReceived ||
		mt.Now() > m.HeartbeatAt+mt.Settings.Deployment.Workers.HeartbeatInterval()*5/4+missedHeartbeatMargin
}

// HeartbeatRecent reports whether a machine has sent a heartbeat within about two intervals.
func (mt *Table) HeartbeatRecent(m *Machine) bool {
	return m.HeartbeatReceived && mt.withinTwoHeartbeats(m.HeartbeatAt)
}

// withinTwoHeartbeats reports whether an event that recurs with every heartbeat last happened no
// longer ago than two heartbeats may take.
func (mt *Table) withinTwoHeartbeats(at clock.Micros) bool {
	return mt.Now() < at+2*mt.Settings.Deployment.Workers.HeartbeatInterval()+2*clock.Second
}

// IsolatedFromWorkers reports whether this controller has received no heartbeat at all for a while
// though several machines have placements. It may then be partitioned from workers that other
// controllers can reach, and the workers' leases expire because the workers can't reach their leader.
// A worker spends four seconds on a controller that doesn't respond, so two missing heartbeats have to
// be enough.
func (mt *Table) IsolatedFromWorkers() bool {
	since := mt.BegunAt
	occupied := 0
	for _, m := range mt.Ordered {
		if len(m.Placements) > 0 {
			occupied++
		}
		since = max(since, m.HeartbeatAt)
	}
	return occupied > 1 && mt.Now() > since+2*mt.Settings.Deployment.Workers.HeartbeatInterval()+clock.Second
}

// BootTime returns the usual boot time of a machine's type.
func (mt *Table) BootTime(m *Machine) clock.Micros {
	return clock.FromSeconds(mt.catalogue.ByName[m.Type].BootS)
}

// BootOverdue reports whether a machine without any heartbeat has far exceeded its usual boot time.
func (mt *Table) BootOverdue(m *Machine) bool {
	return !m.HeartbeatReceived && mt.Now() > m.FirstSeen+overdueBootFactor*mt.BootTime(m)
}

// MaxReplicasPerMachine returns the highest number of replicas that any machine has, at most
// MaxLossReserve.
func (mt *Table) MaxReplicasPerMachine() int {
	highest := 0
	for _, m := range mt.Ordered {
		highest = max(highest, m.View.Replicas)
	}
	return min(highest, MaxLossReserve)
}

// RanFor returns for how long an attempt has been seen running on a machine.
func (mt *Table) RanFor(m *Machine, ref AttemptRef) clock.Micros {
	if since := m.RunningSince[ref]; since != 0 {
		return mt.Now() - since
	}
	return 0
}

// LeaseRenewed reports whether the leader has renewed the machine's lease recently. A machine that
// only responds to direct commands loses all its tasks when its lease expires.
func (mt *Table) LeaseRenewed(m *Machine) bool {
	return m.RespondedAt != 0 && mt.withinTwoHeartbeats(m.RespondedAt)
}

// EpochAcknowledged reports whether the worker rejects all commands of earlier leaders: a task that
// its heartbeats don't list isn't there, and no command of an earlier leader can add it.
func (mt *Table) EpochAcknowledged(m *Machine) bool {
	return m.HeartbeatReceived && !m.LeaseExpired && m.AcknowledgedEpoch >= mt.Term.Epoch &&
		m.AcknowledgedEpoch <= mt.LatestToken()
}

// Token returns the fencing token of messages to a machine's worker.
func (mt *Table) Token(m *Machine) protocol.Epoch { return max(mt.Term.Epoch, m.RaisedToken) }

// RaiseToken raises the token of messages to a machine's worker if late copies of starts may run again
// otherwise.
func (mt *Table) RaiseToken(m *Machine) {
	if m.StaleToken >= mt.Token(m) && mt.CanRaiseToken(m) {
		m.RaisedToken = mt.LatestToken()
	}
}

// CanRaiseToken reports whether the token of messages to a machine's worker can rise. It doesn't while a
// direct command is on its way, since the worker would reject that command.
func (mt *Table) CanRaiseToken(m *Machine) bool {
	return mt.Token(m) < mt.LatestToken() && !m.CommandInFlight
}

// ProvenEmptyAt returns when every lease that could keep a machine's tasks alive has expired: those
// that this controller renewed by its own responses, those that an earlier leader may have renewed until
// the end of its renewal window, and the one with which an incarnation begins, without a response,
// no later than its first heartbeat. See "Silence" in "The arithmetic of cancellations",
// docs/rules.md.
func (mt *Table) ProvenEmptyAt(m *Machine) clock.Micros {
	w := mt.Settings.Deployment.Workers
	lastRenewal := max(m.RespondedAt, m.IncarnationSeenAt, mt.BegunAt+w.RenewalWindow())
	return lastRenewal + w.Lease() + w.Lease()/1000 + leaseMargin
}

const (
	// TakeoverTime is the time that workers need to find a new leader.
	TakeoverTime = 8 * clock.Second
	// missedHeartbeatMargin is added to the time that a heartbeat may take before it counts as
	// missed.
	missedHeartbeatMargin = 750 * clock.Millisecond
	// leaseMargin covers the time from a check to its effect.
	leaseMargin = clock.Second
	// overdueBootFactor is the number of usual boot times after which a machine without any
	// heartbeat counts as silent.
	overdueBootFactor = 2
	// MaxAddresses is more than the machines of any deployment plus their replacements in a day.
	MaxAddresses = 32 << 10
	// MaxLossReserve bounds the reserve for the loss of a machine, in replicas.
	MaxLossReserve = 8
	// ReleasedRetention is far longer than any delay of a heartbeat or a list. An even older
	// message would add a released machine to the table again, and the leader would release it again.
	ReleasedRetention = 15 * 60 * clock.Second
)
