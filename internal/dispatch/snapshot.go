package dispatch

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"postpoint/internal/cells"
	"postpoint/internal/clock"
	"postpoint/internal/fleet"
	"postpoint/internal/planner"
	"postpoint/internal/protocol"
)

// snapshotBuilder shows the planner what is known of jobs, machines and teams.
type snapshotBuilder struct {
	*leaderTerm
	jobs       *jobTable
	machines   *machineTable
	catalogue  *machineCatalogue
	objectives *objectives
	writer     *recordWriter
	commands   *commandSender
	zones      *zoneRecovery
	// directory lists the cells, nil if they are switched off.
	directory *cells.Directory

	views []planner.Machine // of the last snapshot
	// free is what the machines of the last snapshot had left.
	free planner.Amounts
}

func newSnapshotBuilder(term *leaderTerm, jobs *jobTable, machines *machineTable, catalogue *machineCatalogue,
	objectives *objectives, writer *recordWriter, commands *commandSender, zones *zoneRecovery) *snapshotBuilder {
	return &snapshotBuilder{
		leaderTerm: term,
		jobs:       jobs,
		machines:   machines,
		catalogue:  catalogue,
		objectives: objectives,
		writer:     writer,
		commands:   commands,
		zones:      zones,
	}
}

func (sb *snapshotBuilder) snapshot() planner.Snapshot {
	now := sb.now()
	s := planner.Snapshot{Teams: map[string]planner.Team{}}
	for _, t := range sb.settings.Deployment.Teams {
		s.Teams[t.Name] = planner.Team{
			Limit:     planner.Amounts{Cpus: t.CpusMax, Gpus: t.GpusMax},
			Guarantee: planner.Amounts{Cpus: t.Cpus, Gpus: t.Gpus},
		}
	}
	// One snapshot is done with before the next is taken.
	s.Machines = slices.Grow(sb.views[:0], len(sb.machines.ordered))
	for _, m := range sb.machines.ordered {
		if pm, ok := sb.planned(m, now); ok {
			s.Machines = append(s.Machines, pm)
		}
	}
	sb.views = s.Machines
	evictions := sb.evictionsPossible(s.Teams)
	if sb.directory != nil {
		sb.free = freeRoom(s.Machines)
	}
	for _, j := range inOrder(sb.jobs.byID) {
		team := s.Teams[j.Spec.Team]
		needs := planner.Needs(&j.Spec)
		// A place counts from its proposal until it is proven empty.
		team.Used = team.Used.Plus(needs.Times(float64(j.taken())))
		if !j.Final() {
			left := needs.Times(float64(j.Spec.Tasks - j.Done.Len()))
			team.BacklogS += j.Spec.EstimateS * left.Share(team.Limit)
		}
		s.Teams[j.Spec.Team] = team
		if j.over() || j.reread || j.partsUnread || j.permit != nil && !j.permit.MayStart(now) && len(j.Placed) == 0 {
			continue
		}
		s.Jobs = append(s.Jobs, sb.plannedJob(j, now, evictions))
	}
	sb.markWithin(&s)
	hurry(&s)
	s.Jobs = append(s.Jobs, sb.expected()...)
	s.Jobs = append(s.Jobs, sb.expectedBack()...)
	s.Jobs = append(s.Jobs, sb.reserved()...)
	markBorrowed(&s)
	return s
}

// sparePrefix marks places that are kept free; no job's id begins like this.
const sparePrefix = "spare/"

// expected are places to keep free for jobs that are about to come and are to
// start sooner than a machine boots. They stand in the queue behind the jobs
// that can still start in time and before all others.
func (sb *snapshotBuilder) expected() []planner.Job {
	var jobs []planner.Job
	for class, u := range inOrder(sb.objectives.classSeen) {
		if !sb.objectives.startsSoon(class) || sb.now() > u.at+2*rateTime {
			continue
		}
		spec := u.spec
		spec.Shape, spec.Tasks = protocol.ShapeArray, u.spec.Tasks*(1+int(float64(len(u.arrivals))*spareS/rateTime.Seconds()))
		rank := protocol.RankOf(spec.Rank)
		if u.spec.Service() {
			spec.Tasks, spec.Types = sb.spareReplicas(u), sb.catalogue.replicaTypes(&u.spec)
			// Whatever waits goes first: a replica can make room where none is kept.
			rank = len(protocol.Ranks)
		}
		j := planner.Job{ID: sparePrefix + class, Spec: &spec, Rank: rank, SubmittedAt: math.MaxInt64,
			Tier: planner.StartsInTime, StartS: math.MaxFloat64, SlackS: math.MaxFloat64, Limit: spec.Tasks}
		for t := range spec.Tasks {
			j.Pending = append(j.Pending, t)
		}
		jobs = append(jobs, j)
	}
	return jobs
}

// spareS is how long, in seconds, the arrivals are for which places are kept.
const spareS = 12.0

// hurry moves the late work of teams up whose limits hold them back for longer
// than all the rest will take: it decides when everything is done.
func hurry(s *planner.Snapshot) {
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

// plannedJob is a job as the planner is shown it.
func (sb *snapshotBuilder) plannedJob(j *job, now clock.Micros, evictions bool) planner.Job {
	limit, _ := sb.writer.recordLimits()
	pj := planner.Job{ID: j.Spec.ID, Spec: &j.Spec, Rank: j.rank(), SubmittedAt: j.SubmittedAt,
		Returning: j.returning, Waiting: now < j.notBefore || sb.zones.awaitsTurn(j), MayEvict: j.failures < 3, Avoid: j.avoid}
	pj.Tier, pj.SlackS = sb.objectives.aims(j)
	pj.StartAim = j.Spec.Service() || sb.objectives.startAim(j.Spec.Class) > 0
	pj.StartS = sb.objectives.startLeft(j)
	pj.Unmet = j.wantedAt != 0 && now > j.wantedFrom+unmetTime && now <= j.wantedAt+wantedGap
	pj.Running = sb.runningTasks(j, now, evictions)
	// Zones that tasks' places depend on are known only once none is with another cell.
	zonesKnown := j.elsewhere == 0 || !j.Spec.OneZone && !j.Spec.Spread
	if missing := j.PendingCount() > 0; missing && zonesKnown && !j.dividing && (!j.Spec.Gang() || len(j.Placed) == 0 || sb.commands.completable(j)) {
		if j.Spec.Gang() {
			pj.Pending = j.Pending(j.Spec.Tasks)
			pj.Limit = len(j.Startable(limit, j.Spec.Tasks))
			pj.Avoid = sb.leftOn(j)
		} else {
			pj.Pending = j.restartable(j.Startable(limit, planTasks), now)
			pj.Limit = len(pj.Pending)
		}
	}
	if len(pj.Pending) == 0 {
		j.returning = false
	}
	if j.permit != nil {
		sb.planGuest(j, &pj, now)
	}
	return pj
}

// leftOn adds to the machines that a gang avoids those that still report an
// ended task of the attempt that it may be completed with: a start of the same
// task and attempt has no effect there.
func (sb *snapshotBuilder) leftOn(j *job) map[string]bool {
	if len(j.Placed) == 0 {
		return j.avoid
	}
	avoid := maps.Clone(j.avoid)
	for _, m := range sb.machines.ordered {
		name := m.name
		for ref, t := range m.tasks {
			if ref.job == j.Spec.ID && t.Status == protocol.TaskExited {
				avoid[name] = true
			}
		}
	}
	return avoid
}

// runningTasks shows the planner what a job has placed. What stopping a task
// loses is the time since the last checkpoint that its interval implies, or all
// of it where it declares none.
func (sb *snapshotBuilder) runningTasks(j *job, now clock.Micros, evictions bool) []planner.Running {
	if j.runningStale {
		j.runningStale = false
		j.running, j.runningSince, j.elsewhere = j.running[:0], j.runningSince[:0], 0
		for _, task := range slices.Sorted(maps.Keys(j.Placed)) {
			p := j.Placed[task]
			if p.Host() != "" {
				j.elsewhere++
				continue // stopping it makes no room here
			}
			r := planner.Running{Task: task, Machine: p.Machine}
			_, r.Stopping = j.stops[task]
			since := clock.Micros(0)
			if m := sb.machines.byName[p.Machine]; m != nil {
				r.Zone = m.zone
				since = m.since[taskRef{j.Spec.ID, task, p.Attempt}]
			}
			j.running, j.runningSince = append(j.running, r), append(j.runningSince, since)
		}
	}
	if !evictions {
		return j.running
	}
	for i, since := range j.runningSince {
		r := &j.running[i]
		r.Overhead, r.Borrowed = 0, false
		if since != 0 {
			r.Overhead = (now - since).Seconds()
			if j.Spec.CheckpointS > 0 {
				r.Overhead = math.Mod(r.Overhead, j.Spec.CheckpointS)
			}
		}
	}
	return j.running
}

// evictionsPossible tells that some job could make another yield: what stopping tasks
// would lose is worth computing only then, thousands of times in each plan.
func (sb *snapshotBuilder) evictionsPossible(teams map[string]planner.Team) bool {
	for _, t := range teams {
		if t.Guaranteed() {
			return true
		}
	}
	ranks := map[int]bool{}
	for _, j := range sb.jobs.byID {
		ranks[j.rank()] = true
	}
	return len(ranks) > 1
}

// markWithin marks the jobs that fit into their teams' guarantees together with
// the teams' earlier ones.
func (sb *snapshotBuilder) markWithin(s *planner.Snapshot) {
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
		all := planner.Needs(j.Spec).Times(float64(j.Spec.Tasks - sb.jobs.byID[j.ID].Done.Len()))
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

// markBorrowed marks, youngest jobs first, what teams run beyond their
// guarantees. Without any guarantee there is nobody to return it to.
func markBorrowed(s *planner.Snapshot) {
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

// planned is the machine as the planner may use it, if at all.
func (sb *snapshotBuilder) planned(m *machine, now clock.Micros) (planner.Machine, bool) {
	t, known := sb.catalogue.byName[m.typ]
	if !known || m.releasing || m.quarantine || m.recallAt != 0 || now < m.fullUntil || sb.zones.lost(m.zone) ||
		m.seen && (m.cordoned || m.answersLost || !sb.machines.synced(m) || !sb.machines.renewed(m)) {
		return planner.Machine{}, false
	}
	if m.viewStale {
		sb.look(m, t)
	}
	m.view.Doubtful = sb.zones.returning(m.zone)
	if !m.seen {
		boot := clock.FromSeconds(t.BootS)
		m.view.Booting = m.status == protocol.MachineStarting && now < m.firstSeen+2*boot+5*clock.Second ||
			m.status == protocol.MachineRunning && now < m.firstSeen+boot+10*clock.Second
		// One that is late is taken to need as long again as it is late.
		late := now - m.firstSeen - boot
		m.view.BootS = max(-late, late).Seconds()
		return m.view, m.view.Booting && len(m.placed) == 0
	}
	m.pull(now, t)
	m.view.PullS = m.pullGB * m.view.FetchS
	m.view.Late = sb.machines.late(m)
	return m.view, !m.strange
}

// pull lets the images that are being fetched come nearer.
func (m *machine) pull(now clock.Micros, t protocol.MachineType) {
	if len(m.view.Pulling) == 0 {
		m.pullGB = 0
	}
	m.pullGB = max(0, m.pullGB-(now-m.pulledAt).Seconds()*t.FetchGBPerS)
	m.pulledAt = now
}

// look makes the planner's view of a machine anew.
func (sb *snapshotBuilder) look(m *machine, t protocol.MachineType) {
	m.viewStale, m.strange = false, false
	m.pull(sb.now(), t)
	before := m.view.Pulling
	m.view = planner.Machine{Name: m.name, Type: m.typ, Zone: m.zone, Spot: m.spot, Whole: fleet.Whole(t),
		Free: fleet.Whole(t), Price: fleet.Price(t, m.spot), Slow: m.slowness()}
	if t.FetchGBPerS > 0 {
		m.view.FetchS = 1 / t.FetchGBPerS
	}
	for _, i := range m.images {
		m.view.Images = append(m.view.Images, i.name)
	}
	for id, tasks := range inOrder(m.placed) {
		j := sb.jobs.byID[id]
		m.view.Free = m.view.Free.Minus(planner.Needs(&j.Spec).Times(float64(len(tasks))))
		if j.Spec.Service() {
			m.view.Replicas += len(tasks)
		}
		if m.view.Pull(&j.Spec); !slices.Contains(before, j.Spec.Image) && slices.Contains(m.view.Pulling, j.Spec.Image) {
			m.pullGB += j.Spec.ImageGB
			before = append(before, j.Spec.Image)
		}
	}
	for ref, t := range m.tasks {
		if _, placed := m.placed[ref.job][ref.task]; !placed && t.Status != protocol.TaskExited {
			m.strange = true
		}
	}
}

// planningCost is what a step is taken to cost, for a pause after it that leaves the
// processor to heartbeats, renewals and users: a leader that plans without a break at
// a tenth of a core is late for everything else. Each part is counted rather
// than timed, so that the same events always lead to the same decisions.
func (sb *snapshotBuilder) planningCost() clock.Micros {
	placed := 0
	for _, j := range sb.jobs.byID {
		placed += len(j.Placed)
	}
	return clock.Micros(len(sb.machines.ordered)*machineCost + len(sb.jobs.byID)*jobCost + placed*placedCost)
}

// What one of each adds to a step, in microseconds.
const (
	machineCost = 1
	jobCost     = 5
	placedCost  = 1
)

// unmetTime is after which machines that were wanted and haven't come are taken
// not to: longer than any boots, and less than the 90 s that users give other jobs.
const unmetTime = 60 * clock.Second

// planTasks bounds how many tasks of one job a single plan starts.
const planTasks = 2000

// freeRoom is what machines have left, those that boot included.
func freeRoom(machines []planner.Machine) planner.Amounts {
	var free planner.Amounts
	for i := range machines {
		free = free.Plus(machines[i].Free)
	}
	return free
}
