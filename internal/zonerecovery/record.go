package zonerecovery

import (
	"fmt"

	"postpoint/internal/clock"
	"postpoint/internal/protocol"
)

// Prefix is the prefix of the keys of the zones' records in the key-value store.
const Prefix = "recovery/"

// Key returns the key of a zone's record.
func Key(zone string) string { return Prefix + zone }

// storedZone is the record of a zone, which later leaders read.
type storedZone struct {
	Number int64  `msgpack:"number"`
	Phase  string `msgpack:"phase"`
	// SinceTimeOfDay is a time of day in microseconds, because monotonic clocks differ between controllers.
	SinceTimeOfDay int64 `msgpack:"since"`
	Flaps          int   `msgpack:"flaps,omitempty"`
}

// UnknownPhaseError reports a record with a phase that this version doesn't know.
type UnknownPhaseError struct {
	Zone, Phase string
}

func (e *UnknownPhaseError) Error() string {
	return fmt.Sprintf("the record of zone %q has the unknown phase %q", e.Zone, e.Phase)
}

// Encode returns the record to store. clockOffset is the time of day minus the time on this leader's
// monotonic clock.
func (z *Zone) Encode(clockOffset clock.Micros) []byte {
	return protocol.Encode(storedZone{
		Number:         z.Losses,
		Phase:          string(z.Phase),
		SinceTimeOfDay: int64(z.Since + clockOffset),
		Flaps:          z.Flaps,
	})
}

// Decode decodes the record that an earlier leader stored for a zone. clockOffset is the time of day minus
// the time on this leader's monotonic clock.
func Decode(zone string, value []byte, clockOffset clock.Micros) (*Zone, error) {
	var stored storedZone
	if err := protocol.Decode(value, &stored); err != nil {
		return nil, err
	}
	phase := Phase(stored.Phase)
	switch phase {
	case Healthy, Suspect, Lost, Returning:
	default:
		return nil, &UnknownPhaseError{Zone: zone, Phase: stored.Phase}
	}
	return &Zone{
		Name:   zone,
		Phase:  phase,
		Losses: stored.Number,
		Since:  clock.Micros(stored.SinceTimeOfDay) - clockOffset,
		Flaps:  stored.Flaps,
	}, nil
}
