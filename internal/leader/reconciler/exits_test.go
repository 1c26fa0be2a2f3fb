package reconciler

import (
	"testing"

	"postpoint/internal/clock"
	"postpoint/internal/protocol"
)

// Each cause of an exit has only the effects that it proves: a fault of the job or the machine delays
// the job's next start, a refusal by the worker marks the machine as full, and an exit after which a
// gang can't be completed with the same attempt number breaks that attempt. A wrong effect would
// restart a failing job without a pause, or complete a gang whose other tasks have ended.
func TestEffectsOfExits(t *testing.T) {
	second := clock.Second
	for cause, want := range map[string]exitEffect{
		protocol.CauseDone:           {breaksAttempt: true},
		protocol.CauseStopped:        {breaksAttempt: true},
		protocol.CauseGangBroken:     {breaksAttempt: true},
		protocol.CauseGangIncomplete: {breaksAttempt: true, failedStart: true},
		protocol.CauseError:          {failedStart: true, startDelay: second, suspectsMachine: true},
		protocol.CauseNoCapacity:     {refused: true, failedStart: true, fullFor: 5 * second},
		protocol.CauseOtherAttempt: {refused: true, failedStart: true, startDelay: second,
			fullFor: 2 * second},
		protocol.CauseNoSuchTask:     {failedStart: true, startDelay: 2 * second},
		"a cause of a later version": {failedStart: true, startDelay: 2 * second},
	} {
		if got := effectOf(cause); got != want {
			t.Errorf("%s: effect %+v, want %+v", cause, got, want)
		}
	}
}
