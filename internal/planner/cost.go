package planner

const (
	// spotLoss is the fraction of its estimated run that a task without checkpoints
	// is expected to lose on a spot machine, because the cloud may take it back.
	spotLoss = 0.1

	// bootRiskS is added to the time that a machine is expected to go on booting, in
	// seconds, because some take longer than they should.
	bootRiskS = 10

	// pinningWeight is what a machine's hourly price counts in seconds for the first
	// replica on it, which keeps the whole machine from being returned.
	pinningWeight = 3

	// replicaCrowdingS is what each replica that a machine has counts for the next,
	// in seconds, because all of them are lost together.
	replicaCrowdingS = 1

	// priceWeight is what an hour's price of a machine counts in seconds for the share
	// of the machine that a task takes.
	priceWeight = 10

	// fragmentationS is what leaving a whole machine unused next to the task counts,
	// in seconds. Full machines leave others idle, and idle ones can be returned.
	fragmentationS = 5
)

// placementCost returns the expected loss, in seconds, of running a task of the job
// on the machine: the lower, the better the machine suits. The terms are added in a
// fixed order, so that equal inputs always give equal bits.
func placementCost(job *Job, machine *Machine) float64 {
	cost := machine.ImageWaitS(job.Spec)
	if machine.Booting {
		cost += machine.BootRemainingS + bootRiskS
	}
	request := TaskResources(job.Spec)
	cost += machine.Slowdown * job.Spec.EstimateS
	if machine.Spot && job.Spec.CheckpointS == 0 {
		cost += spotLoss * job.Spec.EstimateS
	}
	if job.Spec.Service() {
		cost += replicaCost(machine)
	}
	cost += priceWeight * machine.HourlyPrice * request.DominantShare(machine.Capacity)
	cost += fragmentationS * machine.Free.Minus(request).DominantShare(machine.Capacity)
	return cost
}

// replicaCost returns what a service replica adds to the cost of a machine: the first
// keeps the whole machine from being returned, others would be lost together.
func replicaCost(machine *Machine) float64 {
	if machine.Replicas == 0 {
		return pinningWeight * machine.HourlyPrice
	}
	return replicaCrowdingS * float64(machine.Replicas)
}
