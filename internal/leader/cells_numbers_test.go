package leader

import (
	"net/http"
	"testing"

	"postpoint/internal/delegation"
	"postpoint/internal/protocol"
)

// The leader reserves a block of delegation numbers in the store before it uses any of them. Otherwise
// two leaders could use the same number for different delegations.
func TestNumbersAreReservedBeforeUse(t *testing.T) {
	l, store, _ := cellLeader(t)
	found := protocol.Item{Value: protocol.Encode(int64(4001)), Version: 9}
	useStore(l, &singleKeyStore{store, found, http.StatusOK})
	l.origin.ReserveNumbers()
	if l.origin.Numbers.Next != 0 {
		t.Fatalf("got numbers %+v before they are reserved, want none", l.origin.Numbers)
	}
	if len(store.txns) != 1 || !requires(store.txns[0], delegation.NumbersKey, 9) {
		t.Fatalf("got %+v, want one transaction on version 9 of the numbers", store.txns)
	}
	store.respond(committedAt(0))
	if l.origin.Numbers.Next != 4001 || l.origin.Numbers.End != 5001 {
		t.Fatalf("got numbers %+v, want 4001 up to 5001", l.origin.Numbers)
	}
}
