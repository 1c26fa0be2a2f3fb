package reconciler

import (
	"sync"

	"postpoint/internal/cells"
	"postpoint/internal/clock"
	"postpoint/internal/leader/jobtable"
	"postpoint/internal/leader/machinetable"
	"postpoint/internal/leader/term"
	"postpoint/internal/ordered"
)

// The arithmetic of cancellations
//
// A cancelled task must be gone within cancel_s of the time at which a controller confirmed the
// cancellation to a user, whichever controllers, machines and outside systems fail in between.
// docs/rules.md proves that it is, under the same title; these are the quantities of the proof in the
// code:
//
//	T  State.CancellationsKnownUntil  the leader knows every cancellation confirmed before T
//	S  State.SoleLeaderUntil          no other leader was elected before S
//	K  Workers.RenewalWindow          cancel_s - lease_s - 1 s
//	C  Job.CancelConfirmedAt          when the cancellation of a job was confirmed, or somewhat earlier
//
// A worker stops all of its tasks lease_s after it sent the last heartbeat that a leader responded to.
// These rules for the leader follow:
//
//   - It responds to heartbeats until min(T, S) + K (State.RespondsUntil). A cancellation that it doesn't
//     know was confirmed after T, and its tasks are gone by T + K + lease_s = T + cancel_s - 1 s.
//   - After C + K, it responds to a heartbeat only if the response stops every task of the job that may
//     be on the machine (CommandSender.mayRenewLease). Either that response arrives, or the worker's
//     lease isn't renewed.
//   - Without its own lease, it sends nothing but stops of cancelled tasks (commandSet.addCancellations)
//     and releases of machines that hold them (Autoscaler.SendReleases): no later leader could decide
//     otherwise.
//   - It releases a machine whose worker hangs, and so doesn't stop its tasks, once the machine has been
//     silent for half of the lease (Cancellations.hangs): the more time is left, the longer the cloud may
//     be unavailable. Any other machine that doesn't stop its tasks is released at C + lease_s + 3 s, but
//     no later than C + cancel_s - MaxReleaseTime (Cancellations.ReleaseAt). When the lease of a silent
//     machine that holds cancelled tasks expires, it releases the machine at once
//     (HealthMonitor.expireLease).
//   - It treats silence as proof that a machine is empty only from Table.ProvenEmptyAt on: an earlier
//     leader has responded until its own min(T, S) + K, which is before this term's BegunAt + K.
//
// While the key-value store doesn't serve this controller, attestations advance T and S: every
// controller states which cancellations it has confirmed to users (Cancellations.RequestAttestations,
// State.AttestedAt).

// Cancellations ends the tasks of cancelled jobs in time, even while the key-value store doesn't serve
// this controller.
type Cancellations struct {
	*term.State
	jobs     *jobtable.Table
	machines *machinetable.Table
	commands *CommandSender
	// Releases releases machines to the cloud.
	Releases ReleaseSender
	attestationState
}

// ReleaseSender sends the scheduled releases of machines to the cloud.
type ReleaseSender interface {
	SendReleases()
}

// NewCancellations returns the component that ends the tasks of cancelled jobs.
func NewCancellations(term *term.State, jobs *jobtable.Table, machines *machinetable.Table,
	commands *CommandSender, attest Attester) *Cancellations {
	return &Cancellations{
		State:            term,
		jobs:             jobs,
		machines:         machines,
		commands:         commands,
		attestationState: attestationState{attest: attest},
	}
}

const (
	// MaxReleaseTime is how long the cloud may take to release a machine, including retries of refused
	// requests.
	MaxReleaseTime = 7 * clock.Second
	// releaseDelay is how long after the expiry of its lease a machine with cancelled tasks is
	// released.
	releaseDelay = 3 * clock.Second
)

// Begin forgets a request for attestations that was sent in an earlier term.
func (cn *Cancellations) Begin() { cn.attestationState = attestationState{attest: cn.attest} }

// EndCancelledTasks stops cancelled tasks by direct commands and releases the machines that don't execute
// them. It does so even without the leader's lease: neither these stops nor these releases can harm a
// later leader.
func (cn *Cancellations) EndCancelledTasks() {
	anyOnTime := sync.OnceValue(cn.machines.AnyMachineOnTime)
	for _, j := range ordered.ByKey(cn.jobs.ByID) {
		if j.MustNotRun() {
			cn.endPlacements(j, anyOnTime)
		}
	}
	cn.Releases.SendReleases()
}

// endPlacements stops the remaining tasks of a job that must not run. anyOnTime reports whether any machine
// sends heartbeats on time. If none does, it is more likely that this controller receives nothing than that
// all machines hang, and only machines on which nothing else runs are released early.
func (cn *Cancellations) endPlacements(j *jobtable.Job, anyOnTime func() bool) {
	for _, p := range ordered.ByKey(j.Placements) {
		if p.HostCell() != "" {
			continue // the host cell ends it, at the latest when its permission expires
		}
		m := cn.machines.GetOrAdd(p.Machine)
		switch {
		case !j.MustEnd() || m.Overdue:
		case cn.hangs(m) && (anyOnTime() || cn.onlyEndingTasks(m)):
			cn.machines.ScheduleOverdueRelease(m, machinetable.ReleaseSilentCancelled)
		case cn.Now() > cn.ReleaseAt(j):
			cn.machines.ScheduleOverdueRelease(m, machinetable.ReleaseCancelledRemaining)
		}
		if !m.Releasing {
			cn.commands.Push(m)
			cn.probeIfSilent(m)
		}
	}
}

// probeIfSilent asks a machine whose heartbeat is late for one, unless a command is in flight or has failed
// since its last heartbeat. It may have no commands that would show whether it responds.
func (cn *Cancellations) probeIfSilent(m *machinetable.Machine) {
	if m.CommandInFlight || m.Address == "" || m.UnansweredAt > m.HeartbeatAt {
		return
	}
	if cn.machines.HeartbeatMissed(m) {
		cn.commands.Probe(m)
	}
}

// hangs reports whether a machine has been silent for half of the lease, so that its worker probably
// hangs. Its other tasks are lost with the machine, which would be too much for a shorter silence.
func (cn *Cancellations) hangs(m *machinetable.Machine) bool {
	return cn.machines.SilentFor(m, cn.Settings.Deployment.Workers.Lease()/2)
}

// onlyEndingTasks reports whether every placement on a machine is of a job that must end, so that nothing is
// lost with the machine.
func (cn *Cancellations) onlyEndingTasks(m *machinetable.Machine) bool {
	for id := range m.Placements {
		if j := cn.jobs.ByID[id]; j == nil || !j.MustEnd() {
			return false
		}
	}
	return true
}

// ReleaseAt returns when the leader releases a machine that holds tasks of a cancelled job, silent or
// not. By then the lease has expired on a worker that runs but can't be reached, and the worker has
// stopped its tasks; a worker that hangs holds its tasks until the machine is gone. A new leader first
// gives workers time to send a heartbeat, as long as the release can still be in time.
func (cn *Cancellations) ReleaseAt(j *jobtable.Job) clock.Micros {
	if j.Permission != nil {
		return cn.releaseHostedAt(j)
	}
	w := cn.Settings.Deployment.Workers
	latest := j.CancelConfirmedAt + clock.FromSeconds(w.CancelS) - MaxReleaseTime
	leaseExpired := j.CancelConfirmedAt + w.Lease() + releaseDelay
	heartbeatsDue := cn.BegunAt + jobtable.FirstHeartbeatWait
	return max(min(leaseExpired, latest), min(heartbeatsDue, latest))
}

// releaseHostedAt returns when the leader releases a machine that holds tasks of a hosted job which
// must end. A leader that never had a permission doesn't know when the last one expired: if the record
// is closed, that may have been long ago; otherwise the leader assumes that it was TakeoverTime before
// its term began.
func (cn *Cancellations) releaseHostedAt(j *jobtable.Job) clock.Micros {
	leaseExpiry := cells.LeaseExpiryTime(cn.Settings.Deployment.Workers.Lease())
	switch {
	case j.Permission.ExpiresAt() > 0:
		return j.Permission.ExpiresAt() + leaseExpiry
	case j.Hosted.Closed && j.ClosedAtChange == 0:
		return cn.BegunAt + jobtable.FirstHeartbeatWait
	}
	return cn.BegunAt + leaseExpiry - machinetable.TakeoverTime
}
