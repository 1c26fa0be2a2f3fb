// Package leadership elects the one controller that places work: it holds a
// key under a lease of the state service, and the key's version at the
// election is the epoch that workers are shown.
package leadership

import (
	"log/slog"
	"net/http"

	"postpoint/internal/actor"
	"postpoint/internal/clock"
	"postpoint/internal/protocol"
	"postpoint/internal/statestore"
)

// Key is guarded by every write of the leader.
const Key = "lead/controller"

// Term is what this node may do, as of the last good renewal.
type Term struct {
	Epoch int64 // 0: this node does not lead
	// RenewedAt is when the last good renewal was sent: the service counts
	// the lease from later than that.
	RenewedAt clock.Micros
	// ValidUntil is when the lease may have ended, less a margin.
	ValidUntil clock.Micros
}

// Config is what a node stands for election with.
type Config struct {
	Node string
	// Incarnation tells this process from earlier ones of the same node.
	Incarnation string
	TTL         clock.Micros
}

type holder struct {
	Node        string `msgpack:"node"`
	Incarnation string `msgpack:"incarnation"`
	// Lease is what the key is attached to: a campaign that was applied late
	// stands under a lease that nobody renews any more.
	Lease int64 `msgpack:"lease"`
}

// Leadership is the actor. All its state belongs to its mailbox.
type Leadership struct {
	mailbox actor.Mailbox
	store   statestore.Store
	cfg     Config
	publish func(Term)
	named   func(leader string)

	term    Term
	lease   int64
	granted clock.Micros
	waitTo  clock.Micros // after resigning, others stand first
	seenAt  clock.Micros // when the key was last looked at with success
	round   int          // invalidates what earlier looks and campaigns still bring
}

// New makes the actor; publish and named are called from its mailbox, on every
// change of the term and of who is known to lead ("" for nobody).
func New(m actor.Mailbox, s statestore.Store, cfg Config, publish func(Term), named func(string)) *Leadership {
	return &Leadership{mailbox: m, store: s, cfg: cfg, publish: publish, named: named}
}

// Start begins to look for the leader and to stand if there is none.
func (l *Leadership) Start() { l.mailbox.Post(l.look) }

// Deposed is told when a worker has seen a higher epoch than this node's.
func (l *Leadership) Deposed(epoch int64) {
	l.mailbox.Post(func() {
		if l.term.Epoch != 0 && epoch > l.term.Epoch {
			slog.Info("stepping down, a higher epoch was seen", "epoch", l.term.Epoch, "seen", epoch)
			l.stepDown()
			l.look()
		}
	})
}

// Resign gives leadership up for a node that may be better placed: this one
// hears from no worker. It doesn't stand again for a while.
func (l *Leadership) Resign() {
	l.mailbox.Post(func() {
		if l.term.Epoch == 0 {
			return
		}
		slog.Info("resigning, no worker is heard of", "epoch", l.term.Epoch)
		l.waitTo = l.mailbox.Steady() + resignTime
		t := protocol.Txn{Guards: []protocol.Guard{{Key: Key, Version: l.term.Epoch}}, Changes: []protocol.Change{{Delete: Key}}}
		l.stepDown()
		// If this is lost, the lease ends all the same: nobody renews it.
		l.store.Commit(statestore.ForLeadership, t, func(statestore.Reply[protocol.TxnAnswer]) { l.look() })
	})
}

const (
	resignTime = 12 * clock.Second
	retryDelay = 400 * clock.Millisecond
	followTime = 5 * clock.Second
	vouchTime  = followTime + 2*clock.Second
)

// margin covers the drift of steady clocks and the time from a check to its
// effect.
func (l *Leadership) margin() clock.Micros { return 200*clock.Millisecond + l.cfg.TTL/1000 }

func (l *Leadership) stepDown() {
	l.term, l.lease = Term{}, 0
	l.publish(l.term)
	l.named("")
}

func (l *Leadership) look() {
	l.round++
	round := l.round
	l.store.Get(Key, func(r statestore.Reply[protocol.Item]) {
		if round != l.round {
			return
		}
		switch r.Status {
		case http.StatusOK:
			l.seenAt = l.mailbox.Steady()
			l.found(r.Value.Value, r.Value.Version)
		case http.StatusNotFound:
			l.seenAt = l.mailbox.Steady()
			l.named("")
			l.campaign(0)
		default:
			l.unseen()
			l.lookAfter(retryDelay)
		}
	})
}

// lookAfter looks again later, unless something else happens first.
func (l *Leadership) lookAfter(delay clock.Micros) {
	round := l.round
	l.mailbox.After(delay, func() {
		if round == l.round {
			l.look()
		}
	})
}

// unseen stops naming a leader that this node hasn't seen in office for a while:
// workers sent there could find another in its place, or nobody.
func (l *Leadership) unseen() {
	if l.term.Epoch == 0 && l.mailbox.Steady() > l.seenAt+vouchTime {
		l.named("")
	}
}

// found handles the key as just read or followed.
func (l *Leadership) found(raw []byte, version int64) {
	var h holder
	if err := protocol.Decode(raw, &h); err != nil {
		slog.Error("the leader's key is malformed", "error", err)
	}
	switch {
	case h.Node == l.cfg.Node && h.Incarnation == l.cfg.Incarnation && h.Lease == l.lease && l.lease != 0 && l.term.Epoch == 0:
		// Our own election whose answer was lost.
		l.elected(version)
	case h.Node == l.cfg.Node:
		// An earlier process of this node, or an earlier campaign of this one that
		// was applied late: nobody renews its lease, so its key can be replaced at
		// once. Whatever is still under way is guarded by the key's old version.
		l.campaign(version)
	default:
		l.named(h.Node)
		l.follow(version)
	}
}

func (l *Leadership) campaign(version int64) {
	l.round++
	round := l.round
	if wait := l.waitTo - l.mailbox.Steady(); wait > 0 {
		l.lookAfter(min(wait, clock.Second))
		return
	}
	sent := l.mailbox.Steady()
	l.store.Grant(l.cfg.TTL, func(r statestore.Reply[protocol.LeaseAnswer]) {
		if round != l.round {
			return
		}
		if r.Status != http.StatusOK {
			l.lookAfter(retryDelay)
			return
		}
		l.lease, l.granted = r.Value.Lease, sent
		t := protocol.Txn{
			Guards: []protocol.Guard{{Key: Key, Version: version}},
			Changes: []protocol.Change{{Put: Key, Lease: l.lease,
				Value: protocol.Encode(holder{l.cfg.Node, l.cfg.Incarnation, l.lease})}},
		}
		l.store.Commit(statestore.ForLeadership, t, func(r statestore.Reply[protocol.TxnAnswer]) {
			if round != l.round {
				return
			}
			switch r.Status {
			case http.StatusOK:
				l.elected(r.Value.Revision)
			case http.StatusConflict:
				l.lease = 0
				l.look()
			default:
				l.lookAfter(retryDelay)
			}
		})
	})
}

func (l *Leadership) elected(epoch int64) {
	l.round++
	l.term = Term{Epoch: epoch}
	l.renewed(l.granted)
	slog.Info("elected", "epoch", epoch)
	l.named(l.cfg.Node)
	l.renew(epoch)
}

func (l *Leadership) renewed(sent clock.Micros) {
	l.term.RenewedAt = sent
	l.term.ValidUntil = sent + l.cfg.TTL - l.margin()
	l.publish(l.term)
}

// renew sends renewals at a steady pace, whatever became of earlier ones: one
// that hangs must not cost the lease.
func (l *Leadership) renew(epoch int64) {
	if l.term.Epoch != epoch {
		return
	}
	sent := l.mailbox.Steady()
	lease := l.lease
	l.store.Renew(lease, func(r statestore.Reply[protocol.LeaseAnswer]) {
		if l.term.Epoch != epoch || l.lease != lease {
			return
		}
		switch r.Status {
		case http.StatusOK:
			if sent > l.term.RenewedAt {
				l.renewed(sent)
			}
		case http.StatusNotFound:
			slog.Info("the lease ended, no longer leading", "epoch", epoch)
			l.stepDown()
			l.look()
		}
	})
	l.mailbox.After(l.cfg.TTL/5, func() { l.renew(epoch) })
}

// follow waits for the key to change, to stand as soon as it is gone.
func (l *Leadership) follow(from int64) {
	l.round++
	round := l.round
	l.store.Follow(Key, from, followTime, func(r statestore.Reply[protocol.FollowAnswer]) {
		if round != l.round {
			return
		}
		if r.Status != http.StatusOK {
			l.unseen()
			l.lookAfter(retryDelay)
			return
		}
		l.seenAt = l.mailbox.Steady()
		for i := len(r.Value.Events) - 1; i >= 0; i-- {
			switch e := r.Value.Events[i]; Key {
			case e.Delete:
				l.named("")
				l.campaign(0)
				return
			case e.Put:
				l.found(e.Value, e.Version)
				return
			}
		}
		l.follow(r.Value.Revision)
	})
}
