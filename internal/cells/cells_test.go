package cells

import (
	"testing"

	"postpoint/internal/configfile/configtest"
	"postpoint/internal/settings"
)

// ownSettings returns the settings of a controller of cell alpha.
func ownSettings() *settings.Settings {
	s := &settings.Settings{Node: "worker-0", Peers: []settings.Peer{{Node: "worker-1"}, {Node: "worker-2"}}}
	s.Deployment.Teams = []settings.Team{{Name: "evaluare"}}
	s.Deployment.Workers = settings.Workers{
		HeartbeatS:       2.5,
		LeaseS:           16,
		GangWaitS:        40,
		GangPeerTimeoutS: 5,
		CancelS:          36,
	}
	return s
}

// exampleDirectory parses the cells file under deploy/ for a controller of cell alpha.
func exampleDirectory(t *testing.T) *Directory {
	t.Helper()
	d, err := Parse([]byte(configtest.ReadExample(t, "cells.toml")), ownSettings())
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// The example file under deploy/ must describe cell alpha with its addresses, and one other cell, whose jobs
// alpha accepts.
func TestExampleFileListsCells(t *testing.T) {
	d := exampleDirectory(t)
	if d.Own.Name != "alpha" {
		t.Errorf("own cell %q, want alpha", d.Own.Name)
	}
	if n := len(d.Others()); n != 1 {
		t.Errorf("%d other cells, want 1", n)
	}
	if address := d.Own.Address("worker-1"); address != "10.0.0.2:8082" {
		t.Errorf("worker-1 has address %q, want 10.0.0.2:8082", address)
	}
	if !d.AcceptsFrom("beta") {
		t.Error("alpha accepts no jobs from beta, want it to accept them")
	}
}

// A rule of the example file must apply to a class that it lists, and not to a class that it doesn't list.
func TestExampleFileLimitsOffloadingByClass(t *testing.T) {
	d := exampleDirectory(t)
	if _, ok := d.OffloadRule("extrase", "evaluare"); !ok {
		t.Error("no rule allows class extrase to be offloaded, want one")
	}
	if _, ok := d.OffloadRule("revaluare", "evaluare"); ok {
		t.Error("a rule allows class revaluare to be offloaded, want none")
	}
}

// The longest permission must be about 11 s for the lease of the host cell in the example file.
func TestLongestPermissionOfExampleFile(t *testing.T) {
	d := exampleDirectory(t)
	p := MaxPermission(ownSettings().Deployment.Workers, MaxTerminationTime(d.Cell("beta").Lease))
	if p.Seconds() < 10.9 || p.Seconds() > 11 {
		t.Errorf("permission of %v s, want between 10.9 and 11", p.Seconds())
	}
}

// The error for an invalid field must name that field.
func TestParseNamesFieldAtFault(t *testing.T) {
	const (
		betaToAlpha = "from = \"beta\"\nto = [\"alpha\"]"
		alphaToBeta = "from = \"alpha\"\nclasses = [\"extrase\"]\nto = [\"beta\"]"
	)
	faults := []configtest.Fault{
		{Old: `cell = "alpha"`, New: `cell = "delta"`, Field: "cell:"},
		{Old: `cell = "alpha"`, New: ``, Field: "cell:"},
		{Old: `name = "beta"`, New: `name = "alpha"`, Field: "cells[1].name"},
		{Old: `name = "beta"`, New: `name = "Beta 2"`, Field: "cells[1].name"},
		{Old: `lease_s = 16.0                `, New: `lease_s = 12.0`, Field: "cells.alpha.lease_s"},
		{Old: `node = "worker-1"`, New: `node = "worker-7"`, Field: "cells.alpha.controllers"},
		{Old: `"10.0.0.3:8082"`, New: `"10.0.0.2:8082"`, Field: "controllers[2].address"},
		{Old: `"10.1.0.1:8082"`, New: `"beta.example.org:8082"`, Field: "address"},
		{Old: `reserve = { cpus = 16.0`, New: `reserve = { cpus = -1.0`, Field: "reserve.cpus"},
		{Old: `guests = { cpus = 64.0, gpus = 4.0 }`, New: ``, Field: "spill[0].to"},
		{Old: `to = ["beta"]`, New: `to = ["gamma"]`, Field: "spill[0].to"},
		{Old: `to = ["beta"]`, New: `to = ["alpha"]`, Field: "spill[0].to"},
		{Old: `to = ["beta"]`, New: `to = ["beta", "beta"]`, Field: "spill[0].to"},
		{Old: `from = "beta"`, New: `from = "gamma"`, Field: "spill[1].from"},
		{Old: `from = "beta"`, New: "from = \"alpha\"\nclasses = [\"extrase\"]", Field: "spill[1].to"},
		{Old: betaToAlpha, New: alphaToBeta, Field: "spill[1]:"},
		{Old: `to = ["beta"]`, New: "to = [\"beta\"]\nteams = [\"nobody\"]", Field: "spill[0].teams"},
		{Old: `to = ["beta"]`, New: "to = [\"beta\"]\nsplit_gangs = true", Field: "spill[0].split_gangs"},
		{Old: `after_s = 15.0`, New: `after_s = -1.0`, Field: "spill[0].after_s"},
		{Old: `after_s = 15.0`, New: `afterwards = 15.0`, Field: "afterwards"},
		// This lease of the host cell leaves no time for a permission.
		{Old: "lease_s = 16.0\nguests", New: "lease_s = 24.0\nguests", Field: "spill[0].to"},
	}
	configtest.RequireRejected(t, configtest.ReadExample(t, "cells.toml"), faults, func(raw []byte) error {
		_, err := Parse(raw, ownSettings())
		return err
	})
}
