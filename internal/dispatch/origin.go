package dispatch

import (
	"log/slog"
	"slices"

	"postpoint/internal/cells"
	"postpoint/internal/clock"
	"postpoint/internal/delegation"
	"postpoint/internal/ledger"
	"postpoint/internal/protocol"
	"postpoint/internal/statestore"
)

// originCell delegates this cell's own jobs to other cells.
type originCell struct {
	*leaderTerm
	store      statestore.Store
	jobs       *jobTable
	catalogue  *machineCatalogue
	reader     *recordReader
	writer     *recordWriter
	autoscaler *autoscaler
	snapshots  *snapshotBuilder
	cells      *cellLinks
	steps      *stepTimer

	// delegations are the tasks of this cell's jobs that other cells run, by number.
	delegations map[int64]*delegated
	// delegationUnreadable reports that a delegation's record can't be decoded.
	delegationUnreadable bool
	numbers              numberBlock
	saving               bool // delegations' records are being written
	spillAt              clock.Micros
}

func newOriginCell(term *leaderTerm, store statestore.Store, jobs *jobTable, catalogue *machineCatalogue,
	reader *recordReader, writer *recordWriter, autoscaler *autoscaler, snapshots *snapshotBuilder,
	links *cellLinks, steps *stepTimer) *originCell {
	return &originCell{
		leaderTerm: term,
		store:      store,
		jobs:       jobs,
		catalogue:  catalogue,
		reader:     reader,
		writer:     writer,
		autoscaler: autoscaler,
		snapshots:  snapshots,
		cells:      links,
		steps:      steps,
	}
}

// begin forgets what was known in earlier terms.
func (oc *originCell) begin() {
	oc.delegations = map[int64]*delegated{}
	oc.delegationUnreadable = false
	oc.numbers = numberBlock{}
	oc.saving = false
}

// delegated is a delegation of this cell's own work with how its record is stored.
type delegated struct {
	*delegation.Delegation
	version int64            // of its key, 0 if there is none yet
	stored  delegation.State // what the record says
	// uncertain tells that a change of the record had no answer.
	uncertain bool
	counted   bool // among its job's returned ones
}

// numberBlock are delegations' numbers that this term may use: no other leader ever does.
type numberBlock struct {
	next, end int64
	asking    bool
}

// numbersAtOnce is how many numbers a leader takes at a time.
const numbersAtOnce = 1000

// has tells that a placement belongs to the delegation.
func (del *delegated) has(j *job, p ledger.Placement) bool {
	return p.Host() == del.Host && p.Session == del.Number && del.Job == j.Spec.ID && del.Left.Has(p.Task)
}

// lostTime is after which a host that isn't heard of is taken to be lost, once it has no
// permission any more.
const lostTime = 8 * clock.Second

// savedDelegation is a change of a delegation's record on its way.
type savedDelegation struct {
	del    *delegated
	state  delegation.State
	change protocol.Change
	// guards are conditions beside the record's own version.
	guards []protocol.Guard
}

// exchangeTimeout is how long cells wait for each other.
const exchangeTimeout = clock.Second

const (
	// offerBytes is what an offer mostly takes without its tasks.
	offerBytes = 600
	// maxOfferBytes leaves room for the rest of an answer.
	maxOfferBytes = 24 << 10
)

// matchDelegations frees what the records place with other cells without a delegation: it was
// never offered, or is over.
func (oc *originCell) matchDelegations() {
	for _, j := range inOrder(oc.jobs.byID) {
		oc.matchDelegation(j)
	}
}

func (oc *originCell) matchDelegation(j *job) {
	if oc.reader.loading || j.partsUnread || oc.delegationUnreadable {
		return
	}
	for _, p := range inOrder(j.Placed) {
		if del := oc.delegations[p.Session]; p.Host() != "" && (del == nil || !del.has(j, p)) {
			oc.jobs.unplace(j, p)
		}
	}
}

// delegate gives tasks of a job to another cell: their places first, then the delegation's
// record, and only then the offer.
func (oc *originCell) delegate(j *job, host string, tasks []int) {
	number := oc.numbers.next
	oc.numbers.next++
	r := delegation.Record{Number: number, Host: host, Job: j.Spec.ID, State: delegation.Offered, OfferedAt: int64(oc.mailbox.OfDay())}
	slices.Sort(tasks)
	attempt := j.currentAttempt()
	for _, task := range tasks {
		r.Tasks.Add(task)
		oc.jobs.place(j, ledger.Placement{Task: task, Attempt: attempt, Machine: ledger.DelegatedTo(host), Session: number})
	}
	del := &delegated{Delegation: delegation.New(r)}
	del.HeardAt = oc.now()
	oc.delegations[number] = del
	slog.Info("delegating", "number", number, "job", j.Spec.ID, "tasks", r.Tasks.String(), "to", host)
}

// placesStored tells that all places of a delegation are in its job's record.
func (oc *originCell) placesStored(del *delegated) bool {
	j := oc.jobs.byID[del.Job]
	if j == nil || j.reread || j.reading {
		return false
	}
	for task := del.Left.NextIn(0); task <= del.Left.Max(); task = del.Left.NextIn(task + 1) {
		if p, placed := j.Placed[task]; !placed || !del.has(j, p) || !j.committed(p) {
			return false
		}
	}
	return true
}

// placesGone tells that by its job's record none of a delegation's tasks is the host's.
func (oc *originCell) placesGone(del *delegated) bool {
	j := oc.jobs.byID[del.Job]
	if j == nil {
		return !oc.jobs.malformed[del.Job]
	}
	for task := del.Tasks.NextIn(0); task <= del.Tasks.Max(); task = del.Tasks.NextIn(task + 1) {
		if p, placed := j.Placed[task]; placed && p.Session == del.Number && p.Host() != "" || !j.recorded(task) {
			return false
		}
	}
	return true
}

// manageCells is the leader's part in cells, twice a second.
func (oc *originCell) manageCells() {
	if len(oc.delegations) == 0 && !oc.cells.enabled() {
		return
	}
	if oc.cells.directory != nil {
		oc.spill()
		oc.recall()
	}
	for _, del := range inOrder(oc.delegations) {
		oc.checkDelegation(del)
	}
	oc.saveDelegations()
}

// checkDelegation ends a delegation whose host can't run any of it any more, and wants back
// what is of no use there.
func (oc *originCell) checkDelegation(del *delegated) {
	now := oc.now()
	j := oc.jobs.byID[del.Job]
	if j == nil || j.over() || oc.lostItsPlaces(j, del) {
		del.Recall()
	}
	silent := now > max(del.HeardAt, oc.begunAt)+lostTime
	if del.Over() || !del.Clear(now) || !silent && del.State != delegation.Recalled || j != nil && (j.reread || j.reading) {
		return
	}
	freed := del.Expire()
	slog.Info("delegation has ended unheard", "number", del.Number, "job", del.Job, "host", del.Host, "tasks", len(freed.Unfinished),
		"silent_s", (now - del.HeardAt).Seconds())
	oc.takeBack(del, freed)
}

// lostItsPlaces tells that a delegation's places didn't get into its job's record.
func (oc *originCell) lostItsPlaces(j *job, del *delegated) bool {
	if j.reread || j.reading || j.inFlight {
		return false
	}
	for task := del.Left.NextIn(0); task <= del.Left.Max(); task = del.Left.NextIn(task + 1) {
		if p, placed := j.Placed[task]; !placed || !del.has(j, p) {
			return true
		}
	}
	return false
}

// takeBack frees the places of tasks that are no longer the host's.
func (oc *originCell) takeBack(del *delegated, freed delegation.Freed) {
	j := oc.jobs.byID[del.Job]
	if j == nil {
		return
	}
	for _, task := range freed.Completed {
		if p, placed := j.Placed[task]; placed && p.Session == del.Number && p.Host() == del.Host {
			j.noteDone(task)
			oc.jobs.unplace(j, p)
		}
	}
	returned := false
	for _, task := range freed.Unfinished {
		if p, placed := j.Placed[task]; placed && p.Session == del.Number && p.Host() == del.Host {
			oc.jobs.unplace(j, p)
			returned = true
		}
	}
	if returned && !j.over() {
		j.backAt = oc.now()
		if del.State != delegation.Refused && !del.counted {
			del.counted = true
			j.Returned++
			oc.jobs.touchHead(j)
		}
	}
	oc.jobs.finish(j)
}

// answerReport takes a host's report, and says what it may go on with and what else it may take.
func (oc *originCell) answerReport(r *delegation.Report) delegation.Answer {
	link, leads := oc.cells.links[r.Host], oc.leads()
	if r.Epoch > link.epoch || r.Epoch == link.epoch && r.Counter > link.counter {
		link.epoch, link.counter = r.Epoch, r.Counter
		link.load, link.loadAt = r.Load, oc.now()
	}
	a := delegation.Answer{Result: delegation.Taken}
	reported := map[int64]bool{}
	for _, s := range r.Tasks {
		reported[s.Number] = true
		if ruling, ok := oc.rule(r, s, leads); ok {
			a.Rulings = append(a.Rulings, ruling)
		}
	}
	if leads {
		a.Offers = oc.offers(r.Host, reported)
		oc.steps.wake()
	}
	return a
}

// rule takes a host's word on one delegation and gives the verdict on it.
func (oc *originCell) rule(r *delegation.Report, s delegation.Status, leads bool) (delegation.Ruling, bool) {
	ruling := delegation.Ruling{Number: s.Number}
	del := oc.delegations[s.Number]
	if del == nil || del.Host != r.Host || del.Job != s.Job {
		// Only a leader that knows all delegations can say that there is none.
		ruling.Verdict = delegation.Forget
		return ruling, leads && !oc.delegationUnreadable
	}
	j := oc.jobs.byID[del.Job]
	if leads && (j == nil || !j.reread && !j.reading) {
		oc.takeBack(del, del.Hear(s, oc.now()))
	}
	switch {
	case oc.jobs.malformed[del.Job]:
		return ruling, false
	case j == nil || j.over():
		ruling.Verdict = delegation.Cancel
		return ruling, true
	case del.Over():
		return ruling, false // until the records say so, too
	}
	// As with workers' leases: what users were told after known isn't known here.
	known := min(oc.knownUntil(), oc.soleUntil())
	workers := oc.settings.Deployment.Workers
	ruling.For = known + cells.LongestPermission(workers, r.Clear) - oc.now()
	if ruling.For <= 0 {
		return ruling, false
	}
	ruling.Verdict = del.Verdict(oc.cells.drained(del.Host))
	del.Permit(known, cells.ProofTime(workers))
	return ruling, true
}

// offers are the delegations that a host hasn't reported yet.
func (oc *originCell) offers(host string, reported map[int64]bool) []delegation.Offer {
	var offers []delegation.Offer
	size := 0
	for number, del := range inOrder(oc.delegations) {
		j := oc.jobs.byID[del.Job]
		if del.Host != host || del.State != delegation.Offered || !del.Offerable || reported[number] || j == nil || j.over() {
			continue
		}
		if size += offerBytes + len(del.Tasks.String()); size > maxOfferBytes {
			break
		}
		offers = append(offers, delegation.Offer{Number: number, Spec: j.Spec, Tasks: del.Tasks,
			Age: max(0, oc.mailbox.OfDay()-clock.Micros(j.SubmittedAt))})
	}
	return offers
}
