// Package election elects the leader among the controllers. A controller leads while it holds a key of
// the key-value store under a lease that it renews. The key's version at the election is the epoch, a
// fencing token: the leader sends it to workers, and every write of the leader requires that version.
//
// The package owns the leader's key and its lease. It neither places tasks nor writes any other key.
// It publishes this controller's term, on which the leader's actor acts, and the name of the present
// leader, to which the followers redirect requests. It also provides the transaction that only a
// leader can commit.
//
// A Candidate is in one of these states:
//
//	observing   reads the leader's key. Absent: campaigning. Held by another controller: following.
//	following   waits for the key to change. Deleted: campaigning.
//	campaigning requests a lease, then claims the key under it. Claimed: leading. Otherwise: observing.
//	leading     renews the lease. Expired, or a higher epoch observed: observing.
//
// After a failure of the key-value store the candidate observes again after retryDelay. Each transition
// begins a new round, and the candidate drops results of earlier rounds.
package election

import (
	"errors"
	"log/slog"

	"postpoint/internal/actor"
	"postpoint/internal/clock"
	"postpoint/internal/kvstore"
	"postpoint/internal/protocol"
)

// LeaderKey is the leader's key. Every transaction of the leader requires that it is unchanged.
const LeaderKey = "lead/controller"

// Term is a period in which this controller leads, as of the last successful renewal.
type Term struct {
	Epoch protocol.Epoch
	// RenewedAt is when this controller sent the last successful renewal or, before the first one, the
	// request for the lease. The store received it later, so the lease lasts at least TTL from RenewedAt.
	RenewedAt clock.Micros
	// ValidUntil is the earliest time at which the lease can expire, less a safety margin.
	ValidUntil clock.Micros
}

// Config identifies a candidate and sets the lease's time to live.
type Config struct {
	// Node is the name of this controller.
	Node string
	// Incarnation distinguishes this process from earlier ones of the same controller.
	Incarnation string
	// TTL is the lease's time to live after its last renewal.
	TTL clock.Micros
}

const (
	// retryDelay is the delay before a retry after a failure of the key-value store.
	retryDelay = 400 * clock.Millisecond
	// followTimeout is how long one request waits for the key to change.
	followTimeout = 5 * clock.Second
	// leaderStaleAfter is the time since the last successful read of the key after which the candidate
	// no longer announces its holder.
	leaderStaleAfter = followTimeout + 2*clock.Second
	// resignPause is how long a controller doesn't campaign after it has resigned.
	resignPause = 12 * clock.Second
	// resignedPollInterval is the longest pause between reads of the key during resignPause.
	resignedPollInterval = clock.Second
	// renewalsPerTTL is the number of renewals that the leader sends within one TTL, apart from retries.
	renewalsPerTTL = 5
	// renewalRetryDelay is the delay before the retry of a renewal that the store refused for its rate
	// limit, which has room again within some milliseconds.
	renewalRetryDelay = 100 * clock.Millisecond
	// maxCheckToEffect is the part of the margin for the time between a check of the term and the effect
	// of the checked action.
	maxCheckToEffect = 200 * clock.Millisecond
	// clockDriftDivisor is the inverse of the highest assumed drift of monotonic clocks, a thousandth.
	clockDriftDivisor = 1000
)

// holder is the value of the leader's key.
type holder struct {
	Node        string `msgpack:"node"`
	Incarnation string `msgpack:"incarnation"`
	// Lease is the lease to which the key is attached. By it a controller detects that the store
	// applied one of its claims late, under a lease that the controller no longer renews.
	Lease protocol.LeaseID `msgpack:"lease"`
}

// Candidate is the actor that campaigns for this controller and, once elected, renews the lease. Only
// messages of its mailbox access its state.
type Candidate struct {
	mailbox        actor.Mailbox
	store          kvstore.Store
	cfg            Config
	publishTerm    func(Term)
	announceLeader func(leader string)

	// term is the current term, zero unless this controller leads.
	term Term
	// lease is the lease of the term or of the last campaign, 0 for none.
	lease protocol.LeaseID
	// leaseSentAt is when the candidate requested that lease.
	leaseSentAt clock.Micros
	// campaignNotBefore is the earliest time of the next campaign after a resignation.
	campaignNotBefore clock.Micros
	// observedAt is when the candidate last read the key, or found it absent.
	observedAt clock.Micros
	// round counts the transitions between states.
	round int
	// retryingRenewal reports that a refused renewal is about to be retried.
	retryingRenewal bool
}

// New returns a candidate that does nothing until Start. From its mailbox it calls publishTerm with
// every change of the term, and announceLeader with the name of the known leader ("" for none) when
// that may have changed.
func New(m actor.Mailbox, s kvstore.Store, cfg Config, publishTerm func(Term),
	announceLeader func(leader string)) *Candidate {
	return &Candidate{mailbox: m, store: s, cfg: cfg, publishTerm: publishTerm,
		announceLeader: announceLeader}
}

// Start begins to observe the leader's key. The candidate campaigns if there is no leader.
func (c *Candidate) Start() { c.mailbox.Post(c.observe) }

// ObserveEpoch reports an epoch that a worker has received. If it is higher than the candidate's own,
// the candidate steps down.
func (c *Candidate) ObserveEpoch(epoch protocol.Epoch) {
	c.mailbox.Post(func() {
		if !c.isLeader() || epoch <= c.term.Epoch {
			return
		}
		slog.Info("stepping down: a higher epoch was seen", "epoch", c.term.Epoch, "seen", epoch)
		c.stepDown()
		c.observe()
	})
}

// Resign ends the term because no worker reaches this controller, so that a controller that workers
// can reach may lead. This controller doesn't campaign for resignPause.
func (c *Candidate) Resign() { c.mailbox.Post(c.resign) }

// resign steps down, delays the next campaign and deletes the leader's key.
func (c *Candidate) resign() {
	if !c.isLeader() {
		return
	}
	slog.Info("resigning: no worker reaches this controller", "epoch", c.term.Epoch)
	c.campaignNotBefore = c.mailbox.Monotonic() + resignPause
	release := protocol.Txn{
		Conditions: []protocol.Condition{{Key: LeaderKey, Version: protocol.Revision(c.term.Epoch)}},
		Changes:    []protocol.Change{{Delete: LeaderKey}},
	}
	c.stepDown()
	// If the commit fails, the lease still expires, because nobody renews it.
	c.store.Commit(kvstore.PriorityElection, release,
		func(kvstore.Result[protocol.Revision]) { c.observe() })
}

func (c *Candidate) isLeader() bool { return c.term.Epoch != 0 }

// stepDown ends the term immediately.
func (c *Candidate) stepDown() {
	c.term, c.lease = Term{}, 0
	c.publishTerm(c.term)
	c.announceLeader("")
}

// sameRound returns a function that reports whether the round is still the one at this call.
func (c *Candidate) sameRound() func() bool {
	round := c.round
	return func() bool { return c.round == round }
}

// sameTerm returns a function that reports whether the term is still the one at this call.
func (c *Candidate) sameTerm() func() bool {
	epoch, lease := c.term.Epoch, c.lease
	return func() bool { return c.term.Epoch == epoch && c.lease == lease }
}

// resultInRound returns a callback that handles a result, or drops it if a new round has begun.
func resultInRound[T any](c *Candidate, handle func(kvstore.Result[T])) func(kvstore.Result[T]) {
	same := c.sameRound()
	return func(r kvstore.Result[T]) {
		if same() {
			handle(r)
		}
	}
}

// observe begins a round and reads the leader's key.
func (c *Candidate) observe() {
	c.round++
	c.store.Get(LeaderKey, resultInRound(c, c.handleObservation))
}

// handleObservation handles the result of a read of the leader's key.
func (c *Candidate) handleObservation(r kvstore.Result[protocol.Item]) {
	switch {
	case r.Err == nil:
		c.observedAt = c.mailbox.Monotonic()
		c.handleKeyFound(r.Value.Value, r.Value.Version)
	case errors.Is(r.Err, kvstore.ErrNotFound):
		c.observedAt = c.mailbox.Monotonic()
		c.handleKeyAbsent()
	default:
		c.handleObservationFailure()
	}
}

// observeAfter observes after a delay, unless a new round begins before.
func (c *Candidate) observeAfter(delay clock.Micros) {
	same := c.sameRound()
	c.mailbox.After(delay, func() {
		if same() {
			c.observe()
		}
	})
}

// handleObservationFailure observes again after retryDelay. After leaderStaleAfter the candidate no longer
// announces the last known leader: workers redirected to it could find that it no longer leads.
func (c *Candidate) handleObservationFailure() {
	if !c.isLeader() && c.mailbox.Monotonic() > c.observedAt+leaderStaleAfter {
		c.announceLeader("")
	}
	c.observeAfter(retryDelay)
}

// handleKeyAbsent announces that there is no leader and campaigns.
func (c *Candidate) handleKeyAbsent() {
	c.announceLeader("")
	c.campaign(0)
}

// handleKeyFound handles a value and version of the key that a read or a watch returned.
func (c *Candidate) handleKeyFound(raw []byte, version protocol.Revision) {
	var h holder
	if err := protocol.Decode(raw, &h); err != nil {
		slog.Error("leader's key is malformed", "error", err)
	}
	switch {
	case c.isOwnClaim(h):
		// The store applied this campaign's claim, but the response was lost.
		c.becomeLeader(protocol.Epoch(version))
	case h.Node == c.cfg.Node:
		// An earlier process of this controller holds the key, or an earlier campaign of this process
		// whose claim the store applied late. Nobody renews that lease, so this controller can replace
		// the key at once. Transactions still in flight fail, because they require the key's old version.
		c.campaign(version)
	default:
		c.announceLeader(h.Node)
		c.follow(version)
	}
}

// isOwnClaim reports whether a holder is the last campaign of this process.
func (c *Candidate) isOwnClaim(h holder) bool {
	return h.Node == c.cfg.Node && h.Incarnation == c.cfg.Incarnation &&
		h.Lease == c.lease && c.lease != 0 && !c.isLeader()
}

// campaign requests a lease and then claims the key, which must have the given version, 0 if absent.
func (c *Candidate) campaign(version protocol.Revision) {
	c.round++
	if wait := c.campaignNotBefore - c.mailbox.Monotonic(); wait > 0 {
		c.observeAfter(min(wait, resignedPollInterval))
		return
	}
	sent := c.mailbox.Monotonic()
	c.store.Grant(c.cfg.TTL, resultInRound(c, func(r kvstore.Result[protocol.LeaseID]) {
		if r.Err != nil {
			c.observeAfter(retryDelay)
			return
		}
		c.lease, c.leaseSentAt = r.Value, sent
		c.claimKey(version)
	}))
}

// claimKey puts the key under the campaign's lease if the key still has the given version.
func (c *Candidate) claimKey(version protocol.Revision) {
	lease := c.lease
	claim := protocol.Txn{
		Conditions: []protocol.Condition{{Key: LeaderKey, Version: version}},
		Changes: []protocol.Change{{Put: LeaderKey, Lease: lease,
			Value: protocol.Encode(holder{c.cfg.Node, c.cfg.Incarnation, lease})}},
	}
	c.store.Commit(kvstore.PriorityElection, claim, resultInRound(c, c.handleClaimResult))
}

// handleClaimResult handles the result of a claim.
func (c *Candidate) handleClaimResult(r kvstore.Result[protocol.Revision]) {
	switch {
	case r.Err == nil:
		c.becomeLeader(protocol.Epoch(r.Value))
	case errors.Is(r.Err, kvstore.ErrConflict):
		c.lease = 0
		c.observe()
	default:
		// The outcome is unknown, or the store didn't execute the claim: read the key to find out.
		c.observeAfter(retryDelay)
	}
}

// follow begins a round and waits for changes of the key after a revision.
func (c *Candidate) follow(from protocol.Revision) {
	c.round++
	c.store.Watch(LeaderKey, from, followTimeout, resultInRound(c, c.handleChanges))
}

// handleChanges handles the last change of the key, or follows again if there is none.
func (c *Candidate) handleChanges(r kvstore.Result[protocol.WatchResponse]) {
	if r.Err != nil {
		c.handleObservationFailure()
		return
	}
	c.observedAt = c.mailbox.Monotonic()
	for i := len(r.Value.Events) - 1; i >= 0; i-- {
		switch e := r.Value.Events[i]; LeaderKey {
		case e.Delete:
			c.handleKeyAbsent()
			return
		case e.Put:
			c.handleKeyFound(e.Value, e.Version)
			return
		}
	}
	c.follow(r.Value.Revision)
}
