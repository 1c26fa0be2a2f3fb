// Package simulation runs whole deployments in one goroutine on a virtual clock: real controllers against
// fakes of the key-value store, the cloud, the workers, the users and other cells. It delays, loses, holds
// back and repeats messages. The same seed always gives the same sequence of events.
//
// The package owns the virtual clock with its event queue, the fakes, the fault injection and the checks of
// the protocol's rules. It contains no controller logic, and nothing in it runs in production. Its callers
// are its own tests of whole controllers, the tests of internal/controller, which connect the fakes to
// controllers in other processes over HTTP (Loopback), and cmd/loadtool.
package simulation

import (
	"container/heap"
	"math/rand/v2"

	"postpoint/internal/clock"
)

// event is a function to run at a time of the virtual clock; seq orders events of the same time.
type event struct {
	at  clock.Micros
	seq int
	do  func()
}

// eventQueue is a heap of events with the earliest on top.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push appends an event for container/heap.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop removes the last event for container/heap.
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// World is a simulated environment: the virtual clock, the scheduled events, the source of random numbers
// and the rule violations so far.
type World struct {
	now    clock.Micros
	seq    int
	events eventQueue
	Rand   *rand.Rand
	// MessageCost is the processor time that a process needs for each message; a process handles one
	// message at a time. 0 models unlimited processors.
	MessageCost clock.Micros
	// Recorder, if set, receives all messages of the controllers that start afterwards.
	Recorder Recorder
	// Violations describes each broken rule, in the order of detection.
	Violations []string
}

// randomStream is the second half of the seed of the random number generator; it is the same in all worlds.
const randomStream = 0x70707473

// NewWorld returns a world whose clock starts at one second.
func NewWorld(seed uint64) *World {
	return &World{now: clock.Second, Rand: rand.New(rand.NewPCG(seed, randomStream))}
}

// After schedules a function to run after a delay.
func (w *World) After(d clock.Micros, do func()) {
	w.seq++
	heap.Push(&w.events, event{w.now + max(d, 0), w.seq, do})
}

// Every runs a function now and then periodically.
func (w *World) Every(period clock.Micros, do func()) {
	do()
	w.After(period, func() { w.Every(period, do) })
}

// Run advances the virtual clock to a time and runs all events that are due by then.
func (w *World) Run(until clock.Micros) {
	for len(w.events) > 0 && w.events[0].at <= until {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	w.now = until
}

// Now returns the time of the virtual clock.
func (w *World) Now() clock.Micros { return w.now }

// Between draws a random time from lo to hi, both included.
func (w *World) Between(lo, hi clock.Micros) clock.Micros {
	return lo + clock.Micros(w.Rand.Int64N(int64(hi-lo)+1))
}

// chance returns true with probability p.
func (w *World) chance(p float64) bool { return w.Rand.Float64() < p }
