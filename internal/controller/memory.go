package controller

import "runtime/metrics"

// fullShare of the machine's memory is held when new jobs are refused: the collector keeps to
// heapShare of it while it can, so that more means that what is alive doesn't fit.
const fullShare = 0.85

// memoryFull returns a function that reports whether the process is near its machine's limit, at
// which it would be killed.
func memoryFull(limitMB float64) func() bool {
	samples := []metrics.Sample{
		{Name: "/memory/classes/total:bytes"},
		{Name: "/memory/classes/heap/released:bytes"},
	}
	return func() bool {
		metrics.Read(samples)
		held := samples[0].Value.Uint64() - samples[1].Value.Uint64()
		return float64(held) > limitMB*1e6*fullShare
	}
}
