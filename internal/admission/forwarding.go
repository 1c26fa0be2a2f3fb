package admission

import "postpoint/internal/protocol"

// forwardToPeer lets another node answer when the store doesn't serve this one: from here, an outage
// of the whole store looks the same.
func (c *call) forwardToPeer() {
	if final, ok := c.in.finalStates[c.request.ID]; ok && c.request.Kind != Submit {
		c.finish(knownJob(final))
		return
	}
	if !c.mayForward() {
		c.fail(outcomeTryLater, reasonStoreDown)
		return
	}
	c.forwarded = true
	c.in.forward(c.request, func(a Response, ok bool) {
		c.in.notePeers(ok)
		if !ok {
			c.fail(outcomeTryLater, reasonStoreDown)
			return
		}
		c.finish(outcome{kind: outcomeFromPeer, answer: a})
	})
}

// mayForward reports whether another node may answer. Requests are forwarded once.
func (c *call) mayForward() bool {
	alone := c.in.mailbox.Monotonic() < c.in.availability.peersDownUntil
	return !c.request.Forwarded && !c.forwarded && !alone && !c.unknownToPeers()
}

// unknownToPeers reports whether another node may be of a version that would take the request for
// something else: a service for an array.
func (c *call) unknownToPeers() bool {
	if c.request.Kind != Submit || c.in.formatOpen {
		return false
	}
	spec, err := protocol.DecodeSubmission(c.request.Body)
	return err == nil && spec.Service()
}
