package election

import (
	"errors"
	"log/slog"

	"postpoint/internal/clock"
	"postpoint/internal/kvstore"
	"postpoint/internal/protocol"
)

// becomeLeader begins a term and starts the renewals.
func (c *Candidate) becomeLeader(epoch protocol.Epoch) {
	c.round++
	c.term = Term{Epoch: epoch}
	c.extendTerm(c.leaseSentAt)
	slog.Info("elected leader", "epoch", epoch)
	c.announceLeader(c.cfg.Node)
	c.renew()
}

// extendTerm computes the term's end from the time at which the controller sent a successful request.
func (c *Candidate) extendTerm(sent clock.Micros) {
	c.term.RenewedAt = sent
	c.term.ValidUntil = sent + c.cfg.TTL - c.expiryMargin()
	c.publishTerm(c.term)
}

// expiryMargin covers the drift of monotonic clocks and the time between a check of the term and its effect.
func (c *Candidate) expiryMargin() clock.Micros {
	return maxCheckToEffect + c.cfg.TTL/clockDriftDivisor
}

// renew sends a renewal and schedules the next one without waiting for the response: a renewal that
// hangs must not let the lease expire.
func (c *Candidate) renew() {
	same := c.sameTerm()
	c.sendRenewal()
	c.mailbox.After(c.cfg.TTL/renewalsPerTTL, func() {
		if same() {
			c.renew()
		}
	})
}

// sendRenewal sends one renewal.
func (c *Candidate) sendRenewal() {
	sent, same := c.mailbox.Monotonic(), c.sameTerm()
	c.store.Renew(c.lease, func(err error) {
		if same() {
			c.handleRenewalResult(sent, err)
		}
	})
}

// retryRenewal retries a renewal soon, unless a retry is due already.
func (c *Candidate) retryRenewal() {
	if c.retryingRenewal {
		return
	}
	c.retryingRenewal = true
	same := c.sameTerm()
	c.mailbox.After(renewalRetryDelay, func() {
		c.retryingRenewal = false
		if same() {
			c.sendRenewal()
		}
	})
}

// handleRenewalResult handles the result of a renewal. Only an expired lease ends the term; after any
// other failure the next renewal follows, very soon if the store only serves too many requests at
// present.
func (c *Candidate) handleRenewalResult(sent clock.Micros, err error) {
	switch {
	case err == nil:
		if sent > c.term.RenewedAt {
			c.extendTerm(sent)
		}
	case errors.Is(err, kvstore.ErrThrottled):
		c.retryRenewal()
	case errors.Is(err, kvstore.ErrLeaseNotFound):
		slog.Info("leadership lost: the lease expired", "epoch", c.term.Epoch)
		c.stepDown()
		c.observe()
	}
}
