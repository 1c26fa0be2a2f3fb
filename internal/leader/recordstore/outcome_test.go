package recordstore

import (
	"testing"

	"postpoint/internal/leadership"
	"postpoint/internal/protocol"
	"postpoint/internal/statestore/storetest"
)

func TestOutcomesOfTransactions(t *testing.T) {
	for name, c := range map[string]struct {
		status  int
		failed  []string
		outcome outcome
		decided bool
	}{
		"committed":             {200, nil, outcomeCommitted, true},
		"another leader":        {409, []string{"jobs/job-1", leadership.Key}, outcomeDeposed, true},
		"conflict":              {409, []string{"jobs/job-1"}, outcomeConflict, true},
		"malformed":             {400, nil, outcomeRejected, true},
		"throttled":             {429, nil, outcomeNotExecuted, true},
		"unavailable":           {503, nil, outcomeNotExecuted, false},
		"no response":           {0, nil, outcomeUnknown, false},
		"failure of the store":  {500, nil, outcomeUnknown, false},
		"failure of a gateway":  {502, nil, outcomeUnknown, false},
		"status of no meaning":  {404, nil, outcomeUnexpected, true},
		"success of no meaning": {204, nil, outcomeUnexpected, true},
	} {
		r := storetest.Reply[protocol.TxnAnswer]{Status: c.status, Value: protocol.TxnAnswer{Failed: c.failed}}
		if got := outcomeOf(r); got != c.outcome {
			t.Errorf("%s: outcome %d, want %d", name, got, c.outcome)
		}
		if got := decided(r); got != c.decided {
			t.Errorf("%s: decided %v, want %v", name, got, c.decided)
		}
	}
}
