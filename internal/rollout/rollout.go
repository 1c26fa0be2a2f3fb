// Package rollout determines when every controller of the deployment runs a version that reads the
// latest stored format. Until then, controllers of earlier versions can run side by side with this one.
//
// Each controller publishes the format that it reads under a key of its own. Once all controllers in
// the settings have published theirs, any of them raises the gate: a key with the format that all of
// them read. The gate is never lowered. A controller writes a format only after it has read that format
// or a later one from the gate.
//
// The package owns only these keys. The actors that receive its status decide what to write in which
// format. A controller takes part in elections only once it has published its format.
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

// Format is the version of the stored format; each version contains the earlier ones. Version 1 had
// neither services nor sharded records, and no controller publishes it.
type Format int

// The formats that controllers publish.
const (
	// FormatServices adds services and sharded records.
	FormatServices Format = 2
	// FormatCells adds jobs of other cells and tasks that other cells run. Controllers publish it only
	// if their operator has enabled cells.
	FormatCells Format = 3
)

const (
	prefix           = "rollout/"
	gateKey          = prefix + "gate"
	controllerPrefix = prefix + "node/"

	pollInterval = clock.Second
	retryDelay   = 400 * clock.Millisecond
	// missingLogInterval is the time between log lines about missing controllers.
	missingLogInterval = 60 * clock.Second
)

// Status is the progress of the rollout.
type Status struct {
	// Services reports whether all controllers read FormatServices.
	Services bool
	// Cells reports whether all controllers read FormatCells.
	Cells bool
	// Missing are the controllers that haven't published this controller's format, while the gate is
	// below it.
	Missing []string
}

// equal reports whether two statuses are the same.
func (s Status) equal(o Status) bool {
	return s.Services == o.Services && s.Cells == o.Cells && slices.Equal(s.Missing, o.Missing)
}

// publishedFormat is the value of a controller's key and of the gate.
type publishedFormat struct {
	Format Format `msgpack:"format"`
}

// Rollout is the actor that publishes this controller's format and raises the gate.
type Rollout struct {
	mailbox     actor.Mailbox
	store       kvstore.Store
	controller  string
	controllers []string
	format      Format
	// onPublished runs once, when this controller has published its format.
	onPublished func()
	// onStatus runs on every change of the status.
	onStatus func(Status)

	published       bool
	status          Status
	missingLoggedAt clock.Micros
}

// New returns the actor of the given controller, one of controllers, which reads the given format. From
// its mailbox the actor calls onPublished once, when it has published that format, and onStatus on every
// change of the status.
func New(m actor.Mailbox, s kvstore.Store, controller string, controllers []string, format Format,
	onPublished func(), onStatus func(Status)) *Rollout {
	return &Rollout{mailbox: m, store: s, controller: controller, controllers: controllers, format: format,
		onPublished: onPublished, onStatus: onStatus}
}

// Start begins to publish this controller's format and to poll those of the others.
func (r *Rollout) Start() { r.mailbox.Post(r.poll) }

// poll reads all keys and takes the next step. Polling ends when the gate has reached this
// controller's format.
func (r *Rollout) poll() {
	r.store.List(prefix, "", func(result kvstore.Result[protocol.ItemList]) {
		if result.Err != nil {
			r.pollAfter(retryDelay)
			return
		}
		r.advance(decodeView(result.Value.Items))
	})
}

// pollAfter polls after a delay.
func (r *Rollout) pollAfter(delay clock.Micros) { r.mailbox.After(delay, r.poll) }

// view holds the formats and versions of all keys as of one read.
type view struct {
	formats  map[string]Format // by key
	versions map[string]protocol.Revision
}

// decodeView returns the view of the keys. It treats a malformed value as unpublished.
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

// gate returns the format of the gate, which all controllers read.
func (v view) gate() Format { return v.formats[gateKey] }

// commonFormat returns the latest format that all controllers have published, at most this controller's.
func (r *Rollout) commonFormat(v view) Format {
	common := r.format
	for _, controller := range r.controllers {
		common = min(common, v.formats[controllerPrefix+controller])
	}
	return common
}

// missing returns the controllers that haven't published this controller's format, none once the gate
// has reached it.
func (r *Rollout) missing(v view) []string {
	if v.gate() >= r.format {
		return nil
	}
	var missing []string
	for _, controller := range r.controllers {
		if v.formats[controllerPrefix+controller] < r.format {
			missing = append(missing, controller)
		}
	}
	return missing
}

// advance takes the next step: publish this controller's format, raise the gate, or wait.
func (r *Rollout) advance(v view) {
	r.updateStatus(Status{Services: v.gate() >= FormatServices, Cells: v.gate() >= FormatCells,
		Missing: r.missing(v)})
	ownKey := controllerPrefix + r.controller
	common := r.commonFormat(v)
	switch {
	case v.gate() >= r.format:
		r.reportPublished()
	case v.formats[ownKey] < r.format:
		r.put(ownKey, r.format, v)
	case common >= FormatServices && common > v.gate():
		r.reportPublished()
		r.put(gateKey, common, v)
	default:
		r.reportPublished()
		r.pollAfter(pollInterval)
	}
}

// reportPublished calls onPublished the first time.
func (r *Rollout) reportPublished() {
	if !r.published {
		r.published = true
		r.onPublished()
	}
}

// updateStatus logs and publishes a changed status, and logs missing controllers.
func (r *Rollout) updateStatus(s Status) {
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

// logMissing logs the missing controllers, once per missingLogInterval. It skips the first time, because
// an upgrade of all controllers takes a while.
func (r *Rollout) logMissing(s Status) {
	now := r.mailbox.Monotonic()
	if len(s.Missing) == 0 || now <= r.missingLoggedAt+missingLogInterval {
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

// put writes one key and polls again, whatever the outcome.
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
