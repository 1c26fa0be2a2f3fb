// Package machinetable owns the machines of a term with their workers' incarnations and leases, and
// the cloud's machine types and prices. It decides nothing: the reconciler changes machines by what
// heartbeats prove, the autoscaler scales out and in.
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

// Table owns the machines and what is known of their workers' incarnations and leases.
type Table struct {
	*term.State
	catalogue *Catalogue

	ByName map[protocol.MachineName]*Machine
	// Ordered are the machines in the order of their names. The slice is replaced, never
	// changed, so that it can be iterated over while machines come and go.
	Ordered []*Machine
	// Released are the machines that were scaled in, and when: what is still heard of them is
	// outdated. They are kept for ReleasedRetention.
	Released map[protocol.MachineName]clock.Micros
	// addresses are kept across terms, also on nodes that don't lead.
	addresses map[protocol.MachineName]string
}

// New returns an empty table that follows the catalogue's prices.
func New(term *term.State, catalogue *Catalogue) *Table {
	mt := &Table{State: term, catalogue: catalogue, addresses: map[protocol.MachineName]string{}}
	catalogue.changed = mt.MarkViewsStale
	return mt
}

// Begin forgets what was known in earlier terms.
func (mt *Table) Begin() {
	mt.ByName = map[protocol.MachineName]*Machine{}
	mt.Ordered = nil
	mt.Released = map[protocol.MachineName]clock.Micros{}
}

// End forgets the machines when the term is over.
func (mt *Table) End() { mt.ByName, mt.Ordered = nil, nil }

// GetOrAdd returns the machine of that name, which is added when it is first heard of.
func (mt *Table) GetOrAdd(name protocol.MachineName) *Machine {
	m := mt.ByName[name]
	if m == nil {
		m = newMachine(name, mt.addresses[name], mt.Now())
		mt.ByName[name] = m
		at, _ := slices.BinarySearchFunc(mt.Ordered, name, func(m *Machine, name protocol.MachineName) int {
			return cmp.Compare(m.Name, name)
		})
		mt.Ordered = slices.Insert(slices.Clone(mt.Ordered), at, m)
	}
	return m
}

// MarkViewsStale has the planner's views of all machines rebuilt.
func (mt *Table) MarkViewsStale() {
	for _, m := range mt.Ordered {
		m.ViewStale = true
	}
}

// Remove forgets a machine that is proven gone.
func (mt *Table) Remove(m *Machine) {
	delete(mt.ByName, m.Name)
	delete(mt.addresses, m.Name)
	mt.Released[m.Name] = mt.Now()
}

// DropRemoved drops the machines that were removed from Ordered.
func (mt *Table) DropRemoved() {
	removed := func(m *Machine) bool { return mt.ByName[m.Name] != m }
	mt.Ordered = slices.DeleteFunc(slices.Clone(mt.Ordered), removed)
}

// WasReleased reports whether a machine was scaled in in this term, not long ago.
func (mt *Table) WasReleased(name protocol.MachineName) bool {
	_, released := mt.Released[name]
	return released
}

// ForgetReleased bounds what a long term remembers.
func (mt *Table) ForgetReleased() {
	old := mt.Now() - ReleasedRetention
	maps.DeleteFunc(mt.Released, func(_ protocol.MachineName, at clock.Micros) bool { return at < old })
}

// ReleaseReason says in logs why a machine is scaled in.
type ReleaseReason string

// The reasons for which the reconciler releases machines.
const (
	ReleaseStartedOver        ReleaseReason = "it has started over"
	ReleaseResponsesLost      ReleaseReason = "responses don't reach it"
	ReleaseSilent             ReleaseReason = "silent"
	ReleaseSilentReplicas     ReleaseReason = "silent with replicas"
	ReleaseSilentCancelled    ReleaseReason = "silent with cancelled tasks"
	ReleaseCancelledRemaining ReleaseReason = "cancelled tasks don't end"
	ReleaseFailed             ReleaseReason = "failed"
	ReleaseNeverBooted        ReleaseReason = "never came up"
	ReleaseNeverReported      ReleaseReason = "up but no heartbeat"
	ReleaseQuarantined        ReleaseReason = "quarantined"
)

// ScheduleRelease marks a machine to be scaled in; nothing is placed on it from now on.
func (mt *Table) ScheduleRelease(m *Machine, reason ReleaseReason) {
	if m.Releasing {
		return
	}
	m.Releasing = true
	slog.Info("releasing machine", "machine", m.Name, "type", m.Type, "zone", m.Zone, "spot", m.Spot,
		"reason", string(reason))
}

// ScheduleOverdueRelease marks a machine to be scaled in before others, since it holds tasks of a
// cancelled job that have to be gone in time.
func (mt *Table) ScheduleOverdueRelease(m *Machine, reason ReleaseReason) {
	m.Overdue = true
	mt.ScheduleRelease(m, reason)
}

// NoteAddress keeps where a machine can be reached, for a term that this node may come to
// lead. Of machines that were replaced in the meantime only so many are kept.
func (mt *Table) NoteAddress(machine protocol.MachineName, address string) {
	if len(mt.addresses) > 2*len(mt.Ordered)+MaxAddresses {
		clear(mt.addresses) // heartbeats bring those of live machines back
	}
	mt.addresses[machine] = address
}

// AddPlacement notes a placement at its machine, nil if another cell runs the task.
func (mt *Table) AddPlacement(jobID protocol.JobID, p jobrecord.Placement) *Machine {
	if p.HostCell() != "" {
		return nil
	}
	m := mt.GetOrAdd(p.Machine)
	m.ViewStale, m.Steady = true, false
	if m.Placements[jobID] == nil {
		m.Placements[jobID] = map[int]jobrecord.Placement{}
	}
	m.Placements[jobID][p.Task] = p
	return m
}

// RemovePlacement takes a placement off its machine.
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

// NoteHeartbeat takes what a heartbeat says of the machine itself.
func (mt *Table) NoteHeartbeat(m *Machine, r *protocol.Heartbeat) {
	m.Seen = true
	m.Address, m.Type, m.Zone, m.Spot = r.Address, r.Type, r.Zone, r.Spot
	m.HeartbeatNumber, m.AcknowledgedEpoch = NumberOf(r), r.Epoch
	m.HeardAt = mt.Now()
	if m.ResponsesLost && m.HeardAt > m.IncarnationSeenAt+mt.Settings.Deployment.Workers.Lease()+leaseMargin {
		m.ResponsesLost = false // this incarnation has outlasted its first lease: responses arrive again
	}
	m.RecallAt = 0
	if r.PreemptionNoticeS != nil {
		m.RecallAt = mt.Now() + clock.FromSeconds(*r.PreemptionNoticeS)
	}
}

// NoteImage keeps a guess at the machine's image cache.
func (mt *Table) NoteImage(m *Machine, name string, sizeGB float64) {
	m.noteImage(name, sizeGB, mt.catalogue.ByName[m.Type].CacheGB)
}

// HeardCount counts how many machines are heard of as often as they should be.
type HeardCount struct{ Heard, Expected int }

// Most reports whether at least half of the machines are heard of.
func (c HeardCount) Most() bool { return 2*c.Heard >= c.Expected }

// HeardByZone counts the machines that are up or are to be.
func (mt *Table) HeardByZone() map[string]HeardCount {
	zones := map[string]HeardCount{}
	for _, m := range mt.Ordered {
		if m.Releasing || !m.Seen && len(m.Placements) == 0 {
			continue
		}
		c := zones[m.Zone]
		c.Expected++
		if !mt.HeartbeatMissed(m) {
			c.Heard++
		}
		zones[m.Zone] = c
	}
	return zones
}

// HeartbeatMissed reports whether a heartbeat of a machine is missing. A new leader gives workers the time to
// find it.
func (mt *Table) HeartbeatMissed(m *Machine) bool {
	if mt.Now() <= mt.BegunAt+TakeoverTime {
		return false
	}
	return !m.Seen ||
		mt.Now() > m.HeardAt+mt.Settings.Deployment.Workers.HeartbeatInterval()*5/4+missedHeartbeatMargin
}

// HeardRecently reports whether a machine was heard of about as often as it should be.
func (mt *Table) HeardRecently(m *Machine) bool {
	return m.Seen && mt.withinTwoHeartbeats(m.HeardAt)
}

// withinTwoHeartbeats reports whether something that every heartbeat repeats happened no longer ago
// than two of them may take.
func (mt *Table) withinTwoHeartbeats(at clock.Micros) bool {
	return mt.Now() < at+2*mt.Settings.Deployment.Workers.HeartbeatInterval()+2*clock.Second
}

// HearsNoWorker reports whether no worker at all has been heard of for a while, though there
// are several: this node may be cut off from them while others are not, and their
// leases expire at a leader that they can't reach. A worker spends four seconds on
// a node that doesn't respond, so that two missing heartbeats have to be enough.
func (mt *Table) HearsNoWorker() bool {
	since := mt.BegunAt
	known := 0
	for _, m := range mt.Ordered {
		if len(m.Placements) > 0 {
			known++
		}
		since = max(since, m.HeardAt)
	}
	return known > 1 && mt.Now() > since+2*mt.Settings.Deployment.Workers.HeartbeatInterval()+clock.Second
}

// BootTime returns how long machines of a machine's type usually take to boot.
func (mt *Table) BootTime(m *Machine) clock.Micros {
	return clock.FromSeconds(mt.catalogue.ByName[m.Type].BootS)
}

// BootOverdue reports whether a machine should have come up long ago.
func (mt *Table) BootOverdue(m *Machine) bool {
	return !m.Seen && mt.Now() > m.FirstSeen+overdueBootFactor*mt.BootTime(m)
}

// MostReplicas returns how many replicas the machine with most of them holds, within bounds.
func (mt *Table) MostReplicas() int {
	most := 0
	for _, m := range mt.Ordered {
		most = max(most, m.View.Replicas)
	}
	return min(most, MaxSpareForLoss)
}

// RanFor returns how long an attempt has been seen running on a machine.
func (mt *Table) RanFor(m *Machine, ref AttemptRef) clock.Micros {
	if since := m.RunningSince[ref]; since != 0 {
		return mt.Now() - since
	}
	return 0
}

// LeaseRenewed reports whether the machine's lease is being renewed: one that only responds to
// direct commands loses whatever it is given when its lease expires.
func (mt *Table) LeaseRenewed(m *Machine) bool {
	return m.RespondedAt != 0 && mt.withinTwoHeartbeats(m.RespondedAt)
}

// EpochAcknowledged reports whether the worker rejects everything of earlier leaders: what its
// heartbeats lack is not there, and what an earlier leader sent can't arrive.
func (mt *Table) EpochAcknowledged(m *Machine) bool {
	return m.Seen && !m.LeaseExpired && m.AcknowledgedEpoch == mt.Term.Epoch
}

// ProvenEmptyAt returns when every lease that could keep a machine's tasks alive has
// expired: those renewed by this node's own responses, those that an earlier leader may
// have renewed until the end of its allowance, and the one that an incarnation begins
// with, without a response, no later than its first heartbeat. See "Silence" in "The arithmetic of
// cancellations", docs/rules.md.
func (mt *Table) ProvenEmptyAt(m *Machine) clock.Micros {
	w := mt.Settings.Deployment.Workers
	last := max(m.RespondedAt, m.IncarnationSeenAt, mt.BegunAt+w.RenewalWindow())
	return last + w.Lease() + w.Lease()/1000 + leaseMargin
}

const (
	// TakeoverTime is what workers take to find a new leader.
	TakeoverTime = 8 * clock.Second
	// missedHeartbeatMargin is added to a heartbeat interval before a heartbeat counts as missed.
	missedHeartbeatMargin = 750 * clock.Millisecond
	// leaseMargin covers the time from a check to its effect.
	leaseMargin = clock.Second
	// overdueBootFactor is after how many usual boot times a machine without any heartbeat counts as silent.
	overdueBootFactor = 2
	// MaxAddresses is more than the machines of any deployment and a day's replacements.
	MaxAddresses = 32 << 10
	// MaxSpareForLoss bounds the room that is kept free for the loss of a machine.
	MaxSpareForLoss = 8
	// ReleasedRetention is far beyond any delay of a heartbeat or a list. A machine of which
	// something even older arrived would be taken for an unexpected one, and be released once more.
	ReleasedRetention = 15 * 60 * clock.Second
)
