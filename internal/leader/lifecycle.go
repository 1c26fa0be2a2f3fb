package leader

import (
	"log/slog"

	"postpoint/internal/clock"
	"postpoint/internal/election"
	"postpoint/internal/leader/term"
	"postpoint/internal/rollout"
)

// resignInterval is the minimum time between two resignations. It leaves a leader enough time to
// prove silent machines empty: if the workers themselves are gone, no other controller receives
// heartbeats either.
const resignInterval = 60 * clock.Second

// SetLeader sets the controller to which workers should send their heartbeats, "" if none is known.
func (l *Leader) SetLeader(controller string) {
	l.state.Mailbox.Post(func() { l.state.KnownLeader = controller })
}

// SetTerm passes the term to the actor after each election, lease renewal and loss of leadership of
// this controller.
func (l *Leader) SetTerm(t election.Term) {
	l.state.Mailbox.Post(func() {
		previous := l.state.Term.Epoch
		l.state.Term = t
		switch {
		case t.Epoch == previous:
		case t.Epoch == 0:
			l.endTerm()
		default:
			l.beginTerm()
		}
	})
}

// SetFormat passes the progress of the controllers' upgrade to the actor.
func (l *Leader) SetFormat(s rollout.Status) {
	l.state.Mailbox.Post(func() {
		l.state.Format = s
		l.steps.Wake()
	})
}

// beginTerm resets the components' state of earlier terms and loads the records. The state of each
// machine then comes from its worker's heartbeats.
func (l *Leader) beginTerm() {
	slog.Info("taking over", "epoch", l.state.Term.Epoch)
	l.jobs.Begin()
	l.machines.Begin()
	l.cells.Begin()
	l.origin.Begin()
	l.zones.Begin()
	l.heartbeats.Begin()
	l.state.Begin()
	l.autoscaler.Begin()
	l.catalogue.Begin()
	l.writer.Begin()
	l.steps.Begin()
	l.cancellations.Begin()
	l.scheduler.Begin()
	l.reader.Load()
}

// endTerm forgets the state of a term that has ended.
func (l *Leader) endTerm() {
	l.state.Loaded = false
	l.jobs.End()
	l.machines.End()
	l.heartbeats.HandleDeferred()
}

// tick runs the periodic work and schedules the next tick.
func (l *Leader) tick() {
	l.steps.RecordTick()
	l.state.Mailbox.After(term.TickInterval, l.tick)
	if l.state.Term.Epoch == 0 {
		return
	}
	l.tickInTerm()
	if l.state.Leads() {
		l.tickAsLeader()
	}
	l.steps.Wake()
}

// tickInTerm runs the periodic work that continues even while this controller has briefly lost its
// lease or can't reach the key-value store.
func (l *Leader) tickInTerm() {
	l.host.CheckHostedJobs()
	l.cancellations.EndCancelledTasks()
	l.cancellations.RequestAttestations()
	l.host.SendHeartbeats()
}

// tickAsLeader runs the periodic work that requires a valid lease and up-to-date records.
func (l *Leader) tickAsLeader() {
	l.health.ExpireLeases()
	l.health.DrainReclaimed()
	l.health.ReleaseSilentWithReplicas()
	l.health.EndOverdueFetches()
	l.health.AnnounceEpoch()
	if l.zones.Advance() {
		l.overview.LogRecovery()
	}
	l.autoscaler.ListAndScaleIn()
	l.catalogue.Share()
	l.origin.ManageDelegations()
	l.autoscaler.CordonPeriodically()
	l.overview.LogState()
	l.resignIfIsolated()
}

// resignIfIsolated gives up leadership if this controller receives no worker's heartbeats and other
// controllers may receive them.
func (l *Leader) resignIfIsolated() {
	if !l.machines.IsolatedFromWorkers() || l.zones.NoControllerReceivesHeartbeats() {
		return
	}
	if l.resignedAt != 0 && l.state.Now() <= l.resignedAt+resignInterval {
		return
	}
	l.resignedAt = l.state.Now()
	l.resign()
}

// step plans, writes the changes that the plan and events have made, and delays the next step in
// proportion to the cost of planning.
func (l *Leader) step() {
	if !l.state.Leads() {
		return
	}
	l.scheduler.Schedule()
	l.writer.Commit()
	l.steps.PauseAfter(l.snapshots.PlanningCost())
}
