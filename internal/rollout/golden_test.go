package rollout

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"postpoint/internal/actor/actortest"
	"postpoint/internal/goldentest"
	"postpoint/internal/protocol"
)

// The keys and values that controllers of each format publish are the recorded ones, in the recorded
// order.
func TestGoldenPublishedFormats(t *testing.T) {
	for format, want := range map[Format]map[string]string{
		FormatServices: {
			"rollout/node/a": "\x81\xa6format\x02",
			"rollout/node/b": "\x81\xa6format\x02",
			"rollout/gate":   "\x81\xa6format\x02",
		},
		FormatCells: {
			"rollout/node/a": "\x81\xa6format\x03",
			"rollout/node/b": "\x81\xa6format\x03",
			"rollout/gate":   "\x81\xa6format\x03",
		},
	} {
		store := &memoryStore{values: map[string][]byte{}}
		var status Status
		for _, name := range []string{"a", "b"} {
			changed := func(s Status) { status = s }
			New(&actortest.SynchronousMailbox{}, store, name, []string{"a", "b"}, format, func() {}, changed).poll()
		}
		if d := cmp.Diff([]string{"rollout/node/a", "rollout/node/b", "rollout/gate"}, store.puts); d != "" {
			t.Errorf("format %d: %s", format, d)
		}
		for key, value := range want {
			goldentest.Equal(t, key, store.values[key], value)
		}
		if !status.Services || status.Cells != (format == FormatCells) {
			t.Errorf("format %d: %+v", format, status)
		}
	}
}

// A controller decodes the formats that others published from the recorded bytes.
func TestGoldenFormatsAreRead(t *testing.T) {
	if FormatServices != 2 || FormatCells != 3 {
		t.Errorf("formats %d and %d, want 2 and 3", FormatServices, FormatCells)
	}
	goldentest.RequireTags(t, "msgpack", publishedFormat{})
	for value, want := range map[string]Format{"\x81\xa6format\x02": 2, "\x81\xa6format\x03": 3} {
		var p publishedFormat
		if err := protocol.Decode([]byte(value), &p); err != nil || p.Format != want {
			t.Errorf("%q is decoded as %d, %v", value, p.Format, err)
		}
	}
}
