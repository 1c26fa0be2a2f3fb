package controller

import "runtime/metrics"

// fullMemoryShare is the share of the machine's memory above which the controller rejects new jobs. The
// garbage collector keeps the memory in use within heapShare as long as it can, so a use above this share
// means that the live objects don't fit.
const fullMemoryShare = 0.85

// memoryFull returns a function that reports whether the process is close to the machine's memory limit, at
// which the system would kill it.
func memoryFull(limitMB float64) func() bool {
	samples := []metrics.Sample{
		{Name: "/memory/classes/total:bytes"},
		{Name: "/memory/classes/heap/released:bytes"},
	}
	return func() bool {
		metrics.Read(samples)
		held := samples[0].Value.Uint64() - samples[1].Value.Uint64()
		return float64(held) > limitMB*1e6*fullMemoryShare
	}
}
