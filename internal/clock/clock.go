// Package clock provides times in whole microseconds: monotonic time for intervals and leases, and the time
// of day for people and records.
package clock

import "time"

// Micros is a duration or an instant in whole microseconds.
type Micros int64

// Units of time.
const (
	Millisecond Micros = 1000
	Second      Micros = 1000 * Millisecond
)

// microsPerSecond is Second for computations with fractions.
const microsPerSecond = float64(Second)

// FromSeconds returns a time in seconds, rounded toward zero to whole microseconds.
func FromSeconds(s float64) Micros { return Micros(s * microsPerSecond) }

// Seconds returns the time in seconds, for computations and displays.
func (m Micros) Seconds() float64 { return float64(m) / microsPerSecond }

// Duration returns the time as a time.Duration.
func (m Micros) Duration() time.Duration { return time.Duration(m) * time.Microsecond }

// Clock is a pair of clocks: a monotonic one and one for the time of day.
type Clock interface {
	// Monotonic returns the monotonic time. It never jumps, and it counts from an arbitrary moment.
	Monotonic() Micros
	// TimeOfDay returns the microseconds since 1970. The settings limit its error (clock_error_ms).
	TimeOfDay() Micros
}

// system is the Clock of this machine.
type system struct{ began time.Time }

// System returns the Clock of this machine.
func System() Clock { return system{time.Now()} }

// Monotonic implements Clock. It starts at one second, so that callers can use 0 for "never".
func (s system) Monotonic() Micros { return Micros(time.Since(s.began).Microseconds()) + Second }

// TimeOfDay implements Clock.
func (s system) TimeOfDay() Micros { return Micros(time.Now().UnixMicro()) }
