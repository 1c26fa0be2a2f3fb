package autoscaler

import (
	"errors"
	"net/http"
	"testing"

	"postpoint/internal/protocol"
	"postpoint/internal/transport"
)

func TestFailureOfStatus(t *testing.T) {
	for _, c := range []struct {
		name   string
		status int
		reason string
		want   error
	}{
		{"success", http.StatusOK, "", nil},
		{"no response", 0, "", errNoResponse},
		{"never sent", transport.NotSent, "", errRefused},
		{"no capacity", http.StatusServiceUnavailable, protocol.NoCapacity, errNoCapacity},
		{"unavailable", http.StatusServiceUnavailable, "", errRefused},
		{"unavailable for another reason", http.StatusServiceUnavailable, "maintenance", errRefused},
		{"no capacity under another status", http.StatusBadRequest, protocol.NoCapacity, errRefused},
		{"throttled", http.StatusTooManyRequests, "", errRefused},
		{"server failure", http.StatusInternalServerError, "", errRefused},
	} {
		if got := failureOf(c.status, c.reason); !errors.Is(got, c.want) {
			t.Errorf("%s: failure %v, want %v", c.name, got, c.want)
		}
	}
}

func TestRefusalNamesStatusAndReason(t *testing.T) {
	for _, c := range []struct{ reason, want string }{
		{"", "refused (status 400)"},
		{"no such type", "refused (status 400): no such type"},
	} {
		if got := failureOf(http.StatusBadRequest, c.reason); got == nil || got.Error() != c.want {
			t.Errorf("reason %q: failure %v, want %q", c.reason, got, c.want)
		}
	}
}
