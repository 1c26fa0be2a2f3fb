package zonerecovery

import (
	"errors"
	"testing"

	"pgregory.net/rapid"

	"postpoint/internal/clock"
	"postpoint/internal/rapidtest"
)

// TestMain fixes the seed and the number of checks of rapid, so that every run draws the same values.
func TestMain(m *testing.M) { rapidtest.Main(m, 500) }

var (
	noneSilent = Evidence{Machines: 10, OnTime: 10, Controllers: 1, ControllersReached: 1}
	allSilent  = Evidence{Machines: 10, Controllers: 1}
	mostSilent = Evidence{Machines: 10, OnTime: 4, Controllers: 1, ControllersReached: 1}
)

// observedZone is a zone with the simulated time and the settings for its observations.
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

// observeFor passes the same evidence to the zone twice per second for the given duration, and returns the
// phase at the end.
func (z *observedZone) observeFor(duration clock.Micros, e Evidence, isolated bool) Phase {
	for until := z.now + duration; z.now < until; z.now += clock.Second / 2 {
		z.Observe(z.now, e, isolated, &z.settings)
	}
	return z.Phase
}

// A zone must pass through the expected phases: with hysteresis on loss and return, on partial silence, with
// an isolated controller, and under an operator's override.
func TestZonePassesThroughPhases(t *testing.T) {
	type step struct {
		seconds  clock.Micros
		evidence Evidence
		isolated bool
		want     Phase
	}
	noMachines := Evidence{Controllers: 1}
	oneMachine := Evidence{Machines: 1}
	controllerResponds := Evidence{Controllers: 1, ControllersReached: 1}
	for name, c := range map[string]struct {
		action Action
		steps  []step
	}{
		"lost and back": {"", []step{
			{1, noneSilent, false, Healthy},
			{2, allSilent, false, Suspect},
			{6, allSilent, false, Lost},
			{2, noneSilent, false, Returning},
			{12, noneSilent, false, Healthy},
		}},
		"short silence": {"", []step{
			{1, noneSilent, false, Healthy},
			{5, allSilent, false, Suspect},
			{1, noneSilent, false, Healthy},
		}},
		"partial silence": {"", []step{
			{30, mostSilent, false, Suspect},
			{1, noneSilent, false, Healthy},
		}},
		"isolated controller": {"", []step{{60, allSilent, true, Healthy}}},
		"isolated in between": {"", []step{
			{8, allSilent, false, Lost},
			{20, allSilent, true, Lost},
			{2, noneSilent, true, Returning},
		}},
		"one machine": {"", []step{{60, oneMachine, false, Healthy}}},
		"no machines left": {"", []step{
			{8, allSilent, false, Lost},
			{40, noMachines, false, Lost},
			{30, noMachines, false, Healthy},
		}},
		"controller responds": {"", []step{
			{8, allSilent, false, Lost},
			{30, controllerResponds, false, Returning},
		}},
		"on hold":          {Hold, []step{{60, allSilent, false, Healthy}}},
		"declared lost":    {DeclareLost, []step{{2, allSilent, false, Lost}}},
		"declared healthy": {DeclareHealthy, []step{{60, allSilent, false, Healthy}}},
		"second loss": {"", []step{
			{8, allSilent, false, Lost},
			{2, noneSilent, false, Returning},
			{9, allSilent, false, Lost},
			{15, noneSilent, false, Returning},
			{10, noneSilent, false, Healthy},
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

// A zone flaps in a random pattern for ten minutes. The loss delay and the return delay, which grows with
// each flap, must bound the number of losses, and the zone must become healthy after the longest return
// delay.
func TestLossesOfFlappingZoneAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		z := newObservedZone()
		s := &z.settings
		for z.now < 700*clock.Second {
			z.observeFor(clock.Micros(rapid.IntRange(1, 30).Draw(t, "silent"))*clock.Second, allSilent, false)
			z.observeFor(clock.Micros(rapid.IntRange(1, 30).Draw(t, "responding"))*clock.Second, noneSilent, false)
		}
		if limit := int64(600 / s.LossDelayS); z.Losses > limit {
			t.Fatalf("%d losses in ten minutes, want at most %d", z.Losses, limit)
		}
		least := min(s.returnDelay()<<min(z.Flaps, maxDoublings), maxReturnDelay)
		if got := z.currentReturnDelay(s); z.Flaps > 0 && got < least {
			t.Fatalf("return delay of %.0f s after %d flaps, want at least %.0f s",
				got.Seconds(), z.Flaps, least.Seconds())
		}
		z.observeFor(maxReturnDelay+20*clock.Second, noneSilent, false)
		if z.Phase != Healthy {
			t.Fatalf("phase %s after the longest return delay, want %s", z.Phase, Healthy)
		}
	})
}

// A new leader must resume the stored phase with its start at the same time of day, although its monotonic
// clock differs from that of the earlier leader.
func TestRecordOutlivesLeader(t *testing.T) {
	z := newObservedZone()
	z.observeFor(8*clock.Second, allSilent, false)
	next, err := Decode("a", z.Encode(1000*clock.Second), 1050*clock.Second)
	if err != nil {
		t.Fatal(err)
	}
	if next.Phase != Lost || next.Losses != 1 || next.Since != z.Since-50*clock.Second {
		t.Fatalf("%+v, want phase %s, 1 loss, since %v", next, Lost, z.Since-50*clock.Second)
	}
}

// Decode must reject a phase that this version doesn't know, with an error that names the zone and the phase.
func TestDecodeRefusesUnknownPhase(t *testing.T) {
	_, err := Decode("a", []byte{0x81, 0xa5, 'p', 'h', 'a', 's', 'e', 0xa1, 'x'}, 0)
	var unknown *UnknownPhaseError
	if !errors.As(err, &unknown) || unknown.Zone != "a" || unknown.Phase != "x" {
		t.Errorf("error %v, want an *UnknownPhaseError for phase x of zone a", err)
	}
}
