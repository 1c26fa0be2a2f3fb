package offload

import (
	"math"
	"slices"

	"postpoint/internal/delegation"
	"postpoint/internal/planner"
	"postpoint/internal/protocol"
)

const (
	// transferS is what passing work to another cell takes at most, in seconds: the host's next
	// heartbeat, a record there, and the heartbeat by which it is permitted to start.
	transferS = 3
	// returnS likewise for coming back.
	returnS = 3
	// marginS is what offloading has to gain beyond its costs, in seconds: estimates are often wrong
	// by half, and work that goes for nothing comes back for nothing.
	marginS = 10
	// bootTimes allows for machines that boot longer than usual.
	bootTimes = 1.5
	// unsureS is what the second half of a cell's room for rented machines counts less, in seconds.
	unsureS = 20
)

// problem is the assignment problem of one decision.
type problem struct {
	work    []Candidate // that may go somewhere
	hosts   []Host
	pools   []pool
	options []option
}

// pool is capacity of one host cell.
type pool struct {
	host int // its index
	up   bool
	room planner.Resources
	// delayS is what it counts less, in seconds.
	delayS float64
}

// option is to have tasks of one job run in one pool. work and pool are indexes.
type option struct {
	work, pool int
	gainS      float64 // of each task
}

// allocation is how many tasks take each option.
type allocation []int

func (p *problem) empty() allocation { return make(allocation, len(p.options)) }

func newProblem(work []Candidate, hosts []Host) *problem {
	p := &problem{hosts: hosts}
	for host := range hosts {
		p.pools = append(p.pools, poolsOf(host, &hosts[host].Load)...)
	}
	for i := range work {
		if len(p.work) == maxWork {
			break
		}
		if options := p.optionsOf(&work[i]); len(options) > 0 {
			p.options = append(p.options, options...)
			p.work = append(p.work, work[i])
		}
	}
	return p
}

// poolsOf divides what a host cell has into what is up and two halves of what it would rent.
func poolsOf(host int, load *delegation.Load) []pool {
	free := planner.Resources{}
	for _, t := range load.Types {
		free = free.Plus(t.Free)
	}
	half := load.QuotaLeft.Times(0.5)
	half.MemoryGB = planner.UnlimitedMemoryGB // operators bound what others use by processors only
	return []pool{
		{host: host, up: true, room: free},
		{host: host, room: half},
		{host: host, room: half, delayS: unsureS},
	}
}

// optionsOf returns the pools in which a job gains, as the next job of the problem.
func (p *problem) optionsOf(w *Candidate) []option {
	var options []option
	for i := range p.pools {
		if gainS, ok := p.gainIn(w, &p.pools[i]); ok {
			options = append(options, option{work: len(p.work), pool: i, gainS: gainS})
		}
	}
	return options
}

// gainIn returns what each task of a job gains in a pool, in seconds. The result is false if it may
// not go there or gains too little.
func (p *problem) gainIn(w *Candidate, in *pool) (gainS float64, ok bool) {
	host := &p.hosts[in.host]
	if !slices.Contains(w.Hosts, host.Name) || host.Load.OwnWait > 0 {
		return 0, false
	}
	startS := math.Inf(1)
	for i := range host.Load.Types {
		if s, ok := startDelayS(w.Spec, &host.Load.Types[i], in.up); ok {
			startS = min(startS, s)
		}
	}
	gainS = w.OriginWaitS - startS - in.delayS - transferS - returnS - marginS
	return gainS, gainS > 0
}

// startDelayS returns after how many seconds a machine of a type can start a task: one that is up, or
// one that is rented for it. The result is false if the task may not use the type or doesn't fit.
func startDelayS(spec *protocol.JobSpec, t *delegation.TypeLoad, up bool) (delayS float64, ok bool) {
	needs := planner.TaskResources(spec)
	whole := planner.Resources{Cpus: t.Type.Cpus, Gpus: t.Type.Gpus, MemoryGB: t.Type.MemoryGB}
	allowedIn := func(zone string) bool { return planner.MachineAllowed(spec, t.Type.Name, zone, false) }
	if !needs.FitsIn(whole) || !slices.ContainsFunc(t.Type.Zones, allowedIn) {
		return 0, false
	}
	if up && !needs.FitsIn(t.Free) || !up && t.SoldOut {
		return 0, false
	}
	if !up {
		delayS += bootTimes * t.Type.BootS
	}
	if t.Type.FetchGBPerS > 0 {
		delayS += spec.ImageGB / t.Type.FetchGBPerS
	}
	return delayS, true
}

// gain returns what an allocation gains in all, in seconds of tasks.
func (p *problem) gain(a allocation) float64 {
	sum := 0.0
	for i, n := range a {
		sum += float64(n) * p.options[i].gainS
	}
	return sum
}
