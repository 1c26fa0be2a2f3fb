// Package election elects the one controller that may act. A node leads while it holds a key of
// the key-value store under a lease that it renews; the key's version at the election is the epoch,
// the fencing token that workers are shown and that guards every write of the leader.
//
// The package owns the leader's key and its lease. It neither places work nor writes any other
// key: it publishes the node's term, which the leader's actor acts upon, and who leads, to which
// others are redirected. It also has the transaction that only a leader can commit.
//
// A Candidate is in one of these states:
//
//	observing   reads the leader's key. Absent: campaigning. Another node's: following.
//	following   waits for the key to change, to campaign as soon as it is gone.
//	campaigning takes a lease, then claims the key under it. Claimed: leading. Otherwise: observing.
//	leading     renews the lease. Expired, or a higher epoch seen: observing.
//
// Failures of the key-value store lead back to observing after a pause. Each transition begins a new
// round, and what still arrives from an earlier round is dropped.
package election

import (
	"errors"
	"log/slog"

	"postpoint/internal/actor"
	"postpoint/internal/clock"
	"postpoint/internal/kvstore"
	"postpoint/internal/protocol"
)

// LeaderKey is the leader's key, by which every write of the leader is guarded.
const LeaderKey = "lead/controller"

// Term is a period in which this node leads, as of the last successful renewal.
type Term struct {
	Epoch protocol.Epoch
	// RenewedAt is when the last successful renewal was sent: the service counts the lease from
	// later than that.
	RenewedAt clock.Micros
	// ValidUntil is when the lease may have expired, less a margin.
	ValidUntil clock.Micros
}

// Config is what a node stands for election with.
type Config struct {
	Node string
	// Incarnation distinguishes this process from earlier ones of the same node.
	Incarnation string
	// TTL is how long the lease outlasts its last renewal.
	TTL clock.Micros
}

const (
	// retryDelay is the pause after a failure of the key-value store.
	retryDelay = 400 * clock.Millisecond
	// followTime is how long one request waits for the key to change.
	followTime = 5 * clock.Second
	// leaderStaleTime is after what time without a look at the key its holder isn't named any more.
	leaderStaleTime = followTime + 2*clock.Second
	// resignTime is for how long a node that has resigned doesn't stand again.
	resignTime = 12 * clock.Second
	// standCheckTime is the longest pause between looks at the key meanwhile.
	standCheckTime = clock.Second
	// renewalsPerTTL is how many renewals are sent in the time that a lease lasts.
	renewalsPerTTL = 5
	// checkToEffect is the time from a check of the term to its effect, as part of the margin.
	checkToEffect = 200 * clock.Millisecond
	// driftDivisor bounds the drift of monotonic clocks to a thousandth.
	driftDivisor = 1000
)

// holder is the value of the leader's key.
type holder struct {
	Node        string `msgpack:"node"`
	Incarnation string `msgpack:"incarnation"`
	// Lease is what the key is attached to: a claim that was applied late stands under a lease
	// that nobody renews any more.
	Lease protocol.LeaseID `msgpack:"lease"`
}

// Candidate is the actor by which a node takes part in elections and, once elected, keeps its
// lease. All its state belongs to its mailbox.
type Candidate struct {
	mailbox        actor.Mailbox
	store          kvstore.Store
	cfg            Config
	publishTerm    func(Term)
	announceLeader func(node string)

	// term is the present term, zero unless this node leads.
	term Term
	// lease is that of the term or of the last campaign, 0 for none.
	lease protocol.LeaseID
	// leaseSentAt is when that lease was requested.
	leaseSentAt clock.Micros
	// standAt is when this node may stand again after it has resigned.
	standAt clock.Micros
	// observedAt is when the key was last seen.
	observedAt clock.Micros
	// round counts the transitions.
	round int
}

// New returns a candidate that does nothing yet. publishTerm and announceLeader are called from
// its mailbox, on every change of the term and of who is known to lead ("" for nobody).
func New(m actor.Mailbox, s kvstore.Store, cfg Config, publishTerm func(Term),
	announceLeader func(node string)) *Candidate {
	return &Candidate{mailbox: m, store: s, cfg: cfg, publishTerm: publishTerm,
		announceLeader: announceLeader}
}

// Start begins to observe the leader's key, and to stand for election if there is no leader.
func (c *Candidate) Start() { c.mailbox.Post(c.observe) }

// ObserveEpoch tells the candidate of an epoch that a worker has seen. A higher one than its own
// ends its term.
func (c *Candidate) ObserveEpoch(epoch protocol.Epoch) {
	c.mailbox.Post(func() {
		if !c.leading() || epoch <= c.term.Epoch {
			return
		}
		slog.Info("stepping down: a higher epoch was seen", "epoch", c.term.Epoch, "seen", epoch)
		c.stepDown()
		c.observe()
	})
}

// Resign ends the term in favor of a node that may be better placed: this one hears from no
// worker. It doesn't stand again for resignTime.
func (c *Candidate) Resign() { c.mailbox.Post(c.resign) }

func (c *Candidate) resign() {
	if !c.leading() {
		return
	}
	slog.Info("resigning: no worker reaches this node", "epoch", c.term.Epoch)
	c.standAt = c.mailbox.Monotonic() + resignTime
	release := protocol.Txn{
		Conditions: []protocol.Condition{{Key: LeaderKey, Version: protocol.Revision(c.term.Epoch)}},
		Changes:    []protocol.Change{{Delete: LeaderKey}},
	}
	c.stepDown()
	// If this fails, the lease expires all the same: nobody renews it.
	c.store.Commit(kvstore.PriorityElection, release,
		func(kvstore.Result[protocol.Revision]) { c.observe() })
}

func (c *Candidate) leading() bool { return c.term.Epoch != 0 }

// stepDown ends the term at once.
func (c *Candidate) stepDown() {
	c.term, c.lease = Term{}, 0
	c.publishTerm(c.term)
	c.announceLeader("")
}

// sameRound returns a function that reports whether the present round is still under way.
func (c *Candidate) sameRound() func() bool {
	round := c.round
	return func() bool { return c.round == round }
}

// sameTerm returns a function that reports whether the present term still lasts.
func (c *Candidate) sameTerm() func() bool {
	epoch, lease := c.term.Epoch, c.lease
	return func() bool { return c.term.Epoch == epoch && c.lease == lease }
}

// resultInRound returns a callback that handles a result only in the present round.
func resultInRound[T any](c *Candidate, handle func(kvstore.Result[T])) func(kvstore.Result[T]) {
	same := c.sameRound()
	return func(r kvstore.Result[T]) {
		if same() {
			handle(r)
		}
	}
}

// observe reads the leader's key.
func (c *Candidate) observe() {
	c.round++
	c.store.Get(LeaderKey, resultInRound(c, c.observed))
}

func (c *Candidate) observed(r kvstore.Result[protocol.Item]) {
	switch {
	case r.Err == nil:
		c.observedAt = c.mailbox.Monotonic()
		c.keyFound(r.Value.Value, r.Value.Version)
	case errors.Is(r.Err, kvstore.ErrNotFound):
		c.observedAt = c.mailbox.Monotonic()
		c.keyAbsent()
	default:
		c.observationFailed()
	}
}

// observeAfter observes later, unless something else happens first.
func (c *Candidate) observeAfter(delay clock.Micros) {
	same := c.sameRound()
	c.mailbox.After(delay, func() {
		if same() {
			c.observe()
		}
	})
}

// observationFailed tries again later. A leader that hasn't been seen for a while isn't named any
// more: workers sent there could find another in its place, or nobody.
func (c *Candidate) observationFailed() {
	if !c.leading() && c.mailbox.Monotonic() > c.observedAt+leaderStaleTime {
		c.announceLeader("")
	}
	c.observeAfter(retryDelay)
}

func (c *Candidate) keyAbsent() {
	c.announceLeader("")
	c.campaign(0)
}

// keyFound handles the key's value and version as just read or followed.
func (c *Candidate) keyFound(raw []byte, version protocol.Revision) {
	var h holder
	if err := protocol.Decode(raw, &h); err != nil {
		slog.Error("leader's key is malformed", "error", err)
	}
	switch {
	case c.claimedBy(h):
		// The response to our own claim was lost.
		c.elected(protocol.Epoch(version))
	case h.Node == c.cfg.Node:
		// An earlier process of this node, or an earlier campaign of this one that was applied
		// late: nobody renews its lease, so its key can be replaced at once. Whatever is still under
		// way is guarded by the key's old version.
		c.campaign(version)
	default:
		c.announceLeader(h.Node)
		c.follow(version)
	}
}

// claimedBy reports whether the key is held by the last campaign of this process.
func (c *Candidate) claimedBy(h holder) bool {
	return h.Node == c.cfg.Node && h.Incarnation == c.cfg.Incarnation &&
		h.Lease == c.lease && c.lease != 0 && !c.leading()
}

// campaign stands for election against the given version of the key, 0 if it doesn't exist.
func (c *Candidate) campaign(version protocol.Revision) {
	c.round++
	if wait := c.standAt - c.mailbox.Monotonic(); wait > 0 {
		c.observeAfter(min(wait, standCheckTime))
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

// claimKey replaces the given version of the key under the campaign's lease.
func (c *Candidate) claimKey(version protocol.Revision) {
	lease := c.lease
	claim := protocol.Txn{
		Conditions: []protocol.Condition{{Key: LeaderKey, Version: version}},
		Changes: []protocol.Change{{Put: LeaderKey, Lease: lease,
			Value: protocol.Encode(holder{c.cfg.Node, c.cfg.Incarnation, lease})}},
	}
	c.store.Commit(kvstore.PriorityElection, claim, resultInRound(c, c.claimEnded))
}

func (c *Candidate) claimEnded(r kvstore.Result[protocol.Revision]) {
	switch {
	case r.Err == nil:
		c.elected(protocol.Epoch(r.Value))
	case errors.Is(r.Err, kvstore.ErrConflict):
		c.lease = 0
		c.observe()
	default:
		// The claim may stand: the key will tell.
		c.observeAfter(retryDelay)
	}
}

// elected begins a term.
func (c *Candidate) elected(epoch protocol.Epoch) {
	c.round++
	c.term = Term{Epoch: epoch}
	c.extendTerm(c.leaseSentAt)
	slog.Info("elected leader", "epoch", epoch)
	c.announceLeader(c.cfg.Node)
	c.renew()
}

// extendTerm counts the lease anew from when a successful request for it was sent.
func (c *Candidate) extendTerm(sent clock.Micros) {
	c.term.RenewedAt = sent
	c.term.ValidUntil = sent + c.cfg.TTL - c.margin()
	c.publishTerm(c.term)
}

// margin covers the drift of monotonic clocks and the time from a check to its effect.
func (c *Candidate) margin() clock.Micros { return checkToEffect + c.cfg.TTL/driftDivisor }

// renew sends renewals at a steady pace, whatever became of earlier ones: one that hangs must not
// cost the lease.
func (c *Candidate) renew() {
	sent, same := c.mailbox.Monotonic(), c.sameTerm()
	c.store.Renew(c.lease, func(err error) {
		if same() {
			c.renewalEnded(sent, err)
		}
	})
	c.mailbox.After(c.cfg.TTL/renewalsPerTTL, func() {
		if same() {
			c.renew()
		}
	})
}

func (c *Candidate) renewalEnded(sent clock.Micros, err error) {
	switch {
	case err == nil:
		if sent > c.term.RenewedAt {
			c.extendTerm(sent)
		}
	case errors.Is(err, kvstore.ErrLeaseNotFound):
		slog.Info("leadership lost: the lease expired", "epoch", c.term.Epoch)
		c.stepDown()
		c.observe()
	}
}

// follow waits for the key to change after a revision.
func (c *Candidate) follow(from protocol.Revision) {
	c.round++
	c.store.Follow(LeaderKey, from, followTime, resultInRound(c, c.followed))
}

// followed acts on the last change of the key, if there is one.
func (c *Candidate) followed(r kvstore.Result[protocol.WatchResponse]) {
	if r.Err != nil {
		c.observationFailed()
		return
	}
	c.observedAt = c.mailbox.Monotonic()
	for i := len(r.Value.Events) - 1; i >= 0; i-- {
		switch e := r.Value.Events[i]; LeaderKey {
		case e.Delete:
			c.keyAbsent()
			return
		case e.Put:
			c.keyFound(e.Value, e.Version)
			return
		}
	}
	c.follow(r.Value.Revision)
}
