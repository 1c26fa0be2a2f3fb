// Package zonerecovery decides what is done about the loss of a zone: when a zone counts as lost and as
// returned, in which order its work starts elsewhere, and at which pace. It owns the phases of a zone,
// their record, the order of displaced jobs, the token bucket that paces them, and the operators'
// file. It doesn't own the evidence, the key-value store or the placement of tasks: the leader
// (internal/leader) gathers the first, writes the second and carries the decisions out. The package
// is pure: it reads no clock and sends nothing.
//
// docs/recovery-operations.md is the page for operators.
package zonerecovery

import "postpoint/internal/clock"

// Settings are the operators' file.
type Settings struct {
	// SuspectShare is which share of a zone's machines has to be silent for it to become suspect.
	SuspectShare float64 `toml:"suspect_share" validate:"gt=0,lte=1"`
	// LostShare is which share has to be silent for the zone to become lost.
	LostShare float64 `toml:"lost_share" validate:"gt=0,lte=1,gtefield=SuspectShare"`
	// LossDelayS is for how many seconds a zone has to be silent before it counts as lost.
	LossDelayS float64 `toml:"verdict_s" validate:"gt=0"`
	// ReturnDelayS is for how many seconds it has to be well before it counts as healthy again.
	ReturnDelayS float64 `toml:"settle_s" validate:"gte=0"`
	// TasksPerS is how many of the lost zone's tasks may start elsewhere in a second.
	TasksPerS float64 `toml:"tasks_per_s" validate:"gt=0"`
	// Order is the order of the kinds of work, the first of which starts first.
	Order   []Kind          `toml:"order"`
	Reserve ReserveSettings `toml:"reserve"`
	Zones   []ZoneOverride  `toml:"zones" validate:"dive"`
}

// ReserveSettings say how much room is kept for the loss of a zone.
type ReserveSettings struct {
	// Share is the share of what runs in each zone for which other zones keep room at any time.
	Share float64 `toml:"share" validate:"gte=0,lte=1"`
	// Classes are the classes of jobs for which it is kept; none: all.
	Classes []string `toml:"classes"`
}

// ZoneOverride is what an operator orders for one zone.
type ZoneOverride struct {
	Name   string `toml:"name" validate:"required"`
	Action Action `toml:"action" validate:"required"`
}

// Action is what an operator may order for a zone.
type Action string

// The actions.
const (
	// Hold keeps the zone's phase as it is and starts no more of its displaced work.
	Hold Action = "hold"
	// Hasten counts a silent zone as lost at once and starts all of its displaced work.
	Hasten Action = "hasten"
	// End counts the zone as healthy, whatever the evidence.
	End Action = "end"
)

// Kind is a kind of work by which displaced jobs are ordered.
type Kind string

// The kinds, in the order in which they start unless the file has another.
const (
	Services      Kind = "services"
	Deadlines     Kind = "deadlines" // jobs that can still end in time
	Gangs         Kind = "gangs"
	Arrays        Kind = "arrays"
	PastObjective Kind = "rest" // jobs whose service-level objectives are missed already
)

// DefaultOrder returns the order of kinds unless the file has another: what users notice first
// comes first, what is too late anyway last.
func DefaultOrder() []Kind { return []Kind{Services, Deadlines, Gangs, Arrays, PastObjective} }

// The settings of an empty file.
const (
	defaultSuspectShare = 0.5
	// defaultLostShare tolerates a few machines of a lost zone that still report.
	defaultLostShare = 0.9
	// defaultLossDelayS is a little over two heartbeats of a worker at 2.5 s each, and has to be under
	// the lease: shorter cuts heal by themselves.
	defaultLossDelayS   = 6
	defaultReturnDelayS = 10
	// defaultTasksPerS spreads the starts of a large zone's tasks over seconds.
	defaultTasksPerS = 200
)

// Defaults returns the settings of an empty file.
func Defaults() Settings {
	return Settings{
		SuspectShare: defaultSuspectShare,
		LostShare:    defaultLostShare,
		LossDelayS:   defaultLossDelayS,
		ReturnDelayS: defaultReturnDelayS,
		TasksPerS:    defaultTasksPerS,
		Order:        DefaultOrder(),
	}
}

// Action returns what an operator ordered for a zone, "" for nothing.
func (s *Settings) Action(zone string) Action {
	for _, override := range s.Zones {
		if override.Name == zone {
			return override.Action
		}
	}
	return ""
}

func (s *Settings) lossDelay() clock.Micros { return clock.FromSeconds(s.LossDelayS) }

func (s *Settings) returnDelay() clock.Micros { return clock.FromSeconds(s.ReturnDelayS) }
