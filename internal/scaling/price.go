package scaling

import (
	"postpoint/internal/planner"
	"postpoint/internal/protocol"
)

// Multiples are those of the cheapest price for a task in the catalogue. These values are
// ours; docs/design.md lists them.
const (
	// fairMultiple is the highest multiple paid for any job.
	fairMultiple = 1.7

	// negligibleShare is the share of the price of the dearest machine up to which a
	// machine costs next to nothing, and is fair for any job.
	negligibleShare = 0.05

	// partlyFilledMultiple is the highest multiple paid if urgent demand fills minFill
	// of a machine, filledMultiple if it fills minFullFill: nobody pays for a whole
	// machine of a dear pool for the sake of a small part of it.
	partlyFilledMultiple = 8
	filledMultiple       = 20
	minFill              = 0.5
	minFullFill          = 0.9

	// fillTolerance is how much less than that is enough. It covers the rounding
	// errors that add up as placed tasks are subtracted.
	fillTolerance = 1e-9
)

const (
	// urgencyWindowS is how many seconds of slack, beyond the time until a machine
	// rented now is ready, make a job urgent. Jobs with more can wait for a cheaper one.
	urgencyWindowS = 20

	// patienceS is for how many seconds a job that misses its objective in any case
	// waits for a cheaper machine.
	patienceS = 60

	// anyPriceS is how many seconds late a job is when any price is paid for it: far
	// beyond the wait for a cheaper machine that may still come.
	anyPriceS = 300
)

// HourlyPrice returns the price of a machine of the type for an hour.
func HourlyPrice(t protocol.MachineType, spot bool) float64 {
	if spot {
		return t.SpotPrice
	}
	return t.Price
}

// HourlyPrice returns the price of a machine of the pool for an hour.
func (m *CloudView) HourlyPrice(pool CapacityPool) float64 {
	return HourlyPrice(m.Types[pool.Type], pool.Spot)
}

// FairlyPriced reports whether a task of the job costs not much more in the pool than where it is
// cheapest. From other pools machines are rented only for jobs that can't wait.
func (m *CloudView) FairlyPriced(pool CapacityPool, job *planner.Job) bool {
	return m.priceMultiple(pool, job) <= fairMultiple ||
		m.HourlyPrice(pool) <= negligibleShare*m.highestPrice()
}

// highestPrice returns the price of the dearest machine type.
func (m *CloudView) highestPrice() float64 {
	price := 0.0
	for _, t := range m.Types {
		price = max(price, t.Price)
	}
	return price
}

// priceMultiple returns what a task of the job costs in the pool, as a multiple of where
// it is cheapest.
func (m *CloudView) priceMultiple(pool CapacityPool, job *planner.Job) float64 {
	return m.HourlyPrice(pool) / float64(m.tasksPerMachine(pool, job.Spec)) / m.lowestTaskPrice(job.Spec)
}

// lowestTaskPrice returns the lowest price for a task on a machine that such tasks fill,
// whether or not such a machine can be had at present.
func (m *CloudView) lowestTaskPrice(spec *protocol.JobSpec) float64 {
	if known, ok := m.lowestPrices[spec]; ok {
		return known
	}
	lowest := 0.0
	for pool, tasks := range m.usablePools(spec) {
		if price := m.HourlyPrice(pool) / float64(tasks); lowest == 0 || price < lowest {
			lowest = price
		}
	}
	if m.lowestPrices == nil {
		m.lowestPrices = map[*protocol.JobSpec]float64{}
	}
	m.lowestPrices[spec] = lowest
	return lowest
}

// worthPremium reports whether a price that isn't fair is paid for a job, given the
// urgent demand of all jobs. The fill asked of that demand is scaled by fillScale.
func (m *CloudView) worthPremium(
	pool CapacityPool, job *planner.Job, urgent *urgentDemand, fillScale float64,
) bool {
	if paysAnyPrice(job) {
		return true
	}
	multiple := m.priceMultiple(pool, job)
	if multiple > filledMultiple || !isUrgent(job, m.Types[pool.Type]) {
		return false
	}
	fill := minFill
	if multiple > partlyFilledMultiple {
		fill = minFullFill
	}
	return urgent.machinesFilled(pool) >= fill*fillScale-fillTolerance
}

// isUrgent reports whether a job would miss its objective by waiting much longer than a
// machine of the type takes to be ready, and can still meet it with one. Jobs that miss
// it in any case wait for a cheaper machine, but not for ever. Jobs with an objective for
// their start are always urgent.
func isUrgent(job *planner.Job, t protocol.MachineType) bool {
	readyS := t.BootS
	if t.FetchGBPerS > 0 {
		readyS += job.Spec.ImageGB / t.FetchGBPerS
	}
	return job.HasStartObjective ||
		job.SlackS >= readyS && job.SlackS < readyS+urgencyWindowS ||
		job.SlackS < -patienceS
}

// paysAnyPrice reports whether a job has waited so long that any price is paid for it.
func paysAnyPrice(job *planner.Job) bool { return job.SlackS < -anyPriceS }
