package dispatch

import (
	"cmp"
	"log/slog"
	"net/http"
	"slices"

	"postpoint/internal/clock"
	"postpoint/internal/ledger"
	"postpoint/internal/protocol"
	"postpoint/internal/transport"
)

// Heartbeat handles a worker's report. The reply is called from the actor.
func (d *Dispatch) Heartbeat(r protocol.Report, reply func(status int, body any)) {
	arrived := d.now()
	d.mailbox.Post(func() { d.heartbeat(r, arrived, reply) })
}

// earlyTime is less than workers wait by far.
const earlyTime = clock.Second

// deferReport keeps a report until the records are read, but not for long: a new leader knows
// what it may answer a moment later, and a refusal would send each worker round the
// other nodes and back.
func (d *Dispatch) deferReport(heartbeat func()) {
	if len(d.deferred) == 0 {
		d.inTerm(earlyTime, d.answerDeferred)
	}
	d.deferred = append(d.deferred, heartbeat)
}

// answerDeferred lets the reports that were held be answered as things stand.
func (d *Dispatch) answerDeferred() {
	heartbeats := d.deferred
	d.deferring, d.deferred = false, nil
	for _, heartbeat := range heartbeats {
		heartbeat()
	}
}

func (d *Dispatch) heartbeat(r protocol.Report, arrived clock.Micros, reply func(status int, body any)) {
	if d.deferring {
		d.deferReport(func() { d.heartbeat(r, arrived, reply) })
		return
	}
	// After a stand of the process, or behind more than the processor can do, a
	// report is no news of now and its worker is about to give up: a refusal
	// costs next to nothing, lets those be taken whose answers will be in time,
	// and isn't taken for an answer that the worker didn't heed.
	if d.now() > arrived+reportTimeout {
		reply(http.StatusServiceUnavailable, protocol.Redirect{})
		return
	}
	if len(d.addresses) > 4096 {
		clear(d.addresses)
	}
	d.addresses[r.Machine] = r.Address
	if !d.leads() && !d.keeps() || d.released[r.Machine] {
		hint := d.leader
		if hint == d.set.Node {
			hint = ""
		}
		reply(http.StatusMisdirectedRequest, protocol.Redirect{Node: hint})
		return
	}
	m := d.machine(r.Machine)
	d.observe(m, r)
	// An old report may come late. One that is only older than what a
	// direct command's answer told is the worker's current one.
	newest := r.Shift > m.heartbeatShift || r.Shift == m.heartbeatShift && r.Counter > m.heartbeatCounter
	if !newest {
		d.challenge(m)
	}
	if !newest || r.Shift != m.shift || m.expired || r.Epoch > d.term.Epoch {
		reply(http.StatusMisdirectedRequest, protocol.Redirect{})
		return
	}
	if !d.mayRenew(m) {
		reply(http.StatusServiceUnavailable, protocol.Redirect{})
		return
	}
	m.heartbeatShift, m.heartbeatCounter = r.Shift, r.Counter
	for _, s := range m.sent {
		// The worker has one report in flight: the answer to the last one
		// was carried out or dropped by now.
		s.inHeartbeat = false
	}
	answer := protocol.HeartbeatAnswer{Epoch: d.term.Epoch, Orders: d.orders(m, true)}
	m.answeredAt = d.now()
	reply(http.StatusOK, answer)
}

// observe takes a report if it is newer than what is known.
func (d *Dispatch) observe(m *machine, r protocol.Report) {
	if m.seen && (r.Shift < m.shift || r.Shift == m.shift && r.Counter <= m.counter) {
		return
	}
	if m.expired && r.Shift <= m.shift {
		return // sent before the lease ended, whenever it arrives
	}
	if r.Epoch > d.term.Epoch {
		d.deposed(r.Epoch)
	}
	if !m.seen {
		slog.Info("machine reports", "machine", m.name, "type", r.Type, "zone", r.Zone, "spot", r.Spot, "tasks", len(r.Tasks))
		m.idleSince = d.now()
	}
	if m.seen && r.Shift > m.shift {
		// Its session ran out. Had the latest answer to it arrived, it would not
		// have yet: a machine whose reports come through while answers and
		// commands don't looks alive and loses its tasks lease after lease.
		answerLost := m.answeredAt != 0 && d.now() < m.answeredAt+d.set.Deployment.Workers.Lease()
		if answerLost && !m.answersLost {
			slog.Info("machine loses its session though it is answered", "machine", m.name, "shift", r.Shift)
		} else if answerLost {
			d.release(m, "answers don't reach it")
		}
		m.answersLost = m.answersLost || answerLost
	}
	if r.Shift > m.shift {
		clear(m.sent)
		clear(m.since)
		m.expired = false
	}
	if !m.seen || r.Shift > m.shift {
		m.shiftAt = d.now()
	}
	same := m.settled && r.Shift == m.shift && r.Epoch == m.epoch && m.sameTasks(r.Tasks)
	if !same {
		m.viewStale = true
	}
	m.seen = true
	m.addr, m.typ, m.zone, m.spot = r.Address, r.Type, r.Zone, r.Spot
	m.shift, m.counter, m.epoch = r.Shift, r.Counter, r.Epoch
	m.heardAt = d.now()
	if w := d.set.Deployment.Workers; m.answersLost && m.heardAt > m.shiftAt+w.Lease()+leaseMargin {
		m.answersLost = false // this session has outlasted its first lease: answers arrive again
	}
	m.recallAt = 0
	if r.RecallS != nil {
		m.recallAt = d.now() + clock.FromSeconds(*r.RecallS)
	}
	if same {
		return
	}
	clear(m.tasks)
	m.reported, m.ended = r.Tasks, 0
	for _, t := range r.Tasks {
		id, task, ok := protocol.ParseTask(t.Task)
		if !ok {
			continue
		}
		m.tasks[taskRef{id, task, t.Try}] = t
	}
	for ref := range m.since {
		if _, ok := m.tasks[ref]; !ok {
			delete(m.since, ref)
		}
	}
	d.reconcile(m)
	for ref := range m.sent {
		_, there := m.tasks[ref]
		_, placed := m.placed[ref.job][ref.task]
		if !there && !placed && !d.mayArrive(m, ref) {
			delete(m.sent, ref)
		}
	}
}

// challenge asks a machine that has only old reports to give what it has to say
// now: either they are late copies, or it has started over, and counts from one
// again. The answer to a command is never older than the command. A machine that
// has started over goes back: late copies of its former life would look newer than
// all that it says, and what it still holds is known for certain once it is gone.
func (d *Dispatch) challenge(m *machine) {
	if !d.leads() || m.calling || m.releasing || m.addr == "" || d.heardRecently(m) || d.now() < m.challengedAt+challengeTime {
		return
	}
	m.challengedAt = d.now()
	shift, counter := m.shift, m.counter
	d.command(m, shift, []protocol.Order{}, func(_ int, answer *protocol.Report) {
		if answer != nil && (answer.Shift < shift || answer.Shift == shift && answer.Counter <= counter) {
			d.release(m, "it has started over")
		}
	})
}

// command sends a direct command, one at a time to a machine. Its answer, if there
// is one, is heard before the next goes out.
func (d *Dispatch) command(m *machine, shift int64, orders []protocol.Order, done func(status int, answer *protocol.Report)) {
	m.calling, m.callAgain = true, false
	epoch := d.term.Epoch
	d.agent.Commands(m.addr, protocol.Commands{Epoch: epoch, Shift: shift, Orders: orders}, d.actsUntil(), func(status int, r protocol.Report) {
		if d.term.Epoch != epoch || d.machines[m.name] != m {
			return
		}
		m.calling = false
		var answer *protocol.Report
		if (status == http.StatusOK || status == http.StatusConflict) && r.Machine == m.name {
			answer = &r
		}
		done(status, answer)
		if answer != nil {
			d.observe(m, r)
		}
		if m.callAgain {
			d.pushOrders(m)
		}
	})
}

const (
	challengeTime = 5 * clock.Second
	// reportTimeout is less than the four seconds that a worker waits.
	reportTimeout = 3 * clock.Second
)

// sameTasks tells that a report brings no news of the machine's tasks.
func (m *machine) sameTasks(tasks []protocol.TaskReport) bool {
	if len(tasks) != len(m.tasks) {
		return false
	}
	if len(tasks) == 0 || len(m.reported) == len(tasks) && &m.reported[0] == &tasks[0] {
		return true // the very list of the last report: see protocol.ReportDecoder
	}
	for _, t := range tasks {
		id, task, ok := protocol.ParseTask(t.Task)
		if !ok {
			return false
		}
		if known, there := m.tasks[taskRef{id, task, t.Try}]; !there || known.Status != t.Status {
			return false
		}
	}
	return true
}

// synced tells that the worker obeys nobody older any more: what its reports
// lack is not there, and what an older leader sent can't arrive.
func (d *Dispatch) synced(m *machine) bool { return m.seen && !m.expired && m.epoch == d.term.Epoch }

// reconcile draws from the last report what it proves about placements.
func (d *Dispatch) reconcile(m *machine) {
	m.settled = true
	for id, tasks := range inOrder(m.placed) {
		j := d.jobs[id]
		if j == nil || j.reread {
			m.settled = false
			continue
		}
		for _, p := range inOrder(tasks) {
			if p.Shift < m.shift {
				slog.Debug("place lost with the worker's lease", "job", id, "task", p.Task, "machine", m.name)
				d.unplace(j, p)
				continue
			}
			if p.Shift > m.shift {
				m.settled = false
				if d.synced(m) {
					// It was in a later session when this was placed.
					d.release(m, "it has started over")
				}
				continue
			}
			ref := taskRef{id, p.Task, p.Try}
			t, there := m.tasks[ref]
			switch {
			case there && t.Status == protocol.TaskExited:
				d.exited(m, j, p, t)
			case there:
				d.running(m, j, ref, t)
			case d.stopping(j, p) != nil && j.committed(p) && d.synced(m) && !d.mayArrive(m, ref):
				d.unplace(j, p)
			default:
				m.settled = false
			}
		}
	}
	d.wake()
}

// mayArrive tells that a start of this try may still reach the worker.
func (d *Dispatch) mayArrive(m *machine, ref taskRef) bool {
	s := m.sent[ref]
	return s != nil && (s.inCall || s.inHeartbeat || s.uncertain)
}

// mayRepeat tells that a late copy of a start that was carried out could do
// harm: the task is to run again, and a worker that has forgotten this try would
// start it where nobody expects it. What was started in earlier terms is safe,
// since workers refuse older epochs, and so is what is done, since it doesn't
// run again. Only a machine with very many such tries takes the risk.
func (d *Dispatch) mayRepeat(m *machine, ref taskRef, t protocol.TaskReport) bool {
	return t.Cause != protocol.CauseDone && m.sent[ref] != nil && len(m.tasks) < maxRemembered
}

// maxRemembered keeps reports well within their size limit.
const maxRemembered = 400

func (d *Dispatch) running(m *machine, j *job, ref taskRef, t protocol.TaskReport) {
	if t.Status == protocol.TaskFetching {
		return
	}
	if m.since[ref] == 0 {
		d.imageSeen(m, j.Spec.Image, j.Spec.ImageGB)
		if t.Status == protocol.TaskRunning {
			j.brokenTry = max(j.brokenTry, ref.try) // a gang that runs can't be completed
			m.since[ref] = d.now()
			j.runningStale = true
			j.failures = 0
			if debugging() {
				slog.Debug("task running", "job", ref.job, "class", j.Spec.Class, "task", ref.task, "machine", m.name, "type", m.typ,
					"since_submission_s", (d.mailbox.OfDay() - clock.Micros(j.SubmittedAt)).Seconds())
			}
		}
	}
}

// ran is how long a try has been seen running on a machine.
func (d *Dispatch) ran(m *machine, ref taskRef) clock.Micros {
	if since := m.since[ref]; since != 0 {
		return d.now() - since
	}
	return 0
}

// imageSeen keeps a guess at the machine's image cache: the most recently used
// images, as many as there is room for.
func (d *Dispatch) imageSeen(m *machine, name string, gb float64) {
	m.viewStale = true
	images := []image{{name, gb}}
	used := gb
	for _, i := range m.images {
		if i.name != name && used+i.gb <= d.types[m.typ].CacheGB {
			used += i.gb
			images = append(images, i)
		}
	}
	m.images = images
}

func (m *machine) hasImage(name string) bool {
	return slices.ContainsFunc(m.images, func(i image) bool { return i.name == name })
}

// exited handles the end of a placed try.
func (d *Dispatch) exited(m *machine, j *job, p ledger.Placement, t protocol.TaskReport) {
	id := j.Spec.ID
	ref := taskRef{id, p.Task, p.Try}
	ran := d.ran(m, ref)
	if debugging() {
		slog.Debug("task exited", "job", id, "task", p.Task, "try", p.Try, "machine", m.name, "cause", t.Cause, "ran_s", ran.Seconds())
	}
	if t.Cause == protocol.CauseDone && !j.Final() {
		if j.Spec.Gang() {
			// They complete together: if one is done, all are.
			for task := range j.Spec.Tasks {
				j.Done.Add(task)
			}
		} else {
			j.Done.Add(p.Task)
		}
	}
	d.unplace(j, p)
	if j.over() {
		return
	}
	switch t.Cause {
	case protocol.CauseDone, protocol.CauseStopped, protocol.CausePeers, protocol.CauseAlone:
		j.brokenTry = max(j.brokenTry, p.Try)
	}
	switch t.Cause {
	case protocol.CauseDone:
		j.failures, j.Cause = 0, ""
		d.notePace(m, &j.Spec, ran)
		if j.Done.Len() == j.Spec.Tasks {
			j.Status = protocol.StatusDone
			d.returnRoom(j)
		}
	case protocol.CauseStopped, protocol.CausePeers:
	case protocol.CauseAlone:
		d.startFailed(m, j, p, t.Cause, 0)
	case protocol.CauseError:
		m.faults[id] = true
		j.avoid[m.name] = true
		d.startFailed(m, j, p, t.Cause, clock.Second)
		d.judge(m)
	case protocol.CauseNoRoom:
		m.fullUntil = d.now() + 5*clock.Second
		d.startFailed(m, j, p, t.Cause, 0)
	case protocol.CauseBusy:
		m.fullUntil = d.now() + 2*clock.Second
		d.startFailed(m, j, p, t.Cause, clock.Second)
	default:
		d.startFailed(m, j, p, t.Cause, 2*clock.Second)
	}
}

// startFailed notes the cause for the user and the operator, and holds a job
// that fails again and again back for longer each time.
func (d *Dispatch) startFailed(m *machine, j *job, p ledger.Placement, cause string, pause clock.Micros) {
	if j.failures == 0 || j.Cause == "" {
		slog.Info("start failed", "job", j.Spec.ID, "task", p.Task, "machine", m.name, "cause", cause)
	}
	j.Cause = cause + " on " + m.name
	if pause == 0 {
		return
	}
	j.failures++
	if j.failures > 3 {
		pause *= clock.Micros(1) << min(j.failures-3, 6)
	}
	j.notBefore = max(j.notBefore, d.now()+min(pause, 60*clock.Second))
	if len(j.avoid) > 8 {
		// It failed wherever it went: the machines aren't at fault.
		clear(j.avoid)
	}
}

// judge sets a machine aside on which several jobs failed that run elsewhere.
func (d *Dispatch) judge(m *machine) {
	if len(m.faults) >= 2 && !m.quarantine {
		m.quarantine = true
		slog.Info("machine set aside, several jobs failed on it", "machine", m.name, "type", m.typ, "jobs", len(m.faults))
	}
}

// returnRoom lets those who made room for a job have it back first.
func (d *Dispatch) returnRoom(j *job) {
	for _, id := range j.Lenders {
		if l := d.jobs[id]; l != nil {
			l.returning = true
		}
	}
}

// stopping says whether and how a placed task is to be stopped.
func (d *Dispatch) stopping(j *job, p ledger.Placement) *stop {
	if j.over() {
		return &stop{why: "over"}
	}
	if s, ok := j.stops[p.Task]; ok {
		return &s
	}
	if j.Spec.Gang() && len(j.Placed) < j.Spec.Tasks && !d.completable(j) {
		// A part of the gang is gone; the next attempt needs all places free.
		return &stop{why: "gang broken"}
	}
	return nil
}

// completable tells that a gang which lost tasks hasn't started, so that
// replacements with the same try complete it. What a lost task's machine did
// last isn't known, but had the gang started, the others would run or have
// ended for want of a peer by the time the loss is proven.
func (d *Dispatch) completable(j *job) bool {
	if !j.Spec.Gang() || len(j.Placed) == 0 || len(j.stops) > 0 {
		return false
	}
	try := int64(0)
	for _, p := range j.Placed {
		m := d.machines[p.Machine]
		if p.Try <= j.brokenTry || try != 0 && p.Try != try || m == nil || !d.synced(m) || !d.renewed(m) || m.recallAt != 0 {
			return false
		}
		try = p.Try
		if t, there := m.tasks[taskRef{j.Spec.ID, p.Task, p.Try}]; there && t.Status != protocol.TaskFetching && t.Status != protocol.TaskWaiting {
			return false
		}
	}
	return true
}

// orders is what the worker should do now, given its last report. Orders can
// be repeated; heartbeat answers carry all, direct commands only what is due. Without the
// lease there is nothing but the ends of what is cancelled.
func (d *Dispatch) orders(m *machine, heartbeat bool) []protocol.Order {
	if d.asOrdered(m) {
		return []protocol.Order{}
	}
	orders := append([]protocol.Order{}, d.endings(m, heartbeat)...)
	if !d.leads() || !d.synced(m) {
		return orders // a worker's answer to the new epoch comes first
	}
	now := d.now()
	// An order just sent by one way isn't sent again by the other.
	due := func(at clock.Micros) bool { return at == 0 || now-at >= repeatTime }
	for id, tasks := range inOrder(m.placed) {
		j := d.jobs[id]
		if j == nil || j.over() {
			// Nothing of a job that is over is started, not even to be stopped at once:
			// while a start may still arrive, its place is kept until the session ends.
			continue
		}
		for _, p := range inOrder(tasks) {
			// Commit before act: only what the record holds.
			if !j.committed(p) || p.Shift != m.shift || j.reread {
				continue
			}
			ref := taskRef{id, p.Task, p.Try}
			t, there := m.tasks[ref]
			if there && t.Status == protocol.TaskExited {
				continue
			}
			st := d.stopping(j, p)
			s := m.sentOf(ref)
			name := protocol.TaskName(id, p.Task)
			if !there && (st == nil || d.mayArrive(m, ref)) && due(s.startAt) {
				// With a stop wanted, a start that may still arrive is made to
				// arrive now: it then has no effect later.
				orders = append(orders, protocol.Order{Verb: protocol.VerbStart, Task: name, Try: p.Try})
				s.startAt = now
				s.inHeartbeat = s.inHeartbeat || heartbeat
				s.inCall = s.inCall || !heartbeat
			}
			if st != nil && (there || d.mayArrive(m, ref)) && due(s.killAt) {
				orders = append(orders, protocol.Order{Verb: protocol.VerbStop, Task: name, Try: p.Try, GraceS: st.grace})
				s.killAt = now
			}
		}
	}
	return append(orders, d.looseOrders(m, heartbeat, len(orders) > 0)...)
}

// looseOrders stops and forgets what is on a machine and in no record. Each forgotten
// task is a change that the worker reports at once, and most of what a strained leader
// is told: tasks that have ended are forgotten several at a time, with other orders, or
// after a while.
func (d *Dispatch) looseOrders(m *machine, heartbeat, others bool) []protocol.Order {
	var loose []taskRef
	for ref, t := range m.tasks {
		j := d.jobs[ref.job]
		if d.unreadable[ref.job] || j != nil && j.over() && t.Status != protocol.TaskExited {
			continue
		}
		if p, ok := m.placed[ref.job][ref.task]; !ok || p.Try != ref.try {
			loose = append(loose, ref)
		}
	}
	slices.SortFunc(loose, compareRefs)
	var orders, forgets []protocol.Order
	m.ended = 0
	for _, ref := range loose {
		t, j := m.tasks[ref], d.jobs[ref.job]
		name := protocol.TaskName(ref.job, ref.task)
		if t.Status != protocol.TaskExited {
			// No record has it: whatever it is, nobody needs it.
			orders = append(orders, protocol.Order{Verb: protocol.VerbStop, Task: name, Try: ref.try})
			continue
		}
		m.ended++
		if heartbeat && (j == nil || j.clean()) && !d.mayArrive(m, ref) && !d.mayRepeat(m, ref, t) {
			// The outcome is durable and no start can bring the try back.
			forgets = append(forgets, protocol.Order{Verb: protocol.VerbForget, Task: name, Try: ref.try})
		}
	}
	if !heartbeat || m.ended == 0 {
		return orders
	}
	now := d.now()
	if m.forgetAt == 0 {
		m.forgetAt = now + forgetDelay
	}
	if others || len(orders) > 0 || len(forgets) >= forgetBatch || now >= m.forgetAt {
		m.forgetAt = now + forgetDelay
		return append(orders, forgets...)
	}
	return orders
}

const (
	forgetBatch = 4
	forgetDelay = 8 * clock.Second
)

// asOrdered tells that a machine runs exactly what it is to run, so that there is
// nothing to order: most reports are such, and sorting what is placed only to find that
// out was a tenth of a leader's time.
func (d *Dispatch) asOrdered(m *machine) bool {
	if !m.settled {
		return false
	}
	placed := 0
	for id, tasks := range m.placed {
		j := d.jobs[id]
		if j == nil || j.over() || len(j.stops) > 0 || j.Spec.Gang() && len(j.Placed) < j.Spec.Tasks {
			return false
		}
		placed += len(tasks)
	}
	// All that is placed was reported: as many tasks as that are those and no others, but
	// for some that are to be forgotten later.
	return placed+m.ended == len(m.tasks) && (m.ended == 0 || m.ended < forgetBatch && d.now() < m.forgetAt)
}

// pushOrders sends what is due directly, without waiting for the next report.
func (d *Dispatch) pushOrders(m *machine) {
	leads := d.leads()
	if !leads && !d.keeps() || m.addr == "" || m.expired {
		return
	}
	if m.calling {
		m.callAgain = true
		return
	}
	orders := d.orders(m, false)
	if len(orders) == 0 && (!leads || d.synced(m) || m.syncedAt != 0 && d.now() < m.syncedAt+remindTime) {
		return
	}
	shift := m.shift
	if !m.seen {
		shift = 1 // a wrong guess is answered with the report all the same
	}
	if !d.synced(m) {
		m.syncedAt = d.now()
	}
	d.command(m, shift, orders, func(status int, _ *protocol.Report) {
		for _, o := range orders {
			if o.Verb != protocol.VerbStart {
				continue
			}
			id, task, _ := protocol.ParseTask(o.Task)
			if s := m.sent[taskRef{id, task, o.Try}]; s != nil {
				s.inCall = false
				// 409, 400 and what never left execute nothing; silence can mean a
				// late arrival.
				s.uncertain = s.uncertain || status != http.StatusOK && status != http.StatusConflict &&
					status != http.StatusBadRequest && status != transport.NotSent
			}
		}
	})
}

// repeatTime is after which an order that seems not to have arrived is repeated.
const repeatTime = clock.Second

// sentOf is what is known of a try's orders.
func (m *machine) sentOf(ref taskRef) *sent {
	s := m.sent[ref]
	if s == nil {
		s = &sent{}
		m.sent[ref] = s
	}
	return s
}

func compareRefs(a, b taskRef) int {
	return cmp.Or(cmp.Compare(a.job, b.job), cmp.Compare(a.task, b.task), cmp.Compare(a.try, b.try))
}
