// Package actortest has fake mailboxes for tests.
package actortest

import "postpoint/internal/clock"

// SynchronousMailbox is a mailbox that runs messages synchronously, at a time that the test sets. It drops
// delayed messages.
type SynchronousMailbox struct{ Now clock.Micros }

// Monotonic returns the time that the test has set.
func (s *SynchronousMailbox) Monotonic() clock.Micros { return s.Now }

// TimeOfDay returns the time that the test has set, too.
func (s *SynchronousMailbox) TimeOfDay() clock.Micros { return s.Now }

// Post runs the message before it returns.
func (s *SynchronousMailbox) Post(message func()) { message() }

// After drops the message.
func (s *SynchronousMailbox) After(_ clock.Micros, _ func()) {}

// ChannelMailbox is a mailbox that passes its messages to the test through a channel, at a fixed time. It is
// for clients that post results from goroutines of their own. It drops delayed messages.
type ChannelMailbox struct {
	Now      clock.Micros
	Messages chan func()
}

// Monotonic returns the fixed time.
func (c ChannelMailbox) Monotonic() clock.Micros { return c.Now }

// TimeOfDay returns the fixed time, too.
func (c ChannelMailbox) TimeOfDay() clock.Micros { return c.Now }

// Post sends the message to the channel.
func (c ChannelMailbox) Post(message func()) { c.Messages <- message }

// After drops the message.
func (c ChannelMailbox) After(_ clock.Micros, _ func()) {}
