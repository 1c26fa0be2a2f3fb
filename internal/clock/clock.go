// Package clock gives the program's times: whole microseconds, steady for
// intervals and leases, of day for what people and records see.
package clock

import "time"

// Micros is a duration or an instant in whole microseconds.
type Micros int64

// Units of time.
const (
	Millisecond Micros = 1000
	Second      Micros = 1000 * Millisecond
)

// FromSeconds rounds down to whole microseconds.
func FromSeconds(s float64) Micros { return Micros(s * 1e6) }

// Seconds is for computations and for people.
func (m Micros) Seconds() float64 { return float64(m) / 1e6 }

// Duration is for the standard library.
func (m Micros) Duration() time.Duration { return time.Duration(m) * time.Microsecond }

// Clock is the machine's pair of clocks.
type Clock interface {
	// Steady never steps; its zero means nothing.
	Steady() Micros
	// OfDay is microseconds since 1970, off by what the settings bound.
	OfDay() Micros
}

type system struct{ began time.Time }

// System reads the machine's clocks.
func System() Clock { return system{time.Now()} }

// Steady starts at one second so that 0 can stand for "never".
func (s system) Steady() Micros { return Micros(time.Since(s.began).Microseconds()) + Second }
func (s system) OfDay() Micros  { return Micros(time.Now().UnixMicro()) }
