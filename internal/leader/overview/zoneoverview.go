package overview

import (
	"log/slog"

	"postpoint/internal/leader/jobtable"
	"postpoint/internal/leader/zonetracker"
	"postpoint/internal/ordered"
	"postpoint/internal/planner"
	"postpoint/internal/protocol"
	"postpoint/internal/zonerecovery"
)

// ZoneOverview is a zone as the leader sees it.
type ZoneOverview struct {
	Zone               string                 `json:"zone"`
	Phase              zonerecovery.Phase     `json:"phase"`
	Losses             int64                  `json:"losses,omitempty"`
	SinceS             float64                `json:"since_s"`
	Diagnosis          zonerecovery.Diagnosis `json:"reading,omitempty"`
	Flaps              int                    `json:"flaps,omitempty"`
	Machines           int                    `json:"machines"`
	Heard              int                    `json:"heard"`
	Controllers        int                    `json:"controllers,omitempty"`
	ControllersReached int                    `json:"controllers_reached,omitempty"`
	HeardElsewhere     int                    `json:"heard_elsewhere,omitempty"`
	// HeldTasks are tasks there that aren't proven gone, Displaced those that have to start elsewhere.
	HeldTasks      int `json:"held_tasks,omitempty"`
	DisplacedTasks int `json:"displaced_tasks,omitempty"`
	// Waiting are the first of the jobs that have displaced tasks, with what they wait for.
	Waiting []WaitingJob `json:"waiting,omitempty"`
}

// WaitingJob is a displaced job and why it doesn't run.
type WaitingJob struct {
	Job    protocol.JobID    `json:"job"`
	Kind   zonerecovery.Kind `json:"kind"`
	Tasks  int               `json:"tasks"`
	Reason string            `json:"why"`
}

// maxWaiting is how many displaced jobs of a zone are listed.
const maxWaiting = 20

// zonesOverview describes all zones. It is empty unless zone recovery is switched on.
func (r *Reader) zonesOverview() []ZoneOverview {
	if r.zones.Options == nil {
		return nil
	}
	var all []ZoneOverview
	for name, z := range ordered.ByKey(r.zones.Zones) {
		all = append(all, r.zoneOverview(name, z))
	}
	return all
}

// zoneOverview describes one zone.
func (r *Reader) zoneOverview(name string, z *zonetracker.Zone) ZoneOverview {
	overview := ZoneOverview{
		Zone:               name,
		Phase:              z.Phase,
		Losses:             z.Losses,
		SinceS:             (r.Now() - z.Since).Seconds(),
		Diagnosis:          z.Diagnosis,
		Flaps:              z.Flaps,
		Machines:           z.Evidence.Machines,
		Heard:              z.Evidence.Heard,
		Controllers:        z.Evidence.Controllers,
		ControllersReached: z.Evidence.ControllersReached,
		HeardElsewhere:     z.Evidence.HeardElsewhere,
		HeldTasks:          r.heldTasks(name),
	}
	displaced := r.displacedWork(name)
	for _, w := range displaced {
		overview.DisplacedTasks += w.PendingTasks
	}
	for _, w := range displaced[:min(len(displaced), maxWaiting)] {
		reason := r.waitReason(r.jobs.ByID[w.Job])
		overview.Waiting = append(overview.Waiting, WaitingJob{w.Job, w.Kind, w.PendingTasks, string(reason)})
	}
	return overview
}

// heldTasks counts the tasks that are placed on silent machines of a zone.
func (r *Reader) heldTasks(zone string) int {
	held := 0
	for _, m := range r.machines.Ordered {
		if m.Zone != zone || !r.machines.HeartbeatMissed(m) {
			continue
		}
		for _, tasks := range m.Placements {
			held += len(tasks)
		}
	}
	return held
}

// displacedWork returns the jobs with displaced tasks of a zone, in the order in which they are to start.
func (r *Reader) displacedWork(zone string) []zonerecovery.DisplacedJob {
	var displaced []zonerecovery.DisplacedJob
	for _, j := range r.jobs.ByID {
		if j.DisplacedFrom == zone && !j.Over() && j.PendingCount() > 0 {
			displaced = append(displaced, r.zones.DescribeDisplaced(j))
		}
	}
	zonerecovery.SortDisplaced(displaced, r.zones.Options.Order)
	return displaced
}

// waitReason is what a displaced job waits for, as the overview says it.
type waitReason string

const (
	waitsForClearance waitReason = "its turn"
	waitsForZone      waitReason = "its zone"
	waitsForQuota     waitReason = "its team's limit"
	waitsForGang      waitReason = "the rest of the gang to end"
	waitsForSpread    waitReason = "a zone that spreading allows"
	waitsForBackoff   waitReason = "a pause after failed starts"
	waitsForCapacity  waitReason = "machines: none are to be had"
	waitsForBoot      waitReason = "machines that boot, or an image"
)

// waitReason returns what a displaced job waits for.
func (r *Reader) waitReason(j *jobtable.Job) waitReason {
	spec := &j.Spec
	switch {
	case r.zones.AwaitsClearance(j):
		return waitsForClearance
	case spec.Zone != "" && r.zones.IsCordoned(spec.Zone):
		return waitsForZone
	case r.jobs.TasksWithinQuota(j) == 0:
		return waitsForQuota
	case spec.Gang() && len(j.Placements) > 0:
		return waitsForGang
	case spec.Spread && !r.spreadAllowsZone(j):
		return waitsForSpread
	case r.Now() < j.NotBefore:
		return waitsForBackoff
	case !r.autoscaler.CloudView().HasCapacity(spec):
		return waitsForCapacity
	}
	return waitsForBoot
}

// spreadAllowsZone reports whether some zone that isn't avoided would take a task of a job that is spread.
func (r *Reader) spreadAllowsZone(j *jobtable.Job) bool {
	zones := r.jobs.ZonesOf(j)
	for _, t := range r.catalogue.Types {
		for _, zone := range t.Zones {
			if !r.zones.IsCordoned(zone) && planner.ZoneAllowed(&j.Spec, zones, zone) {
				return true
			}
		}
	}
	return false
}

// LogRecovery logs now and then how the recoveries stand.
func (r *Reader) LogRecovery() {
	if r.Now() < r.recoveryLoggedAt+zonetracker.RecoveryLogInterval || !r.zones.AnyCordoned() {
		return
	}
	r.recoveryLoggedAt = r.Now()
	for _, zone := range r.zonesOverview() {
		if zone.Phase != zonerecovery.Healthy {
			logRecovery(&zone)
		}
	}
}

func logRecovery(zone *ZoneOverview) {
	tasksByReason := map[string]int{}
	for _, w := range zone.Waiting {
		tasksByReason[w.Reason] += w.Tasks
	}
	slog.Info("zone recovery state", "zone", zone.Zone, "phase", zone.Phase, "losses", zone.Losses,
		"diagnosis", zone.Diagnosis, "machines", zone.Machines, "heard", zone.Heard, "held_tasks",
		zone.HeldTasks,
		"displaced_tasks", zone.DisplacedTasks, "waiting_for", tasksByReason)
}
