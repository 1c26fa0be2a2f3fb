package kvstore

import (
	"container/list"

	"postpoint/internal/protocol"
)

// sharedValues holds the values of keys up to a total size. Beyond it, it drops those that were added first.
type sharedValues struct {
	byKey           map[string]*list.Element // of order
	order           *list.List               // of protocol.Item, in the order in which their keys were added
	bytes, maxBytes int
}

// newSharedValues returns an empty set of values of at most maxBytes.
func newSharedValues(maxBytes int) *sharedValues {
	return &sharedValues{byKey: map[string]*list.Element{}, order: list.New(), maxBytes: maxBytes}
}

// get returns the item of a key.
func (v *sharedValues) get(key string) (item protocol.Item, known bool) {
	element := v.byKey[key]
	if element == nil {
		return protocol.Item{}, false
	}
	return element.Value.(protocol.Item), true
}

// put sets the value of a key, unless that version or a newer one is known.
func (v *sharedValues) put(key string, value []byte, version protocol.Revision) {
	item := protocol.Item{Key: key, Value: value, Version: version}
	element := v.byKey[key]
	if element == nil {
		v.byKey[key] = v.order.PushBack(item)
		v.bytes += sizeOf(item)
	} else if old := element.Value.(protocol.Item); old.Version < version {
		v.bytes += sizeOf(item) - sizeOf(old)
		element.Value = item
	}
	for v.bytes > v.maxBytes {
		v.remove(v.order.Front().Value.(protocol.Item).Key)
	}
}

// remove drops the value of a key.
func (v *sharedValues) remove(key string) {
	element := v.byKey[key]
	if element == nil {
		return
	}
	delete(v.byKey, key)
	v.bytes -= sizeOf(v.order.Remove(element).(protocol.Item))
}

// sizeOf returns about how much memory an item takes.
func sizeOf(item protocol.Item) int {
	const overhead = 200 // of the map, the list and the headers of the strings
	return overhead + len(item.Key) + len(item.Value)
}
