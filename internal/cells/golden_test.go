package cells

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/pelletier/go-toml/v2"

	"postpoint/internal/clock"
	"postpoint/internal/configfile/configtest"
	"postpoint/internal/goldentest"
	"postpoint/internal/planner"
)

const goldenText = `cell = 'alpha'

[[cells]]
name = 'alpha'
lease_s = 16.0
drain = true

[[cells.controllers]]
node = 'worker-0'
address = '10.0.0.1:8082'

[[cells.controllers]]
node = 'worker-1'
address = '10.0.0.2:8082'

[[cells.controllers]]
node = 'worker-2'
address = '10.0.0.3:8082'

[cells.guests]
cpus = 128.5
gpus = 8.0

[cells.reserve]
cpus = 16.25
gpus = 2.0

[[cells]]
name = 'beta'
lease_s = 12.5
drain = false

[[cells.controllers]]
node = 'worker-0'
address = '10.1.0.1:8082'

[cells.guests]
cpus = 64.0
gpus = 4.0

[cells.reserve]
cpus = 0.0
gpus = 0.0

[[spill]]
from = 'alpha'
classes = ['scenarii', 'extrase']
teams = ['evaluare']
to = ['beta']
after_s = 15.5
split_gangs = false
`

func goldenContents() file {
	return file{
		Cell: "alpha",
		Cells: []cellEntry{
			{
				Name: "alpha",
				Controllers: []controllerEntry{
					{Node: "worker-0", Address: "10.0.0.1:8082"},
					{Node: "worker-1", Address: "10.0.0.2:8082"},
					{Node: "worker-2", Address: "10.0.0.3:8082"},
				},
				LeaseS:      16,
				HostedQuota: resourcesEntry{Cpus: 128.5, Gpus: 8},
				Reserve:     resourcesEntry{Cpus: 16.25, Gpus: 2},
				Drain:       true,
			},
			{
				Name:        "beta",
				Controllers: []controllerEntry{{Node: "worker-0", Address: "10.1.0.1:8082"}},
				LeaseS:      12.5,
				HostedQuota: resourcesEntry{Cpus: 64, Gpus: 4},
			},
		},
		OffloadRules: []ruleEntry{{
			From:     "alpha",
			Classes:  []string{"scenarii", "extrase"},
			Teams:    []string{"evaluare"},
			To:       []string{"beta"},
			MinWaitS: 15.5,
		}},
	}
}

var unexportedFields = cmp.AllowUnexported(Directory{})

// Parse must read a cells file with all fields into the expected directory, and the contents must be written
// as the same file.
func TestGoldenFile(t *testing.T) {
	goldentest.RequireTags(t, "toml", file{})
	goldentest.RequireFieldsSet(t, "cell", goldenContents().Cells[0])
	var contents file
	if err := toml.Unmarshal([]byte(goldenText), &contents); err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(goldenContents(), contents); d != "" {
		t.Error(d)
	}
	written, err := toml.Marshal(goldenContents())
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Equal(t, "file", written, goldenText)

	got, err := Parse([]byte(goldenText), ownSettings())
	if err != nil {
		t.Fatal(err)
	}
	alpha := &Cell{
		Name: "alpha",
		Controllers: []Controller{
			{Node: "worker-0", Address: "10.0.0.1:8082"},
			{Node: "worker-1", Address: "10.0.0.2:8082"},
			{Node: "worker-2", Address: "10.0.0.3:8082"},
		},
		Lease:       16 * clock.Second,
		HostedQuota: planner.Resources{Cpus: 128.5, Gpus: 8},
		Reserve:     planner.Resources{Cpus: 16.25, Gpus: 2},
		Draining:    true,
	}
	beta := &Cell{
		Name:        "beta",
		Controllers: []Controller{{Node: "worker-0", Address: "10.1.0.1:8082"}},
		Lease:       12_500 * clock.Millisecond,
		HostedQuota: planner.Resources{Cpus: 64, Gpus: 4},
	}
	want := &Directory{
		Own:   alpha,
		cells: []*Cell{alpha, beta},
		rules: []OffloadRule{{
			From:    "alpha",
			Classes: []string{"scenarii", "extrase"},
			Teams:   []string{"evaluare"},
			To:      []string{"beta"},
			MinWait: 15_500 * clock.Millisecond,
		}},
	}
	if d := cmp.Diff(want, got, unexportedFields); d != "" {
		t.Error(d)
	}
}

// Parse must read the example file under deploy/ into the expected directory.
func TestGoldenExampleFile(t *testing.T) {
	got, err := Parse([]byte(configtest.ReadExample(t, "cells.toml")), ownSettings())
	if err != nil {
		t.Fatal(err)
	}
	alpha := &Cell{
		Name: "alpha",
		Controllers: []Controller{
			{Node: "worker-0", Address: "10.0.0.1:8082"},
			{Node: "worker-1", Address: "10.0.0.2:8082"},
			{Node: "worker-2", Address: "10.0.0.3:8082"},
		},
		Lease:       16 * clock.Second,
		HostedQuota: planner.Resources{Cpus: 128, Gpus: 8},
		Reserve:     planner.Resources{Cpus: 16},
	}
	beta := &Cell{
		Name: "beta",
		Controllers: []Controller{
			{Node: "worker-0", Address: "10.1.0.1:8082"},
			{Node: "worker-1", Address: "10.1.0.2:8082"},
			{Node: "worker-2", Address: "10.1.0.3:8082"},
		},
		Lease:       16 * clock.Second,
		HostedQuota: planner.Resources{Cpus: 64, Gpus: 4},
	}
	want := &Directory{
		Own:   alpha,
		cells: []*Cell{alpha, beta},
		rules: []OffloadRule{
			{
				From:    "alpha",
				Classes: []string{"scenarii", "extrase"},
				To:      []string{"beta"},
				MinWait: 15 * clock.Second,
			},
			{From: "beta", To: []string{"alpha"}, MinWait: 15 * clock.Second},
		},
	}
	if d := cmp.Diff(want, got, unexportedFields); d != "" {
		t.Error(d)
	}
}

// The error messages for invalid files are shown to operators and must not change.
func TestGoldenFileErrors(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{"", "cell: fails the check required  (is \"\")"},
		{"cell = 'alpha'\nother = 1", "other: unknown field"},
		{"cell = 'alpha'\n[[cells]]\nname = 'alpha'\nlease_s = 1.0\ncontrollers = [{ node = 'a', address = 'b' }]",
			"cells[0].controllers[0].address: fails the check ipv4port  (is \"b\")"},
		{"cell = 'alpha'\n[[cells]]\nname = 'alpha'\nlease_s = 1.0\nguests = { cpus = -1.0 }\n" +
			"controllers = [{ node = 'a', address = '10.0.0.1:1' }]",
			"cells[0].guests.cpus: fails the check gte 0 (is \"-1\")"},
	} {
		_, err := Parse([]byte(c.text), ownSettings())
		if err == nil {
			t.Errorf("%q is accepted, want an error", c.text)
			continue
		}
		goldentest.Equal(t, c.text, []byte(err.Error()), c.want)
	}
}
