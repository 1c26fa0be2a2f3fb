package admission

import (
	"errors"

	"postpoint/internal/kvstore"
)

// storeResult is the outcome of a request to the key-value store.
type storeResult int

const (
	storeDone        storeResult = iota // carried out
	storeNotFound                       // there is no such key
	storeConflict                       // a condition of the transaction doesn't hold
	storeRejected                       // the store rejects the request, and would reject any retry
	storeBusy                           // throttled by the store or by this controller's own rate limit
	storeUnavailable                    // not carried out: the store is unavailable to this controller
	storeUnconfirmed                    // outcome unknown: it may have been carried out, or may still be
	storeUnexpected                     // a response that has no meaning in the protocol
)

// storeResultOf classifies the error of a request to the store. A server failure counts as not carried
// out: if the store carried the request out nevertheless, the user's retry finds the result.
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

// showsAvailable reports whether the result shows that the store is available to this controller. A throttled
// request shows nothing, because the limit may be this controller's own.
func (r storeResult) showsAvailable() bool {
	switch r {
	case storeUnconfirmed, storeUnavailable, storeBusy:
		return false
	}
	return true
}
