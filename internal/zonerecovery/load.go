package zonerecovery

import (
	"fmt"
	"slices"

	"postpoint/internal/configfile"
	"postpoint/internal/settings"
)

// Load reads and checks the file at path for a controller with the given settings. The error names
// the field at fault.
func Load(path string, set *settings.Settings) (*Settings, error) {
	return configfile.Load(path, func(raw []byte) (*Settings, error) { return Parse(raw, set) })
}

// Parse checks the text of a recovery file. What it leaves out has the values of Defaults, unknown
// fields are refused.
func Parse(raw []byte, set *settings.Settings) (*Settings, error) {
	s := Defaults()
	if err := configfile.DecodeTOML(raw, &s); err != nil {
		return nil, err
	}
	if err := s.checkOrder(); err != nil {
		return nil, err
	}
	if err := s.checkLossDelay(set.Deployment.Workers.LeaseS); err != nil {
		return nil, err
	}
	if err := s.checkZones(set.Deployment.Zones); err != nil {
		return nil, err
	}
	return &s, nil
}

// checkOrder makes sure that the order has each kind once.
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

// checkLossDelay makes sure that a zone can be lost before its machines are given up one by one.
func (s *Settings) checkLossDelay(leaseS float64) error {
	if s.LossDelayS < leaseS {
		return nil
	}
	return configfile.Invalid("verdict_s", s.LossDelayS,
		"is not under the workers' lease of %v s, after which machines are given up one by one", leaseS)
}

// checkZones refuses unknown actions and zones, and zones that are listed twice.
func (s *Settings) checkZones(deployed []string) error {
	for i, override := range s.Zones {
		field := fmt.Sprintf("zones[%d]", i)
		switch override.Action {
		case Hold, Hasten, End:
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
