package fleet

import (
	"postpoint/internal/planner"
)

// urgentDemand is how much of the machines of each pool the urgent tasks among all unmet
// demand would fill. The sum over all of them is formed once for each pool and then
// follows what is placed: forming it anew for each machine to rent took a leader with
// much unmet demand half a second at a time.
type urgentDemand struct {
	market *Market
	unmet  []planner.Want
	// filled has the results of machinesFilled.
	filled map[Kind]float64
	// placed counts tasks of the job being placed that filled doesn't reflect yet: see
	// settle.
	placed int
}

func (m *Market) newUrgentDemand(unmet []planner.Want) *urgentDemand {
	return &urgentDemand{market: m, unmet: unmet, filled: map[Kind]float64{}}
}

// machinesFilled returns how many machines of a pool the urgent tasks would fill.
func (d *urgentDemand) machinesFilled(k Kind) float64 {
	sum, known := d.filled[k]
	if !known {
		for _, w := range d.unmet {
			sum += float64(w.Tasks) * d.taskShare(k, w.Job)
		}
		d.filled[k] = sum
	}
	return sum
}

// taskShare returns what share of a machine of the pool one task of a job takes, 0 if the
// job isn't urgent or no price that high is paid for it.
func (d *urgentDemand) taskShare(k Kind, j *planner.Job) float64 {
	m := d.market
	if m.tasksPerMachine(k, j.Spec) == 0 || m.priceMultiple(k, j) > filledMultiple ||
		!isUrgent(j, m.Types[k.Type]) {
		return 0
	}
	return planner.Needs(j.Spec).Share(Whole(m.Types[k.Type]))
}

// taskPlaced notes that one more task of the job being placed isn't unmet any more.
func (d *urgentDemand) taskPlaced() { d.placed++ }

// settle subtracts the tasks of a job that were placed since the last call.
func (d *urgentDemand) settle(j *planner.Job) {
	if d.placed == 0 {
		return
	}
	for k := range d.filled {
		d.filled[k] -= float64(d.placed) * d.taskShare(k, j)
	}
	d.placed = 0
}
