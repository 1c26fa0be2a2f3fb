package controller

import (
	"fmt"
	"runtime"
	"runtime/debug"

	"postpoint/internal/peer"
	"postpoint/internal/settings"
	"postpoint/internal/workerclient"
)

const (
	// outgoingSockets are for requests to the key-value store and the cloud, with some to spare.
	outgoingSockets = 64
	// reservedSockets are left of the machine's limit for what this process connects to and for its
	// peers: neither workers nor users can lock out the key-value store.
	reservedSockets = workerclient.MaxConnections + 2*peer.MaxConnections + outgoingSockets
	// minClientConnections is the least with which users, health checks and a few workers are served
	// side by side.
	minClientConnections = 64
	// MinSockets is the least with which a controller runs.
	MinSockets = reservedSockets + minClientConnections
	// MinMemoryMB likewise: an idle controller holds some 13 MB, and each client connection takes
	// about 20 kB while it is served.
	MinMemoryMB = 24
	// MinCPU is the least part of a core with which renewals keep their pace: a renewal and what it
	// brings take well below a millisecond, and there is one every 0.8 s.
	MinCPU = 0.005
	// heapShare of the memory limit is the collector's; the rest is for stacks, the C library and
	// the binary.
	heapShare = 0.75
	gcPercent = 300
)

// LimitError is a limit of the machine with which a controller can't run.
type LimitError struct {
	// Field is the one in deployment.machine_limits of the settings.
	Field          string
	Value, Minimum float64
	// Condition is what needs the minimum, "" if every controller does.
	Condition string
}

// Error names the field in full, its value and what is needed.
func (e *LimitError) Error() string {
	condition := e.Condition
	if condition != "" {
		condition = " " + condition
	}
	return fmt.Sprintf("deployment.machine_limits.%s: %v is too small%s, at least %v is needed",
		e.Field, e.Value, condition, e.Minimum)
}

// CheckLimits returns a *LimitError for a machine that is too small to run a controller at all.
func CheckLimits(l settings.MachineLimits) error {
	for _, limit := range []LimitError{
		{Field: "cpu", Value: l.CPU, Minimum: MinCPU},
		{Field: "memory_mb", Value: l.MemoryMb, Minimum: MinMemoryMB},
		{Field: "max_sockets", Value: float64(l.MaxSockets), Minimum: MinSockets},
	} {
		if limit.Value < limit.Minimum {
			return &limit
		}
	}
	return nil
}

// checkCellSockets returns a *LimitError if there are cells and too few sockets for them.
func (o Options) checkCellSockets(l settings.MachineLimits) error {
	const least = MinSockets + peer.MaxCellConnections
	if o.Cells == nil || l.MaxSockets >= least {
		return nil
	}
	return &LimitError{Field: "max_sockets", Value: float64(l.MaxSockets), Minimum: least,
		Condition: "with cells"}
}

// clientConnections is how many connections of users, workers and health checks the machine has
// sockets for.
func (o Options) clientConnections(l settings.MachineLimits) int {
	if o.Cells != nil {
		return l.MaxSockets - reservedSockets - peer.MaxCellConnections
	}
	return l.MaxSockets - reservedSockets
}

// ApplyLimits fits the Go runtime to the machine: with a part of one core, more threads would only
// take turns on it.
func ApplyLimits(l settings.MachineLimits) {
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(l.MemoryMb * 1e6 * heapShare))
	debug.SetGCPercent(gcPercent)
}
