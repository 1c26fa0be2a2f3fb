package peer

import (
	"log/slog"

	"postpoint/internal/actor"
	"postpoint/internal/delegation"
)

// maxOutgoingExchanges bounds the concurrent exchanges that this controller starts with other cells.
const maxOutgoingExchanges = 8

// CellClient sends the heartbeats of this controller to other cells.
type CellClient struct {
	mailbox actor.Mailbox
	slots   chan struct{} // holds one element for each exchange in progress
}

// NewCellClient returns a client that posts responses to the given mailbox.
func NewCellClient(m actor.Mailbox) *CellClient {
	return &CellClient{m, make(chan struct{}, maxOutgoingExchanges)}
}

// Exchange sends a heartbeat to a controller of another cell. A response that arrives after the timeout
// counts as missing, because the permission in it would have expired before this controller uses it. If
// maxOutgoingExchanges are already in progress, Exchange fails at once.
func (c *CellClient) Exchange(
	address string, heartbeat delegation.Heartbeat,
	done func(response delegation.HeartbeatResponse, responded bool),
) {
	select {
	case c.slots <- struct{}{}:
	default:
		done(delegation.HeartbeatResponse{}, false)
		return
	}
	go func() {
		defer func() { <-c.slots }()
		response, err := exchange(address, heartbeat)
		if err != nil {
			slog.Debug("no response from other cell", "cell", heartbeat.Origin, "address", address,
				"error", err)
		}
		c.mailbox.Post(func() { done(response, err == nil) })
	}()
}

// exchange sends a heartbeat and decodes the response.
func exchange(address string, heartbeat delegation.Heartbeat) (delegation.HeartbeatResponse, error) {
	payload, err := call(address, frame(append([]byte{kindExchange}, heartbeat.Encode()...)))
	if err != nil {
		return delegation.HeartbeatResponse{}, err
	}
	return delegation.DecodeHeartbeatResponse(payload)
}
