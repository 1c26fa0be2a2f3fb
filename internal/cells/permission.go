package cells

import (
	"postpoint/internal/clock"
	"postpoint/internal/settings"
)

// A host cell may start and keep a task only while it has the origin cell's permission. The permission is a
// lease that the host cell renews periodically. Its length follows from the setting cancel_s of the origin
// cell: see "How long a permission lasts" in docs/cells.md.
//
//	T         the origin cell's leader knows every cancellation confirmed before T
//	T + P     the permissions that it grants with this knowledge have expired
//	T + P + E no machine of the host cell runs the tasks any more: E is the host cell's MaxTerminationTime
//	          T + P + E + margin <= T + cancel_s
const (
	// leaseExpiryMargin is how long a leader waits after a lease has expired before it concludes that a
	// silent machine runs nothing.
	leaseExpiryMargin = clock.Second
	// driftDivisor allows for clocks that drift apart by up to 1/1000 of a lease.
	driftDivisor = 1000
	// machineReleaseTime is the time that the cloud may take to release a machine on which a task hangs.
	machineReleaseTime = 7 * clock.Second
	// permissionMargin covers clock drift, timer delays and the latency of responses.
	permissionMargin = clock.Second
	// MinPermission is long enough that two consecutive exchanges may fail before a permission expires.
	MinPermission = 4 * clock.Second
)

// LeaseExpiryTime returns the time after which a silent machine of a host cell runs no more tasks, counted
// from the leader's last response to it. It is the lease, plus clock drift and a margin.
func LeaseExpiryTime(lease clock.Micros) clock.Micros {
	return lease + lease/driftDivisor + leaseExpiryMargin
}

// MaxTerminationTime returns the longest time from the expiry of a permission until no machine of the host
// cell runs a task that needed the permission. lease is the lease of the host cell's workers.
func MaxTerminationTime(lease clock.Micros) clock.Micros {
	return LeaseExpiryTime(lease) + machineReleaseTime
}

// MaxPermission returns the longest duration of a permission for a host cell with the given
// MaxTerminationTime. The duration counts from the time up to which the origin cell's leader knows all
// cancellations.
func MaxPermission(origin settings.Workers, terminationTime clock.Micros) clock.Micros {
	return clock.FromSeconds(origin.CancelS) - terminationTime - permissionMargin
}

// DelegationExpiryTime returns the time after which no task of a delegation runs or can start, whatever the
// host cell does. It counts from the time up to which the origin cell's leader knew all cancellations when
// it granted the last permission.
func DelegationExpiryTime(origin settings.Workers) clock.Micros {
	return clock.FromSeconds(origin.CancelS)
}
