// Package clock has the program's times, in whole microseconds: a monotonic one for intervals and
// leases, and the time of day for what people and records see.
package clock

import "time"

// Micros is a duration or an instant in whole microseconds.
type Micros int64

// Units of time.
const (
	Millisecond Micros = 1000
	Second      Micros = 1000 * Millisecond
)

const microsPerSecond = float64(Second)

// FromSeconds returns a time in seconds, rounded toward zero to whole microseconds.
func FromSeconds(s float64) Micros { return Micros(s * microsPerSecond) }

// Seconds returns the time in seconds, for computations and for people.
func (m Micros) Seconds() float64 { return float64(m) / microsPerSecond }

// Duration returns the time in the form of the standard library.
func (m Micros) Duration() time.Duration { return time.Duration(m) * time.Microsecond }

// Clock is a machine's pair of clocks.
type Clock interface {
	// Monotonic returns the monotonic time: it never steps, and its zero has no meaning.
	Monotonic() Micros
	// TimeOfDay returns the microseconds since 1970, with an error that the settings bound.
	TimeOfDay() Micros
}

// system is the pair of clocks of this machine.
type system struct{ began time.Time }

// System returns the machine's clocks.
func System() Clock { return system{time.Now()} }

// Monotonic starts at one second so that 0 can stand for "never".
func (s system) Monotonic() Micros { return Micros(time.Since(s.began).Microseconds()) + Second }

// TimeOfDay implements Clock.
func (s system) TimeOfDay() Micros { return Micros(time.Now().UnixMicro()) }
