// Package actor runs the parts of a process that own state: each has a mailbox whose messages are
// handled one after another, so that its state needs no locks. An actor runs until the process ends.
package actor

import (
	"sync"
	"time"

	"postpoint/internal/clock"
)

// Mailbox takes messages for one actor. A message is a function that runs alone among all messages
// of its mailbox.
type Mailbox interface {
	clock.Clock
	// Post queues a message. It may be called from any goroutine and never blocks.
	Post(message func())
	// After posts a message after a delay.
	After(delay clock.Micros, message func())
}

// mailbox is a Mailbox with a goroutine that handles its messages.
type mailbox struct {
	clock.Clock
	mu     sync.Mutex
	queue  []func()
	signal chan struct{} // holds one element while the queue may not be empty
}

// New starts an actor with a goroutine of its own. The queue is unbounded because senders are
// bounded instead: requests of users and workers by the listener's limit, everything else by one
// outstanding call per purpose.
func New(c clock.Clock) Mailbox {
	m := &mailbox{Clock: c, signal: make(chan struct{}, 1)}
	go m.run()
	return m
}

// Post implements Mailbox.
func (m *mailbox) Post(message func()) {
	m.mu.Lock()
	m.queue = append(m.queue, message)
	m.mu.Unlock()
	select {
	case m.signal <- struct{}{}:
	default: // the actor has been signaled already
	}
}

// After implements Mailbox.
func (m *mailbox) After(delay clock.Micros, message func()) {
	time.AfterFunc(delay.Duration(), func() { m.Post(message) })
}

func (m *mailbox) run() {
	for range m.signal {
		for _, message := range m.take() {
			message()
		}
	}
}

// take empties the queue.
func (m *mailbox) take() []func() {
	m.mu.Lock()
	defer m.mu.Unlock()
	batch := m.queue
	m.queue = nil
	return batch
}
