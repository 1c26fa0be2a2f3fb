// Package rollout finds out when every controller of the deployment runs a version that
// reads the present formats of what is stored, so that versions that don't can serve side
// by side with this one until then.
//
// Each controller publishes the format that it reads under a key of its own. Once all
// controllers of the settings have, any of them opens the gate: a key that is written once
// and never removed. Until a controller has seen that key it writes the first format only.
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

// Present is the format that this version reads and, once the gate is open, writes: with
// services and divided records. The first format had neither, and nothing published it.
const Present = 2

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
	Open    bool
	Missing []string // controllers that haven't published the present format
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
	// joined is called once when this node's format is published, changed whenever the
	// status is another one.
	joined  func()
	changed func(Status)

	hasJoined  bool
	status     Status
	reportedAt clock.Micros
}

// New makes the actor for one of the named nodes.
func New(m actor.Mailbox, s statestore.Store, node string, nodes []string, joined func(), changed func(Status)) *Rollout {
	return &Rollout{mailbox: m, store: s, node: node, nodes: nodes, joined: joined, changed: changed}
}

// Start begins to publish and to watch for the others.
func (r *Rollout) Start() { r.mailbox.Post(r.look) }

// look reads all keys and does what they lack. It ends when the gate is open.
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
	status := Status{Open: formats[gateKey] >= Present}
	for _, node := range r.nodes {
		if formats[nodePrefix+node] < Present && !status.Open {
			status.Missing = append(status.Missing, node)
		}
	}
	r.note(status)
	switch {
	case status.Open:
		r.join()
	case formats[nodePrefix+r.node] < Present:
		r.put(nodePrefix+r.node, version(items, nodePrefix+r.node))
	case len(status.Missing) == 0:
		r.join()
		r.put(gateKey, version(items, gateKey))
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
	if s.Open != r.status.Open || !slices.Equal(s.Missing, r.status.Missing) {
		if s.Open {
			slog.Info("all controllers read the present formats", "format", Present)
		}
		r.status = s
		r.changed(s)
	}
	if len(s.Missing) > 0 && now > r.reportedAt+reportTime {
		if r.reportedAt != 0 {
			slog.Info("controllers of an earlier version keep services and divided records off", "missing", strings.Join(s.Missing, " "))
		}
		r.reportedAt = now
	}
}

// put writes one key and looks again, whatever became of it.
func (r *Rollout) put(key string, version int64) {
	t := protocol.Txn{
		Guards:  []protocol.Guard{{Key: key, Version: version}},
		Changes: []protocol.Change{{Put: key, Value: protocol.Encode(published{Format: Present})}},
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
