package fleet

import (
	"testing"

	"postpoint/internal/clock"
	"postpoint/internal/protocol"
)

// Idle machines are kept for a boot if they may be needed, and for a short time if not.
func TestIdleMachinesAreKeptForABootIfNeeded(t *testing.T) {
	const bootS = 40
	m := &Market{Types: map[string]protocol.MachineType{"t": {Name: "t", BootS: bootS}}}
	for _, test := range []struct {
		name string
		idle Idle
		want clock.Micros
	}{
		{"needed", Idle{Needed: true}, bootS * clock.Second},
		{"not needed", Idle{}, unusableIdleTime},
		{"needed and cordoned", Idle{Needed: true, Cordoned: true}, unusableIdleTime},
	} {
		t.Run(test.name, func(t *testing.T) {
			test.idle.Kind = Kind{Type: "t", Zone: "a"}
			if got := m.Keep(test.idle); got != test.want {
				t.Errorf("kept for %d microseconds, want %d", got, test.want)
			}
		})
	}
}
