package leader

import (
	"testing"

	"postpoint/internal/admission"
	"postpoint/internal/clock"
	"postpoint/internal/jobrecord"
	"postpoint/internal/protocol"
)

// attestedExchange is a leader's request for an attestation of one other controller, on a time line that
// begins when the leader last knew all cancellations. The store serves nobody since then.
type attestedExchange struct {
	// confirmedAt is when the controller confirms the cancellation of job-1, startedAt when its process
	// started.
	confirmedAt, startedAt clock.Micros
	// sentAt is when the leader sends the request, requestTime how long the request takes until the
	// controller handles it, and responseTime how long the response takes until the leader handles it.
	sentAt, requestTime, responseTime clock.Micros
	// clockRate is the speed of the controller's clock relative to the leader's.
	clockRate float64
}

// attestation returns the controller's attestation of a window of its clock, as package admission counts it.
func (e *attestedExchange) attestation(window clock.Micros) admission.Attestation {
	onOwnClock := func(elapsed clock.Micros) clock.Micros { return clock.Micros(float64(elapsed) * e.clockRate) }
	handledAt := e.sentAt + e.requestTime
	a := admission.Attestation{Age: onOwnClock(handledAt - e.startedAt)}
	age := onOwnClock(handledAt - e.confirmedAt)
	remembers := e.confirmedAt >= e.startedAt && e.confirmedAt <= handledAt
	if remembers && age <= window {
		a.Cancelled = []admission.CancelledJob{{Job: "job-1", Age: age}}
	}
	return a
}

// outcome is what the leader knows after an exchange.
type outcome struct {
	// attested reports that the leader knows all cancellations up to the request.
	attested bool
	// cancelled reports that the leader knows of the cancellation, which was at cancelledAt or later.
	cancelled   bool
	cancelledAt clock.Micros
}

// play carries out the exchange and returns what the leader knows afterwards.
func (e *attestedExchange) play() outcome {
	var window clock.Micros
	var respond func(attestations []admission.Attestation, ok bool)
	l, mailbox := newAttestedLeader(func(w clock.Micros, done func([]admission.Attestation, bool)) {
		window, respond = w, done
	})
	content := jobrecord.New(protocol.JobSpec{ID: "job-1", Shape: protocol.ShapeArray, Tasks: 1}, 1)
	l.reader.Apply(jobrecord.Key("job-1"), content.Encode(), 5)
	known := mailbox.Now
	l.state.RecordsKnownUntil, l.state.Term.RenewedAt, l.state.Term.ValidUntil = known, known, known
	mailbox.Now = known + e.sentAt
	l.cancellations.RequestAttestations()
	mailbox.Now += e.requestTime + e.responseTime
	respond([]admission.Attestation{e.attestation(window)}, true)
	j := l.jobs.ByID["job-1"]
	return outcome{
		attested:    l.state.AttestedAt == known+e.sentAt,
		cancelled:   j.Cancelled,
		cancelledAt: j.CancelConfirmedAt - known,
	}
}

// longestExchange is how long an exchange between controllers may take in all: see package peer.
const longestExchange = 1200 * clock.Millisecond

// check plays the exchange, and once more with a controller that has started again after it confirmed the
// cancellation.
func (e attestedExchange) check(t *testing.T) {
	t.Helper()
	got := e.play()
	clockDrift := (e.sentAt + e.requestTime) / 1000
	switch {
	case got.attested && !got.cancelled:
		t.Fatalf("%+v: the leader counts the cancellation as known but doesn't know it", e)
	case got.cancelled && got.cancelledAt > e.confirmedAt+clockDrift:
		t.Fatalf("%+v: cancelled at %d us for the leader, want no later than the confirmation", e, got.cancelledAt)
	case e.requestTime+e.responseTime <= longestExchange && !got.attested:
		t.Fatalf("%+v: the leader counts nothing as known, want the attestation used", e)
	}
	e.startedAt = e.confirmedAt + 1
	if e.play().attested {
		t.Fatalf("%+v: the leader relies on a process that started too late", e)
	}
}

// The leader must not count cancellations as known that an attestation leaves out, however long the request
// or the response takes, whichever clock is faster, and if the controller that confirmed the cancellation has
// started again. Otherwise it renews the leases of workers whose tasks were cancelled more than cancel_s ago.
// An exchange of ordinary duration must succeed, so that the workers' tasks outlast an outage of the store.
func TestAttestationsMissNoCancellation(t *testing.T) {
	const (
		step         = 50 * clock.Millisecond
		sentAt       = 4 * clock.Second
		earlierStart = -60 * clock.Second
	)
	times := []clock.Micros{0, step, 3 * step, 8 * step, longestExchange, 2 * clock.Second, 30 * clock.Second}
	for _, rate := range []float64{0.9995, 1, 1.0005} {
		for _, requestTime := range times {
			for _, responseTime := range times {
				for confirmedAt := clock.Micros(1); confirmedAt <= sentAt; confirmedAt += step {
					attestedExchange{confirmedAt, earlierStart, sentAt, requestTime, responseTime, rate}.check(t)
				}
			}
		}
	}
}
