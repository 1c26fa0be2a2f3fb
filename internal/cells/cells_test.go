package cells

import (
	"os"
	"strings"
	"testing"

	"postpoint/internal/settings"
)

func ownSettings() *settings.Settings {
	s := &settings.Settings{Node: "worker-0", Known: []settings.Peer{{Node: "worker-1"}, {Node: "worker-2"}}}
	s.Deployment.Teams = []settings.Team{{Name: "evaluare"}}
	s.Deployment.Workers = settings.Workers{ReportS: 2.5, LeaseS: 16, GangWaitS: 40, GangPeerS: 5, CancelS: 36}
	return s
}

func example(t *testing.T) string {
	t.Helper()
	raw, err := os.ReadFile("../../deploy/cells.toml")
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}

// The file under deploy/ is good, and says what it seems to.
func TestExampleFile(t *testing.T) {
	d, err := Parse([]byte(example(t)), ownSettings())
	if err != nil {
		t.Fatal(err)
	}
	if d.Own.Name != "alpha" || len(d.Others()) != 1 || d.Own.Address("worker-1") != "10.0.0.2:8082" || !d.TakesFrom("beta") {
		t.Errorf("own %+v", d.Own)
	}
	if _, ok := d.Rule("extrase", "evaluare"); !ok {
		t.Error("extrase may not spill")
	}
	if _, ok := d.Rule("revaluare", "evaluare"); ok {
		t.Error("revaluare may spill")
	}
	if p := LongestPermission(ownSettings().Deployment.Workers, ClearTime(d.Cell("beta").Lease)); p.Seconds() < 10.9 || p.Seconds() > 11 {
		t.Errorf("a permission of %v s", p.Seconds())
	}
}

// Each fault is refused with the name of its field.
func TestFaultsAreNamed(t *testing.T) {
	good := example(t)
	for _, c := range []struct{ old, replacement, field string }{
		{`cell = "alpha"`, `cell = "delta"`, "cell:"},
		{`cell = "alpha"`, ``, "cell:"},
		{`name = "beta"`, `name = "alpha"`, "cells[1].name"},
		{`name = "beta"`, `name = "Beta 2"`, "cells[1].name"},
		{`lease_s = 16.0                `, `lease_s = 12.0`, "cells.alpha.lease_s"},
		{`node = "worker-1"`, `node = "worker-7"`, "cells.alpha.controllers"},
		{`"10.0.0.3:8082"`, `"10.0.0.2:8082"`, "controllers[2].address"},
		{`"10.1.0.1:8082"`, `"beta.example.org:8082"`, "address"},
		{`reserve = { cpus = 16.0`, `reserve = { cpus = -1.0`, "reserve.cpus"},
		{`guests = { cpus = 64.0, gpus = 4.0 }`, ``, "spill[0].to"},
		{`to = ["beta"]`, `to = ["gamma"]`, "spill[0].to"},
		{`to = ["beta"]`, `to = ["alpha"]`, "spill[0].to"},
		{`to = ["beta"]`, `to = ["beta", "beta"]`, "spill[0].to"},
		{`from = "beta"`, `from = "gamma"`, "spill[1].from"},
		{`from = "beta"`, "from = \"alpha\"\nclasses = [\"extrase\"]", "spill[1].to"},
		{"from = \"beta\"\nto = [\"alpha\"]", "from = \"alpha\"\nclasses = [\"extrase\"]\nto = [\"beta\"]", "spill[1]:"},
		{`to = ["beta"]`, "to = [\"beta\"]\nteams = [\"nobody\"]", "spill[0].teams"},
		{`to = ["beta"]`, "to = [\"beta\"]\nsplit_gangs = true", "spill[0].split_gangs"},
		{`after_s = 15.0`, `after_s = -1.0`, "spill[0].after_s"},
		{`after_s = 15.0`, `afterwards = 15.0`, "afterwards"},
		{"lease_s = 16.0\nguests", "lease_s = 24.0\nguests", "spill[0].to"}, // no time for a permission
	} {
		text := strings.Replace(good, c.old, c.replacement, 1)
		if text == good {
			t.Fatalf("%q isn't in the example", c.old)
		}
		if _, err := Parse([]byte(text), ownSettings()); err == nil || !strings.Contains(err.Error(), c.field) {
			t.Errorf("%q for %q: %v", c.replacement, c.old, err)
		}
	}
}
