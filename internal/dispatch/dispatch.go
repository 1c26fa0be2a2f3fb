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
	"net/http"
	"slices"

	"golang.org/x/time/rate"

	"postpoint/internal/actor"
	"postpoint/internal/agent"
	"postpoint/internal/clock"
	"postpoint/internal/cloud"
	"postpoint/internal/fleet"
	"postpoint/internal/leadership"
	"postpoint/internal/ledger"
	"postpoint/internal/planner"
	"postpoint/internal/protocol"
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
	released   map[string]bool // released machines: what is still heard of them is old
	loaded     bool
	begunAt    clock.Micros // when this term began here
	freshAt    clock.Micros // everything in the records before this is known
	attestedAt clock.Micros // everything that any node told before this is known
	attesting  bool
	waking     bool
	nextStep   clock.Micros // not before, see stepCost
	plans      int
	committing bool
	pauseUntil clock.Micros // after a refusal of the state service
	renting    fleetState
	views      []planner.Machine // of the last snapshot
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
}

type fleetState struct {
	bookings  int
	waiting   int // rentals without an answer yet
	releasing bool
	listing   bool
	listedAt  clock.Micros
	refused   map[fleet.Kind]refusal
	pace      *rate.Limiter // of bookings
	downUntil clock.Micros
}

// classUse is what a class of jobs was last seen to need.
type classUse struct {
	spec     protocol.JobSpec
	at       clock.Micros
	arrivals []clock.Micros // of the last rateTime
	pace     float64        // run times against the owners' estimates, on average
}

// job is a record with what this leader knows beyond it.
type job struct {
	*ledger.Job
	version int64 // the key's version that the last durable content has

	changed       int // counts changes of the content
	durable       int // the count that is in the record
	inFlight      bool
	reread        bool // the record must be read before anything else happens
	reading       bool
	followedEvent *protocol.Event // what was followed while a change was in flight
	// dirtyAt is since when the content differs from the record.
	dirtyAt clock.Micros

	// proposed holds, for each placement, the count of changes at its proposal:
	// it is in the record once the durable count has reached that.
	proposed map[int]int
	// fresh are the tasks whose placements aren't in the record yet.
	fresh []int
	// running is what the planner is shown, kept until a placement changes.
	running      []planner.Running
	runningSince []clock.Micros
	runningStale bool
	// brokenTry is a gang's try that can't be completed any more.
	brokenTry int64
	failures  int
	notBefore clock.Micros
	avoid     map[string]bool
	// cancelled tells that a user was told so; the record may still be behind.
	cancelled bool
	// cancelledAt is when that was, or somewhat earlier. It may lie before this process
	// began, and so be negative on its steady clock.
	cancelledAt clock.Micros
	stops       map[int]stop
	returning   bool
	moved       bool // off a machine that could be spared
	// wantedAt is when a plan last wanted machines for it, wantedFrom since when all did.
	wantedFrom, wantedAt clock.Micros
}

type stop struct {
	grace float64
	why   string
}

// committed tells that a placement is in the record: only then is it acted on.
func (j *job) committed(p ledger.Placement) bool { return j.proposed[p.Task] <= j.durable }

// over tells that nothing of the job may start or stay any more.
func (j *job) over() bool { return j.Final() || j.cancelled }

func (j *job) clean() bool { return !j.inFlight && !j.reread && j.changed == j.durable }

// touch notes a change of the content.
func (d *Dispatch) touch(j *job) {
	if j.changed == j.durable {
		j.dirtyAt = d.now()
	}
	j.changed++
	j.runningStale = true
}

// taskRef is a try of a task.
type taskRef struct {
	job  string
	task int
	try  int64
}

// machine is one worker as it was last heard of.
type machine struct {
	name, addr, typ, zone string
	spot                  bool

	seen bool // a report was heard in this term
	// settled tells that every placed task stood in the last report and none of
	// them had ended: the same report again is no news.
	settled               bool
	shift, counter, epoch int64
	tasks                 map[taskRef]protocol.TaskReport
	reported              []protocol.TaskReport // what tasks was made from
	// ended counts the tasks that are only to be forgotten, since the last report with
	// news; forgetAt is when they are at the latest.
	ended               int
	forgetAt            clock.Micros
	since               map[taskRef]clock.Micros // when a task was first seen running
	heardAt, answeredAt clock.Micros
	shiftAt             clock.Micros // when its present shift was first heard of
	recallAt            clock.Micros // when the cloud takes it; 0: not announced
	heartbeatShift      int64
	heartbeatCounter    int64
	expired             bool // its lease has surely ended: only a newer shift counts
	// answersLost machines report, but lose one session after the other though they
	// are answered: answers don't reach them.
	answersLost  bool
	challengedAt clock.Micros // when it was last asked whether it has started over

	listed    bool
	firstSeen clock.Micros
	listedAt  clock.Micros
	status    string

	placed map[string]map[int]ledger.Placement // by job
	// view is the machine as the planner is shown it, kept until anything that
	// it depends on changes.
	view      planner.Machine
	viewStale bool
	strange   bool // something of unknown size runs there
	// pullGB was still to be fetched at pulledAt.
	pullGB   float64
	pulledAt clock.Micros
	sent     map[taskRef]*sent
	// calling is a direct command on its way; callAgain asks for another.
	calling, callAgain bool
	syncedAt           clock.Micros // when the last empty command was sent

	pace       float64 // its run times against the classes' averages
	paced      int     // how many runs that is drawn from
	images     []image
	fullUntil  clock.Micros
	faults     map[string]bool // jobs that failed here
	quarantine bool
	cordonedAt clock.Micros
	spareAt    clock.Micros // when a place on it was last to be kept free
	cordoned   bool         // takes no new tasks, so that it empties: see fleet.Cordon
	releasing  bool
	overdue    bool // holds tasks of a cancelled job that don't end
	idleSince  clock.Micros
}

// sent is what is known of a start's way to the worker: as long as one may
// still arrive, the try must not be forgotten, or it would start again.
type sent struct {
	inCall      bool
	inHeartbeat bool
	uncertain   bool
	startAt     clock.Micros
	killAt      clock.Micros
}

type image struct {
	name string
	gb   float64
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
	d.jobs, d.machines, d.roster, d.released = map[string]*job{}, map[string]*machine{}, nil, map[string]bool{}
	d.unreadable, d.retired = map[string]bool{}, map[string]int64{}
	d.answerDeferred()
	d.deferring = true
	d.loaded, d.committing, d.waking, d.shared = false, false, false, false
	d.begunAt, d.freshAt, d.attestedAt, d.attesting, d.plans = d.now(), 0, 0, false, 0
	d.renting = newFleetState(d.set.Deployment.Cloud.Rps)
	d.load(d.term.Epoch, "", 0, d.now())
}

// load reads all records, page by page. The first page's revision is where
// following starts, so that nothing falls between.
func (d *Dispatch) load(epoch int64, from string, revision int64, began clock.Micros) {
	d.store.List(ledger.Prefix, from, func(r statestore.Reply[protocol.ItemList]) {
		if d.term.Epoch != epoch {
			return
		}
		if r.Status != http.StatusOK {
			d.inTerm(retryDelay, func() { d.load(epoch, from, revision, began) })
			return
		}
		if from == "" {
			revision = r.Value.Revision
		}
		for _, item := range r.Value.Items {
			d.adopt(item.Key, item.Value, item.Version)
		}
		if r.Value.More && len(r.Value.Items) > 0 {
			d.load(epoch, r.Value.Items[len(r.Value.Items)-1].Key, revision, began)
			return
		}
		first := !d.loaded
		d.loaded = true
		d.freshAt = began
		if first {
			d.answerDeferred()
			slog.Info("records read", "epoch", epoch, "open_jobs", len(d.jobs), "took_ms", (d.now()-began)/clock.Millisecond)
		}
		d.wake()
		d.follow(epoch, revision)
	})
}

// follow keeps up with what other nodes accept and cancel. It comes back at
// least every followTime, which shows how fresh the records are.
func (d *Dispatch) follow(epoch, from int64) {
	sentAt := d.now()
	d.store.Follow(ledger.Prefix, from, followTime, func(r statestore.Reply[protocol.FollowAnswer]) {
		if d.term.Epoch != epoch {
			return
		}
		switch r.Status {
		case http.StatusOK:
			d.freshAt = sentAt
			for _, e := range r.Value.Events {
				if e.Put != "" {
					d.adopt(e.Put, e.Value, e.Version)
				}
			}
			if len(r.Value.Events) > 0 {
				d.wake()
			}
			maps.DeleteFunc(d.retired, func(_ string, version int64) bool { return version <= r.Value.Revision })
			d.follow(epoch, max(from, r.Value.Revision))
		case http.StatusGone:
			// Too far behind: everything is read again.
			d.load(epoch, "", 0, d.now())
		default:
			d.inTerm(retryDelay, func() { d.follow(epoch, from) })
		}
	})
}

// adopt takes a record as read or followed, unless it is known already.
func (d *Dispatch) adopt(key string, raw []byte, version int64) {
	id := key[len(ledger.Prefix):]
	j := d.jobs[id]
	// A read that was answered late can be older than what is known: taking it
	// would bring back places that are empty. The same version is news only if
	// what is in memory has to be dropped.
	if version <= d.retired[id] || j != nil && (version < j.version || version == j.version && !j.reread) {
		return
	}
	content, err := ledger.Decode(raw)
	if j != nil && j.inFlight {
		// What this is becomes clear when our own change is answered; that it is
		// cancelled is final.
		j.followedEvent = &protocol.Event{Put: key, Value: raw, Version: version}
		if err == nil && content.Status == protocol.StatusCancelled {
			d.noteCancelled(j, d.confirmedAt(content))
		}
		return
	}
	if err != nil {
		// Never guess at what may be running: leave it alone and say so.
		slog.Error("malformed record", "job", id, "error", err)
		d.unreadable[id] = true
		return
	}
	if j == nil {
		if content.Final() && len(content.Placed) == 0 {
			return
		}
		d.noteClass(&content.Spec)
		j = &job{avoid: map[string]bool{}, stops: map[int]stop{}, proposed: map[int]int{}, runningStale: true}
		d.jobs[id] = j
	} else {
		d.unplaceAll(j)
	}
	j.Job, j.version, j.reread = content, version, false
	j.changed++
	j.durable = j.changed
	j.runningStale = true
	clear(j.proposed)
	j.fresh = nil
	if content.Status == protocol.StatusCancelled {
		d.noteCancelled(j, d.confirmedAt(content))
	}
	on := map[string]*machine{}
	for _, p := range inOrder(content.Placed) {
		if d.released[p.Machine] {
			// Released meanwhile, with all on it: the record is behind.
			d.unplace(j, p)
			continue
		}
		on[p.Machine] = d.index(j, p)
	}
	// What the machines last said still counts for what the record just said.
	for _, m := range inOrder(on) {
		if m.seen {
			d.reconcile(m)
			if j.Final() {
				d.pushOrders(m)
			}
		}
	}
	d.retire(j)
}

// noteClass keeps what is needed to expect more jobs of a class.
func (d *Dispatch) noteClass(s *protocol.JobSpec) {
	u := d.classSeen[s.Class]
	u.spec, u.at = *s, d.now()
	u.arrivals = append(slices.DeleteFunc(u.arrivals, func(at clock.Micros) bool { return at < u.at-rateTime }), u.at)
	d.classSeen[s.Class] = u
}

// index notes a placement at its machine.
func (d *Dispatch) index(j *job, p ledger.Placement) *machine {
	m := d.machine(p.Machine)
	m.viewStale, m.settled = true, false
	if m.placed[j.Spec.ID] == nil {
		m.placed[j.Spec.ID] = map[int]ledger.Placement{}
	}
	m.placed[j.Spec.ID][p.Task] = p
	return m
}

// place decides a placement; it counts from now and acts once it is durable.
func (d *Dispatch) place(j *job, p ledger.Placement) {
	j.Placed[p.Task] = p
	d.index(j, p)
	d.touch(j)
	j.proposed[p.Task] = j.changed
	j.fresh = append(j.fresh, p.Task)
}

// unplace frees a place, which only proof allows: see docs/rules.md.
func (d *Dispatch) unplace(j *job, p ledger.Placement) {
	delete(j.Placed, p.Task)
	delete(j.stops, p.Task)
	delete(j.proposed, p.Task)
	d.unindex(j, p)
	d.touch(j)
	if !j.Done.Has(p.Task) {
		// It is to run again, under another try than any before.
		j.NextTry = max(j.NextTry, p.Try+1)
	}
	d.wake()
}

func (d *Dispatch) unindex(j *job, p ledger.Placement) {
	m := d.machines[p.Machine]
	if m == nil {
		return
	}
	m.viewStale = true
	delete(m.placed[j.Spec.ID], p.Task)
	if len(m.placed[j.Spec.ID]) == 0 {
		delete(m.placed, j.Spec.ID)
	}
	if len(m.placed) == 0 {
		m.idleSince = d.now()
	}
}

func (d *Dispatch) unplaceAll(j *job) {
	for _, p := range inOrder(j.Placed) {
		d.unindex(j, p)
	}
}

// retire drops a job that is over and nowhere any more.
func (d *Dispatch) retire(j *job) {
	if j.Final() && len(j.Placed) == 0 && j.clean() {
		d.retired[j.Spec.ID] = j.version
		delete(d.jobs, j.Spec.ID)
	}
}

func (d *Dispatch) machine(name string) *machine {
	m := d.machines[name]
	if m == nil {
		m = &machine{name: name, addr: d.addresses[name], firstSeen: d.now(), idleSince: d.now(),
			tasks: map[taskRef]protocol.TaskReport{}, since: map[taskRef]clock.Micros{},
			placed: map[string]map[int]ledger.Placement{}, sent: map[taskRef]*sent{}, faults: map[string]bool{}, viewStale: true}
		d.machines[name] = m
		at, _ := slices.BinarySearchFunc(d.roster, name, func(x *machine, name string) int { return cmp.Compare(x.name, name) })
		d.roster = slices.Insert(slices.Clone(d.roster), at, m)
	}
	return m
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
	d.endCancelled()
	d.seekAttestation()
	if d.leads() {
		d.expire()
		d.drain()
		d.remind()
		d.manageFleet()
		d.shareCatalogue()
		if d.now() > d.cordonAt+cordonTime {
			d.cordonAt = d.now()
			d.cordon()
		}
		d.logState()
		if d.hearsNoWorker() && (d.resignedAt == 0 || d.now() > d.resignedAt+resignAgain) {
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
