package protocol

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// Wire names of Heartbeat.Counter and Heartbeat.Tasks, as in their struct tags.
const (
	counterKey = "Counter"
	tasksKey   = "Legs"
)

// layout locates the two parts of an encoded heartbeat that change between heartbeats: its counter and
// its tasks.
type layout struct {
	raw           []byte
	counter, list valueSpan // list is the list of tasks
	tasks         [][]byte  // the encoded elements of the list
}

// valueSpan locates a value of the body's outermost map: raw[start:end].
type valueSpan struct{ start, end int }

// value returns the bytes of a span.
func (l *layout) value(s valueSpan) []byte { return l.raw[s.start:s.end] }

// equalExceptCounterAndTasks reports whether two bodies are equal except for the counter and the
// tasks.
func (l *layout) equalExceptCounterAndTasks(next *layout) bool {
	if l.raw == nil {
		return false
	}
	a, b := l.constantParts(), next.constantParts()
	return bytes.Equal(a[0], b[0]) && bytes.Equal(a[1], b[1]) && bytes.Equal(a[2], b[2])
}

// constantParts returns the bytes before, between and after the counter and the task list.
func (l *layout) constantParts() [3][]byte {
	first, second := l.counter, l.list
	if second.start < first.start {
		first, second = second, first
	}
	return [3][]byte{l.raw[:first.start], l.raw[first.end:second.start], l.raw[second.end:]}
}

// parseLayout locates the counter and the tasks in a body that CheckWellFormed has accepted. It returns
// false for a body that lacks one of them or has one of them twice.
func parseLayout(raw []byte) (l layout, ok bool) {
	l.raw = raw
	pairs, rest, ok := readHeader(raw, msgpcode.IsFixedMap, msgpcode.FixedMapMask, msgpcode.Map16)
	for ; ok && pairs > 0; pairs-- {
		value, valid := skip(rest, maxDepth)
		if !valid {
			return l, false
		}
		name := rest[:len(rest)-len(value)]
		if rest, ok = skip(value, maxDepth); !ok {
			return l, false
		}
		span := valueSpan{len(raw) - len(value), len(raw) - len(rest)}
		switch {
		case isText(name, counterKey):
			ok = l.counter == valueSpan{}
			l.counter = span
		case isText(name, tasksKey):
			ok = l.list == valueSpan{} && l.splitTasks(l.value(span))
			l.list = span
		}
	}
	return l, ok && l.counter != valueSpan{} && l.list != valueSpan{}
}

// splitTasks splits an encoded list of tasks into its elements. It returns false if it can't.
func (l *layout) splitTasks(list []byte) bool {
	if len(list) == 1 && list[0] == msgpcode.Nil {
		return true
	}
	count, rest, ok := readHeader(list, msgpcode.IsFixedArray, msgpcode.FixedArrayMask, msgpcode.Array16)
	if !ok {
		return false
	}
	l.tasks = make([][]byte, 0, count)
	for ; count > 0; count-- {
		next, valid := skip(rest, maxDepth)
		if !valid {
			return false
		}
		l.tasks = append(l.tasks, rest[:len(rest)-len(next)])
		rest = next
	}
	return true
}

// isText reports whether an encoded key is the given short text.
func isText(encoded []byte, text string) bool {
	return len(encoded) == 1+len(text) &&
		encoded[0] == msgpcode.FixedStrLow|byte(len(text)) &&
		string(encoded[1:]) == text
}

// readHeader reads the number of elements of a map or an array. isShort recognises the codes that contain
// the count, under shortMask; code16 is the code that a 16-bit count follows. It rejects 32-bit counts:
// no request body can hold so many elements.
func readHeader(
	raw []byte, isShort func(byte) bool, shortMask, code16 byte,
) (count uint64, rest []byte, ok bool) {
	switch {
	case len(raw) == 0:
		return 0, nil, false
	case isShort(raw[0]):
		return uint64(raw[0] & shortMask), raw[1:], true
	case raw[0] == code16:
		return readCount(raw[1:], 2)
	}
	return 0, nil, false
}
