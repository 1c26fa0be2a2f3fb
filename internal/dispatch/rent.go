package dispatch

import (
	"fmt"
	"log/slog"
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"postpoint/internal/clock"
	"postpoint/internal/cloud"
	"postpoint/internal/fleet"
	"postpoint/internal/planner"
	"postpoint/internal/protocol"
)

type fleetState struct {
	bookings  int
	waiting   int // rentals without an answer yet
	releasing bool
	listing   bool
	listedAt  clock.Micros
	refused   map[fleet.Kind]refusal
	pace      *rate.Limiter // of bookings
	downUntil clock.Micros
	// free is what the machines of the last snapshot had left.
	free planner.Amounts
}

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
	if d.anyAvoided() {
		d.refuseAvoided(m)
	}
	return m
}

// refuseAvoided leaves out zones that aren't well: what boots there may never be heard of. In
// those that are heard of again it may.
func (d *Dispatch) refuseAvoided(m *fleet.Market) {
	m.Doubtful = map[string]bool{}
	for _, t := range d.catalogue {
		for _, zone := range t.Zones {
			if d.zoneReturning(zone) {
				m.Doubtful[zone] = true
			} else if d.zoneAvoided(zone) {
				m.Refused[fleet.Kind{Type: t.Name, Zone: zone}] = true
				m.Refused[fleet.Kind{Type: t.Name, Zone: zone, Spot: true}] = true
			}
		}
	}
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
