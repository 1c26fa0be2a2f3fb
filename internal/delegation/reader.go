package delegation

import (
	"encoding/binary"
	"math"

	"postpoint/internal/jobrecord"
	"postpoint/internal/planner"
	"postpoint/internal/protocol"
)

// reader decodes the binary form of a message. It keeps the first error. All values that it reads after an
// error are zero.
type reader struct {
	rest   []byte
	length int // length of the whole message
	err    error
}

// newReader returns a reader of a whole message.
func newReader(raw []byte) *reader { return &reader{rest: raw, length: len(raw)} }

// fail records that the message is malformed from the current offset on.
func (r *reader) fail(problem string) {
	r.failWith(&MalformedError{Offset: r.length - len(r.rest), Problem: problem})
}

// failWith records an error, unless there is an earlier one, and skips the rest of the message.
func (r *reader) failWith(err error) {
	if r.err == nil {
		r.err = err
	}
	r.rest = nil
}

// end checks that nothing follows the message, and returns the first error.
func (r *reader) end() error {
	if r.err == nil && len(r.rest) > 0 {
		r.fail("the message goes on after its end")
	}
	return r.err
}

// maxFixedBytes is the size of the largest value that has no length before it.
const maxFixedBytes = 8

// take returns the next n bytes. If the message is too short, it returns zeros, as many as a value of fixed
// size needs.
func (r *reader) take(n int) []byte {
	if n > len(r.rest) {
		r.fail("the message is too short")
		return make([]byte, min(n, maxFixedBytes))
	}
	taken := r.rest[:n]
	r.rest = r.rest[n:]
	return taken
}

// byte reads one byte.
func (r *reader) byte() byte { return r.take(1)[0] }

// flag reads a boolean.
func (r *reader) flag() bool { return r.byte() == 1 }

// version reads the version of the message and fails if it isn't Version.
func (r *reader) version() {
	if v := r.byte(); r.err == nil && v != Version {
		r.failWith(VersionError(v))
	}
}

// number reads an integer and fails if it is negative.
func (r *reader) number() int64 {
	n := int64(binary.BigEndian.Uint64(r.take(8)))
	if n < 0 {
		r.fail("a number is negative")
		return 0
	}
	return n
}

// cappedInt reads an integer and caps it at the largest 32-bit integer, which fits an int on every
// platform.
func (r *reader) cappedInt() int { return int(min(r.number(), math.MaxInt32)) }

// amount reads a floating-point number and fails if it is out of bounds.
func (r *reader) amount() float64 {
	x := math.Float64frombits(binary.BigEndian.Uint64(r.take(8)))
	if !(math.Abs(x) < maxAmount) { // NaN fails too
		r.fail("an amount is out of bounds")
		return 0
	}
	return x
}

// resources reads the amounts of a set of resources.
func (r *reader) resources() planner.Resources {
	var a planner.Resources
	a.Cpus = r.amount()
	a.Gpus = r.amount()
	a.MemoryGB = r.amount()
	return a
}

// count reads the length of a text or list and fails if it exceeds the limit.
func (r *reader) count(limit int) int {
	n := int(binary.BigEndian.Uint16(r.take(2)))
	if n > limit {
		r.fail("a count or length is above its bound")
		return 0
	}
	return n
}

// text reads a text of at most limit bytes.
func (r *reader) text(limit int) string { return string(r.take(r.count(limit))) }

// taskSet reads a set of tasks.
func (r *reader) taskSet() jobrecord.TaskSet {
	tasks, err := jobrecord.ParseTaskSet(r.text(protocol.MaxBodyBytes))
	if err != nil {
		r.fail("task numbers can't be read")
	}
	return tasks
}
