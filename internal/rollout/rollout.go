// Package rollout finds out when every controller of the deployment runs a version that reads the
// present formats of what is stored, so that versions that don't can serve side by side with this
// one until then.
//
// Each controller publishes the format that it reads under a key of its own. Once all controllers
// of the settings have, any of them opens the gate: a key that says what all of them read, and is
// only ever raised. Until a controller has seen a format there it writes none of it.
//
// The package owns these keys only. What a format contains is up to the actors that are told of
// its status; the election waits until this node's format is published.
package rollout

import (
	"errors"
	"log/slog"
	"slices"
	"strings"

	"postpoint/internal/actor"
	"postpoint/internal/clock"
	"postpoint/internal/kvstore"
	"postpoint/internal/protocol"
)

// Format is a version of the formats of what is stored; each contains the earlier ones. The first
// had neither services nor sharded records, and nothing published it.
type Format int

// The formats that are published.
const (
	// FormatServices has services and sharded records.
	FormatServices Format = 2
	// FormatCells has jobs of other cells and tasks that other cells run as well. Controllers
	// publish it only if their operators have switched cells on.
	FormatCells Format = 3
)

const (
	prefix     = "rollout/"
	gateKey    = prefix + "gate"
	nodePrefix = prefix + "node/"

	pollTime   = clock.Second
	retryDelay = 400 * clock.Millisecond
	// missingLogTime is from one log line on missing controllers to the next.
	missingLogTime = 60 * clock.Second
)

// Status is how far the rollout has come.
type Status struct {
	// Services reports whether all controllers read FormatServices.
	Services bool
	// Cells reports whether all controllers read FormatCells.
	Cells bool
	// Missing are the controllers that haven't published the format of this one.
	Missing []string
}

func (s Status) equal(o Status) bool {
	return s.Services == o.Services && s.Cells == o.Cells && slices.Equal(s.Missing, o.Missing)
}

// publishedFormat is the value of both kinds of keys.
type publishedFormat struct {
	Format Format `msgpack:"format"`
}

// Rollout is the actor.
type Rollout struct {
	mailbox actor.Mailbox
	store   kvstore.Store
	node    string
	nodes   []string
	format  Format
	// onPublished is called once, when this node's format is published.
	onPublished func()
	// onStatus is called with every change of the status.
	onStatus func(Status)

	published       bool
	status          Status
	missingLoggedAt clock.Micros
}

// New returns the actor for one of the named nodes, which reads the given format. onPublished is
// called once, when that format is published, and onStatus with every change of the status, both
// from the mailbox.
func New(m actor.Mailbox, s kvstore.Store, node string, nodes []string, format Format,
	onPublished func(), onStatus func(Status)) *Rollout {
	return &Rollout{mailbox: m, store: s, node: node, nodes: nodes, format: format,
		onPublished: onPublished, onStatus: onStatus}
}

// Start begins to publish and to watch for the others.
func (r *Rollout) Start() { r.mailbox.Post(r.poll) }

// poll reads all keys and takes the next step. Polling ends when the gate is open for all that
// this node reads.
func (r *Rollout) poll() {
	r.store.List(prefix, "", func(result kvstore.Result[protocol.ItemList]) {
		if result.Err != nil {
			r.pollAfter(retryDelay)
			return
		}
		r.advance(decodeView(result.Value.Items))
	})
}

func (r *Rollout) pollAfter(delay clock.Micros) { r.mailbox.After(delay, r.poll) }

// view is what the keys say.
type view struct {
	formats  map[string]Format // by key
	versions map[string]protocol.Revision
}

// decodeView takes a malformed value for one that isn't published.
func decodeView(items []protocol.Item) view {
	v := view{formats: map[string]Format{}, versions: map[string]protocol.Revision{}}
	for _, item := range items {
		var p publishedFormat
		if err := protocol.Decode(item.Value, &p); err != nil {
			slog.Error("published format is malformed", "key", item.Key, "error", err)
		}
		v.formats[item.Key] = p.Format
		v.versions[item.Key] = item.Version
	}
	return v
}

// gate returns the format that is known to be read by all.
func (v view) gate() Format { return v.formats[gateKey] }

// common returns the format that all nodes have published, at most this one's.
func (r *Rollout) common(v view) Format {
	common := r.format
	for _, node := range r.nodes {
		common = min(common, v.formats[nodePrefix+node])
	}
	return common
}

// missing returns the nodes for which the gate isn't open yet.
func (r *Rollout) missing(v view) []string {
	if v.gate() >= r.format {
		return nil
	}
	var missing []string
	for _, node := range r.nodes {
		if v.formats[nodePrefix+node] < r.format {
			missing = append(missing, node)
		}
	}
	return missing
}

// advance takes the next step: publish this node's format, open the gate, or wait.
func (r *Rollout) advance(v view) {
	r.noteStatus(Status{Services: v.gate() >= FormatServices, Cells: v.gate() >= FormatCells,
		Missing: r.missing(v)})
	ownKey := nodePrefix + r.node
	common := r.common(v)
	switch {
	case v.gate() >= r.format:
		r.notePublished()
	case v.formats[ownKey] < r.format:
		r.put(ownKey, r.format, v)
	case common >= FormatServices && common > v.gate():
		r.notePublished()
		r.put(gateKey, common, v)
	default:
		r.notePublished()
		r.pollAfter(pollTime)
	}
}

// notePublished reports once that this node has published its format.
func (r *Rollout) notePublished() {
	if !r.published {
		r.published = true
		r.onPublished()
	}
}

// noteStatus reports a changed status.
func (r *Rollout) noteStatus(s Status) {
	if !s.equal(r.status) {
		if s.Services && !r.status.Services {
			slog.Info("all controllers read services and sharded records", "format", FormatServices)
		}
		if s.Cells && !r.status.Cells {
			slog.Info("all controllers read the records of cells", "format", FormatCells)
		}
		r.status = s
		r.onStatus(s)
	}
	r.logMissing(s)
}

// logMissing tells an operator now and then who is missing. The first time it is silent: an
// upgrade takes a while.
func (r *Rollout) logMissing(s Status) {
	now := r.mailbox.Monotonic()
	if len(s.Missing) == 0 || now <= r.missingLoggedAt+missingLogTime {
		return
	}
	if r.missingLoggedAt != 0 {
		features := "services and sharded records"
		if s.Services {
			features = "cells"
		}
		slog.Info("controllers of an earlier version keep features disabled",
			"features", features, "missing", strings.Join(s.Missing, " "))
	}
	r.missingLoggedAt = now
}

// put writes one key and polls again, whatever became of it.
func (r *Rollout) put(key string, format Format, v view) {
	t := protocol.Txn{
		Conditions: []protocol.Condition{{Key: key, Version: v.versions[key]}},
		Changes:    []protocol.Change{{Put: key, Value: protocol.Encode(publishedFormat{Format: format})}},
	}
	r.store.Commit(kvstore.PriorityElection, t, func(result kvstore.Result[protocol.Revision]) {
		if result.Err == nil || errors.Is(result.Err, kvstore.ErrConflict) {
			r.poll()
			return
		}
		r.pollAfter(retryDelay)
	})
}
