package dispatch

import (
	"postpoint/internal/protocol"
)

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

// Overview answers from the actor.
func (d *Dispatch) Overview(reply func(any)) { d.mailbox.Post(func() { reply(d.overview()) }) }

func (d *Dispatch) overview() Overview {
	o := Overview{Node: d.set.Node, Leader: d.leader, Leads: d.leads(), Epoch: d.term.Epoch, Plans: d.plans,
		PresentFormats: d.format.Open, Missing: d.format.Missing, TightLimits: d.tightened, Zones: d.zonesOverview()}
	if d.directory != nil {
		o.Cell, o.Cells = d.directory.Own.Name, d.cellsOverview()
	}
	classes := map[string]ClassOverview{}
	for _, j := range inOrder(d.jobs) {
		c := classes[j.Spec.Class]
		c.Class = j.Spec.Class
		c.Placed += len(j.Placed)
		c.Restarting += j.waitingRestarts(d.now())
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
	refused := d.market().Refused
	for _, m := range d.roster {
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
		case !d.heardRecently(m):
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
