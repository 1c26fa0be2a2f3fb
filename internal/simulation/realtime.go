package simulation

import (
	"context"
	"sync"
	"time"

	"postpoint/internal/clock"
)

// RealTime runs a world in real time, for controllers in other processes.
type RealTime struct {
	World     *World
	mu        sync.Mutex // guards the world and everything in it
	startedAt time.Time  // the real time that corresponds to the world's time 0
}

// Run makes the world's time follow real time until the context ends.
func (x *RealTime) Run(ctx context.Context) {
	x.startedAt = time.Now().Add(-x.World.now.Duration())
	for ctx.Err() == nil {
		x.Do(func() { x.World.Run(clock.Micros(time.Since(x.startedAt).Microseconds())) })
		time.Sleep(time.Millisecond)
	}
}

// Do runs a function with exclusive access to the world.
func (x *RealTime) Do(f func()) {
	x.mu.Lock()
	defer x.mu.Unlock()
	f()
}
