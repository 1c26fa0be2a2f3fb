// Package machinetable owns the machines of a term with their workers' incarnations and leases, and
// the cloud's machine types and prices. It decides nothing: the reconciler changes machines by what
// heartbeats prove, the autoscaler rents and returns them.
package machinetable

import (
	"cmp"
	"log/slog"
	"maps"
	"slices"

	"postpoint/internal/clock"
	"postpoint/internal/leader/term"
	"postpoint/internal/ledger"
	"postpoint/internal/protocol"
)

// Table owns the machines and what is known of their workers' incarnations and leases.
type Table struct {
	*term.State
	catalogue *Catalogue

	ByName map[string]*Machine
	// Ordered are the machines in the order of their names. The slice is replaced, never
	// changed, so that it can be iterated over while machines come and go.
	Ordered []*Machine
	// Released are the machines that were scaled in, and when: what is still heard of them is
	// old. They are kept for ReleasedRetention.
	Released map[string]clock.Micros
	// addresses are kept across terms, on nodes that don't lead, too.
	addresses map[string]string
}

// New makes an empty table that follows the catalogue's prices.
func New(term *term.State, catalogue *Catalogue) *Table {
	mt := &Table{State: term, catalogue: catalogue, addresses: map[string]string{}}
	catalogue.changed = mt.MarkViewsStale
	return mt
}

// MarkViewsStale has the planner's views of all machines made anew.
func (mt *Table) MarkViewsStale() {
	for _, m := range mt.Ordered {
		m.ViewStale = true
	}
}

// End forgets the machines when the term is over.
func (mt *Table) End() { mt.ByName, mt.Ordered = nil, nil }

// Remove forgets a machine that is proven gone.
func (mt *Table) Remove(m *Machine) {
	delete(mt.ByName, m.Name)
	delete(mt.addresses, m.Name)
	mt.Released[m.Name] = mt.Now()
}

// DropRemoved drops the machines from the order that were removed.
func (mt *Table) DropRemoved() {
	mt.Ordered = slices.DeleteFunc(slices.Clone(mt.Ordered), func(m *Machine) bool { return mt.ByName[m.Name] != m })
}

// Begin forgets what was known in earlier terms.
func (mt *Table) Begin() {
	mt.ByName = map[string]*Machine{}
	mt.Ordered = nil
	mt.Released = map[string]clock.Micros{}
}

// BootOverdue tells that a machine should have come up long ago.
func (mt *Table) BootOverdue(m *Machine) bool {
	return !m.Seen && mt.Now() > m.FirstSeen+overdueBootFactor*clock.FromSeconds(mt.catalogue.ByName[m.Type].BootS)
}

// HeardByZone counts the machines that are up or are to be.
func (mt *Table) HeardByZone() map[string]HeardCount {
	zones := map[string]HeardCount{}
	for _, m := range mt.Ordered {
		if m.Releasing || !m.Seen && len(m.Placements) == 0 {
			continue
		}
		c := zones[m.Zone]
		c.Expected++
		if !mt.Late(m) {
			c.Heard++
		}
		zones[m.Zone] = c
	}
	return zones
}

// Late tells that a machine should have been heard of by now. A new leader gives workers
// the time to find it.
func (mt *Table) Late(m *Machine) bool {
	if mt.Now() <= mt.BegunAt+TakeoverTime {
		return false
	}
	return !m.Seen || mt.Now() > m.HeardAt+mt.Settings.Deployment.Workers.Report()*5/4+missedHeartbeatMargin
}

// MostReplicas is how many replicas the machine with most of them holds, within bounds.
func (mt *Table) MostReplicas() int {
	most := 0
	for _, m := range mt.Ordered {
		most = max(most, m.View.Replicas)
	}
	return min(most, MaxSpareForLoss)
}

// ScheduleRelease marks a machine for return; nothing is placed on it from now on.
func (mt *Table) ScheduleRelease(m *Machine, why string) {
	if m.Releasing {
		return
	}
	m.Releasing = true
	slog.Info("releasing machine", "machine", m.Name, "type", m.Type, "zone", m.Zone, "spot", m.Spot, "why", why)
}

// WasReleased tells that a machine was returned in this term, not long ago.
func (mt *Table) WasReleased(name string) bool {
	_, released := mt.Released[name]
	return released
}

// ForgetReleased keeps what a long term remembers bounded.
func (mt *Table) ForgetReleased() {
	old := mt.Now() - ReleasedRetention
	maps.DeleteFunc(mt.Released, func(_ string, at clock.Micros) bool { return at < old })
}

// NoteAddress keeps where a machine can be reached, for a term that this node may come to
// lead. Of machines that were replaced in the meantime only so many are kept.
func (mt *Table) NoteAddress(machine, address string) {
	if len(mt.addresses) > 2*len(mt.Ordered)+MaxAddresses {
		clear(mt.addresses) // reports bring those of live machines back
	}
	mt.addresses[machine] = address
}

// HearsNoMachine tells that no worker at all has been heard of for a while, though there
// are several: this node may be cut off from them while others are not, and their
// leases run out at a leader that they can't reach. A worker spends four seconds on
// a node that doesn't answer, so that two missing reports have to be enough.
func (mt *Table) HearsNoMachine() bool {
	since := mt.BegunAt
	known := 0
	for _, m := range mt.Ordered {
		if len(m.Placements) > 0 {
			known++
		}
		since = max(since, m.HeardAt)
	}
	return known > 1 && mt.Now() > since+2*mt.Settings.Deployment.Workers.Report()+clock.Second
}

// AddPlacement notes a placement at its machine, nil if another cell runs the task.
func (mt *Table) AddPlacement(jobID string, p ledger.Placement) *Machine {
	if p.Host() != "" {
		return nil
	}
	m := mt.GetOrAdd(p.Machine)
	m.ViewStale, m.Steady = true, false
	if m.Placements[jobID] == nil {
		m.Placements[jobID] = map[int]ledger.Placement{}
	}
	m.Placements[jobID][p.Task] = p
	return m
}

// RemovePlacement takes a placement off its machine.
func (mt *Table) RemovePlacement(jobID string, p ledger.Placement) {
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

// GetOrAdd is the machine of that name, added when it is first heard of.
func (mt *Table) GetOrAdd(name string) *Machine {
	m := mt.ByName[name]
	if m == nil {
		m = &Machine{Name: name, Address: mt.addresses[name], FirstSeen: mt.Now(), IdleSince: mt.Now(),
			Tasks: map[AttemptRef]protocol.TaskReport{}, RunningSince: map[AttemptRef]clock.Micros{},
			Placements: map[string]map[int]ledger.Placement{}, Deliveries: map[AttemptRef]*StartDelivery{}, FailedJobs: map[string]bool{}, ViewStale: true}
		mt.ByName[name] = m
		at, _ := slices.BinarySearchFunc(mt.Ordered, name, func(x *Machine, name string) int { return cmp.Compare(x.Name, name) })
		mt.Ordered = slices.Insert(slices.Clone(mt.Ordered), at, m)
	}
	return m
}

// Busy tells that something runs there, whether or not a record knows it.
func (mt *Table) Busy(m *Machine) bool {
	for _, t := range m.Tasks {
		if t.Status != protocol.TaskExited {
			return true
		}
	}
	return false
}

// LeaseRenewed tells that the machine's lease is being renewed: one that only answers
// direct commands loses whatever it is given when its lease ends.
func (mt *Table) LeaseRenewed(m *Machine) bool {
	return m.RespondedAt != 0 && mt.withinTwoHeartbeats(m.RespondedAt)
}

// HeardRecently tells that a machine was heard of about as often as it should be.
func (mt *Table) HeardRecently(m *Machine) bool {
	return m.Seen && mt.withinTwoHeartbeats(m.HeardAt)
}

// withinTwoHeartbeats tells that something that every report repeats was no longer ago than two of
// them may take.
func (mt *Table) withinTwoHeartbeats(at clock.Micros) bool {
	return mt.Now() < at+2*mt.Settings.Deployment.Workers.Report()+2*clock.Second
}

// EpochAcknowledged tells that the worker obeys nobody older any more: what its reports
// lack is not there, and what an older leader sent can't arrive.
func (mt *Table) EpochAcknowledged(m *Machine) bool {
	return m.Seen && !m.LeaseExpired && m.Epoch == mt.Term.Epoch
}

// RanFor is how long an attempt has been seen running on a machine.
func (mt *Table) RanFor(m *Machine, ref AttemptRef) clock.Micros {
	if since := m.RunningSince[ref]; since != 0 {
		return mt.Now() - since
	}
	return 0
}

// NoteHeartbeat takes what a report says of the machine itself.
func (mt *Table) NoteHeartbeat(m *Machine, r *protocol.Report) {
	m.Seen = true
	m.Address, m.Type, m.Zone, m.Spot = r.Address, r.Type, r.Zone, r.Spot
	m.Incarnation, m.Counter, m.Epoch = r.Session, r.Counter, r.Epoch
	m.HeardAt = mt.Now()
	if w := mt.Settings.Deployment.Workers; m.ResponsesLost && m.HeardAt > m.IncarnationSeenAt+w.Lease()+leaseMargin {
		m.ResponsesLost = false // this session has outlasted its first lease: answers arrive again
	}
	m.RecallAt = 0
	if r.RecallS != nil {
		m.RecallAt = mt.Now() + clock.FromSeconds(*r.RecallS)
	}
}

// NoteImage keeps a guess at the machine's image cache: the most recently used
// images, as many as there is room for.
func (mt *Table) NoteImage(m *Machine, name string, gb float64) {
	m.ViewStale = true
	images := []image{{name, gb}}
	used := gb
	for _, i := range m.Images {
		if i.Name != name && used+i.gb <= mt.catalogue.ByName[m.Type].CacheGB {
			used += i.gb
			images = append(images, i)
		}
	}
	m.Images = images
}

// ProvenEmptyAt is when every lease that could keep a machine's tasks alive has
// ended: those of this node's own answers, those that an earlier leader may
// have given until the end of its allowance, and the one that a session begins
// with, unanswered, no later than its first report.
func (mt *Table) ProvenEmptyAt(m *Machine) clock.Micros {
	w := mt.Settings.Deployment.Workers
	last := max(m.RespondedAt, m.IncarnationSeenAt, mt.BegunAt+w.KeepAlive())
	return last + w.Lease() + w.Lease()/1000 + leaseMargin
}

// HeardCount is how many machines are heard of as they should be.
type HeardCount struct{ Heard, Expected int }

// Most reports whether at least half of the machines are heard of.
func (c HeardCount) Most() bool { return 2*c.Heard >= c.Expected }

const (
	// TakeoverTime is what workers take to find a new leader.
	TakeoverTime = 8 * clock.Second
	// missedHeartbeatMargin is added to a heartbeat interval before a heartbeat counts as missed.
	missedHeartbeatMargin = 750 * clock.Millisecond
	// leaseMargin covers the time from a check to its effect.
	leaseMargin = clock.Second
	// overdueBootFactor is after how many usual boot times a machine that never reported counts as silent.
	overdueBootFactor = 2
	// MaxAddresses is beyond the machines of any deployment and a day's replacements.
	MaxAddresses = 32 << 10
	// MaxSpareForLoss bounds the places kept for the loss of a machine.
	MaxSpareForLoss = 8
	// Estimates are often wrong by half: a few runs say nothing of a machine,
	// and neither does a moderate excess.
	minPaceRuns = 4
	slowPace    = 1.6
)

// ReleasedRetention is far beyond any delay of a report or a list. A machine of which still
// older word came would be taken for an unexpected one, and be returned once more.
const ReleasedRetention = 15 * 60 * clock.Second
