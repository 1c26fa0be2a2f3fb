// Package overview reports the state of the leader's components to operators: in an overview that is served
// as JSON, and in periodic log lines. It changes no state of these components.
package overview

import (
	"fmt"
	"log/slog"

	"postpoint/internal/clock"
	"postpoint/internal/delegation"
	"postpoint/internal/leader/autoscaler"
	"postpoint/internal/leader/federation"
	"postpoint/internal/leader/jobtable"
	"postpoint/internal/leader/machinetable"
	"postpoint/internal/leader/recordstore"
	"postpoint/internal/leader/scheduler"
	"postpoint/internal/leader/term"
	"postpoint/internal/leader/zonetracker"
	"postpoint/internal/ordered"
	"postpoint/internal/protocol"
	"postpoint/internal/scaling"
)

// Reader reads the state of the leader's other components.
type Reader struct {
	*term.State
	jobs       *jobtable.Table
	machines   *machinetable.Table
	catalogue  *machinetable.Catalogue
	autoscaler *autoscaler.Autoscaler
	scheduler  *scheduler.Scheduler
	writer     *recordstore.Writer
	cells      *federation.Links
	origin     *federation.Origin
	zones      *zonetracker.Tracker

	loggedAt         clock.Micros
	recoveryLoggedAt clock.Micros
}

// NewReader returns a reader of the given components.
func NewReader(term *term.State, jobs *jobtable.Table, machines *machinetable.Table,
	catalogue *machinetable.Catalogue, autoscaler *autoscaler.Autoscaler, scheduler *scheduler.Scheduler,
	writer *recordstore.Writer, links *federation.Links, origin *federation.Origin,
	zones *zonetracker.Tracker) *Reader {
	return &Reader{
		State:      term,
		jobs:       jobs,
		machines:   machines,
		catalogue:  catalogue,
		autoscaler: autoscaler,
		scheduler:  scheduler,
		writer:     writer,
		cells:      links,
		origin:     origin,
		zones:      zones,
	}
}

// Overview is the summary that an operator on call needs first. Only the leader's overview lists jobs and
// machines.
type Overview struct {
	Node     string          `json:"node"`
	Leader   string          `json:"leader"`
	Leads    bool            `json:"leads"`
	Epoch    protocol.Epoch  `json:"epoch,omitempty"`
	Plans    int             `json:"plans,omitempty"` // made in this term
	Classes  []ClassOverview `json:"classes,omitempty"`
	Machines []PoolOverview  `json:"machines,omitempty"`
	Failing  []FailingJob    `json:"failing,omitempty"`
	// PresentFormats reports that all controllers can read services and sharded records. Missing lists the
	// controllers that aren't known to support them.
	PresentFormats bool     `json:"present_formats"`
	Missing        []string `json:"missing,omitempty"`
	// TightLimits reports that the key-value store rejected writes within its original limits, so that the
	// leader now uses smaller limits.
	TightLimits bool `json:"tight_limits,omitempty"`
	// Cell is the name of this controller's cell and Cells lists the others, if federation is enabled.
	Cell  string                    `json:"cell,omitempty"`
	Cells []federation.CellOverview `json:"cells,omitempty"`
	// Zones lists all zones if zone recovery is enabled.
	Zones []ZoneOverview `json:"zones,omitempty"`
}

// ClassOverview counts the jobs of a class that aren't final, and the tasks of the class.
type ClassOverview struct {
	Class        string `json:"class"`
	Jobs         int    `json:"jobs"`
	PendingTasks int    `json:"pending_tasks"`
	PlacedTasks  int    `json:"placed_tasks"`
	// Restarting counts replicas of services that ended soon after their start and wait for their next start.
	Restarting int `json:"restarting,omitempty"`
}

// PoolOverview counts the machines of one capacity pool.
type PoolOverview struct {
	Type     string `json:"type"`
	Zone     string `json:"zone"`
	Spot     bool   `json:"spot"`
	Machines int    `json:"machines"`
	Booting  int    `json:"booting"`
	Idle     int    `json:"idle"`
	Silent   int    `json:"silent"`
	// NoCapacity reports that the cloud has recently refused machines of this capacity pool.
	NoCapacity bool `json:"no_capacity"`
}

// FailingJob is a job that isn't final and whose last start failed.
type FailingJob struct {
	Job   protocol.JobID `json:"job"`
	Cause string         `json:"cause"`
}

// maxFailing bounds the number of listed failing jobs.
const maxFailing = 20

// Build returns an overview of the present state.
func (r *Reader) Build() Overview {
	overview := Overview{
		Node:           r.Settings.Node,
		Leader:         r.KnownLeader,
		Leads:          r.Leads(),
		Epoch:          r.Term.Epoch,
		Plans:          r.scheduler.Plans,
		Classes:        r.classes(),
		Machines:       r.pools(),
		Failing:        r.failingJobs(),
		PresentFormats: r.Format.Services,
		Missing:        r.Format.Missing,
		TightLimits:    r.writer.LimitsTightened,
		Zones:          r.zonesOverview(),
	}
	if r.cells.Directory != nil {
		overview.Cell, overview.Cells = r.cells.Directory.Own.Name, r.cellsOverview()
	}
	return overview
}

// classes counts jobs and tasks by class.
func (r *Reader) classes() []ClassOverview {
	byName := map[string]ClassOverview{}
	for _, j := range r.jobs.ByID {
		c := byName[j.Spec.Class]
		c.Class = j.Spec.Class
		c.PlacedTasks += len(j.Placements)
		c.Restarting += j.WaitingRestarts(r.Now())
		if !j.Final() {
			c.Jobs++
			c.PendingTasks += j.PendingCount()
		}
		byName[c.Class] = c
	}
	var classes []ClassOverview
	for _, c := range ordered.ByKey(byName) {
		classes = append(classes, c)
	}
	return classes
}

// failingJobs lists the first jobs, by id, that aren't final and whose last start failed.
func (r *Reader) failingJobs() []FailingJob {
	var failing []FailingJob
	for _, j := range ordered.ByKey(r.jobs.ByID) {
		if !j.Final() && j.Cause != "" && len(failing) < maxFailing {
			failing = append(failing, FailingJob{Job: j.Spec.ID, Cause: j.Cause})
		}
	}
	return failing
}

// pools counts machines by capacity pool.
func (r *Reader) pools() []PoolOverview {
	byName := map[string]*PoolOverview{}
	refused := r.autoscaler.CloudView().OutOfCapacity
	for _, m := range r.machines.Ordered {
		name := poolName(m.CapacityPool())
		pool := byName[name]
		if pool == nil {
			pool = &PoolOverview{Type: m.Type, Zone: m.Zone, Spot: m.Spot,
				NoCapacity: refused[m.CapacityPool()]}
			byName[name] = pool
		}
		r.countMachine(pool, m)
	}
	var pools []PoolOverview
	for _, pool := range ordered.ByKey(byName) {
		pools = append(pools, *pool)
	}
	return pools
}

// poolName returns a name of a capacity pool that sorts pools by type, zone, and on-demand before spot.
func poolName(pool scaling.CapacityPool) string {
	name := pool.Type + " " + pool.Zone
	if pool.Spot {
		name += " spot"
	}
	return name
}

// countMachine adds a machine to the counts of its capacity pool.
func (r *Reader) countMachine(pool *PoolOverview, m *machinetable.Machine) {
	pool.Machines++
	switch {
	case !m.HeartbeatReceived && m.CloudStatus == protocol.MachineStarting:
		pool.Booting++
	case !r.machines.HeartbeatRecent(m):
		pool.Silent++
	case len(m.Placements) == 0:
		pool.Idle++
	}
}

// cellsOverview describes the other cells. It is empty on controllers that aren't the leader.
func (r *Reader) cellsOverview() []federation.CellOverview {
	var overviews []federation.CellOverview
	for name, link := range ordered.ByKey(r.cells.ByCell) {
		cell := federation.CellOverview{
			Cell:        name,
			Reachable:   link.Reachable(r.Now()),
			HostedTasks: r.hostedTasks(name),
			OwnWaitS:    link.OwnWait().Seconds(),
		}
		r.countDelegations(&cell)
		overviews = append(overviews, cell)
	}
	return overviews
}

// countDelegations adds the counts of this cell's delegations to another cell's overview.
func (r *Reader) countDelegations(cell *federation.CellOverview) {
	for _, del := range r.origin.Delegations {
		if del.Host != cell.Cell {
			continue
		}
		cell.DelegatedTasks += del.Outstanding.Len()
		cell.OldestStatusAgeS = max(cell.OldestStatusAgeS, (r.Now() - del.LastStatusAt).Seconds())
		if del.State == delegation.Recalled {
			cell.Recalled++
		}
	}
}

// hostedTasks counts the placed and pending tasks of hosted jobs from an origin cell.
func (r *Reader) hostedTasks(origin string) int {
	tasks := 0
	for _, j := range r.jobs.ByID {
		if j.Hosted != nil && j.Hosted.OriginCell == origin && !j.Final() {
			tasks += len(j.Placements) + j.PendingCount()
		}
	}
	return tasks
}

// stateLogInterval is the time between two log lines on the leader's state.
const stateLogInterval = 15 * clock.Second

// LogState logs the numbers of jobs, tasks and machines once per stateLogInterval.
func (r *Reader) LogState() {
	if r.Now() < r.loggedAt+stateLogInterval {
		return
	}
	r.loggedAt = r.Now()
	pending, placed := 0, 0
	for _, j := range r.jobs.ByID {
		if !j.Final() {
			pending += j.PendingCount()
		}
		placed += len(j.Placements)
	}
	idle, byType := 0, map[string]int{}
	for _, m := range r.machines.Ordered {
		byType[m.Type]++
		if len(m.Placements) == 0 {
			idle++
		}
	}
	slog.Info("leader state", "epoch", r.Term.Epoch, "open_jobs", len(r.jobs.ByID), "pending_tasks", pending,
		"placed_tasks", placed, "machines", fmt.Sprint(byType), "idle_machines", idle)
}
