package protocol

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// ReportDecoder decodes the reports that come by one connection. Most of them differ
// from the one before in nothing but their counter: those are recognised by their bytes
// and share its list of tasks, which nobody may change. The zero value is ready for use.
type ReportDecoder struct {
	last   []byte // nil: nothing to compare with
	report Report
	// The counter's value stands in last[start:end].
	start, end int
}

// maxComparedReport bounds what a connection keeps between its requests.
const maxComparedReport = 8 << 10

// Decode reads a report. It keeps raw, which must not be changed afterwards.
func (d *ReportDecoder) Decode(raw []byte) (Report, error) {
	if counter, same := d.compare(raw); same {
		r := d.report
		r.Counter = counter
		return r, nil
	}
	d.last = nil
	var r Report
	if err := Decode(raw, &r); err != nil {
		return Report{}, err
	}
	if start, end, found := valueSpan(raw, counterKey); found && len(raw) <= maxComparedReport {
		d.last, d.report, d.start, d.end = raw, r, start, end
	}
	return r, nil
}

// compare tells whether a report is the last one with another counter.
func (d *ReportDecoder) compare(raw []byte) (counter int64, same bool) {
	if d.last == nil || len(raw) < d.start || !bytes.Equal(raw[:d.start], d.last[:d.start]) {
		return 0, false
	}
	rest, ok := skip(raw[d.start:], 1)
	if !ok || !bytes.Equal(rest, d.last[d.end:]) {
		return 0, false
	}
	err := msgpack.Unmarshal(raw[d.start:len(raw)-len(rest)], &counter)
	return counter, err == nil
}

// counterKey is Report.Counter's name on the wire.
const counterKey = "Counter"

// valueSpan finds the value of a key of the map that a checked body is. The last of
// several alike keys counts, as it does for the decoder.
func valueSpan(raw []byte, key string) (start, end int, found bool) {
	pairs, rest, ok := mapHeader(raw)
	for ; ok && pairs > 0; pairs-- {
		value, valid := skip(rest, maxDepth)
		if !valid {
			return 0, 0, false
		}
		name := rest[:len(rest)-len(value)]
		if rest, ok = skip(value, maxDepth); !ok {
			return 0, 0, false
		}
		if string(name) == string([]byte{msgpcode.FixedStrLow | byte(len(key))})+key {
			start, end, found = len(raw)-len(value), len(raw)-len(rest), true
		}
	}
	return start, end, found
}

// mapHeader reads how many pairs a map has.
func mapHeader(raw []byte) (pairs uint64, rest []byte, ok bool) {
	if len(raw) == 0 {
		return 0, nil, false
	}
	c := raw[0]
	switch {
	case msgpcode.IsFixedMap(c):
		return uint64(c & msgpcode.FixedMapMask), raw[1:], true
	case c == msgpcode.Map16:
		return length(raw[1:], 2)
	case c == msgpcode.Map32:
		return length(raw[1:], 4)
	}
	return 0, nil, false
}
