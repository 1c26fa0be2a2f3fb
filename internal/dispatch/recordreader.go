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

// recordReader loads the job records at the beginning of a term and follows their changes.
type recordReader struct {
	*leaderTerm
	store      statestore.Store
	jobs       *jobTable
	machines   *machineTable
	writer     *recordWriter
	reconciler *reconciler
	commands   *commandSender
	heartbeats *heartbeatHandler
	objectives *objectives
	// delegations and zones are read after the job records.
	delegations delegationRecords
	zones       zoneRecords
	steps       *stepTimer

	loading bool
}

// newRecordReader makes a reader that the writer calls for records which have to be read again.
func newRecordReader(term *leaderTerm, store statestore.Store, jobs *jobTable, machines *machineTable,
	writer *recordWriter, reconciler *reconciler, commands *commandSender, heartbeats *heartbeatHandler,
	objectives *objectives, steps *stepTimer) *recordReader {
	rr := &recordReader{
		leaderTerm: term,
		store:      store,
		jobs:       jobs,
		machines:   machines,
		writer:     writer,
		reconciler: reconciler,
		commands:   commands,
		heartbeats: heartbeats,
		objectives: objectives,
		steps:      steps,
	}
	writer.reader = rr
	return rr
}

// delegationRecords reads the delegations to other cells, and squares them with the job records.
type delegationRecords interface {
	loadDelegations(epoch int64, done func())
	matchDelegations()
	matchDelegation(j *job)
}

// zoneRecords reads the state of zone recoveries.
type zoneRecords interface {
	loadZones(epoch int64, done func())
}

// reading is a divided record that is being read.
type reading struct {
	content *ledger.Job
	version int64
	parts   []protocol.Item
}

// load reads all records. The first page's revision is where following starts, so that
// nothing falls between.
func (rr *recordReader) load(epoch int64, from string, revision int64, began clock.Micros) {
	rr.loading = true
	statestore.Walk(rr.store, ledger.Prefix, from, func(page protocol.ItemList) bool {
		if rr.term.Epoch != epoch {
			return false
		}
		if revision == 0 {
			revision = page.Revision
		}
		for _, item := range page.Items {
			rr.adopt(item.Key, item.Value, item.Version)
		}
		return true
	}, func(status int, from string) {
		switch {
		case rr.term.Epoch != epoch:
		case status != http.StatusOK:
			rr.inTerm(retryDelay, func() { rr.load(epoch, from, revision, began) })
		default:
			// After the heads: only the leader writes parts, so that none is missed.
			rr.loadAll(epoch, ledger.PartsPrefix, "", rr.adoptPart, func() {
				rr.delegations.loadDelegations(epoch, func() {
					rr.zones.loadZones(epoch, func() { rr.recordsRead(epoch, revision, began) })
				})
			})
		}
	})
}

// loadAll reads all keys with a prefix, for as long as it takes.
func (rr *recordReader) loadAll(epoch int64, prefix, from string, adopt func(protocol.Item), done func()) {
	statestore.Walk(rr.store, prefix, from, func(page protocol.ItemList) bool {
		if rr.term.Epoch != epoch {
			return false
		}
		for _, item := range page.Items {
			adopt(item)
		}
		return true
	}, func(status int, from string) {
		switch {
		case rr.term.Epoch != epoch:
		case status != http.StatusOK:
			rr.inTerm(retryDelay, func() { rr.loadAll(epoch, prefix, from, adopt, done) })
		default:
			done()
		}
	})
}

// adoptPart takes a part as read, if its job waits for it. One that belongs to no divided
// record is left over from a leader that ended while it divided one.
func (rr *recordReader) adoptPart(item protocol.Item) {
	id, part, ok := ledger.ParsePartKey(item.Key)
	j := rr.jobs.byID[id]
	switch {
	case !ok || rr.jobs.malformed[id]:
	case j == nil || j.PartSize == 0 || part >= len(j.parts):
		rr.jobs.strayShards[item.Key] = item.Version
	case j.partsUnread:
		if err := j.ApplyPart(part, item.Value); err != nil {
			rr.jobs.quarantineRecord(id, err)
			return
		}
		j.parts[part].replaced(item.Version)
	}
}

// recordsRead begins to act on the records and to follow their changes.
func (rr *recordReader) recordsRead(epoch, revision int64, began clock.Micros) {
	for _, j := range inOrder(rr.jobs.byID) {
		if j.partsUnread {
			rr.partsRead(j)
		}
	}
	first := !rr.loaded
	rr.loaded, rr.loading = true, false
	rr.delegations.matchDelegations()
	rr.freshAt = began
	if first {
		rr.heartbeats.answerDeferred()
		slog.Info("records read", "epoch", epoch, "open_jobs", len(rr.jobs.byID), "took_ms", (rr.now()-began)/clock.Millisecond)
	}
	rr.steps.wake()
	rr.follow(epoch, revision)
}

// follow keeps up with what other nodes accept and cancel. It comes back at
// least every followTime, which shows how fresh the records are.
func (rr *recordReader) follow(epoch, from int64) {
	sentAt := rr.now()
	rr.store.Follow(ledger.Prefix, from, followTime, func(r statestore.Reply[protocol.FollowAnswer]) {
		if rr.term.Epoch != epoch {
			return
		}
		switch r.Status {
		case http.StatusOK:
			rr.freshAt = sentAt
			for _, e := range r.Value.Events {
				if e.Put != "" {
					rr.adopt(e.Put, e.Value, e.Version)
				}
			}
			if len(r.Value.Events) > 0 {
				rr.steps.wake()
			}
			maps.DeleteFunc(rr.jobs.finalVersions, func(_ string, version int64) bool { return version <= r.Value.Revision })
			rr.follow(epoch, max(from, r.Value.Revision))
		case http.StatusGone:
			// Too far behind: everything is read again.
			rr.load(epoch, "", 0, rr.now())
		default:
			rr.inTerm(retryDelay, func() { rr.follow(epoch, from) })
		}
	})
}

// adopt takes a record as read or followed, unless it is known already.
func (rr *recordReader) adopt(key string, raw []byte, version int64) {
	id := key[len(ledger.Prefix):]
	j := rr.jobs.byID[id]
	// A read that was answered late can be older than what is known: taking it
	// would bring back places that are empty. The same version is news only if
	// what is in memory has to be dropped.
	if version <= rr.jobs.finalVersions[id] || j != nil && (version < j.version || version == j.version && !j.reread) {
		return
	}
	content, err := ledger.Decode(raw)
	if j != nil && (j.inFlight || j.reading) {
		// What this is becomes clear when our own change is answered, or the record's
		// parts are; that it is cancelled is final.
		j.followedEvent = &protocol.Event{Put: key, Value: raw, Version: version}
		if err == nil && content.Status == protocol.StatusCancelled && content.Guest == nil {
			rr.jobs.noteCancelled(j, rr.confirmedAt(content))
		}
		return
	}
	switch {
	case err != nil:
		// Never guess at what may be running: leave it alone and say so.
		slog.Error("malformed record", "job", id, "error", err)
		rr.jobs.malformed[id] = true
	case j == nil:
		rr.adoptNew(id, content, version)
	case content.PartSize > 0:
		rr.adoptDivided(j, content, version)
	default:
		rr.adoptWhole(j, content, version)
	}
}

// adoptNew takes the record of a job that isn't known.
func (rr *recordReader) adoptNew(id string, content *ledger.Job, version int64) {
	// Of a divided record only the parts tell whether anything may still run.
	unread := content.PartSize > 0 && rr.loading
	if content.Final() && len(content.Placed) == 0 && !unread && content.Guest == nil {
		return
	}
	if content.Guest == nil {
		rr.objectives.noteClass(&content.Spec)
	}
	if rr.format.Open && content.Spec.Service() {
		content.Marked = true // it was left by a version that took it for an array
	}
	j := newJob()
	j.partsUnread = unread
	if content.Guest != nil {
		rr.jobs.awaitPermission(j)
	}
	rr.jobs.byID[id] = j
	rr.replaceContent(j, content, version)
	rr.jobs.retire(j)
}

// adoptWhole takes a newer undivided record of a known job.
func (rr *recordReader) adoptWhole(j *job, content *ledger.Job, version int64) {
	if content.Truncated {
		// What is known of the tasks is all there is.
		content.Placed, content.NextAttempt = maps.Clone(j.Placed), j.NextAttempt
	}
	rr.jobs.unplaceAll(j)
	rr.jobs.dropParts(j)
	rr.replaceContent(j, content, version)
	rr.jobs.retire(j)
}

// adoptDivided takes a newer head. Users' nodes only cancel: anything else is a change of
// this leader's own that had no answer, and the parts have to be read as well.
func (rr *recordReader) adoptDivided(j *job, content *ledger.Job, version int64) {
	if content.Status == protocol.StatusCancelled && !j.reread && !j.dividing && content.PartSize == j.PartSize {
		rr.cancelDivided(j, content, version)
		return
	}
	j.reread = true
	if content.Status == protocol.StatusCancelled {
		rr.jobs.noteCancelled(j, rr.confirmedAt(content))
	}
}

// replaceContent makes a record's content what is known of its job.
func (rr *recordReader) replaceContent(j *job, content *ledger.Job, version int64) {
	j.Job, j.reread, j.fence = content, false, false
	j.storedValue.replaced(version)
	j.runningStale = true
	j.closedAt, j.storedDone = 0, content.Done.Clone()
	clear(j.proposed)
	if content.PartSize > 0 && len(j.parts) != j.Parts() {
		j.makeParts()
	}
	if content.Status == protocol.StatusCancelled && content.Guest == nil {
		rr.jobs.noteCancelled(j, rr.confirmedAt(content))
	}
	if !j.partsUnread {
		rr.placeContent(j)
	}
}

// placeContent notes at its machines what a record says of its tasks.
func (rr *recordReader) placeContent(j *job) {
	on := map[string]*machine{}
	for _, p := range inOrder(j.Placed) {
		if rr.machines.wasReleased(p.Machine) {
			// Released meanwhile, with all on it: the record is behind.
			rr.jobs.unplace(j, p)
			continue
		}
		if m := rr.machines.index(j.Spec.ID, p); m != nil {
			on[p.Machine] = m
		}
	}
	rr.delegations.matchDelegation(j)
	// What the machines last said still counts for what the record just said.
	for _, m := range inOrder(on) {
		if m.seen {
			rr.reconciler.reconcile(m)
			if j.Final() {
				rr.commands.push(m)
			}
		}
	}
}

// readAgain replaces what is in memory by the record. Nothing was done about
// what is lost by this: only durable placements are acted on.
func (rr *recordReader) readAgain(j *job) {
	if j.reading {
		return
	}
	j.reading = true
	epoch := rr.term.Epoch
	key := ledger.Key(j.Spec.ID)
	rr.store.Get(key, func(r statestore.Reply[protocol.Item]) {
		if rr.term.Epoch != epoch {
			return
		}
		content, err := ledger.Decode(r.Value.Value)
		if r.Status == http.StatusOK && err == nil && content.PartSize > 0 {
			rr.listParts(j, reading{content: content, version: r.Value.Version}, func(r reading) { rr.replaceDivided(j, r) })
			return
		}
		rr.readingEnded(j)
		if rr.jobs.byID[j.Spec.ID] != j {
			return // over meanwhile
		}
		switch {
		case r.Status == http.StatusOK:
			rr.adopt(key, r.Value.Value, r.Value.Version)
		case r.Status == http.StatusNotFound && j.Guest != nil:
			rr.jobs.forget(j) // only this leader removes it
		default:
			rr.writer.pause()
		}
		rr.steps.wake()
	})
}

// listParts reads the parts of one record.
func (rr *recordReader) listParts(j *job, r reading, done func(reading)) {
	epoch := rr.term.Epoch
	statestore.Walk(rr.store, ledger.PartsOf(j.Spec.ID), "", func(page protocol.ItemList) bool {
		r.parts = append(r.parts, page.Items...)
		return rr.term.Epoch == epoch
	}, func(status int, _ string) {
		switch {
		case rr.term.Epoch != epoch:
			return
		case status != http.StatusOK:
			j.reading = false // and all of it again, after a pause
			rr.writer.pause()
		default:
			if rr.jobs.byID[j.Spec.ID] == j {
				done(r)
			}
			rr.readingEnded(j)
		}
		rr.steps.wake()
	})
}

// replaceDivided makes a divided record, as read, what is known of its job.
func (rr *recordReader) replaceDivided(j *job, r reading) {
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
			rr.jobs.unplaceAll(j)
			rr.jobs.quarantineRecord(id, err)
			return
		}
		versions[part] = item.Version
	}
	rr.jobs.unplaceAll(j)
	j.dividing, j.parts = false, nil
	// The versions come before what the machines said meanwhile: that is news to the parts.
	j.partsUnread = true
	rr.replaceContent(j, r.content, r.version)
	for part, version := range versions {
		j.parts[part].replaced(version)
	}
	rr.partsRead(j)
}

// readingEnded takes what was followed while a record was read.
func (rr *recordReader) readingEnded(j *job) {
	j.reading = false
	if e := j.followedEvent; e != nil && !j.inFlight && rr.jobs.byID[j.Spec.ID] == j {
		j.followedEvent = nil
		rr.adopt(e.Put, e.Value, e.Version)
	}
}

// findParts looks for parts of a job that is over whose changes had no answer. Its head has
// changed since, so that none of those changes can be carried out any more.
func (rr *recordReader) findParts(j *job) {
	uncertain := func(v *storedValue) bool { return v.uncertain }
	if j.reading || !j.isStored() || !slices.ContainsFunc(j.parts, uncertain) {
		return
	}
	j.reading = true
	rr.listParts(j, reading{}, func(r reading) {
		for _, v := range j.parts {
			v.version, v.uncertain = 0, false
		}
		for _, item := range r.parts {
			if _, part, ok := ledger.ParsePartKey(item.Key); ok && part < len(j.parts) {
				j.parts[part].version = item.Version
			}
		}
	})
}

// findStrayParts looks for what is stored of parts that were dropped, to have it removed. A
// part whose change had no answer may be there unknown, and would stand in the way of
// dividing the record again.
func (rr *recordReader) findStrayParts(j *job) {
	if j.reading {
		return
	}
	j.reading = true
	rr.listParts(j, reading{}, func(r reading) {
		for _, item := range r.parts {
			rr.jobs.strayShards[item.Key] = item.Version
		}
		j.strayParts = false
		rr.jobs.retire(j)
	})
}

// cancelDivided takes a cancellation of a divided record: the head is all that a user's
// node changes, and what is known of the tasks stays.
func (rr *recordReader) cancelDivided(j *job, content *ledger.Job, version int64) {
	j.Status, j.CancelledAt = content.Status, content.CancelledAt
	j.storedValue.replaced(version)
	rr.jobs.noteCancelled(j, rr.confirmedAt(j.Job))
	for _, p := range inOrder(j.Placed) {
		if m := rr.machines.byName[p.Machine]; m != nil {
			rr.commands.push(m)
		}
	}
	rr.jobs.retire(j)
}

// partsRead ends a job's time without its parts.
func (rr *recordReader) partsRead(j *job) {
	j.partsUnread = false
	if j.Spec.Gang() && j.Done.Len() > 0 {
		j.noteDone(0)
	}
	rr.placeContent(j)
	rr.jobs.finish(j)
	rr.jobs.retire(j)
}
