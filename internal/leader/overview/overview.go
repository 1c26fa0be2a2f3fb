// Package overview reads the leader's components for operators: the overview that is served as JSON, and the
// periodic log lines. It changes nothing.
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

// Reader reads the other components for operators.
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

// Overview is what an operator on call wants to see first. Only the leader knows jobs and machines.
type Overview struct {
	Node     string          `json:"node"`
	Leader   string          `json:"leader"`
	Leads    bool            `json:"leads"`
	Epoch    protocol.Epoch  `json:"epoch,omitempty"`
	Plans    int             `json:"plans,omitempty"` // made in this term
	Classes  []ClassOverview `json:"classes,omitempty"`
	Machines []PoolOverview  `json:"machines,omitempty"`
	Failing  []FailingJob    `json:"failing,omitempty"`
	// PresentFormats reports that all controllers read services and sharded records, Missing lists those that
	// don't as far as is known.
	PresentFormats bool     `json:"present_formats"`
	Missing        []string `json:"missing,omitempty"`
	// TightLimits reports that the key-value store refuses what its first limits allow.
	TightLimits bool `json:"tight_limits,omitempty"`
	// Cell is this node's own, Cells are the others, if cells are switched on.
	Cell  string                    `json:"cell,omitempty"`
	Cells []federation.CellOverview `json:"cells,omitempty"`
	// Zones are listed if zone recovery is switched on.
	Zones []ZoneOverview `json:"zones,omitempty"`
}

// ClassOverview counts the open jobs of a class.
type ClassOverview struct {
	Class        string `json:"class"`
	Jobs         int    `json:"jobs"`
	PendingTasks int    `json:"pending_tasks"`
	PlacedTasks  int    `json:"placed_tasks"`
	// Restarting are replicas of services that ended soon after their starts and wait for the next.
	Restarting int `json:"restarting,omitempty"`
}

// PoolOverview counts the machines of one type and zone at one kind of price.
type PoolOverview struct {
	Type     string `json:"type"`
	Zone     string `json:"zone"`
	Spot     bool   `json:"spot"`
	Machines int    `json:"machines"`
	Booting  int    `json:"booting"`
	Idle     int    `json:"idle"`
	Silent   int    `json:"silent"`
	// NoCapacity reports that the cloud has refused such machines lately.
	NoCapacity bool `json:"no_capacity"`
}

// FailingJob is an open job whose last start failed.
type FailingJob struct {
	Job   protocol.JobID `json:"job"`
	Cause string         `json:"cause"`
}

// maxFailing is how many failing jobs are listed.
const maxFailing = 20

// Build returns the present overview.
func (r *Reader) Build() Overview {
	overview := Overview{
		Node:           r.Settings.Node,
		Leader:         r.KnownLeader,
		Leads:          r.Leads(),
		Epoch:          r.Term.Epoch,
		Plans:          r.scheduler.Plans,
		Classes:        r.classes(),
		Machines:       r.machineKinds(),
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

// failingJobs lists the first open jobs whose last start failed.
func (r *Reader) failingJobs() []FailingJob {
	var failing []FailingJob
	for _, j := range ordered.ByKey(r.jobs.ByID) {
		if !j.Final() && j.Cause != "" && len(failing) < maxFailing {
			failing = append(failing, FailingJob{Job: j.Spec.ID, Cause: j.Cause})
		}
	}
	return failing
}

// machineKinds counts machines by type, zone and kind of price.
func (r *Reader) machineKinds() []PoolOverview {
	byName := map[string]*PoolOverview{}
	refused := r.autoscaler.CloudView().OutOfCapacity
	for _, m := range r.machines.Ordered {
		name := kindName(m.Kind())
		k := byName[name]
		if k == nil {
			k = &PoolOverview{Type: m.Type, Zone: m.Zone, Spot: m.Spot, NoCapacity: refused[m.Kind()]}
			byName[name] = k
		}
		r.countMachine(k, m)
	}
	var kinds []PoolOverview
	for _, k := range ordered.ByKey(byName) {
		kinds = append(kinds, *k)
	}
	return kinds
}

// kindName orders kinds of machines by type, zone and price.
func kindName(k scaling.CapacityPool) string {
	name := k.Type + " " + k.Zone
	if k.Spot {
		name += " spot"
	}
	return name
}

// countMachine adds a machine to its kind.
func (r *Reader) countMachine(k *PoolOverview, m *machinetable.Machine) {
	k.Machines++
	switch {
	case !m.Seen && m.CloudStatus == protocol.MachineStarting:
		k.Booting++
	case !r.machines.HeardRecently(m):
		k.Silent++
	case len(m.Placements) == 0:
		k.Idle++
	}
}

// cellsOverview describes the other cells. It is empty on nodes that don't lead.
func (r *Reader) cellsOverview() []federation.CellOverview {
	var all []federation.CellOverview
	for name, link := range ordered.ByKey(r.cells.ByCell) {
		cell := federation.CellOverview{
			Cell:          name,
			Reachable:     link.Reachable(r.Now()),
			BorrowedTasks: r.borrowedTasks(name),
			OwnWaitS:      link.OwnWait().Seconds(),
		}
		r.countDelegations(&cell)
		all = append(all, cell)
	}
	return all
}

// countDelegations adds this cell's delegations to another cell.
func (r *Reader) countDelegations(cell *federation.CellOverview) {
	for _, del := range r.origin.Delegations {
		if del.Host != cell.Cell {
			continue
		}
		cell.LentTasks += del.Outstanding.Len()
		cell.OldestUnansweredS = max(cell.OldestUnansweredS, (r.Now() - del.LastStatusAt).Seconds())
		if del.State == delegation.Recalled {
			cell.Recalled++
		}
	}
}

// borrowedTasks counts the tasks of another cell's jobs that this cell has.
func (r *Reader) borrowedTasks(origin string) int {
	tasks := 0
	for _, j := range r.jobs.ByID {
		if j.Hosted != nil && j.Hosted.OriginCell == origin && !j.Final() {
			tasks += len(j.Placements) + j.PendingCount()
		}
	}
	return tasks
}

// stateLogInterval is from one log line on the leader's state to the next.
const stateLogInterval = 15 * clock.Second

// LogState logs now and then what is queued and where.
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
