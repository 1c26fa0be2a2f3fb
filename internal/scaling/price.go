package scaling

import (
	"postpoint/internal/planner"
	"postpoint/internal/protocol"
)

// All multiples refer to the lowest price in the catalogue for a task of the job. docs/design.md
// lists the values.
const (
	// fairMultiple is the highest multiple that scale-out pays for every job, urgent or not.
	fairMultiple = 1.7

	// negligiblePriceFraction is the fraction of the price of the most expensive machine up to
	// which the cost of a machine is negligible, and its price is fair for any job.
	negligiblePriceFraction = 0.05

	// partlyFilledMultiple is the highest multiple that scale-out pays if urgent demand fills
	// minPartialFill of a machine, and filledMultiple if it fills minFullFill. Scale-out doesn't
	// pay for a whole machine of an expensive pool for the sake of a small part of it.
	partlyFilledMultiple = 8
	filledMultiple       = 20
	minPartialFill       = 0.5
	minFullFill          = 0.9

	// fillTolerance is how far below these fills urgent demand may stay. It covers the rounding
	// errors that add up while urgentDemand subtracts placed tasks.
	fillTolerance = 1e-9
)

const (
	// urgencyWindowS is how many seconds of slack, beyond the time until a machine added now is
	// ready, still make a job urgent. Jobs with more slack can wait for a cheaper machine.
	urgencyWindowS = 20

	// lateJobWaitS is how many seconds a job that misses its objective in any case waits for a
	// cheaper machine before it becomes urgent.
	lateJobWaitS = 60

	// anyPriceLatenessS is how many seconds late a job is when scale-out starts to pay any price
	// for it. It is far longer than the wait for a cheaper machine that may become available.
	anyPriceLatenessS = 300
)

// HourlyPrice returns the price of a machine of the type for an hour.
func HourlyPrice(t protocol.MachineType, spot bool) float64 {
	if spot {
		return t.SpotPrice
	}
	return t.Price
}

// HourlyPrice returns the price of a machine of the pool for an hour.
func (view *CloudView) HourlyPrice(pool CapacityPool) float64 {
	return HourlyPrice(view.Types[pool.Type], pool.Spot)
}

// FairlyPriced reports whether a task of the job costs not much more in the pool than in the
// cheapest pool, or the price of the pool's machines is negligible. Scale-out uses pools with other
// prices only for jobs that can't wait.
func (view *CloudView) FairlyPriced(pool CapacityPool, job *planner.Job) bool {
	return view.priceMultiple(pool, job) <= fairMultiple ||
		view.HourlyPrice(pool) <= negligiblePriceFraction*view.highestPrice()
}

// highestPrice returns the price of the most expensive machine type.
func (view *CloudView) highestPrice() float64 {
	price := 0.0
	for _, t := range view.Types {
		price = max(price, t.Price)
	}
	return price
}

// priceMultiple returns what a task of the job costs in the pool, as a multiple of the cost in the
// cheapest pool.
func (view *CloudView) priceMultiple(pool CapacityPool, job *planner.Job) float64 {
	return view.HourlyPrice(pool) / float64(view.tasksPerMachine(pool, job.Spec)) /
		view.lowestTaskPrice(job.Spec)
}

// lowestTaskPrice returns the lowest price for a task on a machine that such tasks fill, whether or
// not that machine's pool has capacity at present.
func (view *CloudView) lowestTaskPrice(spec *protocol.JobSpec) float64 {
	if cached, ok := view.lowestPrices[spec]; ok {
		return cached
	}
	lowest := 0.0
	for pool, tasks := range view.usablePools(spec) {
		if price := view.HourlyPrice(pool) / float64(tasks); lowest == 0 || price < lowest {
			lowest = price
		}
	}
	if view.lowestPrices == nil {
		view.lowestPrices = map[*protocol.JobSpec]float64{}
	}
	view.lowestPrices[spec] = lowest
	return lowest
}

// paysPremium reports whether scale-out pays a price that isn't fair for a job, given the urgent
// demand of all jobs. fillScale scales the part of a machine that this demand must fill.
func (view *CloudView) paysPremium(
	pool CapacityPool, job *planner.Job, urgent *urgentDemand, fillScale float64,
) bool {
	if paysAnyPrice(job) {
		return true
	}
	multiple := view.priceMultiple(pool, job)
	if multiple > filledMultiple || !isUrgent(job, view.Types[pool.Type]) {
		return false
	}
	fill := minPartialFill
	if multiple > partlyFilledMultiple {
		fill = minFullFill
	}
	return urgent.machinesFilled(pool) >= fill*fillScale-fillTolerance
}

// isUrgent reports whether a job would miss its objective by waiting much longer than a machine of
// the type takes to be ready, and can still meet it with one. Jobs that miss it in any case wait a
// limited time for a cheaper machine. Jobs with an objective for their start are always urgent.
func isUrgent(job *planner.Job, t protocol.MachineType) bool {
	readyS := t.BootS
	if t.FetchGBPerS > 0 {
		readyS += job.Spec.ImageGB / t.FetchGBPerS
	}
	return job.HasStartObjective ||
		job.SlackS >= readyS && job.SlackS < readyS+urgencyWindowS ||
		job.SlackS < -lateJobWaitS
}

// paysAnyPrice reports whether a job is so late that scale-out pays any price for it.
func paysAnyPrice(job *planner.Job) bool { return job.SlackS < -anyPriceLatenessS }
