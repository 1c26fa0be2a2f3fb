package reconciler

import (
	"log/slog"

	"postpoint/internal/admission"
	"postpoint/internal/clock"
	"postpoint/internal/leader/term"
	"postpoint/internal/protocol"
)

// Attester asks every controller, this one included, which cancellations it has confirmed to users in
// the given window before now. ok means that all of them have responded.
type Attester func(window clock.Micros, done func(attestations []admission.Attestation, ok bool))

const (
	// attestAfter is the age of the records beyond which the leader asks for attestations. It is longer
	// than the watch of the records takes to confirm them.
	attestAfter = 2*term.WatchTimeout + clock.Second
	// attestMargin makes the window of an attestation overlap with the time whose cancellations are
	// known.
	attestMargin = 100 * clock.Millisecond
)

// attestationState is the state of the requests for attestations.
type attestationState struct {
	// attest asks all controllers for attestations.
	attest Attester
	// attesting reports that responses to attest are outstanding.
	attesting bool
	// lastGap is the gap of the last attestations, coverageUnknown before the first ones of a term.
	lastGap attestationGap
}

// attestationGap is the reason why the attestations that a leader received don't cover their whole window.
type attestationGap string

const (
	coverageUnknown attestationGap = ""
	noGap           attestationGap = "none"
	gapNoResponse   attestationGap = "a controller gave no attestation"
	gapRestart      attestationGap = "a controller has started since"
)

// RequestAttestations asks the controllers for attestations when the key-value store doesn't serve this
// one. During an outage of the whole store no controller can accept a cancellation or win an election.
// If all controllers attest what they have confirmed to users since the last known state, the tasks of
// the workers may continue for as long as the outage lasts. A controller that has started since then,
// or doesn't respond, can't attest that.
func (cn *Cancellations) RequestAttestations() {
	askedAt := cn.Now()
	if cn.Leads() && askedAt < cn.RecordsKnownUntil+attestAfter {
		cn.lastGap = coverageUnknown
		return
	}
	if cn.attesting || !cn.Loaded {
		return
	}
	cn.attesting = true
	window := askedAt - cn.CancellationsKnownUntil()
	window += window/1000 + attestMargin // clocks drift
	cn.attest(window, term.Guarded2(cn.State, func(attestations []admission.Attestation, ok bool) {
		cn.handleAttestations(attestations, ok, askedAt, window)
	}))
}

// handleAttestations applies the attestations for the window before askedAt. complete reports that all
// controllers have responded.
func (cn *Cancellations) handleAttestations(attestations []admission.Attestation, complete bool,
	askedAt, window clock.Micros) {
	cn.attesting = false
	if epoch := highestEpoch(attestations); epoch > cn.Term.Epoch {
		slog.Info("another controller was elected", "epoch", cn.Term.Epoch, "elected_epoch", epoch)
		cn.Depose(epoch)
		return
	}
	cancelled := cn.applyAttested(attestations, askedAt)
	gap := gapIn(attestations, complete, window)
	slog.Debug("attestations received", "window_s", window.Seconds(), "took_s",
		(cn.Now() - askedAt).Seconds(), "responses", len(attestations), "cancelled_jobs", cancelled,
		"gap", string(gap))
	cn.recordGap(gap)
	if gap == noGap {
		cn.AttestedAt = askedAt
	}
	cn.EndCancelledTasks()
}

// highestEpoch returns the highest epoch in the attestations.
func highestEpoch(attestations []admission.Attestation) protocol.Epoch {
	highest := protocol.Epoch(0)
	for _, a := range attestations {
		highest = max(highest, a.Epoch)
	}
	return highest
}

// applyAttested marks the jobs whose cancellation a controller has confirmed, and returns their number.
func (cn *Cancellations) applyAttested(attestations []admission.Attestation, askedAt clock.Micros) int {
	cancelled := 0
	for _, a := range attestations {
		cancelled += len(a.Cancelled)
		for _, c := range a.Cancelled {
			if j := cn.jobs.ByID[c.Job]; j != nil {
				cn.jobs.MarkCancelled(j, askedAt-c.Age)
			}
		}
	}
	return cancelled
}

// gapIn returns why attestations don't cover their window. complete reports that all controllers have
// responded.
func gapIn(attestations []admission.Attestation, complete bool, window clock.Micros) attestationGap {
	if !complete {
		return gapNoResponse
	}
	for _, a := range attestations {
		if a.Age < window {
			return gapRestart
		}
	}
	return noGap
}

// recordGap logs when attestations become complete or incomplete.
func (cn *Cancellations) recordGap(gap attestationGap) {
	if gap == cn.lastGap {
		return
	}
	cn.lastGap = gap
	if gap == noGap {
		slog.Info("all controllers attest, leases are renewed without the key-value store")
		return
	}
	slog.Info("attestations incomplete, leases will expire", "reason", string(gap))
}
