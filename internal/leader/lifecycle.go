package leader

import (
	"log/slog"

	"postpoint/internal/clock"
	"postpoint/internal/election"
	"postpoint/internal/leader/term"
	"postpoint/internal/rollout"
)

// resignInterval is the least time from one resignation to the next. It leaves a leader the time to
// prove silent machines empty: if it is the workers that are gone, no other node hears them either.
const resignInterval = 60 * clock.Second

// SetLeader tells the node which node workers should send their heartbeats to, "" if none is known.
func (l *Leader) SetLeader(node string) {
	l.state.Mailbox.Post(func() { l.state.KnownLeader = node })
}

// SetTerm tells the node of every election, renewal and loss of its own.
func (l *Leader) SetTerm(t election.Term) {
	l.state.Mailbox.Post(func() {
		before := l.state.Term.Epoch
		l.state.Term = t
		switch {
		case t.Epoch == before:
		case t.Epoch == 0:
			l.end()
		default:
			l.begin()
		}
	})
}

// SetFormat tells the node how far the controllers' upgrade is.
func (l *Leader) SetFormat(s rollout.Status) {
	l.state.Mailbox.Post(func() {
		l.state.Format = s
		l.steps.Wake()
	})
}

// begin begins a term: the records are read first, then every machine speaks for itself.
func (l *Leader) begin() {
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

// end forgets what was known in a term that is over.
func (l *Leader) end() {
	l.state.Loaded = false
	l.jobs.End()
	l.machines.End()
	l.heartbeats.HandleDeferred()
}

// tick does what is due at regular times, whatever else happens.
func (l *Leader) tick() {
	l.steps.NoteTick()
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

// tickInTerm does what a node also does while it has lost the lease, or the store, for a moment.
func (l *Leader) tickInTerm() {
	l.host.CheckHostedJobs()
	l.cancellations.EndCancelled()
	l.cancellations.SeekAttestation()
	l.host.SendHeartbeats()
}

// tickAsLeader does what takes a valid lease and fresh records.
func (l *Leader) tickAsLeader() {
	l.health.ExpireLeases()
	l.health.DrainRecalled()
	l.health.ReplaceSilent()
	l.health.AnnounceEpoch()
	if l.zones.Advance() {
		l.overview.LogRecovery()
	}
	l.autoscaler.Manage()
	l.catalogue.Share()
	l.origin.Manage()
	l.autoscaler.CordonPeriodically()
	l.overview.LogState()
	l.resignIfDeaf()
}

// resignIfDeaf gives leadership up if this node hears from no worker while others may.
func (l *Leader) resignIfDeaf() {
	if !l.machines.HearsNoWorker() || l.zones.OthersHearNothing() {
		return
	}
	if l.resignedAt != 0 && l.state.Now() <= l.resignedAt+resignInterval {
		return
	}
	l.resignedAt = l.state.Now()
	l.resign()
}

// step plans, writes what the plan and events have changed, and pauses as long as that costs.
func (l *Leader) step() {
	if !l.state.Leads() {
		return
	}
	l.scheduler.Schedule()
	l.writer.Commit()
	l.steps.PauseAfter(l.snapshots.PlanningCost())
}
