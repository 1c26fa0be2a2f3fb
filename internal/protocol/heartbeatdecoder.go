package protocol

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5"
)

// maxCachedHeartbeatBytes limits the heartbeat that a connection keeps between its requests. Heartbeats
// with more than a hundred tasks fit. The decoder decodes larger ones from scratch each time.
const maxCachedHeartbeatBytes = 8 << 10

// HeartbeatDecoder decodes the heartbeats that arrive on one connection. Most of them differ from the
// previous one only in their counter, and most of the others in one or two tasks. The decoder reuses
// the decoded form of every part with the same bytes as in the previous heartbeat. Heartbeats with the
// same tasks share one slice of them, which callers must not change. The zero value is ready for use.
type HeartbeatDecoder struct {
	last      layout    // its raw bytes are nil if there is nothing to compare with
	heartbeat Heartbeat // the last heartbeat, decoded
}

// Decode decodes a heartbeat. It keeps raw, which callers must not change afterwards.
func (d *HeartbeatDecoder) Decode(raw []byte) (Heartbeat, error) {
	if heartbeat, unchanged := d.decodeUnchanged(raw); unchanged {
		return heartbeat, nil
	}
	if err := CheckWellFormed(raw); err != nil {
		d.last = layout{}
		return Heartbeat{}, err
	}
	next, hasLayout := parseLayout(raw)
	var heartbeat Heartbeat
	var err error
	if hasLayout && d.last.equalExceptCounterAndTasks(&next) {
		heartbeat, err = d.update(&next)
	} else {
		err = msgpack.Unmarshal(raw, &heartbeat)
	}
	if err != nil || !hasLayout || len(raw) > maxCachedHeartbeatBytes {
		d.last = layout{}
		return heartbeat, err
	}
	d.last, d.heartbeat = next, heartbeat
	return heartbeat, nil
}

// decodeUnchanged decodes a heartbeat that differs from the last one in its counter at most, as most
// do. The second result reports whether raw is such a heartbeat.
func (d *HeartbeatDecoder) decodeUnchanged(raw []byte) (Heartbeat, bool) {
	last := &d.last
	start, end := last.counter.start, last.counter.end
	if last.raw == nil || len(raw) < start || !bytes.Equal(raw[:start], last.raw[:start]) {
		return Heartbeat{}, false
	}
	rest, ok := skip(raw[start:], 1)
	if !ok || !bytes.Equal(rest, last.raw[end:]) {
		return Heartbeat{}, false
	}
	// The variable escapes to the heap. It is declared only here, so that heartbeats with changes don't need
	// the allocation.
	heartbeat := d.heartbeat
	err := msgpack.Unmarshal(raw[start:len(raw)-len(rest)], &heartbeat.Counter)
	return heartbeat, err == nil
}

// update returns the last heartbeat with its counter and tasks replaced by those of the next one.
func (d *HeartbeatDecoder) update(next *layout) (Heartbeat, error) {
	heartbeat := d.heartbeat
	if err := msgpack.Unmarshal(next.value(next.counter), &heartbeat.Counter); err != nil {
		return Heartbeat{}, err
	}
	var err error
	heartbeat.Tasks, err = d.updateTasks(next.tasks)
	if err != nil {
		return Heartbeat{}, err
	}
	return heartbeat, nil
}

// updateTasks returns the tasks of a heartbeat. It decodes only those whose bytes differ from the last
// heartbeat's.
func (d *HeartbeatDecoder) updateTasks(encoded [][]byte) ([]TaskStatus, error) {
	if encoded == nil {
		return nil, nil
	}
	tasks := make([]TaskStatus, len(encoded))
	candidate := 0 // index, in the last heartbeat, of the next task to compare
	for i, entry := range encoded {
		// Tasks keep their order: workers remove some and append others.
		for candidate < len(d.last.tasks) && !bytes.Equal(entry, d.last.tasks[candidate]) {
			candidate++
		}
		if candidate < len(d.last.tasks) {
			tasks[i] = d.heartbeat.Tasks[candidate]
			candidate++
			continue
		}
		candidate = 0
		if err := msgpack.Unmarshal(entry, &tasks[i]); err != nil {
			return nil, err
		}
	}
	return tasks, nil
}
