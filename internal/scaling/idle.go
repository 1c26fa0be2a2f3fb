package scaling

import "postpoint/internal/clock"

// unusableIdleTime is for how long an idle machine is kept that is cordoned, or that nothing
// seen lately could use. It bridges a short gap in the work; after that the machine is paid
// for in vain.
const unusableIdleTime = 15 * clock.Second

// IdleMachine is a machine without tasks.
type IdleMachine struct {
	Pool CapacityPool
	// IdleFor is how long the machine has been without tasks.
	IdleFor clock.Micros
	// Needed reports whether tasks of a class seen lately could use the machine.
	Needed bool
	// Cordoned machines take no new tasks.
	Cordoned bool
}

// IdleTimeout returns how long an idle machine is worth keeping: for the time of a boot, since
// renting it again costs one, during which it is paid for and its work waits.
func (m *CloudView) IdleTimeout(i IdleMachine) clock.Micros {
	if !i.Needed || i.Cordoned {
		return unusableIdleTime
	}
	return clock.FromSeconds(m.Types[i.Pool.Type].BootS)
}
