package reconciler

import (
	"log/slog"

	"postpoint/internal/admission"
	"postpoint/internal/cells"
	"postpoint/internal/clock"
	"postpoint/internal/leader/jobtable"
	"postpoint/internal/leader/machinetable"
	"postpoint/internal/leader/term"
	"postpoint/internal/ordered"
)

// The arithmetic of cancellations
//
// A cancelled task must be gone within cancel_s of the moment in which a user was told of the
// cancellation, whichever nodes, machines and outside systems fail meanwhile. docs/rules.md proves it
// under the same title; these are its quantities in the code:
//
//	T  State.KnownUntil        every cancellation that any user was told of before T is known
//	S  State.SoleLeaderUntil   no other leader was elected before S
//	K  Workers.RenewalWindow     cancel_s - lease_s - 1 s
//	C  Job.CancelConfirmedAt   when the cancellation of a job was confirmed, or somewhat earlier
//
// A worker stops everything lease_s after it sent the last heartbeat that was responded to. From that
// follows what a leader may do:
//
//   - Respond to heartbeats until min(T, S) + K (State.RespondsUntil). The tasks of a cancellation that
//     it doesn't know, which came after T, are gone by T + K + lease_s = T + cancel_s - 1 s.
//   - After C + K, respond only with the end of every task of the job that may be on the machine
//     (CommandSender.mayRenewLease). Either that response arrives, or the lease isn't renewed.
//   - Without its own lease, send nothing but ends of cancelled tasks (commandSet.addCancellations) and
//     releases of machines that hold them (Autoscaler.SendReleases): no later leader could want
//     anything else for them.
//   - Release a machine whose worker hangs, and so doesn't stop its tasks, at C + lease_s + 3 s, but no
//     later than C + cancel_s - ReleaseDuration (Cancellations.ReleaseAt). At the end of its lease a silent
//     machine that holds cancelled tasks is released at once (HealthMonitor.expireLease).
//   - Take silence for proof only at Table.ProvenEmptyAt: an earlier leader has responded until its own
//     min(T, S) + K, which lies before the beginning of this term + K.
//
// When the key-value store doesn't serve this node, T and S go on by attestations: every node says what
// it has told users (Cancellations.SeekAttestation, State.AttestedAt).

// Cancellations ends the tasks of cancelled jobs in time, also while the key-value store doesn't
// serve this node.
type Cancellations struct {
	*term.State
	jobs     *jobtable.Table
	machines *machinetable.Table
	commands *CommandSender
	// Releases releases machines to the cloud.
	Releases ReleaseSender
	// attest asks all nodes what they have told users.
	attest Attester
	// attesting reports that an answer to that is awaited.
	attesting bool
}

// ReleaseSender releases the machines to the cloud that are scheduled for it.
type ReleaseSender interface {
	SendReleases()
}

// Attester asks every node, this one included, for what it has told users of
// cancellations in the time back from now. ok means that all have responded.
type Attester func(back clock.Micros, done func(all []admission.Attestation, ok bool))

// NewCancellations returns the part of the leader that ends cancelled tasks.
func NewCancellations(term *term.State, jobs *jobtable.Table, machines *machinetable.Table,
	commands *CommandSender, attest Attester) *Cancellations {
	return &Cancellations{
		State:    term,
		jobs:     jobs,
		machines: machines,
		commands: commands,
		attest:   attest,
	}
}

const (
	// ReleaseDuration is left for the cloud to carry a release out, refusals included.
	ReleaseDuration = 7 * clock.Second
	// releaseDelay is how long after the end of its lease a machine with cancelled tasks is released.
	releaseDelay = 3 * clock.Second
	// attestAfter is the age of the records beyond which attestations are sought: more than following
	// the records takes.
	attestAfter = 2*term.FollowInterval + clock.Second
	// attestMargin has the time that is asked for overlap with what is known.
	attestMargin = 100 * clock.Millisecond
)

// Begin forgets a question that was asked in an earlier term.
func (cn *Cancellations) Begin() { cn.attesting = false }

// EndCancelled ends what is cancelled by direct commands, and releases the machines that don't
// execute them, with the leader's lease or without: neither can harm a later leader.
func (cn *Cancellations) EndCancelled() {
	now := cn.Now()
	for _, j := range ordered.ByKey(cn.jobs.ByID) {
		if j.Over() {
			cn.endPlacements(j, now)
		}
	}
	cn.Releases.SendReleases()
}

// endPlacements ends what is left of a job that is over.
func (cn *Cancellations) endPlacements(j *jobtable.Job, now clock.Micros) {
	for _, p := range ordered.ByKey(j.Placements) {
		if p.HostCell() != "" {
			continue // the host cell ends it, or has no permission for long
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

// ReleaseAt returns when a machine is released that holds tasks of a cancelled job. The lease has then
// expired on any worker that isn't reached but goes on by itself; one that hangs holds its tasks until
// the machine is gone. A new leader gives workers the time to be heard of, as long as the release can
// still be in time.
func (cn *Cancellations) ReleaseAt(j *jobtable.Job) clock.Micros {
	if j.Permission != nil {
		return cn.releaseHostedAt(j)
	}
	w := cn.Settings.Deployment.Workers
	latest := j.CancelConfirmedAt + clock.FromSeconds(w.CancelS) - ReleaseDuration
	leaseOver := j.CancelConfirmedAt + w.Lease() + releaseDelay
	announced := cn.BegunAt + jobtable.AnnounceTime
	return max(min(leaseOver, latest), min(announced, latest))
}

// releaseHostedAt returns when a machine is released that holds tasks of a hosted job which has to
// end. A leader that never had a permission doesn't know when the last one ended: if the
// record is closed that may have been long ago, else it was hardly before its term.
func (cn *Cancellations) releaseHostedAt(j *jobtable.Job) clock.Micros {
	silence := cells.SilenceTime(cn.Settings.Deployment.Workers.Lease())
	switch {
	case j.Permission.ExpiresAt() > 0:
		return j.Permission.ExpiresAt() + silence
	case j.Hosted.Closed && j.ClosedAtChange == 0:
		return cn.BegunAt + jobtable.AnnounceTime
	}
	return cn.BegunAt + silence - machinetable.TakeoverTime
}

// SeekAttestation asks the nodes when the key-value store doesn't serve this one. In
// an outage of the whole store nobody can accept a cancellation or be elected, and
// if all nodes say what they told users since, the workers' tasks may go on for as long as
// it lasts. A node that has started since, or doesn't respond, can't say.
func (cn *Cancellations) SeekAttestation() {
	askedAt := cn.Now()
	if cn.attesting || !cn.Loaded || cn.Leads() && askedAt < cn.FreshAt+attestAfter {
		return
	}
	cn.attesting = true
	back := askedAt - cn.KnownUntil()
	back += back/1000 + attestMargin // clocks drift
	cn.attest(back, term.Guarded2(cn.State, func(all []admission.Attestation, ok bool) {
		cn.noteAttestations(all, ok, askedAt, back)
	}))
}

// noteAttestations takes what the nodes have told users in the time back from askedAt. complete
// reports that all nodes have responded.
func (cn *Cancellations) noteAttestations(all []admission.Attestation, complete bool,
	askedAt, back clock.Micros) {
	cn.attesting = false
	for _, a := range all {
		if a.Epoch > cn.Term.Epoch {
			slog.Info("another node was elected", "epoch", cn.Term.Epoch, "elected_epoch", a.Epoch)
			cn.Depose(a.Epoch)
			return
		}
		complete = complete && a.Age >= back
		for _, c := range a.Cancelled {
			if j := cn.jobs.ByID[c.Job]; j != nil {
				cn.jobs.NoteCancelled(j, askedAt-c.Age)
			}
		}
	}
	if complete {
		cn.AttestedAt = askedAt
	}
	cn.EndCancelled()
}
