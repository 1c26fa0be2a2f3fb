// Package term owns what a node knows of the term in which it leads: the fencing token, until when
// commands may leave and heartbeats may be answered, how fresh the records are, and when the next
// step of planning is due. It neither elects (package election) nor reads records (package
// recordstore). Every component of the leader embeds State to read it.
package term

import (
	"context"
	"log/slog"
	"math/rand/v2"

	"postpoint/internal/actor"
	"postpoint/internal/clock"
	"postpoint/internal/election"
	"postpoint/internal/jobrecord"
	"postpoint/internal/protocol"
	"postpoint/internal/rollout"
	"postpoint/internal/settings"
)

// State is the term in which this node leads, and what it may do in it: until when it may give
// commands, until when it may respond to heartbeats, and how fresh its knowledge is. Every component
// embeds it, to read; what changes it are its own methods, the Leader, the reader of the records (Loaded,
// FreshAt) and attestations (AttestedAt).
type State struct {
	Mailbox  actor.Mailbox
	Settings *settings.Settings
	// Deposed is called with fencing tokens above this node's own.
	Deposed func(epoch protocol.Epoch)

	Term election.Term
	// KnownLeader is the node that workers are sent to, "" if none is known.
	KnownLeader string
	// Format is how far the controllers' upgrade is, which decides what may be written.
	Format rollout.Status
	// Loaded reports that the records were read in this term.
	Loaded bool
	// BegunAt is when the term began on this node.
	BegunAt clock.Micros
	// FreshAt is the time before which everything in the records is known.
	FreshAt clock.Micros
	// AttestedAt is the time before which everything that any node told users is known: every node
	// was asked.
	AttestedAt clock.Micros
	// Random is seeded with the epoch, so that the same events draw the same numbers.
	Random *rand.Rand
}

const (
	// StaleAfter is how old the records' last confirmation may be for a leader to act on them.
	StaleAfter = 6 * clock.Second
	// RetryDelay is the pause after the key-value store has refused a request.
	RetryDelay = 300 * clock.Millisecond
	// FollowInterval is after how long a watch of the records responds without any change.
	FollowInterval = 2 * clock.Second
)

// New returns the state of a node that doesn't lead. deposed is called with higher fencing tokens.
func New(mailbox actor.Mailbox, settings *settings.Settings, deposed func(epoch protocol.Epoch)) *State {
	return &State{Mailbox: mailbox, Settings: settings, Deposed: deposed}
}

// Begin forgets what was known in earlier terms.
func (s *State) Begin() {
	s.Loaded = false
	s.BegunAt = s.Now()
	s.FreshAt, s.AttestedAt = 0, 0
	s.Random = NewRandom(s.Term.Epoch)
}

// Depose stops this node from acting as leader at once, and has it look for the node that was elected.
func (s *State) Depose(elected protocol.Epoch) {
	s.Term.ValidUntil = 0
	s.Deposed(elected)
}

// Now returns the time on the monotonic clock.
func (s *State) Now() clock.Micros { return s.Mailbox.Monotonic() }

// Leads reports whether this node may act: its lease holds, and what users changed through other
// nodes is known.
func (s *State) Leads() bool {
	now := s.Now()
	return s.Term.Epoch != 0 && now < s.Term.ValidUntil && s.Loaded && now < s.FreshAt+StaleAfter
}

// AfterInTerm calls do after a delay, if this is still the same term then.
func (s *State) AfterInTerm(delay clock.Micros, do func()) {
	same := s.SameTerm()
	s.Mailbox.After(delay, func() {
		if same() {
			do()
		}
	})
}

// KnownUntil returns the time up to which every cancellation is known that any user was told of: from
// the records, or from what every node has attested.
func (s *State) KnownUntil() clock.Micros { return max(s.FreshAt, s.AttestedAt) }

// SoleLeaderUntil returns the time up to which no other node can have been elected: this node's lease held,
// or every node attested that it hadn't been.
func (s *State) SoleLeaderUntil() clock.Micros { return max(s.Term.RenewedAt, s.AttestedAt) }

// RespondsUntil returns the time until which heartbeats may be responded to. A cancellation that isn't
// known was told after KnownUntil, and a leader that isn't known was elected after SoleLeaderUntil. Before
// the records are read nothing is known at all, whoever led before: no heartbeat is responded to.
func (s *State) RespondsUntil() clock.Micros {
	if s.Term.Epoch == 0 || !s.Loaded {
		return 0
	}
	return min(s.KnownUntil(), s.SoleLeaderUntil()) + s.Settings.Deployment.Workers.RenewalWindow()
}

// MayRespond reports whether heartbeats may still be responded to, without commands other than those by
// which cancelled tasks end.
func (s *State) MayRespond() bool { return s.Now() < s.RespondsUntil() }

// ConfirmedAt returns a record's time of cancellation on this node's monotonic clock, no later than it
// was: clocks of the time of day, the record's and this node's, are off by a bounded error either way.
func (s *State) ConfirmedAt(r *jobrecord.Record) clock.Micros {
	if r.CancelledAt == 0 {
		return s.Now() // a record of an earlier version
	}
	clockError := clock.Micros(s.Settings.Deployment.ClockErrorMs * float64(clock.Millisecond))
	age := max(0, s.Mailbox.TimeOfDay()-clock.Micros(r.CancelledAt))
	return s.Now() - age - 2*clockError
}

// ActsUntil returns the time until which commands and scale-in requests may leave: without the lease
// only those by which cancelled tasks end.
func (s *State) ActsUntil() clock.Micros {
	if s.Leads() {
		return s.Term.ValidUntil
	}
	return s.RespondsUntil()
}

// NewRandom returns a source of jitter from which the same events draw the same numbers.
func NewRandom(epoch protocol.Epoch) *rand.Rand { return rand.New(rand.NewPCG(uint64(epoch), 0)) }

// DebugEnabled reports whether debug lines are logged, so that callers needn't prepare lines that
// would be thrown away.
func DebugEnabled() bool { return slog.Default().Enabled(context.Background(), slog.LevelDebug) }
