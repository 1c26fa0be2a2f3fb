// Package actortest has fake mailboxes for tests.
package actortest

import "postpoint/internal/clock"

// Still is a mailbox that runs messages synchronously, at a time that the test sets. It drops delayed
// messages.
type Still struct{ Now clock.Micros }

// Monotonic returns the time that the test has set.
func (s *Still) Monotonic() clock.Micros { return s.Now }

// TimeOfDay returns the time that the test has set, too.
func (s *Still) TimeOfDay() clock.Micros { return s.Now }

// Post runs the message before it returns.
func (s *Still) Post(message func()) { message() }

// After drops the message.
func (s *Still) After(_ clock.Micros, _ func()) {}

// Instant is a mailbox that passes its messages to the test through a channel, at a fixed time. It is for
// clients that post results from goroutines of their own. It drops delayed messages.
type Instant struct {
	Now      clock.Micros
	Messages chan func()
}

// Monotonic returns the fixed time.
func (i Instant) Monotonic() clock.Micros { return i.Now }

// TimeOfDay returns the fixed time, too.
func (i Instant) TimeOfDay() clock.Micros { return i.Now }

// Post sends the message to the channel.
func (i Instant) Post(message func()) { i.Messages <- message }

// After drops the message.
func (i Instant) After(_ clock.Micros, _ func()) {}
