package intake

import "net/http"

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

// storeResultOf maps the status of a response of the store, 0 if there was none.
func storeResultOf(status int) storeResult {
	switch {
	case status == 0:
		return storeUnconfirmed
	case status == http.StatusOK:
		return storeDone
	case status == http.StatusNotFound:
		return storeNotFound
	case status == http.StatusConflict:
		return storeConflict
	case status == http.StatusBadRequest:
		return storeRejected
	case status == http.StatusTooManyRequests:
		return storeBusy
	case status >= http.StatusInternalServerError:
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
