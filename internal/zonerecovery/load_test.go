package zonerecovery

import (
	"slices"
	"testing"

	"postpoint/internal/configfile/configtest"
	"postpoint/internal/settings"
)

// deploymentSettings returns the settings of a deployment in two zones.
func deploymentSettings() *settings.Settings {
	s := &settings.Settings{}
	s.Deployment.Zones = []string{"somes", "mures"}
	s.Deployment.Workers = settings.Workers{LeaseS: 16}
	return s
}

// The example file under deploy/ must be valid and show the default order.
func TestExampleFileHasDefaultOrder(t *testing.T) {
	s, err := Parse([]byte(configtest.ReadExample(t, "recovery.toml")), deploymentSettings())
	if err != nil {
		t.Fatal(err)
	}
	if !slices.Equal(s.Order, DefaultOrder()) {
		t.Errorf("order %v, want %v", s.Order, DefaultOrder())
	}
}

// Parse must use the default loss delay for an empty file.
func TestEmptyFileHasDefaults(t *testing.T) {
	s, err := Parse(nil, deploymentSettings())
	if err != nil {
		t.Fatal(err)
	}
	if want := Defaults().LossDelayS; s.LossDelayS != want {
		t.Errorf("loss delay %v s, want %v s", s.LossDelayS, want)
	}
}

// The error for an invalid field must name that field.
func TestParseNamesFieldAtFault(t *testing.T) {
	const (
		settle             = "settle_s = 10.0"
		milanoHold         = `{ name = "milano", action = "hold" }`
		somesUnknownAction = `{ name = "somes", action = "wait" }`
		somesEnd           = `{ name = "somes", action = "end" }`
	)
	faults := []configtest.Fault{
		{Old: "verdict_s = 6.0", New: "verdict_s = 16.0", Field: "verdict_s"},
		{Old: "verdict_s = 6.0", New: "verdict_s = 0.0", Field: "verdict_s"},
		{Old: "lost_share = 0.9", New: "lost_share = 0.4", Field: "lost_share"},
		{Old: "suspect_share = 0.5", New: "suspect_share = 1.5", Field: "suspect_share"},
		{Old: "tasks_per_s = 200.0", New: "tasks_per_s = -1.0", Field: "tasks_per_s"},
		{Old: `"gangs", `, New: ``, Field: "order"},
		{Old: `"gangs", `, New: `"gangs", "gangs", `, Field: "order[3]"},
		{Old: `"gangs", `, New: `"orchestras", `, Field: "order[2]"},
		{Old: "share = 0.0", New: "share = 1.1", Field: "reserve.share"},
		{Old: settle, New: "settles = 10.0", Field: "settles"},
		{Old: settle, New: settle + "\nzones = [" + milanoHold + "]", Field: "zones[0].name"},
		{Old: settle, New: settle + "\nzones = [" + somesUnknownAction + "]", Field: "zones[0].action"},
		{Old: settle, New: settle + "\nzones = [" + somesEnd + ", " + somesEnd + "]",
			Field: "zones[1].name"},
	}
	configtest.RequireRejected(t, configtest.ReadExample(t, "recovery.toml"), faults, func(raw []byte) error {
		_, err := Parse(raw, deploymentSettings())
		return err
	})
}
