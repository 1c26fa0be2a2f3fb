package scaling

import (
	"testing"

	"postpoint/internal/clock"
	"postpoint/internal/protocol"
)

// Idle machines are kept for a boot if they may be needed, and for a short time if not.
func TestIdleMachinesAreKeptForABootIfNeeded(t *testing.T) {
	const bootS = 40
	m := &CloudView{Types: map[string]protocol.MachineType{"t": {Name: "t", BootS: bootS}}}
	for _, test := range []struct {
		name string
		idle IdleMachine
		want clock.Micros
	}{
		{"needed", IdleMachine{Needed: true}, bootS * clock.Second},
		{"not needed", IdleMachine{}, unusableIdleTime},
		{"needed and cordoned", IdleMachine{Needed: true, Cordoned: true}, unusableIdleTime},
	} {
		t.Run(test.name, func(t *testing.T) {
			test.idle.Pool = CapacityPool{Type: "t", Zone: "a"}
			if got := m.IdleTimeout(test.idle); got != test.want {
				t.Errorf("kept for %d microseconds, want %d", got, test.want)
			}
		})
	}
}
