package autoscaler

import (
	"errors"
	"fmt"
	"log/slog"
	"time"

	"golang.org/x/time/rate"

	"postpoint/internal/clock"
	"postpoint/internal/cloudclient"
	"postpoint/internal/leader/term"
	"postpoint/internal/planner"
	"postpoint/internal/protocol"
	"postpoint/internal/scaling"
)

const (
	// scaleOutShare is the share of the cloud's request rate that scale-outs may use. The rest is left for
	// scale-ins and listings.
	scaleOutShare = 0.5
	// maxScaleOutAttempts bounds how often the autoscaler sends a request that gets no response, and
	// scaleOutRetryDelay is the delay between two attempts.
	maxScaleOutAttempts = 4
	scaleOutRetryDelay  = clock.Second
)

// scaleOutState is the state of scale-out requests within a term.
type scaleOutState struct {
	// requests counts the requests of the term. The idempotency keys contain this count.
	requests int
	// inFlight counts the requests whose outcome isn't known yet.
	inFlight int
	// exhausted holds the capacity pools that have run out of machines, with the backoff of each. An entry
	// stays after its backoff has ended, so that the next refusal doubles the backoff.
	exhausted map[scaling.CapacityPool]capacityBackoff
	limiter   *rate.Limiter
}

// newScaleOutState returns the state at the beginning of a term, for a cloud that accepts the given rate of
// requests.
func newScaleOutState(requestsPerSecond float64) scaleOutState {
	return scaleOutState{
		exhausted: map[scaling.CapacityPool]capacityBackoff{},
		limiter: rate.NewLimiter(rate.Limit(requestsPerSecond*scaleOutShare),
			max(1, int(requestsPerSecond))),
	}
}

// scaleOutRequest is a request for machines of one capacity pool.
type scaleOutRequest struct {
	protocol.ScaleOutRequest
	pool    scaling.CapacityPool
	attempt int
}

// ScaleOut requests machines for unmet demand. It requests nothing while a request is in flight, because the
// snapshot behind the demand doesn't contain the machines of that request yet.
func (a *Autoscaler) ScaleOut(demand []planner.UnmetDemand) {
	now := time.UnixMicro(int64(a.Now()))
	if !a.mayScaleOut(now) || len(demand) == 0 {
		return
	}
	for _, decision := range a.CloudView().ScaleOut(demand) {
		missing := decision.Count
		for missing > 0 && a.scaleOut.limiter.AllowN(now, 1) {
			a.requestMachines(decision.Pool, min(missing, cloudclient.MaxScaleOut))
			missing -= cloudclient.MaxScaleOut
		}
	}
}

// mayScaleOut reports whether machines may be requested now.
func (a *Autoscaler) mayScaleOut(now time.Time) bool {
	return a.scaleOut.inFlight == 0 && a.Now() >= a.BackoffUntil && len(a.catalogue.Types) > 0 &&
		a.scaleOut.limiter.TokensAt(now) >= 1
}

// requestMachines sends a new request. Its idempotency key contains the epoch, so that no other controller
// and no later term ever uses the same key.
func (a *Autoscaler) requestMachines(pool scaling.CapacityPool, count int) {
	a.scaleOut.requests++
	a.scaleOut.inFlight++
	a.sendScaleOut(scaleOutRequest{
		ScaleOutRequest: protocol.ScaleOutRequest{
			IdempotencyKey: fmt.Sprintf("e%d-%d", a.Term.Epoch, a.scaleOut.requests),
			Type:           pool.Type,
			Zone:           pool.Zone,
			Spot:           pool.Spot,
			Count:          count,
		},
		pool:    pool,
		attempt: 1,
	})
}

// sendScaleOut sends one attempt of a request.
func (a *Autoscaler) sendScaleOut(request scaleOutRequest) {
	a.Cloud.ScaleOut(request.ScaleOutRequest, a.Term.ValidUntil, term.Guarded2(a.State,
		func(machines []protocol.MachineName, err error) { a.handleScaleOut(request, machines, err) }))
}

// handleScaleOut handles the outcome of a request. The cloud may have executed a request that got no
// response, so only the same request with the same idempotency key is safe to send again.
func (a *Autoscaler) handleScaleOut(request scaleOutRequest, machines []protocol.MachineName, err error) {
	pool := request.pool
	switch {
	case err == nil:
		a.addStarting(request, machines)
	case errors.Is(err, cloudclient.ErrNoCapacity):
		slog.Debug("no capacity", "type", pool.Type, "zone", pool.Zone, "spot", pool.Spot)
		a.markExhausted(pool)
	case errors.Is(err, cloudclient.ErrNoResponse) && request.attempt < maxScaleOutAttempts:
		request.attempt++
		a.AfterInTerm(scaleOutRetryDelay, func() { a.sendScaleOut(request) })
		return
	default:
		slog.Info("scale-out failed", "type", pool.Type, "zone", pool.Zone, "spot", pool.Spot,
			"attempt", request.attempt, "error", err)
		a.backOff()
	}
	a.scaleOut.inFlight--
	a.steps.Wake()
}

// addStarting adds the machines that a request returned. A response with fewer machines than requested means
// that the capacity pool has run out.
func (a *Autoscaler) addStarting(request scaleOutRequest, names []protocol.MachineName) {
	pool := request.pool
	slog.Info("scaled out", "type", pool.Type, "zone", pool.Zone, "spot", pool.Spot,
		"requested", request.Count, "machines", names)
	for _, name := range names {
		m := a.machines.GetOrAdd(name)
		m.Type, m.Zone, m.Spot, m.ViewStale = pool.Type, pool.Zone, pool.Spot, true
		if m.CloudStatus == "" {
			m.CloudStatus = protocol.MachineStarting
		}
	}
	a.markAvailable(pool)
	if len(names) < request.Count {
		a.markExhausted(pool)
	}
}
