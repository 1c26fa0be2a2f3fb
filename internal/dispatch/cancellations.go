package dispatch

import (
	"log/slog"

	"postpoint/internal/cells"
	"postpoint/internal/clock"
	"postpoint/internal/intake"
)

// cancellations ends the tasks of cancelled jobs in time, also while the key-value store doesn't
// serve this node.
type cancellations struct {
	*leaderTerm
	jobs     *jobTable
	machines *machineTable
	commands *commandSender
	// machineReleases returns machines to the cloud.
	machineReleases releaseSender
	// attest asks all nodes what they have told users.
	attest Attester

	attesting bool
}

func newCancellations(term *leaderTerm, jobs *jobTable, machines *machineTable, commands *commandSender,
	attest Attester) *cancellations {
	return &cancellations{
		leaderTerm: term,
		jobs:       jobs,
		machines:   machines,
		commands:   commands,
		attest:     attest,
	}
}

// begin forgets a question that was asked in an earlier term.
func (cn *cancellations) begin() { cn.attesting = false }

// releaseSender returns the machines to the cloud that are scheduled for it.
type releaseSender interface {
	sendReleases()
}

// What a leader may still do without its lease, when a cancelled task's machine
// has to go and when silence proves a machine empty are one piece of reasoning:
// "The arithmetic of cancellations" in docs/rules.md.

// Attester asks every node, this one included, for what it has told users of
// cancellations in the time back from now. ok means that all have answered.
type Attester func(back clock.Micros, done func(all []intake.Attestation, ok bool))

// returnTime is left for the cloud to carry a return out, refusals included.
const returnTime = 7 * clock.Second

const (
	attestAfter  = 2*followTime + clock.Second // more than following takes
	attestMargin = 100 * clock.Millisecond
)

// returnAt is when the machine goes on which tasks of a cancelled job are. The lease
// has then ended on any that isn't reached but goes on by itself; one that hangs
// holds them until it is returned. A new leader gives machines the time to speak for
// themselves, as long as the return can still be in time.
func (cn *cancellations) returnAt(j *job) clock.Micros {
	if j.permit != nil {
		return cn.returnGuestAt(j)
	}
	w := cn.settings.Deployment.Workers
	latest := clock.FromSeconds(w.CancelS) - returnTime
	return j.cancelledAt + max(min(w.Lease()+3*clock.Second, latest), min(cn.begunAt+heedTime-j.cancelledAt, latest))
}

// seekAttestation asks the nodes when the state service doesn't serve this one. In
// an outage of the whole service nobody can accept a cancellation or be elected, and
// if all nodes say what they told since, the workers' tasks may go on for as long as
// it lasts. A node that has started since, or doesn't answer, can't say.
func (cn *cancellations) seekAttestation() {
	sentAt := cn.now()
	if cn.attesting || !cn.loaded || cn.leads() && sentAt < cn.freshAt+attestAfter {
		return
	}
	cn.attesting = true
	back := sentAt - cn.knownUntil()
	back += back/1000 + attestMargin
	epoch := cn.term.Epoch
	cn.attest(back, func(all []intake.Attestation, ok bool) {
		if cn.term.Epoch != epoch {
			return
		}
		cn.attesting = false
		for _, a := range all {
			if a.Epoch > epoch {
				slog.Info("another node was elected", "epoch", epoch, "seen", a.Epoch)
				cn.term.ValidUntil = 0
				cn.deposed(a.Epoch)
				return
			}
			ok = ok && a.Age >= back
			for _, c := range a.Cancelled {
				if j := cn.jobs.byID[c.Job]; j != nil {
					cn.jobs.noteCancelled(j, sentAt-c.Ago)
				}
			}
		}
		if ok {
			cn.attestedAt = sentAt
		}
		cn.endCancelled()
	})
}

// endCancelled ends what is cancelled by direct commands, and returns the machines
// that don't heed them, with the lease or without: neither can harm a later leader.
func (cn *cancellations) endCancelled() {
	now := cn.now()
	for _, j := range inOrder(cn.jobs.byID) {
		if !j.over() {
			continue
		}
		for _, p := range inOrder(j.Placed) {
			if p.Host() != "" {
				continue // that cell ends it, or has no permission for long
			}
			m := cn.machines.get(p.Machine)
			if j.mustEnd() && now > cn.returnAt(j) {
				m.overdue = true
				cn.machines.scheduleRelease(m, "cancelled tasks don't end")
			}
			if !m.releasing {
				cn.commands.push(m)
			}
		}
	}
	cn.machineReleases.sendReleases()
}

// returnGuestAt is when a machine is returned on which tasks of a guest are left that has to
// end. A leader that never had a permission doesn't know when the last one ended: if the
// record is closed that may have been long ago, else it was hardly before its term.
func (cn *cancellations) returnGuestAt(j *job) clock.Micros {
	silence := cells.SilenceTime(cn.settings.Deployment.Workers.Lease())
	switch {
	case j.permit.Until() > 0:
		return j.permit.Until() + silence
	case j.Guest.Closed && j.closedAt == 0:
		return cn.begunAt + heedTime
	}
	return cn.begunAt + silence - takeoverTime
}
