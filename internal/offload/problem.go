package offload

import (
	"math"
	"slices"

	"postpoint/internal/delegation"
	"postpoint/internal/planner"
	"postpoint/internal/protocol"
)

const (
	// transferS is the longest that offloading a job takes, in seconds: the host cell's next
	// heartbeat, the write of a record there, and the heartbeat that grants the permission to start.
	transferS = 3
	// returnS is the longest that the return of a job takes, in seconds.
	returnS = 3
	// gainMarginS is what offloading must gain beyond its costs, in seconds. Estimates are often
	// wrong by half, and a job that is offloaded in vain also returns in vain.
	gainMarginS = 10
	// bootTimeFactor allows for machines that boot longer than usual.
	bootTimeFactor = 1.5
	// uncertainPenaltyS is subtracted from the gain of tasks in the second half of the capacity
	// that a cell would add, in seconds.
	uncertainPenaltyS = 20
)

// problem is the assignment problem of one decision.
type problem struct {
	candidates []Candidate // jobs that gain in at least one pool
	hosts      []Host
	pools      []pool
	options    []option
}

// pool is a pool of capacity of one host cell.
type pool struct {
	host     int  // index of the host cell in the problem
	ready    bool // whether its machines are ready; if not, the cell would have to add them
	capacity planner.Resources
	// penaltyS is subtracted from the gain of tasks in this pool, in seconds.
	penaltyS float64
}

// option is the choice to run tasks of one job in one pool. candidate and pool are indexes into the
// problem.
type option struct {
	candidate, pool int
	gainS           float64 // of each task
}

// allocation is the number of tasks for each option.
type allocation []int

// emptyAllocation returns the allocation of no tasks to any option.
func (p *problem) emptyAllocation() allocation { return make(allocation, len(p.options)) }

// newProblem returns the problem for the first maxCandidates jobs that gain in at least one pool.
func newProblem(candidates []Candidate, hosts []Host) *problem {
	p := &problem{hosts: hosts}
	for host := range hosts {
		p.pools = append(p.pools, poolsOf(host, &hosts[host].Load)...)
	}
	for i := range candidates {
		if len(p.candidates) == maxCandidates {
			break
		}
		if options := p.optionsOf(&candidates[i]); len(options) > 0 {
			p.options = append(p.options, options...)
			p.candidates = append(p.candidates, candidates[i])
		}
	}
	return p
}

// poolsOf divides the capacity of a host cell into three pools: its ready machines, and two halves
// of the quota up to which it would add machines.
func poolsOf(host int, load *delegation.Load) []pool {
	free := planner.Resources{}
	for _, t := range load.Types {
		free = free.Plus(t.Free)
	}
	half := load.QuotaLeft.Times(0.5)
	half.MemoryGB = planner.UnlimitedMemoryGB // operators limit only the processors that other cells use
	return []pool{
		{host: host, ready: true, capacity: free},
		{host: host, capacity: half},
		{host: host, capacity: half, penaltyS: uncertainPenaltyS},
	}
}

// optionsOf returns the options with a gain for a job that becomes the next candidate of the
// problem.
func (p *problem) optionsOf(c *Candidate) []option {
	var options []option
	for i := range p.pools {
		if gainS, ok := p.gainIn(c, &p.pools[i]); ok {
			options = append(options, option{candidate: len(p.candidates), pool: i, gainS: gainS})
		}
	}
	return options
}

// gainIn returns what each task of a job gains in a pool, in seconds. ok is false if the host cell
// may not host the job, if jobs of its own are waiting, or if the job gains too little.
func (p *problem) gainIn(c *Candidate, target *pool) (gainS float64, ok bool) {
	host := &p.hosts[target.host]
	if !slices.Contains(c.Hosts, host.Name) || host.Load.OwnWait > 0 {
		return 0, false
	}
	startS := math.Inf(1)
	for i := range host.Load.Types {
		if s, ok := startDelayS(c.Spec, &host.Load.Types[i], target.ready); ok {
			startS = min(startS, s)
		}
	}
	gainS = c.OriginWaitS - startS - target.penaltyS - transferS - returnS - gainMarginS
	return gainS, gainS > 0
}

// startDelayS returns how many seconds a machine of the type takes to start a task: a ready
// machine, or one that the cell adds for the task. ok is false if the task may not use the type or
// doesn't fit.
func startDelayS(spec *protocol.JobSpec, t *delegation.TypeLoad, ready bool) (delayS float64, ok bool) {
	request := planner.TaskResources(spec)
	whole := planner.Resources{Cpus: t.Type.Cpus, Gpus: t.Type.Gpus, MemoryGB: t.Type.MemoryGB}
	allowedIn := func(zone string) bool { return planner.MachineAllowed(spec, t.Type.Name, zone, false) }
	if !request.FitsIn(whole) || !slices.ContainsFunc(t.Type.Zones, allowedIn) {
		return 0, false
	}
	if ready && !request.FitsIn(t.Free) || !ready && t.OutOfCapacity {
		return 0, false
	}
	if !ready {
		delayS += bootTimeFactor * t.Type.BootS
	}
	if t.Type.FetchGBPerS > 0 {
		delayS += spec.ImageGB / t.Type.FetchGBPerS
	}
	return delayS, true
}

// gain returns the total gain of an allocation, in task seconds.
func (p *problem) gain(a allocation) float64 {
	sum := 0.0
	for i, n := range a {
		sum += float64(n) * p.options[i].gainS
	}
	return sum
}
