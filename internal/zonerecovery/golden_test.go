package zonerecovery

import (
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/pelletier/go-toml/v2"

	"postpoint/internal/clock"
	"postpoint/internal/goldentest"
	"postpoint/internal/protocol"
	"postpoint/internal/settings"
)

// The stored form of a zone must stay byte for byte as recorded here, so that a leader of another version
// reads it.
func TestGoldenStoredZones(t *testing.T) {
	goldentest.Equal(t, "prefix", []byte(Prefix), "recovery/")
	goldentest.Equal(t, "key", []byte(Key("somes")), "recovery/somes")
	const clockOffset = 1_764_668_400 * clock.Second
	for _, c := range []struct {
		zone  Zone
		bytes string
	}{
		{Zone{Name: "somes", Phase: Lost, Losses: 3, Since: 60 * clock.Second, Flaps: 2},
			"\x84\xa6number\x03\xa5phase\xa4lost\xa5since\xcf\x00\x06D\xf4\xe4\xb4c\x00\xa5flaps\x02"},
		{Zone{Name: "somes", Phase: Returning, Losses: 3, Since: 60 * clock.Second, Flaps: 200},
			"\x84\xa6number\x03\xa5phase\xa9returning\xa5since\xcf\x00\x06D\xf4\xe4\xb4c\x00\xa5flaps" +
				"\xcc\xc8"},
		{Zone{Name: "somes", Phase: Suspect, Losses: 300, Since: 60 * clock.Second},
			"\x83\xa6number\xcd\x01,\xa5phase\xa7suspect\xa5since\xcf\x00\x06D\xf4\xe4\xb4c\x00"},
		{Zone{Name: "somes", Phase: Healthy, Since: 60 * clock.Second},
			"\x83\xa6number\x00\xa5phase\xa7healthy\xa5since\xcf\x00\x06D\xf4\xe4\xb4c\x00"},
	} {
		goldentest.Equal(t, string(c.zone.Phase), c.zone.Encode(clockOffset), c.bytes)
		got, err := Decode("somes", []byte(c.bytes), clockOffset)
		if d := cmp.Diff(&c.zone, got, cmp.AllowUnexported(Zone{})); err != nil || d != "" {
			t.Errorf("%s: %v %s", c.zone.Phase, err, d)
		}
	}
	stored := storedZone{Number: 3, Phase: string(Lost), SinceTimeOfDay: 1764668460000000, Flaps: 2}
	goldentest.RequireFieldsSet(t, "zone", stored)
	goldentest.RequireTags(t, "msgpack", stored)
	goldentest.Equal(t, "zone", protocol.Encode(stored),
		"\x84\xa6number\x03\xa5phase\xa4lost\xa5since\xcf\x00\x06D\xf4\xe4\xb4c\x00\xa5flaps\x02")
}

// These texts are stored, shown to operators or written by operators, and must not change.
func TestGoldenWords(t *testing.T) {
	for _, c := range []struct{ word, want string }{
		{string(Healthy), "healthy"},
		{string(Suspect), "suspect"},
		{string(Lost), "lost"},
		{string(Returning), "returning"},
		{string(NoneSilent), "well"},
		{string(ControllerIsolated), "this controller hears nothing"},
		{string(PartlySilent), "a part of it is silent"},
		{string(PoweredOff), "it is dark"},
		{string(PartitionedOrOff), "dark, or cut off with its workers going on inside"},
		{string(HeartbeatsMissing), "its machines are silent, not all of it is out of reach"},
		{string(HeartbeatsElsewhere), "other controllers hear it"},
		{string(Hold), "hold"},
		{string(DeclareLost), "hasten"},
		{string(DeclareHealthy), "end"},
		{string(Services), "services"},
		{string(Deadlines), "deadlines"},
		{string(Gangs), "gangs"},
		{string(Arrays), "arrays"},
		{string(PastObjective), "rest"},
	} {
		goldentest.Equal(t, "word", []byte(c.word), c.want)
	}
}

func goldenDeploymentSettings() *settings.Settings {
	set := &settings.Settings{}
	set.Deployment.Workers.LeaseS = 16
	return set
}

const goldenFile = `suspect_share = 0.25
lost_share = 0.75
verdict_s = 5.5
settle_s = 11.5
tasks_per_s = 150.5
order = ['rest', 'arrays', 'gangs', 'deadlines', 'services']

[reserve]
share = 0.125
classes = ['portal', 'extrase']

[[zones]]
name = 'somes'
action = 'hold'
`

func goldenSettings() Settings {
	return Settings{
		SuspectShare: 0.25,
		LostShare:    0.75,
		LossDelayS:   5.5,
		ReturnDelayS: 11.5,
		TasksPerS:    150.5,
		Order:        []JobKind{PastObjective, Arrays, Gangs, Deadlines, Services},
		Reserve:      ReserveSettings{Share: 0.125, Classes: []string{"portal", "extrase"}},
		Zones:        []ZoneOverride{{Name: "somes", Action: Hold}},
	}
}

// Parse must read a file with all fields, the file under deploy/ and an empty file into the expected
// settings, and the settings must be written as the same file.
func TestGoldenFile(t *testing.T) {
	want := goldenSettings()
	goldentest.RequireFieldsSet(t, "settings", want)
	goldentest.RequireTags(t, "toml", want)
	got, err := Parse([]byte(goldenFile), goldenDeploymentSettings())
	if d := cmp.Diff(&want, got); err != nil || d != "" {
		t.Errorf("%v: %s", err, d)
	}
	written, err := toml.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Equal(t, "file", written, goldenFile)

	raw, err := os.ReadFile("../../deploy/recovery.toml")
	if err != nil {
		t.Fatal(err)
	}
	for name, text := range map[string]string{"deploy/recovery.toml": string(raw), "an empty file": ""} {
		want := Settings{
			SuspectShare: 0.5,
			LostShare:    0.9,
			LossDelayS:   6,
			ReturnDelayS: 10,
			TasksPerS:    200,
			Order:        []JobKind{Services, Deadlines, Gangs, Arrays, PastObjective},
		}
		got, err := Parse([]byte(text), goldenDeploymentSettings())
		if d := cmp.Diff(&want, got); err != nil || d != "" {
			t.Errorf("%s: %v: %s", name, err, d)
		}
	}
}

// The error messages for invalid files are shown to operators and must not change.
func TestGoldenFileErrors(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{"suspect_share = 0.0", "suspect_share: fails the check gt 0 (is \"0\")"},
		{"suspect_share = 0.8\nlost_share = 0.7",
			"lost_share: fails the check gtefield SuspectShare (is \"0.7\")"},
		{"suspected = 1", "suspected: unknown field"},
		{"[reserve]\nparts = 1", "reserve.parts: unknown field"},
		{"verdict_s = 16.0",
			"verdict_s: 16 is not under the workers' lease of 16 s, after which machines are given up" +
				" one by one"},
		{"order = ['rest']", "order: has to list all of [services deadlines gangs arrays rest]"},
		{"order = ['rests']", "order[0]: \"rests\" is none of [services deadlines gangs arrays rest]"},
		{"[[zones]]\nname = 'a'\naction = 'stop'",
			"zones[0].action: \"stop\" is none of hold, hasten, end"},
		{"[[zones]]\naction = 'hold'", "zones[0].name: fails the check required  (is \"\")"},
	} {
		_, err := Parse([]byte(c.text), goldenDeploymentSettings())
		if err == nil {
			t.Errorf("%q is accepted, want an error", c.text)
			continue
		}
		goldentest.Equal(t, c.text, []byte(err.Error()), c.want)
	}
}
