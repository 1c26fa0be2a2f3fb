package zonerecovery

import (
	"errors"
	"testing"

	"pgregory.net/rapid"

	"postpoint/internal/clock"
	"postpoint/internal/rapidtest"
)

// TestMain fixes what rapid draws: the result is the same every time.
func TestMain(m *testing.M) { rapidtest.Main(m, 500) }

var (
	well   = Evidence{Machines: 10, Heard: 10, Controllers: 1, ControllersReached: 1}
	silent = Evidence{Machines: 10, Controllers: 1}
	half   = Evidence{Machines: 10, Heard: 4, Controllers: 1, ControllersReached: 1}
)

// observedZone is a zone with the clock by which it is shown evidence.
type observedZone struct {
	*Zone
	now      clock.Micros
	settings Settings
}

func newObservedZone() *observedZone {
	return &observedZone{
		Zone:     &Zone{Name: "a", Phase: Healthy},
		now:      100 * clock.Second,
		settings: Defaults(),
	}
}

// observeFor shows the zone the same evidence for some time, twice a second, and returns its phase then.
func (z *observedZone) observeFor(duration clock.Micros, e Evidence, isolated bool) Phase {
	for until := z.now + duration; z.now < until; z.now += clock.Second / 2 {
		z.Observe(z.now, e, isolated, &z.settings)
	}
	return z.Phase
}

// A zone's way through its phases: hysteresis both ways, partial loss, an isolated controller, an
// operator's override.
func TestZonePassesThroughPhases(t *testing.T) {
	type step struct {
		seconds  clock.Micros
		evidence Evidence
		isolated bool
		want     Phase
	}
	noMachines := Evidence{Controllers: 1}
	oneMachine := Evidence{Machines: 1}
	controllerAnswers := Evidence{Controllers: 1, ControllersReached: 1}
	for name, c := range map[string]struct {
		action Action
		steps  []step
	}{
		"lost and back": {"", []step{
			{1, well, false, Healthy},
			{2, silent, false, Suspect},
			{6, silent, false, Lost},
			{2, well, false, Returning},
			{12, well, false, Healthy},
		}},
		"short silence": {"", []step{
			{1, well, false, Healthy},
			{5, silent, false, Suspect},
			{1, well, false, Healthy},
		}},
		"partial silence": {"", []step{
			{30, half, false, Suspect},
			{1, well, false, Healthy},
		}},
		"isolated controller": {"", []step{{60, silent, true, Healthy}}},
		"isolated in between": {"", []step{
			{8, silent, false, Lost},
			{20, silent, true, Lost},
			{2, well, true, Returning},
		}},
		"one machine": {"", []step{{60, oneMachine, false, Healthy}}},
		"nothing left": {"", []step{
			{8, silent, false, Lost},
			{40, noMachines, false, Lost},
			{30, noMachines, false, Healthy},
		}},
		"controller answers": {"", []step{
			{8, silent, false, Lost},
			{30, controllerAnswers, false, Returning},
		}},
		"held":     {Hold, []step{{60, silent, false, Healthy}}},
		"hastened": {Hasten, []step{{2, silent, false, Lost}}},
		"ended":    {End, []step{{60, silent, false, Healthy}}},
		"second loss": {"", []step{
			{8, silent, false, Lost},
			{2, well, false, Returning},
			{9, silent, false, Lost},
			{15, well, false, Returning},
			{10, well, false, Healthy},
		}},
	} {
		z := newObservedZone()
		if c.action != "" {
			z.settings.Zones = []ZoneOverride{{Name: z.Name, Action: c.action}}
		}
		for i, step := range c.steps {
			got := z.observeFor(step.seconds*clock.Second, step.evidence, step.isolated)
			if got != step.want {
				t.Errorf("%s: phase %s after step %d, want %s", name, got, i, step.want)
			}
		}
	}
}

// However a zone flaps, its losses are bounded by the loss delay and by the returns, each of which
// has to last longer: for ten minutes of any pattern.
func TestLossesOfFlappingZoneAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		z := newObservedZone()
		s := &z.settings
		for z.now < 700*clock.Second {
			z.observeFor(clock.Micros(rapid.IntRange(1, 30).Draw(t, "silent"))*clock.Second, silent, false)
			z.observeFor(clock.Micros(rapid.IntRange(1, 30).Draw(t, "well"))*clock.Second, well, false)
		}
		if most := int64(600 / s.LossDelayS); z.Losses > most {
			t.Fatalf("%d losses in ten minutes, want at most %d", z.Losses, most)
		}
		least := min(s.returnDelay()<<min(z.Flaps, maxDoublings), maxReturnDelay)
		if got := z.currentReturnDelay(s); z.Flaps > 0 && got < least {
			t.Fatalf("return delay of %.0f s after %d flaps, want at least %.0f s",
				got.Seconds(), z.Flaps, least.Seconds())
		}
		z.observeFor(maxReturnDelay+20*clock.Second, well, false)
		if z.Phase != Healthy {
			t.Fatalf("phase %s after the longest return delay, want %s", z.Phase, Healthy)
		}
	})
}

// What an earlier leader stored is resumed at the same time of day.
func TestRecordOutlivesLeader(t *testing.T) {
	z := newObservedZone()
	z.observeFor(8*clock.Second, silent, false)
	next, err := Decode("a", z.Encode(1000*clock.Second), 1050*clock.Second)
	if err != nil {
		t.Fatal(err)
	}
	if next.Phase != Lost || next.Losses != 1 || next.Since != z.Since-50*clock.Second {
		t.Fatalf("%+v, want phase %s, number 1, since %v", next, Lost, z.Since-50*clock.Second)
	}
}

func TestDecodeRefusesUnknownPhase(t *testing.T) {
	_, err := Decode("a", []byte{0x81, 0xa5, 'p', 'h', 'a', 's', 'e', 0xa1, 'x'}, 0)
	var unknown *UnknownPhaseError
	if !errors.As(err, &unknown) || unknown.Zone != "a" || unknown.Phase != "x" {
		t.Errorf("error %v, want an *UnknownPhaseError for phase x of zone a", err)
	}
}
