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
	// outgoingSockets is the number of sockets for requests to the key-value store and the cloud, with some
	// headroom.
	outgoingSockets = 64
	// reservedSockets is the part of the machine's socket limit that is reserved for outgoing connections and
	// for peers, so that connections of workers and users can't block requests to the key-value store.
	reservedSockets = workerclient.MaxConnections + 2*peer.MaxConnections + outgoingSockets
	// minClientConnections is the smallest number of client connections with which a controller serves users,
	// health checks and a few workers at the same time.
	minClientConnections = 64
	// MinSockets is the smallest socket limit with which a controller runs.
	MinSockets = reservedSockets + minClientConnections
	// MinMemoryMB is the smallest memory limit with which a controller runs: an idle controller uses about
	// 13 MB, and each client connection takes about 20 kB while the controller serves it.
	MinMemoryMB = 24
	// MinCPU is the smallest share of a core with which a controller renews its lease in time: a renewal and
	// the work that follows it take well below a millisecond, and there is one every 0.8 s.
	MinCPU = 0.005
	// heapShare is the share of the memory limit that the garbage collector may use. The rest is for stacks,
	// the C library and the binary.
	heapShare = 0.75
	// gcPercent is the growth of the heap, in percent, after which a garbage collection starts.
	gcPercent = 300
)

// LimitError reports a limit of the machine that is too low for a controller.
type LimitError struct {
	// Field is the name of the limit in deployment.machine_limits of the settings.
	Field          string
	Value, Minimum float64
	// Condition names the feature that requires the minimum, "" if every controller does.
	Condition string
}

// Error names the field by its full path, its value and the minimum.
func (e *LimitError) Error() string {
	condition := e.Condition
	if condition != "" {
		condition = " " + condition
	}
	return fmt.Sprintf("deployment.machine_limits.%s: %v is too small%s, at least %v is needed",
		e.Field, e.Value, condition, e.Minimum)
}

// CheckLimits returns a *LimitError if the machine is too small for any controller.
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

// checkCellSockets returns a *LimitError if there are cells and too few sockets for connections with them.
func (o Options) checkCellSockets(l settings.MachineLimits) error {
	const minimum = MinSockets + peer.MaxCellConnections
	if o.Cells == nil || l.MaxSockets >= minimum {
		return nil
	}
	return &LimitError{Field: "max_sockets", Value: float64(l.MaxSockets), Minimum: minimum,
		Condition: "with cells"}
}

// clientConnections returns the number of sockets for connections of users, workers and health checks.
func (o Options) clientConnections(l settings.MachineLimits) int {
	if o.Cells != nil {
		return l.MaxSockets - reservedSockets - peer.MaxCellConnections
	}
	return l.MaxSockets - reservedSockets
}

// ApplyLimits adapts the Go runtime to the machine. It sets GOMAXPROCS to 1 because a controller has only a
// share of one core, on which several threads would not run in parallel.
func ApplyLimits(l settings.MachineLimits) {
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(l.MemoryMb * 1e6 * heapShare))
	debug.SetGCPercent(gcPercent)
}
