package recordstore

import (
	"errors"
	"log/slog"
	"maps"

	"postpoint/internal/clock"
	"postpoint/internal/jobrecord"
	"postpoint/internal/kvstore"
	"postpoint/internal/leader/jobtable"
	"postpoint/internal/leader/machinetable"
	"postpoint/internal/leader/objectives"
	"postpoint/internal/leader/reconciler"
	"postpoint/internal/leader/term"
	"postpoint/internal/ordered"
	"postpoint/internal/protocol"
)

// Reader loads the job records at the beginning of a term and watches them for changes.
type Reader struct {
	*term.State
	Store      kvstore.Store
	jobs       *jobtable.Table
	machines   *machinetable.Table
	writer     *Writer
	reconciler *reconciler.Reconciler
	commands   *reconciler.CommandSender
	heartbeats *reconciler.HeartbeatHandler
	objectives *objectives.Tracker
	// Delegations and Zones are loaded after the job records.
	Delegations DelegationRecords
	Zones       ZoneRecords
	steps       *term.StepTimer

	// Loading reports that the reader is loading all records.
	Loading bool
}

// NewReader returns a reader and registers it with the writer, which asks it to reload records.
func NewReader(term *term.State, store kvstore.Store, jobs *jobtable.Table, machines *machinetable.Table,
	writer *Writer, reconciler *reconciler.Reconciler, commands *reconciler.CommandSender,
	heartbeats *reconciler.HeartbeatHandler, objectives *objectives.Tracker, steps *term.StepTimer) *Reader {
	r := &Reader{
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
	writer.reader = r
	return r
}

// DelegationRecords loads the delegations to other cells and reconciles them with the job records.
type DelegationRecords interface {
	LoadDelegations(done func())
	ReleaseOrphanedPlacements()
	ReleaseOrphanedPlacementsOf(j *jobtable.Job)
}

// ZoneRecords loads the state of zone recoveries.
type ZoneRecords interface {
	LoadZones(done func())
}

// loadPass is one pass over all records, from the first page of heads until the watch begins.
type loadPass struct {
	startedAt clock.Micros
	// revision is the store's revision at the first page. The watch starts there, so that the reader
	// misses no change between the load and the watch.
	revision protocol.Revision
}

// Load reads all records and then watches them for changes.
func (r *Reader) Load() {
	r.Loading = true
	pass := &loadPass{startedAt: r.Now()}
	r.loadPages(jobrecord.Prefix, "", func(page protocol.ItemList) { r.applyPage(pass, page) },
		func() { r.loadShards(pass) })
}

// applyPage applies a page of job records.
func (r *Reader) applyPage(pass *loadPass, page protocol.ItemList) {
	if pass.revision == 0 {
		pass.revision = page.Revision
	}
	for _, item := range page.Items {
		r.Apply(item.Key, item.Value, item.Version)
	}
}

// loadShards loads the shards after the heads. Only the leader writes shards, so the load misses none.
func (r *Reader) loadShards(pass *loadPass) {
	r.LoadAll(jobrecord.ShardsPrefix, r.ApplyShard, func() { r.loadDelegations(pass) })
}

// loadDelegations loads the delegations after the shards.
func (r *Reader) loadDelegations(pass *loadPass) {
	r.Delegations.LoadDelegations(func() { r.loadZones(pass) })
}

// loadZones loads the state of zone recoveries after the delegations.
func (r *Reader) loadZones(pass *loadPass) {
	r.Zones.LoadZones(func() { r.finishLoad(pass) })
}

// LoadAll reads all keys with a prefix and retries until it succeeds.
func (r *Reader) LoadAll(prefix string, apply func(protocol.Item), done func()) {
	r.loadPages(prefix, "", func(page protocol.ItemList) {
		for _, item := range page.Items {
			apply(item)
		}
	}, done)
}

// loadPages reads all keys with a prefix after the key from. It retries a page that can't be read after
// a pause.
func (r *Reader) loadPages(prefix, from string, apply func(protocol.ItemList), done func()) {
	sameTerm := r.SameTerm()
	applyInTerm := func(page protocol.ItemList) (more bool) {
		if !sameTerm() {
			return false
		}
		apply(page)
		return true
	}
	kvstore.WalkPages(r.Store, prefix, from, applyInTerm,
		term.Guarded2(r.State, func(err error, from string) {
			if err != nil {
				r.AfterInTerm(term.RetryDelay, func() { r.loadPages(prefix, from, apply, done) })
				return
			}
			done()
		}))
}

// ApplyShard applies a shard if the job's shards are still unread. A shard without a sharded record is
// a stray shard: it was written by a leader whose term ended while it sharded the record.
func (r *Reader) ApplyShard(item protocol.Item) {
	id, shard, ok := jobrecord.ParseShardKey(item.Key)
	j := r.jobs.ByID[id]
	switch {
	case !ok || r.jobs.Malformed[id]:
	case j == nil || j.ShardSize == 0 || shard >= len(j.Shards):
		r.jobs.StrayShards[item.Key] = item.Version
	case j.ShardsUnread():
		if err := j.ApplyShard(shard, item.Value); err != nil {
			r.jobs.QuarantineRecord(id, err)
			return
		}
		j.Shards[shard].Replace(item.Version)
	}
}

// finishLoad marks the records as loaded, which lets the leader act on them, and begins to watch them.
func (r *Reader) finishLoad(pass *loadPass) {
	for _, j := range ordered.ByKey(r.jobs.ByID) {
		if j.ShardsUnread() {
			r.completeShardLoad(j)
		}
	}
	firstLoad := !r.Loaded
	r.Loaded, r.Loading = true, false
	r.Delegations.ReleaseOrphanedPlacements()
	r.RecordsKnownUntil = pass.startedAt
	if firstLoad {
		r.heartbeats.HandleDeferred()
		slog.Info("job records loaded", "epoch", r.Term.Epoch, "open_jobs", len(r.jobs.ByID),
			"took_ms", (r.Now()-pass.startedAt)/clock.Millisecond)
	}
	r.steps.Wake()
	r.watch(pass.revision)
}

// watch watches for the jobs that other controllers accept or cancel after a revision. The store
// responds at least every WatchTimeout, and each response proves that this leader knows all changes up to
// the time at which it sent the request.
func (r *Reader) watch(from protocol.Revision) {
	sentAt := r.Now()
	handle := func(reply kvstore.Result[protocol.WatchResponse]) { r.handleWatched(from, sentAt, reply) }
	r.Store.Watch(jobrecord.Prefix, from, term.WatchTimeout, term.Guarded(r.State, handle))
}

// handleWatched applies the changes that the watch returned, and continues the watch from their
// revision.
func (r *Reader) handleWatched(from protocol.Revision, sentAt clock.Micros,
	reply kvstore.Result[protocol.WatchResponse]) {
	switch {
	case reply.Err == nil:
		r.RecordsKnownUntil = sentAt
		r.applyChanges(reply.Value)
		r.watch(max(from, reply.Value.Revision))
	case errors.Is(reply.Err, kvstore.ErrCompacted):
		r.Load() // the store has compacted the changes after this revision
	default:
		r.AfterInTerm(term.RetryDelay, func() { r.watch(from) })
	}
}

// applyChanges applies the changes that a watch returned. It ignores deletions, since only this leader
// deletes records. It also drops the final versions that the watch has caught up with.
func (r *Reader) applyChanges(changes protocol.WatchResponse) {
	for _, e := range changes.Events {
		if e.Put != "" {
			r.Apply(e.Put, e.Value, e.Version)
		}
	}
	if len(changes.Events) > 0 {
		r.steps.Wake()
	}
	maps.DeleteFunc(r.jobs.FinalVersions, func(_ protocol.JobID, version protocol.Revision) bool {
		return version <= changes.Revision
	})
}
