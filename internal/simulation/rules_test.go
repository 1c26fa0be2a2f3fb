package simulation

import (
	"fmt"
	"iter"
	"os"
	"strconv"
	"strings"
	"testing"

	"postpoint/internal/clock"
	"postpoint/internal/protocol"
)

// play runs a day of random faults, after preparations of the deployment.
func play(seed uint64, guards ...func(*Deployment)) *Deployment {
	d := dayOfUpgrade(NewWorld(seed))
	for _, g := range guards {
		g(d)
	}
	usualWorkload.play(d)
	return d
}

// seeds are as many as CI plays of a kind of day, or those of a longer search.
func seeds(usual uint64) iter.Seq[uint64] {
	if n, err := strconv.ParseUint(os.Getenv("POSTPOINT_TEST_SEEDS"), 10, 64); err == nil {
		usual = n
	}
	first, _ := strconv.ParseUint(os.Getenv("POSTPOINT_TEST_FIRST"), 10, 64)
	return func(yield func(uint64) bool) {
		for seed := first; seed < first+usual && yield(seed); seed++ {
		}
	}
}

// Whole controllers keep every rule through crashes, partitions, outages, hung workers and late
// messages, and get all accepted jobs done afterwards.
func TestRulesHoldUnderRandomFaults(t *testing.T) {
	for seed := range seeds(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			d := play(seed)
			if len(d.World.Violations) > 0 {
				t.Fatalf("broken rules, want none:\n%s", strings.Join(d.World.Violations, "\n"))
			}
			if left := d.Unfinished(); len(left) > 0 {
				t.Fatalf("accepted but not done: %v, want none", left)
			}
			for _, j := range d.Jobs() {
				if j.cancelRequested && j.accepted() && j.finalStatus == "" {
					t.Fatalf("%s was told no end, want %q", j.spec.ID, protocol.StatusCancelled)
				}
			}
		})
	}
}

// The same seed gives the same course of events, so that a failing simulation can be repeated.
func TestSameSeedGivesSameSimulation(t *testing.T) {
	for _, seed := range []uint64{1, 2, 5, 21} { // some of them with outages of the key-value store
		first, second := play(seed), play(seed)
		a, b := first.Store, second.Store
		if first.World.seq != second.World.seq || a.revision != b.revision || a.Changes != b.Changes {
			t.Errorf("seed %d: events %d and %d, revisions %d and %d, changes %d and %d, want the same",
				seed, first.World.seq, second.World.seq, a.revision, b.revision, a.Changes, b.Changes)
		}
	}
}

// dayOfUpgrade is a deployment whose controllers are of the new version from the beginning, or upgraded at
// some time, perhaps only after the faults. On most days the store's limits tighten at some time, whichever
// controllers are upgraded by then.
func dayOfUpgrade(w *World) *Deployment {
	set := testSettings()
	announceTighterLimits(set)
	old := w.chance(0.5)
	d := newDeployment(w, set, testTypes(), 0.01, old)
	d.Store.Limit(set.Deployment.KVStore, false)
	d.Store.CheckPut = d.checkFormat
	if old {
		upgrade := w.Between(10*clock.Second, dayLength*5/4)
		w.After(upgrade, func() {
			d.Upgrade(w.Between(clock.Second, 15*clock.Second),
				w.Between(50*clock.Millisecond, 6*clock.Second))
		})
	}
	if w.chance(0.7) {
		w.After(w.Between(0, dayLength), func() { d.Store.Limit(set.Deployment.KVStore.Tightest(), true) })
	}
	return d
}

// usualWorkload is a mix of all shapes.
var usualWorkload = workload{services: 0.15, spec: randomSpec, longest: 120 * clock.Second}
