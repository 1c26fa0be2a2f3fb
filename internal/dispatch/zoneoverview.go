package dispatch

import (
	"log/slog"

	"postpoint/internal/fleet"
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
func (ov *overviewReader) zonesOverview() []ZoneOverview {
	if ov.zones.options == nil {
		return nil
	}
	var all []ZoneOverview
	for name, z := range inOrder(ov.zones.zones) {
		o := ZoneOverview{Zone: name, Phase: z.Phase, Number: z.Number, SinceS: (ov.now() - z.Since).Seconds(), Reading: z.Reading, Flaps: z.Flaps,
			Machines: z.evidence.Machines, Heard: z.evidence.Heard, Controllers: z.evidence.Controllers, Reached: z.evidence.Reached,
			Elsewhere: z.evidence.Elsewhere}
		for _, m := range ov.machines.ordered {
			if m.zone != name || !ov.machines.late(m) {
				continue
			}
			for _, tasks := range m.placed {
				o.Held += len(tasks)
			}
		}
		var waiting []recovery.Displaced
		for _, j := range inOrder(ov.jobs.byID) {
			if j.Displaced == name && !j.over() && j.PendingCount() > 0 {
				o.Displaced += j.PendingCount()
				waiting = append(waiting, ov.zones.displacedWork(j))
			}
		}
		recovery.Sort(waiting, ov.zones.options.Order)
		for _, w := range waiting[:min(len(waiting), maxWaiting)] {
			o.Waiting = append(o.Waiting, WaitingJob{w.Job, w.Kind, w.Tasks, ov.whyWaiting(ov.jobs.byID[w.Job])})
		}
		all = append(all, o)
	}
	return all
}

// whyWaiting says what a displaced job waits for.
func (ov *overviewReader) whyWaiting(j *job) string {
	s := &j.Spec
	switch {
	case ov.zones.awaitsTurn(j):
		return "its turn"
	case s.Zone != "" && ov.zones.avoided(s.Zone):
		return "its zone"
	case ov.jobs.underLimit(j) == 0:
		return "its team's limit"
	case s.Gang() && len(j.Placed) > 0:
		return "the rest of the gang to end"
	case s.Spread && !ov.zoneLeft(j):
		return "a zone that spreading allows"
	case ov.now() < j.notBefore:
		return "a pause after failed starts"
	}
	refused, rentable := ov.autoscaler.market().Refused, false
	for _, t := range ov.catalogue.list {
		for _, zone := range t.Zones {
			for _, spot := range []bool{false, true} {
				k := fleet.Kind{Type: t.Name, Zone: zone, Spot: spot}
				rentable = rentable || !refused[k] && typeHolds(t, s) && planner.Allowed(s, t.Name, zone, spot)
			}
		}
	}
	if !rentable {
		return "machines: none are to be had"
	}
	return "machines that boot, or an image"
}

// zoneLeft tells that some zone that isn't avoided would take a task of a job.
func (ov *overviewReader) zoneLeft(j *job) bool {
	zones := ov.jobs.zonesOf(j)
	for _, t := range ov.catalogue.list {
		for _, zone := range t.Zones {
			if !ov.zones.avoided(zone) && planner.ZoneAllowed(&j.Spec, zones, zone) {
				return true
			}
		}
	}
	return false
}

// logRecovery tells an operator now and then how recoveries stand.
func (ov *overviewReader) logRecovery() {
	if ov.now() < ov.recoveryLoggedAt+recoveryLogTime || !ov.zones.anyAvoided() {
		return
	}
	ov.recoveryLoggedAt = ov.now()
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
