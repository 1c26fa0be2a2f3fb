package dispatch

import (
	"cmp"
	"log/slog"
	"maps"
	"slices"

	"postpoint/internal/clock"
	"postpoint/internal/ledger"
	"postpoint/internal/protocol"
)

// machineTable owns the machines and what is known of their workers' incarnations and leases.
type machineTable struct {
	*leaderTerm
	catalogue *machineCatalogue

	byName map[string]*machine
	// ordered are the machines in the order of their names. The slice is replaced, never
	// changed, so that it can be iterated over while machines come and go.
	ordered []*machine
	// released are the machines that were scaled in, and when: what is still heard of them is
	// old. They are kept for releasedTime.
	released map[string]clock.Micros
	// addresses are kept across terms, on nodes that don't lead, too.
	addresses map[string]string
}

func newMachineTable(term *leaderTerm, catalogue *machineCatalogue) *machineTable {
	mt := &machineTable{leaderTerm: term, catalogue: catalogue, addresses: map[string]string{}}
	catalogue.changed = mt.markViewsStale
	return mt
}

// markViewsStale has the planner's views of all machines made anew.
func (mt *machineTable) markViewsStale() {
	for _, m := range mt.ordered {
		m.viewStale = true
	}
}

// end forgets the machines when the term is over.
func (mt *machineTable) end() { mt.byName, mt.ordered = nil, nil }

// remove forgets a machine that is proven gone.
func (mt *machineTable) remove(m *machine) {
	delete(mt.byName, m.name)
	delete(mt.addresses, m.name)
	mt.released[m.name] = mt.now()
}

// dropRemoved drops the machines from the order that were removed.
func (mt *machineTable) dropRemoved() {
	mt.ordered = slices.DeleteFunc(slices.Clone(mt.ordered), func(m *machine) bool { return mt.byName[m.name] != m })
}

// begin forgets what was known in earlier terms.
func (mt *machineTable) begin() {
	mt.byName = map[string]*machine{}
	mt.ordered = nil
	mt.released = map[string]clock.Micros{}
}

// overdue tells that a machine should have come up long ago.
func (mt *machineTable) bootOverdue(m *machine) bool {
	return !m.seen && mt.now() > m.firstSeen+overdueBoots*clock.FromSeconds(mt.catalogue.byName[m.typ].BootS)
}

// heardByZone counts the machines that are up or are to be.
func (mt *machineTable) heardByZone() map[string]heardCount {
	zones := map[string]heardCount{}
	for _, m := range mt.ordered {
		if m.releasing || !m.seen && len(m.placed) == 0 {
			continue
		}
		c := zones[m.zone]
		c.expected++
		if !mt.late(m) {
			c.heard++
		}
		zones[m.zone] = c
	}
	return zones
}

// late tells that a machine should have been heard of by now. A new leader gives workers
// the time to find it.
func (mt *machineTable) late(m *machine) bool {
	if mt.now() <= mt.begunAt+takeoverTime {
		return false
	}
	return !m.seen || mt.now() > m.heardAt+mt.settings.Deployment.Workers.Report()*5/4+missedMargin
}

// mostReplicas is how many replicas the machine with most of them holds, within bounds.
func (mt *machineTable) mostReplicas() int {
	most := 0
	for _, m := range mt.ordered {
		most = max(most, m.view.Replicas)
	}
	return min(most, maxSpareForLoss)
}

// release marks a machine for return; nothing is placed on it from now on.
func (mt *machineTable) scheduleRelease(m *machine, why string) {
	if m.releasing {
		return
	}
	m.releasing = true
	slog.Info("releasing machine", "machine", m.name, "type", m.typ, "zone", m.zone, "spot", m.spot, "why", why)
}

// wasReleased tells that a machine was returned in this term, not long ago.
func (mt *machineTable) wasReleased(name string) bool {
	_, released := mt.released[name]
	return released
}

// forgetReleased keeps what a long term remembers bounded.
func (mt *machineTable) forgetReleased() {
	old := mt.now() - releasedTime
	maps.DeleteFunc(mt.released, func(_ string, at clock.Micros) bool { return at < old })
}

// noteAddress keeps where a machine can be reached, for a term that this node may come to
// lead. Of machines that were replaced in the meantime only so many are kept.
func (mt *machineTable) noteAddress(machine, address string) {
	if len(mt.addresses) > 2*len(mt.ordered)+maxAddresses {
		clear(mt.addresses) // reports bring those of live machines back
	}
	mt.addresses[machine] = address
}

// hearsNoWorker tells that no worker at all has been heard of for a while, though there
// are several: this node may be cut off from them while others are not, and their
// leases run out at a leader that they can't reach. A worker spends four seconds on
// a node that doesn't answer, so that two missing reports have to be enough.
func (mt *machineTable) hearsNoMachine() bool {
	since := mt.begunAt
	known := 0
	for _, m := range mt.ordered {
		if len(m.placed) > 0 {
			known++
		}
		since = max(since, m.heardAt)
	}
	return known > 1 && mt.now() > since+2*mt.settings.Deployment.Workers.Report()+clock.Second
}

// index notes a placement at its machine, nil if another cell runs the task.
func (mt *machineTable) index(jobID string, p ledger.Placement) *machine {
	if p.Host() != "" {
		return nil
	}
	m := mt.get(p.Machine)
	m.viewStale, m.settled = true, false
	if m.placed[jobID] == nil {
		m.placed[jobID] = map[int]ledger.Placement{}
	}
	m.placed[jobID][p.Task] = p
	return m
}

func (mt *machineTable) unindex(jobID string, p ledger.Placement) {
	m := mt.byName[p.Machine]
	if m == nil {
		return
	}
	m.viewStale = true
	delete(m.placed[jobID], p.Task)
	if len(m.placed[jobID]) == 0 {
		delete(m.placed, jobID)
	}
	if len(m.placed) == 0 {
		m.idleSince = mt.now()
	}
}

func (mt *machineTable) get(name string) *machine {
	m := mt.byName[name]
	if m == nil {
		m = &machine{name: name, addr: mt.addresses[name], firstSeen: mt.now(), idleSince: mt.now(),
			tasks: map[taskRef]protocol.TaskReport{}, since: map[taskRef]clock.Micros{},
			placed: map[string]map[int]ledger.Placement{}, sent: map[taskRef]*sent{}, faults: map[string]bool{}, viewStale: true}
		mt.byName[name] = m
		at, _ := slices.BinarySearchFunc(mt.ordered, name, func(x *machine, name string) int { return cmp.Compare(x.name, name) })
		mt.ordered = slices.Insert(slices.Clone(mt.ordered), at, m)
	}
	return m
}

// busy tells that something runs there, whether or not a record knows it.
func (mt *machineTable) busy(m *machine) bool {
	for _, t := range m.tasks {
		if t.Status != protocol.TaskExited {
			return true
		}
	}
	return false
}

// renewed tells that the machine's lease is being renewed: one that only answers
// direct commands loses whatever it is given when its lease ends.
func (mt *machineTable) renewed(m *machine) bool {
	return m.answeredAt != 0 && mt.withinTwoHeartbeats(m.answeredAt)
}

// heardRecently tells that a machine was heard of about as often as it should be.
func (mt *machineTable) heardRecently(m *machine) bool {
	return m.seen && mt.withinTwoHeartbeats(m.heardAt)
}

// withinTwoReports tells that something that every report repeats was no longer ago than two of
// them may take.
func (mt *machineTable) withinTwoHeartbeats(at clock.Micros) bool {
	return mt.now() < at+2*mt.settings.Deployment.Workers.Report()+2*clock.Second
}

// synced tells that the worker obeys nobody older any more: what its reports
// lack is not there, and what an older leader sent can't arrive.
func (mt *machineTable) synced(m *machine) bool {
	return m.seen && !m.expired && m.epoch == mt.term.Epoch
}

// ran is how long an attempt has been seen running on a machine.
func (mt *machineTable) ran(m *machine, ref taskRef) clock.Micros {
	if since := m.since[ref]; since != 0 {
		return mt.now() - since
	}
	return 0
}

// noteMachine takes what a report says of the machine itself.
func (mt *machineTable) noteMachine(m *machine, r *protocol.Report) {
	m.seen = true
	m.addr, m.typ, m.zone, m.spot = r.Address, r.Type, r.Zone, r.Spot
	m.session, m.counter, m.epoch = r.Session, r.Counter, r.Epoch
	m.heardAt = mt.now()
	if w := mt.settings.Deployment.Workers; m.answersLost && m.heardAt > m.sessionAt+w.Lease()+leaseMargin {
		m.answersLost = false // this session has outlasted its first lease: answers arrive again
	}
	m.recallAt = 0
	if r.RecallS != nil {
		m.recallAt = mt.now() + clock.FromSeconds(*r.RecallS)
	}
}

// imageSeen keeps a guess at the machine's image cache: the most recently used
// images, as many as there is room for.
func (mt *machineTable) imageSeen(m *machine, name string, gb float64) {
	m.viewStale = true
	images := []image{{name, gb}}
	used := gb
	for _, i := range m.images {
		if i.name != name && used+i.gb <= mt.catalogue.byName[m.typ].CacheGB {
			used += i.gb
			images = append(images, i)
		}
	}
	m.images = images
}

// proofAt is when every lease that could keep a machine's tasks alive has
// ended: those of this node's own answers, those that an earlier leader may
// have given until the end of its allowance, and the one that a session begins
// with, unanswered, no later than its first report.
func (mt *machineTable) provenEmptyAt(m *machine) clock.Micros {
	w := mt.settings.Deployment.Workers
	last := max(m.answeredAt, m.sessionAt, mt.begunAt+w.KeepAlive())
	return last + w.Lease() + w.Lease()/1000 + leaseMargin
}

// heardCount is how many machines are heard of as they should be.
type heardCount struct{ heard, expected int }

func (c heardCount) most() bool { return 2*c.heard >= c.expected }

const (
	// takeoverTime is what workers take to find a new leader.
	takeoverTime = 8 * clock.Second
	// missedMargin is added to a heartbeat interval before a heartbeat counts as missed.
	missedMargin = 750 * clock.Millisecond
	// leaseMargin covers the time from a check to its effect.
	leaseMargin = clock.Second
	// overdueBoots is after how many usual boot times a machine that never reported counts as silent.
	overdueBoots = 2
	// maxAddresses is beyond the machines of any deployment and a day's replacements.
	maxAddresses = 32 << 10
	// maxSpareForLoss bounds the places kept for the loss of a machine.
	maxSpareForLoss = 8
	// Estimates are often wrong by half: a few runs say nothing of a machine,
	// and neither does a moderate excess.
	pacedEnough = 4
	slowPace    = 1.6
)

// releasedTime is far beyond any delay of a report or a list. A machine of which still
// older word came would be taken for an unexpected one, and be returned once more.
const releasedTime = 15 * 60 * clock.Second
