package zonerecovery

import (
	"fmt"

	"postpoint/internal/clock"
	"postpoint/internal/protocol"
)

// Prefix is where the zones' records stand in the key-value store.
const Prefix = "recovery/"

// Key returns where one zone's record stands.
func Key(zone string) string { return Prefix + zone }

// storedZone is the record of a zone, for the leaders after this one.
type storedZone struct {
	Number int64  `msgpack:"number"`
	Phase  string `msgpack:"phase"`
	// SinceOfDay is the time of day in microseconds: steady clocks differ between nodes.
	SinceOfDay int64 `msgpack:"since"`
	Flaps      int   `msgpack:"flaps,omitempty"`
}

// UnknownPhaseError is a record with a phase that this version doesn't know.
type UnknownPhaseError struct {
	Zone, Phase string
}

func (e *UnknownPhaseError) Error() string {
	return fmt.Sprintf("the record of zone %q has the unknown phase %q", e.Zone, e.Phase)
}

// Encode returns the record to store, given how far the time of day is ahead of the steady clock.
func (z *Zone) Encode(ofDay clock.Micros) []byte {
	return protocol.Encode(storedZone{
		Number:     z.Losses,
		Phase:      string(z.Phase),
		SinceOfDay: int64(z.Since + ofDay),
		Flaps:      z.Flaps,
	})
}

// Decode reads what an earlier leader stored, given how far the time of day is ahead of this
// leader's steady clock.
func Decode(zone string, value []byte, ofDay clock.Micros) (*Zone, error) {
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
		Since:  clock.Micros(stored.SinceOfDay) - ofDay,
		Flaps:  stored.Flaps,
	}, nil
}
