package reconciler

import (
	"log/slog"

	"postpoint/internal/cells"
	"postpoint/internal/clock"
	"postpoint/internal/intake"
	"postpoint/internal/leader/jobtable"
	"postpoint/internal/leader/machinetable"
	"postpoint/internal/leader/term"
	"postpoint/internal/ordered"
)

// Cancellations ends the tasks of cancelled jobs in time, also while the key-value store doesn't
// serve this node.
type Cancellations struct {
	*term.State
	jobs     *jobtable.Table
	machines *machinetable.Table
	commands *CommandSender
	// MachineReleases returns machines to the cloud.
	MachineReleases ReleaseSender
	// attest asks all nodes what they have told users.
	attest Attester

	attesting bool
}

// NewCancellations makes the part that ends cancelled tasks.
func NewCancellations(term *term.State, jobs *jobtable.Table, machines *machinetable.Table, commands *CommandSender,
	attest Attester) *Cancellations {
	return &Cancellations{
		State:    term,
		jobs:     jobs,
		machines: machines,
		commands: commands,
		attest:   attest,
	}
}

// Begin forgets a question that was asked in an earlier term.
func (cn *Cancellations) Begin() { cn.attesting = false }

// ReleaseSender returns the machines to the cloud that are scheduled for it.
type ReleaseSender interface {
	SendReleases()
}

// What a leader may still do without its lease, when a cancelled task's machine
// has to go and when silence proves a machine empty are one piece of reasoning:
// "The arithmetic of cancellations" in docs/rules.md.

// Attester asks every node, this one included, for what it has told users of
// cancellations in the time back from now. ok means that all have answered.
type Attester func(back clock.Micros, done func(all []intake.Attestation, ok bool))

// ReturnTime is left for the cloud to carry a return out, refusals included.
const ReturnTime = 7 * clock.Second

const (
	attestAfter  = 2*term.FollowInterval + clock.Second // more than following takes
	attestMargin = 100 * clock.Millisecond
)

// ReleaseAt is when the machine goes on which tasks of a cancelled job are. The lease
// has then ended on any that isn't reached but goes on by itself; one that hangs
// holds them until it is returned. A new leader gives machines the time to speak for
// themselves, as long as the return can still be in time.
func (cn *Cancellations) ReleaseAt(j *jobtable.Job) clock.Micros {
	if j.Permission != nil {
		return cn.releaseHostedAt(j)
	}
	w := cn.Settings.Deployment.Workers
	latest := clock.FromSeconds(w.CancelS) - ReturnTime
	return j.CancelConfirmedAt + max(min(w.Lease()+3*clock.Second, latest), min(cn.BegunAt+jobtable.AnnounceTime-j.CancelConfirmedAt, latest))
}

// SeekAttestation asks the nodes when the state service doesn't serve this one. In
// an outage of the whole service nobody can accept a cancellation or be elected, and
// if all nodes say what they told since, the workers' tasks may go on for as long as
// it lasts. A node that has started since, or doesn't answer, can't say.
func (cn *Cancellations) SeekAttestation() {
	sentAt := cn.Now()
	if cn.attesting || !cn.Loaded || cn.Leads() && sentAt < cn.FreshAt+attestAfter {
		return
	}
	cn.attesting = true
	back := sentAt - cn.KnownUntil()
	back += back/1000 + attestMargin
	epoch := cn.Term.Epoch
	cn.attest(back, func(all []intake.Attestation, ok bool) {
		if cn.Term.Epoch != epoch {
			return
		}
		cn.attesting = false
		for _, a := range all {
			if a.Epoch > epoch {
				slog.Info("another node was elected", "epoch", epoch, "seen", a.Epoch)
				cn.Term.ValidUntil = 0
				cn.Deposed(a.Epoch)
				return
			}
			ok = ok && a.Age >= back
			for _, c := range a.Cancelled {
				if j := cn.jobs.ByID[c.Job]; j != nil {
					cn.jobs.NoteCancelled(j, sentAt-c.Ago)
				}
			}
		}
		if ok {
			cn.AttestedAt = sentAt
		}
		cn.EndCancelled()
	})
}

// EndCancelled ends what is cancelled by direct commands, and returns the machines
// that don't heed them, with the lease or without: neither can harm a later leader.
func (cn *Cancellations) EndCancelled() {
	now := cn.Now()
	for _, j := range ordered.ByKey(cn.jobs.ByID) {
		if !j.Over() {
			continue
		}
		for _, p := range ordered.ByKey(j.Placed) {
			if p.Host() != "" {
				continue // that cell ends it, or has no permission for long
			}
			m := cn.machines.GetOrAdd(p.Machine)
			if j.MustEnd() && now > cn.ReleaseAt(j) {
				cn.machines.ScheduleOverdueRelease(m, machinetable.ReleaseCancelledRemaining)
			}
			if !m.Releasing {
				cn.commands.Push(m)
			}
		}
	}
	cn.MachineReleases.SendReleases()
}

// releaseHostedAt is when a machine is returned on which tasks of a guest are left that has to
// end. A leader that never had a permission doesn't know when the last one ended: if the
// record is closed that may have been long ago, else it was hardly before its term.
func (cn *Cancellations) releaseHostedAt(j *jobtable.Job) clock.Micros {
	silence := cells.SilenceTime(cn.Settings.Deployment.Workers.Lease())
	switch {
	case j.Permission.Until() > 0:
		return j.Permission.Until() + silence
	case j.Guest.Closed && j.ClosedAtChange == 0:
		return cn.BegunAt + jobtable.AnnounceTime
	}
	return cn.BegunAt + silence - machinetable.TakeoverTime
}
