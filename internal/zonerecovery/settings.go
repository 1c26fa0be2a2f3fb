// Package zonerecovery decides how the leader handles the loss of a zone: when a zone counts as lost or as
// returned, in which order its displaced jobs start in other zones, and at which rate. It owns the phases
// of a zone, their record, the order of displaced jobs, the token bucket that limits their rate, and the
// recovery file that operators write. It doesn't own the evidence, the key-value store or the placement of
// tasks: the leader (internal/leader) gathers the evidence, writes the store and carries out the decisions.
// The package is pure: it reads no clock and sends nothing.
//
// docs/recovery-operations.md describes zone recovery for operators.
package zonerecovery

import "postpoint/internal/clock"

// Settings are the contents of the recovery file.
type Settings struct {
	// SuspectShare is the share of a zone's machines that must be silent for the zone to become suspect.
	SuspectShare float64 `toml:"suspect_share" validate:"gt=0,lte=1"`
	// LostShare is the share of a zone's machines that must be silent for the zone to become lost.
	LostShare float64 `toml:"lost_share" validate:"gt=0,lte=1,gtefield=SuspectShare"`
	// LossDelayS is the time in seconds that a zone must be silent before it counts as lost.
	LossDelayS float64 `toml:"verdict_s" validate:"gt=0"`
	// ReturnDelayS is the time in seconds for which nearly all machines of a returning zone must send
	// heartbeats before it counts as healthy again.
	ReturnDelayS float64 `toml:"settle_s" validate:"gte=0"`
	// TasksPerS is the rate at which displaced tasks may start in other zones, in tasks per second.
	TasksPerS float64 `toml:"tasks_per_s" validate:"gt=0"`
	// Order lists the kinds of displaced jobs in the order in which they start.
	Order   []JobKind       `toml:"order"`
	Reserve ReserveSettings `toml:"reserve"`
	Zones   []ZoneOverride  `toml:"zones" validate:"dive"`
}

// ReserveSettings define the capacity that is reserved for the loss of a zone.
type ReserveSettings struct {
	// Share is the share of each zone's running work for which other zones reserve capacity at all times.
	Share float64 `toml:"share" validate:"gte=0,lte=1"`
	// Classes lists the job classes that the reserve is for. An empty list means all classes.
	Classes []string `toml:"classes"`
}

// ZoneOverride is an operator's override for one zone.
type ZoneOverride struct {
	Name   string `toml:"name" validate:"required"`
	Action Action `toml:"action" validate:"required"`
}

// Action is what an override does with a zone.
type Action string

// The actions.
const (
	// Hold keeps the zone's phase as it is and starts no more of its displaced tasks.
	Hold Action = "hold"
	// DeclareLost counts a silent zone as lost at once and starts all of its displaced tasks.
	DeclareLost Action = "hasten"
	// DeclareHealthy counts the zone as healthy, regardless of the evidence.
	DeclareHealthy Action = "end"
)

// JobKind is a kind of displaced job. Jobs of one kind start before those of the next.
type JobKind string

// The kinds, in the default order.
const (
	Services      JobKind = "services"
	Deadlines     JobKind = "deadlines" // jobs that can still meet their deadlines
	Gangs         JobKind = "gangs"
	Arrays        JobKind = "arrays"
	PastObjective JobKind = "rest" // jobs that have already missed their service-level objectives
)

// DefaultOrder returns the order of kinds that applies unless the file sets another. The kinds whose loss
// users notice first come first. Jobs that are too late in any case come last.
func DefaultOrder() []JobKind { return []JobKind{Services, Deadlines, Gangs, Arrays, PastObjective} }

// The settings of an empty file.
const (
	defaultSuspectShare = 0.5
	// defaultLostShare is below 1 because a few machines of a lost zone may still send heartbeats.
	defaultLostShare = 0.9
	// defaultLossDelayS is a little over two heartbeat intervals of 2.5 s each, because shorter interruptions
	// end by themselves. It must be shorter than the lease of workers.
	defaultLossDelayS   = 6
	defaultReturnDelayS = 10
	// defaultTasksPerS spreads the starts of a large zone's tasks over several seconds.
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

// Action returns the action of the override for a zone, or "" if there is none.
func (s *Settings) Action(zone string) Action {
	for _, override := range s.Zones {
		if override.Name == zone {
			return override.Action
		}
	}
	return ""
}

// lossDelay returns LossDelayS as a duration.
func (s *Settings) lossDelay() clock.Micros { return clock.FromSeconds(s.LossDelayS) }

// returnDelay returns ReturnDelayS as a duration.
func (s *Settings) returnDelay() clock.Micros { return clock.FromSeconds(s.ReturnDelayS) }
