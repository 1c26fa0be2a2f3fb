package transport

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"postpoint/internal/clock"
)

// stepping is a clock that each look moves on by a second.
type stepping struct{ now clock.Micros }

func (s *stepping) Steady() clock.Micros {
	s.now += clock.Second
	return s.now
}
func (s *stepping) OfDay() clock.Micros { return s.now }

// A request on a connection of its own leaves only if it is still in time once it is
// connected, and its answer is bounded.
func TestOnceIsInTimeAndBounded(t *testing.T) {
	var asked atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		asked.Add(1)
		_, _ = w.Write([]byte(strings.Repeat("a", 100)))
	}))
	defer server.Close()
	for _, c := range []struct {
		name   string
		until  clock.Micros
		limit  int64
		status int
		asked  int32
		err    error
	}{
		{"too late at once", clock.Second, 1000, NotSent, 0, nil},
		{"too late once connected", 2 * clock.Second, 1000, NotSent, 0, nil},
		{"in time", 3 * clock.Second, 1000, http.StatusOK, 1, nil},
		{"too large an answer", 3 * clock.Second, 99, 0, 2, ErrTooLarge},
	} {
		status, body, err := Once(&stepping{}, c.until, http.MethodPost, server.URL+"/x", []byte("b"), 3*clock.Second, c.limit)
		if status != c.status || err != c.err || asked.Load() != c.asked || status == http.StatusOK && len(body) != 100 {
			t.Errorf("%s: %d, %d bytes, %v, asked %d times", c.name, status, len(body), err, asked.Load())
		}
	}
}
