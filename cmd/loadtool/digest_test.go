package main

import (
	"testing"

	"postpoint/internal/clock"
	"postpoint/internal/simulation"
)

// Two simulations of the same day have the same digest; days with different seeds have different digests.
func TestDigestRepeats(t *testing.T) {
	plain := simulation.DayKinds[0]
	first, again, other := digestDay(plain, 1), digestDay(plain, 1), digestDay(plain, 2)
	if first != again {
		t.Errorf("the same day gives %q and %q", first, again)
	}
	if first == other {
		t.Errorf("two days give %q", first)
	}
}

// message has the arguments of Record.
type message struct {
	at               clock.Micros
	controller, kind string
	content          string
}

func digestOf(messages ...message) string {
	d := newDigest()
	for _, m := range messages {
		d.Record(m.at, m.controller, m.kind, []byte(m.content))
	}
	return d.String()
}

// The digest depends on every part of a message, on the order of messages and on their number.
func TestDigestDependsOnEverything(t *testing.T) {
	a, b := message{1, "worker-0", "get", "key"}, message{2, "worker-1", "list", "prefix"}
	variants := map[string][]message{
		"the messages":                  {a, b},
		"another order":                 {b, a},
		"one message":                   {a},
		"a repeated message":            {a, b, b},
		"another time":                  {{3, "worker-0", "get", "key"}, b},
		"another controller":            {{1, "worker-2", "get", "key"}, b},
		"another kind":                  {{1, "worker-0", "put", "key"}, b},
		"another byte":                  {{1, "worker-0", "get", "kez"}, b},
		"another border between fields": {{1, "worker-0", "getk", "ey"}, b},
	}
	names := map[string]string{}
	for name, messages := range variants {
		digest := digestOf(messages...)
		if other, known := names[digest]; known {
			t.Errorf("%s and %s give the same digest", name, other)
		}
		names[digest] = name
	}
}
