// Package snapshots shows the planner what is known of jobs, machines and teams. It changes nothing
// but cached views. The scheduler plans from a snapshot, the autoscaler looks for surplus machines
// in one.
package snapshots

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"postpoint/internal/cells"
	"postpoint/internal/clock"
	"postpoint/internal/fleet"
	"postpoint/internal/leader/jobtable"
	"postpoint/internal/leader/machinetable"
	"postpoint/internal/leader/objectives"
	"postpoint/internal/leader/reconciler"
	"postpoint/internal/leader/recordstore"
	"postpoint/internal/leader/term"
	"postpoint/internal/leader/zonetracker"
	"postpoint/internal/ordered"
	"postpoint/internal/planner"
	"postpoint/internal/protocol"
)

// Builder shows the planner what is known of jobs, machines and teams.
type Builder struct {
	*term.State
	jobs       *jobtable.Table
	machines   *machinetable.Table
	catalogue  *machinetable.Catalogue
	objectives *objectives.Tracker
	writer     *recordstore.Writer
	commands   *reconciler.CommandSender
	zones      *zonetracker.Tracker
	// Directory lists the cells, nil if they are switched off.
	Directory *cells.Directory

	Views []planner.Machine // of the last snapshot
	// free is what the machines of the last snapshot had left.
	free planner.Amounts
}

// New makes a builder of snapshots of the given components.
func New(term *term.State, jobs *jobtable.Table, machines *machinetable.Table, catalogue *machinetable.Catalogue,
	objectives *objectives.Tracker, writer *recordstore.Writer, commands *reconciler.CommandSender, zones *zonetracker.Tracker) *Builder {
	return &Builder{
		State:      term,
		jobs:       jobs,
		machines:   machines,
		catalogue:  catalogue,
		objectives: objectives,
		writer:     writer,
		commands:   commands,
		zones:      zones,
	}
}

// Snapshot is what is known now. It is valid until the next one is taken.
func (sb *Builder) Snapshot() planner.Snapshot {
	now := sb.Now()
	s := planner.Snapshot{Teams: map[string]planner.Team{}}
	for _, t := range sb.Settings.Deployment.Teams {
		s.Teams[t.Name] = planner.Team{
			Limit:     planner.Amounts{Cpus: t.CpusMax, Gpus: t.GpusMax},
			Guarantee: planner.Amounts{Cpus: t.Cpus, Gpus: t.Gpus},
		}
	}
	// One snapshot is done with before the next is taken.
	s.Machines = slices.Grow(sb.Views[:0], len(sb.machines.Ordered))
	for _, m := range sb.machines.Ordered {
		if pm, ok := sb.PlannedMachine(m, now); ok {
			s.Machines = append(s.Machines, pm)
		}
	}
	sb.Views = s.Machines
	evictions := sb.evictionsPossible(s.Teams)
	if sb.Directory != nil {
		sb.free = freeRoom(s.Machines)
	}
	for _, j := range ordered.ByKey(sb.jobs.ByID) {
		team := s.Teams[j.Spec.Team]
		needs := planner.Needs(&j.Spec)
		// A place counts from its proposal until it is proven empty.
		team.Used = team.Used.Plus(needs.Times(float64(j.PlacesTaken())))
		if !j.Final() {
			left := needs.Times(float64(j.Spec.Tasks - j.Done.Len()))
			team.BacklogS += j.Spec.EstimateS * left.Share(team.Limit)
		}
		s.Teams[j.Spec.Team] = team
		if j.Over() || j.MustReload || j.ShardsUnread || j.Permission != nil && !j.Permission.MayStart(now) && len(j.Placed) == 0 {
			continue
		}
		s.Jobs = append(s.Jobs, sb.PlannedJob(j, now, evictions))
	}
	sb.markWithin(&s)
	promoteQuotaBound(&s)
	s.Jobs = append(s.Jobs, sb.expectedArrivals()...)
	s.Jobs = append(s.Jobs, sb.displacedReserves()...)
	s.Jobs = append(s.Jobs, sb.zoneReserves()...)
	MarkBorrowed(&s)
	return s
}

// ReservePrefix marks places that are kept free; no job's id begins like this.
const ReservePrefix = "spare/"

// expectedArrivals are places to keep free for jobs that are about to come and are to
// start sooner than a machine boots. They stand in the queue behind the jobs
// that can still start in time and before all others.
func (sb *Builder) expectedArrivals() []planner.Job {
	var jobs []planner.Job
	for class, u := range ordered.ByKey(sb.objectives.Classes) {
		if !sb.objectives.StartsBeforeBoot(class) || sb.Now() > u.LastAt+2*objectives.ArrivalWindow {
			continue
		}
		spec := u.Spec
		spec.Shape, spec.Tasks = protocol.ShapeArray, u.Spec.Tasks*(1+int(float64(len(u.Arrivals))*arrivalHorizonS/objectives.ArrivalWindow.Seconds()))
		rank := protocol.RankOf(spec.Rank)
		if u.Spec.Service() {
			spec.Tasks, spec.Types = sb.SpareReplicas(u), sb.catalogue.ReplicaTypes(&u.Spec)
			// Whatever waits goes first: a replica can make room where none is kept.
			rank = len(protocol.Ranks)
		}
		j := planner.Job{ID: ReservePrefix + class, Spec: &spec, Rank: rank, SubmittedAt: math.MaxInt64,
			Tier: planner.StartsInTime, StartS: math.MaxFloat64, SlackS: math.MaxFloat64, Limit: spec.Tasks}
		for t := range spec.Tasks {
			j.Pending = append(j.Pending, t)
		}
		jobs = append(jobs, j)
	}
	return jobs
}

// arrivalHorizonS is how long, in seconds, the arrivals are for which places are kept.
const arrivalHorizonS = 12.0

// promoteQuotaBound moves the late work of teams up whose limits hold them back for longer
// than all the rest will take: it decides when everything is done.
func promoteQuotaBound(s *planner.Snapshot) {
	var whole planner.Amounts
	for _, m := range s.Machines {
		whole = whole.Plus(m.Whole)
	}
	rest := 0.0
	for i := range s.Jobs {
		j := &s.Jobs[i]
		rest += j.Spec.EstimateS * planner.Needs(j.Spec).Times(float64(len(j.Pending)+len(j.Running))).Share(whole)
	}
	for i := range s.Jobs {
		if j := &s.Jobs[i]; j.Tier == planner.TooLate && s.Teams[j.Spec.Team].BacklogS > 1.5*rest {
			j.Tier, j.SlackS = planner.EndsInTime, 0
		}
	}
}

// PlannedJob is a job as the planner is shown it.
func (sb *Builder) PlannedJob(j *jobtable.Job, now clock.Micros, evictions bool) planner.Job {
	limit, _ := sb.writer.Limits()
	pj := planner.Job{ID: j.Spec.ID, Spec: &j.Spec, Rank: j.Rank(), SubmittedAt: j.SubmittedAt,
		Returning: j.Reclaiming, Waiting: now < j.NotBefore || sb.zones.AwaitsClearance(j), MayEvict: j.StartFailures < 3, Avoid: j.AvoidMachines}
	urgency := sb.objectives.TierAndSlack(j)
	pj.Tier, pj.SlackS = urgency.Tier, urgency.SlackS
	pj.StartAim = j.Spec.Service() || sb.objectives.StartObjectiveS(j.Spec.Class) > 0
	pj.StartS = sb.objectives.StartSlackS(j)
	pj.Unmet = j.UnmetAt != 0 && now > j.UnmetSince+unmetDemandTime && now <= j.UnmetAt+jobtable.UnmetDemandGap
	pj.Running = sb.runningTasks(j, now, evictions)
	// Zones that tasks' places depend on are known only once none is with another cell.
	zonesKnown := j.TasksElsewhere == 0 || !j.Spec.OneZone && !j.Spec.Spread
	if missing := j.PendingCount() > 0; missing && zonesKnown && !j.Sharding && (!j.Spec.Gang() || len(j.Placed) == 0 || sb.commands.Completable(j)) {
		if j.Spec.Gang() {
			pj.Pending = j.Pending(j.Spec.Tasks)
			pj.Limit = len(j.Startable(limit, j.Spec.Tasks))
			pj.Avoid = sb.machinesWithEndedTasks(j)
		} else {
			pj.Pending = j.Restartable(j.Startable(limit, maxTasksPerPlan), now)
			pj.Limit = len(pj.Pending)
		}
	}
	if len(pj.Pending) == 0 {
		j.Reclaiming = false
	}
	if j.Permission != nil {
		sb.restrictHosted(j, &pj, now)
	}
	return pj
}

// machinesWithEndedTasks adds to the machines that a gang avoids those that still report an
// ended task of the attempt that it may be completed with: a start of the same
// task and attempt has no effect there.
func (sb *Builder) machinesWithEndedTasks(j *jobtable.Job) map[string]bool {
	if len(j.Placed) == 0 {
		return j.AvoidMachines
	}
	avoid := maps.Clone(j.AvoidMachines)
	for _, m := range sb.machines.Ordered {
		name := m.Name
		for ref, t := range m.Tasks {
			if ref.Job == j.Spec.ID && t.Status == protocol.TaskExited {
				avoid[name] = true
			}
		}
	}
	return avoid
}

// runningTasks shows the planner what a job has placed. What stopping a task
// loses is the time since the last checkpoint that its interval implies, or all
// of it where it declares none.
func (sb *Builder) runningTasks(j *jobtable.Job, now clock.Micros, evictions bool) []planner.Running {
	if j.RunningStale {
		j.RunningStale = false
		j.RunningView, j.RunningSince, j.TasksElsewhere = j.RunningView[:0], j.RunningSince[:0], 0
		for _, task := range slices.Sorted(maps.Keys(j.Placed)) {
			p := j.Placed[task]
			if p.Host() != "" {
				j.TasksElsewhere++
				continue // stopping it makes no room here
			}
			r := planner.Running{Task: task, Machine: p.Machine}
			_, r.Stopping = j.Stops[task]
			since := clock.Micros(0)
			if m := sb.machines.ByName[p.Machine]; m != nil {
				r.Zone = m.Zone
				since = m.RunningSince[machinetable.AttemptRef{Job: j.Spec.ID, Task: task, Attempt: p.Attempt}]
			}
			j.RunningView, j.RunningSince = append(j.RunningView, r), append(j.RunningSince, since)
		}
	}
	if !evictions {
		return j.RunningView
	}
	for i, since := range j.RunningSince {
		r := &j.RunningView[i]
		r.Overhead, r.Borrowed = 0, false
		if since != 0 {
			r.Overhead = (now - since).Seconds()
			if j.Spec.CheckpointS > 0 {
				r.Overhead = math.Mod(r.Overhead, j.Spec.CheckpointS)
			}
		}
	}
	return j.RunningView
}

// evictionsPossible tells that some job could make another yield: what stopping tasks
// would lose is worth computing only then, thousands of times in each plan.
func (sb *Builder) evictionsPossible(teams map[string]planner.Team) bool {
	for _, t := range teams {
		if t.Guaranteed() {
			return true
		}
	}
	ranks := map[int]bool{}
	for _, j := range sb.jobs.ByID {
		ranks[j.Rank()] = true
	}
	return len(ranks) > 1
}

// markWithin marks the jobs that fit into their teams' guarantees together with
// the teams' earlier ones.
func (sb *Builder) markWithin(s *planner.Snapshot) {
	left := map[string]planner.Amounts{}
	for name, t := range s.Teams {
		if t.Guaranteed() {
			left[name] = t.Guarantee
		}
	}
	if len(left) == 0 {
		return
	}
	for _, j := range slices.Backward(youngestFirst(s)) {
		room, guaranteed := left[j.Spec.Team]
		if !guaranteed {
			continue
		}
		all := planner.Needs(j.Spec).Times(float64(j.Spec.Tasks - sb.jobs.ByID[j.ID].Done.Len()))
		g := s.Teams[j.Spec.Team].Guarantee
		j.Within = (g.Cpus == 0 || all.Cpus <= room.Cpus+1e-6) && (g.Gpus == 0 || all.Gpus <= room.Gpus+1e-6)
		left[j.Spec.Team] = room.Minus(all)
	}
}

// youngestFirst are the snapshot's jobs by their submission.
func youngestFirst(s *planner.Snapshot) []*planner.Job {
	order := make([]*planner.Job, len(s.Jobs))
	for i := range s.Jobs {
		order[i] = &s.Jobs[i]
	}
	slices.SortFunc(order, func(a, b *planner.Job) int {
		return cmp.Or(cmp.Compare(b.SubmittedAt, a.SubmittedAt), cmp.Compare(b.ID, a.ID))
	})
	return order
}

// MarkBorrowed marks, youngest jobs first, what teams run beyond their
// guarantees. Without any guarantee there is nobody to return it to.
func MarkBorrowed(s *planner.Snapshot) {
	guaranteed := false
	excess := map[string]planner.Amounts{}
	for name, t := range s.Teams {
		guaranteed = guaranteed || t.Guaranteed()
		excess[name] = t.Used.Minus(t.Guarantee)
	}
	if !guaranteed {
		return
	}
	for _, j := range youngestFirst(s) {
		if j.Spec.Service() || j.Rank > len(protocol.Ranks) {
			continue // stopping a service costs its users more than a guarantee that comes later; guests yield by rank
		}
		g := s.Teams[j.Spec.Team].Guarantee
		for i := range j.Running {
			left := excess[j.Spec.Team]
			if g.Cpus > 0 && left.Cpus > 1e-6 || g.Gpus > 0 && left.Gpus > 1e-6 || g.Cpus == 0 && g.Gpus == 0 {
				j.Running[i].Borrowed = true
				excess[j.Spec.Team] = left.Minus(planner.Needs(j.Spec))
			}
		}
	}
}

// PlannedMachine is the machine as the planner may use it, if at all.
func (sb *Builder) PlannedMachine(m *machinetable.Machine, now clock.Micros) (planner.Machine, bool) {
	t, known := sb.catalogue.ByName[m.Type]
	if !known || m.Releasing || m.Quarantined || m.RecallAt != 0 || now < m.FullUntil || sb.zones.Lost(m.Zone) ||
		m.Seen && (m.Cordoned || m.ResponsesLost || !sb.machines.EpochAcknowledged(m) || !sb.machines.LeaseRenewed(m)) {
		return planner.Machine{}, false
	}
	if m.ViewStale {
		sb.rebuildView(m, t)
	}
	m.View.Doubtful = sb.zones.Returning(m.Zone)
	if !m.Seen {
		boot := clock.FromSeconds(t.BootS)
		m.View.Booting = m.CloudStatus == protocol.MachineStarting && now < m.FirstSeen+2*boot+5*clock.Second ||
			m.CloudStatus == protocol.MachineRunning && now < m.FirstSeen+boot+10*clock.Second
		// One that is late is taken to need as long again as it is late.
		late := now - m.FirstSeen - boot
		m.View.BootS = max(-late, late).Seconds()
		return m.View, m.View.Booting && len(m.Placements) == 0
	}
	m.AdvancePulls(now, t)
	m.View.PullS = m.PullGB * m.View.FetchS
	m.View.Late = sb.machines.Late(m)
	return m.View, !m.Unrecognized
}

// rebuildView makes the planner's view of a machine anew.
func (sb *Builder) rebuildView(m *machinetable.Machine, t protocol.MachineType) {
	m.ViewStale, m.Unrecognized = false, false
	m.AdvancePulls(sb.Now(), t)
	before := m.View.Pulling
	m.View = planner.Machine{Name: m.Name, Type: m.Type, Zone: m.Zone, Spot: m.Spot, Whole: fleet.Whole(t),
		Free: fleet.Whole(t), Price: fleet.Price(t, m.Spot), Slow: m.Slowness()}
	if t.FetchGBPerS > 0 {
		m.View.FetchS = 1 / t.FetchGBPerS
	}
	for _, i := range m.Images {
		m.View.Images = append(m.View.Images, i.Name)
	}
	for id, tasks := range ordered.ByKey(m.Placements) {
		j := sb.jobs.ByID[id]
		m.View.Free = m.View.Free.Minus(planner.Needs(&j.Spec).Times(float64(len(tasks))))
		if j.Spec.Service() {
			m.View.Replicas += len(tasks)
		}
		if m.View.Pull(&j.Spec); !slices.Contains(before, j.Spec.Image) && slices.Contains(m.View.Pulling, j.Spec.Image) {
			m.PullGB += j.Spec.ImageGB
			before = append(before, j.Spec.Image)
		}
	}
	for ref, t := range m.Tasks {
		if _, placed := m.Placements[ref.Job][ref.Task]; !placed && t.Status != protocol.TaskExited {
			m.Unrecognized = true
		}
	}
}

// PlanningCost is what a step is taken to cost, for a pause after it that leaves the
// processor to heartbeats, renewals and users: a leader that plans without a break at
// a tenth of a core is late for everything else. Each part is counted rather
// than timed, so that the same events always lead to the same decisions.
func (sb *Builder) PlanningCost() clock.Micros {
	placed := 0
	for _, j := range sb.jobs.ByID {
		placed += len(j.Placed)
	}
	return clock.Micros(len(sb.machines.Ordered)*machineCost + len(sb.jobs.ByID)*jobCost + placed*placedCost)
}

// What one of each adds to a step, in microseconds.
const (
	machineCost = 1
	jobCost     = 5
	placedCost  = 1
)

// unmetDemandTime is after which machines that were wanted and haven't come are taken
// not to: longer than any boots, and less than the 90 s that users give other jobs.
const unmetDemandTime = 60 * clock.Second

// maxTasksPerPlan bounds how many tasks of one job a single plan starts.
const maxTasksPerPlan = 2000

// freeRoom is what machines have left, those that boot included.
func freeRoom(machines []planner.Machine) planner.Amounts {
	var free planner.Amounts
	for i := range machines {
		free = free.Plus(machines[i].Free)
	}
	return free
}
