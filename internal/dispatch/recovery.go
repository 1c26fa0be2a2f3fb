package dispatch

import (
	"log/slog"
	"net/http"
	"slices"

	"postpoint/internal/clock"
	"postpoint/internal/intake"
	"postpoint/internal/leadership"
	"postpoint/internal/planner"
	"postpoint/internal/protocol"
	"postpoint/internal/recovery"
	"postpoint/internal/statestore"
)

// The loss of a zone is one event: internal/recovery decides when a zone counts as lost and as
// returned, and in which order its work starts elsewhere. Here the evidence is gathered, the
// zones' state is kept in the state service, and the decisions are carried out. Each task's place
// is free only on its own proof, as ever.

// recoveryState is what the leader knows of the zones; its settings are nil if recoveries are
// switched off.
type recoveryState struct {
	settings *recovery.Settings
	// ask brings what the other controllers hear of zones.
	ask   func(done func([]intake.ZoneReports))
	zones map[string]*zone
	pace  recovery.Pace
	// saving tells that a zone's record is being written.
	saving   bool
	asking   bool
	askedAt  clock.Micros
	reports  []intake.ZoneReports // of the last answer
	probedAt clock.Micros
	// heardOf are machines whose reports this node has had without leading.
	heardOf map[string]zoneReport
	logAt   clock.Micros
	// someWell tells that some zone in which machines can be rented is well, as of the last look.
	someWell bool
}

// zone is a zone with how its record is stored.
type zone struct {
	*recovery.Zone
	evidence recovery.Evidence
	version  int64
	stored   recovery.Phase // "" if there is no record
	// uncertain tells that a change of the record had no answer.
	uncertain bool
}

type zoneReport struct {
	zone string
	at   clock.Micros
}

// Recover switches recoveries on. It is called before Start; ask asks all controllers which zones'
// machines they hear of.
func (d *Dispatch) Recover(s *recovery.Settings, ask func(done func([]intake.ZoneReports))) {
	d.recovery.settings, d.recovery.ask = s, ask
	d.recovery.heardOf = map[string]zoneReport{}
}

func (d *Dispatch) beginRecovery() {
	d.recovery.zones, d.recovery.pace = map[string]*zone{}, recovery.Pace{}
	d.recovery.saving, d.recovery.asking, d.recovery.reports = false, false, nil
}

const (
	// heardTime is for how long a report that reached a node which doesn't lead counts.
	heardTime = 8 * clock.Second
	// askZonesTime is from one question to the other controllers to the next, while a zone is not
	// healthy.
	askZonesTime = 2 * clock.Second
	// probeZonesTime likewise for questions to silent machines, probesAtOnce of each zone.
	probeZonesTime = 2 * clock.Second
	probesAtOnce   = 2
	// longestTurn is how long work of a lost zone waits for its turn at most.
	longestTurn = 60 * clock.Second
	// overdueBoots is after how many usual boot times a machine that never reported counts as silent.
	overdueBoots = 2
	// recoveryLogTime is from one line on a recovery to the next.
	recoveryLogTime = 15 * clock.Second
)

// noteZoneReport keeps which zones' machines try a node that doesn't lead.
func (d *Dispatch) noteZoneReport(r *protocol.Report) {
	if d.recovery.settings == nil {
		return
	}
	if len(d.recovery.heardOf) > maxAddresses {
		clear(d.recovery.heardOf)
	}
	d.recovery.heardOf[r.Machine] = zoneReport{r.Zone, d.now()}
}

// ZoneReports answers another controller's question.
func (d *Dispatch) ZoneReports(reply func(intake.ZoneReports)) {
	d.mailbox.Post(func() {
		z := intake.ZoneReports{Node: d.set.Node, Machines: map[string]int{}}
		for name, r := range d.recovery.heardOf {
			if d.now() > r.at+heardTime {
				delete(d.recovery.heardOf, name)
				continue
			}
			z.Machines[r.zone]++
		}
		reply(z)
	})
}

// loadZones goes on with the recoveries that an earlier leader was in the middle of.
func (d *Dispatch) loadZones(epoch int64, done func()) {
	if d.recovery.settings == nil {
		done()
		return
	}
	d.loadAll(epoch, recovery.Prefix, "", func(item protocol.Item) {
		name := item.Key[len(recovery.Prefix):]
		if known := d.recovery.zones[name]; known != nil {
			known.version = item.Version // read again within a term
			return
		}
		z, err := recovery.Decode(name, item.Value, d.mailbox.OfDay()-d.now())
		if err != nil {
			slog.Error("malformed recovery", "zone", name, "error", err)
			z = &recovery.Zone{Name: name, Phase: recovery.Healthy}
		}
		d.recovery.zones[name] = &zone{Zone: z, version: item.Version, stored: z.Phase}
		if z.Avoided() {
			slog.Info("going on with a recovery", "zone", name, "phase", z.Phase, "number", z.Number)
		}
	}, done)
}

// recover follows the zones and carries recoveries on, twice a second.
func (d *Dispatch) recover() {
	r := &d.recovery
	if r.settings == nil || d.now() <= d.begunAt+takeoverTime {
		return // workers take so long to find a new leader
	}
	total := d.gatherEvidence()
	for name, z := range inOrder(r.zones) {
		// A zone is judged by the others: if nothing else is heard of it is this node that is deaf.
		rest := heardCount{total.heard - z.evidence.Heard, total.expected - z.evidence.Machines}
		if z.Observe(d.now(), z.evidence, rest.expected == 0 || !rest.most(), r.settings) {
			slog.Info("zone changes phase", "zone", name, "phase", z.Phase, "number", z.Number, "reading", z.Reading, "machines", z.evidence.Machines,
				"heard", z.evidence.Heard, "controllers", z.evidence.Controllers, "reached", z.evidence.Reached, "flaps", z.Flaps)
			d.phaseChanged()
		}
	}
	r.someWell = d.anyHealthy()
	d.askAboutZones()
	d.probeZones()
	d.releaseDisplaced()
	d.saveZones()
	d.logRecovery()
}

// phaseChanged lets plans follow.
func (d *Dispatch) phaseChanged() {
	for _, m := range d.roster {
		m.viewStale = true
	}
	d.wake()
}

// gatherEvidence counts anew what is known of each zone, and of all of them.
func (d *Dispatch) gatherEvidence() heardCount {
	r := &d.recovery
	for _, z := range r.zones {
		z.evidence = recovery.Evidence{}
	}
	var total heardCount
	for _, m := range d.roster {
		if m.zone == "" || m.releasing || !m.seen && len(m.placed) == 0 && !d.overdue(m) {
			continue
		}
		e := &d.zone(m.zone).evidence
		e.Machines++
		total.expected++
		switch {
		case !d.late(m):
			e.Heard++
			total.heard++
		case m.status == protocol.MachineFailed || m.listed && d.now() > m.listedAt+lostListing && m.status == "":
			e.Gone++
		}
	}
	for _, p := range d.set.Known {
		d.zone(p.Domain).evidence.Controllers++
	}
	for _, report := range r.reports {
		for _, p := range d.set.Known {
			if p.Node == report.Node {
				d.zone(p.Domain).evidence.Reached++
			}
		}
		for name, n := range report.Machines {
			if z := r.zones[name]; z != nil && report.Node != d.set.Node {
				z.evidence.Elsewhere += n
			}
		}
	}
	return total
}

// lostListing is beyond the delay of the cloud's list.
const lostListing = 60 * clock.Second

// zone is what is known of a zone, made when it is first heard of.
func (d *Dispatch) zone(name string) *zone {
	z := d.recovery.zones[name]
	if z == nil {
		z = &zone{Zone: &recovery.Zone{Name: name, Phase: recovery.Healthy, Since: d.now()}}
		d.recovery.zones[name] = z
	}
	return z
}

// overdue tells that a machine should have come up long ago.
func (d *Dispatch) overdue(m *machine) bool {
	return !m.seen && d.now() > m.firstSeen+overdueBoots*clock.FromSeconds(d.types[m.typ].BootS)
}

// zoneAvoided tells that nothing is rented in a zone. If no zone is well all of them are tried.
func (d *Dispatch) zoneAvoided(name string) bool {
	if d.recovery.settings == nil {
		return false
	}
	z := d.recovery.zones[name]
	return z != nil && z.Avoided() && d.recovery.someWell
}

// zoneLost tells that nothing is placed on a zone's machines.
func (d *Dispatch) zoneLost(name string) bool {
	z := d.recovery.zones[name]
	return z != nil && z.Phase == recovery.Lost
}

// zoneReturning tells that a zone hasn't been back for long enough, while another is well: only
// what depends on it goes there.
func (d *Dispatch) zoneReturning(name string) bool {
	z := d.recovery.zones[name]
	return z != nil && z.Phase == recovery.Returning && d.recovery.someWell
}

// anyHealthy tells that some zone in which machines can be rented is well.
func (d *Dispatch) anyHealthy() bool {
	for _, t := range d.catalogue {
		for _, name := range t.Zones {
			if z := d.recovery.zones[name]; z == nil || z.Phase == recovery.Healthy {
				return true
			}
		}
	}
	return false
}

// anyAvoided tells that some zone isn't healthy.
func (d *Dispatch) anyAvoided() bool {
	for _, z := range d.recovery.zones {
		if z.Avoided() {
			return true
		}
	}
	return false
}

// nobodyHears tells that other controllers answer, and hear of no machine either: resigning would
// help nobody.
func (d *Dispatch) nobodyHears() bool {
	others := 0
	for _, report := range d.recovery.reports {
		if report.Node == d.set.Node {
			continue
		}
		others++
		if len(report.Machines) > 0 {
			return false
		}
	}
	return others > 0
}

// askAboutZones asks the other controllers what they hear of, while there is need of it.
func (d *Dispatch) askAboutZones() {
	r := &d.recovery
	if !d.anyAvoided() && !d.anySilent() {
		r.reports = nil
		return
	}
	if r.asking || d.now() < r.askedAt+askZonesTime {
		return
	}
	r.asking, r.askedAt = true, d.now()
	epoch := d.term.Epoch
	r.ask(func(reports []intake.ZoneReports) {
		if d.term.Epoch == epoch {
			r.asking, r.reports = false, reports
		}
	})
}

// anySilent tells that some zone has more silent machines than is usual.
func (d *Dispatch) anySilent() bool {
	for _, z := range d.recovery.zones {
		if e := z.evidence; e.Machines > 0 && 2*e.Heard < e.Machines {
			return true
		}
	}
	return false
}

// probeZones asks a few silent machines of zones that aren't healthy directly. An answer is heard
// like a report.
func (d *Dispatch) probeZones() {
	r := &d.recovery
	if d.now() < r.probedAt+probeZonesTime || !d.anyAvoided() {
		return
	}
	r.probedAt = d.now()
	left := map[string]int{}
	for name, z := range r.zones {
		if z.Avoided() {
			left[name] = probesAtOnce
		}
	}
	for _, m := range d.roster {
		if left[m.zone] > 0 && d.late(m) && !m.releasing && !m.calling && m.addr != "" && d.now() > m.probedAt+probeZonesTime {
			left[m.zone]--
			m.probedAt = d.now()
			d.command(m, m.session, []protocol.Order{}, func(int, *protocol.Report) {})
		}
	}
}

// displace marks a job whose task loses its place to the loss of a zone: the rest of it waits for
// its turn.
func (d *Dispatch) displace(j *job, machineName string) {
	if d.recovery.settings == nil || j.over() {
		return
	}
	m := d.machines[machineName]
	if m == nil || !d.zoneLost(m.zone) && !d.zoneReturning(m.zone) || j.Displaced == m.zone {
		return
	}
	j.Displaced, j.displacedAt, j.turn = m.zone, d.now(), false
	d.touchHead(j)
}

// settle ends that: the tasks that it had lost have places again, or are done.
func (d *Dispatch) settle(j *job) {
	j.Displaced = ""
	d.touchHead(j)
}

// awaitsTurn tells that a job's tasks aren't to be started yet.
func (d *Dispatch) awaitsTurn(j *job) bool {
	return d.recovery.settings != nil && j.Displaced != "" && !j.turn
}

// releaseDisplaced lets displaced work start, in the written order and at the pace of the settings.
func (d *Dispatch) releaseDisplaced() {
	r := &d.recovery
	now := d.now()
	var waiting []recovery.Displaced
	for _, j := range inOrder(d.jobs) {
		z := r.zones[j.Displaced]
		if j.displacedAt == 0 {
			j.displacedAt = now // under an earlier leader, if at all
		}
		switch {
		case j.Displaced == "" || j.over():
		case z == nil || j.PendingCount() == 0 && !j.reread:
			d.settle(j)
		case j.turn:
		case r.settings.Action(z.Name) == recovery.Hold:
		case r.settings.Action(z.Name) == recovery.Hasten, z.Phase == recovery.Healthy, now > j.displacedAt+longestTurn:
			j.turn = true
		default:
			waiting = append(waiting, d.displacedWork(j))
		}
	}
	recovery.Sort(waiting, r.settings.Order)
	for _, id := range r.pace.Release(waiting, now, r.settings.TasksPerS) {
		d.jobs[id].turn = true
		slog.Debug("displaced work may start", "job", id, "zone", d.jobs[id].Displaced)
	}
}

// displacedWork is a job as the written order sees it.
func (d *Dispatch) displacedWork(j *job) recovery.Displaced {
	w := recovery.Displaced{Job: j.Spec.ID, Rank: j.rank(), SubmittedAt: j.SubmittedAt, Tasks: j.PendingCount(),
		LostShare: float64(j.PendingCount()) / float64(j.Spec.Tasks)}
	tier, slack := d.aims(j)
	w.SlackS = slack
	switch {
	case j.Spec.Service():
		w.Kind = recovery.Services
	case j.Spec.DeadlineS != nil && slack >= 0:
		w.Kind = recovery.Deadlines
	case tier == planner.TooLate:
		w.Kind = recovery.Rest
	case j.Spec.Gang():
		w.Kind = recovery.Gangs
	default:
		w.Kind = recovery.Arrays
	}
	return w
}

// lostPrefix marks room that is kept for tasks which are with a lost zone and not proven gone yet:
// machines for them boot meanwhile.
const lostPrefix = sparePrefix + "lost/"

// expectedBack are the tasks of lost zones that will have to start elsewhere, once each.
func (d *Dispatch) expectedBack() []planner.Job {
	if d.recovery.settings == nil || !d.anyLost() {
		return nil
	}
	lost := map[string]int{} // by job
	for _, m := range d.roster {
		if z := d.recovery.zones[m.zone]; z == nil || z.Phase != recovery.Lost || !d.late(m) {
			continue
		}
		for id, tasks := range m.placed {
			lost[id] += len(tasks)
		}
	}
	var jobs []planner.Job
	for id, n := range inOrder(lost) {
		j := d.jobs[id]
		if j == nil || j.over() || j.Spec.Zone != "" && d.zoneAvoided(j.Spec.Zone) {
			continue
		}
		spec := j.Spec
		spec.Shape, spec.Tasks = protocol.ShapeArray, n
		tier, slack := d.aims(j)
		pj := planner.Job{ID: lostPrefix + id, Spec: &spec, Rank: j.rank(), SubmittedAt: j.SubmittedAt, Tier: tier, SlackS: slack,
			StartS: d.startLeft(j), Limit: n, Avoid: j.avoid}
		if spec.OneZone || spec.Spread {
			spec.OneZone, spec.Tasks = false, j.Spec.Tasks
			pj.Zones = d.zonesLeft(j)
		}
		for task := range n {
			pj.Pending = append(pj.Pending, task)
		}
		jobs = append(jobs, pj)
	}
	return jobs
}

// zonesLeft counts a job's tasks by zone, those in lost zones left out: theirs will be gone.
func (d *Dispatch) zonesLeft(j *job) map[string]int {
	zones := map[string]int{}
	for _, p := range j.Placed {
		if m := d.machines[p.Machine]; m != nil && !d.zoneLost(m.zone) {
			zones[m.zone]++
		}
	}
	return zones
}

func (d *Dispatch) anyLost() bool {
	for _, z := range d.recovery.zones {
		if z.Phase == recovery.Lost {
			return true
		}
	}
	return false
}

// saveZones keeps the zones' phases for the next leader, one change at a time.
func (d *Dispatch) saveZones() {
	r := &d.recovery
	if r.saving || d.now() < d.pauseUntil {
		return
	}
	for name, z := range inOrder(r.zones) {
		if z.uncertain {
			d.readZone(name, z)
			return
		}
		if z.stored == z.Phase || z.stored == "" && !z.Worth() || z.Phase == recovery.Suspect {
			continue
		}
		d.saveZone(name, z)
		return
	}
}

func (d *Dispatch) saveZone(name string, z *zone) {
	r := &d.recovery
	phase := z.Phase
	t := protocol.Txn{
		Guards:  []protocol.Guard{{Key: leadership.Key, Version: d.term.Epoch}, {Key: recovery.Key(name), Version: z.version}},
		Changes: []protocol.Change{{Put: recovery.Key(name), Value: z.Encode(d.mailbox.OfDay() - d.now())}},
	}
	r.saving = true
	epoch := d.term.Epoch
	d.store.Commit(statestore.ForLeader, t, func(answer statestore.Reply[protocol.TxnAnswer]) {
		if d.term.Epoch != epoch {
			return
		}
		r.saving = false
		switch {
		case answer.Status == http.StatusOK:
			z.version, z.stored = answer.Value.Revision, phase
		case answer.Status == http.StatusConflict && slices.Contains(answer.Value.Failed, leadership.Key):
			d.deposed(d.term.Epoch + 1)
		default:
			d.pauseUntil = d.now() + retryDelay
			z.uncertain = answer.Status != http.StatusTooManyRequests && answer.Status != http.StatusServiceUnavailable
		}
	})
}

// readZone finds out what became of a change that had no answer.
func (d *Dispatch) readZone(name string, z *zone) {
	r := &d.recovery
	r.saving = true
	epoch := d.term.Epoch
	d.store.Get(recovery.Key(name), func(answer statestore.Reply[protocol.Item]) {
		if d.term.Epoch != epoch {
			return
		}
		r.saving = false
		if answer.Status == http.StatusOK || answer.Status == http.StatusNotFound {
			z.uncertain, z.version, z.stored = false, answer.Value.Version, ""
		}
	})
}
