package protocol

import (
	"bytes"
	"encoding/json"

	"github.com/vmihailenco/msgpack/v5"
)

// MaxBodyBytes is the limit of request bodies and of what workers and users are sent, in bytes.
const MaxBodyBytes = 64 << 10

// Encode returns the wire form. It can't fail for the types of this package.
func Encode(v any) []byte {
	var b bytes.Buffer
	encoder := msgpack.NewEncoder(&b)
	encoder.UseCompactInts(true)
	if err := encoder.Encode(v); err != nil {
		panic("protocol: " + err.Error())
	}
	return b.Bytes()
}

// Decode reads the wire form. Unknown fields are ignored. What isn't MessagePack at all is
// ErrMalformed, before anything of it is kept.
func Decode(raw []byte, v any) error {
	if err := Check(raw); err != nil {
		return err
	}
	return msgpack.Unmarshal(raw, v)
}

// JSONSize returns how many bytes a value in wire form takes as JSON, the form in which the
// key-value store counts sizes.
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
