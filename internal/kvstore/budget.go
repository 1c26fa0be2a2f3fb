package kvstore

import (
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"postpoint/internal/clock"
	"postpoint/internal/settings"
	"postpoint/internal/transport"
)

// ReadPriority is the priority of an actor's reads in this process's budget.
type ReadPriority int

// The priorities of reads, the highest first.
const (
	// ReadsOfElection never wait: without a leader no task keeps its lease.
	ReadsOfElection ReadPriority = iota
	// ReadsOfLeader have the share of all requests.
	ReadsOfLeader
	// ReadsOfUsers have a smaller share, so that users' requests can't keep the leader from its records.
	ReadsOfUsers
)

// This process's shares of the store's rate limits, which apply to all controllers together. The
// leader sends most requests and any controller may lead, so each may use far more than a third. The
// store itself refuses requests beyond its limits.
const (
	requestShare  = 0.7
	userReadShare = 0.55
	changeShare   = 0.8
	// leaderChangeShare leaves about a fifth of changeShare for users' submissions and cancellations.
	leaderChangeShare = 0.65
)

// The longest waits of requests for the budget.
const (
	maxReadWait   = 300 * time.Millisecond
	maxLeaderWait = 400 * time.Millisecond
	maxUserWait   = time.Second
)

// Budget divides this process's share of the store's rate limits among its requests. Requests of a lower
// priority also have a stricter limit, so that they can't use up the share of higher priorities. The
// election's requests have no budget.
type Budget struct {
	requests, userReads    *rate.Limiter
	changes, leaderChanges *rate.Limiter
}

// NewBudget returns the budget for the store's rate limits.
func NewBudget(limits settings.KVStore) *Budget {
	return &Budget{
		requests:      newLimiter(limits.Rps, requestShare),
		userReads:     newLimiter(limits.Rps, userReadShare),
		changes:       newLimiter(limits.WriteRps, changeShare),
		leaderChanges: newLimiter(limits.WriteRps, leaderChangeShare),
	}
}

// newLimiter returns a limiter for a share of a rate, with bursts of up to one second of that rate.
func newLimiter(perSecond, share float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond*share), max(1, int(perSecond*share)))
}

// ReserveRead returns how long a read has to wait for the budget. If that is too long, it reserves nothing
// and fails with ErrThrottled.
func (b *Budget) ReserveRead(priority ReadPriority, now time.Time) (wait time.Duration, err error) {
	switch priority {
	case ReadsOfElection:
		return 0, nil
	case ReadsOfLeader:
		return reserve(now, maxLeaderWait, units{b.requests, 1})
	default:
		return reserve(now, maxReadWait, units{b.userReads, 1}, units{b.requests, 1})
	}
}

// ReserveCommit returns how long a transaction with n changes has to wait for the budget. If that is too
// long, it reserves nothing and fails with ErrThrottled.
func (b *Budget) ReserveCommit(priority Priority, n int, now time.Time) (wait time.Duration, err error) {
	switch priority {
	case PriorityElection:
		return 0, nil
	case PriorityLeader:
		return reserve(now, maxLeaderWait, units{b.leaderChanges, n}, units{b.changes, n},
			units{b.requests, 1})
	default:
		return reserve(now, maxUserWait, units{b.changes, n}, units{b.requests, 1})
	}
}

// units is a number of units of a limiter.
type units struct {
	limiter *rate.Limiter
	n       int
}

// reserve reserves units of all limiters and returns the longest of their waits. If it exceeds maxWait,
// reserve cancels all reservations and fails. It never reserves more units of a limiter than its burst.
func reserve(now time.Time, maxWait time.Duration, all ...units) (wait time.Duration, err error) {
	var reservations []*rate.Reservation
	for _, u := range all {
		r := u.limiter.ReserveN(now, min(u.n, u.limiter.Burst()))
		reservations = append(reservations, r)
		wait = max(wait, r.DelayFrom(now))
	}
	if wait <= maxWait {
		return wait, nil
	}
	for _, r := range reservations {
		r.CancelAt(now)
	}
	return 0, throttled(wait)
}

// throttled returns the error of a request that this process's own budget refused. It has the status
// with which the store refuses requests beyond its limits, because callers handle both alike.
func throttled(wait time.Duration) error {
	return &transport.Error{Kind: ErrThrottled, Status: http.StatusTooManyRequests,
		RetryAfter: clock.Micros(wait.Microseconds())}
}
