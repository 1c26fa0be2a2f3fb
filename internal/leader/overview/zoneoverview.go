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

// ZoneOverview is the state of a zone as far as the leader knows it.
type ZoneOverview struct {
	Zone                string                 `json:"zone"`
	Phase               zonerecovery.Phase     `json:"phase"`
	Losses              int64                  `json:"losses,omitempty"`
	SinceS              float64                `json:"since_s"`
	Diagnosis           zonerecovery.Diagnosis `json:"reading,omitempty"`
	Flaps               int                    `json:"flaps,omitempty"`
	Machines            int                    `json:"machines"`
	OnTime              int                    `json:"heard"`
	Controllers         int                    `json:"controllers,omitempty"`
	ControllersReached  int                    `json:"controllers_reached,omitempty"`
	HeartbeatsElsewhere int                    `json:"heard_elsewhere,omitempty"`
	// HeldTasks counts the tasks on silent machines of the zone, which aren't proven to have ended.
	// DisplacedTasks counts the pending tasks of jobs that are displaced from the zone.
	HeldTasks      int `json:"held_tasks,omitempty"`
	DisplacedTasks int `json:"displaced_tasks,omitempty"`
	// Waiting lists the first of the displaced jobs, with what they wait for.
	Waiting []WaitingJob `json:"waiting,omitempty"`
}

// WaitingJob is a displaced job with the reason why its pending tasks don't run.
type WaitingJob struct {
	Job    protocol.JobID       `json:"job"`
	Kind   zonerecovery.JobKind `json:"kind"`
	Tasks  int                  `json:"tasks"`
	Reason string               `json:"why"`
}

// maxWaiting bounds the number of listed displaced jobs of a zone.
const maxWaiting = 20

// zonesOverview describes all zones. It is empty unless zone recovery is enabled.
func (r *Reader) zonesOverview() []ZoneOverview {
	if r.zones.Options == nil {
		return nil
	}
	var overviews []ZoneOverview
	for name, z := range ordered.ByKey(r.zones.Zones) {
		overviews = append(overviews, r.zoneOverview(name, z))
	}
	return overviews
}

// zoneOverview describes one zone.
func (r *Reader) zoneOverview(name string, z *zonetracker.Zone) ZoneOverview {
	overview := ZoneOverview{
		Zone:                name,
		Phase:               z.Phase,
		Losses:              z.Losses,
		SinceS:              (r.Now() - z.Since).Seconds(),
		Diagnosis:           z.Diagnosis,
		Flaps:               z.Flaps,
		Machines:            z.Evidence.Machines,
		OnTime:              z.Evidence.OnTime,
		Controllers:         z.Evidence.Controllers,
		ControllersReached:  z.Evidence.ControllersReached,
		HeartbeatsElsewhere: z.Evidence.OnTimeElsewhere,
		HeldTasks:           r.heldTasks(name),
	}
	displaced := r.displacedJobs(name)
	for _, job := range displaced {
		overview.DisplacedTasks += job.PendingTasks
	}
	for _, job := range displaced[:min(len(displaced), maxWaiting)] {
		reason := r.waitReason(r.jobs.ByID[job.Job])
		overview.Waiting = append(overview.Waiting,
			WaitingJob{job.Job, job.Kind, job.PendingTasks, string(reason)})
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

// displacedJobs returns the jobs that are displaced from a zone and have pending tasks, in the order in which
// the zone tracker clears them to start.
func (r *Reader) displacedJobs(zone string) []zonerecovery.DisplacedJob {
	var displaced []zonerecovery.DisplacedJob
	for _, j := range r.jobs.ByID {
		if j.DisplacedFrom == zone && !j.MustNotRun() && j.PendingCount() > 0 {
			displaced = append(displaced, r.zones.DescribeDisplaced(j))
		}
	}
	zonerecovery.SortDisplaced(displaced, r.zones.Options.Order)
	return displaced
}

// waitReason is the text by which the overview says what a displaced job waits for.
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

// waitReason returns the first known reason why the pending tasks of a displaced job don't run.
func (r *Reader) waitReason(j *jobtable.Job) waitReason {
	spec := &j.Spec
	switch {
	case r.zones.AwaitsClearance(j):
		return waitsForClearance
	case spec.Zone != "" && r.zones.IsCordoned(spec.Zone):
		return waitsForZone
	case r.jobs.TasksWithinQuota(j) == 0:
		return waitsForQuota
	case spec.IsGang() && len(j.Placements) > 0:
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

// spreadAllowsZone reports whether the spread rule of a job allows another task in some zone that isn't
// cordoned.
func (r *Reader) spreadAllowsZone(j *jobtable.Job) bool {
	zones := r.jobs.PlacementsByZone(j)
	for _, t := range r.catalogue.Types {
		for _, zone := range t.Zones {
			if !r.zones.IsCordoned(zone) && planner.ZoneAllowed(&j.Spec, zones, zone) {
				return true
			}
		}
	}
	return false
}

// LogRecovery logs the state of all zones that aren't healthy once per zonetracker.RecoveryLogInterval.
func (r *Reader) LogRecovery() {
	if r.Now() < r.recoveryLoggedAt+zonetracker.RecoveryLogInterval || !r.zones.AnyUnhealthy() {
		return
	}
	r.recoveryLoggedAt = r.Now()
	for _, zone := range r.zonesOverview() {
		if zone.Phase != zonerecovery.Healthy {
			logRecovery(&zone)
		}
	}
}

// logRecovery logs the state of one zone.
func logRecovery(zone *ZoneOverview) {
	tasksByReason := map[string]int{}
	for _, job := range zone.Waiting {
		tasksByReason[job.Reason] += job.Tasks
	}
	slog.Info("zone recovery state", "zone", zone.Zone, "phase", zone.Phase, "losses", zone.Losses,
		"diagnosis", zone.Diagnosis, "machines", zone.Machines, "heard", zone.OnTime,
		"held_tasks", zone.HeldTasks, "displaced_tasks", zone.DisplacedTasks, "waiting_for", tasksByReason)
}
