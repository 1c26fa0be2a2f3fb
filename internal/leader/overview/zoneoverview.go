package overview

import (
	"log/slog"

	"postpoint/internal/fleet"
	"postpoint/internal/leader/jobtable"
	"postpoint/internal/leader/machinetable"
	"postpoint/internal/leader/zonetracker"
	"postpoint/internal/ordered"
	"postpoint/internal/planner"
	"postpoint/internal/recovery"
)

// ZoneOverview is a zone as the leader sees it.
type ZoneOverview struct {
	Zone        string           `json:"zone"`
	Phase       recovery.Phase   `json:"phase"`
	Number      int64            `json:"losses,omitempty"`
	SinceS      float64          `json:"since_s"`
	Reading     recovery.Reading `json:"reading,omitempty"`
	Flaps       int              `json:"flaps,omitempty"`
	Machines    int              `json:"machines"`
	Heard       int              `json:"heard"`
	Controllers int              `json:"controllers,omitempty"`
	Reached     int              `json:"controllers_reached,omitempty"`
	Elsewhere   int              `json:"heard_elsewhere,omitempty"`
	// Held are tasks there that aren't proven gone, Displaced those that have to start elsewhere.
	Held      int `json:"held_tasks,omitempty"`
	Displaced int `json:"displaced_tasks,omitempty"`
	// Waiting are the first of the jobs that have displaced tasks, with what they wait for.
	Waiting []WaitingJob `json:"waiting,omitempty"`
}

// WaitingJob is a displaced job and why it doesn't run.
type WaitingJob struct {
	Job   string        `json:"job"`
	Kind  recovery.Kind `json:"kind"`
	Tasks int           `json:"tasks"`
	Why   string        `json:"why"`
}

const maxWaiting = 20

// zonesOverview is empty unless recoveries are switched on.
func (ov *Reader) zonesOverview() []ZoneOverview {
	if ov.zones.Options == nil {
		return nil
	}
	var all []ZoneOverview
	for name, z := range ordered.ByKey(ov.zones.Zones) {
		o := ZoneOverview{Zone: name, Phase: z.Phase, Number: z.Number, SinceS: (ov.Now() - z.Since).Seconds(), Reading: z.Reading, Flaps: z.Flaps,
			Machines: z.Evidence.Machines, Heard: z.Evidence.Heard, Controllers: z.Evidence.Controllers, Reached: z.Evidence.Reached,
			Elsewhere: z.Evidence.Elsewhere}
		for _, m := range ov.machines.Ordered {
			if m.Zone != name || !ov.machines.Late(m) {
				continue
			}
			for _, tasks := range m.Placements {
				o.Held += len(tasks)
			}
		}
		var waiting []recovery.Displaced
		for _, j := range ordered.ByKey(ov.jobs.ByID) {
			if j.Displaced == name && !j.Over() && j.PendingCount() > 0 {
				o.Displaced += j.PendingCount()
				waiting = append(waiting, ov.zones.DisplacedWork(j))
			}
		}
		recovery.Sort(waiting, ov.zones.Options.Order)
		for _, w := range waiting[:min(len(waiting), maxWaiting)] {
			o.Waiting = append(o.Waiting, WaitingJob{w.Job, w.Kind, w.Tasks, ov.whyWaiting(ov.jobs.ByID[w.Job])})
		}
		all = append(all, o)
	}
	return all
}

// whyWaiting says what a displaced job waits for.
func (ov *Reader) whyWaiting(j *jobtable.Job) string {
	s := &j.Spec
	switch {
	case ov.zones.AwaitsClearance(j):
		return "its turn"
	case s.Zone != "" && ov.zones.Avoided(s.Zone):
		return "its zone"
	case ov.jobs.TasksWithinQuota(j) == 0:
		return "its team's limit"
	case s.Gang() && len(j.Placed) > 0:
		return "the rest of the gang to end"
	case s.Spread && !ov.zoneLeft(j):
		return "a zone that spreading allows"
	case ov.Now() < j.NotBefore:
		return "a pause after failed starts"
	}
	refused, rentable := ov.autoscaler.Market().Refused, false
	for _, t := range ov.catalogue.Types {
		for _, zone := range t.Zones {
			for _, spot := range []bool{false, true} {
				k := fleet.Kind{Type: t.Name, Zone: zone, Spot: spot}
				rentable = rentable || !refused[k] && machinetable.TypeHolds(t, s) && planner.Allowed(s, t.Name, zone, spot)
			}
		}
	}
	if !rentable {
		return "machines: none are to be had"
	}
	return "machines that boot, or an image"
}

// zoneLeft tells that some zone that isn't avoided would take a task of a job.
func (ov *Reader) zoneLeft(j *jobtable.Job) bool {
	zones := ov.jobs.ZonesOf(j)
	for _, t := range ov.catalogue.Types {
		for _, zone := range t.Zones {
			if !ov.zones.Avoided(zone) && planner.ZoneAllowed(&j.Spec, zones, zone) {
				return true
			}
		}
	}
	return false
}

// LogRecovery tells an operator now and then how recoveries stand.
func (ov *Reader) LogRecovery() {
	if ov.Now() < ov.recoveryLoggedAt+zonetracker.RecoveryLogTime || !ov.zones.AnyAvoided() {
		return
	}
	ov.recoveryLoggedAt = ov.Now()
	for _, o := range ov.zonesOverview() {
		if o.Phase == recovery.Healthy {
			continue
		}
		why := map[string]int{}
		for _, w := range o.Waiting {
			why[w.Why] += w.Tasks
		}
		slog.Info("recovery", "zone", o.Zone, "phase", o.Phase, "number", o.Number, "reading", o.Reading, "machines", o.Machines, "heard", o.Heard,
			"held_tasks", o.Held, "displaced_tasks", o.Displaced, "waiting_for", why)
	}
}
