package admission

import "postpoint/internal/protocol"

// forwardToPeer forwards the request to another controller because the store is unavailable to this one.
// This controller can't distinguish that from an outage of the whole store. If it has cached the final
// status of the job, it responds itself.
func (c *call) forwardToPeer() {
	if final, ok := c.admission.finalStates[c.request.ID]; ok && c.request.Kind != Submit {
		c.finish(knownJob(final))
		return
	}
	if !c.mayForward() {
		c.fail(outcomeTryLater, reasonStoreDown)
		return
	}
	c.forwarded = true
	c.admission.forward(c.request, func(response Response, ok bool) {
		c.admission.recordPeerResult(ok)
		if !ok {
			c.fail(outcomeTryLater, reasonStoreDown)
			return
		}
		c.finish(outcome{kind: outcomeFromPeer, response: response})
	})
}

// mayForward reports whether the request may be forwarded. A request is forwarded at most once.
func (c *call) mayForward() bool {
	peersDown := c.admission.mailbox.Monotonic() < c.admission.availability.peersDownUntil
	return !c.request.Forwarded && !c.forwarded && !peersDown && !c.unknownToPeers()
}

// unknownToPeers reports whether another controller may run a version that misinterprets the request:
// versions without services classify a service as an array.
func (c *call) unknownToPeers() bool {
	if c.request.Kind != Submit || c.admission.formatOpen {
		return false
	}
	spec, err := protocol.DecodeSubmission(c.request.Body)
	return err == nil && spec.IsService()
}
