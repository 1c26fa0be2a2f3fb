package kvstore

import (
	"errors"
	"io"
	"net/http"
	"testing"

	"postpoint/internal/protocol"
	"postpoint/internal/transport"
)

// outcome returns the error of a response, or of a request without one for status 0.
func outcome(op Operation, status int) error {
	if status == 0 {
		return transport.NoResponse(io.ErrUnexpectedEOF)
	}
	return ResponseError(op, status, protocol.TxnResponse{})
}

// Every status and every operation yields an error from which callers can derive what they need to know
// about the response: each predicate on the error equals a predicate on the status.
func TestErrorsTellApartEveryStatus(t *testing.T) {
	type test struct {
		name   string
		status func(status int) bool
		err    func(error) bool
	}
	is := func(target error) func(error) bool {
		return func(err error) bool { return errors.Is(err, target) }
	}
	tests := []test{
		{"success", func(s int) bool { return s == http.StatusOK },
			func(err error) bool { return err == nil }},
		{"invalid", func(s int) bool { return s == http.StatusBadRequest }, is(ErrInvalid)},
		{"throttled", func(s int) bool { return s == http.StatusTooManyRequests }, is(ErrThrottled)},
		{"no response", func(s int) bool { return s == 0 }, is(ErrNoResponse)},
		{"not executed", func(s int) bool {
			return s == http.StatusTooManyRequests || s == http.StatusServiceUnavailable
		}, NotExecuted},
		{"outcome unknown", func(s int) bool {
			return s == 0 || s >= http.StatusInternalServerError && s != http.StatusServiceUnavailable
		}, OutcomeUnknown},
		{"outcome known", func(s int) bool { return s != 0 && s < http.StatusInternalServerError },
			func(err error) bool { return !OutcomeUnknown(err) && !errors.Is(err, ErrUnavailable) }},
		{"not served", func(s int) bool {
			return s == 0 || s == http.StatusTooManyRequests || s >= http.StatusInternalServerError
		}, NotServed},
	}
	ofOperation := map[Operation]test{
		OpGet:    {"not found", func(s int) bool { return s == http.StatusNotFound }, is(ErrNotFound)},
		OpCommit: {"conflict", func(s int) bool { return s == http.StatusConflict }, is(ErrConflict)},
		OpWatch:  {"compacted", func(s int) bool { return s == http.StatusGone }, is(ErrCompacted)},
		OpRenew: {"lease not found", func(s int) bool { return s == http.StatusNotFound },
			is(ErrLeaseNotFound)},
	}
	for op := OpGet; op <= OpRenew; op++ {
		all := tests
		if own, ok := ofOperation[op]; ok {
			all = append([]test{own}, tests...)
		}
		for status := range 1000 {
			err := outcome(op, status)
			for _, x := range all {
				if got, want := x.err(err), x.status(status); got != want {
					t.Errorf("operation %d, status %d, %q: %v by the error %v, expected %v", op, status,
						x.name, got, err, want)
				}
			}
			if got := responseStatus(err); got != status {
				t.Errorf("operation %d: status %d of error %v, expected %d", op, got, err, status)
			}
		}
	}
}
