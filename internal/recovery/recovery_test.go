package recovery

import (
	"os"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"postpoint/internal/clock"
	"postpoint/internal/rapidtest"
	"postpoint/internal/settings"
)

// TestMain fixes what rapid draws: the verdict is the same every time.
func TestMain(m *testing.M) { rapidtest.Main(m, 500) }

var (
	well   = Evidence{Machines: 10, Heard: 10, Controllers: 1, Reached: 1}
	silent = Evidence{Machines: 10, Controllers: 1}
	half   = Evidence{Machines: 10, Heard: 4, Controllers: 1, Reached: 1}
)

// observe shows a zone the same evidence for some time, twice a second, and gives its phase then.
func observe(z *Zone, now *clock.Micros, long clock.Micros, e Evidence, deaf bool, s *Settings) Phase {
	for until := *now + long; *now < until; *now += clock.Second / 2 {
		z.Observe(*now, e, deaf, s)
	}
	return z.Phase
}

// A zone's way through its phases: hysteresis both ways, partial loss, a deaf controller, an
// operator's hand.
func TestPhases(t *testing.T) {
	type step struct {
		long clock.Micros
		e    Evidence
		deaf bool
		want Phase
	}
	gone := Evidence{Controllers: 1}
	for name, c := range map[string]struct {
		action Action
		steps  []step
	}{
		"lost and back":    {"", []step{{1, well, false, Healthy}, {2, silent, false, Suspect}, {6, silent, false, Lost}, {2, well, false, Returning}, {12, well, false, Healthy}}},
		"a short silence":  {"", []step{{1, well, false, Healthy}, {5, silent, false, Suspect}, {1, well, false, Healthy}}},
		"a part of it":     {"", []step{{30, half, false, Suspect}, {1, well, false, Healthy}}},
		"deaf":             {"", []step{{60, silent, true, Healthy}}},
		"deaf in between":  {"", []step{{8, silent, false, Lost}, {20, silent, true, Lost}, {2, well, true, Returning}}},
		"one machine":      {"", []step{{60, Evidence{Machines: 1}, false, Healthy}}},
		"nothing left":     {"", []step{{8, silent, false, Lost}, {40, gone, false, Lost}, {30, gone, false, Healthy}}},
		"controller there": {"", []step{{8, silent, false, Lost}, {30, Evidence{Controllers: 1, Reached: 1}, false, Returning}}},
		"held":             {Hold, []step{{60, silent, false, Healthy}}},
		"hastened":         {Hasten, []step{{2, silent, false, Lost}}},
		"ended":            {End, []step{{60, silent, false, Healthy}}},
		"a second loss":    {"", []step{{8, silent, false, Lost}, {2, well, false, Returning}, {9, silent, false, Lost}, {15, well, false, Returning}, {10, well, false, Healthy}}},
	} {
		s := Defaults()
		if c.action != "" {
			s.Zones = []ZoneSetting{{"a", c.action}}
		}
		z, now := &Zone{Name: "a", Phase: Healthy}, 100*clock.Second
		for i, step := range c.steps {
			if got := observe(z, &now, step.long*clock.Second, step.e, step.deaf, &s); got != step.want {
				t.Errorf("%s: %s after step %d, %s expected", name, got, i, step.want)
			}
		}
	}
}

// However a zone flaps, its losses are bounded by a verdict's time and by the returns that each
// have to last longer: for ten minutes of any pattern.
func TestFlapsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Defaults()
		z, now := &Zone{Name: "a", Phase: Healthy}, 100*clock.Second
		for now < 700*clock.Second {
			observe(z, &now, clock.Micros(rapid.IntRange(1, 30).Draw(t, "silent"))*clock.Second, silent, false, &s)
			observe(z, &now, clock.Micros(rapid.IntRange(1, 30).Draw(t, "well"))*clock.Second, well, false, &s)
		}
		if most := int64(600 / s.VerdictS); z.Number > most {
			t.Fatalf("%d losses", z.Number)
		}
		if z.Flaps > 0 && z.settles(&s) < min(s.settleTime()<<min(z.Flaps, maxDoubled), longestSettle) {
			t.Fatalf("%d flaps, settles in %.0f s", z.Flaps, z.settles(&s).Seconds())
		}
		observe(z, &now, longestSettle+20*clock.Second, well, false, &s)
		if z.Phase != Healthy {
			t.Fatalf("%s once it has been well for two minutes", z.Phase)
		}
	})
}

// What an earlier leader stored is gone on with, at the same time of day.
func TestZonesOutliveLeaders(t *testing.T) {
	s := Defaults()
	z, now := &Zone{Name: "a", Phase: Healthy}, 100*clock.Second
	observe(z, &now, 8*clock.Second, silent, false, &s)
	next, err := Decode("a", z.Encode(1000*clock.Second), 1050*clock.Second)
	if err != nil || next.Phase != Lost || next.Number != 1 || next.Since != z.Since-50*clock.Second {
		t.Fatalf("%+v, %v", next, err)
	}
	if _, err := Decode("a", []byte{0x81, 0xa5, 'p', 'h', 'a', 's', 'e', 0xa1, 'x'}, 0); err == nil {
		t.Error("a phase that there isn't is read")
	}
}

var drawWork = rapid.Custom(func(t *rapid.T) Displaced {
	return Displaced{Job: rapid.StringMatching("job-[0-9]{3}").Draw(t, "job"), Kind: rapid.SampledFrom(DefaultOrder()).Draw(t, "kind"),
		Rank: rapid.IntRange(0, 3).Draw(t, "rank"), LostShare: float64(rapid.IntRange(1, 4).Draw(t, "share")) / 4,
		SlackS: float64(rapid.IntRange(0, 3).Draw(t, "slack")), SubmittedAt: rapid.Int64Range(0, 3).Draw(t, "at"), Tasks: rapid.IntRange(1, 60).Draw(t, "tasks")}
})

// goesFirst is the written order, spelled out.
func goesFirst(a, b Displaced, order []Kind) bool {
	if a.Kind != b.Kind {
		return slices.Index(order, a.Kind) < slices.Index(order, b.Kind)
	}
	if a.Rank != b.Rank {
		return a.Rank < b.Rank
	}
	if a.Kind == Services && a.LostShare != b.LostShare {
		return a.LostShare > b.LostShare
	}
	if a.Kind == Deadlines && a.SlackS != b.SlackS {
		return a.SlackS < b.SlackS
	}
	if a.SubmittedAt != b.SubmittedAt {
		return a.SubmittedAt < b.SubmittedAt
	}
	return a.Job < b.Job
}

// The order and the pace against a plain model: always the first of those left goes, whole, and
// over any time no more than the pace, one second's worth and one job's excess.
func TestOrderAndPaceAgainstPlainModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		jobs := rapid.SliceOfNDistinct(drawWork, 1, 20, func(d Displaced) string { return d.Job }).Draw(t, "jobs")
		order := rapid.Permutation(DefaultOrder()).Draw(t, "order")
		perS := float64(rapid.IntRange(1, 50).Draw(t, "pace"))
		var pace Pace
		left := slices.Clone(jobs)
		released, largest := 0, 0
		began := 10 * clock.Second
		for now := began; len(left) > 0; now += clock.Second / 2 {
			Sort(left, order)
			for _, id := range pace.Release(left, now, perS) {
				first := slices.IndexFunc(left, func(d Displaced) bool {
					return !slices.ContainsFunc(left, func(o Displaced) bool { return o.Job != d.Job && goesFirst(o, d, order) })
				})
				if left[first].Job != id {
					t.Fatalf("%s goes, %s is first", id, left[first].Job)
				}
				released += left[first].Tasks
				largest = max(largest, left[first].Tasks)
				left = slices.Delete(left, first, first+1)
			}
			if most := perS*((now-began).Seconds()+1) + float64(largest); float64(released) > most+1e-6 {
				t.Fatalf("%d tasks after %.1f s at %v a second", released, (now - began).Seconds(), perS)
			}
			if now > 10_000*clock.Second {
				t.Fatalf("%d jobs never go", len(left))
			}
		}
	})
}

func recoverySettings() *settings.Settings {
	s := &settings.Settings{}
	s.Deployment.Zones = []string{"somes", "mures"}
	s.Deployment.Workers = settings.Workers{LeaseS: 16}
	return s
}

// The file under deploy/ is good; each fault is refused with the name of its field.
func TestFile(t *testing.T) {
	raw, err := os.ReadFile("../../deploy/recovery.toml")
	if err != nil {
		t.Fatal(err)
	}
	good := string(raw)
	if s, err := Parse(raw, recoverySettings()); err != nil || !slices.Equal(s.Order, DefaultOrder()) {
		t.Fatalf("%+v, %v", s, err)
	}
	if s, err := Parse(nil, recoverySettings()); err != nil || s.VerdictS != Defaults().VerdictS {
		t.Fatalf("an empty file: %+v, %v", s, err)
	}
	for _, c := range []struct{ old, replacement, field string }{
		{"verdict_s = 6.0", "verdict_s = 16.0", "verdict_s"},
		{"verdict_s = 6.0", "verdict_s = 0.0", "verdict_s"},
		{"lost_share = 0.9", "lost_share = 0.4", "lost_share"},
		{"suspect_share = 0.5", "suspect_share = 1.5", "suspect_share"},
		{"tasks_per_s = 200.0", "tasks_per_s = -1.0", "tasks_per_s"},
		{`"gangs", `, ``, "order"},
		{`"gangs", `, `"gangs", "gangs", `, "order[3]"},
		{`"gangs", `, `"orchestras", `, "order[2]"},
		{"share = 0.0", "share = 1.1", "reserve.share"},
		{"settle_s = 10.0", "settles = 10.0", "settles"},
		{"settle_s = 10.0", "settle_s = 10.0\nzones = [{ name = \"milano\", action = \"hold\" }]", "zones[0].name"},
		{"settle_s = 10.0", "settle_s = 10.0\nzones = [{ name = \"somes\", action = \"wait\" }]", "zones[0].action"},
		{"settle_s = 10.0", "settle_s = 10.0\nzones = [{ name = \"somes\", action = \"end\" }, { name = \"somes\", action = \"end\" }]", "zones[1].name"},
	} {
		text := strings.Replace(good, c.old, c.replacement, 1)
		if text == good {
			t.Fatalf("%q isn't in the example", c.old)
		}
		if _, err := Parse([]byte(text), recoverySettings()); err == nil || !strings.Contains(err.Error(), c.field) {
			t.Errorf("%q for %q: %v", c.replacement, c.old, err)
		}
	}
}

// Readings that people are shown; they change no decision.
func TestReadings(t *testing.T) {
	for want, e := range map[Reading]Evidence{
		Well: well, Partial: half, Cut: silent,
		Dark:    {Machines: 10, Gone: 8},
		Aside:   {Machines: 10, Elsewhere: 9},
		Unheard: {Machines: 10, Controllers: 1, Reached: 1},
	} {
		if got := Read(e, false); got != want {
			t.Errorf("%+v reads as %q, %q expected", e, got, want)
		}
	}
	if got := Read(silent, true); got != Deaf {
		t.Errorf("a deaf controller reads %q", got)
	}
}
