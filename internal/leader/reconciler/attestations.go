package reconciler

import (
	"log/slog"
	"slices"

	"postpoint/internal/admission"
	"postpoint/internal/clock"
	"postpoint/internal/leader/term"
	"postpoint/internal/protocol"
)

// Attester asks every controller, this one included, which cancellations it has confirmed to users in
// the given window. Each controller counts the window back from when it handles the request. ok means
// that all of them have responded.
type Attester func(window clock.Micros, done func(attestations []admission.Attestation, ok bool))

const (
	// attestAfter is the age of the records beyond which the leader asks for attestations. It is longer
	// than the watch of the records takes to confirm them.
	attestAfter = 2*term.WatchTimeout + clock.Second
	// maxAttestationTime is the longest time from a request for attestations to the last response for
	// which the window allows. An exchange between controllers takes less (package peer); a leader whose
	// own messages wait for longer refuses heartbeats anyway.
	maxAttestationTime = 5 * clock.Second
	// clockDriftDivisor is the inverse of the highest assumed drift between the monotonic clocks of two
	// controllers.
	clockDriftDivisor = 1000
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

// attestationGap is the reason why the attestations that a leader received don't cover the whole time since
// CancellationsKnownUntil.
type attestationGap string

const (
	coverageUnknown attestationGap = ""
	noGap           attestationGap = "none"
	gapNoResponse   attestationGap = "a controller gave no attestation"
	gapLate         attestationGap = "the responses took too long"
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
	window := onOtherClock(askedAt + maxAttestationTime - cn.CancellationsKnownUntil())
	cn.attest(window, term.Guarded2(cn.State, func(attestations []admission.Attestation, ok bool) {
		cn.handleAttestations(attestations, ok, askedAt, window)
	}))
}

// onOtherClock returns the longest time that another controller's clock may measure while this
// controller's clock measures the given time.
func onOtherClock(elapsed clock.Micros) clock.Micros { return elapsed + elapsed/clockDriftDivisor }

// handleAttestations applies the attestations that were requested at askedAt. complete reports that all
// controllers have responded. A request may arrive late, so a controller may have counted the window back
// from any time between askedAt and now. The attestations cover the whole time since
// CancellationsKnownUntil only if the window reaches back to it even from now.
func (cn *Cancellations) handleAttestations(attestations []admission.Attestation, complete bool,
	askedAt, window clock.Micros) {
	cn.attesting = false
	if epoch := highestEpoch(attestations); epoch > cn.Term.Epoch {
		slog.Info("another controller was elected", "epoch", cn.Term.Epoch, "elected_epoch", epoch)
		cn.Depose(epoch)
		return
	}
	cancelled := cn.applyAttested(attestations, askedAt)
	required := onOtherClock(cn.Now() - cn.CancellationsKnownUntil())
	gap := gapIn(attestations, complete, window, required)
	slog.Debug("attestations received", "window_s", window.Seconds(), "required_s", required.Seconds(),
		"took_s", (cn.Now() - askedAt).Seconds(), "responses", len(attestations), "cancelled_jobs", cancelled,
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

// applyAttested marks the jobs whose cancellation a controller has confirmed, and returns their number. The
// controllers measured the ages later than askedAt, so that the marked times are no later than the
// confirmations.
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

// gapIn returns why attestations for a window don't cover the required time before now. complete reports
// that all controllers have responded.
func gapIn(attestations []admission.Attestation, complete bool,
	window, required clock.Micros) attestationGap {
	switch {
	case !complete:
		return gapNoResponse
	case window < required:
		return gapLate
	case slices.ContainsFunc(attestations, func(a admission.Attestation) bool { return a.Age < required }):
		return gapRestart
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
