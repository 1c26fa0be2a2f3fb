// Package autoscaler scales the deployment out and in: it gets machines for unmet demand, cordons and
// releases surplus ones, and keeps up with the cloud's list of machines. Which machines to get and
// which are surplus is decided by package scaling, which is pure.
package autoscaler

import (
	"postpoint/internal/clock"
	"postpoint/internal/cloudclient"
	"postpoint/internal/leader/jobtable"
	"postpoint/internal/leader/machinetable"
	"postpoint/internal/leader/objectives"
	"postpoint/internal/leader/reconciler"
	"postpoint/internal/leader/snapshots"
	"postpoint/internal/leader/term"
	"postpoint/internal/leader/zonetracker"
)

// Autoscaler gets machines for unmet demand and releases those that aren't needed any more.
type Autoscaler struct {
	*term.State
	Cloud      cloudclient.API
	jobs       *jobtable.Table
	machines   *machinetable.Table
	catalogue  *machinetable.Catalogue
	objectives *objectives.Tracker
	commands   *reconciler.CommandSender
	snapshots  *snapshots.Builder
	zones      *zonetracker.Tracker
	steps      *term.StepTimer

	// BackoffUntil is until when the cloud is left alone after it has refused a request.
	BackoffUntil clock.Micros
	scaleOut     scaleOutState
	list         listState
	// scaleInInFlight reports that the response to a scale-in is awaited.
	scaleInInFlight bool
	cordons         cordonState
}

// refusalBackoff is the pause after the cloud has refused a request: long enough for a limit of
// requests a second to recover, short beside a boot.
const refusalBackoff = 2 * clock.Second

// New returns an autoscaler that scales by means of the given cloud.
func New(term *term.State, cl cloudclient.API, jobs *jobtable.Table, machines *machinetable.Table,
	catalogue *machinetable.Catalogue, objectives *objectives.Tracker, commands *reconciler.CommandSender,
	snapshots *snapshots.Builder, zones *zonetracker.Tracker, steps *term.StepTimer) *Autoscaler {
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

// Begin forgets the requests of earlier terms. What was found out about cordoning is kept.
func (a *Autoscaler) Begin() {
	a.BackoffUntil = 0
	a.scaleOut = newScaleOutState(a.Settings.Deployment.Cloud.Rps)
	a.list = listState{}
	a.scaleInInFlight = false
}

// Manage reads the cloud's list when it is due, releases idle machines and carries on with
// scale-ins.
func (a *Autoscaler) Manage() {
	if a.Now() < a.BackoffUntil || len(a.catalogue.Types) == 0 {
		return
	}
	a.listPeriodically()
	a.releaseIdleMachines()
	a.SendReleases()
}

// backOff leaves the cloud alone for a while.
func (a *Autoscaler) backOff() { a.BackoffUntil = a.Now() + refusalBackoff }
