package leader

import (
	"testing"

	"postpoint/internal/clock"
	"postpoint/internal/protocol"
	"postpoint/internal/settings"
)

// Among jobs that are to start, the time left to the next objective counts, the last being the four
// minutes in which every job is to start. A class that must start sooner than a machine boots has no
// other than that.
func TestNextStartObjectiveSetsSlack(t *testing.T) {
	d, j, _, box := leaderWithOneTask(t)
	box.Now = 1000 * clock.Second
	d.catalogue.Types = []protocol.MachineType{{Name: "t", BootS: 30, FetchGBPerS: 0.25}}
	d.state.Settings.Deployment.Objectives = []settings.Objective{
		{Kind: "wait", Class: "late", WithinS: 120},
		{Kind: "wait", Class: "late", WithinS: 300},
		{Kind: "wait", Class: "soon", WithinS: 5},
	}
	for _, c := range []struct {
		name, class         string
		ageS, imageGB, want float64
	}{
		{"first objective", "late", 50, 0, 70},
		{"four minutes before the second objective", "late", 130, 0, 110},
		{"four minutes are over", "late", 250, 0, -10},
		{"no objective", "none", 100, 0, 140},
		{"objective sooner than a boot", "soon", 1, 0, 239},
		{"image that takes 80 s", "none", 100, 20, 60},
	} {
		j.Spec.Class, j.Spec.ImageGB = c.class, c.imageGB
		j.SubmittedAt = int64(box.Now - clock.FromSeconds(c.ageS))
		if got := d.objectives.StartSlackS(j); got != c.want {
			t.Errorf("%s: %v s left to start, want %v", c.name, got, c.want)
		}
	}
}
