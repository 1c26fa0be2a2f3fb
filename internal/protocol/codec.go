package protocol

import (
	"bytes"
	"encoding/json"

	"github.com/vmihailenco/msgpack/v5"
)

// MaxBodyBytes is the largest body of a request, and of a response to workers and users, in bytes.
const MaxBodyBytes = 64 << 10

// Encode returns the wire form of a message. It panics on a type that MessagePack can't encode; this package
// has none.
func Encode(v any) []byte {
	var b bytes.Buffer
	encoder := msgpack.NewEncoder(&b)
	encoder.UseCompactInts(true)
	if err := encoder.Encode(v); err != nil {
		panic("protocol: " + err.Error())
	}
	return b.Bytes()
}

// Decode decodes the wire form of a message into v and ignores unknown fields. It returns ErrMalformed, and
// leaves v unchanged, if raw isn't MessagePack.
func Decode(raw []byte, v any) error {
	if err := CheckWellFormed(raw); err != nil {
		return err
	}
	return msgpack.Unmarshal(raw, v)
}

// JSONSize returns the size of an encoded value as JSON, in bytes. The key-value store limits the size of
// values in this form.
func JSONSize(raw []byte) int {
	var value any
	if err := msgpack.Unmarshal(raw, &value); err != nil {
		return len(raw)
	}
	text, err := json.Marshal(value)
	if err != nil {
		return len(raw)
	}
	return len(text)
}
