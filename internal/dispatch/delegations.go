package dispatch

import (
	"log/slog"
	"net/http"
	"slices"

	"postpoint/internal/cells"
	"postpoint/internal/clock"
	"postpoint/internal/delegation"
	"postpoint/internal/leadership"
	"postpoint/internal/ledger"
	"postpoint/internal/protocol"
	"postpoint/internal/statestore"
)

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

// takeNumbers reserves numbers for this term.
func (d *Dispatch) takeNumbers() {
	if d.numbers.asking || d.numbers.next < d.numbers.end {
		return
	}
	d.numbers.asking = true
	epoch := d.term.Epoch
	d.store.Get(delegation.NumbersKey, func(r statestore.Reply[protocol.Item]) {
		if d.term.Epoch != epoch {
			return
		}
		first := int64(1)
		if r.Status == http.StatusOK && protocol.Decode(r.Value.Value, &first) != nil || r.Status != http.StatusOK && r.Status != http.StatusNotFound {
			d.numbers.asking = false
			return
		}
		t := protocol.Txn{
			Guards:  []protocol.Guard{{Key: leadership.Key, Version: epoch}, {Key: delegation.NumbersKey, Version: r.Value.Version}},
			Changes: []protocol.Change{{Put: delegation.NumbersKey, Value: protocol.Encode(first + numbersAtOnce)}},
		}
		d.store.Commit(statestore.ForLeader, t, func(r statestore.Reply[protocol.TxnAnswer]) {
			if d.term.Epoch != epoch {
				return
			}
			d.numbers.asking = false
			if r.Status == http.StatusOK {
				d.numbers.next, d.numbers.end = first, first+numbersAtOnce
			}
		})
	})
}

// loadDelegations reads the records of what other cells run.
func (d *Dispatch) loadDelegations(epoch int64, done func()) {
	if !d.format.Cells {
		done()
		return
	}
	d.loadAll(epoch, delegation.Prefix, "", func(item protocol.Item) {
		r, err := delegation.DecodeRecord(item.Key, item.Value)
		if err != nil {
			// Never guess at what may be running elsewhere: nothing is freed on its account.
			slog.Error("malformed delegation", "key", item.Key, "error", err)
			d.delegationUnreadable = true
			return
		}
		if known := d.delegations[r.Number]; known != nil {
			known.version = item.Version // read again within a term
			return
		}
		resumed := delegation.Resumed(r, d.begunAt, cells.ProofTime(d.set.Deployment.Workers))
		d.delegations[r.Number] = &delegated{Delegation: resumed, version: item.Version, stored: r.State}
	}, done)
}

// matchDelegations frees what the records place with other cells without a delegation: it was
// never offered, or is over.
func (d *Dispatch) matchDelegations() {
	for _, j := range inOrder(d.jobs) {
		d.matchDelegation(j)
	}
}

func (d *Dispatch) matchDelegation(j *job) {
	if d.loading || j.partsUnread || d.delegationUnreadable {
		return
	}
	for _, p := range inOrder(j.Placed) {
		if del := d.delegations[p.Session]; p.Host() != "" && (del == nil || !del.has(j, p)) {
			d.unplace(j, p)
		}
	}
}

// has tells that a placement belongs to the delegation.
func (del *delegated) has(j *job, p ledger.Placement) bool {
	return p.Host() == del.Host && p.Session == del.Number && del.Job == j.Spec.ID && del.Left.Has(p.Task)
}

// delegate gives tasks of a job to another cell: their places first, then the delegation's
// record, and only then the offer.
func (d *Dispatch) delegate(j *job, host string, tasks []int) {
	number := d.numbers.next
	d.numbers.next++
	r := delegation.Record{Number: number, Host: host, Job: j.Spec.ID, State: delegation.Offered, OfferedAt: int64(d.mailbox.OfDay())}
	slices.Sort(tasks)
	attempt := j.currentAttempt()
	for _, task := range tasks {
		r.Tasks.Add(task)
		d.place(j, ledger.Placement{Task: task, Attempt: attempt, Machine: ledger.DelegatedTo(host), Session: number})
	}
	del := &delegated{Delegation: delegation.New(r)}
	del.HeardAt = d.now()
	d.delegations[number] = del
	slog.Info("delegating", "number", number, "job", j.Spec.ID, "tasks", r.Tasks.String(), "to", host)
}

// placesStored tells that all places of a delegation are in its job's record.
func (d *Dispatch) placesStored(del *delegated) bool {
	j := d.jobs[del.Job]
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
func (d *Dispatch) placesGone(del *delegated) bool {
	j := d.jobs[del.Job]
	if j == nil {
		return !d.unreadable[del.Job]
	}
	for task := del.Tasks.NextIn(0); task <= del.Tasks.Max(); task = del.Tasks.NextIn(task + 1) {
		if p, placed := j.Placed[task]; placed && p.Session == del.Number && p.Host() != "" || !j.recorded(task) {
			return false
		}
	}
	return true
}

// manageCells is the leader's part in cells, twice a second.
func (d *Dispatch) manageCells() {
	if len(d.delegations) == 0 && !d.cellsOn() {
		return
	}
	if d.directory != nil {
		d.spill()
		d.recall()
	}
	for _, del := range inOrder(d.delegations) {
		d.checkDelegation(del)
	}
	d.saveDelegations()
}

// checkDelegation ends a delegation whose host can't run any of it any more, and wants back
// what is of no use there.
func (d *Dispatch) checkDelegation(del *delegated) {
	now := d.now()
	j := d.jobs[del.Job]
	if j == nil || j.over() || d.lostItsPlaces(j, del) {
		del.Recall()
	}
	silent := now > max(del.HeardAt, d.begunAt)+lostTime
	if del.Over() || !del.Clear(now) || !silent && del.State != delegation.Recalled || j != nil && (j.reread || j.reading) {
		return
	}
	freed := del.Expire()
	slog.Info("delegation has ended unheard", "number", del.Number, "job", del.Job, "host", del.Host, "tasks", len(freed.Unfinished),
		"silent_s", (now - del.HeardAt).Seconds())
	d.takeBack(del, freed)
}

// lostTime is after which a host that isn't heard of is taken to be lost, once it has no
// permission any more.
const lostTime = 8 * clock.Second

// lostItsPlaces tells that a delegation's places didn't get into its job's record.
func (d *Dispatch) lostItsPlaces(j *job, del *delegated) bool {
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
func (d *Dispatch) takeBack(del *delegated, freed delegation.Freed) {
	j := d.jobs[del.Job]
	if j == nil {
		return
	}
	for _, task := range freed.Completed {
		if p, placed := j.Placed[task]; placed && p.Session == del.Number && p.Host() == del.Host {
			j.noteDone(task)
			d.unplace(j, p)
		}
	}
	returned := false
	for _, task := range freed.Unfinished {
		if p, placed := j.Placed[task]; placed && p.Session == del.Number && p.Host() == del.Host {
			d.unplace(j, p)
			returned = true
		}
	}
	if returned && !j.over() {
		j.backAt = d.now()
		if del.State != delegation.Refused && !del.counted {
			del.counted = true
			j.Returned++
			d.touchHead(j)
		}
	}
	d.finish(j)
}

// saveDelegations writes what has changed of the delegations' records, and removes those that
// are over once their jobs' records say so.
func (d *Dispatch) saveDelegations() {
	if d.saving || d.now() < d.pauseUntil {
		return
	}
	_, txnOps := d.recordLimits()
	t := protocol.Txn{Guards: []protocol.Guard{{Key: leadership.Key, Version: d.term.Epoch}}}
	var saved []savedDelegation
	for _, del := range inOrder(d.delegations) {
		s, due := d.dueChange(del)
		if !due || len(saved) == txnOps {
			continue
		}
		t.Guards = append(append(t.Guards, protocol.Guard{Key: delegation.Key(del.Number), Version: del.version}), s.guards...)
		t.Changes = append(t.Changes, s.change)
		saved = append(saved, s)
	}
	if len(saved) == 0 {
		return
	}
	d.saving = true
	epoch := d.term.Epoch
	d.store.Commit(statestore.ForLeader, t, func(r statestore.Reply[protocol.TxnAnswer]) {
		if d.term.Epoch != epoch {
			return
		}
		d.saving = false
		d.delegationsSaved(saved, r)
	})
}

// savedDelegation is a change of a delegation's record on its way.
type savedDelegation struct {
	del    *delegated
	state  delegation.State
	change protocol.Change
	// guards are conditions beside the record's own version.
	guards []protocol.Guard
}

// dueChange is what has to be written of a delegation, if anything.
func (d *Dispatch) dueChange(del *delegated) (s savedDelegation, due bool) {
	key := delegation.Key(del.Number)
	s = savedDelegation{del: del, state: del.State}
	switch {
	case del.uncertain:
		d.readDelegation(del)
		return s, false
	case del.version == 0 && (del.Over() || del.State == delegation.Recalled):
		if d.placesGone(del) {
			delete(d.delegations, del.Number) // it was never stored, nor offered
		}
		return s, false
	case del.version == 0:
		if !d.placesStored(del) {
			return s, false
		}
		// Carried out late, once the places have been freed, it would bring the record back.
		s.guards = []protocol.Guard{d.placeGuard(del)}
		s.change = protocol.Change{Put: key, Value: del.Encode()}
		return s, true
	case del.Over() && d.placesGone(del):
		s.change = protocol.Change{Delete: key}
		return s, true
	}
	s.change = protocol.Change{Put: key, Value: del.Encode()}
	return s, del.stored != del.State
}

// delegationsSaved handles the answer to a change of delegations' records.
func (d *Dispatch) delegationsSaved(saved []savedDelegation, r statestore.Reply[protocol.TxnAnswer]) {
	switch {
	case r.Status == http.StatusOK:
		for _, s := range saved {
			if s.change.Delete != "" {
				delete(d.delegations, s.del.Number)
				continue
			}
			s.del.version, s.del.stored, s.del.Offerable = r.Value.Revision, s.state, true
		}
	case r.Status == http.StatusConflict && slices.Contains(r.Value.Failed, leadership.Key):
		d.deposed(d.term.Epoch + 1)
	case r.Status == http.StatusTooManyRequests || r.Status == http.StatusServiceUnavailable:
		d.pauseUntil = d.now() + retryDelay
	case r.Status == http.StatusConflict:
		for _, s := range saved {
			s.del.uncertain = s.del.uncertain || slices.Contains(r.Value.Failed, delegation.Key(s.del.Number))
		}
	default:
		d.pauseUntil = d.now() + retryDelay
		for _, s := range saved {
			s.del.uncertain = true
		}
	}
}

// placeGuard is the version of a stored value that says that the host has the delegation's tasks.
func (d *Dispatch) placeGuard(del *delegated) protocol.Guard {
	j := d.jobs[del.Job]
	task := del.Left.NextIn(0)
	if j.PartSize == 0 || j.dividing {
		return protocol.Guard{Key: ledger.Key(j.Spec.ID), Version: j.version}
	}
	return protocol.Guard{Key: ledger.PartKey(j.Spec.ID, j.PartOf(task)), Version: j.partOf(task).version}
}

// readDelegation finds out what became of a change that had no answer. One that is carried out
// even later conflicts with whatever is written at the version that was read.
func (d *Dispatch) readDelegation(del *delegated) {
	d.saving = true
	epoch := d.term.Epoch
	d.store.Get(delegation.Key(del.Number), func(r statestore.Reply[protocol.Item]) {
		if d.term.Epoch != epoch {
			return
		}
		d.saving = false
		switch r.Status {
		case http.StatusNotFound:
			del.uncertain = false
			if del.version != 0 {
				delete(d.delegations, del.Number) // the removal was carried out
			}
		case http.StatusOK:
			if stored, err := delegation.DecodeRecord(delegation.Key(del.Number), r.Value.Value); err == nil {
				del.uncertain, del.version, del.stored, del.Offerable = false, r.Value.Version, stored.State, true
			}
		}
	})
}

// Exchange answers a report of another cell. ok tells that it is one that this cell knows.
func (d *Dispatch) Exchange(r delegation.Report, reply func(a delegation.Answer, ok bool)) {
	arrived := d.now()
	d.mailbox.Post(func() {
		// Behind a stand of the process nobody waits for the answer any more.
		if !d.cellsOn() || r.Home != d.directory.Own.Name || d.directory.Cell(r.Host) == nil || r.Host == r.Home ||
			d.now() > arrived+exchangeTimeout {
			reply(delegation.Answer{}, false)
			return
		}
		if !d.leads() && !d.keeps() {
			reply(delegation.Answer{Result: delegation.NotLeader, Leader: d.directory.Own.Address(d.leader)}, true)
			return
		}
		reply(d.answerReport(&r), true)
	})
}

// exchangeTimeout is how long cells wait for each other.
const exchangeTimeout = clock.Second

// answerReport takes a host's report, and says what it may go on with and what else it may take.
func (d *Dispatch) answerReport(r *delegation.Report) delegation.Answer {
	link, leads := d.links[r.Host], d.leads()
	if r.Epoch > link.epoch || r.Epoch == link.epoch && r.Counter > link.counter {
		link.epoch, link.counter = r.Epoch, r.Counter
		link.load, link.loadAt = r.Load, d.now()
	}
	a := delegation.Answer{Result: delegation.Taken}
	reported := map[int64]bool{}
	for _, s := range r.Tasks {
		reported[s.Number] = true
		if ruling, ok := d.rule(r, s, leads); ok {
			a.Rulings = append(a.Rulings, ruling)
		}
	}
	if leads {
		a.Offers = d.offers(r.Host, reported)
		d.wake()
	}
	return a
}

// rule takes a host's word on one delegation and gives the verdict on it.
func (d *Dispatch) rule(r *delegation.Report, s delegation.Status, leads bool) (delegation.Ruling, bool) {
	ruling := delegation.Ruling{Number: s.Number}
	del := d.delegations[s.Number]
	if del == nil || del.Host != r.Host || del.Job != s.Job {
		// Only a leader that knows all delegations can say that there is none.
		ruling.Verdict = delegation.Forget
		return ruling, leads && !d.delegationUnreadable
	}
	j := d.jobs[del.Job]
	if leads && (j == nil || !j.reread && !j.reading) {
		d.takeBack(del, del.Hear(s, d.now()))
	}
	switch {
	case d.unreadable[del.Job]:
		return ruling, false
	case j == nil || j.over():
		ruling.Verdict = delegation.Cancel
		return ruling, true
	case del.Over():
		return ruling, false // until the records say so, too
	}
	// As with workers' leases: what users were told after known isn't known here.
	known := min(d.knownUntil(), d.soleUntil())
	workers := d.set.Deployment.Workers
	ruling.For = known + cells.LongestPermission(workers, r.Clear) - d.now()
	if ruling.For <= 0 {
		return ruling, false
	}
	ruling.Verdict = del.Verdict(d.drained(del.Host))
	del.Permit(known, cells.ProofTime(workers))
	return ruling, true
}

// offers are the delegations that a host hasn't reported yet.
func (d *Dispatch) offers(host string, reported map[int64]bool) []delegation.Offer {
	var offers []delegation.Offer
	size := 0
	for number, del := range inOrder(d.delegations) {
		j := d.jobs[del.Job]
		if del.Host != host || del.State != delegation.Offered || !del.Offerable || reported[number] || j == nil || j.over() {
			continue
		}
		if size += offerBytes + len(del.Tasks.String()); size > maxOfferBytes {
			break
		}
		offers = append(offers, delegation.Offer{Number: number, Spec: j.Spec, Tasks: del.Tasks,
			Age: max(0, d.mailbox.OfDay()-clock.Micros(j.SubmittedAt))})
	}
	return offers
}

const (
	// offerBytes is what an offer mostly takes without its tasks.
	offerBytes = 600
	// maxOfferBytes leaves room for the rest of an answer.
	maxOfferBytes = 24 << 10
)

// drained tells that a cell is to give back even what runs.
func (d *Dispatch) drained(host string) bool {
	c := d.directory.Cell(host)
	return c == nil || c.Draining || d.directory.Own.Draining
}
