// Package actortest has mailboxes for tests.
package actortest

import "postpoint/internal/clock"

// Still handles messages in place, at a time that the test sets; delayed messages never come.
type Still struct{ Now clock.Micros }

// Monotonic returns the time that the test has set.
func (s *Still) Monotonic() clock.Micros { return s.Now }

// TimeOfDay returns the same time.
func (s *Still) TimeOfDay() clock.Micros { return s.Now }

// Post handles the message at once.
func (s *Still) Post(message func()) { message() }

// After drops the message.
func (s *Still) After(_ clock.Micros, _ func()) {}

// Instant is a mailbox at one instant, whose messages reach the test one by one: for clients that
// respond from goroutines of their own.
type Instant struct {
	Now      clock.Micros
	Messages chan func()
}

// Monotonic returns the mailbox's instant.
func (i Instant) Monotonic() clock.Micros { return i.Now }

// TimeOfDay returns the same instant.
func (i Instant) TimeOfDay() clock.Micros { return i.Now }

// Post hands the message to the test.
func (i Instant) Post(message func()) { i.Messages <- message }

// After drops the message.
func (i Instant) After(_ clock.Micros, _ func()) {}
