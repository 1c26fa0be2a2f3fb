package term

import (
	"testing"

	"postpoint/internal/actor/actortest"
	"postpoint/internal/clock"
	"postpoint/internal/jobrecord"
	"postpoint/internal/settings"
)

// suspendingMailbox is a mailbox whose process is suspended for some time after it has read a clock.
type suspendingMailbox struct {
	actortest.SynchronousMailbox
	// readings counts the readings of the clocks, and the process is suspended for pause after the reading
	// with the number suspendAfter.
	readings, suspendAfter int
	pause                  clock.Micros
}

// read returns the time of a reading, after which the process may be suspended.
func (m *suspendingMailbox) read() clock.Micros {
	now := m.Now
	if m.readings++; m.readings == m.suspendAfter {
		m.Now += m.pause
	}
	return now
}

// Monotonic implements actor.Mailbox.
func (m *suspendingMailbox) Monotonic() clock.Micros { return m.read() }

// TimeOfDay implements actor.Mailbox.
func (m *suspendingMailbox) TimeOfDay() clock.Micros { return m.read() }

// Guards against cancelled tasks that outlive cancel_s because the leader's process was suspended while it
// computed when the cancellation was confirmed: the result must not be later than the confirmation, wherever
// the process is suspended.
func TestCancellationIsNoLaterIfProcessIsSuspended(t *testing.T) {
	const confirmedAt = 100 * clock.Second
	record := &jobrecord.Record{CancelledAt: int64(confirmedAt)}
	for suspendAfter := range 4 {
		mailbox := &suspendingMailbox{suspendAfter: suspendAfter, pause: 45 * clock.Second}
		mailbox.Now = confirmedAt + 3*clock.Second
		state := New(mailbox, &settings.Settings{}, nil)
		if got := state.CancellationConfirmedAt(record); got > confirmedAt {
			t.Errorf("suspended after reading %d: confirmed at %.3f s, want %.3f s or earlier", suspendAfter,
				got.Seconds(), confirmedAt.Seconds())
		}
	}
}
