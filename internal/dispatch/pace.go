package dispatch

import (
	"postpoint/internal/clock"
	"postpoint/internal/protocol"
)

const (
	classWeight   = 0.1 // of one run in the average of its class
	machineWeight = 0.3 // of one run in the average of its machine
	// Estimates are often wrong by half: a few runs say nothing of a machine,
	// and neither does a moderate excess.
	pacedEnough = 4
	slowPace    = 1.6
)

// notePace learns from a completed run how a machine does beside others. The
// owners' estimates are only used to compare like with like: what all of them
// get wrong is in the average of the class.
func (d *Dispatch) notePace(m *machine, s *protocol.JobSpec, ran clock.Micros) {
	u, known := d.classSeen[s.Class]
	if !known || s.EstimateS <= 0 || ran <= 0 {
		return
	}
	ratio := ran.Seconds() / s.EstimateS
	if u.pace == 0 {
		u.pace = ratio
	}
	against := ratio / u.pace
	u.pace += classWeight * (ratio - u.pace)
	d.classSeen[s.Class] = u
	if m.paced == 0 {
		m.pace = 1
	}
	m.paced++
	m.viewStale = true
	m.pace += machineWeight * (against - m.pace)
}

// slowness is by how much longer tasks take on a machine than on others, 0 if
// that isn't clear. Slow machines are used last; they aren't returned for it,
// since most recover.
func (m *machine) slowness() float64 {
	if m.paced < pacedEnough || m.pace < slowPace {
		return 0
	}
	return m.pace - 1
}
