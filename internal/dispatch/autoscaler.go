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

// autoscaler rents machines for unmet demand and returns those that aren't needed any more.
type autoscaler struct {
	*leaderTerm
	cloud      cloud.API
	jobs       *jobTable
	machines   *machineTable
	catalogue  *machineCatalogue
	objectives *objectives
	commands   *commandSender
	snapshots  *snapshotBuilder
	zones      *zoneRecovery
	steps      *stepTimer

	fleetState
	cordonAt   clock.Micros
	spareBatch int // see fleet.Cordon; kept across terms
}

const (
	// listTime is from one look at the cloud's list of machines to the next.
	listTime = 4 * clock.Second
	// A kind of machine that the cloud has run out of is asked for again after refusedTime, which
	// doubles up to refusedMost.
	refusedTime = 8 * clock.Second
	refusedMost = 32 * clock.Second
	// downTime is the pause after the cloud has refused a request.
	downTime = 2 * clock.Second
	// unheardTime is given to machines that ran tasks before this term to be listed or heard of.
	unheardTime = 9 * clock.Second
)

// cordonTime is from one look for machines that aren't needed to the next.
const cordonTime = 3 * clock.Second

func newAutoscaler(term *leaderTerm, cl cloud.API, jobs *jobTable, machines *machineTable,
	catalogue *machineCatalogue, objectives *objectives, commands *commandSender, snapshots *snapshotBuilder,
	zones *zoneRecovery, steps *stepTimer) *autoscaler {
	return &autoscaler{
		leaderTerm: term,
		cloud:      cl,
		jobs:       jobs,
		machines:   machines,
		catalogue:  catalogue,
		objectives: objectives,
		commands:   commands,
		snapshots:  snapshots,
		zones:      zones,
		steps:      steps,
	}
}

// cordonNowAndThen looks for machines that aren't needed, once in cordonTime.
func (sc *autoscaler) cordonNowAndThen() {
	if sc.now() > sc.cordonAt+cordonTime {
		sc.cordonAt = sc.now()
		sc.cordon()
	}
}

type fleetState struct {
	bookings  int
	waiting   int // rentals without an answer yet
	releasing bool
	listing   bool
	listedAt  clock.Micros
	refused   map[fleet.Kind]refusal
	pace      *rate.Limiter // of bookings
	downUntil clock.Micros
}

// bookingShare of the cloud's limit leaves room for releases and lists.
const bookingShare = 0.5

// begin forgets what was known in earlier terms.
func (sc *autoscaler) begin() {
	sc.fleetState = newFleetState(sc.settings.Deployment.Cloud.Rps)
}

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

// manageFleet lists, returns idle machines and carries on with releases.
func (sc *autoscaler) manage() {
	now := sc.now()
	if now < sc.downUntil || len(sc.catalogue.list) == 0 {
		return
	}
	if !sc.listing && now > sc.listedAt+listTime {
		sc.listMachines()
	}
	market := sc.market()
	for _, m := range sc.machines.ordered {
		if !m.seen || m.releasing || len(m.placed) > 0 || sc.machines.busy(m) {
			continue
		}
		idle := fleet.Idle{Kind: m.kind(), For: now - max(m.idleSince, m.spareAt), Needed: sc.needed(m),
			Cordoned: m.cordoned}
		if m.recallAt == 0 && idle.For > market.Keep(idle) {
			sc.machines.scheduleRelease(m, "idle")
		}
	}
	sc.sendReleases()
}

// needed tells that a class of jobs seen lately could use the machine.
func (sc *autoscaler) needed(m *machine) bool {
	for _, u := range sc.objectives.classSeen {
		if sc.now()-u.at < 5*60*clock.Second && planner.Allowed(&u.spec, m.typ, m.zone, m.spot) &&
			planner.Needs(&u.spec).Fits(fleet.Whole(sc.catalogue.byName[m.typ])) {
			return true
		}
	}
	return false
}

func (sc *autoscaler) market() *fleet.Market {
	m := &fleet.Market{Types: sc.catalogue.byName, Refused: map[fleet.Kind]bool{}}
	for k, r := range sc.refused {
		if sc.now() < r.until {
			m.Refused[k] = true
		}
	}
	if sc.zones.anyAvoided() {
		sc.refuseAvoided(m)
	}
	return m
}

// refuseAvoided leaves out zones that aren't well: what boots there may never be heard of. In
// those that are heard of again it may.
func (sc *autoscaler) refuseAvoided(m *fleet.Market) {
	m.Doubtful = map[string]bool{}
	for _, t := range sc.catalogue.list {
		for _, zone := range t.Zones {
			if sc.zones.returning(zone) {
				m.Doubtful[zone] = true
			} else if sc.zones.avoided(zone) {
				m.Refused[fleet.Kind{Type: t.Name, Zone: zone}] = true
				m.Refused[fleet.Kind{Type: t.Name, Zone: zone, Spot: true}] = true
			}
		}
	}
}

// rent carries out rentals, and decides no others until all are answered. A
// booking is named after the epoch, so that no other node and no later leader
// ever uses it again.
func (sc *autoscaler) rent(wants []planner.Want) {
	now := time.UnixMicro(int64(sc.now()))
	if sc.waiting > 0 || sc.now() < sc.downUntil || len(wants) == 0 || len(sc.catalogue.list) == 0 ||
		sc.pace.TokensAt(now) < 1 {
		return
	}
	for _, r := range sc.market().Rent(wants) {
		for left := r.Count; left > 0 && sc.pace.AllowN(now, 1); left -= cloud.RentalSize {
			sc.bookings++
			sc.waiting++
			sc.book(protocol.Rental{Booking: fmt.Sprintf("e%d-%d", sc.term.Epoch, sc.bookings),
				Type: r.Kind.Type, Zone: r.Kind.Zone, Spot: r.Kind.Spot, Count: min(left, cloud.RentalSize)}, r.Kind, 1)
		}
	}
}

func (sc *autoscaler) refuse(k fleet.Kind) {
	r := sc.refused[k]
	r.pause = min(max(refusedTime, 2*r.pause), refusedMost)
	r.until = sc.now() + r.pause
	sc.refused[k] = r
}

func (sc *autoscaler) book(r protocol.Rental, k fleet.Kind, attempt int) {
	epoch := sc.term.Epoch
	sc.cloud.Rent(r, sc.term.ValidUntil, func(status int, a protocol.RentalAnswer) {
		if sc.term.Epoch != epoch {
			return
		}
		switch {
		case status == http.StatusOK:
			slog.Info("rented", "type", k.Type, "zone", k.Zone, "spot", k.Spot, "asked", r.Count, "machines", a.Machines)
			for _, name := range a.Machines {
				m := sc.machines.get(name)
				m.typ, m.zone, m.spot, m.viewStale = k.Type, k.Zone, k.Spot, true
				if m.status == "" {
					m.status = protocol.MachineStarting
				}
			}
			delete(sc.refused, k)
			if len(a.Machines) < r.Count {
				sc.refuse(k)
			}
		case status == http.StatusServiceUnavailable && a.Error == protocol.NoCapacity:
			slog.Debug("no capacity", "type", k.Type, "zone", k.Zone, "spot", k.Spot)
			sc.refuse(k)
		case status == 0 && attempt < 4:
			// It may have been carried out: only the same booking is safe.
			sc.inTerm(clock.Second, func() { sc.book(r, k, attempt+1) })
			return
		default:
			slog.Info("the cloud doesn't rent", "status", status, "reason", a.Error)
			sc.downUntil = sc.now() + downTime
		}
		sc.waiting--
		sc.steps.wake()
	})
}
