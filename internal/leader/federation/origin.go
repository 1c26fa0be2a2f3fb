package federation

import (
	"log/slog"
	"slices"

	"postpoint/internal/cells"
	"postpoint/internal/clock"
	"postpoint/internal/delegation"
	"postpoint/internal/leader/autoscaler"
	"postpoint/internal/leader/jobtable"
	"postpoint/internal/leader/machinetable"
	"postpoint/internal/leader/recordstore"
	"postpoint/internal/leader/snapshots"
	"postpoint/internal/leader/term"
	"postpoint/internal/ledger"
	"postpoint/internal/ordered"
	"postpoint/internal/protocol"
	"postpoint/internal/statestore"
)

// Origin delegates this cell's own jobs to other cells.
type Origin struct {
	*term.State
	Store      statestore.Store
	jobs       *jobtable.Table
	catalogue  *machinetable.Catalogue
	reader     *recordstore.Reader
	writer     *recordstore.Writer
	autoscaler *autoscaler.Autoscaler
	snapshots  *snapshots.Builder
	cells      *Links
	steps      *term.StepTimer

	// Delegations are the tasks of this cell's jobs that other cells run, by number.
	Delegations map[int64]*trackedDelegation
	// HasMalformed reports that a delegation's record can't be decoded.
	HasMalformed  bool
	Numbers       NumberBlock
	saving        bool // delegations' records are being written
	nextOffloadAt clock.Micros
}

// NewOrigin makes the part that delegates own jobs.
func NewOrigin(term *term.State, store statestore.Store, jobs *jobtable.Table, catalogue *machinetable.Catalogue,
	reader *recordstore.Reader, writer *recordstore.Writer, autoscaler *autoscaler.Autoscaler, snapshots *snapshots.Builder,
	links *Links, steps *term.StepTimer) *Origin {
	return &Origin{
		State:      term,
		Store:      store,
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

// Begin forgets what was known in earlier terms.
func (oc *Origin) Begin() {
	oc.Delegations = map[int64]*trackedDelegation{}
	oc.HasMalformed = false
	oc.Numbers = NumberBlock{}
	oc.saving = false
}

// trackedDelegation is a delegation of this cell's own work with how its record is stored.
type trackedDelegation struct {
	*delegation.Delegation
	version int64            // of its key, 0 if there is none yet
	stored  delegation.State // what the record says
	// uncertain tells that a change of the record had no answer.
	uncertain bool
	counted   bool // among its job's returned ones
}

// NumberBlock are delegations' numbers that this term may use: no other leader ever does.
type NumberBlock struct {
	Next, End int64
	asking    bool
}

// numberBlockSize is how many numbers a leader takes at a time.
const numberBlockSize = 1000

// has tells that a placement belongs to the delegation.
func (del *trackedDelegation) has(j *jobtable.Job, p ledger.Placement) bool {
	return p.Host() == del.Host && p.Session == del.Number && del.Job == j.Spec.ID && del.Left.Has(p.Task)
}

// lostTime is after which a host that isn't heard of is taken to be lost, once it has no
// permission any more.
const lostTime = 8 * clock.Second

// savedDelegation is a change of a delegation's record on its way.
type savedDelegation struct {
	del    *trackedDelegation
	state  delegation.State
	change protocol.Change
	// guards are conditions beside the record's own version.
	guards []protocol.Guard
}

// ExchangeTimeout is how long cells wait for each other.
const ExchangeTimeout = clock.Second

const (
	// offerBytes is what an offer mostly takes without its tasks.
	offerBytes = 600
	// maxOfferBytes leaves room for the rest of an answer.
	maxOfferBytes = 24 << 10
)

// MatchDelegations frees what the records place with other cells without a delegation: it was
// never offered, or is over.
func (oc *Origin) MatchDelegations() {
	for _, j := range ordered.ByKey(oc.jobs.ByID) {
		oc.MatchDelegation(j)
	}
}

// MatchDelegation squares one job's placements with the delegations.
func (oc *Origin) MatchDelegation(j *jobtable.Job) {
	if oc.reader.Loading || j.ShardsUnread() || oc.HasMalformed {
		return
	}
	for _, p := range ordered.ByKey(j.Placed) {
		if del := oc.Delegations[p.Session]; p.Host() != "" && (del == nil || !del.has(j, p)) {
			oc.jobs.ReleasePlacement(j, p)
		}
	}
}

// Delegate gives tasks of a job to another cell: their places first, then the delegation's
// record, and only then the offer.
func (oc *Origin) Delegate(j *jobtable.Job, host string, tasks []int) {
	number := oc.Numbers.Next
	oc.Numbers.Next++
	r := delegation.Record{Number: number, Host: host, Job: j.Spec.ID, State: delegation.Offered, OfferedAt: int64(oc.Mailbox.OfDay())}
	slices.Sort(tasks)
	attempt := j.CurrentAttempt()
	for _, task := range tasks {
		r.Tasks.Add(task)
		oc.jobs.AddPlacement(j, ledger.Placement{Task: task, Attempt: attempt, Machine: ledger.DelegatedTo(host), Session: number})
	}
	del := &trackedDelegation{Delegation: delegation.New(r)}
	del.HeardAt = oc.Now()
	oc.Delegations[number] = del
	slog.Info("delegating", "number", number, "job", j.Spec.ID, "tasks", r.Tasks.String(), "to", host)
}

// placesStored tells that all places of a delegation are in its job's record.
func (oc *Origin) placesStored(del *trackedDelegation) bool {
	j := oc.jobs.ByID[del.Job]
	if j == nil || j.ReadPending() {
		return false
	}
	for task := del.Left.NextIn(0); task <= del.Left.Max(); task = del.Left.NextIn(task + 1) {
		if p, placed := j.Placed[task]; !placed || !del.has(j, p) || !j.Committed(p) {
			return false
		}
	}
	return true
}

// placesGone tells that by its job's record none of a delegation's tasks is the host's.
func (oc *Origin) placesGone(del *trackedDelegation) bool {
	j := oc.jobs.ByID[del.Job]
	if j == nil {
		return !oc.jobs.Malformed[del.Job]
	}
	for task := del.Tasks.NextIn(0); task <= del.Tasks.Max(); task = del.Tasks.NextIn(task + 1) {
		if p, placed := j.Placed[task]; placed && p.Session == del.Number && p.Host() != "" || !j.OutcomeStored(task) {
			return false
		}
	}
	return true
}

// Manage is the leader's part in cells, twice a second.
func (oc *Origin) Manage() {
	if len(oc.Delegations) == 0 && !oc.cells.Enabled() {
		return
	}
	if oc.cells.Directory != nil {
		oc.offload()
		oc.recallWaiting()
	}
	for _, del := range ordered.ByKey(oc.Delegations) {
		oc.checkDelegation(del)
	}
	oc.SaveDelegations()
}

// checkDelegation ends a delegation whose host can't run any of it any more, and wants back
// what is of no use there.
func (oc *Origin) checkDelegation(del *trackedDelegation) {
	now := oc.Now()
	j := oc.jobs.ByID[del.Job]
	if j == nil || j.Over() || oc.lostItsPlaces(j, del) {
		del.Recall()
	}
	silent := now > max(del.HeardAt, oc.BegunAt)+lostTime
	if del.Over() || !del.Clear(now) || !silent && del.State != delegation.Recalled || j != nil && (j.ReadPending()) {
		return
	}
	freed := del.Expire()
	slog.Info("delegation has ended unheard", "number", del.Number, "job", del.Job, "host", del.Host, "tasks", len(freed.Unfinished),
		"silent_s", (now - del.HeardAt).Seconds())
	oc.takeBack(del, freed)
}

// lostItsPlaces tells that a delegation's places didn't get into its job's record.
func (oc *Origin) lostItsPlaces(j *jobtable.Job, del *trackedDelegation) bool {
	if j.ReadPending() || j.InFlight {
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
func (oc *Origin) takeBack(del *trackedDelegation, freed delegation.Freed) {
	j := oc.jobs.ByID[del.Job]
	if j == nil {
		return
	}
	for _, task := range freed.Completed {
		if p, placed := j.Placed[task]; placed && p.Session == del.Number && p.Host() == del.Host {
			j.RecordDone(task)
			oc.jobs.ReleasePlacement(j, p)
		}
	}
	returned := false
	for _, task := range freed.Unfinished {
		if p, placed := j.Placed[task]; placed && p.Session == del.Number && p.Host() == del.Host {
			oc.jobs.ReleasePlacement(j, p)
			returned = true
		}
	}
	if returned && !j.Over() {
		j.GivenBackAt = oc.Now()
		if del.State != delegation.Refused && !del.counted {
			del.counted = true
			j.Returned++
			oc.jobs.NoteHeadChange(j)
		}
	}
	oc.jobs.CompleteIfDone(j)
}

// AnswerReport takes a host's report, and says what it may go on with and what else it may take.
func (oc *Origin) AnswerReport(r *delegation.Report) delegation.Answer {
	link, leads := oc.cells.ByCell[r.Host], oc.Leads()
	if r.Epoch > link.epoch || r.Epoch == link.epoch && r.Counter > link.counter {
		link.epoch, link.counter = r.Epoch, r.Counter
		link.Load, link.LoadAt = r.Load, oc.Now()
	}
	a := delegation.Answer{Result: delegation.Taken}
	reported := map[int64]bool{}
	for _, s := range r.Tasks {
		reported[s.Number] = true
		if ruling, ok := oc.verdictOn(r, s, leads); ok {
			a.Rulings = append(a.Rulings, ruling)
		}
	}
	if leads {
		a.Offers = oc.Offers(r.Host, reported)
		oc.steps.Wake()
	}
	return a
}

// verdictOn takes a host's word on one delegation and gives the verdict on it.
func (oc *Origin) verdictOn(r *delegation.Report, s delegation.Status, leads bool) (delegation.Ruling, bool) {
	ruling := delegation.Ruling{Number: s.Number}
	del := oc.Delegations[s.Number]
	if del == nil || del.Host != r.Host || del.Job != s.Job {
		// Only a leader that knows all delegations can say that there is none.
		ruling.Verdict = delegation.Forget
		return ruling, leads && !oc.HasMalformed
	}
	j := oc.jobs.ByID[del.Job]
	if leads && (j == nil || !j.ReadPending()) {
		oc.takeBack(del, del.Hear(s, oc.Now()))
	}
	switch {
	case oc.jobs.Malformed[del.Job]:
		return ruling, false
	case j == nil || j.Over():
		ruling.Verdict = delegation.Cancel
		return ruling, true
	case del.Over():
		return ruling, false // until the records say so, too
	}
	// As with workers' leases: what users were told after known isn't known here.
	known := min(oc.KnownUntil(), oc.SoleUntil())
	workers := oc.Settings.Deployment.Workers
	ruling.For = known + cells.LongestPermission(workers, r.Clear) - oc.Now()
	if ruling.For <= 0 {
		return ruling, false
	}
	ruling.Verdict = del.Verdict(oc.cells.drained(del.Host))
	del.Permit(known, cells.ProofTime(workers))
	return ruling, true
}

// Offers are the delegations that a host hasn't reported yet.
func (oc *Origin) Offers(host string, reported map[int64]bool) []delegation.Offer {
	var offers []delegation.Offer
	size := 0
	for number, del := range ordered.ByKey(oc.Delegations) {
		j := oc.jobs.ByID[del.Job]
		if del.Host != host || del.State != delegation.Offered || !del.Offerable || reported[number] || j == nil || j.Over() {
			continue
		}
		if size += offerBytes + len(del.Tasks.String()); size > maxOfferBytes {
			break
		}
		offers = append(offers, delegation.Offer{Number: number, Spec: j.Spec, Tasks: del.Tasks,
			Age: max(0, oc.Mailbox.OfDay()-clock.Micros(j.SubmittedAt))})
	}
	return offers
}
