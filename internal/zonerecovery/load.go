package zonerecovery

import (
	"fmt"
	"slices"

	"postpoint/internal/configfile"
	"postpoint/internal/settings"
)

// Load reads and validates the recovery file at path for a controller with the given settings. The error
// names the invalid field.
func Load(path string, config *settings.Settings) (*Settings, error) {
	return configfile.Load(path, func(raw []byte) (*Settings, error) { return Parse(raw, config) })
}

// Parse decodes and validates the text of a recovery file. Fields that the file leaves out have the values of
// Defaults. Parse rejects unknown fields.
func Parse(raw []byte, config *settings.Settings) (*Settings, error) {
	s := Defaults()
	if err := configfile.DecodeTOML(raw, &s); err != nil {
		return nil, err
	}
	if err := s.checkOrder(); err != nil {
		return nil, err
	}
	if err := s.checkLossDelay(config.Deployment.Workers.LeaseS); err != nil {
		return nil, err
	}
	if err := s.checkZones(config.Deployment.Zones); err != nil {
		return nil, err
	}
	return &s, nil
}

// checkOrder rejects an order that doesn't list each kind exactly once.
func (s *Settings) checkOrder() error {
	kinds := DefaultOrder()
	for i, kind := range s.Order {
		field := fmt.Sprintf("order[%d]", i)
		if !slices.Contains(kinds, kind) {
			return configfile.Invalid(field, string(kind), "is none of %v", kinds)
		}
		if slices.Contains(s.Order[:i], kind) {
			return configfile.Invalid(field, string(kind), "is listed twice")
		}
	}
	if len(s.Order) != len(kinds) {
		problem := fmt.Sprintf("has to list all of %v", kinds)
		return &configfile.FieldError{Field: "order", Value: s.Order, Problem: problem}
	}
	return nil
}

// checkLossDelay rejects a loss delay that isn't shorter than the lease of workers. With such a delay, the
// leader would give up the machines of a zone one by one before the zone counts as lost.
func (s *Settings) checkLossDelay(leaseS float64) error {
	if s.LossDelayS < leaseS {
		return nil
	}
	return configfile.Invalid("verdict_s", s.LossDelayS,
		"is not under the workers' lease of %v s, after which machines are given up one by one", leaseS)
}

// checkZones rejects unknown actions, unknown zones and zones that are listed twice.
func (s *Settings) checkZones(deployed []string) error {
	for i, override := range s.Zones {
		field := fmt.Sprintf("zones[%d]", i)
		switch override.Action {
		case Hold, DeclareLost, DeclareHealthy:
		default:
			return configfile.Invalid(field+".action", string(override.Action),
				"is none of hold, hasten, end")
		}
		if len(deployed) > 0 && !slices.Contains(deployed, override.Name) {
			return configfile.Invalid(field+".name", override.Name, "is not among the deployment's zones")
		}
		sameZone := func(other ZoneOverride) bool { return other.Name == override.Name }
		if slices.ContainsFunc(s.Zones[:i], sameZone) {
			return configfile.Invalid(field+".name", override.Name, "is listed twice")
		}
	}
	return nil
}
