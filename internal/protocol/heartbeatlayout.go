package protocol

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// Names on the wire of Heartbeat.Counter and Heartbeat.Tasks, those of its tags.
const (
	counterKey = "Counter"
	tasksKey   = "Legs"
)

// layout says where the parts of a heartbeat's body are that change from one to the next.
type layout struct {
	raw           []byte
	counter, list valueSpan // list is that of the tasks
	tasks         [][]byte  // the single elements of the list
}

// valueSpan is a value of the body's outermost map, in raw[start:end].
type valueSpan struct{ start, end int }

func (l *layout) value(s valueSpan) []byte { return l.raw[s.start:s.end] }

// sameBesidesCounterAndTasks reports whether two bodies are equal but for the counter and the tasks.
func (l *layout) sameBesidesCounterAndTasks(next *layout) bool {
	if l.raw == nil {
		return false
	}
	a, b := l.unchangingParts(), next.unchangingParts()
	return bytes.Equal(a[0], b[0]) && bytes.Equal(a[1], b[1]) && bytes.Equal(a[2], b[2])
}

// unchangingParts returns the bytes before, between and behind the counter and the tasks.
func (l *layout) unchangingParts() [3][]byte {
	first, second := l.counter, l.list
	if second.start < first.start {
		first, second = second, first
	}
	return [3][]byte{l.raw[:first.start], l.raw[first.end:second.start], l.raw[second.end:]}
}

// parseLayout finds the parts of a checked body. A body without counter or tasks, or with one of
// them twice, has no layout.
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

// splitTasks finds the single tasks in their list.
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

// readHeader reads how many elements a map or an array has, given what recognises short ones and the
// code of those with a count of 16 bits. It refuses longer ones, which no request body can hold.
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
