// Package term owns the state of the term in which this controller leads: the fencing token, how long
// the controller may send commands and respond to heartbeats, how recent its knowledge of the records
// is, and when the next planning step is due. Package election elects the leader, and package
// recordstore reads the records. Every component of the leader embeds State to read it.
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

// State is the term in which this controller leads and the limits that apply to its actions: until
// when it may send commands, until when it may respond to heartbeats, and how recent its knowledge
// is. Every component embeds State to read it. Only its own methods, the Leader, the reader of the
// records (Loaded, RecordsKnownUntil) and attestations (AttestedAt) change it.
type State struct {
	Mailbox  actor.Mailbox
	Settings *settings.Settings
	// Deposed is called with each fencing token that is higher than this controller's own.
	Deposed func(epoch protocol.Epoch)

	Term election.Term
	// KnownLeader is the controller to which workers are redirected, "" if none is known.
	KnownLeader string
	// Format is the progress of the controllers' upgrade, which decides what may be written.
	Format rollout.Status
	// Loaded reports that the records were read in this term.
	Loaded bool
	// BegunAt is when the term began on this controller.
	BegunAt clock.Micros
	// RecordsKnownUntil is the time up to which this controller knows all changes of the records.
	RecordsKnownUntil clock.Micros
	// AttestedAt is the time up to which this controller knows all cancellations that any controller
	// has confirmed to users, because it has asked every one of them.
	AttestedAt clock.Micros
	// committedAt is the revision of the last transaction of this term that the store has confirmed, 0 if
	// there was none.
	committedAt protocol.Revision
	// Random is seeded with the epoch, so that the same events draw the same numbers.
	Random *rand.Rand
}

const (
	// StaleAfter is the time after RecordsKnownUntil up to which a leader may still act.
	StaleAfter = 6 * clock.Second
	// RetryDelay is the delay before a retry after a request to the key-value store has failed.
	RetryDelay = 300 * clock.Millisecond
	// WatchTimeout is the time after which a watch of the records responds even if nothing has
	// changed.
	WatchTimeout = 2 * clock.Second
)

// New returns the state of a controller that doesn't lead. The state calls deposed with each fencing
// token that is higher than this controller's own.
func New(mailbox actor.Mailbox, settings *settings.Settings, deposed func(epoch protocol.Epoch)) *State {
	return &State{Mailbox: mailbox, Settings: settings, Deposed: deposed}
}

// Begin forgets the state of earlier terms.
func (s *State) Begin() {
	s.Loaded = false
	s.BegunAt = s.Now()
	s.RecordsKnownUntil, s.AttestedAt = 0, 0
	s.committedAt = 0
	s.Random = NewRandom(s.Term.Epoch)
}

// RecordCommit records that the store has committed a transaction of this term at a revision.
func (s *State) RecordCommit(revision protocol.Revision) {
	s.committedAt = max(s.committedAt, revision)
}

// LatestToken returns the highest fencing token that this controller may use in its term: the epoch or, if
// that is higher, the revision of its last transaction. Each transaction requires the leader key, so that the
// epoch of every later leader is higher. A worker that has seen a higher token rejects late copies of
// commands with a lower one.
func (s *State) LatestToken() protocol.Epoch { return max(s.Term.Epoch, protocol.Epoch(s.committedAt)) }

// Depose stops this controller from acting as leader at once. The Deposed callback then makes it look
// for the elected leader.
func (s *State) Depose(elected protocol.Epoch) {
	s.Term.ValidUntil = 0
	s.Deposed(elected)
}

// Now returns the time on the monotonic clock.
func (s *State) Now() clock.Micros { return s.Mailbox.Monotonic() }

// Leads reports whether this controller may act: its lease is valid, and it knows the changes that
// users have made through other controllers.
func (s *State) Leads() bool {
	now := s.Now()
	return s.Term.Epoch != 0 && now < s.Term.ValidUntil && s.Loaded && now < s.RecordsKnownUntil+StaleAfter
}

// AfterInTerm calls do after a delay, if the term is still the same by then.
func (s *State) AfterInTerm(delay clock.Micros, do func()) {
	same := s.SameTerm()
	s.Mailbox.After(delay, func() {
		if same() {
			do()
		}
	})
}

// CancellationsKnownUntil returns the time up to which this controller knows every cancellation that
// was confirmed to a user, from the records or from the attestations of all controllers.
func (s *State) CancellationsKnownUntil() clock.Micros { return max(s.RecordsKnownUntil, s.AttestedAt) }

// SoleLeaderUntil returns the time up to which no other controller can have been elected: this
// controller's lease was valid, or every controller attested that it hadn't been elected.
func (s *State) SoleLeaderUntil() clock.Micros { return max(s.Term.RenewedAt, s.AttestedAt) }

// RespondsUntil returns the time until which this controller may respond to heartbeats. A
// cancellation that it doesn't know was confirmed after CancellationsKnownUntil, and a leader that it
// doesn't know was elected after SoleLeaderUntil. Before it has read the records it knows nothing
// about earlier leaders, and responds to no heartbeat.
func (s *State) RespondsUntil() clock.Micros {
	if s.Term.Epoch == 0 || !s.Loaded {
		return 0
	}
	return min(s.CancellationsKnownUntil(), s.SoleLeaderUntil()) +
		s.Settings.Deployment.Workers.RenewalWindow()
}

// MayRespond reports whether this controller may still respond to heartbeats. Without the lease, its
// responses may only contain the commands that end cancelled tasks.
func (s *State) MayRespond() bool { return s.Now() < s.RespondsUntil() }

// CancellationConfirmedAt returns the time at which a record's cancellation was confirmed, on this
// controller's monotonic clock, or an earlier time. The wall clocks of the record's writer and of this
// controller each differ from the true time by a bounded error, so the function subtracts this error
// twice. For a record without the time it returns the present time.
func (s *State) CancellationConfirmedAt(r *jobrecord.Record) clock.Micros {
	// The process may be suspended between the readings of the two clocks. With the monotonic clock read
	// first, that makes the result earlier and not later.
	now := s.Now()
	if r.CancelledAt == 0 {
		return now // earlier versions didn't record the time
	}
	clockError := clock.Micros(s.Settings.Deployment.ClockErrorMs * float64(clock.Millisecond))
	age := max(0, s.Mailbox.TimeOfDay()-clock.Micros(r.CancelledAt))
	return now - age - 2*clockError
}

// ActsUntil returns the time until which this controller may send commands and scale-in requests.
// Without the lease it may only send those that end cancelled tasks.
func (s *State) ActsUntil() clock.Micros {
	if s.Leads() {
		return s.Term.ValidUntil
	}
	return s.RespondsUntil()
}

// NewRandom returns a source of jitter that is seeded with the epoch, so that the same events draw
// the same numbers.
func NewRandom(epoch protocol.Epoch) *rand.Rand { return rand.New(rand.NewPCG(uint64(epoch), 0)) }

// DebugEnabled reports whether debug messages are logged, so that callers can skip the work of
// preparing them.
func DebugEnabled() bool { return slog.Default().Enabled(context.Background(), slog.LevelDebug) }
