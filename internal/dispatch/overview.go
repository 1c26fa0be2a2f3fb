package dispatch

import (
	"fmt"
	"log/slog"

	"postpoint/internal/clock"
	"postpoint/internal/delegation"
	"postpoint/internal/protocol"
)

// overviewReader reads the other components for operators; it changes nothing.
type overviewReader struct {
	*leaderTerm
	jobs       *jobTable
	machines   *machineTable
	catalogue  *machineCatalogue
	autoscaler *autoscaler
	scheduler  *taskScheduler
	writer     *recordWriter
	cells      *cellLinks
	origin     *originCell
	zones      *zoneRecovery

	loggedAt         clock.Micros
	recoveryLoggedAt clock.Micros
}

func newOverviewReader(term *leaderTerm, jobs *jobTable, machines *machineTable, catalogue *machineCatalogue,
	autoscaler *autoscaler, scheduler *taskScheduler, writer *recordWriter, links *cellLinks, origin *originCell,
	zones *zoneRecovery) *overviewReader {
	return &overviewReader{
		leaderTerm: term,
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
	Cell  string         `json:"cell,omitempty"`
	Cells []CellOverview `json:"cells,omitempty"`
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

func (ov *overviewReader) build() Overview {
	o := Overview{Node: ov.settings.Node, Leader: ov.knownLeader, Leads: ov.leads(), Epoch: ov.term.Epoch, Plans: ov.scheduler.plans,
		PresentFormats: ov.format.Open, Missing: ov.format.Missing, TightLimits: ov.writer.tightened, Zones: ov.zonesOverview()}
	if ov.cells.directory != nil {
		o.Cell, o.Cells = ov.cells.directory.Own.Name, ov.cellsOverview()
	}
	classes := map[string]ClassOverview{}
	for _, j := range inOrder(ov.jobs.byID) {
		c := classes[j.Spec.Class]
		c.Class = j.Spec.Class
		c.Placed += len(j.Placed)
		c.Restarting += j.waitingRestarts(ov.now())
		if !j.Final() {
			c.Jobs++
			c.Pending += j.PendingCount()
			if j.Cause != "" && len(o.Failing) < maxFailing {
				o.Failing = append(o.Failing, FailingJob{j.Spec.ID, j.Cause})
			}
		}
		classes[c.Class] = c
	}
	for _, c := range inOrder(classes) {
		o.Classes = append(o.Classes, c)
	}
	kinds := map[string]*KindOverview{}
	refused := ov.autoscaler.market().Refused
	for _, m := range ov.machines.ordered {
		key := m.typ + " " + m.zone
		if m.spot {
			key += " spot"
		}
		k := kinds[key]
		if k == nil {
			k = &KindOverview{Type: m.typ, Zone: m.zone, Spot: m.spot, NoCapacity: refused[m.kind()]}
			kinds[key] = k
		}
		k.Machines++
		switch {
		case !m.seen && m.status == protocol.MachineStarting:
			k.Booting++
		case !ov.machines.heardRecently(m):
			k.Silent++
		case len(m.placed) == 0:
			k.Idle++
		}
	}
	for _, k := range inOrder(kinds) {
		o.Machines = append(o.Machines, *k)
	}
	return o
}

// cellsOverview is empty on nodes that don't lead.
func (ov *overviewReader) cellsOverview() []CellOverview {
	now := ov.now()
	var all []CellOverview
	for name, link := range inOrder(ov.cells.links) {
		o := CellOverview{Cell: name, Reachable: link.failures <= circuitFailures && (link.loadAt == 0 || now <= link.loadAt+loadTime),
			ShortS: link.load.Short.Seconds()}
		for _, del := range ov.origin.delegations {
			if del.Host != name {
				continue
			}
			o.Lent += del.Left.Len()
			o.OldestUnansweredS = max(o.OldestUnansweredS, (now - del.HeardAt).Seconds())
			if del.State == delegation.Recalled {
				o.Recalled++
			}
		}
		for _, j := range ov.jobs.byID {
			if j.Guest != nil && j.Guest.Home == name && !j.Final() {
				o.Borrowed += len(j.Placed) + j.PendingCount()
			}
		}
		all = append(all, o)
	}
	return all
}

// logState tells an operator once in a while what is queued and where.
func (ov *overviewReader) logState() {
	if ov.now() < ov.loggedAt+15*clock.Second {
		return
	}
	ov.loggedAt = ov.now()
	pending, placed, kinds := 0, 0, map[string]int{}
	for _, j := range inOrder(ov.jobs.byID) {
		if !j.Final() {
			pending += j.PendingCount()
		}
		placed += len(j.Placed)
	}
	idle := 0
	for _, m := range ov.machines.ordered {
		kinds[m.typ]++
		if len(m.placed) == 0 {
			idle++
		}
	}
	slog.Info("state", "epoch", ov.term.Epoch, "open_jobs", len(ov.jobs.byID), "pending_tasks", pending, "placed_tasks", placed,
		"machines", fmt.Sprint(kinds), "idle", idle)
}
