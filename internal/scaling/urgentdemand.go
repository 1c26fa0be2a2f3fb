package scaling

import "postpoint/internal/planner"

// urgentDemand computes how many machines of each pool the urgent tasks of the unmet demand would
// fill. It computes the sum over all tasks once for each pool and then subtracts what ScaleOut
// places: with much unmet demand, recomputing the sum for each added machine took a leader half a
// second at a time.
type urgentDemand struct {
	cloud *CloudView
	unmet []planner.UnmetDemand
	// filled caches the results of machinesFilled.
	filled map[CapacityPool]float64
	// placed counts the placed tasks of the current job that filled doesn't reflect yet: see
	// subtractPlaced.
	placed int
}

// newUrgentDemand returns the urgent part of the unmet demand, which it doesn't copy.
func (view *CloudView) newUrgentDemand(unmet []planner.UnmetDemand) *urgentDemand {
	return &urgentDemand{cloud: view, unmet: unmet, filled: map[CapacityPool]float64{}}
}

// machinesFilled returns how many machines of a pool the urgent tasks would fill.
func (d *urgentDemand) machinesFilled(pool CapacityPool) float64 {
	sum, known := d.filled[pool]
	if !known {
		for _, demand := range d.unmet {
			sum += float64(demand.Tasks) * d.taskShare(pool, demand.Job)
		}
		d.filled[pool] = sum
	}
	return sum
}

// taskShare returns the fraction of a machine of the pool that one task of a job takes, or 0 if the
// job isn't urgent or the price is above the highest multiple.
func (d *urgentDemand) taskShare(pool CapacityPool, job *planner.Job) float64 {
	view := d.cloud
	if view.tasksPerMachine(pool, job.Spec) == 0 || view.priceMultiple(pool, job) > filledMultiple ||
		!isUrgent(job, view.Types[pool.Type]) {
		return 0
	}
	return planner.TaskResources(job.Spec).DominantShare(Capacity(view.Types[pool.Type]))
}

// taskPlaced records that one more task of the current job is no longer unmet.
func (d *urgentDemand) taskPlaced() { d.placed++ }

// subtractPlaced subtracts the tasks of a job that were placed since the last call.
func (d *urgentDemand) subtractPlaced(job *planner.Job) {
	if d.placed == 0 {
		return
	}
	for pool := range d.filled {
		d.filled[pool] -= float64(d.placed) * d.taskShare(pool, job)
	}
	d.placed = 0
}
