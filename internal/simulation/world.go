// Package simulation simulates whole deployments in one goroutine on a virtual clock: real controllers
// against fakes of the key-value store, the cloud, the workers, the users and other cells, with messages
// delayed, lost, held back and repeated. The same seed gives the same course of events.
//
// It owns the virtual clock with its event queue, the fakes, the injection of faults, and the checks of
// the protocol's rules on everything that happens. It doesn't own any behaviour of controllers, and
// nothing in it runs in production. Its callers are its own tests of whole controllers, the tests of
// internal/controller, which connect the fakes to controllers in other processes over HTTP (Loopback),
// and cmd/loadtool.
package simulation

import (
	"container/heap"
	"math/rand/v2"

	"postpoint/internal/clock"
)

// event is something that happens at a time; seq orders events of the same time.
type event struct {
	at  clock.Micros
	seq int
	do  func()
}

// eventQueue is a heap of events, the next first.
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

// World is a simulated environment: the virtual clock, the events to come, the source of random numbers
// and the broken rules.
type World struct {
	now    clock.Micros
	seq    int
	events eventQueue
	Rand   *rand.Rand
	// MessageCost is how long a process takes for each message, one after another; 0 for processors
	// that are never short.
	MessageCost clock.Micros
	// Recorder is told of all messages of controllers that start afterwards, if it is set.
	Recorder Recorder
	// Violations are the broken rules, in the order in which they were seen.
	Violations []string
}

// randomStream is the second half of every seed.
const randomStream = 0x70707473

// NewWorld returns a world whose clock stands at one second.
func NewWorld(seed uint64) *World {
	return &World{now: clock.Second, Rand: rand.New(rand.NewPCG(seed, randomStream))}
}

// After schedules an event.
func (w *World) After(d clock.Micros, do func()) {
	w.seq++
	heap.Push(&w.events, event{w.now + max(d, 0), w.seq, do})
}

// Every runs a function now and again after each period.
func (w *World) Every(period clock.Micros, do func()) {
	do()
	w.After(period, func() { w.Every(period, do) })
}

// Run handles the events up to a time.
func (w *World) Run(until clock.Micros) {
	for len(w.events) > 0 && w.events[0].at <= until {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	w.now = until
}

// Now is the time of the virtual clock.
func (w *World) Now() clock.Micros { return w.now }

// Between draws a time, both ends included.
func (w *World) Between(lo, hi clock.Micros) clock.Micros {
	return lo + clock.Micros(w.Rand.Int64N(int64(hi-lo)+1))
}

// chance draws an event of the given probability.
func (w *World) chance(p float64) bool { return w.Rand.Float64() < p }
