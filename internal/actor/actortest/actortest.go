// Package actortest has mailboxes for tests.
package actortest

import "postpoint/internal/clock"

// Still handles messages in place, at a time that the test sets; what is to happen
// later never does.
type Still struct{ Now clock.Micros }

func (s *Still) Steady() clock.Micros           { return s.Now }
func (s *Still) OfDay() clock.Micros            { return s.Now }
func (s *Still) Post(message func())            { message() }
func (s *Still) After(_ clock.Micros, _ func()) {}

// Instant is a mailbox at one instant, whose messages reach the test one by one: for
// clients that answer from goroutines of their own.
type Instant struct {
	Now      clock.Micros
	Messages chan func()
}

func (i Instant) Steady() clock.Micros           { return i.Now }
func (i Instant) OfDay() clock.Micros            { return i.Now }
func (i Instant) Post(message func())            { i.Messages <- message }
func (i Instant) After(_ clock.Micros, _ func()) {}
