// Package planner decides what runs where. It is a pure function from a
// snapshot to actions: no I/O, no clock, no state between calls.
//
// The order of events is that of the no-notice shrink-first mechanism of "Hybrid
// Workload Scheduling on HPC Systems"; docs/design.md says what was kept.
package planner

import (
	"cmp"
	"container/heap"
	"iter"
	"slices"
	"sync"

	"postpoint/internal/protocol"
)

// Amounts is what tasks take and machines have.
type Amounts struct{ Cpus, Gpus, MemoryGB float64 }

// slack absorbs the rounding of decimal amounts.
const slack = 1e-6

// Fits tells whether there is room for a.
func (a Amounts) Fits(in Amounts) bool {
	return a.Cpus <= in.Cpus+slack && a.Gpus <= in.Gpus+slack && a.MemoryGB <= in.MemoryGB+slack
}

// Plus adds two amounts.
func (a Amounts) Plus(b Amounts) Amounts {
	return Amounts{a.Cpus + b.Cpus, a.Gpus + b.Gpus, a.MemoryGB + b.MemoryGB}
}

// Minus subtracts b; the result may be negative.
func (a Amounts) Minus(b Amounts) Amounts {
	return Amounts{a.Cpus - b.Cpus, a.Gpus - b.Gpus, a.MemoryGB - b.MemoryGB}
}

// Times is a, k times.
func (a Amounts) Times(k float64) Amounts {
	return Amounts{k * a.Cpus, k * a.Gpus, k * a.MemoryGB}
}

// Share is the largest part of the whole that a takes in any respect.
func (a Amounts) Share(whole Amounts) float64 {
	share := 0.0
	for _, p := range [][2]float64{{a.Cpus, whole.Cpus}, {a.Gpus, whole.Gpus}, {a.MemoryGB, whole.MemoryGB}} {
		if p[1] > 0 {
			share = max(share, p[0]/p[1])
		}
	}
	return share
}

// Count is how many of a fit into the given room.
func (a Amounts) Count(room Amounts) int {
	n := 1 << 20
	for _, p := range [][2]float64{{a.Cpus, room.Cpus}, {a.Gpus, room.Gpus}, {a.MemoryGB, room.MemoryGB}} {
		if p[0] > 0 {
			n = min(n, int((p[1]+slack)/p[0]))
		}
	}
	return max(n, 0)
}

// Needs is what one task of a job takes.
func Needs(s *protocol.JobSpec) Amounts { return Amounts{s.Cpus, s.Gpus, s.MemoryGB} }

// Machine is a place for tasks. Booting machines take part too: what is
// planned for them starts later and need not be rented for.
type Machine struct {
	Name    string
	Type    string
	Zone    string
	Spot    bool
	Booting bool
	Whole   Amounts
	Free    Amounts
	Price   float64  // an hour
	FetchS  float64  // seconds a GB of image
	Images  []string // cached
	// Pulling are the images being fetched, which takes PullS seconds for all of
	// them: they share the rate.
	Pulling []string
	PullS   float64
	// BootS is how many seconds a booting machine is expected to take yet.
	BootS float64
	Slow  float64 // by how much longer its tasks ran than others', 0 if they didn't
}

// ImageS is how many seconds a task of the job would wait there for its image.
func (m *Machine) ImageS(s *protocol.JobSpec) float64 {
	switch {
	case slices.Contains(m.Images, s.Image):
		return 0
	case slices.Contains(m.Pulling, s.Image):
		return m.PullS
	}
	return m.PullS + s.ImageGB*m.FetchS
}

// Pull notes that the image is being fetched for a task placed there.
func (m *Machine) Pull(s *protocol.JobSpec) {
	if !slices.Contains(m.Images, s.Image) && !slices.Contains(m.Pulling, s.Image) {
		m.Pulling = append(slices.Clip(m.Pulling), s.Image)
		m.PullS += s.ImageGB * m.FetchS
	}
}

// Running is a task that may be on a machine.
type Running struct {
	Task     int
	Machine  string
	Zone     string
	Stopping bool
	// Overhead is what stopping it loses, in seconds.
	Overhead float64
	// Borrowed tells that its team runs it beyond the team's guarantee.
	Borrowed bool
}

// Job is a job that isn't over.
type Job struct {
	ID          string
	Spec        *protocol.JobSpec
	Rank        int // 0 is the highest
	SubmittedAt int64
	// Returning jobs lent room to a job that has ended: they resume first.
	Returning bool
	// Pending are the tasks to start, in order; Limit is how many of them the
	// record has room for. A gang starts whole or not at all.
	Pending []int
	Limit   int
	Running []Running
	// Waiting jobs hold back after failures; they neither start nor evict.
	Waiting  bool
	MayEvict bool
	// Within tells that the job fits into its team's guarantee together with the
	// team's earlier jobs, so that it needn't wait for other teams.
	Within bool
	// StartAim tells that its class is expected to start soon.
	StartAim bool
	// StartS orders those that are to start: how many seconds are left for it.
	StartS float64
	// Tier and then SlackS order jobs of one rank: see Tier's values.
	Tier Tier
	// SlackS is how many seconds the job can still wait before its tasks must
	// run for it to meet its aim.
	SlackS float64
	Avoid  map[string]bool // machines on which it failed
	// Unmet tells that machines for it have been wanted for long and haven't come.
	Unmet bool
	// started counts what a plan has started of it and not added to Running.
	started int
}

// zoned tells that the zones of its tasks depend on each other.
func (j *Job) zoned() bool { return j.Spec.OneZone || j.Spec.Spread }

// Tier tells which of the users' aims for a job can still be met.
type Tier int

const (
	// StartsInTime says that the aim for its start can be met, if it starts now.
	StartsInTime Tier = iota
	// EndsInTime says that the aim for its end can be met; the least slack goes first.
	EndsInTime
	// TooLate says that no aim can be met any more. It gives way, in the order of
	// submission, until it has waited so long that it goes first again.
	TooLate
)

// Team is what a team may and does use.
type Team struct {
	Limit     Amounts // 0: none
	Guarantee Amounts
	Used      Amounts
	// BacklogS is how long its unfinished work takes at least, in seconds, when
	// it always uses all that its limit allows.
	BacklogS float64
}

func (t *Team) allows(a Amounts, n int) bool {
	k := float64(n)
	return (t.Limit.Cpus == 0 || t.Used.Cpus+k*a.Cpus <= t.Limit.Cpus+slack) &&
		(t.Limit.Gpus == 0 || t.Used.Gpus+k*a.Gpus <= t.Limit.Gpus+slack)
}

// Snapshot is all that a plan depends on.
type Snapshot struct {
	Jobs     []Job
	Machines []Machine
	Teams    map[string]Team
}

// Place starts a task on a machine.
type Place struct {
	Job     string
	Task    int
	Machine string
	Booting bool
}

// Stop takes a task off its machine so that For can have the room.
type Stop struct {
	Job  string
	Task int
	For  string
}

// Want is what found no room: tasks of a job that should run now.
type Want struct {
	Job   *Job
	Tasks int
}

// Plan is what is to be done now.
type Plan struct {
	Places []Place
	Stops  []Stop
	Wants  []Want
}

type planning struct {
	machines []Machine // in the order of their names
	byName   map[string]*Machine
	zones    []string
	teams    map[string]*Team
	plan     Plan
	// lowest is the lowest rank of which anything runs, borrowed tells that some
	// team runs more than its guarantee: without either nothing can be evicted.
	lowest   int
	borrowed bool
	leaving  []victim // what is being stopped already
	// stopping tells that room is being made: it is awaited before more is made,
	// or one shortage would evict again and again.
	stopping bool
	// saving tells that room is kept for a gang already.
	saving bool
}

// scratch is a plan's own copy of the machines. Plans are made several times a second
// and none of them outlives its making: the copies of hundreds of machines were a fifth
// of all that a leader allocated.
type scratch struct {
	machines []Machine
	byName   map[string]*Machine
}

var scratches = sync.Pool{New: func() any { return &scratch{byName: map[string]*Machine{}} }}

// Make plans for the snapshot, which it leaves unchanged.
func Make(s Snapshot) Plan {
	own := scratches.Get().(*scratch)
	defer scratches.Put(own)
	own.machines = append(own.machines[:0], s.Machines...)
	clear(own.byName)
	p := &planning{machines: own.machines, byName: own.byName, teams: make(map[string]*Team, len(s.Teams))}
	slices.SortFunc(p.machines, func(a, b Machine) int { return cmp.Compare(a.Name, b.Name) })
	for i := range p.machines {
		m := &p.machines[i]
		p.byName[m.Name] = m
		if !slices.Contains(p.zones, m.Zone) {
			p.zones = append(p.zones, m.Zone)
		}
	}
	for name, t := range s.Teams {
		p.teams[name] = &t
	}
	jobs := slices.Clone(s.Jobs)
	slices.SortFunc(jobs, p.before)
	p.survey(jobs)
	for i := 0; i < len(jobs); {
		end := i + 1
		for end < len(jobs) && jobs[end].Rank == jobs[i].Rank {
			end++
		}
		// Jobs that can wait leave places where they would wait for an image to
		// jobs of their rank that have it there.
		for j := range startable(jobs[i:end]) {
			if j.patient() {
				p.place(j, true)
			} else {
				p.serve(j, jobs)
			}
		}
		for j := range startable(jobs[i:end]) {
			if j.patient() {
				p.serve(j, jobs)
			}
		}
		i = end
	}
	return p.plan
}

// startable goes through the jobs that have anything to start.
func startable(jobs []Job) iter.Seq[*Job] {
	return func(yield func(*Job) bool) {
		for i := range jobs {
			if j := &jobs[i]; !j.Waiting && len(j.Pending) > 0 && !yield(j) {
				return
			}
		}
	}
}

// serve starts what it can of a job, makes room for the rest if it may, and
// notes what found none.
func (p *planning) serve(j *Job, jobs []Job) {
	wanted, placed := p.place(j, false)
	if placed == wanted {
		return
	}
	if j.MayEvict {
		if !p.stopping && p.evict(j, jobs, wanted-placed) {
			p.stopping = true
			return
		}
		if p.stopping && p.reserve(j, wanted-placed) {
			return
		}
	}
	p.plan.Wants = append(p.plan.Wants, Want{j, wanted - placed - p.save(j, wanted)})
}

// save keeps what room there is for the first gang in the queue that is to start and
// lacks some: as places become free one by one, the smaller work behind it would take
// each of them, and the largest gangs would never find enough at once. One that the
// machines there are can't hold, and for which none have come, keeps nothing: it would
// for ever.
func (p *planning) save(j *Job, n int) int {
	if p.saving || !j.Spec.Gang() || j.Tier != StartsInTime || j.Unmet && !p.holds(j, n) {
		return 0
	}
	p.saving = true
	var most []*Machine
	for _, group := range p.groups(j, p.candidates(j, true)) {
		// Fewer than all fit, so that there are places for some number below n.
		if places, _ := p.fitMost(j, n-1, group); len(places) > len(most) {
			most = places
		}
	}
	for _, m := range most {
		m.Free = m.Free.Minus(Needs(j.Spec))
	}
	return len(most)
}

// holds tells that n tasks would fit on the machines there are if these were empty,
// those that boot included.
func (p *planning) holds(j *Job, n int) bool {
	var all []*Machine
	for i := range p.machines {
		if m := &p.machines[i]; Allowed(j.Spec, m.Type, m.Zone, m.Spot) && !j.Avoid[m.Name] {
			all = append(all, m)
		}
	}
	for _, group := range p.groups(j, all) {
		room := 0
		for _, m := range group {
			room += Needs(j.Spec).Count(m.Whole)
		}
		if room >= n {
			return true
		}
	}
	return false
}

// patient tells that a job loses nothing by waiting for places that have its
// image.
func (j *Job) patient() bool {
	return !j.Spec.Gang() && !j.Within && !j.Returning && j.Tier != StartsInTime && (j.Tier == TooLate || j.SlackS > patientS)
}

// patientS is more than what fetching an image mostly takes, in seconds.
const patientS = 30

// survey looks once at all that runs, for what every waiting job would ask.
func (p *planning) survey(jobs []Job) {
	for i := range jobs {
		j := &jobs[i]
		for _, r := range j.Running {
			p.borrowed = p.borrowed || r.Borrowed
			if r.Stopping {
				p.leaving = append(p.leaving, victim{j, r})
				p.stopping = true
			}
		}
		if len(j.Running) > 0 {
			p.lowest = max(p.lowest, j.Rank)
		}
	}
}

// before orders the queue: rank, then teams within their guarantee, then those
// who lent room, then by which aims can still be met, then the order of
// submission, which stopped jobs keep.
func (p *planning) before(a, b Job) int {
	first := func(yes bool) int {
		if yes {
			return 0
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(first(a.Within), first(b.Within)), cmp.Compare(first(a.Returning), first(b.Returning)),
		cmp.Compare(a.Tier, b.Tier), p.inTier(a, b),
		cmp.Compare(a.SubmittedAt, b.SubmittedAt), cmp.Compare(a.ID, b.ID))
}

// inTier orders what can still end in time by its slack. What can't any more is
// only about when all is done: the team whose limit holds it back longest has
// no time to lose.
func (p *planning) inTier(a, b Job) int {
	if a.Tier == StartsInTime && b.Tier == StartsInTime {
		return cmp.Compare(a.StartS, b.StartS)
	}
	if a.Tier == EndsInTime && b.Tier == EndsInTime {
		return cmp.Compare(a.SlackS, b.SlackS)
	}
	if x, y := p.teams[a.Spec.Team], p.teams[b.Spec.Team]; a.Tier == TooLate && b.Tier == TooLate && x != nil && y != nil {
		return cmp.Compare(y.BacklogS, x.BacklogS)
	}
	return 0
}

// place starts what fits, or only where the image is, and says how many tasks
// should run and how many do. What it has started is no longer pending.
func (p *planning) place(j *Job, warm bool) (wanted, placed int) {
	team := p.teams[j.Spec.Team]
	needs := Needs(j.Spec)
	if j.Spec.Gang() {
		n := len(j.Pending)
		if n > j.Limit || team != nil && !team.allows(needs, n) {
			return 0, 0
		}
		// Machines that are up come first: what waits for one that boots can't
		// start before it.
		places := p.fitGang(j, n, true)
		if places == nil {
			places = p.fitGang(j, n, false)
		}
		if places == nil {
			return n, 0
		}
		j.Running = slices.Clip(j.Running)
		for i, m := range places {
			p.take(j, j.Pending[i], m, team)
		}
		return n, n
	}
	zones := zonesOf(j)
	candidates := p.candidates(j, false)
	if warm {
		candidates = slices.DeleteFunc(candidates, func(m *Machine) bool { return m.Booting || m.ImageS(j.Spec) > 0 })
		if len(candidates) == 0 {
			return 0, 0
		}
	}
	room := p.choices(j, candidates)
	if j.zoned() {
		j.Running = slices.Clip(j.Running) // the snapshot's own array stays as it is
	}
	for _, task := range j.Pending[:min(len(j.Pending), j.Limit)] {
		if team != nil && !team.allows(needs, 1) {
			break
		}
		wanted++
		m := room.best(zones)
		if m == nil {
			if warm {
				break
			}
			continue
		}
		zones[m.Zone]++
		p.take(j, task, m, team)
		room.taken()
		placed++
	}
	if warm {
		j.Limit -= placed
		j.Pending = j.Pending[placed:]
	}
	return wanted, placed
}

// zonesOf counts the job's tasks by zone, if that matters to it.
func zonesOf(j *Job) map[string]int {
	zones := map[string]int{}
	if !j.zoned() {
		return zones
	}
	for _, r := range j.Running {
		zones[r.Zone]++
	}
	return zones
}

func (p *planning) take(j *Job, task int, m *Machine, team *Team) {
	m.Free = m.Free.Minus(Needs(j.Spec))
	if team != nil {
		team.Used = team.Used.Plus(Needs(j.Spec))
	}
	m.Pull(j.Spec)
	if j.zoned() {
		j.Running = append(j.Running, Running{Task: task, Machine: m.Name, Zone: m.Zone})
	} else {
		j.started++ // where it is matters to nothing in this plan
	}
	p.plan.Places = append(p.plan.Places, Place{j.ID, task, m.Name, m.Booting})
}

// fitGang finds room for n tasks at once, or nil; if up is set, only on machines
// that are up.
func (p *planning) fitGang(j *Job, n int, up bool) []*Machine {
	candidates := p.candidates(j, up)
	fits := 0
	for _, m := range candidates {
		fits += Needs(j.Spec).Count(m.Free)
	}
	if fits < n {
		return nil
	}
	var best []*Machine
	bestCost := 0.0
	for _, group := range p.groups(j, candidates) {
		if places, cost := p.fitMost(j, n, group); len(places) == n && (best == nil || cost < bestCost) {
			best, bestCost = places, cost
		}
	}
	return best
}

// groups are the machines among which the job's tasks may be spread: all of them,
// or those of one zone.
func (p *planning) groups(j *Job, machines []*Machine) [][]*Machine {
	if !j.Spec.OneZone {
		return [][]*Machine{machines}
	}
	groups := make([][]*Machine, len(p.zones))
	for _, m := range machines {
		i := slices.Index(p.zones, m.Zone)
		groups[i] = append(groups[i], m)
	}
	return groups
}

// fitMost finds room for as many of n tasks as there is on the given machines,
// which it leaves as they are.
func (p *planning) fitMost(j *Job, n int, candidates []*Machine) (places []*Machine, cost float64) {
	room := p.choices(j, candidates)
	zones := zonesOf(j)
	needs := Needs(j.Spec)
	var before []Amounts
	for len(places) < n {
		m := room.best(zones)
		if m == nil {
			break
		}
		cost += room.list[0].score
		before = append(before, m.Free)
		m.Free = m.Free.Minus(needs)
		zones[m.Zone]++
		places = append(places, m)
		room.taken()
	}
	for i, m := range slices.Backward(places) {
		m.Free = before[i]
	}
	return places, cost
}

// Allowed tells whether a job may use a kind of machine in a zone, its other
// tasks aside.
func Allowed(s *protocol.JobSpec, typ, zone string, spot bool) bool {
	return (len(s.Types) == 0 || slices.Contains(s.Types, typ)) &&
		(s.Zone == "" || s.Zone == zone) && (s.Spot || !spot)
}

// ZoneAllowed judges a zone by where the job's tasks may be already, those of
// old attempts included. A task in a zone not known ("") may be in any.
func ZoneAllowed(s *protocol.JobSpec, zones map[string]int, zone string) bool {
	if s.OneZone {
		for z, n := range zones {
			if n > 0 && z != zone {
				return false
			}
		}
	}
	return !s.Spread || zones[zone]+zones[""]+1 <= (s.Tasks+1)/2
}

// candidates are the machines with room for a task of the job, its other tasks
// aside.
func (p *planning) candidates(j *Job, up bool) []*Machine {
	var all []*Machine
	needs := Needs(j.Spec)
	for i := range p.machines {
		m := &p.machines[i]
		if needs.Fits(m.Free) && !(up && m.Booting) && Allowed(j.Spec, m.Type, m.Zone, m.Spot) && !j.Avoid[m.Name] {
			all = append(all, m)
		}
	}
	return all
}

// choices are machines in the order of their scores for tasks of one job: alike
// tasks are placed one after another without a look at every machine for each.
type choices struct {
	j    *Job
	list []choice
}

type choice struct {
	m     *Machine
	score float64
	order int // among equal ones
}

func (p *planning) choices(j *Job, machines []*Machine) *choices {
	c := &choices{j, make([]choice, len(machines))}
	for i, m := range machines {
		c.list[i] = choice{m, score(j, m), i}
	}
	heap.Init(c)
	return c
}

func (c *choices) Len() int { return len(c.list) }
func (c *choices) Less(i, k int) bool {
	a, b := &c.list[i], &c.list[k]
	return a.score < b.score || a.score == b.score && a.order < b.order
}
func (c *choices) Swap(i, k int) { c.list[i], c.list[k] = c.list[k], c.list[i] }
func (c *choices) Push(x any)    { c.list = append(c.list, x.(choice)) }
func (c *choices) Pop() any {
	last := c.list[len(c.list)-1]
	c.list = c.list[:len(c.list)-1]
	return last
}

// best is the most suitable machine with room for one more task, or nil. A zone
// that the job's tasks close to it stays closed, since they only become more.
func (c *choices) best(zones map[string]int) *Machine {
	for len(c.list) > 0 {
		if m := c.list[0].m; ZoneAllowed(c.j.Spec, zones, m.Zone) {
			return m
		}
		heap.Pop(c)
	}
	return nil
}

// taken tells that the best machine has less room now.
func (c *choices) taken() {
	first := &c.list[0]
	if !Needs(c.j.Spec).Fits(first.m.Free) {
		heap.Pop(c)
		return
	}
	first.score = score(c.j, first.m)
	heap.Fix(c, 0)
}

// spotRisk is the part of its run that a task without checkpoints is taken to lose
// on a spot machine, which may be taken back.
const spotRisk = 0.1

// bootRiskS is for machines that take longer to boot than they should, in seconds.
const bootRiskS = 10

// score weighs, in seconds, the wait for the image, running on a costlier
// machine than needed, and how much of the machine would be left in pieces:
// full machines leave others idle, and idle ones can be returned.
func score(j *Job, m *Machine) float64 {
	s := m.ImageS(j.Spec)
	if m.Booting {
		s += m.BootS + bootRiskS
	}
	needs := Needs(j.Spec)
	s += m.Slow * j.Spec.EstimateS
	if m.Spot && j.Spec.CheckpointS == 0 {
		s += spotRisk * j.Spec.EstimateS
	}
	s += 10 * m.Price * needs.Share(m.Whole)
	s += 5 * m.Free.Minus(needs).Share(m.Whole)
	return s
}
