package dispatch

import (
	"context"
	"log/slog"
	"math/rand/v2"

	"postpoint/internal/actor"
	"postpoint/internal/clock"
	"postpoint/internal/leadership"
	"postpoint/internal/ledger"
	"postpoint/internal/rollout"
	"postpoint/internal/settings"
)

// leaderTerm is the term in which this node leads, and what it may do in it: until when it may
// give commands, until when it may still answer heartbeats, and how fresh its knowledge is.
// Every component embeds it, to read; only its own methods and the Leader's change it.
type leaderTerm struct {
	mailbox  actor.Mailbox
	settings *settings.Settings
	// deposed is told of fencing tokens above this node's own.
	deposed func(epoch int64)

	term leadership.Term
	// knownLeader is the node that workers are sent to, "" if none is known.
	knownLeader string
	// format is how far the controllers' upgrade is, and so what may be written.
	format rollout.Status
	// loaded reports that the records were read in this term.
	loaded bool
	// begunAt is when the term began on this node.
	begunAt clock.Micros
	// freshAt is the time before which everything in the records is known.
	freshAt clock.Micros
	// attestedAt is the time before which everything that any node told users is known.
	attestedAt clock.Micros
	// random is seeded with the epoch, so that the same events draw the same numbers.
	random *rand.Rand
}

const (
	// staleAfter is how old the records' last confirmation may be for a leader to act on them.
	staleAfter = 6 * clock.Second
	// retryDelay is the pause after the key-value store has refused a request.
	retryDelay = 300 * clock.Millisecond
	// followTime is after how long a watch of the records answers without any change.
	followTime = 2 * clock.Second
)

func newLeaderTerm(mailbox actor.Mailbox, set *settings.Settings, deposed func(epoch int64)) *leaderTerm {
	return &leaderTerm{mailbox: mailbox, settings: set, deposed: deposed}
}

// begin forgets what was known in earlier terms.
func (lt *leaderTerm) begin() {
	lt.loaded = false
	lt.begunAt = lt.now()
	lt.freshAt, lt.attestedAt = 0, 0
	lt.random = newRandom(lt.term.Epoch)
}

func (lt *leaderTerm) now() clock.Micros { return lt.mailbox.Steady() }

// leads tells that this node may act: its lease holds and what users changed
// through other nodes is known.
func (lt *leaderTerm) leads() bool {
	now := lt.now()
	return lt.term.Epoch != 0 && now < lt.term.ValidUntil && lt.loaded && now < lt.freshAt+staleAfter
}

// inTerm does something later, if this is still the same term then.
func (lt *leaderTerm) inTerm(delay clock.Micros, do func()) {
	epoch := lt.term.Epoch
	lt.mailbox.After(delay, func() {
		if lt.term.Epoch == epoch {
			do()
		}
	})
}

// knownUntil is up to when every cancellation that any user was told is known:
// from the records, or because every node has said what it told.
func (lt *leaderTerm) knownUntil() clock.Micros { return max(lt.freshAt, lt.attestedAt) }

// soleUntil is up to when nobody else can have been elected: the lease was good,
// or every node said that it wasn't.
func (lt *leaderTerm) soleUntil() clock.Micros { return max(lt.term.RenewedAt, lt.attestedAt) }

// keepsUntil is until when workers may be answered. A cancellation that isn't known
// was told after knownUntil, and a leader that isn't known was elected after
// soleUntil. Before the records are read nothing is known at all, whoever led before
// and however well: nobody is answered then.
func (lt *leaderTerm) answersUntil() clock.Micros {
	if lt.term.Epoch == 0 || !lt.loaded {
		return 0
	}
	return min(lt.knownUntil(), lt.soleUntil()) + lt.settings.Deployment.Workers.KeepAlive()
}

// keeps tells that workers may still be answered, without orders but for the end
// of what is cancelled.
func (lt *leaderTerm) mayAnswer() bool { return lt.now() < lt.answersUntil() }

// confirmedAt is the record's time of a cancellation on this node's steady clock,
// no later than it was: clocks of day are off by a bounded error, either way.
func (lt *leaderTerm) confirmedAt(r *ledger.Job) clock.Micros {
	if r.CancelledAt == 0 {
		return lt.now() // a record of an earlier version
	}
	off := 2 * clock.Micros(lt.settings.Deployment.ClockErrorMs*float64(clock.Millisecond))
	return lt.now() - max(0, lt.mailbox.OfDay()-clock.Micros(r.CancelledAt)) - off
}

// actsUntil is until when commands and returns may leave: without the lease only those
// by which cancelled tasks end.
func (lt *leaderTerm) actsUntil() clock.Micros {
	if lt.leads() {
		return lt.term.ValidUntil
	}
	return lt.answersUntil()
}

// newRandom is a source of jitter that the same events draw the same numbers from.
func newRandom(epoch int64) *rand.Rand { return rand.New(rand.NewPCG(uint64(epoch), 0)) }

// debugging spares the cost of what would be thrown away.
func debugging() bool { return slog.Default().Enabled(context.Background(), slog.LevelDebug) }
