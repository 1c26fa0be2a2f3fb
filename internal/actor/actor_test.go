package actor

import (
	"sync"
	"testing"
	"time"

	"postpoint/internal/clock"
)

// waitLimit is how long a test waits for a message.
const waitLimit = 10 * time.Second

// wait returns when the channel is closed, or fails the test.
func wait(t *testing.T, done <-chan struct{}) {
	t.Helper()
	select {
	case <-done:
	case <-time.After(waitLimit):
		t.Fatalf("the message has not run within %v", waitLimit)
	}
}

// The actor runs one message at a time, and those of each sender in the order of their posts.
func TestMessagesRunOneAfterAnotherInOrderOfEachSender(t *testing.T) {
	const senders, each = 8, 500
	m := New(clock.System())
	var last [senders]int // owned by the actor: the race detector reports concurrent messages
	handled := 0
	var sent sync.WaitGroup
	for sender := range senders {
		sent.Go(func() {
			for n := 1; n <= each; n++ {
				m.Post(func() {
					if last[sender] != n-1 {
						t.Errorf("message %d of sender %d came after %d, expected %d", n, sender,
							last[sender], n-1)
					}
					last[sender] = n
					handled++
				})
			}
		})
	}
	sent.Wait()
	done := make(chan struct{})
	m.Post(func() {
		if handled != senders*each {
			t.Errorf("%d messages handled, expected %d", handled, senders*each)
		}
		close(done)
	})
	wait(t, done)
}

// Guards against a deadlock when a message posts to its own mailbox.
func TestMessageMayPostToItsOwnMailbox(t *testing.T) {
	m := New(clock.System())
	done := make(chan struct{})
	m.Post(func() { m.Post(func() { close(done) }) })
	wait(t, done)
}

// After posts its message no earlier than after the delay.
func TestAfterPostsOnceDelayIsOver(t *testing.T) {
	const delay = 20 * clock.Millisecond
	m := New(clock.System())
	began := m.Monotonic()
	done := make(chan struct{})
	var at clock.Micros
	m.After(delay, func() {
		at = m.Monotonic()
		close(done)
	})
	wait(t, done)
	if at < began+delay {
		t.Errorf("handled after %v us, expected at least %v", at-began, delay)
	}
}
