// Package dispatch is the actor that owns jobs and machines on the node that
// leads: it makes every placement decision, commits it to the job's record, and
// only then acts on it.
package dispatch

import (
	"cmp"
	"fmt"
	"iter"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"

	"postpoint/internal/actor"
	"postpoint/internal/agent"
	"postpoint/internal/cells"
	"postpoint/internal/clock"
	"postpoint/internal/cloud"
	"postpoint/internal/leadership"
	"postpoint/internal/planner"
	"postpoint/internal/protocol"
	"postpoint/internal/rollout"
	"postpoint/internal/settings"
	"postpoint/internal/statestore"
)

// Dispatch is the actor. All its state belongs to its mailbox; what it knows
// as a leader is built anew at each election.
type Dispatch struct {
	mailbox actor.Mailbox
	store   statestore.Store
	cloud   cloud.API
	agent   agent.API
	set     *settings.Settings
	deposed func(epoch int64)
	resign  func()
	attest  Attester

	leader string // whom workers are sent to; "" if unknown
	term   leadership.Term

	// As leader.
	jobs     map[string]*job
	machines map[string]*machine
	// roster are the machines in the order of their names: it is replaced, never
	// changed, so that it can be gone through while machines come and go.
	roster []*machine
	// retired are the last versions of jobs that are over, until following has
	// caught up with them: an older version that still comes is not news.
	retired    map[string]int64
	unreadable map[string]bool // jobs whose records make no sense
	// released are machines that were returned, and when: what is still heard of them is
	// old. They are kept for releasedTime.
	released   map[string]clock.Micros
	loaded     bool
	loading    bool             // the records are being read
	orphans    map[string]int64 // parts of no divided record, with their versions
	begunAt    clock.Micros     // when this term began here
	freshAt    clock.Micros     // everything in the records before this is known
	attestedAt clock.Micros     // everything that any node told before this is known
	attesting  bool
	waking     bool
	nextStep   clock.Micros // not before, see stepCost
	plans      int
	committing bool
	pauseUntil clock.Micros // after a refusal of the state service
	renting    fleetState
	views      []planner.Machine // of the last snapshot
	// delegations are the tasks of this cell's jobs that other cells run, by number.
	delegations map[int64]*delegated
	// delegationUnreadable tells that a delegation's record makes no sense.
	delegationUnreadable bool
	numbers              numberBlock
	saving               bool // delegations' records are being written
	spillAt              clock.Micros
	links                map[string]*cellLink // to other cells, by their names
	recovery             recoveryState
	random               *rand.Rand
	// deferring tells that reports wait, until the records are read: see deferReport.
	deferring bool
	deferred  []func()

	// Kept across terms.
	catalogue []protocol.MachineType
	// ownCatalogue tells that it is the cloud's own word, not a leader's.
	ownCatalogue bool
	types        map[string]protocol.MachineType
	addresses    map[string]string
	onTypes      func([]protocol.MachineType)
	classSeen    map[string]classUse
	lastStatus   clock.Micros
	cordonAt     clock.Micros
	tickedAt     clock.Micros
	lag          clock.Micros // by how much ticks have been late lately
	spareBatch   int          // see fleet.Cordon
	resignedAt   clock.Micros
	shared       bool // the catalogue, in this term
	// format is how far the controllers' upgrade is.
	format rollout.Status
	// tightened tells that the state service was seen to refuse what its first limits allow;
	// learnedOps is how many changes a transaction may have as far as is known, 0: as set.
	tightened  bool
	learnedOps int
	// directory lists the cells, nil if they are switched off; exchange reaches them.
	directory *cells.Directory
	exchange  Exchanger
}

// New makes the actor. deposed is told of higher epochs, resign asks to give
// leadership up, attest asks all nodes what they told users, onTypes is told of each
// new catalogue.
func New(m actor.Mailbox, st statestore.Store, cl cloud.API, ag agent.API, set *settings.Settings,
	deposed func(int64), resign func(), attest Attester, onTypes func([]protocol.MachineType)) *Dispatch {
	return &Dispatch{mailbox: m, store: st, cloud: cl, agent: ag, set: set, deposed: deposed, resign: resign, attest: attest, onTypes: onTypes,
		addresses: map[string]string{}, classSeen: map[string]classUse{},
		types: map[string]protocol.MachineType{}}
}

// Start begins the clockwork.
func (d *Dispatch) Start() {
	d.mailbox.Post(func() {
		d.readCatalogue()
		d.tick()
	})
}

// Leader is told whom workers should report to.
func (d *Dispatch) Leader(node string) { d.mailbox.Post(func() { d.leader = node }) }

// Term is told of every election, renewal and loss.
func (d *Dispatch) Term(t leadership.Term) {
	d.mailbox.Post(func() {
		before := d.term.Epoch
		d.term = t
		switch {
		case t.Epoch == before:
		case t.Epoch == 0:
			d.jobs, d.machines, d.roster, d.loaded = nil, nil, nil, false
			d.answerDeferred()
		default:
			d.begin()
		}
	})
}

// Format is told how far the controllers' upgrade is.
func (d *Dispatch) Format(s rollout.Status) {
	d.mailbox.Post(func() {
		d.format = s
		d.wake()
	})
}

// Leads asks, from the actor's own mailbox or a stopped world, whether this node
// may act as leader now.
func (d *Dispatch) Leads() bool { return d.leads() }

// Knows tells, likewise, that a machine is in this leader's books.
func (d *Dispatch) Knows(machine string) bool { return d.machines[machine] != nil }

func (d *Dispatch) now() clock.Micros { return d.mailbox.Steady() }

// leads tells that this node may act: its lease holds and what users changed
// through other nodes is known.
func (d *Dispatch) leads() bool {
	now := d.now()
	return d.term.Epoch != 0 && now < d.term.ValidUntil && d.loaded && now < d.freshAt+staleAfter
}

const (
	staleAfter = 6 * clock.Second
	rateTime   = 60 * clock.Second
	followTime = 2 * clock.Second
	cordonTime = 3 * clock.Second
	// resignAgain leaves a leader the time to prove silent machines empty: if it
	// is the workers that are gone, no other node hears them either.
	resignAgain = 60 * clock.Second
	tickTime    = 500 * clock.Millisecond
	lateTick    = 2 * clock.Second
	wakeDelay   = 15 * clock.Millisecond
	retryDelay  = 300 * clock.Millisecond
)

// begin takes over: records first, then every machine's own word.
func (d *Dispatch) begin() {
	slog.Info("taking over", "epoch", d.term.Epoch)
	d.jobs, d.machines, d.roster, d.released = map[string]*job{}, map[string]*machine{}, nil, map[string]clock.Micros{}
	d.unreadable, d.retired, d.orphans = map[string]bool{}, map[string]int64{}, map[string]int64{}
	d.beginCells()
	d.beginRecovery()
	d.answerDeferred()
	d.deferring = true
	d.loaded, d.committing, d.waking, d.shared = false, false, false, false
	d.begunAt, d.freshAt, d.attestedAt, d.attesting, d.plans = d.now(), 0, 0, false, 0
	d.renting = newFleetState(d.set.Deployment.Cloud.Rps)
	d.random = newRandom(d.term.Epoch)
	d.load(d.term.Epoch, "", 0, d.now())
}

// inTerm does something later, if this is still the same term then.
func (d *Dispatch) inTerm(delay clock.Micros, do func()) {
	epoch := d.term.Epoch
	d.mailbox.After(delay, func() {
		if d.term.Epoch == epoch {
			do()
		}
	})
}

// wake runs a step soon; what happens until then shares it.
func (d *Dispatch) wake() {
	if d.waking || d.term.Epoch == 0 {
		return
	}
	d.waking = true
	d.inTerm(max(wakeDelay, d.nextStep-d.now()), func() {
		d.waking = false
		d.step()
	})
}

// stepCost is what a step is taken to cost, for a pause after it that leaves the
// processor to heartbeats, renewals and users: a leader that plans without a break at
// a tenth of a core is late for everything else. Each part is counted rather
// than timed, so that the same events always lead to the same decisions.
func (d *Dispatch) stepCost() clock.Micros {
	placed := 0
	for _, j := range d.jobs {
		placed += len(j.Placed)
	}
	return clock.Micros(len(d.roster)*machineCost + len(d.jobs)*jobCost + placed*placedCost)
}

// What one of each adds to a step, in microseconds, and the part of the
// processor that steps may take.
const (
	machineCost = 1
	jobCost     = 5
	placedCost  = 1
	stepShare   = 0.25
)

func (d *Dispatch) tick() {
	if late := d.now() - d.tickedAt - tickTime; d.tickedAt != 0 {
		if late > lateTick {
			slog.Info("the process stood still or had no processor", "for_s", late.Seconds(), "epoch", d.term.Epoch)
		}
		d.lag = (d.lag + max(late, 0)) / 2
	}
	d.tickedAt = d.now()
	d.mailbox.After(tickTime, d.tick)
	if d.term.Epoch == 0 {
		return
	}
	d.checkGuests()
	d.endCancelled()
	d.seekAttestation()
	d.reportToCells()
	if d.leads() {
		d.expire()
		d.drain()
		d.replaceSilent()
		d.remind()
		d.recover()
		d.manageFleet()
		d.shareCatalogue()
		d.manageCells()
		if d.now() > d.cordonAt+cordonTime {
			d.cordonAt = d.now()
			d.cordon()
		}
		d.logState()
		if d.hearsNoWorker() && !d.nobodyHears() && (d.resignedAt == 0 || d.now() > d.resignedAt+resignAgain) {
			d.resignedAt = d.now()
			d.resign()
		}
	}
	d.wake()
}

// strained tells that the processor doesn't keep up. What can ride on the answers to
// reports then does: a direct command mostly costs a connection, and once reports are
// answered too late for their workers, these come again and again by new connections,
// until there is less than nothing left for the work itself.
func (d *Dispatch) strained() bool { return d.lag > strainedLag }

const strainedLag = 300 * clock.Millisecond

// hearsNoWorker tells that no worker at all has been heard of for a while, though there
// are several: this node may be cut off from them while others are not, and their
// leases run out at a leader that they can't reach. A worker spends four seconds on
// a node that doesn't answer, so that two missing reports have to be enough.
func (d *Dispatch) hearsNoWorker() bool {
	since := d.begunAt
	known := 0
	for _, m := range d.roster {
		if len(m.placed) > 0 {
			known++
		}
		since = max(since, m.heardAt)
	}
	return known > 1 && d.now() > since+2*d.set.Deployment.Workers.Report()+clock.Second
}

func (d *Dispatch) step() {
	if !d.leads() {
		return
	}
	d.schedule()
	d.commit()
	if cpu := d.set.Deployment.MachineLimits.CPU; cpu > 0 {
		d.nextStep = d.now() + clock.Micros(float64(d.stepCost())/(min(cpu, 1)*stepShare))
	}
}

// logState tells an operator once in a while what is queued and where.
func (d *Dispatch) logState() {
	if d.now() < d.lastStatus+15*clock.Second {
		return
	}
	d.lastStatus = d.now()
	pending, placed, kinds := 0, 0, map[string]int{}
	for _, j := range inOrder(d.jobs) {
		if !j.Final() {
			pending += j.PendingCount()
		}
		placed += len(j.Placed)
	}
	idle := 0
	for _, m := range d.roster {
		kinds[m.typ]++
		if len(m.placed) == 0 {
			idle++
		}
	}
	slog.Info("state", "epoch", d.term.Epoch, "open_jobs", len(d.jobs), "pending_tasks", pending, "placed_tasks", placed,
		"machines", fmt.Sprint(kinds), "idle", idle)
}

// inOrder goes through a map by its keys, so that the same state always leads
// to the same decisions.
func inOrder[K cmp.Ordered, V any](m map[K]V) iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		for _, k := range slices.Sorted(maps.Keys(m)) {
			if v, ok := m[k]; ok && !yield(k, v) {
				return
			}
		}
	}
}
