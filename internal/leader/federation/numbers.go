package federation

import (
	"errors"

	"postpoint/internal/delegation"
	"postpoint/internal/kvstore"
	"postpoint/internal/leader/term"
	"postpoint/internal/protocol"
)

// NumberBlock is the numbers of delegations that this term may use. They are reserved in the store before
// they are used, so that no other leader ever uses them.
type NumberBlock struct {
	Next, End int64
	reserving bool
}

// empty reports whether there is no number left.
func (b *NumberBlock) empty() bool { return b.Next >= b.End }

// take returns the next number.
func (b *NumberBlock) take() int64 {
	number := b.Next
	b.Next++
	return number
}

const (
	// numberBlockSize is how many numbers a leader reserves at a time.
	numberBlockSize = 1000
	// firstNumber is the first one that is ever reserved.
	firstNumber = 1
)

// ReserveNumbers reserves a block of numbers once the last one is used up.
func (o *Origin) ReserveNumbers() {
	if o.Numbers.reserving || !o.Numbers.empty() {
		return
	}
	o.Numbers.reserving = true
	o.Store.Get(delegation.NumbersKey, term.Guarded(o.State, o.reserveFrom))
}

// reserveFrom reserves the block after what the store has as reserved.
func (o *Origin) reserveFrom(r kvstore.Result[protocol.Item]) {
	first, known := firstFreeNumber(r)
	if !known {
		o.Numbers.reserving = false
		return
	}
	t := o.NewTransaction()
	t.Require(delegation.NumbersKey, r.Value.Version)
	t.Put(delegation.NumbersKey, protocol.Encode(first+numberBlockSize))
	handle := func(r kvstore.Result[protocol.Revision]) { o.handleReservation(first, r) }
	t.Commit(o.Store, term.Guarded(o.State, handle))
}

// firstFreeNumber returns the first number that no leader has reserved. known is false if the store didn't
// say.
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

// handleReservation takes the block if it was reserved.
func (o *Origin) handleReservation(first int64, r kvstore.Result[protocol.Revision]) {
	o.Numbers.reserving = false
	if r.Err == nil {
		o.Numbers.Next, o.Numbers.End = first, first+numberBlockSize
	}
}
