package dispatch

import (
	"log/slog"

	"postpoint/internal/cells"
	"postpoint/internal/clock"
	"postpoint/internal/delegation"
	"postpoint/internal/fleet"
	"postpoint/internal/ledger"
	"postpoint/internal/planner"
	"postpoint/internal/protocol"
)

// Cells run work for each other by delegation: docs/cells.md. A leader is home for the jobs of
// its own cell's users and host for those of other cells. As host it reports to the other
// cells' leaders, as workers report to theirs; as home it answers.

// Exchanger carries a report to a controller of another cell. ok tells that an answer came.
type Exchanger interface {
	Exchange(address string, r delegation.Report, done func(a delegation.Answer, ok bool))
}

// cellLink is the exchange with one other cell.
type cellLink struct {
	name string
	// As host, to that cell as home.
	inFlight bool
	nextAt   clock.Micros
	failures int
	// leader is the address of the controller to ask, else turn chooses one.
	leader     string
	turn       int
	answeredAt clock.Micros
	reports    int64 // sent in this term
	// As home, of that cell as host: its last report.
	load           delegation.Load
	loadAt         clock.Micros
	epoch, counter int64
}

const (
	// Hosts report this often to cells whose work they have, and to others.
	busyReportTime = clock.Second
	idleReportTime = 2 * clock.Second
	// soonTime lets what happens at about the same time share a report.
	soonTime = 100 * clock.Millisecond
	// A cell that doesn't answer is asked less and less often, the jitter apart.
	firstBackoff  = 500 * clock.Millisecond
	longestPause  = 15 * clock.Second
	backoffDouble = 5
	backoffJitter = 0.25
)

// circuitFailures in a row mean that a cell is asked only now and then.
const circuitFailures = 5

// allRefused tells that the cloud has run out of a type, as far as is known.
func allRefused(t protocol.MachineType, refused map[fleet.Kind]bool) bool {
	for _, zone := range t.Zones {
		if !refused[fleet.Kind{Type: t.Name, Zone: zone}] && !refused[fleet.Kind{Type: t.Name, Zone: zone, Spot: true}] {
			return false
		}
	}
	return true
}

// beyond is what is left of free amounts beyond a reserve.
func beyond(free, reserve planner.Amounts) planner.Amounts {
	left := free.Minus(reserve)
	return planner.Amounts{Cpus: max(0, left.Cpus), Gpus: max(0, left.Gpus), MemoryGB: max(0, left.MemoryGB)}
}

// shortTime is what waiting for a plan or two and an answer of the cloud takes.
const shortTime = 5 * clock.Second

// CellOverview is what the leader knows of another cell.
type CellOverview struct {
	Cell string `json:"cell"`
	// Reachable tells that it answers this cell's reports, if it is sent any, and reports itself,
	// if it may take work.
	Reachable bool `json:"reachable"`
	// Lent counts this cell's tasks that are there, Borrowed that cell's tasks that are here.
	Lent     int `json:"lent_tasks"`
	Borrowed int `json:"borrowed_tasks"`
	// Recalled counts delegations that are wanted back.
	Recalled int `json:"recalled"`
	// OldestUnansweredS is how long ago that cell last said something of the delegation that it
	// has been silent about for longest.
	OldestUnansweredS float64 `json:"oldest_unanswered_s"`
	// ShortS is for how long its own work has been waiting for room, by its last report.
	ShortS float64 `json:"short_s,omitempty"`
}

// reportToCells sends the reports that are due. It needs no lease: a leader that may still
// answer workers may also ask what it may keep.
func (hc *hostCell) reportToCells() {
	if !hc.cells.enabled() || !hc.loaded || !hc.leads() && !hc.mayAnswer() {
		return
	}
	now := hc.now()
	var guests map[string][]*job
	for _, link := range inOrder(hc.cells.links) {
		if link.inFlight || now < link.nextAt {
			continue
		}
		if guests == nil {
			guests = hc.jobs.hostedByOrigin()
		}
		if own := guests[link.name]; len(own) > 0 || hc.cells.directory.TakesFrom(link.name) {
			hc.report(link, own)
		}
	}
}

// report sends one report and takes its answer.
func (hc *hostCell) report(link *cellLink, guests []*job) {
	home := hc.cells.directory.Cell(link.name)
	address := link.leader
	if address == "" {
		address = home.Controllers[link.turn%len(home.Controllers)].Address
	}
	sentAt, epoch := hc.now(), hc.term.Epoch
	link.inFlight = true
	link.reports++
	r := delegation.Report{Host: hc.cells.directory.Own.Name, Home: link.name, Epoch: epoch, Counter: link.reports,
		Clear: cells.ClearTime(hc.settings.Deployment.Workers.Lease()), Load: hc.ownLoad()}
	for _, j := range guests {
		if s, known := hc.statusOf(j); known && len(r.Tasks) < delegation.MaxReported {
			r.Tasks = append(r.Tasks, s)
		}
	}
	hc.cells.exchange.Exchange(address, r, func(a delegation.Answer, ok bool) {
		if hc.term.Epoch != epoch {
			return
		}
		link.inFlight = false
		if !ok || a.Result != delegation.Taken {
			hc.reportFailed(link, home, address, a, ok)
			return
		}
		if link.failures > circuitFailures {
			slog.Info("cell answers again", "cell", link.name)
		}
		link.leader, link.failures, link.answeredAt = address, 0, hc.now()
		link.nextAt = sentAt + idleReportTime
		if len(guests) > 0 {
			link.nextAt = sentAt + busyReportTime
		}
		hc.takeRulings(guests, a.Rulings, sentAt)
		for _, o := range a.Offers {
			hc.takeOffer(link, o)
		}
		hc.checkGuests()
		hc.steps.wake()
	})
}

// reportFailed goes on with another controller of the cell, and after a pause if none helps.
func (hc *hostCell) reportFailed(link *cellLink, home *cells.Cell, asked string, a delegation.Answer, ok bool) {
	link.leader = ""
	link.turn++
	if ok && a.Leader != asked && home.Has(a.Leader) {
		link.leader = a.Leader
	}
	link.failures++
	if link.failures == circuitFailures+1 {
		slog.Info("cell does not answer", "cell", link.name, "silent_s", (hc.now() - link.answeredAt).Seconds())
	}
	pause := firstBackoff << min(max(link.failures-len(home.Controllers), 0), backoffDouble)
	spread := 1 - backoffJitter + 2*backoffJitter*hc.random.Float64()
	link.nextAt = hc.now() + min(clock.Micros(float64(pause)*spread), longestPause)
}

// reportSoon tells a cell of news about its work.
func (hc *hostCell) reportSoon(home string) {
	link := hc.cells.links[home]
	if link == nil || link.failures > circuitFailures {
		return
	}
	if soon := hc.now() + soonTime; link.nextAt > soon {
		link.nextAt = soon
		hc.inTerm(soonTime, hc.reportToCells)
	}
}

// ownLoad is what this cell could take, for other cells to choose by.
func (hc *hostCell) ownLoad() delegation.Load {
	own := hc.cells.directory.Own
	l := delegation.Load{Room: own.Guests.Minus(hc.jobs.hostedAmounts()), Short: hc.shortFor(false)}
	if own.Draining || hc.shortFor(true) > 0 {
		l.Room = planner.Amounts{}
	}
	limit, _ := hc.writer.recordLimits()
	l.MaxTasks = guestTasksWithin(limit)
	free := map[string]planner.Amounts{}
	for i := range hc.snapshots.views {
		if m := &hc.snapshots.views[i]; !m.Booting {
			free[m.Type] = free[m.Type].Plus(m.Free)
		}
	}
	refused := hc.autoscaler.market().Refused
	for _, t := range hc.catalogue.list {
		l.Types = append(l.Types, delegation.TypeLoad{Type: t, Free: beyond(free[t.Name], own.Reserve), Refused: allRefused(t, refused)})
	}
	return l
}

// shortFor is for how long work of this cell's own, or of guests, has been waiting for machines
// that don't come, 0 if none has for long.
func (hc *hostCell) shortFor(guests bool) clock.Micros {
	now := hc.now()
	longest := clock.Micros(0)
	for _, j := range hc.jobs.byID {
		if (j.Guest != nil) == guests && !j.over() && j.wantedAt != 0 && now <= j.wantedAt+wantedGap {
			longest = max(longest, now-j.wantedFrom)
		}
	}
	if longest < shortTime {
		return 0
	}
	return longest
}

// statusOf is what home is told of a guest. known is false while its record is in doubt.
func (hc *hostCell) statusOf(j *job) (s delegation.Status, known bool) {
	_, id, number, ok := ledger.ParseGuestID(j.Spec.ID)
	if !ok || j.reread || j.reading {
		return s, false
	}
	s = delegation.Status{Number: number, Job: id, Done: j.storedDone, Reason: j.Cause,
		Closed: j.Guest.Closed && j.durable >= j.closedAt || j.Final() && j.isStored()}
	for task, p := range inOrder(j.Placed) {
		s.Held.Add(task)
		if m := hc.machines.byName[p.Machine]; m != nil && m.since[taskRef{j.Spec.ID, task, p.Attempt}] != 0 {
			s.Running++
		}
	}
	s.Waiting = max(0, j.PendingCount()) // a gang whose tasks are done may still be held
	return s, true
}
