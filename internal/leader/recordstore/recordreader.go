package recordstore

import (
	"log/slog"
	"maps"
	"net/http"
	"slices"

	"postpoint/internal/clock"
	"postpoint/internal/leader/jobtable"
	"postpoint/internal/leader/machinetable"
	"postpoint/internal/leader/objectives"
	"postpoint/internal/leader/reconciler"
	"postpoint/internal/leader/term"
	"postpoint/internal/ledger"
	"postpoint/internal/ordered"
	"postpoint/internal/protocol"
	"postpoint/internal/statestore"
)

// Reader loads the job records at the beginning of a term and follows their changes.
type Reader struct {
	*term.State
	Store      statestore.Store
	jobs       *jobtable.Table
	machines   *machinetable.Table
	writer     *Writer
	reconciler *reconciler.Reconciler
	commands   *reconciler.CommandSender
	heartbeats *reconciler.HeartbeatHandler
	objectives *objectives.Tracker
	// Delegations and zones are read after the job records.
	Delegations DelegationRecords
	Zones       ZoneRecords
	steps       *term.StepTimer

	Loading bool
}

// NewReader makes a reader that the writer calls for records which have to be read again.
func NewReader(term *term.State, store statestore.Store, jobs *jobtable.Table, machines *machinetable.Table,
	writer *Writer, reconciler *reconciler.Reconciler, commands *reconciler.CommandSender, heartbeats *reconciler.HeartbeatHandler,
	objectives *objectives.Tracker, steps *term.StepTimer) *Reader {
	rr := &Reader{
		State:      term,
		Store:      store,
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

// DelegationRecords reads the delegations to other cells, and squares them with the job records.
type DelegationRecords interface {
	LoadDelegations(epoch int64, done func())
	MatchDelegations()
	MatchDelegation(j *jobtable.Job)
}

// ZoneRecords reads the state of zone recoveries.
type ZoneRecords interface {
	LoadZones(epoch int64, done func())
}

// shardedRead is a divided record that is being read.
type shardedRead struct {
	content *ledger.Job
	version int64
	shards  []protocol.Item
}

// Load reads all records. The first page's revision is where following starts, so that
// nothing falls between.
func (rr *Reader) Load(epoch int64, from string, revision int64, began clock.Micros) {
	rr.Loading = true
	same := rr.SameTerm()
	statestore.Walk(rr.Store, ledger.Prefix, from, func(page protocol.ItemList) bool {
		if !same() {
			return false
		}
		if revision == 0 {
			revision = page.Revision
		}
		for _, item := range page.Items {
			rr.Adopt(item.Key, item.Value, item.Version)
		}
		return true
	}, term.Guarded2(rr.State, func(status int, from string) {
		switch {
		case status != http.StatusOK:
			rr.AfterInTerm(term.RetryDelay, func() { rr.Load(epoch, from, revision, began) })
		default:
			// After the heads: only the leader writes parts, so that none is missed.
			rr.LoadAll(epoch, ledger.PartsPrefix, "", rr.AdoptShard, func() {
				rr.Delegations.LoadDelegations(epoch, func() {
					rr.Zones.LoadZones(epoch, func() { rr.recordsRead(epoch, revision, began) })
				})
			})
		}
	}))
}

// LoadAll reads all keys with a prefix, for as long as it takes.
func (rr *Reader) LoadAll(epoch int64, prefix, from string, adopt func(protocol.Item), done func()) {
	same := rr.SameTerm()
	statestore.Walk(rr.Store, prefix, from, func(page protocol.ItemList) bool {
		if !same() {
			return false
		}
		for _, item := range page.Items {
			adopt(item)
		}
		return true
	}, term.Guarded2(rr.State, func(status int, from string) {
		switch {
		case status != http.StatusOK:
			rr.AfterInTerm(term.RetryDelay, func() { rr.LoadAll(epoch, prefix, from, adopt, done) })
		default:
			done()
		}
	}))
}

// AdoptShard takes a part as read, if its job waits for it. One that belongs to no divided
// record is left over from a leader that ended while it divided one.
func (rr *Reader) AdoptShard(item protocol.Item) {
	id, part, ok := ledger.ParsePartKey(item.Key)
	j := rr.jobs.ByID[id]
	switch {
	case !ok || rr.jobs.Malformed[id]:
	case j == nil || j.PartSize == 0 || part >= len(j.Shards):
		rr.jobs.StrayShards[item.Key] = item.Version
	case j.ShardsUnread:
		if err := j.ApplyPart(part, item.Value); err != nil {
			rr.jobs.QuarantineRecord(id, err)
			return
		}
		j.Shards[part].Replace(item.Version)
	}
}

// recordsRead begins to act on the records and to follow their changes.
func (rr *Reader) recordsRead(epoch, revision int64, began clock.Micros) {
	for _, j := range ordered.ByKey(rr.jobs.ByID) {
		if j.ShardsUnread {
			rr.shardsRead(j)
		}
	}
	first := !rr.Loaded
	rr.Loaded, rr.Loading = true, false
	rr.Delegations.MatchDelegations()
	rr.FreshAt = began
	if first {
		rr.heartbeats.AnswerDeferred()
		slog.Info("records read", "epoch", epoch, "open_jobs", len(rr.jobs.ByID), "took_ms", (rr.Now()-began)/clock.Millisecond)
	}
	rr.steps.Wake()
	rr.follow(epoch, revision)
}

// follow keeps up with what other nodes accept and cancel. It comes back at
// least every FollowInterval, which shows how fresh the records are.
func (rr *Reader) follow(epoch, from int64) {
	sentAt := rr.Now()
	rr.Store.Follow(ledger.Prefix, from, term.FollowInterval, term.Guarded(rr.State, func(r statestore.Reply[protocol.FollowAnswer]) {
		switch r.Status {
		case http.StatusOK:
			rr.FreshAt = sentAt
			for _, e := range r.Value.Events {
				if e.Put != "" {
					rr.Adopt(e.Put, e.Value, e.Version)
				}
			}
			if len(r.Value.Events) > 0 {
				rr.steps.Wake()
			}
			maps.DeleteFunc(rr.jobs.FinalVersions, func(_ string, version int64) bool { return version <= r.Value.Revision })
			rr.follow(epoch, max(from, r.Value.Revision))
		case http.StatusGone:
			// Too far behind: everything is read again.
			rr.Load(epoch, "", 0, rr.Now())
		default:
			rr.AfterInTerm(term.RetryDelay, func() { rr.follow(epoch, from) })
		}
	}))
}

// Adopt takes a record as read or followed, unless it is known already.
func (rr *Reader) Adopt(key string, raw []byte, version int64) {
	id := key[len(ledger.Prefix):]
	j := rr.jobs.ByID[id]
	// A read that was answered late can be older than what is known: taking it
	// would bring back places that are empty. The same version is news only if
	// what is in memory has to be dropped.
	if version <= rr.jobs.FinalVersions[id] || j != nil && (version < j.Version || version == j.Version && !j.MustReload) {
		return
	}
	content, err := ledger.Decode(raw)
	if j != nil && (j.InFlight || j.Loading) {
		// What this is becomes clear when our own change is answered, or the record's
		// parts are; that it is cancelled is final.
		j.FollowedEvent = &protocol.Event{Put: key, Value: raw, Version: version}
		if err == nil && content.Status == protocol.StatusCancelled && content.Guest == nil {
			rr.jobs.NoteCancelled(j, rr.ConfirmedAt(content))
		}
		return
	}
	switch {
	case err != nil:
		// Never guess at what may be running: leave it alone and say so.
		slog.Error("malformed record", "job", id, "error", err)
		rr.jobs.Malformed[id] = true
	case j == nil:
		rr.adoptNew(id, content, version)
	case content.PartSize > 0:
		rr.adoptSharded(j, content, version)
	default:
		rr.adoptWhole(j, content, version)
	}
}

// adoptNew takes the record of a job that isn't known.
func (rr *Reader) adoptNew(id string, content *ledger.Job, version int64) {
	// Of a divided record only the parts tell whether anything may still run.
	unread := content.PartSize > 0 && rr.Loading
	if content.Final() && len(content.Placed) == 0 && !unread && content.Guest == nil {
		return
	}
	if content.Guest == nil {
		rr.objectives.NoteArrival(&content.Spec)
	}
	if rr.Format.Open && content.Spec.Service() {
		content.Marked = true // it was left by a version that took it for an array
	}
	j := jobtable.NewJob()
	j.ShardsUnread = unread
	if content.Guest != nil {
		rr.jobs.AwaitPermission(j)
	}
	rr.jobs.ByID[id] = j
	rr.replaceContent(j, content, version)
	rr.jobs.ForgetIfOver(j)
}

// adoptWhole takes a newer undivided record of a known job.
func (rr *Reader) adoptWhole(j *jobtable.Job, content *ledger.Job, version int64) {
	if content.Truncated {
		// What is known of the tasks is all there is.
		content.Placed, content.NextAttempt = maps.Clone(j.Placed), j.NextAttempt
	}
	rr.jobs.RemoveFromMachines(j)
	rr.jobs.DropShards(j)
	rr.replaceContent(j, content, version)
	rr.jobs.ForgetIfOver(j)
}

// adoptSharded takes a newer head. Users' nodes only cancel: anything else is a change of
// this leader's own that had no answer, and the parts have to be read as well.
func (rr *Reader) adoptSharded(j *jobtable.Job, content *ledger.Job, version int64) {
	if content.Status == protocol.StatusCancelled && !j.MustReload && !j.Sharding && content.PartSize == j.PartSize {
		rr.cancelSharded(j, content, version)
		return
	}
	j.MustReload = true
	if content.Status == protocol.StatusCancelled {
		rr.jobs.NoteCancelled(j, rr.ConfirmedAt(content))
	}
}

// replaceContent makes a record's content what is known of its job.
func (rr *Reader) replaceContent(j *jobtable.Job, content *ledger.Job, version int64) {
	j.Job, j.MustReload, j.FenceFirst = content, false, false
	j.StoredValue.Replace(version)
	j.RunningStale = true
	j.ClosedAtChange, j.StoredDone = 0, content.Done.Clone()
	clear(j.ProposedAt)
	if content.PartSize > 0 && len(j.Shards) != j.Parts() {
		j.MakeShards()
	}
	if content.Status == protocol.StatusCancelled && content.Guest == nil {
		rr.jobs.NoteCancelled(j, rr.ConfirmedAt(content))
	}
	if !j.ShardsUnread {
		rr.placeContent(j)
	}
}

// placeContent notes at its machines what a record says of its tasks.
func (rr *Reader) placeContent(j *jobtable.Job) {
	on := map[string]*machinetable.Machine{}
	for _, p := range ordered.ByKey(j.Placed) {
		if rr.machines.WasReleased(p.Machine) {
			// Released meanwhile, with all on it: the record is behind.
			rr.jobs.ReleasePlacement(j, p)
			continue
		}
		if m := rr.machines.AddPlacement(j.Spec.ID, p); m != nil {
			on[p.Machine] = m
		}
	}
	rr.Delegations.MatchDelegation(j)
	// What the machines last said still counts for what the record just said.
	for _, m := range ordered.ByKey(on) {
		if m.Seen {
			rr.reconciler.Reconcile(m)
			if j.Final() {
				rr.commands.Push(m)
			}
		}
	}
}

// reload replaces what is in memory by the record. Nothing was done about
// what is lost by this: only durable placements are acted on.
func (rr *Reader) reload(j *jobtable.Job) {
	if j.Loading {
		return
	}
	j.Loading = true
	key := ledger.Key(j.Spec.ID)
	rr.Store.Get(key, term.Guarded(rr.State, func(r statestore.Reply[protocol.Item]) {
		content, err := ledger.Decode(r.Value.Value)
		if r.Status == http.StatusOK && err == nil && content.PartSize > 0 {
			rr.listShards(j, shardedRead{content: content, version: r.Value.Version}, func(r shardedRead) { rr.replaceSharded(j, r) })
			return
		}
		rr.loadingEnded(j)
		if rr.jobs.ByID[j.Spec.ID] != j {
			return // over meanwhile
		}
		switch {
		case r.Status == http.StatusOK:
			rr.Adopt(key, r.Value.Value, r.Value.Version)
		case r.Status == http.StatusNotFound && j.Guest != nil:
			rr.jobs.Forget(j) // only this leader removes it
		default:
			rr.writer.Pause()
		}
		rr.steps.Wake()
	}))
}

// listShards reads the parts of one record.
func (rr *Reader) listShards(j *jobtable.Job, r shardedRead, done func(shardedRead)) {
	same := rr.SameTerm()
	statestore.Walk(rr.Store, ledger.PartsOf(j.Spec.ID), "", func(page protocol.ItemList) bool {
		r.shards = append(r.shards, page.Items...)
		return same()
	}, term.Guarded2(rr.State, func(status int, _ string) {
		switch {
		case status != http.StatusOK:
			j.Loading = false // and all of it again, after a pause
			rr.writer.Pause()
		default:
			if rr.jobs.ByID[j.Spec.ID] == j {
				done(r)
			}
			rr.loadingEnded(j)
		}
		rr.steps.Wake()
	}))
}

// replaceSharded makes a divided record, as read, what is known of its job.
func (rr *Reader) replaceSharded(j *jobtable.Job, r shardedRead) {
	if r.version < j.Version {
		return // an answer from before the last change; it is read again
	}
	id := j.Spec.ID
	versions := map[int]int64{}
	for _, item := range r.shards {
		_, part, ok := ledger.ParsePartKey(item.Key)
		if !ok {
			continue
		}
		if err := r.content.ApplyPart(part, item.Value); err != nil {
			rr.jobs.RemoveFromMachines(j)
			rr.jobs.QuarantineRecord(id, err)
			return
		}
		versions[part] = item.Version
	}
	rr.jobs.RemoveFromMachines(j)
	j.Sharding, j.Shards = false, nil
	// The versions come before what the machines said meanwhile: that is news to the parts.
	j.ShardsUnread = true
	rr.replaceContent(j, r.content, r.version)
	for part, version := range versions {
		j.Shards[part].Replace(version)
	}
	rr.shardsRead(j)
}

// loadingEnded takes what was followed while a record was read.
func (rr *Reader) loadingEnded(j *jobtable.Job) {
	j.Loading = false
	if e := j.FollowedEvent; e != nil && !j.InFlight && rr.jobs.ByID[j.Spec.ID] == j {
		j.FollowedEvent = nil
		rr.Adopt(e.Put, e.Value, e.Version)
	}
}

// findShards looks for parts of a job that is over whose changes had no answer. Its head has
// changed since, so that none of those changes can be carried out any more.
func (rr *Reader) findShards(j *jobtable.Job) {
	uncertain := func(v *jobtable.StoredValue) bool { return v.OutcomeUnknown }
	if j.Loading || !j.IsStored() || !slices.ContainsFunc(j.Shards, uncertain) {
		return
	}
	j.Loading = true
	rr.listShards(j, shardedRead{}, func(r shardedRead) {
		for _, v := range j.Shards {
			v.Version, v.OutcomeUnknown = 0, false
		}
		for _, item := range r.shards {
			if _, part, ok := ledger.ParsePartKey(item.Key); ok && part < len(j.Shards) {
				j.Shards[part].Version = item.Version
			}
		}
	})
}

// findStrayShards looks for what is stored of parts that were dropped, to have it removed. A
// part whose change had no answer may be there unknown, and would stand in the way of
// dividing the record again.
func (rr *Reader) findStrayShards(j *jobtable.Job) {
	if j.Loading {
		return
	}
	j.Loading = true
	rr.listShards(j, shardedRead{}, func(r shardedRead) {
		for _, item := range r.shards {
			rr.jobs.StrayShards[item.Key] = item.Version
		}
		j.HasStrayShards = false
		rr.jobs.ForgetIfOver(j)
	})
}

// cancelSharded takes a cancellation of a divided record: the head is all that a user's
// node changes, and what is known of the tasks stays.
func (rr *Reader) cancelSharded(j *jobtable.Job, content *ledger.Job, version int64) {
	j.Status, j.CancelledAt = content.Status, content.CancelledAt
	j.StoredValue.Replace(version)
	rr.jobs.NoteCancelled(j, rr.ConfirmedAt(j.Job))
	for _, p := range ordered.ByKey(j.Placed) {
		if m := rr.machines.ByName[p.Machine]; m != nil {
			rr.commands.Push(m)
		}
	}
	rr.jobs.ForgetIfOver(j)
}

// shardsRead ends a job's time without its parts.
func (rr *Reader) shardsRead(j *jobtable.Job) {
	j.ShardsUnread = false
	if j.Spec.Gang() && j.Done.Len() > 0 {
		j.RecordDone(0)
	}
	rr.placeContent(j)
	rr.jobs.CompleteIfDone(j)
	rr.jobs.ForgetIfOver(j)
}
