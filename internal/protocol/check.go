package protocol

import "github.com/vmihailenco/msgpack/v5/msgpcode"

// maxDepth bounds how deep values may be nested, and with it the recursion of skip. Messages need a
// handful of levels.
const maxDepth = 32

// Check returns ErrMalformed unless a body is exactly one MessagePack value. It keeps nothing. The
// decoder allocates what a header announces before it sees that the rest is missing: five bytes
// that announce a map of four thousand million entries would end the process.
func Check(raw []byte) error {
	rest, ok := skip(raw, maxDepth)
	if !ok || len(rest) > 0 {
		return ErrMalformed
	}
	return nil
}

// skip returns what follows the first value; ok is false if that value isn't valid, not complete or
// nested deeper than depth.
func skip(b []byte, depth int) (rest []byte, ok bool) {
	if len(b) == 0 || depth == 0 {
		return nil, false
	}
	c := b[0]
	b = b[1:]
	switch {
	case msgpcode.IsFixedNum(c), c == msgpcode.Nil, c == msgpcode.False, c == msgpcode.True:
		return b, true
	case msgpcode.IsFixedString(c):
		return skipBytes(b, uint64(c&msgpcode.FixedStrMask))
	case msgpcode.IsFixedMap(c):
		return skipValues(b, 2*uint64(c&msgpcode.FixedMapMask), depth)
	case msgpcode.IsFixedArray(c):
		return skipValues(b, uint64(c&msgpcode.FixedArrayMask), depth)
	}
	return skipSized(c, b, depth)
}

// skipSized returns what follows a value whose code c says how many bytes its content or its length
// has. Binary and extension types are not part of the protocol.
func skipSized(c byte, b []byte, depth int) (rest []byte, ok bool) {
	switch c {
	case msgpcode.Uint8, msgpcode.Int8:
		return skipBytes(b, 1)
	case msgpcode.Uint16, msgpcode.Int16:
		return skipBytes(b, 2)
	case msgpcode.Uint32, msgpcode.Int32, msgpcode.Float:
		return skipBytes(b, 4)
	case msgpcode.Uint64, msgpcode.Int64, msgpcode.Double:
		return skipBytes(b, 8)
	case msgpcode.Str8, msgpcode.Str16, msgpcode.Str32:
		count, b, ok := readCount(b, 1<<(c-msgpcode.Str8))
		if !ok {
			return nil, false
		}
		return skipBytes(b, count)
	case msgpcode.Array16:
		return skipCounted(b, 2, 1, depth)
	case msgpcode.Array32:
		return skipCounted(b, 4, 1, depth)
	case msgpcode.Map16:
		return skipCounted(b, 2, 2, depth)
	case msgpcode.Map32:
		return skipCounted(b, 4, 2, depth)
	}
	return nil, false
}

// skipCounted skips the elements of an array or a map whose count has the given number of bytes. An
// element of a map is two values.
func skipCounted(b []byte, width int, valuesPerElement uint64, depth int) (rest []byte, ok bool) {
	count, b, ok := readCount(b, width)
	if !ok {
		return nil, false
	}
	return skipValues(b, valuesPerElement*count, depth)
}

// readCount reads a big-endian count of the given number of bytes.
func readCount(b []byte, width int) (count uint64, rest []byte, ok bool) {
	if len(b) < width {
		return 0, nil, false
	}
	for _, x := range b[:width] {
		count = count<<8 | uint64(x)
	}
	return count, b[width:], true
}

func skipBytes(b []byte, n uint64) ([]byte, bool) {
	if uint64(len(b)) < n {
		return nil, false
	}
	return b[n:], true
}

// skipValues skips n values. Each takes a byte at least, so that a count that can't be true is
// refused at once.
func skipValues(b []byte, n uint64, depth int) ([]byte, bool) {
	ok := uint64(len(b)) >= n
	for ; ok && n > 0; n-- {
		b, ok = skip(b, depth-1)
	}
	return b, ok
}
