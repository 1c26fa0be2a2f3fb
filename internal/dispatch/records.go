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
	arrivals []clock.Micros // of the last rateTime
	pace     float64        // run times against the owners' estimates, on average
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
	d.replaceContent(j, content, version)
	d.retire(j)
}

// replaceContent makes a record's content what is known of its job.
func (d *Dispatch) replaceContent(j *job, content *ledger.Job, version int64) {
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
		if d.wasReleased(p.Machine) {
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
}

// noteClass keeps what is needed to expect more jobs of a class.
func (d *Dispatch) noteClass(s *protocol.JobSpec) {
	u := d.classSeen[s.Class]
	u.spec, u.at = *s, d.now()
	u.arrivals = append(slices.DeleteFunc(u.arrivals, func(at clock.Micros) bool { return at < u.at-rateTime }), u.at)
	d.classSeen[s.Class] = u
}
