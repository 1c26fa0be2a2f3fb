// Package actor runs actors: components that own state and handle the messages in their mailbox one after
// another, so that the state needs no locks. An actor runs until the process ends.
package actor

import (
	"sync"
	"time"

	"postpoint/internal/clock"
)

// Mailbox receives the messages for one actor. A message is a function; the actor never runs two messages of
// a mailbox at the same time.
type Mailbox interface {
	clock.Clock
	// Post queues a message. It may be called from any goroutine and never blocks.
	Post(message func())
	// After posts a message after a delay.
	After(delay clock.Micros, message func())
}

// mailbox is a Mailbox with a goroutine that runs its messages.
type mailbox struct {
	clock.Clock
	mu     sync.Mutex
	queue  []func()
	signal chan struct{} // has capacity 1; an element means that run must check the queue
}

// New starts an actor with a goroutine of its own and returns its mailbox. The queue is unbounded, because
// the senders limit their messages: the listener limits the requests of users and workers, and every other
// sender has at most one outstanding call per purpose.
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
	default: // run will check the queue already
	}
}

// After implements Mailbox.
func (m *mailbox) After(delay clock.Micros, message func()) {
	time.AfterFunc(delay.Duration(), func() { m.Post(message) })
}

// run handles messages until the process ends.
func (m *mailbox) run() {
	for range m.signal {
		for _, message := range m.take() {
			message()
		}
	}
}

// take removes and returns all messages of the queue.
func (m *mailbox) take() []func() {
	m.mu.Lock()
	defer m.mu.Unlock()
	batch := m.queue
	m.queue = nil
	return batch
}
