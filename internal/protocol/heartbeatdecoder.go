package protocol

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5"
)

// maxComparedHeartbeat bounds what a connection keeps between its requests, in bytes. Heartbeats of
// more than a hundred tasks fit; larger ones are decoded from scratch each time.
const maxComparedHeartbeat = 8 << 10

// HeartbeatDecoder decodes the heartbeats that come by one connection. Most of them differ from the
// one before in nothing but their counter, and most others in a task or two. What has the same
// bytes as in the last heartbeat isn't decoded again; a heartbeat with the same tasks shares its
// list of them, which nobody may change. The zero value is ready for use.
type HeartbeatDecoder struct {
	last      layout    // without bytes: nothing to compare with
	heartbeat Heartbeat // the last one, decoded
}

// Decode reads a heartbeat. It keeps raw, which must not be changed afterwards.
func (d *HeartbeatDecoder) Decode(raw []byte) (Heartbeat, error) {
	if heartbeat, unchanged := d.decodeUnchanged(raw); unchanged {
		return heartbeat, nil
	}
	if err := Check(raw); err != nil {
		d.last = layout{}
		return Heartbeat{}, err
	}
	next, known := parseLayout(raw)
	var heartbeat Heartbeat
	var err error
	if known && d.last.sameBesidesCounterAndTasks(&next) {
		heartbeat, err = d.update(&next)
	} else {
		err = msgpack.Unmarshal(raw, &heartbeat)
	}
	if err != nil || !known || len(raw) > maxComparedHeartbeat {
		d.last = layout{}
		return heartbeat, err
	}
	d.last, d.heartbeat = next, heartbeat
	return heartbeat, nil
}

// decodeUnchanged decodes a heartbeat that differs from the last one in its counter at most, as
// most do; the second result reports whether this is one.
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
	// Declared here because it moves to the heap, which a heartbeat with changes needn't pay for.
	heartbeat := d.heartbeat
	err := msgpack.Unmarshal(raw[start:len(raw)-len(rest)], &heartbeat.Counter)
	return heartbeat, err == nil
}

// update returns the last heartbeat with the counter and the tasks of the next one.
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

// updateTasks decodes the tasks that aren't in the last heartbeat with the same bytes.
func (d *HeartbeatDecoder) updateTasks(encoded [][]byte) ([]TaskStatus, error) {
	if encoded == nil {
		return nil, nil
	}
	tasks := make([]TaskStatus, len(encoded))
	same := 0 // where in the last heartbeat to look next
	for i, entry := range encoded {
		// Tasks keep their order; some go, others come behind them.
		for same < len(d.last.tasks) && !bytes.Equal(entry, d.last.tasks[same]) {
			same++
		}
		if same < len(d.last.tasks) {
			tasks[i] = d.heartbeat.Tasks[same]
			same++
			continue
		}
		same = 0
		if err := msgpack.Unmarshal(entry, &tasks[i]); err != nil {
			return nil, err
		}
	}
	return tasks, nil
}
