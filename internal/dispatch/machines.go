package dispatch

import (
	"fmt"
	"log/slog"
	"net/http"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"postpoint/internal/clock"
	"postpoint/internal/cloud"
	"postpoint/internal/fleet"
	"postpoint/internal/planner"
	"postpoint/internal/protocol"
)

const (
	listTime    = 4 * clock.Second
	refusedTime = 8 * clock.Second
	refusedMost = 32 * clock.Second
	downTime    = 2 * clock.Second
	unheardTime = 9 * clock.Second
	leaseMargin = clock.Second
)

// expire frees the places of machines whose leases have ended unheard, and
// gives up on machines that show no sign of life.
func (d *Dispatch) expire() {
	now := d.now()
	w := d.set.Deployment.Workers
	for _, m := range d.roster {
		if m.releasing {
			continue
		}
		if !m.expired && (m.seen || len(m.placed) > 0) && now > d.proofAt(m) {
			slog.Info("machine is silent, its lease has ended", "machine", m.name, "jobs", len(m.placed),
				"silent_s", (now - m.heardAt).Seconds())
			m.expired = true
			for id, tasks := range inOrder(m.placed) {
				for _, p := range inOrder(tasks) {
					m.shift = max(m.shift, p.Shift)
					j := d.jobs[id]
					switch {
					case j == nil || j.reread:
					case j.cancelled:
						// It may hang, and what it was stopped in the middle of counts as
						// there until it goes on or is gone.
						m.overdue = true
						d.release(m, "silent with cancelled tasks")
					default:
						d.unplace(j, p)
					}
				}
			}
			clear(m.tasks)
			clear(m.since)
			m.viewStale = true
		}
		boot := clock.FromSeconds(d.types[m.typ].BootS)
		switch {
		case m.expired && now > max(m.heardAt, m.firstSeen)+w.Lease()+20*clock.Second:
			d.release(m, "silent")
		case m.status == protocol.MachineFailed:
			d.release(m, "failed")
		case !m.seen && m.status == protocol.MachineStarting && now > m.firstSeen+2*boot+10*clock.Second:
			d.release(m, "never came up")
		case !m.seen && m.status == protocol.MachineRunning && now > m.firstSeen+max(boot, w.Lease())+30*clock.Second:
			d.release(m, "up but never reported")
		case m.quarantine && len(m.placed) == 0:
			d.release(m, "set aside")
		}
	}
}

// drain saves what runs on machines that the cloud will take.
func (d *Dispatch) drain() {
	for _, m := range d.roster {
		if m.recallAt == 0 {
			continue
		}
		left := (m.recallAt - d.now()).Seconds()
		for id, tasks := range inOrder(m.placed) {
			j := d.jobs[id]
			if j == nil || j.Spec.CheckpointS == 0 || left > j.Spec.SaveS+saveMargin {
				continue
			}
			for task := range inOrder(tasks) {
				d.stop(j, task, "recall", "")
			}
		}
	}
}

// saveMargin is the time, in seconds, that an order to save may take to arrive.
const saveMargin = 4.0

// stop takes a running task off its machine, saving if it can. A gang can only
// save whole, so that all its tasks are told at once.
func (d *Dispatch) stop(j *job, task int, why, forID string) {
	tell := func(t int) {
		p, ok := j.Placed[t]
		if _, stopping := j.stops[t]; !ok || stopping {
			return
		}
		j.stops[t] = stop{grace: j.Spec.SaveS + 1, why: why}
		j.runningStale = true
		slog.Debug("stopping task", "job", j.Spec.ID, "task", t, "machine", p.Machine, "why", why, "for", forID)
		if m := d.machines[p.Machine]; m != nil {
			d.pushOrders(m)
		}
	}
	if !j.Spec.Gang() {
		tell(task)
		return
	}
	for t := range inOrder(j.Placed) {
		tell(t)
	}
}

// remind repeats this term's epoch by direct command to machines that haven't come
// by themselves, a few at a time.
func (d *Dispatch) remind() {
	now := d.now()
	due := now - d.set.Deployment.Workers.Report()*3/2 - clock.Second
	left := remindAtOnce
	for _, m := range d.roster {
		if left > 0 && !d.synced(m) && !m.releasing && !m.calling && m.status != protocol.MachineStarting &&
			max(m.heardAt, d.begunAt) < due && now >= m.syncedAt+remindTime {
			left--
			d.pushOrders(m)
		}
	}
}

const (
	remindAtOnce = 8
	remindTime   = 2 * clock.Second
)

// manageFleet lists, returns idle machines and carries on with releases.
func (d *Dispatch) manageFleet() {
	now := d.now()
	if now < d.renting.downUntil || len(d.catalogue) == 0 {
		return
	}
	if !d.renting.listing && now > d.renting.listedAt+listTime {
		d.listMachines()
	}
	market := d.market()
	for _, m := range d.roster {
		if !m.seen || m.releasing || len(m.placed) > 0 || d.busy(m) {
			continue
		}
		idle := fleet.Idle{Kind: m.kind(), For: now - max(m.idleSince, m.spareAt), Needed: d.needed(m),
			Cordoned: m.cordoned}
		if m.recallAt == 0 && idle.For > market.Keep(idle) {
			d.release(m, "idle")
		}
	}
	d.sendReleases()
}

func (m *machine) kind() fleet.Kind { return fleet.Kind{Type: m.typ, Zone: m.zone, Spot: m.spot} }

// busy tells that something runs there, whether or not a record knows it.
func (d *Dispatch) busy(m *machine) bool {
	for _, t := range m.tasks {
		if t.Status != protocol.TaskExited {
			return true
		}
	}
	return false
}

// needed tells that a class of jobs seen lately could use the machine.
func (d *Dispatch) needed(m *machine) bool {
	for _, u := range d.classSeen {
		if d.now()-u.at < 5*60*clock.Second && planner.Allowed(&u.spec, m.typ, m.zone, m.spot) &&
			planner.Needs(&u.spec).Fits(fleet.Whole(d.types[m.typ])) {
			return true
		}
	}
	return false
}

func (d *Dispatch) market() *fleet.Market {
	m := &fleet.Market{Types: d.types, Refused: map[fleet.Kind]bool{}}
	for k, r := range d.renting.refused {
		if d.now() < r.until {
			m.Refused[k] = true
		}
	}
	return m
}

// rent carries out rentals, and decides no others until all are answered. A
// booking is named after the epoch, so that no other node and no later leader
// ever uses it again.
func (d *Dispatch) rent(wants []planner.Want) {
	now := time.UnixMicro(int64(d.now()))
	if d.renting.waiting > 0 || d.now() < d.renting.downUntil || len(wants) == 0 || len(d.catalogue) == 0 ||
		d.renting.pace.TokensAt(now) < 1 {
		return
	}
	for _, r := range d.market().Rent(wants) {
		for left := r.Count; left > 0 && d.renting.pace.AllowN(now, 1); left -= cloud.RentalSize {
			d.renting.bookings++
			d.renting.waiting++
			d.book(protocol.Rental{Booking: fmt.Sprintf("e%d-%d", d.term.Epoch, d.renting.bookings),
				Type: r.Kind.Type, Zone: r.Kind.Zone, Spot: r.Kind.Spot, Count: min(left, cloud.RentalSize)}, r.Kind, 1)
		}
	}
}

// bookingShare of the cloud's limit leaves room for releases and lists.
const bookingShare = 0.5

// newFleetState is what a term begins with.
func newFleetState(rps float64) fleetState {
	return fleetState{refused: map[fleet.Kind]refusal{},
		pace: rate.NewLimiter(rate.Limit(rps*bookingShare), max(1, int(rps)))}
}

// refusal is a kind that the cloud has run out of: it is asked again after a
// while, that doubles as long as the answer is the same.
type refusal struct {
	until, pause clock.Micros
}

func (d *Dispatch) refuse(k fleet.Kind) {
	r := d.renting.refused[k]
	r.pause = min(max(refusedTime, 2*r.pause), refusedMost)
	r.until = d.now() + r.pause
	d.renting.refused[k] = r
}

func (d *Dispatch) book(r protocol.Rental, k fleet.Kind, attempt int) {
	epoch := d.term.Epoch
	d.cloud.Rent(r, d.term.ValidUntil, func(status int, a protocol.RentalAnswer) {
		if d.term.Epoch != epoch {
			return
		}
		switch {
		case status == http.StatusOK:
			slog.Info("rented", "type", k.Type, "zone", k.Zone, "spot", k.Spot, "asked", r.Count, "machines", a.Machines)
			for _, name := range a.Machines {
				m := d.machine(name)
				m.typ, m.zone, m.spot, m.viewStale = k.Type, k.Zone, k.Spot, true
				if m.status == "" {
					m.status = protocol.MachineStarting
				}
			}
			delete(d.renting.refused, k)
			if len(a.Machines) < r.Count {
				d.refuse(k)
			}
		case status == http.StatusServiceUnavailable && a.Error == protocol.NoCapacity:
			slog.Debug("no capacity", "type", k.Type, "zone", k.Zone, "spot", k.Spot)
			d.refuse(k)
		case status == 0 && attempt < 4:
			// It may have been carried out: only the same booking is safe.
			d.inTerm(clock.Second, func() { d.book(r, k, attempt+1) })
			return
		default:
			slog.Info("the cloud doesn't rent", "status", status, "reason", a.Error)
			d.renting.downUntil = d.now() + downTime
		}
		d.renting.waiting--
		d.wake()
	})
}

// release marks a machine for return; nothing is placed on it from now on.
func (d *Dispatch) release(m *machine, why string) {
	if m.releasing {
		return
	}
	m.releasing = true
	slog.Info("releasing machine", "machine", m.name, "type", m.typ, "zone", m.zone, "spot", m.spot, "why", why)
}

// sendReleases returns what is marked. Once it is answered, the machines and
// all on them are gone: proof for whatever was placed there.
func (d *Dispatch) sendReleases() {
	leads := d.leads()
	if d.renting.releasing || !leads && !d.keeps() {
		return
	}
	var names []string
	add := func(overdue bool) {
		for _, m := range d.roster {
			if m.releasing && m.overdue == overdue && len(names) < cloud.ReleaseSize {
				names = append(names, m.name)
			}
		}
	}
	// Those that hold what is cancelled can't wait for others, nor for the cloud to
	// recover from a refusal.
	add(true)
	if leads && d.now() >= d.renting.downUntil {
		add(false)
	}
	if len(names) == 0 {
		return
	}
	d.renting.releasing = true
	epoch := d.term.Epoch
	d.cloud.Release(names, d.actsUntil(), func(status int) {
		if d.term.Epoch != epoch {
			return
		}
		d.renting.releasing = false
		if status != http.StatusOK {
			d.renting.downUntil = d.now() + downTime
			return
		}
		for _, name := range names {
			m := d.machines[name]
			for id, tasks := range inOrder(m.placed) {
				for _, p := range inOrder(tasks) {
					if j := d.jobs[id]; j != nil {
						d.unplace(j, p)
					}
				}
			}
			delete(d.machines, name)
			delete(d.addresses, name)
			delete(d.renting.refused, m.kind()) // there is one to be had again
			d.released[name] = true
		}
		d.roster = slices.DeleteFunc(slices.Clone(d.roster), func(m *machine) bool { return d.machines[m.name] != m })
		d.wake()
	})
}

// listMachines reads the cloud's list: addresses, strays and failures.
func (d *Dispatch) listMachines() {
	d.renting.listing = true
	d.renting.listedAt = d.now()
	listed := map[string]bool{}
	var page func(from string)
	epoch, began := d.term.Epoch, d.now()
	page = func(from string) {
		d.cloud.List(from, func(status int, l protocol.MachineList) {
			if d.term.Epoch != epoch {
				return
			}
			if status != http.StatusOK {
				d.renting.listing = false
				if status != 0 {
					d.renting.downUntil = d.now() + downTime
				}
				return
			}
			for _, x := range l.Machines {
				listed[x.Name] = true
				d.noteListed(x)
			}
			if l.More && len(l.Machines) > 0 {
				page(l.Machines[len(l.Machines)-1].Name)
				return
			}
			d.renting.listing = false
			d.missing(listed, began)
			d.wake()
		})
	}
	page("")
}

func (d *Dispatch) noteListed(x protocol.ListedMachine) {
	if d.released[x.Name] {
		return
	}
	fresh := d.machines[x.Name] == nil
	m := d.machine(x.Name)
	if !m.listed {
		m.listed = true
		m.listedAt = d.now()
	}
	if fresh {
		m.firstSeen -= clock.FromSeconds(x.AgeS)
	}
	if !m.seen {
		m.typ, m.zone, m.spot, m.viewStale = x.Type, x.Zone, x.Spot, true
		m.addr = x.Address
	}
	if was := m.status; was != x.Status {
		m.status = x.Status
		if x.Status == protocol.MachineRunning && !m.seen {
			m.firstSeen = max(m.firstSeen, d.now()-clock.FromSeconds(d.types[m.typ].BootS))
		}
	}
}

// missing returns machines that were listed and no longer are. An old list may
// lack young machines, so that only a list surely younger than the machine's
// own first listing counts; the release is what proves them gone.
func (d *Dispatch) missing(listed map[string]bool, began clock.Micros) {
	lag := 2*clock.FromSeconds(d.set.Deployment.Cloud.ListLagS) + clock.Second
	for _, m := range d.roster {
		if m.listed && !listed[m.name] && began > m.listedAt+lag && !d.heardRecently(m) {
			d.release(m, "no longer listed")
		}
		// It ran tasks before this term and has had time to report since: if it
		// is alive at all, it is out of everybody's sight.
		if !m.listed && !m.seen && len(m.placed) > 0 && began > d.begunAt+unheardTime {
			d.release(m, "neither listed nor heard of")
		}
	}
}

// renewed tells that the machine's lease is being renewed: one that only answers
// direct commands loses whatever it is given when its lease ends.
func (d *Dispatch) renewed(m *machine) bool {
	return m.answeredAt != 0 && d.withinTwoReports(m.answeredAt)
}

// heardRecently tells that a machine was heard of about as often as it should be.
func (d *Dispatch) heardRecently(m *machine) bool {
	return m.seen && d.withinTwoReports(m.heardAt)
}

// withinTwoReports tells that something that every report repeats was no longer ago than two of
// them may take.
func (d *Dispatch) withinTwoReports(at clock.Micros) bool {
	return d.now() < at+2*d.set.Deployment.Workers.Report()+2*clock.Second
}
