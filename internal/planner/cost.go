package planner

const (
	// spotLossFraction is the fraction of its estimated run time that a task without checkpoints is
	// expected to lose on a spot machine, because the cloud may reclaim the machine.
	spotLossFraction = 0.1

	// bootMarginS is added to the time that a machine is still expected to take to boot, in
	// seconds, because some machines take longer than expected.
	bootMarginS = 10

	// firstReplicaPriceWeight converts a machine's hourly price to seconds of cost for the first
	// service replica on it: that replica keeps the autoscaler from releasing the whole machine.
	firstReplicaPriceWeight = 3

	// replicaColocationS is the cost, in seconds, that each replica on a machine adds for the next
	// one, because a failure of the machine stops all of them.
	replicaColocationS = 1

	// priceWeight converts a machine's hourly price to seconds of cost for the share of the machine
	// that a task takes.
	priceWeight = 10

	// fragmentationS is the cost, in seconds, that a task would have if the whole machine stayed
	// free beside it. The cost of a smaller free fraction is proportional. Full machines leave
	// others idle, and the autoscaler can release idle machines.
	fragmentationS = 5
)

// placementCost returns the expected loss, in seconds, of running a task of the job on the machine:
// the lower, the better the machine suits. It adds the terms in a fixed order, so that equal inputs
// always give identical bits.
func placementCost(job *Job, machine *Machine) float64 {
	cost := machine.ImageWaitS(job.Spec)
	if machine.Booting {
		cost += machine.BootRemainingS + bootMarginS
	}
	request := TaskResources(job.Spec)
	cost += machine.Slowdown * job.Spec.EstimateS
	if machine.Spot && job.Spec.CheckpointS == 0 {
		cost += spotLossFraction * job.Spec.EstimateS
	}
	if job.Spec.IsService() {
		cost += replicaCost(machine)
	}
	cost += priceWeight * machine.HourlyPrice * request.DominantShare(machine.Capacity)
	cost += fragmentationS * machine.Free.Minus(request).DominantShare(machine.Capacity)
	return cost
}

// replicaCost returns what one more service replica adds to the cost of a machine. The first
// replica keeps the autoscaler from releasing the machine. Each further one is costly because a
// failure of the machine stops all its replicas at once.
func replicaCost(machine *Machine) float64 {
	if machine.Replicas == 0 {
		return firstReplicaPriceWeight * machine.HourlyPrice
	}
	return replicaColocationS * float64(machine.Replicas)
}
