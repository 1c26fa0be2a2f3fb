// Package autoscaler scales the deployment out and in: it rents machines for unmet demand, cordons
// and returns surplus ones, and keeps up with the cloud's list of machines. What to rent and what is
// surplus is decided by package fleet, which is pure.
package autoscaler

import (
	"fmt"
	"log/slog"
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"postpoint/internal/clock"
	"postpoint/internal/cloud"
	"postpoint/internal/fleet"
	"postpoint/internal/leader/jobtable"
	"postpoint/internal/leader/machinetable"
	"postpoint/internal/leader/objectives"
	"postpoint/internal/leader/reconciler"
	"postpoint/internal/leader/snapshots"
	"postpoint/internal/leader/term"
	"postpoint/internal/leader/zonetracker"
	"postpoint/internal/planner"
	"postpoint/internal/protocol"
)

// Autoscaler rents machines for unmet demand and returns those that aren't needed any more.
type Autoscaler struct {
	*term.State
	Cloud      cloud.API
	jobs       *jobtable.Table
	machines   *machinetable.Table
	catalogue  *machinetable.Catalogue
	objectives *objectives.Tracker
	commands   *reconciler.CommandSender
	snapshots  *snapshots.Builder
	zones      *zonetracker.Tracker
	steps      *term.StepTimer

	rentalState
	cordonAt    clock.Micros
	cordonBatch int // see fleet.Cordon; kept across terms
}

const (
	// listInterval is from one look at the cloud's list of machines to the next.
	listInterval = 4 * clock.Second
	// A kind of machine that the cloud has run out of is asked for again after noCapacityPause, which
	// doubles up to maxNoCapacityPause.
	noCapacityPause    = 8 * clock.Second
	maxNoCapacityPause = 32 * clock.Second
	// cloudRetryDelay is the pause after the cloud has refused a request.
	cloudRetryDelay = 2 * clock.Second
	// unheardTimeout is given to machines that ran tasks before this term to be listed or heard of.
	unheardTimeout = 9 * clock.Second
)

// cordonInterval is from one look for machines that aren't needed to the next.
const cordonInterval = 3 * clock.Second

// New makes an autoscaler that rents from the given cloud.
func New(term *term.State, cl cloud.API, jobs *jobtable.Table, machines *machinetable.Table,
	catalogue *machinetable.Catalogue, objectives *objectives.Tracker, commands *reconciler.CommandSender, snapshots *snapshots.Builder,
	zones *zonetracker.Tracker, steps *term.StepTimer) *Autoscaler {
	return &Autoscaler{
		State:      term,
		Cloud:      cl,
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

// CordonPeriodically looks for machines that aren't needed, once in cordonInterval.
func (sc *Autoscaler) CordonPeriodically() {
	if sc.Now() > sc.cordonAt+cordonInterval {
		sc.cordonAt = sc.Now()
		sc.cordon()
	}
}

type rentalState struct {
	bookings  int
	waiting   int // rentals without an answer yet
	releasing bool
	listing   bool
	listedAt  clock.Micros
	refused   map[fleet.Kind]noCapacity
	pace      *rate.Limiter // of bookings
	DownUntil clock.Micros
}

// rentalShare of the cloud's limit leaves room for releases and lists.
const rentalShare = 0.5

// Begin forgets what was known in earlier terms.
func (sc *Autoscaler) Begin() {
	sc.rentalState = newRentalState(sc.Settings.Deployment.Cloud.Rps)
}

// newRentalState is what a term begins with.
func newRentalState(rps float64) rentalState {
	return rentalState{refused: map[fleet.Kind]noCapacity{},
		pace: rate.NewLimiter(rate.Limit(rps*rentalShare), max(1, int(rps)))}
}

// noCapacity is a kind that the cloud has run out of: it is asked again after a
// while, that doubles as long as the answer is the same.
type noCapacity struct {
	until, pause clock.Micros
}

// Manage lists, returns idle machines and carries on with releases.
func (sc *Autoscaler) Manage() {
	now := sc.Now()
	if now < sc.DownUntil || len(sc.catalogue.Types) == 0 {
		return
	}
	if !sc.listing && now > sc.listedAt+listInterval {
		sc.listMachines()
	}
	market := sc.Market()
	for _, m := range sc.machines.Ordered {
		if !m.Seen || m.Releasing || len(m.Placements) > 0 || sc.machines.Busy(m) {
			continue
		}
		idle := fleet.Idle{Kind: m.Kind(), For: now - max(m.IdleSince, m.ReservedAt), Needed: sc.neededByClass(m),
			Cordoned: m.Cordoned}
		if m.RecallAt == 0 && idle.For > market.Keep(idle) {
			sc.machines.ScheduleRelease(m, "idle")
		}
	}
	sc.SendReleases()
}

// neededByClass tells that a class of jobs seen lately could use the machine.
func (sc *Autoscaler) neededByClass(m *machinetable.Machine) bool {
	for _, u := range sc.objectives.Classes {
		if sc.Now()-u.LastAt < 5*60*clock.Second && planner.Allowed(&u.Spec, m.Type, m.Zone, m.Spot) &&
			planner.Needs(&u.Spec).Fits(fleet.Whole(sc.catalogue.ByName[m.Type])) {
			return true
		}
	}
	return false
}

// Market is what can be rented at present, as far as is known.
func (sc *Autoscaler) Market() *fleet.Market {
	m := &fleet.Market{Types: sc.catalogue.ByName, Refused: map[fleet.Kind]bool{}}
	for k, r := range sc.refused {
		if sc.Now() < r.until {
			m.Refused[k] = true
		}
	}
	if sc.zones.AnyAvoided() {
		sc.excludeAvoidedZones(m)
	}
	return m
}

// excludeAvoidedZones leaves out zones that aren't well: what boots there may never be heard of. In
// those that are heard of again it may.
func (sc *Autoscaler) excludeAvoidedZones(m *fleet.Market) {
	m.Doubtful = map[string]bool{}
	for _, t := range sc.catalogue.Types {
		for _, zone := range t.Zones {
			if sc.zones.Returning(zone) {
				m.Doubtful[zone] = true
			} else if sc.zones.Avoided(zone) {
				m.Refused[fleet.Kind{Type: t.Name, Zone: zone}] = true
				m.Refused[fleet.Kind{Type: t.Name, Zone: zone, Spot: true}] = true
			}
		}
	}
}

// ScaleOut carries out rentals, and decides no others until all are answered. A
// booking is named after the epoch, so that no other node and no later leader
// ever uses it again.
func (sc *Autoscaler) ScaleOut(wants []planner.Want) {
	now := time.UnixMicro(int64(sc.Now()))
	if sc.waiting > 0 || sc.Now() < sc.DownUntil || len(wants) == 0 || len(sc.catalogue.Types) == 0 ||
		sc.pace.TokensAt(now) < 1 {
		return
	}
	for _, r := range sc.Market().Rent(wants) {
		for left := r.Count; left > 0 && sc.pace.AllowN(now, 1); left -= cloud.RentalSize {
			sc.bookings++
			sc.waiting++
			sc.sendRental(protocol.Rental{Booking: fmt.Sprintf("e%d-%d", sc.Term.Epoch, sc.bookings),
				Type: r.Kind.Type, Zone: r.Kind.Zone, Spot: r.Kind.Spot, Count: min(left, cloud.RentalSize)}, r.Kind, 1)
		}
	}
}

func (sc *Autoscaler) noteNoCapacity(k fleet.Kind) {
	r := sc.refused[k]
	r.pause = min(max(noCapacityPause, 2*r.pause), maxNoCapacityPause)
	r.until = sc.Now() + r.pause
	sc.refused[k] = r
}

func (sc *Autoscaler) sendRental(r protocol.Rental, k fleet.Kind, attempt int) {
	epoch := sc.Term.Epoch
	sc.Cloud.Rent(r, sc.Term.ValidUntil, func(status int, a protocol.RentalAnswer) {
		if sc.Term.Epoch != epoch {
			return
		}
		switch {
		case status == http.StatusOK:
			slog.Info("rented", "type", k.Type, "zone", k.Zone, "spot", k.Spot, "asked", r.Count, "machines", a.Machines)
			for _, name := range a.Machines {
				m := sc.machines.GetOrAdd(name)
				m.Type, m.Zone, m.Spot, m.ViewStale = k.Type, k.Zone, k.Spot, true
				if m.CloudStatus == "" {
					m.CloudStatus = protocol.MachineStarting
				}
			}
			delete(sc.refused, k)
			if len(a.Machines) < r.Count {
				sc.noteNoCapacity(k)
			}
		case status == http.StatusServiceUnavailable && a.Error == protocol.NoCapacity:
			slog.Debug("no capacity", "type", k.Type, "zone", k.Zone, "spot", k.Spot)
			sc.noteNoCapacity(k)
		case status == 0 && attempt < 4:
			// It may have been carried out: only the same booking is safe.
			sc.AfterInTerm(clock.Second, func() { sc.sendRental(r, k, attempt+1) })
			return
		default:
			slog.Info("the cloud doesn't rent", "status", status, "reason", a.Error)
			sc.DownUntil = sc.Now() + cloudRetryDelay
		}
		sc.waiting--
		sc.steps.Wake()
	})
}
