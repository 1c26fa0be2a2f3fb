// Package autoscaler scales the deployment out and in. It requests machines for unmet demand, cordons and
// releases surplus machines, and reads the cloud's list of machines periodically. Package scaling decides
// which machines to request and which machines are surplus; that package has no side effects.
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

// Autoscaler requests machines for unmet demand and releases machines that are no longer needed.
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

	// BackoffUntil is the end of the backoff after a failed request.
	BackoffUntil clock.Micros
	scaleOut     scaleOutState
	list         listState
	// scaleInInFlight reports that the response to a scale-in request is outstanding.
	scaleInInFlight bool
	cordons         cordonState
}

// refusalBackoff is the backoff after the cloud refuses a request, or a request fails in another way. It is
// long enough for a limit on requests per second to recover, and short compared with the time that a machine
// takes to boot.
const refusalBackoff = 2 * clock.Second

// New returns an autoscaler that requests and releases machines through the given cloud client.
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

// Begin drops the state of requests from earlier terms. The state of cordoning is kept across terms.
func (a *Autoscaler) Begin() {
	a.BackoffUntil = 0
	a.scaleOut = newScaleOutState(a.Settings.Deployment.Cloud.Rps)
	a.list = listState{}
	a.scaleInInFlight = false
}

// ListAndScaleIn reads the cloud's list of machines when that is due, marks idle machines for release and
// sends the pending scale-in requests. It does nothing during a backoff or before the machine types are
// known.
func (a *Autoscaler) ListAndScaleIn() {
	if a.Now() < a.BackoffUntil || len(a.catalogue.Types) == 0 {
		return
	}
	a.listPeriodically()
	a.releaseIdleMachines()
	a.SendReleases()
}

// backOff starts a backoff of refusalBackoff, during which no regular request goes to the cloud.
func (a *Autoscaler) backOff() { a.BackoffUntil = a.Now() + refusalBackoff }
