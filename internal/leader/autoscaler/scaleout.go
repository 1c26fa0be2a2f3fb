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
	// scaleOutShare of the cloud's limit of requests leaves room for scale-ins and lists.
	scaleOutShare = 0.5
	// maxScaleOutAttempts bounds how often a request without a response is sent, and
	// scaleOutRetryDelay is the pause between attempts.
	maxScaleOutAttempts = 4
	scaleOutRetryDelay  = clock.Second
)

// scaleOutState is what a term knows of its requests for machines.
type scaleOutState struct {
	// requests counts those of the term: their idempotency keys are made of it.
	requests int
	// inFlight counts those whose outcome is unknown yet.
	inFlight int
	// exhausted are the pools that have run out of machines.
	exhausted map[scaling.CapacityPool]capacityPause
	limiter   *rate.Limiter
}

// newScaleOutState returns the state at the beginning of a term, for a cloud that takes so many
// requests a second.
func newScaleOutState(requestsPerSecond float64) scaleOutState {
	return scaleOutState{
		exhausted: map[scaling.CapacityPool]capacityPause{},
		limiter: rate.NewLimiter(rate.Limit(requestsPerSecond*scaleOutShare),
			max(1, int(requestsPerSecond))),
	}
}

// scaleOutRequest is a request for machines of one pool.
type scaleOutRequest struct {
	protocol.ScaleOutRequest
	pool    scaling.CapacityPool
	attempt int
}

// ScaleOut requests machines for unmet demand. It decides nothing as long as a request is in flight:
// the machines that it brings aren't part of the demand's snapshot yet.
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

// requestMachines sends a new request. Its idempotency key contains the epoch, so that no other node
// and no later leader ever uses the same one.
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

func (a *Autoscaler) sendScaleOut(request scaleOutRequest) {
	a.Cloud.ScaleOut(request.ScaleOutRequest, a.Term.ValidUntil, term.Guarded2(a.State,
		func(machines []protocol.MachineName, err error) { a.scaleOutDone(request, machines, err) }))
}

// scaleOutDone handles the outcome of a request. One without a response may have been carried out:
// only the same request is safe then.
func (a *Autoscaler) scaleOutDone(request scaleOutRequest, machines []protocol.MachineName, err error) {
	pool := request.pool
	switch {
	case err == nil:
		a.addStarting(request, machines)
	case errors.Is(err, cloudclient.ErrNoCapacity):
		slog.Debug("no capacity", "type", pool.Type, "zone", pool.Zone, "spot", pool.Spot)
		a.noteExhausted(pool)
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

// addStarting adds the machines that a request has brought. Fewer than requested mean that the pool
// has no more.
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
	a.noteAvailable(pool)
	if len(names) < request.Count {
		a.noteExhausted(pool)
	}
}
