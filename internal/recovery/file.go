// Package recovery decides what is done about the loss of a zone: when it counts as lost and as
// returned, in which order its work starts elsewhere, and how fast. It is pure; the leader gathers
// the evidence, keeps the records and carries the decisions out.
//
// docs/recovery.md weighs the ways; docs/recovery-operations.md is the page for operators.
package recovery

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"postpoint/internal/clock"
	"postpoint/internal/settings"
)

// Settings are the operators' file.
type Settings struct {
	// SuspectShare of a zone's machines silent make it suspect, LostShare lost.
	SuspectShare float64 `toml:"suspect_share" validate:"gt=0,lte=1"`
	LostShare    float64 `toml:"lost_share" validate:"gt=0,lte=1,gtefield=SuspectShare"`
	// VerdictS is for how long a zone has to be silent before it counts as lost, SettleS for how
	// long it has to be well before it counts as healthy again.
	VerdictS float64 `toml:"verdict_s" validate:"gt=0"`
	SettleS  float64 `toml:"settle_s" validate:"gte=0"`
	// TasksPerS is how many of the lost zone's tasks are let start elsewhere in a second.
	TasksPerS float64 `toml:"tasks_per_s" validate:"gt=0"`
	// Order of the kinds of work.
	Order   []Kind        `toml:"order"`
	Reserve ReservePart   `toml:"reserve"`
	Zones   []ZoneSetting `toml:"zones" validate:"dive"`
}

// ReservePart says how much room is kept for the loss of a zone.
type ReservePart struct {
	// Share of what runs in each zone that other zones have room for at any time.
	Share float64 `toml:"share" validate:"gte=0,lte=1"`
	// Classes of jobs for which it is kept; none: all.
	Classes []string `toml:"classes"`
}

// ZoneSetting is an operator's hand on one zone.
type ZoneSetting struct {
	Name   string `toml:"name" validate:"required"`
	Action Action `toml:"action" validate:"required"`
}

// Action is what an operator asks for.
type Action string

// The actions.
const (
	// Hold keeps a recovery where it is: nothing more of the zone's work is let start.
	Hold Action = "hold"
	// Hasten takes a suspect zone for lost at once, and lets all of its work start.
	Hasten Action = "hasten"
	// End takes the zone for healthy, whatever there is against it.
	End Action = "end"
)

// Kind is a kind of work that a recovery tells apart.
type Kind string

// The kinds, in the order in which they are started unless the file has another.
const (
	Services  Kind = "services"
	Deadlines Kind = "deadlines" // jobs that can still end in time
	Gangs     Kind = "gangs"
	Arrays    Kind = "arrays"
	Rest      Kind = "rest" // jobs that are too late for whatever is expected of them
)

// DefaultOrder is the written order of recovery.
func DefaultOrder() []Kind { return []Kind{Services, Deadlines, Gangs, Arrays, Rest} }

// Defaults are the settings of an empty file.
func Defaults() Settings {
	return Settings{SuspectShare: 0.5, LostShare: 0.9, VerdictS: 6, SettleS: 10, TasksPerS: 200, Order: DefaultOrder()}
}

// Load reads and checks FILE for a controller with the given settings.
func Load(path string, set *settings.Settings) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	s, err := Parse(raw, set)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

// Parse checks the text of a recovery file. The error names the field at fault.
func Parse(raw []byte, set *settings.Settings) (*Settings, error) {
	s := Defaults()
	if err := toml.NewDecoder(bytes.NewReader(raw)).DisallowUnknownFields().Decode(&s); err != nil {
		var unknown *toml.StrictMissingError
		if errors.As(err, &unknown) {
			return nil, fmt.Errorf("%s: unknown field", strings.Join(unknown.Errors[0].Key(), "."))
		}
		return nil, err
	}
	if err := settings.Validate(&s, "toml"); err != nil {
		return nil, err
	}
	if err := s.checkOrder(); err != nil {
		return nil, err
	}
	if lease := set.Deployment.Workers.LeaseS; s.VerdictS >= lease {
		return nil, fmt.Errorf("verdict_s: %v is not under the workers' lease of %v s, after which machines are given up one by one", s.VerdictS, lease)
	}
	return &s, s.checkZones(set)
}

// checkOrder sees to it that the order is total.
func (s *Settings) checkOrder() error {
	for i, k := range s.Order {
		if !slices.Contains(DefaultOrder(), k) {
			return fmt.Errorf("order[%d]: %q is none of %v", i, k, DefaultOrder())
		}
		if slices.Contains(s.Order[:i], k) {
			return fmt.Errorf("order[%d]: %q is listed twice", i, k)
		}
	}
	if len(s.Order) != len(DefaultOrder()) {
		return fmt.Errorf("order: has to list all of %v", DefaultOrder())
	}
	return nil
}

func (s *Settings) checkZones(set *settings.Settings) error {
	for i, z := range s.Zones {
		switch z.Action {
		case Hold, Hasten, End:
		default:
			return fmt.Errorf("zones[%d].action: %q is none of hold, hasten, end", i, z.Action)
		}
		if len(set.Deployment.Zones) > 0 && !slices.Contains(set.Deployment.Zones, z.Name) {
			return fmt.Errorf("zones[%d].name: %q is not among the deployment's zones", i, z.Name)
		}
		if slices.ContainsFunc(s.Zones[:i], func(other ZoneSetting) bool { return other.Name == z.Name }) {
			return fmt.Errorf("zones[%d].name: %q is listed twice", i, z.Name)
		}
	}
	return nil
}

// Action is the operator's hand on a zone, "" for none.
func (s *Settings) Action(zone string) Action {
	for _, z := range s.Zones {
		if z.Name == zone {
			return z.Action
		}
	}
	return ""
}

func (s *Settings) verdictTime() clock.Micros { return clock.FromSeconds(s.VerdictS) }

func (s *Settings) settleTime() clock.Micros { return clock.FromSeconds(s.SettleS) }
