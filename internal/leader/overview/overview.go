// Package overview reads the leader's components for operators: the overview that is served as JSON,
// and the periodic log lines. It changes nothing.
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
)

// Reader reads the other components for operators; it changes nothing.
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

// NewReader makes a reader of the given components.
func NewReader(term *term.State, jobs *jobtable.Table, machines *machinetable.Table, catalogue *machinetable.Catalogue,
	autoscaler *autoscaler.Autoscaler, scheduler *scheduler.Scheduler, writer *recordstore.Writer, links *federation.Links, origin *federation.Origin,
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

// Overview is what an operator on call wants to see first. Only the leader
// knows jobs and machines.
type Overview struct {
	Node     string          `json:"node"`
	Leader   string          `json:"leader"`
	Leads    bool            `json:"leads"`
	Epoch    int64           `json:"epoch,omitempty"`
	Plans    int             `json:"plans,omitempty"` // made in this term
	Classes  []ClassOverview `json:"classes,omitempty"`
	Machines []KindOverview  `json:"machines,omitempty"`
	Failing  []FailingJob    `json:"failing,omitempty"`
	// PresentFormats tells that all controllers read services and divided records, Missing
	// which don't as far as is known.
	PresentFormats bool     `json:"present_formats"`
	Missing        []string `json:"missing,omitempty"`
	// TightLimits tells that the state service refuses what its first limits allow.
	TightLimits bool `json:"tight_limits,omitempty"`
	// Cell is this node's own, Cells are the others, if cells are switched on.
	Cell  string                    `json:"cell,omitempty"`
	Cells []federation.CellOverview `json:"cells,omitempty"`
	// Zones are listed if recoveries from the loss of a zone are switched on.
	Zones []ZoneOverview `json:"zones,omitempty"`
}

// ClassOverview counts the open jobs of a class.
type ClassOverview struct {
	Class   string `json:"class"`
	Jobs    int    `json:"jobs"`
	Pending int    `json:"pending_tasks"`
	Placed  int    `json:"placed_tasks"`
	// Restarting are replicas of services that ended soon after their starts and wait for
	// the next.
	Restarting int `json:"restarting,omitempty"`
}

// KindOverview counts the machines of one type, zone and price.
type KindOverview struct {
	Type     string `json:"type"`
	Zone     string `json:"zone"`
	Spot     bool   `json:"spot"`
	Machines int    `json:"machines"`
	Booting  int    `json:"booting"`
	Idle     int    `json:"idle"`
	Silent   int    `json:"silent"`
	// NoCapacity tells that the cloud refused this kind a short while ago.
	NoCapacity bool `json:"no_capacity"`
}

// FailingJob is an open job whose last start failed.
type FailingJob struct {
	Job   string `json:"job"`
	Cause string `json:"cause"`
}

const maxFailing = 20

// Build makes the overview.
func (ov *Reader) Build() Overview {
	o := Overview{Node: ov.Settings.Node, Leader: ov.KnownLeader, Leads: ov.Leads(), Epoch: ov.Term.Epoch, Plans: ov.scheduler.Plans,
		PresentFormats: ov.Format.Open, Missing: ov.Format.Missing, TightLimits: ov.writer.LimitsTightened, Zones: ov.zonesOverview()}
	if ov.cells.Directory != nil {
		o.Cell, o.Cells = ov.cells.Directory.Own.Name, ov.cellsOverview()
	}
	classes := map[string]ClassOverview{}
	for _, j := range ordered.ByKey(ov.jobs.ByID) {
		c := classes[j.Spec.Class]
		c.Class = j.Spec.Class
		c.Placed += len(j.Placed)
		c.Restarting += j.WaitingRestarts(ov.Now())
		if !j.Final() {
			c.Jobs++
			c.Pending += j.PendingCount()
			if j.Cause != "" && len(o.Failing) < maxFailing {
				o.Failing = append(o.Failing, FailingJob{j.Spec.ID, j.Cause})
			}
		}
		classes[c.Class] = c
	}
	for _, c := range ordered.ByKey(classes) {
		o.Classes = append(o.Classes, c)
	}
	kinds := map[string]*KindOverview{}
	refused := ov.autoscaler.Market().Refused
	for _, m := range ov.machines.Ordered {
		key := m.Type + " " + m.Zone
		if m.Spot {
			key += " spot"
		}
		k := kinds[key]
		if k == nil {
			k = &KindOverview{Type: m.Type, Zone: m.Zone, Spot: m.Spot, NoCapacity: refused[m.Kind()]}
			kinds[key] = k
		}
		k.Machines++
		switch {
		case !m.Seen && m.CloudStatus == protocol.MachineStarting:
			k.Booting++
		case !ov.machines.HeardRecently(m):
			k.Silent++
		case len(m.Placements) == 0:
			k.Idle++
		}
	}
	for _, k := range ordered.ByKey(kinds) {
		o.Machines = append(o.Machines, *k)
	}
	return o
}

// cellsOverview is empty on nodes that don't lead.
func (ov *Reader) cellsOverview() []federation.CellOverview {
	now := ov.Now()
	var all []federation.CellOverview
	for name, link := range ordered.ByKey(ov.cells.ByCell) {
		o := federation.CellOverview{Cell: name, Reachable: link.Failures <= federation.CircuitFailures && (link.LoadAt == 0 || now <= link.LoadAt+federation.LoadLifetime),
			ShortS: link.Load.Short.Seconds()}
		for _, del := range ov.origin.Delegations {
			if del.Host != name {
				continue
			}
			o.Lent += del.Left.Len()
			o.OldestUnansweredS = max(o.OldestUnansweredS, (now - del.HeardAt).Seconds())
			if del.State == delegation.Recalled {
				o.Recalled++
			}
		}
		for _, j := range ov.jobs.ByID {
			if j.Guest != nil && j.Guest.Home == name && !j.Final() {
				o.Borrowed += len(j.Placed) + j.PendingCount()
			}
		}
		all = append(all, o)
	}
	return all
}

// LogState tells an operator once in a while what is queued and where.
func (ov *Reader) LogState() {
	if ov.Now() < ov.loggedAt+15*clock.Second {
		return
	}
	ov.loggedAt = ov.Now()
	pending, placed, kinds := 0, 0, map[string]int{}
	for _, j := range ordered.ByKey(ov.jobs.ByID) {
		if !j.Final() {
			pending += j.PendingCount()
		}
		placed += len(j.Placed)
	}
	idle := 0
	for _, m := range ov.machines.Ordered {
		kinds[m.Type]++
		if len(m.Placements) == 0 {
			idle++
		}
	}
	slog.Info("state", "epoch", ov.Term.Epoch, "open_jobs", len(ov.jobs.ByID), "pending_tasks", pending, "placed_tasks", placed,
		"machines", fmt.Sprint(kinds), "idle", idle)
}
