package cloudclient

import (
	"errors"
	"net/http"
	"testing"

	"postpoint/internal/protocol"
)

// Guards against a status and reason that map to the wrong error.
func TestFailureOfStatus(t *testing.T) {
	for _, c := range []struct {
		name   string
		status int
		reason string
		want   error
	}{
		{"success", http.StatusOK, "", nil},
		{"no capacity", http.StatusServiceUnavailable, protocol.NoCapacity, ErrNoCapacity},
		{"unavailable", http.StatusServiceUnavailable, "", ErrUnavailable},
		{"unavailable for another reason", http.StatusServiceUnavailable, "maintenance", ErrUnavailable},
		{"no capacity under another status", http.StatusBadRequest, protocol.NoCapacity, ErrInvalid},
		{"throttled", http.StatusTooManyRequests, "", ErrThrottled},
		{"server failure", http.StatusInternalServerError, "", ErrServerFailure},
	} {
		if got := Failure(c.status, c.reason); !errors.Is(got, c.want) {
			t.Errorf("%s: failure %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against an error text without the status or the reason of the cloud.
func TestRejectionNamesStatusAndReason(t *testing.T) {
	for _, c := range []struct{ reason, want string }{
		{"", "request refused as malformed or too large (HTTP status 400)"},
		{"no such type", "request refused as malformed or too large (HTTP status 400): no such type"},
	} {
		if got := Failure(http.StatusBadRequest, c.reason); got == nil || got.Error() != c.want {
			t.Errorf("reason %q: failure %v, want %q", c.reason, got, c.want)
		}
	}
}
