package protocol

import "github.com/vmihailenco/msgpack/v5/msgpcode"

// maxDepth limits the nesting of values, and thus the recursion of skip. Messages need only a few levels.
const maxDepth = 32

// CheckWellFormed returns ErrMalformed unless a body is exactly one MessagePack value. It allocates
// nothing. The decoder, in contrast, allocates as many elements as a header announces before it finds
// out that they are missing: five bytes that announce a map of four thousand million entries would
// crash the process.
func CheckWellFormed(raw []byte) error {
	rest, ok := skip(raw, maxDepth)
	if !ok || len(rest) > 0 {
		return ErrMalformed
	}
	return nil
}

// skip returns the bytes after the first value. ok is false if that value is invalid, incomplete or
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

// skipSized returns the bytes after a value whose code c determines the number of bytes of its content or
// of its length. It rejects binary and extension types, which the protocol doesn't use.
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

// skipCounted skips the elements of an array or a map whose count takes width bytes. An element of a map
// is two values.
func skipCounted(b []byte, width int, valuesPerElement uint64, depth int) (rest []byte, ok bool) {
	count, b, ok := readCount(b, width)
	if !ok {
		return nil, false
	}
	return skipValues(b, valuesPerElement*count, depth)
}

// readCount reads a big-endian count of width bytes.
func readCount(b []byte, width int) (count uint64, rest []byte, ok bool) {
	if len(b) < width {
		return 0, nil, false
	}
	for _, x := range b[:width] {
		count = count<<8 | uint64(x)
	}
	return count, b[width:], true
}

// skipBytes skips n bytes and returns false if there are fewer.
func skipBytes(b []byte, n uint64) ([]byte, bool) {
	if uint64(len(b)) < n {
		return nil, false
	}
	return b[n:], true
}

// skipValues skips n values. Each value takes at least one byte, so skipValues rejects a count above the
// number of remaining bytes at once.
func skipValues(b []byte, n uint64, depth int) ([]byte, bool) {
	ok := uint64(len(b)) >= n
	for ; ok && n > 0; n-- {
		b, ok = skip(b, depth-1)
	}
	return b, ok
}
