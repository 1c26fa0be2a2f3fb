package dispatch

import (
	"log/slog"

	"postpoint/internal/cells"
	"postpoint/internal/clock"
	"postpoint/internal/delegation"
	"postpoint/internal/fleet"
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

// JoinCells switches cells on. It is called before Start.
func (d *Dispatch) JoinCells(directory *cells.Directory, exchange Exchanger) {
	d.directory, d.exchange = directory, exchange
}

// cellsOn tells that this cell's controllers all know of cells.
func (d *Dispatch) cellsOn() bool { return d.directory != nil && d.format.Cells }

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

func (d *Dispatch) beginCells() {
	d.delegations, d.numbers, d.saving, d.delegationUnreadable = map[int64]*delegated{}, numberBlock{}, false, false
	d.links = map[string]*cellLink{}
	if d.directory == nil {
		return
	}
	for _, c := range d.directory.Others() {
		d.links[c.Name] = &cellLink{name: c.Name}
	}
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

// reportToCells sends the reports that are due. It needs no lease: a leader that may still
// answer workers may also ask what it may keep.
func (d *Dispatch) reportToCells() {
	if !d.cellsOn() || !d.loaded || !d.leads() && !d.keeps() {
		return
	}
	now := d.now()
	var guests map[string][]*job
	for _, link := range inOrder(d.links) {
		if link.inFlight || now < link.nextAt {
			continue
		}
		if guests == nil {
			guests = d.guestsByHome()
		}
		if own := guests[link.name]; len(own) > 0 || d.directory.TakesFrom(link.name) {
			d.report(link, own)
		}
	}
}

// report sends one report and takes its answer.
func (d *Dispatch) report(link *cellLink, guests []*job) {
	home := d.directory.Cell(link.name)
	address := link.leader
	if address == "" {
		address = home.Controllers[link.turn%len(home.Controllers)].Address
	}
	sentAt, epoch := d.now(), d.term.Epoch
	link.inFlight = true
	link.reports++
	r := delegation.Report{Host: d.directory.Own.Name, Home: link.name, Epoch: epoch, Counter: link.reports,
		Clear: cells.ClearTime(d.set.Deployment.Workers.Lease()), Load: d.ownLoad()}
	for _, j := range guests {
		if s, known := d.statusOf(j); known && len(r.Tasks) < delegation.MaxReported {
			r.Tasks = append(r.Tasks, s)
		}
	}
	d.exchange.Exchange(address, r, func(a delegation.Answer, ok bool) {
		if d.term.Epoch != epoch {
			return
		}
		link.inFlight = false
		if !ok || a.Result != delegation.Taken {
			d.reportFailed(link, home, address, a, ok)
			return
		}
		if link.failures > circuitFailures {
			slog.Info("cell answers again", "cell", link.name)
		}
		link.leader, link.failures, link.answeredAt = address, 0, d.now()
		link.nextAt = sentAt + idleReportTime
		if len(guests) > 0 {
			link.nextAt = sentAt + busyReportTime
		}
		d.takeRulings(guests, a.Rulings, sentAt)
		for _, o := range a.Offers {
			d.takeOffer(link, o)
		}
		d.checkGuests()
		d.wake()
	})
}

// circuitFailures in a row mean that a cell is asked only now and then.
const circuitFailures = 5

// reportFailed goes on with another controller of the cell, and after a pause if none helps.
func (d *Dispatch) reportFailed(link *cellLink, home *cells.Cell, asked string, a delegation.Answer, ok bool) {
	link.leader = ""
	link.turn++
	if ok && a.Leader != asked && home.Has(a.Leader) {
		link.leader = a.Leader
	}
	link.failures++
	if link.failures == circuitFailures+1 {
		slog.Info("cell does not answer", "cell", link.name, "silent_s", (d.now() - link.answeredAt).Seconds())
	}
	pause := firstBackoff << min(max(link.failures-len(home.Controllers), 0), backoffDouble)
	spread := 1 - backoffJitter + 2*backoffJitter*d.random.Float64()
	link.nextAt = d.now() + min(clock.Micros(float64(pause)*spread), longestPause)
}

// reportSoon tells a cell of news about its work.
func (d *Dispatch) reportSoon(home string) {
	link := d.links[home]
	if link == nil || link.failures > circuitFailures {
		return
	}
	if soon := d.now() + soonTime; link.nextAt > soon {
		link.nextAt = soon
		d.inTerm(soonTime, d.reportToCells)
	}
}

// ownLoad is what this cell could take, for other cells to choose by.
func (d *Dispatch) ownLoad() delegation.Load {
	own := d.directory.Own
	l := delegation.Load{Room: own.Guests.Minus(d.guestAmounts()), Short: d.shortFor(false)}
	if own.Draining || d.shortFor(true) > 0 {
		l.Room = planner.Amounts{}
	}
	limit, _ := d.recordLimits()
	l.MaxTasks = guestTasksWithin(limit)
	free := map[string]planner.Amounts{}
	for i := range d.views {
		if m := &d.views[i]; !m.Booting {
			free[m.Type] = free[m.Type].Plus(m.Free)
		}
	}
	refused := d.market().Refused
	for _, t := range d.catalogue {
		l.Types = append(l.Types, delegation.TypeLoad{Type: t, Free: beyond(free[t.Name], own.Reserve), Refused: allRefused(t, refused)})
	}
	return l
}

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

// shortFor is for how long work of this cell's own, or of guests, has been waiting for machines
// that don't come, 0 if none has for long.
func (d *Dispatch) shortFor(guests bool) clock.Micros {
	now := d.now()
	longest := clock.Micros(0)
	for _, j := range d.jobs {
		if (j.Guest != nil) == guests && !j.over() && j.wantedAt != 0 && now <= j.wantedAt+wantedGap {
			longest = max(longest, now-j.wantedFrom)
		}
	}
	if longest < shortTime {
		return 0
	}
	return longest
}

// shortTime is what waiting for a plan or two and an answer of the cloud takes.
const shortTime = 5 * clock.Second

// freeRoom is what machines have left, those that boot included.
func freeRoom(machines []planner.Machine) planner.Amounts {
	var free planner.Amounts
	for i := range machines {
		free = free.Plus(machines[i].Free)
	}
	return free
}

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

// cellsOverview is empty on nodes that don't lead.
func (d *Dispatch) cellsOverview() []CellOverview {
	now := d.now()
	var all []CellOverview
	for name, link := range inOrder(d.links) {
		o := CellOverview{Cell: name, Reachable: link.failures <= circuitFailures && (link.loadAt == 0 || now <= link.loadAt+loadTime),
			ShortS: link.load.Short.Seconds()}
		for _, del := range d.delegations {
			if del.Host != name {
				continue
			}
			o.Lent += del.Left.Len()
			o.OldestUnansweredS = max(o.OldestUnansweredS, (now - del.HeardAt).Seconds())
			if del.State == delegation.Recalled {
				o.Recalled++
			}
		}
		for _, j := range d.jobs {
			if j.Guest != nil && j.Guest.Home == name && !j.Final() {
				o.Borrowed += len(j.Placed) + j.PendingCount()
			}
		}
		all = append(all, o)
	}
	return all
}
