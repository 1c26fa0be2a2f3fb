package scaling

import "postpoint/internal/clock"

// unneededIdleTimeout is how long the cluster keeps an idle machine that is cordoned, or that no
// recently seen class could use. It bridges a short gap in the work; beyond it, the cluster would
// pay for the machine in vain.
const unneededIdleTimeout = 15 * clock.Second

// IdleMachine is a machine without tasks.
type IdleMachine struct {
	Pool CapacityPool
	// IdleFor is how long the machine has had no tasks.
	IdleFor clock.Micros
	// Needed reports whether tasks of a recently seen class could use the machine.
	Needed bool
	// Cordoned machines take no new tasks.
	Cordoned bool
}

// IdleTimeout returns how long to keep an idle machine. For a machine that may be needed, that is
// the boot time of its type: replacing it costs a boot, during which the cluster pays for the new
// machine and the work waits.
func (view *CloudView) IdleTimeout(machine IdleMachine) clock.Micros {
	if !machine.Needed || machine.Cordoned {
		return unneededIdleTimeout
	}
	return clock.FromSeconds(view.Types[machine.Pool.Type].BootS)
}
