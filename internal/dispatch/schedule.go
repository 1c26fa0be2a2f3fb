package dispatch

import (
	"cmp"
	"context"
	"log/slog"
	"maps"
	"math"
	"slices"
	"strings"

	"postpoint/internal/clock"
	"postpoint/internal/fleet"
	"postpoint/internal/ledger"
	"postpoint/internal/planner"
	"postpoint/internal/protocol"
)

// planTasks bounds how many tasks of one job a single plan starts.
const planTasks = 2000

// schedule plans from what is known now and turns the plan into proposals.
func (d *Dispatch) schedule() {
	if len(d.catalogue) == 0 {
		return
	}
	d.plans++
	snapshot := d.snapshot()
	plan := planner.Make(snapshot)
	// Each look costs a plan, and hundreds may have been spared.
	for n := 1; len(plan.Wants) > 0 && d.uncordon(plan.Wants, n); n *= 2 {
		d.plans++
		snapshot = d.snapshot()
		plan = planner.Make(snapshot)
	}
	// A gang of which a part would boot yet stays whole: placed in part it would
	// hold its places, fail for want of the rest and start over. The plan has kept
	// the room for it.
	booting := map[string]bool{}
	for _, p := range plan.Places {
		if p.Booting && !strings.HasPrefix(p.Job, sparePrefix) && d.jobs[p.Job].Spec.Gang() {
			booting[p.Job] = true
		}
	}
	for _, p := range plan.Places {
		if strings.HasPrefix(p.Job, sparePrefix) {
			d.machines[p.Machine].spareAt = d.now()
			continue
		}
		if p.Booting || booting[p.Job] {
			continue
		}
		j, m := d.jobs[p.Job], d.machines[p.Machine]
		if debugging() {
			slog.Debug("placing task", "job", p.Job, "class", j.Spec.Class, "task", p.Task, "machine", m.name, "type", m.typ,
				"image_there", m.hasImage(j.Spec.Image), "since_submission_s", (d.mailbox.OfDay() - clock.Micros(j.SubmittedAt)).Seconds())
		}
		d.place(j, ledger.Placement{Task: p.Task, Try: j.thisTry(), Machine: m.name, Shift: m.shift})
	}
	for _, s := range plan.Stops {
		j, winner := d.jobs[s.Job], d.jobs[s.For]
		slog.Info("making room", "from", s.Job, "task", s.Task, "for", s.For)
		d.stop(j, s.Task, "room", s.For)
		if !slices.Contains(winner.Lenders, s.Job) {
			winner.Lenders = append(winner.Lenders, s.Job)
			d.touch(winner)
		}
	}
	for _, w := range plan.Wants {
		if j := d.jobs[w.Job.ID]; j != nil {
			if j.wantedAt == 0 || d.now() > j.wantedAt+wantedGap {
				j.wantedFrom = d.now()
			}
			j.wantedAt = d.now()
		}
	}
	d.rent(append(plan.Wants, d.cheaper(plan, snapshot)...))
}

const (
	// unmetTime is after which machines that were wanted and haven't come are taken
	// not to: longer than any boots, and less than the 90 s that users give other jobs.
	unmetTime = 60 * clock.Second
	// wantedGap is longer than it takes from one plan to the next.
	wantedGap = 10 * clock.Second
)

// thisTry is the try for tasks placed now: none of them ever had it, since the
// next try rises above that of each task that has to run again. A gang that is to
// be completed goes on with the try of its other tasks.
func (j *job) thisTry() int64 {
	if j.Spec.Gang() {
		for _, p := range j.Placed {
			return p.Try
		}
	}
	return j.NextTry
}

// debugging spares the cost of what would be thrown away.
func debugging() bool { return slog.Default().Enabled(context.Background(), slog.LevelDebug) }

// cheaper are the tasks that wait for costly machines to boot: a cheaper place
// is rented if there is any, and leaves the costly one to those who need it.
func (d *Dispatch) cheaper(plan planner.Plan, s planner.Snapshot) []planner.Want {
	market := d.market()
	waiting := map[string][]fleet.Kind{} // by job, the kinds that its tasks wait for
	for _, p := range plan.Places {
		if p.Booting {
			waiting[p.Job] = append(waiting[p.Job], d.machines[p.Machine].kind())
		}
	}
	var wants []planner.Want
	for i := range s.Jobs {
		j := &s.Jobs[i]
		costly := 0
		for _, k := range waiting[j.ID] {
			if !market.Fair(k, j) {
				costly++
			}
		}
		if costly > 0 {
			patient := *j
			patient.SlackS, patient.StartAim = math.MaxFloat64, false // nothing but a fair price counts
			wants = append(wants, planner.Want{Job: &patient, Tasks: costly})
		}
	}
	return wants
}

// uncordon gives the planner back some of what was to be spared and is needed after
// all, the cheapest kinds first.
func (d *Dispatch) uncordon(wants []planner.Want, n int) bool {
	market := d.market()
	needed := map[fleet.Kind]bool{}
	var spared []*machine
	for _, m := range d.roster {
		if !m.cordoned || m.releasing {
			continue
		}
		k := m.kind()
		if _, known := needed[k]; !known {
			needed[k] = market.Uncordon(k, wants)
		}
		if needed[k] {
			spared = append(spared, m)
		}
	}
	slices.SortStableFunc(spared, func(a, b *machine) int { return cmp.Compare(market.Price(a.kind()), market.Price(b.kind())) })
	for _, m := range spared[:min(n, len(spared))] {
		m.cordoned = false
	}
	return len(spared) > 0
}

// cordon spares machines of which there are too many, and empties those that have
// been spared for a while. Each look costs a plan, so that their number depends on
// what a plan costs.
func (d *Dispatch) cordon() {
	if len(d.catalogue) == 0 {
		return
	}
	tries := max(cordonTries, min(len(d.roster)/8, int(cordonCost/max(d.stepCost(), 1))))
	s := d.snapshot()
	for _, m := range d.roster {
		if !m.cordoned || m.releasing || d.now() <= m.cordonedAt+cordonTime || !d.movable(m) || tries == 0 {
			continue
		}
		tries--
		rest, ok := fleet.Spares(s, m.name)
		if !ok {
			continue
		}
		s = rest
		slog.Info("moving tasks off a machine that can be spared", "machine", m.name, "type", m.typ, "spot", m.spot)
		for id, tasks := range inOrder(m.placed) {
			for task := range inOrder(tasks) {
				d.stop(d.jobs[id], task, "spared", "")
			}
			d.jobs[id].moved = true
		}
	}
	var names []string
	names, d.spareBatch = fleet.Cordon(s, tries, d.spareBatch)
	for _, name := range names {
		m := d.machines[name]
		m.cordoned, m.cordonedAt = true, d.now()
		slog.Debug("machine can be spared", "machine", name, "type", m.typ)
	}
}

const (
	cordonTries = 4
	// cordonCost is what looking for machines to spare may cost at a time.
	cordonCost = 12 * clock.Millisecond
)

// movable tells that all tasks on a machine can be stopped without losing
// progress, have run for so long that their starts count, and are not likely to
// end by themselves soon. A gang goes as a whole, and once: it stands on many
// machines, of which each could ask for it.
func (d *Dispatch) movable(m *machine) bool {
	worth := false
	for id, tasks := range m.placed {
		j := d.jobs[id]
		if j.over() || j.Spec.CheckpointS == 0 || j.Spec.Gang() && j.Spec.Tasks > 1 && (j.moved || !d.settled(j)) {
			return false
		}
		for _, p := range tasks {
			ran := d.ran(m, taskRef{id, p.Task, p.Try})
			if ran < settledTime || j.stops[p.Task].why != "" {
				return false
			}
			left := j.Spec.EstimateS - ran.Seconds()
			worth = worth || left > j.Spec.SaveS+movedS
		}
	}
	return worth
}

// settled tells that all tasks of a gang have run for so long that their starts count.
func (d *Dispatch) settled(j *job) bool {
	for _, p := range j.Placed {
		m := d.machines[p.Machine]
		if m == nil {
			return false
		}
		if d.ran(m, taskRef{j.Spec.ID, p.Task, p.Try}) < settledTime {
			return false
		}
	}
	return len(j.Placed) == j.Spec.Tasks
}

const (
	settledTime = 32 * clock.Second
	// movedS is what moving a task costs, in seconds, beyond saving it.
	movedS = 60
)

func (d *Dispatch) snapshot() planner.Snapshot {
	now := d.now()
	s := planner.Snapshot{Teams: map[string]planner.Team{}}
	for _, t := range d.set.Deployment.Teams {
		s.Teams[t.Name] = planner.Team{
			Limit:     planner.Amounts{Cpus: t.CpusMax, Gpus: t.GpusMax},
			Guarantee: planner.Amounts{Cpus: t.Cpus, Gpus: t.Gpus},
		}
	}
	// One snapshot is done with before the next is taken.
	s.Machines = slices.Grow(d.views[:0], len(d.roster))
	for _, m := range d.roster {
		if pm, ok := d.planned(m, now); ok {
			s.Machines = append(s.Machines, pm)
		}
	}
	d.views = s.Machines
	limit := int(d.set.Deployment.State.ValueKb * 1024)
	evictions := d.evictionsPossible()
	for _, j := range inOrder(d.jobs) {
		team := s.Teams[j.Spec.Team]
		needs := planner.Needs(&j.Spec)
		// A place counts from its proposal until it is proven empty.
		team.Used = team.Used.Plus(needs.Times(float64(len(j.Placed))))
		if !j.Final() {
			left := needs.Times(float64(j.Spec.Tasks - j.Done.Len()))
			team.BacklogS += j.Spec.EstimateS * left.Share(team.Limit)
		}
		s.Teams[j.Spec.Team] = team
		if j.over() || j.reread {
			continue
		}
		pj := planner.Job{ID: j.Spec.ID, Spec: &j.Spec, Rank: protocol.RankOf(j.Spec.Rank), SubmittedAt: j.SubmittedAt,
			Returning: j.returning, Waiting: now < j.notBefore, MayEvict: j.failures < 3, Avoid: j.avoid}
		pj.Tier, pj.SlackS = d.aims(j)
		pj.StartAim = d.startAim(j.Spec.Class) > 0
		pj.StartS = d.startLeft(j)
		pj.Unmet = j.wantedAt != 0 && now > j.wantedFrom+unmetTime && now <= j.wantedAt+wantedGap
		if missing := j.PendingCount() > 0; missing && (!j.Spec.Gang() || len(j.Placed) == 0 || d.completable(j)) {
			pj.Limit = j.Room(limit)
			pj.Pending = j.Pending(min(planTasks, pj.Limit))
			if j.Spec.Gang() {
				pj.Pending = j.Pending(j.Spec.Tasks)
				pj.Avoid = d.leftOn(j)
			}
		}
		if len(pj.Pending) == 0 {
			j.returning = false
		}
		pj.Running = d.runningTasks(j, now, evictions)
		s.Jobs = append(s.Jobs, pj)
	}
	d.markWithin(&s)
	hurry(&s)
	s.Jobs = append(s.Jobs, d.expected()...)
	markBorrowed(&s)
	return s
}

// startAim is the shortest time in which a class is expected to start, 0 if there
// is no aim for its starts.
func (d *Dispatch) startAim(class string) float64 {
	shortest := 0.0
	for _, o := range d.set.Deployment.Objectives {
		if o.Kind == "wait" && o.Class == class && (shortest == 0 || o.WithinS < shortest) {
			shortest = o.WithinS
		}
	}
	return shortest
}

// startLeft is how many seconds are left for the next aim for a job's start, the
// last of which is the four minutes in which users count on every job to begin, its
// image's fetch included: one of 20 GB takes a third of them. What
// can't wait for a machine to boot is served in its order: between aims of seconds,
// putting those off that have missed one only makes them miss the next.
func (d *Dispatch) startLeft(j *job) float64 {
	age := (d.mailbox.OfDay() - clock.Micros(j.SubmittedAt)).Seconds()
	left := beginS - age - j.Spec.ImageGB*d.slowestFetchS(&j.Spec)
	if d.startsSoon(j.Spec.Class) {
		return left
	}
	for _, o := range d.set.Deployment.Objectives {
		if o.Kind == "wait" && o.Class == j.Spec.Class && o.WithinS > age {
			left = min(left, o.WithinS-age)
		}
	}
	return left
}

// beginS is four minutes.
const beginS = 240

// startsSoon tells that a class is to start sooner than a machine boots: only
// places that are there already can do that.
func (d *Dispatch) startsSoon(class string) bool {
	boot := 0.0
	for _, t := range d.catalogue {
		boot = max(boot, t.BootS)
	}
	aim := d.startAim(class)
	return aim > 0 && aim < soonBoots*boot
}

// soonBoots allows for boots that take longer than usual.
const soonBoots = 1.5

// sparePrefix marks places that are kept free; no job's id begins like this.
const sparePrefix = "spare/"

// expected are places to keep free for jobs that are about to come and are to
// start sooner than a machine boots. They stand in the queue behind the jobs
// that can still start in time and before all others.
func (d *Dispatch) expected() []planner.Job {
	var jobs []planner.Job
	for class, u := range inOrder(d.classSeen) {
		if !d.startsSoon(class) || d.now() > u.at+2*rateTime {
			continue
		}
		spec := u.spec
		spec.Shape, spec.Tasks = protocol.ShapeArray, u.spec.Tasks*(1+int(float64(len(u.arrivals))*spareS/rateTime.Seconds()))
		j := planner.Job{ID: sparePrefix + class, Spec: &spec, Rank: protocol.RankOf(spec.Rank), SubmittedAt: math.MaxInt64,
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

// aims says which aims for a job can still be met, and how long, in seconds, it
// can still wait before its tasks must run. Clocks of day differ by little
// against the times at hand.
func (d *Dispatch) aims(j *job) (planner.Tier, float64) {
	age := (d.mailbox.OfDay() - clock.Micros(j.SubmittedAt)).Seconds()
	begun := len(j.Placed)+j.Done.Len() > 0
	tier := planner.TooLate
	// What may pass until the tasks must run, aim by aim.
	var slacks []float64
	latest := 0.0
	ends := func(due float64) {
		slacks = append(slacks, due-j.Spec.EstimateS-age)
		latest = max(latest, due)
	}
	if j.Spec.DeadlineS != nil {
		ends(*j.Spec.DeadlineS)
	}
	for _, o := range d.set.Deployment.Objectives {
		if o.Class != j.Spec.Class {
			continue
		}
		switch {
		case o.Kind == "wait" && !begun && age < o.WithinS:
			tier = planner.StartsInTime
		case o.Kind == "finished":
			ends(o.WithinS)
		case o.Kind == "deadline" && o.Times > 0 && j.Spec.DeadlineS != nil:
			ends(*j.Spec.DeadlineS * o.Times)
		}
	}
	// A class of whose end nothing is expected is never too late for it either,
	// and would give way for ever.
	if latest == 0 {
		ends(j.Spec.EstimateS + defaultSlackS)
		tier = min(tier, planner.EndsInTime)
		if age > 3*longWaitS {
			tier = planner.StartsInTime
		}
	}
	if !begun && age+j.Spec.ImageGB*d.slowestFetchS(&j.Spec) > longWaitS {
		tier = planner.StartsInTime
	}
	slices.Sort(slacks)
	for _, slack := range slacks {
		if slack >= 0 {
			return min(tier, planner.EndsInTime), slack
		}
	}
	slack := slacks[len(slacks)-1]
	if -slack > latest {
		return min(tier, planner.EndsInTime), slack // it has given way for long enough
	}
	return tier, slack
}

// slowestFetchS is how long a GB of image takes on the slowest type that the job
// may use, in seconds.
func (d *Dispatch) slowestFetchS(s *protocol.JobSpec) float64 {
	slowest := 0.0
	for _, t := range d.catalogue {
		if t.FetchGBPerS > 0 && planner.Needs(s).Fits(fleet.Whole(t)) && (len(s.Types) == 0 || slices.Contains(s.Types, t.Name)) {
			slowest = max(slowest, 1/t.FetchGBPerS)
		}
	}
	return slowest
}

const (
	// defaultSlackS is for jobs of whose end nothing is expected.
	defaultSlackS = 120
	// longWaitS is when a job that hasn't begun goes first, its image's fetch
	// included: users count on every job to begin within four minutes.
	longWaitS = 150
)

// leftOn adds to the machines that a gang avoids those that still report an
// ended task of the try that it may be completed with: a start of the same
// task and try has no effect there.
func (d *Dispatch) leftOn(j *job) map[string]bool {
	if len(j.Placed) == 0 {
		return j.avoid
	}
	avoid := maps.Clone(j.avoid)
	for _, m := range d.roster {
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
func (d *Dispatch) runningTasks(j *job, now clock.Micros, evictions bool) []planner.Running {
	if j.runningStale {
		j.runningStale = false
		j.running, j.runningSince = j.running[:0], j.runningSince[:0]
		for _, task := range slices.Sorted(maps.Keys(j.Placed)) {
			p := j.Placed[task]
			r := planner.Running{Task: task, Machine: p.Machine}
			_, r.Stopping = j.stops[task]
			since := clock.Micros(0)
			if m := d.machines[p.Machine]; m != nil {
				r.Zone = m.zone
				since = m.since[taskRef{j.Spec.ID, task, p.Try}]
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
func (d *Dispatch) evictionsPossible() bool {
	for _, t := range d.set.Deployment.Teams {
		if t.Cpus > 0 || t.Gpus > 0 {
			return true
		}
	}
	ranks := map[string]bool{}
	for _, j := range d.jobs {
		ranks[j.Spec.Rank] = true
	}
	return len(ranks) > 1
}

// markWithin marks the jobs that fit into their teams' guarantees together with
// the teams' earlier ones.
func (d *Dispatch) markWithin(s *planner.Snapshot) {
	left := map[string]planner.Amounts{}
	for name, t := range s.Teams {
		if t.Guarantee.Cpus > 0 || t.Guarantee.Gpus > 0 {
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
		all := planner.Needs(j.Spec).Times(float64(j.Spec.Tasks - d.jobs[j.ID].Done.Len()))
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
		guaranteed = guaranteed || t.Guarantee.Cpus > 0 || t.Guarantee.Gpus > 0
		excess[name] = t.Used.Minus(t.Guarantee)
	}
	if !guaranteed {
		return
	}
	for _, j := range youngestFirst(s) {
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
func (d *Dispatch) planned(m *machine, now clock.Micros) (planner.Machine, bool) {
	t, known := d.types[m.typ]
	if !known || m.releasing || m.quarantine || m.recallAt != 0 || now < m.fullUntil ||
		m.seen && (m.cordoned || m.answersLost || !d.synced(m) || !d.renewed(m)) {
		return planner.Machine{}, false
	}
	if m.viewStale {
		d.look(m, t)
	}
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
func (d *Dispatch) look(m *machine, t protocol.MachineType) {
	m.viewStale, m.strange = false, false
	m.pull(d.now(), t)
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
		j := d.jobs[id]
		m.view.Free = m.view.Free.Minus(planner.Needs(&j.Spec).Times(float64(len(tasks))))
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
