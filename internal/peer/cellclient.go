package peer

import (
	"log/slog"

	"postpoint/internal/actor"
	"postpoint/internal/delegation"
)

// maxCellAsking bounds the exchanges with other cells that are going on.
const maxCellAsking = 8

// CellClient reports to other cells on behalf of this node.
type CellClient struct {
	mailbox actor.Mailbox
	slots   chan struct{} // one for each exchange that is going on
}

// NewCellClient returns a client that answers into the given mailbox.
func NewCellClient(m actor.Mailbox) *CellClient {
	return &CellClient{m, make(chan struct{}, maxCellAsking)}
}

// Exchange sends a report to a controller of another cell. An answer that takes too long counts as
// none: what it permits would have expired by the time that it is read.
func (x *CellClient) Exchange(
	address string, r delegation.Heartbeat, done func(a delegation.HeartbeatResponse, answered bool),
) {
	select {
	case x.slots <- struct{}{}:
	default:
		done(delegation.HeartbeatResponse{}, false)
		return
	}
	go func() {
		defer func() { <-x.slots }()
		a, err := exchange(address, r)
		if err != nil {
			slog.Debug("no response from other cell", "cell", r.Origin, "address", address, "error", err)
		}
		x.mailbox.Post(func() { done(a, err == nil) })
	}()
}

func exchange(address string, r delegation.Heartbeat) (delegation.HeartbeatResponse, error) {
	payload, err := call(address, frame(append([]byte{kindExchange}, r.Encode()...)))
	if err != nil {
		return delegation.HeartbeatResponse{}, err
	}
	return delegation.DecodeHeartbeatResponse(payload)
}
