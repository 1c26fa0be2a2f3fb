package delegation

import (
	"encoding/binary"
	"math"

	"postpoint/internal/jobrecord"
	"postpoint/internal/planner"
	"postpoint/internal/protocol"
)

// reader reads the binary form of a message. It keeps the first error; what is read after it is
// zero.
type reader struct {
	rest   []byte
	length int // of the whole message
	err    error
}

func newReader(raw []byte) *reader { return &reader{rest: raw, length: len(raw)} }

// fail notes that the message makes no sense from here on.
func (r *reader) fail(problem string) {
	r.failWith(&MalformedError{Offset: r.length - len(r.rest), Problem: problem})
}

func (r *reader) failWith(err error) {
	if r.err == nil {
		r.err = err
	}
	r.rest = nil
}

// end returns what was wrong, if anything.
func (r *reader) end() error {
	if r.err == nil && len(r.rest) > 0 {
		r.fail("the message goes on after its end")
	}
	return r.err
}

// longestNumber is the size of the largest value that is read without its length before it.
const longestNumber = 8

func (r *reader) take(n int) []byte {
	if n > len(r.rest) {
		r.fail("the message is too short")
		return make([]byte, min(n, longestNumber))
	}
	taken := r.rest[:n]
	r.rest = r.rest[n:]
	return taken
}

func (r *reader) byte() byte { return r.take(1)[0] }

func (r *reader) flag() bool { return r.byte() == 1 }

func (r *reader) version() {
	if v := r.byte(); r.err == nil && v != Version {
		r.failWith(VersionError(v))
	}
}

// number reads a whole number, which is never negative.
func (r *reader) number() int64 {
	n := int64(binary.BigEndian.Uint64(r.take(8)))
	if n < 0 {
		r.fail("a number is negative")
		return 0
	}
	return n
}

// small reads a number that fits an int on any machine.
func (r *reader) small() int { return int(min(r.number(), math.MaxInt32)) }

func (r *reader) amount() float64 {
	x := math.Float64frombits(binary.BigEndian.Uint64(r.take(8)))
	if !(math.Abs(x) < maxAmount) { // NaN fails too
		r.fail("an amount is out of bounds")
		return 0
	}
	return x
}

func (r *reader) amounts() planner.Resources {
	var a planner.Resources
	a.Cpus = r.amount()
	a.Gpus = r.amount()
	a.MemoryGB = r.amount()
	return a
}

func (r *reader) count(most int) int {
	n := int(binary.BigEndian.Uint16(r.take(2)))
	if n > most {
		r.fail("a count or length is above its bound")
		return 0
	}
	return n
}

func (r *reader) text(most int) string { return string(r.take(r.count(most))) }

func (r *reader) ranges() jobrecord.TaskSet {
	tasks, err := jobrecord.ParseTaskSet(r.text(protocol.MaxBodyBytes))
	if err != nil {
		r.fail("task numbers can't be read")
	}
	return tasks
}
