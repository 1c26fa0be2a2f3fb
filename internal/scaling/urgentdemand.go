package scaling

import "postpoint/internal/planner"

// urgentDemand is how much of the machines of each pool the urgent tasks among all unmet
// demand would fill. The sum over all of them is formed once for each pool and then
// follows what is placed: forming it anew for each machine to rent took a leader with
// much unmet demand half a second at a time.
type urgentDemand struct {
	cloud *CloudView
	unmet []planner.UnmetDemand
	// filled has the results of machinesFilled.
	filled map[CapacityPool]float64
	// placed counts tasks of the job being placed that filled doesn't reflect yet: see
	// settle.
	placed int
}

func (m *CloudView) newUrgentDemand(unmet []planner.UnmetDemand) *urgentDemand {
	return &urgentDemand{cloud: m, unmet: unmet, filled: map[CapacityPool]float64{}}
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

// taskShare returns what share of a machine of the pool one task of a job takes, 0 if the
// job isn't urgent or no price that high is paid for it.
func (d *urgentDemand) taskShare(pool CapacityPool, job *planner.Job) float64 {
	m := d.cloud
	if m.tasksPerMachine(pool, job.Spec) == 0 || m.priceMultiple(pool, job) > filledMultiple ||
		!isUrgent(job, m.Types[pool.Type]) {
		return 0
	}
	return planner.TaskResources(job.Spec).DominantShare(Capacity(m.Types[pool.Type]))
}

// taskPlaced notes that one more task of the job being placed isn't unmet any more.
func (d *urgentDemand) taskPlaced() { d.placed++ }

// settle subtracts the tasks of a job that were placed since the last call.
func (d *urgentDemand) settle(job *planner.Job) {
	if d.placed == 0 {
		return
	}
	for pool := range d.filled {
		d.filled[pool] -= float64(d.placed) * d.taskShare(pool, job)
	}
	d.placed = 0
}
