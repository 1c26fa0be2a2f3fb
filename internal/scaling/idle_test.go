package scaling

import (
	"testing"

	"postpoint/internal/clock"
	"postpoint/internal/protocol"
)

// The cluster keeps an idle machine that may be needed for the boot time of its type: replacing it
// would cost a boot. It keeps any other machine, or one that is cordoned, for a short time, since it
// would pay for the machine in vain.
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
