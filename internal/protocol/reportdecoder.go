package protocol

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// ReportDecoder decodes the reports that come by one connection. Most of them differ
// from the one before in nothing but their counter, and most others in a task or two.
// What has the same bytes as in the last report isn't decoded again; a report with the
// same tasks shares its list of them, which nobody may change. The zero value is ready
// for use.
type ReportDecoder struct {
	last   layout // without bytes: nothing to compare with
	report Report
}

// layout is where the parts of a report's body stand that change from one to the next.
type layout struct {
	raw            []byte
	counter, tasks valueSpan
	// entries are the bytes of the single tasks.
	entries [][]byte
}

// valueSpan is a value of the body's outermost map, in raw[start:end].
type valueSpan struct{ start, end int }

// maxComparedReport bounds what a connection keeps between its requests.
const maxComparedReport = 8 << 10

// Names on the wire of Report.Counter and Report.Tasks.
const (
	counterKey = "Counter"
	tasksKey   = "Legs"
)

// Decode reads a report. It keeps raw, which must not be changed afterwards.
func (d *ReportDecoder) Decode(raw []byte) (Report, error) {
	if report, same := d.sameButCounter(raw); same {
		return report, nil
	}
	if err := Check(raw); err != nil {
		d.last = layout{}
		return Report{}, err
	}
	next, known := parseLayout(raw)
	var report Report
	var err error
	if known && d.last.sameBesides(&next) {
		report, err = d.update(&next)
	} else {
		err = msgpack.Unmarshal(raw, &report)
	}
	if err != nil || !known || len(raw) > maxComparedReport {
		d.last = layout{}
		return report, err
	}
	d.last, d.report = next, report
	return report, nil
}

// sameButCounter recognises a report without news, which most are.
func (d *ReportDecoder) sameButCounter(raw []byte) (Report, bool) {
	l := &d.last
	if l.raw == nil || len(raw) < l.counter.start || !bytes.Equal(raw[:l.counter.start], l.raw[:l.counter.start]) {
		return Report{}, false
	}
	rest, ok := skip(raw[l.counter.start:], 1)
	if !ok || !bytes.Equal(rest, l.raw[l.counter.end:]) {
		return Report{}, false
	}
	report := d.report
	err := msgpack.Unmarshal(raw[l.counter.start:len(raw)-len(rest)], &report.Counter)
	return report, err == nil
}

// update is the last report with what the next one has different.
func (d *ReportDecoder) update(next *layout) (Report, error) {
	report := d.report
	if err := msgpack.Unmarshal(next.value(next.counter), &report.Counter); err != nil {
		return Report{}, err
	}
	report.Tasks = nil
	if next.entries != nil {
		report.Tasks = make([]TaskReport, len(next.entries))
	}
	same := 0
	for i, entry := range next.entries {
		// Tasks keep their order; some go, others come behind them.
		for same < len(d.last.entries) && !bytes.Equal(entry, d.last.entries[same]) {
			same++
		}
		if same < len(d.last.entries) {
			report.Tasks[i] = d.report.Tasks[same]
			same++
			continue
		}
		same = 0
		if err := msgpack.Unmarshal(entry, &report.Tasks[i]); err != nil {
			return Report{}, err
		}
	}
	return report, nil
}

func (l *layout) value(s valueSpan) []byte { return l.raw[s.start:s.end] }

// sameBesides tells that two bodies are alike but for the counter and the tasks.
func (l *layout) sameBesides(next *layout) bool {
	if l.raw == nil {
		return false
	}
	a, b := l.fixed(), next.fixed()
	return bytes.Equal(a[0], b[0]) && bytes.Equal(a[1], b[1]) && bytes.Equal(a[2], b[2])
}

// fixed are the bytes before, between and behind the counter and the tasks.
func (l *layout) fixed() [3][]byte {
	first, second := l.counter, l.tasks
	if second.start < first.start {
		first, second = second, first
	}
	return [3][]byte{l.raw[:first.start], l.raw[first.end:second.start], l.raw[second.end:]}
}

// parseLayout finds the parts of a checked body. A body without both, or with one of
// them twice, has no layout.
func parseLayout(raw []byte) (l layout, ok bool) {
	l.raw = raw
	pairs, rest, ok := header(raw, msgpcode.IsFixedMap, msgpcode.FixedMapMask, msgpcode.Map16)
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
			ok = l.tasks == valueSpan{} && l.splitTasks(value[:len(value)-len(rest)])
			l.tasks = span
		}
	}
	return l, ok && l.counter != valueSpan{} && l.tasks != valueSpan{}
}

// splitTasks finds the single tasks in their list.
func (l *layout) splitTasks(list []byte) bool {
	if len(list) == 1 && list[0] == msgpcode.Nil {
		return true
	}
	n, rest, ok := header(list, msgpcode.IsFixedArray, msgpcode.FixedArrayMask, msgpcode.Array16)
	if !ok {
		return false
	}
	l.entries = make([][]byte, 0, n)
	for ; n > 0; n-- {
		next, valid := skip(rest, maxDepth)
		if !valid {
			return false
		}
		l.entries = append(l.entries, rest[:len(rest)-len(next)])
		rest = next
	}
	return true
}

// isText tells that an encoded key is a short text.
func isText(encoded []byte, text string) bool {
	return len(encoded) == 1+len(text) && encoded[0] == msgpcode.FixedStrLow|byte(len(text)) && string(encoded[1:]) == text
}

// header reads how many elements a map or an array has. Very large ones, which no
// request body can hold, aren't known to it.
func header(raw []byte, fixed func(byte) bool, mask, sixteen byte) (n uint64, rest []byte, ok bool) {
	switch {
	case len(raw) == 0:
		return 0, nil, false
	case fixed(raw[0]):
		return uint64(raw[0] & mask), raw[1:], true
	case raw[0] == sixteen:
		return length(raw[1:], 2)
	}
	return 0, nil, false
}
