package federation

import (
	"errors"

	"postpoint/internal/delegation"
	"postpoint/internal/kvstore"
	"postpoint/internal/leader/term"
	"postpoint/internal/protocol"
)

// NumberBlock is a range of delegation numbers that this term may use. The leader reserves the range in the
// store before it uses any number, so that no other leader ever uses the same numbers.
type NumberBlock struct {
	Next, End int64
	reserving bool
}

// empty reports whether no number is left.
func (b *NumberBlock) empty() bool { return b.Next >= b.End }

// take returns the next number.
func (b *NumberBlock) take() int64 {
	number := b.Next
	b.Next++
	return number
}

const (
	// numberBlockSize is how many numbers a leader reserves at once.
	numberBlockSize = 1000
	// firstNumber is the first number that any leader ever reserves.
	firstNumber = 1
)

// ReserveNumbers reserves a block of numbers if the present block is used up.
func (o *Origin) ReserveNumbers() {
	if o.Numbers.reserving || !o.Numbers.empty() {
		return
	}
	o.Numbers.reserving = true
	o.Store.Get(delegation.NumbersKey, term.Guarded(o.State, o.reserveNextBlock))
}

// reserveNextBlock reserves the block that follows all numbers that the store lists as reserved.
func (o *Origin) reserveNextBlock(r kvstore.Result[protocol.Item]) {
	first, known := firstFreeNumber(r)
	if !known {
		o.Numbers.reserving = false
		return
	}
	txn := o.NewTransaction()
	txn.Require(delegation.NumbersKey, r.Value.Version)
	txn.Put(delegation.NumbersKey, protocol.Encode(first+numberBlockSize))
	handle := func(r kvstore.Result[protocol.Revision]) { o.handleReservation(first, r) }
	txn.Commit(o.Store, term.Guarded(o.State, handle))
}

// firstFreeNumber returns the first number that no leader has reserved. known is false if the read failed or
// the stored value is malformed.
func firstFreeNumber(r kvstore.Result[protocol.Item]) (first int64, known bool) {
	switch {
	case r.Err == nil:
		err := protocol.Decode(r.Value.Value, &first)
		return first, err == nil
	case errors.Is(r.Err, kvstore.ErrNotFound):
		return firstNumber, true
	}
	return 0, false
}

// handleReservation starts to use the block if its reservation was committed.
func (o *Origin) handleReservation(first int64, r kvstore.Result[protocol.Revision]) {
	o.Numbers.reserving = false
	if r.Err == nil {
		o.Numbers.Next, o.Numbers.End = first, first+numberBlockSize
	}
}
