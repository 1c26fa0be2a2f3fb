// Package rollout finds out when every controller of the deployment runs a version that
// reads the present formats of what is stored, so that versions that don't can serve side
// by side with this one until then.
//
// Each controller publishes the format that it reads under a key of its own. Once all
// controllers of the settings have, any of them opens the gate: a key that says what all of
// them read, and is only ever raised. Until a controller has seen a format there it writes
// none of it.
package rollout

import (
	"log/slog"
	"net/http"
	"slices"
	"strings"

	"postpoint/internal/actor"
	"postpoint/internal/clock"
	"postpoint/internal/protocol"
	"postpoint/internal/statestore"
)

// The formats of what is stored. The first had neither services nor divided records, and
// nothing published it.
const (
	// Present has services and divided records.
	Present = 2
	// WithCells has jobs of other cells and tasks that other cells run as well. Controllers
	// publish it only if their operators have switched cells on.
	WithCells = 3
)

const (
	prefix     = "rollout/"
	gateKey    = prefix + "gate"
	nodePrefix = prefix + "node/"

	pollTime  = clock.Second
	retryTime = 400 * clock.Millisecond
	// reportTime is how often missing controllers are named in the log.
	reportTime = 60 * clock.Second
)

// Status is how far the upgrade is.
type Status struct {
	Open bool // all controllers read Present
	// Cells tells that all of them read WithCells, too.
	Cells   bool
	Missing []string // controllers that haven't published what this one has
}

// published is the value of both kinds of keys.
type published struct {
	Format int `msgpack:"format"`
}

// Rollout is the actor.
type Rollout struct {
	mailbox actor.Mailbox
	store   statestore.Store
	node    string
	nodes   []string
	format  int
	// joined is called once when this node's format is published, changed whenever the
	// status is another one.
	joined  func()
	changed func(Status)

	hasJoined  bool
	status     Status
	reportedAt clock.Micros
}

// New makes the actor for one of the named nodes, which reads the given format.
func New(m actor.Mailbox, s statestore.Store, node string, nodes []string, format int, joined func(), changed func(Status)) *Rollout {
	return &Rollout{mailbox: m, store: s, node: node, nodes: nodes, format: format, joined: joined, changed: changed}
}

// Start begins to publish and to watch for the others.
func (r *Rollout) Start() { r.mailbox.Post(r.look) }

// look reads all keys and does what they lack. It ends when the gate is open for all that this
// node reads.
func (r *Rollout) look() {
	r.store.List(prefix, "", func(reply statestore.Reply[protocol.ItemList]) {
		if reply.Status != http.StatusOK {
			r.again(retryTime)
			return
		}
		r.found(reply.Value.Items)
	})
}

func (r *Rollout) again(delay clock.Micros) { r.mailbox.After(delay, r.look) }

func (r *Rollout) found(items []protocol.Item) {
	formats := map[string]int{}
	for _, item := range items {
		var p published
		if err := protocol.Decode(item.Value, &p); err != nil {
			slog.Error("malformed format of a controller", "key", item.Key, "error", err)
		}
		formats[item.Key] = p.Format
	}
	gate := formats[gateKey]
	status := Status{Open: gate >= Present, Cells: gate >= WithCells}
	common := r.format // what all controllers read
	for _, node := range r.nodes {
		published := formats[nodePrefix+node]
		if published < r.format && gate < r.format {
			status.Missing = append(status.Missing, node)
		}
		common = min(common, published)
	}
	r.note(status)
	switch {
	case gate >= r.format:
		r.join()
	case formats[nodePrefix+r.node] < r.format:
		r.put(nodePrefix+r.node, r.format, version(items, nodePrefix+r.node))
	case common >= Present && common > gate:
		r.join()
		r.put(gateKey, common, version(items, gateKey))
	default:
		r.join()
		r.again(pollTime)
	}
}

// join tells once that this node has published its format.
func (r *Rollout) join() {
	if !r.hasJoined {
		r.hasJoined = true
		r.joined()
	}
}

// note tells of a changed status, and an operator now and then of who is missing.
func (r *Rollout) note(s Status) {
	now := r.mailbox.Steady()
	if s.Open != r.status.Open || s.Cells != r.status.Cells || !slices.Equal(s.Missing, r.status.Missing) {
		if s.Open && !r.status.Open {
			slog.Info("all controllers read the present formats", "format", Present)
		}
		if s.Cells && !r.status.Cells {
			slog.Info("all controllers read the formats of cells", "format", WithCells)
		}
		r.status = s
		r.changed(s)
	}
	if len(s.Missing) > 0 && now > r.reportedAt+reportTime {
		if r.reportedAt != 0 {
			what := "services and divided records"
			if s.Open {
				what = "cells"
			}
			slog.Info("controllers of an earlier version keep "+what+" off", "missing", strings.Join(s.Missing, " "))
		}
		r.reportedAt = now
	}
}

// put writes one key and looks again, whatever became of it.
func (r *Rollout) put(key string, format int, version int64) {
	t := protocol.Txn{
		Guards:  []protocol.Guard{{Key: key, Version: version}},
		Changes: []protocol.Change{{Put: key, Value: protocol.Encode(published{Format: format})}},
	}
	r.store.Commit(statestore.ForLeadership, t, func(reply statestore.Reply[protocol.TxnAnswer]) {
		if reply.Status == http.StatusOK || reply.Status == http.StatusConflict {
			r.look()
			return
		}
		r.again(retryTime)
	})
}

// version is that of a key among what was read, 0 if it isn't there.
func version(items []protocol.Item, key string) int64 {
	for _, item := range items {
		if item.Key == key {
			return item.Version
		}
	}
	return 0
}
