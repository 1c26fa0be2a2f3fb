// Package term owns what a node knows of the term in which it leads: the fencing token, until when
// commands may leave and heartbeats may be answered, how fresh the records are, and when the next
// step of planning is due. It neither elects (package leadership) nor reads records (package
// recordstore). Every component of the leader embeds State to read it.
package term

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

// State is the term in which this node leads, and what it may do in it: until when it may
// give commands, until when it may still answer heartbeats, and how fresh its knowledge is.
// Every component embeds it, to read; only its own methods and the Leader's change it.
type State struct {
	Mailbox  actor.Mailbox
	Settings *settings.Settings
	// Deposed is told of fencing tokens above this node's own.
	Deposed func(epoch int64)

	Term leadership.Term
	// KnownLeader is the node that workers are sent to, "" if none is known.
	KnownLeader string
	// Format is how far the controllers' upgrade is, and so what may be written.
	Format rollout.Status
	// Loaded reports that the records were read in this term.
	Loaded bool
	// BegunAt is when the term began on this node.
	BegunAt clock.Micros
	// FreshAt is the time before which everything in the records is known.
	FreshAt clock.Micros
	// AttestedAt is the time before which everything that any node told users is known.
	AttestedAt clock.Micros
	// Random is seeded with the epoch, so that the same events draw the same numbers.
	Random *rand.Rand
}

const (
	// StaleAfter is how old the records' last confirmation may be for a leader to act on them.
	StaleAfter = 6 * clock.Second
	// RetryDelay is the pause after the key-value store has refused a request.
	RetryDelay = 300 * clock.Millisecond
	// FollowInterval is after how long a watch of the records answers without any change.
	FollowInterval = 2 * clock.Second
)

// New makes the state of a node that doesn't lead. deposed is told of higher fencing tokens.
func New(mailbox actor.Mailbox, set *settings.Settings, deposed func(epoch int64)) *State {
	return &State{Mailbox: mailbox, Settings: set, Deposed: deposed}
}

// Begin forgets what was known in earlier terms.
func (lt *State) Begin() {
	lt.Loaded = false
	lt.BegunAt = lt.Now()
	lt.FreshAt, lt.AttestedAt = 0, 0
	lt.Random = NewRandom(lt.Term.Epoch)
}

// Now is the steady clock.
func (lt *State) Now() clock.Micros { return lt.Mailbox.Steady() }

// Leads tells that this node may act: its lease holds and what users changed
// through other nodes is known.
func (lt *State) Leads() bool {
	now := lt.Now()
	return lt.Term.Epoch != 0 && now < lt.Term.ValidUntil && lt.Loaded && now < lt.FreshAt+StaleAfter
}

// AfterInTerm does something later, if this is still the same term then.
func (lt *State) AfterInTerm(delay clock.Micros, do func()) {
	same := lt.SameTerm()
	lt.Mailbox.After(delay, func() {
		if same() {
			do()
		}
	})
}

// KnownUntil is up to when every cancellation that any user was told is known:
// from the records, or because every node has said what it told.
func (lt *State) KnownUntil() clock.Micros { return max(lt.FreshAt, lt.AttestedAt) }

// SoleUntil is up to when nobody else can have been elected: the lease was good,
// or every node said that it wasn't.
func (lt *State) SoleUntil() clock.Micros { return max(lt.Term.RenewedAt, lt.AttestedAt) }

// AnswersUntil is until when workers may be answered. A cancellation that isn't known
// was told after KnownUntil, and a leader that isn't known was elected after
// SoleUntil. Before the records are read nothing is known at all, whoever led before
// and however well: nobody is answered then.
func (lt *State) AnswersUntil() clock.Micros {
	if lt.Term.Epoch == 0 || !lt.Loaded {
		return 0
	}
	return min(lt.KnownUntil(), lt.SoleUntil()) + lt.Settings.Deployment.Workers.KeepAlive()
}

// MayAnswer tells that workers may still be answered, without orders but for the end
// of what is cancelled.
func (lt *State) MayAnswer() bool { return lt.Now() < lt.AnswersUntil() }

// ConfirmedAt is the record's time of a cancellation on this node's steady clock,
// no later than it was: clocks of day are off by a bounded error, either way.
func (lt *State) ConfirmedAt(r *ledger.Job) clock.Micros {
	if r.CancelledAt == 0 {
		return lt.Now() // a record of an earlier version
	}
	off := 2 * clock.Micros(lt.Settings.Deployment.ClockErrorMs*float64(clock.Millisecond))
	return lt.Now() - max(0, lt.Mailbox.OfDay()-clock.Micros(r.CancelledAt)) - off
}

// ActsUntil is until when commands and returns may leave: without the lease only those
// by which cancelled tasks end.
func (lt *State) ActsUntil() clock.Micros {
	if lt.Leads() {
		return lt.Term.ValidUntil
	}
	return lt.AnswersUntil()
}

// NewRandom is a source of jitter that the same events draw the same numbers from.
func NewRandom(epoch int64) *rand.Rand { return rand.New(rand.NewPCG(uint64(epoch), 0)) }

// DebugEnabled spares the cost of what would be thrown away.
func DebugEnabled() bool { return slog.Default().Enabled(context.Background(), slog.LevelDebug) }
