package scaling

import (
	"testing"

	"postpoint/internal/clock"
	"postpoint/internal/protocol"
)

// An idle machine that may be needed is kept for the boot time of its type, any other for a short
// time.
func TestIdleMachinesAreKeptForABootIfNeeded(t *testing.T) {
	const bootS = 40
	view := &CloudView{Types: map[string]protocol.MachineType{"t": {Name: "t", BootS: bootS}}}
	for _, test := range []struct {
		name string
		idle IdleMachine
		want clock.Micros
	}{
		{"needed", IdleMachine{Needed: true}, bootS * clock.Second},
		{"not needed", IdleMachine{}, unneededIdleTimeout},
		{"needed and cordoned", IdleMachine{Needed: true, Cordoned: true}, unneededIdleTimeout},
	} {
		t.Run(test.name, func(t *testing.T) {
			test.idle.Pool = CapacityPool{Type: "t", Zone: "a"}
			if got := view.IdleTimeout(test.idle); got != test.want {
				t.Errorf("kept for %d microseconds, want %d", got, test.want)
			}
		})
	}
}
