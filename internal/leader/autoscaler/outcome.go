package autoscaler

import (
	"errors"
	"fmt"
	"net/http"

	"postpoint/internal/protocol"
)

// The failures of requests to the cloud that are treated in different ways.
var (
	// errNoResponse is a request without a usable response: it may have been carried out, or may be
	// carried out later.
	errNoResponse = errors.New("no usable response")
	// errNoCapacity is a scale-out of a pool that has no machines left.
	errNoCapacity = errors.New("no capacity")
	// errRefused is a request that wasn't carried out for any other reason, one that never left
	// included.
	errRefused = errors.New("refused")
)

// statusNoResponse is the cloud client's status of a request without a usable response.
const statusNoResponse = 0

// failureOf returns the failure that a response of the cloud stands for, nil for success. reason is
// the cloud's own explanation, if it gave one. Nothing else in this package knows statuses.
func failureOf(status int, reason string) error {
	switch {
	case status == http.StatusOK:
		return nil
	case status == statusNoResponse:
		return errNoResponse
	case status == http.StatusServiceUnavailable && reason == protocol.NoCapacity:
		return errNoCapacity
	case reason == "":
		return fmt.Errorf("%w (status %d)", errRefused, status)
	}
	return fmt.Errorf("%w (status %d): %s", errRefused, status, reason)
}
