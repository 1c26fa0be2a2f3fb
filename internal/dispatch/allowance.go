package dispatch

import (
	"log/slog"
	"slices"

	"postpoint/internal/clock"
	"postpoint/internal/intake"
	"postpoint/internal/ledger"
	"postpoint/internal/protocol"
)

// What a leader may still do without its lease, when a cancelled task's machine
// has to go and when silence proves a machine empty are one piece of reasoning:
// "The arithmetic of cancellations" in docs/rules.md.

// Attester asks every node, this one included, for what it has told users of
// cancellations in the time back from now. ok means that all have answered.
type Attester func(back clock.Micros, done func(all []intake.Attestation, ok bool))

// knownUntil is up to when every cancellation that any user was told is known:
// from the records, or because every node has said what it told.
func (d *Dispatch) knownUntil() clock.Micros { return max(d.freshAt, d.attestedAt) }

// soleUntil is up to when nobody else can have been elected: the lease was good,
// or every node said that it wasn't.
func (d *Dispatch) soleUntil() clock.Micros { return max(d.term.RenewedAt, d.attestedAt) }

// keepsUntil is until when workers may be answered. A cancellation that isn't known
// was told after knownUntil, and a leader that isn't known was elected after
// soleUntil. Before the records are read nothing is known at all, whoever led before
// and however well: nobody is answered then.
func (d *Dispatch) keepsUntil() clock.Micros {
	if d.term.Epoch == 0 || !d.loaded {
		return 0
	}
	return min(d.knownUntil(), d.soleUntil()) + d.set.Deployment.Workers.KeepAlive()
}

// keeps tells that workers may still be answered, without orders but for the end
// of what is cancelled.
func (d *Dispatch) keeps() bool { return d.now() < d.keepsUntil() }

// proofAt is when every lease that could keep a machine's tasks alive has
// ended: those of this node's own answers, those that an earlier leader may
// have given until the end of its allowance, and the one that a session begins
// with, unanswered, no later than its first report.
func (d *Dispatch) proofAt(m *machine) clock.Micros {
	w := d.set.Deployment.Workers
	last := max(m.answeredAt, m.sessionAt, d.begunAt+w.KeepAlive())
	return last + w.Lease() + w.Lease()/1000 + leaseMargin
}

// mayRenew tells that an answer may renew the machine's lease. A cancelled task
// must be gone within cancel_s of its confirmation: from lease_s before that on, an
// answer has to carry the task's end, which it does for whatever the machine
// reports. What may be there without being reported can't be ended like that.
func (d *Dispatch) mayRenew(m *machine) bool {
	for id, tasks := range m.placed {
		j := d.jobs[id]
		if j == nil || !d.onlyEnds(j) {
			continue
		}
		if !j.mustEnd() {
			return false // a guest that nobody permits and nobody ends, for a moment
		}
		for _, p := range tasks {
			if _, reported := m.tasks[taskRef{id, p.Task, p.Attempt}]; !reported && p.Session >= m.session {
				return false
			}
		}
	}
	return true
}

// onlyEnds tells that a lease may be renewed only by an answer that ends what is left of a job.
func (d *Dispatch) onlyEnds(j *job) bool {
	if j.permit != nil {
		return !j.permit.MayKeep(d.now())
	}
	return j.cancelled && d.now() > j.cancelledAt+d.set.Deployment.Workers.KeepAlive()
}

// noteCancelled keeps when a cancellation was confirmed, or an earlier time: it
// isn't counted from when this leader came to know of it, since each change of
// leader would then put the end of its tasks off.
func (d *Dispatch) noteCancelled(j *job, at clock.Micros) {
	if !j.cancelled {
		slog.Debug("job cancelled", "job", j.Spec.ID, "placed", len(j.Placed), "ago_s", (d.now() - at).Seconds())
		j.cancelled, j.cancelledAt = true, at
	}
	j.cancelledAt = min(j.cancelledAt, at)
}

// confirmedAt is the record's time of a cancellation on this node's steady clock,
// no later than it was: clocks of day are off by a bounded error, either way.
func (d *Dispatch) confirmedAt(r *ledger.Job) clock.Micros {
	if r.CancelledAt == 0 {
		return d.now() // a record of an earlier version
	}
	off := 2 * clock.Micros(d.set.Deployment.ClockErrorMs*float64(clock.Millisecond))
	return d.now() - max(0, d.mailbox.OfDay()-clock.Micros(r.CancelledAt)) - off
}

// returnAt is when the machine goes on which tasks of a cancelled job are. The lease
// has then ended on any that isn't reached but goes on by itself; one that hangs
// holds them until it is returned. A new leader gives machines the time to speak for
// themselves, as long as the return can still be in time.
func (d *Dispatch) returnAt(j *job) clock.Micros {
	if j.permit != nil {
		return d.returnGuestAt(j)
	}
	w := d.set.Deployment.Workers
	latest := clock.FromSeconds(w.CancelS) - returnTime
	return j.cancelledAt + max(min(w.Lease()+3*clock.Second, latest), min(d.begunAt+heedTime-j.cancelledAt, latest))
}

const (
	// returnTime is left for the cloud to carry a return out, refusals included.
	returnTime = 7 * clock.Second
	heedTime   = 4 * clock.Second
)

// endings stops what is left of jobs that are over. For confirmed cancellations these
// are the only orders that need neither the lease nor fresh records: they are final. An
// answer to a report always carries them, since it renews the lease of what it doesn't
// end.
func (d *Dispatch) endings(m *machine, heartbeat bool) []protocol.Order {
	leads := d.leads()
	var left []taskRef
	for ref, t := range m.tasks {
		j := d.jobs[ref.job]
		if j != nil && t.Status != protocol.TaskExited && (j.mustEnd() || leads && j.Final()) {
			left = append(left, ref)
		}
	}
	slices.SortFunc(left, compareRefs)
	var orders []protocol.Order
	for _, ref := range left {
		s := m.sentOf(ref)
		if heartbeat || s.killAt == 0 || d.now()-s.killAt >= repeatTime {
			orders = append(orders, protocol.Order{Verb: protocol.VerbStop, Task: protocol.TaskName(ref.job, ref.task), Attempt: ref.attempt})
			s.killAt = d.now()
		}
	}
	return orders
}

// seekAttestation asks the nodes when the state service doesn't serve this one. In
// an outage of the whole service nobody can accept a cancellation or be elected, and
// if all nodes say what they told since, the workers' tasks may go on for as long as
// it lasts. A node that has started since, or doesn't answer, can't say.
func (d *Dispatch) seekAttestation() {
	sentAt := d.now()
	if d.attesting || !d.loaded || d.leads() && sentAt < d.freshAt+attestAfter {
		return
	}
	d.attesting = true
	back := sentAt - d.knownUntil()
	back += back/1000 + attestMargin
	epoch := d.term.Epoch
	d.attest(back, func(all []intake.Attestation, ok bool) {
		if d.term.Epoch != epoch {
			return
		}
		d.attesting = false
		for _, a := range all {
			if a.Epoch > epoch {
				slog.Info("another node was elected", "epoch", epoch, "seen", a.Epoch)
				d.term.ValidUntil = 0
				d.deposed(a.Epoch)
				return
			}
			ok = ok && a.Age >= back
			for _, c := range a.Cancelled {
				if j := d.jobs[c.Job]; j != nil {
					d.noteCancelled(j, sentAt-c.Ago)
				}
			}
		}
		if ok {
			d.attestedAt = sentAt
		}
		d.endCancelled()
	})
}

const (
	attestAfter  = 2*followTime + clock.Second // more than following takes
	attestMargin = 100 * clock.Millisecond
)

// endCancelled ends what is cancelled by direct commands, and returns the machines
// that don't heed them, with the lease or without: neither can harm a later leader.
func (d *Dispatch) endCancelled() {
	now := d.now()
	for _, j := range inOrder(d.jobs) {
		if !j.over() {
			continue
		}
		for _, p := range inOrder(j.Placed) {
			if p.Host() != "" {
				continue // that cell ends it, or has no permission for long
			}
			m := d.machine(p.Machine)
			if j.mustEnd() && now > d.returnAt(j) {
				m.overdue = true
				d.release(m, "cancelled tasks don't end")
			}
			if !m.releasing {
				d.pushOrders(m)
			}
		}
	}
	d.sendReleases()
}

// actsUntil is until when commands and returns may leave: without the lease only those
// by which cancelled tasks end.
func (d *Dispatch) actsUntil() clock.Micros {
	if d.leads() {
		return d.term.ValidUntil
	}
	return d.keepsUntil()
}
