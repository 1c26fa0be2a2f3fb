package federation

import (
	"log/slog"

	"postpoint/internal/cells"
	"postpoint/internal/clock"
	"postpoint/internal/delegation"
	"postpoint/internal/fleet"
	"postpoint/internal/leader/jobtable"
	"postpoint/internal/leader/machinetable"
	"postpoint/internal/ledger"
	"postpoint/internal/ordered"
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

// Link is the exchange with one other cell.
type Link struct {
	name string
	// As host, to that cell as home.
	inFlight bool
	nextAt   clock.Micros
	Failures int
	// leader is the address of the controller to ask, else turn chooses one.
	leader     string
	turn       int
	answeredAt clock.Micros
	reports    int64 // sent in this term
	// As home, of that cell as host: its last report.
	Load           delegation.Load
	LoadAt         clock.Micros
	epoch, counter int64
}

const (
	// Hosts report this often to cells whose work they have, and to others.
	busyReportTime = clock.Second
	idleReportTime = 2 * clock.Second
	// reportCoalesceTime lets what happens at about the same time share a report.
	reportCoalesceTime = 100 * clock.Millisecond
	// A cell that doesn't answer is asked less and less often, the jitter apart.
	firstBackoff  = 500 * clock.Millisecond
	longestPause  = 15 * clock.Second
	backoffDouble = 5
	backoffJitter = 0.25
)

// CircuitFailures in a row mean that a cell is asked only now and then.
const CircuitFailures = 5

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

// ShortageTime is what waiting for a plan or two and an answer of the cloud takes.
const ShortageTime = 5 * clock.Second

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

// ReportToOrigins sends the reports that are due. It needs no lease: a leader that may still
// answer workers may also ask what it may keep.
func (hc *Host) ReportToOrigins() {
	if !hc.cells.Enabled() || !hc.Loaded || !hc.Leads() && !hc.MayAnswer() {
		return
	}
	now := hc.Now()
	var guests map[string][]*jobtable.Job
	for _, link := range ordered.ByKey(hc.cells.ByCell) {
		if link.inFlight || now < link.nextAt {
			continue
		}
		if guests == nil {
			guests = hc.jobs.HostedByOrigin()
		}
		if own := guests[link.name]; len(own) > 0 || hc.cells.Directory.TakesFrom(link.name) {
			hc.report(link, own)
		}
	}
}

// report sends one report and takes its answer.
func (hc *Host) report(link *Link, guests []*jobtable.Job) {
	home := hc.cells.Directory.Cell(link.name)
	address := link.leader
	if address == "" {
		address = home.Controllers[link.turn%len(home.Controllers)].Address
	}
	sentAt, epoch := hc.Now(), hc.Term.Epoch
	link.inFlight = true
	link.reports++
	r := delegation.Report{Host: hc.cells.Directory.Own.Name, Home: link.name, Epoch: epoch, Counter: link.reports,
		Clear: cells.ClearTime(hc.Settings.Deployment.Workers.Lease()), Load: hc.ownLoad()}
	for _, j := range guests {
		if s, known := hc.StatusOf(j); known && len(r.Tasks) < delegation.MaxReported {
			r.Tasks = append(r.Tasks, s)
		}
	}
	hc.cells.exchange.Exchange(address, r, func(a delegation.Answer, ok bool) {
		if hc.Term.Epoch != epoch {
			return
		}
		link.inFlight = false
		if !ok || a.Result != delegation.Taken {
			hc.reportFailed(link, home, address, a, ok)
			return
		}
		if link.Failures > CircuitFailures {
			slog.Info("cell answers again", "cell", link.name)
		}
		link.leader, link.Failures, link.answeredAt = address, 0, hc.Now()
		link.nextAt = sentAt + idleReportTime
		if len(guests) > 0 {
			link.nextAt = sentAt + busyReportTime
		}
		hc.applyRulings(guests, a.Rulings, sentAt)
		for _, o := range a.Offers {
			hc.TakeOffer(link, o)
		}
		hc.CheckHosted()
		hc.steps.Wake()
	})
}

// reportFailed goes on with another controller of the cell, and after a pause if none helps.
func (hc *Host) reportFailed(link *Link, home *cells.Cell, asked string, a delegation.Answer, ok bool) {
	link.leader = ""
	link.turn++
	if ok && a.Leader != asked && home.Has(a.Leader) {
		link.leader = a.Leader
	}
	link.Failures++
	if link.Failures == CircuitFailures+1 {
		slog.Info("cell does not answer", "cell", link.name, "silent_s", (hc.Now() - link.answeredAt).Seconds())
	}
	pause := firstBackoff << min(max(link.Failures-len(home.Controllers), 0), backoffDouble)
	spread := 1 - backoffJitter + 2*backoffJitter*hc.Random.Float64()
	link.nextAt = hc.Now() + min(clock.Micros(float64(pause)*spread), longestPause)
}

// reportSoon tells a cell of news about its work.
func (hc *Host) reportSoon(home string) {
	link := hc.cells.ByCell[home]
	if link == nil || link.Failures > CircuitFailures {
		return
	}
	if soon := hc.Now() + reportCoalesceTime; link.nextAt > soon {
		link.nextAt = soon
		hc.AfterInTerm(reportCoalesceTime, hc.ReportToOrigins)
	}
}

// ownLoad is what this cell could take, for other cells to choose by.
func (hc *Host) ownLoad() delegation.Load {
	own := hc.cells.Directory.Own
	l := delegation.Load{Room: own.Guests.Minus(hc.jobs.HostedAmounts()), Short: hc.unmetFor(false)}
	if own.Draining || hc.unmetFor(true) > 0 {
		l.Room = planner.Amounts{}
	}
	limit, _ := hc.writer.Limits()
	l.MaxTasks = hostedTasksWithin(limit)
	free := map[string]planner.Amounts{}
	for i := range hc.snapshots.Views {
		if m := &hc.snapshots.Views[i]; !m.Booting {
			free[m.Type] = free[m.Type].Plus(m.Free)
		}
	}
	refused := hc.autoscaler.Market().Refused
	for _, t := range hc.catalogue.Types {
		l.Types = append(l.Types, delegation.TypeLoad{Type: t, Free: beyond(free[t.Name], own.Reserve), Refused: allRefused(t, refused)})
	}
	return l
}

// unmetFor is for how long work of this cell's own, or of guests, has been waiting for machines
// that don't come, 0 if none has for long.
func (hc *Host) unmetFor(guests bool) clock.Micros {
	now := hc.Now()
	longest := clock.Micros(0)
	for _, j := range hc.jobs.ByID {
		if (j.Guest != nil) == guests && !j.Over() && j.UnmetAt != 0 && now <= j.UnmetAt+jobtable.UnmetDemandGap {
			longest = max(longest, now-j.UnmetSince)
		}
	}
	if longest < ShortageTime {
		return 0
	}
	return longest
}

// StatusOf is what home is told of a guest. known is false while its record is in doubt.
func (hc *Host) StatusOf(j *jobtable.Job) (s delegation.Status, known bool) {
	_, id, number, ok := ledger.ParseGuestID(j.Spec.ID)
	if !ok || j.MustReload || j.Loading {
		return s, false
	}
	s = delegation.Status{Number: number, Job: id, Done: j.StoredDone, Reason: j.Cause,
		Closed: j.Guest.Closed && j.StoredCount >= j.ClosedAtChange || j.Final() && j.IsStored()}
	for task, p := range ordered.ByKey(j.Placed) {
		s.Held.Add(task)
		if m := hc.machines.ByName[p.Machine]; m != nil && m.RunningSince[machinetable.AttemptRef{Job: j.Spec.ID, Task: task, Attempt: p.Attempt}] != 0 {
			s.Running++
		}
	}
	s.Waiting = max(0, j.PendingCount()) // a gang whose tasks are done may still be held
	return s, true
}
