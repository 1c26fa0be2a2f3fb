package dispatch

import (
	"log/slog"
	"maps"
	"net/http"
	"slices"

	"postpoint/internal/clock"
	"postpoint/internal/ledger"
	"postpoint/internal/protocol"
	"postpoint/internal/statestore"
)

// classUse is what a class of jobs was last seen to need.
type classUse struct {
	spec     protocol.JobSpec
	at       clock.Micros
	arrivals []arrival // of the last rateTime
	pace     float64   // run times against the owners' estimates, on average
}

// arrival is a job that came.
type arrival struct {
	at    clock.Micros
	tasks int
}

// load reads all records. The first page's revision is where following starts, so that
// nothing falls between.
func (d *Dispatch) load(epoch int64, from string, revision int64, began clock.Micros) {
	d.loading = true
	statestore.Walk(d.store, ledger.Prefix, from, func(page protocol.ItemList) bool {
		if d.term.Epoch != epoch {
			return false
		}
		if revision == 0 {
			revision = page.Revision
		}
		for _, item := range page.Items {
			d.adopt(item.Key, item.Value, item.Version)
		}
		return true
	}, func(status int, from string) {
		switch {
		case d.term.Epoch != epoch:
		case status != http.StatusOK:
			d.inTerm(retryDelay, func() { d.load(epoch, from, revision, began) })
		default:
			// After the heads: only the leader writes parts, so that none is missed.
			d.loadAll(epoch, ledger.PartsPrefix, "", d.adoptPart, func() {
				d.loadDelegations(epoch, func() {
					d.loadZones(epoch, func() { d.recordsRead(epoch, revision, began) })
				})
			})
		}
	})
}

// loadAll reads all keys with a prefix, for as long as it takes.
func (d *Dispatch) loadAll(epoch int64, prefix, from string, adopt func(protocol.Item), done func()) {
	statestore.Walk(d.store, prefix, from, func(page protocol.ItemList) bool {
		if d.term.Epoch != epoch {
			return false
		}
		for _, item := range page.Items {
			adopt(item)
		}
		return true
	}, func(status int, from string) {
		switch {
		case d.term.Epoch != epoch:
		case status != http.StatusOK:
			d.inTerm(retryDelay, func() { d.loadAll(epoch, prefix, from, adopt, done) })
		default:
			done()
		}
	})
}

// adoptPart takes a part as read, if its job waits for it. One that belongs to no divided
// record is left over from a leader that ended while it divided one.
func (d *Dispatch) adoptPart(item protocol.Item) {
	id, part, ok := ledger.ParsePartKey(item.Key)
	j := d.jobs[id]
	switch {
	case !ok || d.unreadable[id]:
	case j == nil || j.PartSize == 0 || part >= len(j.parts):
		d.orphans[item.Key] = item.Version
	case j.partsUnread:
		if err := j.ApplyPart(part, item.Value); err != nil {
			d.leaveAlone(id, err)
			return
		}
		j.parts[part].replaced(item.Version)
	}
}

// leaveAlone forgets a job whose record makes no sense: never guess at what may be running.
func (d *Dispatch) leaveAlone(id string, err error) {
	slog.Error("malformed record", "job", id, "error", err)
	d.unreadable[id] = true
	delete(d.jobs, id)
}

// recordsRead begins to act on the records and to follow their changes.
func (d *Dispatch) recordsRead(epoch, revision int64, began clock.Micros) {
	for _, j := range inOrder(d.jobs) {
		if j.partsUnread {
			d.partsRead(j)
		}
	}
	first := !d.loaded
	d.loaded, d.loading = true, false
	d.matchDelegations()
	d.freshAt = began
	if first {
		d.answerDeferred()
		slog.Info("records read", "epoch", epoch, "open_jobs", len(d.jobs), "took_ms", (d.now()-began)/clock.Millisecond)
	}
	d.wake()
	d.follow(epoch, revision)
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
	if j != nil && (j.inFlight || j.reading) {
		// What this is becomes clear when our own change is answered, or the record's
		// parts are; that it is cancelled is final.
		j.followedEvent = &protocol.Event{Put: key, Value: raw, Version: version}
		if err == nil && content.Status == protocol.StatusCancelled && content.Guest == nil {
			d.noteCancelled(j, d.confirmedAt(content))
		}
		return
	}
	switch {
	case err != nil:
		// Never guess at what may be running: leave it alone and say so.
		slog.Error("malformed record", "job", id, "error", err)
		d.unreadable[id] = true
	case j == nil:
		d.adoptNew(id, content, version)
	case content.PartSize > 0:
		d.adoptDivided(j, content, version)
	default:
		d.adoptWhole(j, content, version)
	}
}

// adoptNew takes the record of a job that isn't known.
func (d *Dispatch) adoptNew(id string, content *ledger.Job, version int64) {
	// Of a divided record only the parts tell whether anything may still run.
	unread := content.PartSize > 0 && d.loading
	if content.Final() && len(content.Placed) == 0 && !unread && content.Guest == nil {
		return
	}
	if content.Guest == nil {
		d.noteClass(&content.Spec)
	}
	if d.format.Open && content.Spec.Service() {
		content.Marked = true // it was left by a version that took it for an array
	}
	j := newJob()
	j.partsUnread = unread
	if content.Guest != nil {
		d.welcome(j)
	}
	d.jobs[id] = j
	d.replaceContent(j, content, version)
	d.retire(j)
}

// adoptWhole takes a newer undivided record of a known job.
func (d *Dispatch) adoptWhole(j *job, content *ledger.Job, version int64) {
	if content.Truncated {
		// What is known of the tasks is all there is.
		content.Placed, content.NextAttempt = maps.Clone(j.Placed), j.NextAttempt
	}
	d.unplaceAll(j)
	d.dropParts(j)
	d.replaceContent(j, content, version)
	d.retire(j)
}

// adoptDivided takes a newer head. Users' nodes only cancel: anything else is a change of
// this leader's own that had no answer, and the parts have to be read as well.
func (d *Dispatch) adoptDivided(j *job, content *ledger.Job, version int64) {
	if content.Status == protocol.StatusCancelled && !j.reread && !j.dividing && content.PartSize == j.PartSize {
		d.cancelDivided(j, content, version)
		return
	}
	j.reread = true
	if content.Status == protocol.StatusCancelled {
		d.noteCancelled(j, d.confirmedAt(content))
	}
}

// replaceContent makes a record's content what is known of its job.
func (d *Dispatch) replaceContent(j *job, content *ledger.Job, version int64) {
	j.Job, j.reread, j.fence = content, false, false
	j.storedValue.replaced(version)
	j.runningStale = true
	j.closedAt, j.storedDone = 0, content.Done.Clone()
	clear(j.proposed)
	if content.PartSize > 0 && len(j.parts) != j.Parts() {
		j.makeParts()
	}
	if content.Status == protocol.StatusCancelled && content.Guest == nil {
		d.noteCancelled(j, d.confirmedAt(content))
	}
	if !j.partsUnread {
		d.placeContent(j)
	}
}

// placeContent notes at its machines what a record says of its tasks.
func (d *Dispatch) placeContent(j *job) {
	on := map[string]*machine{}
	for _, p := range inOrder(j.Placed) {
		if d.wasReleased(p.Machine) {
			// Released meanwhile, with all on it: the record is behind.
			d.unplace(j, p)
			continue
		}
		if m := d.index(j, p); m != nil {
			on[p.Machine] = m
		}
	}
	d.matchDelegation(j)
	// What the machines last said still counts for what the record just said.
	for _, m := range inOrder(on) {
		if m.seen {
			d.reconcile(m)
			if j.Final() {
				d.pushOrders(m)
			}
		}
	}
}

// readAgain replaces what is in memory by the record. Nothing was done about
// what is lost by this: only durable placements are acted on.
func (d *Dispatch) readAgain(j *job) {
	if j.reading {
		return
	}
	j.reading = true
	epoch := d.term.Epoch
	key := ledger.Key(j.Spec.ID)
	d.store.Get(key, func(r statestore.Reply[protocol.Item]) {
		if d.term.Epoch != epoch {
			return
		}
		content, err := ledger.Decode(r.Value.Value)
		if r.Status == http.StatusOK && err == nil && content.PartSize > 0 {
			d.listParts(j, reading{content: content, version: r.Value.Version}, func(r reading) { d.replaceDivided(j, r) })
			return
		}
		d.readingEnded(j)
		if d.jobs[j.Spec.ID] != j {
			return // over meanwhile
		}
		switch {
		case r.Status == http.StatusOK:
			d.adopt(key, r.Value.Value, r.Value.Version)
		case r.Status == http.StatusNotFound && j.Guest != nil:
			d.forgetGuest(j) // only this leader removes it
		default:
			d.pauseUntil = d.now() + retryDelay
		}
		d.wake()
	})
}

// reading is a divided record that is being read.
type reading struct {
	content *ledger.Job
	version int64
	parts   []protocol.Item
}

// listParts reads the parts of one record.
func (d *Dispatch) listParts(j *job, r reading, done func(reading)) {
	epoch := d.term.Epoch
	statestore.Walk(d.store, ledger.PartsOf(j.Spec.ID), "", func(page protocol.ItemList) bool {
		r.parts = append(r.parts, page.Items...)
		return d.term.Epoch == epoch
	}, func(status int, _ string) {
		switch {
		case d.term.Epoch != epoch:
			return
		case status != http.StatusOK:
			j.reading = false // and all of it again, after a pause
			d.pauseUntil = d.now() + retryDelay
		default:
			if d.jobs[j.Spec.ID] == j {
				done(r)
			}
			d.readingEnded(j)
		}
		d.wake()
	})
}

// replaceDivided makes a divided record, as read, what is known of its job.
func (d *Dispatch) replaceDivided(j *job, r reading) {
	if r.version < j.version {
		return // an answer from before the last change; it is read again
	}
	id := j.Spec.ID
	versions := map[int]int64{}
	for _, item := range r.parts {
		_, part, ok := ledger.ParsePartKey(item.Key)
		if !ok {
			continue
		}
		if err := r.content.ApplyPart(part, item.Value); err != nil {
			d.unplaceAll(j)
			d.leaveAlone(id, err)
			return
		}
		versions[part] = item.Version
	}
	d.unplaceAll(j)
	j.dividing, j.parts = false, nil
	// The versions come before what the machines said meanwhile: that is news to the parts.
	j.partsUnread = true
	d.replaceContent(j, r.content, r.version)
	for part, version := range versions {
		j.parts[part].replaced(version)
	}
	d.partsRead(j)
}

// readingEnded takes what was followed while a record was read.
func (d *Dispatch) readingEnded(j *job) {
	j.reading = false
	if e := j.followedEvent; e != nil && !j.inFlight && d.jobs[j.Spec.ID] == j {
		j.followedEvent = nil
		d.adopt(e.Put, e.Value, e.Version)
	}
}

// noteClass keeps what is needed to expect more jobs of a class.
func (d *Dispatch) noteClass(s *protocol.JobSpec) {
	u := d.classSeen[s.Class]
	u.spec, u.at = *s, d.now()
	u.arrivals = append(slices.DeleteFunc(u.arrivals, func(a arrival) bool { return a.at < u.at-rateTime }), arrival{u.at, s.Tasks})
	d.classSeen[s.Class] = u
}
