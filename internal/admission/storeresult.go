package admission

import (
	"errors"

	"postpoint/internal/kvstore"
)

// storeResult is what became of a request to the key-value store.
type storeResult int

const (
	storeDone        storeResult = iota // carried out
	storeNotFound                       // there is no such key
	storeConflict                       // a condition of the transaction doesn't hold
	storeRejected                       // the store refuses the request, whenever it comes
	storeBusy                           // too many requests, by the store's count or this node's own
	storeUnavailable                    // not carried out: the store doesn't serve this node
	storeUnconfirmed                    // no response: it may have been carried out, or may still be
	storeUnexpected                     // a response that makes no sense
)

// storeResultOf maps the error of a request to the store. A failure of the store's server counts as
// not carried out: if it was carried out all the same, the user's repeat finds that.
func storeResultOf(err error) storeResult {
	switch {
	case err == nil:
		return storeDone
	case errors.Is(err, kvstore.ErrNoResponse):
		return storeUnconfirmed
	case errors.Is(err, kvstore.ErrNotFound):
		return storeNotFound
	case errors.Is(err, kvstore.ErrConflict):
		return storeConflict
	case errors.Is(err, kvstore.ErrInvalid):
		return storeRejected
	case errors.Is(err, kvstore.ErrThrottled):
		return storeBusy
	case errors.Is(err, kvstore.ErrUnavailable), errors.Is(err, kvstore.ErrServerFailure):
		return storeUnavailable
	}
	return storeUnexpected
}

// served reports whether the result shows that the store serves this node. A request that was one
// too many doesn't: that may be this node's own count.
func (r storeResult) served() bool {
	switch r {
	case storeUnconfirmed, storeUnavailable, storeBusy:
		return false
	}
	return true
}
