package simulation

import (
	"testing"

	"postpoint/internal/clock"
	"postpoint/internal/protocol"
)

// The replicas of a service exit by themselves. The leader must restart them, no controller may report the
// service as done, and after its cancellation no replica may be left.
func TestServicesRunUntilCancelled(t *testing.T) {
	t.Parallel()
	w := NewWorld(260)
	d := NewDeployment(w, tighteningSettings(), testTypes(), 0)
	spec := arraySpec("job-000001", "open", 4, 1, 0)
	spec.Shape, spec.Priority, spec.Spread = protocol.ShapeService, "prod", true
	j := d.Submit(spec, 40*clock.Second, false) // each replica ends after 20 to 60 s
	served, samples := 0, 0
	w.Run(60 * clock.Second)
	w.Every(clock.Second, func() {
		if j.cancelRequested {
			return
		}
		samples += spec.Tasks
		for n := range spec.Tasks {
			served += min(len(j.machines[n]), 1)
		}
	})
	w.Run(400 * clock.Second)
	if j.finalStatus != "" {
		t.Fatalf("the user got %q, want no final status", j.finalStatus)
	}
	if served*100 < samples*85 {
		t.Errorf("replicas ran in %d of %d samples, want at least 85 in 100", served, samples)
	}
	confirmCancel(w, d, j)
	w.Run(w.Now() + 60*clock.Second)
	mustKeepRules(t, w)
	for n, on := range j.machines {
		if len(on) > 0 {
			t.Errorf("replica %d still runs, want it stopped", n)
		}
	}
}

// A worker with replicas hangs. Each of its replicas must run on another worker, once, within 20 s, well
// before the worker's lease of 25 s expires.
func TestReplicasOfSilentWorkersAreReplacedSoon(t *testing.T) {
	t.Parallel()
	w := NewWorld(261)
	set := tighteningSettings()
	set.Deployment.Workers.LeaseS, set.Deployment.Workers.CancelS = 25, 45
	d := NewDeployment(w, set, testTypes(), 0)
	d.Cloud.Reliable = true
	spec := arraySpec("job-000001", "open", 6, 4, 0)
	spec.Shape, spec.Priority, spec.Spread = protocol.ShapeService, "prod", true
	j := d.Submit(spec, 0, false)
	d.Submit(arraySpec("job-000002", "open", 8, 4, 600), 600*clock.Second, false)
	w.Run(80 * clock.Second)
	var hung *FakeWorker
	for _, on := range j.machines {
		for m := range on {
			hung = m
		}
	}
	hung.Hung = true
	hungAt := w.Now()
	replicaMissing := func() bool {
		for n := range spec.Tasks {
			if len(j.machines[n]) == 0 || j.machines[n][hung] {
				return true
			}
		}
		return false
	}
	for replicaMissing() && w.Now() < hungAt+60*clock.Second {
		w.Run(w.Now() + 100*clock.Millisecond)
	}
	if took := w.Now() - hungAt; took > 20*clock.Second {
		t.Errorf("all replicas run again after %.1f s, want 20 s at most", took.Seconds())
	}
	hung.Resume()
	w.Run(w.Now() + 60*clock.Second)
	mustKeepRules(t, w)
}
