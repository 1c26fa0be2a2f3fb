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

// simulateDay simulates a day of random faults; each of guards prepares the deployment.
func simulateDay(seed uint64, guards ...func(*Deployment)) *Deployment {
	d := dayOfUpgrade(NewWorld(seed))
	for _, g := range guards {
		g(d)
	}
	mixedWorkload.simulateDay(d)
	return d
}

// seeds returns the seeds that CI simulates of a kind of day, or those that the environment requests for a
// longer search.
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

// Whole controllers run through crashes, partitions, outages, hung workers and late messages. They must keep
// every rule and complete all accepted jobs afterwards.
func TestRulesHoldUnderRandomFaults(t *testing.T) {
	for seed := range seeds(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			d := simulateDay(seed)
			if len(d.World.Violations) > 0 {
				t.Fatalf("broken rules, want none:\n%s", strings.Join(d.World.Violations, "\n"))
			}
			if unfinished := d.Unfinished(); len(unfinished) > 0 {
				t.Fatalf("accepted but not done: %v, want none", unfinished)
			}
			for _, j := range d.Jobs() {
				if j.cancelRequested && j.accepted() && j.finalStatus == "" {
					t.Fatalf("the user of %s got no final status, want %q",
						j.spec.ID, protocol.StatusCancelled)
				}
			}
		})
	}
}

// The same seed must give the same sequence of events, so that a developer can repeat a failing simulation.
func TestSameSeedGivesSameSimulation(t *testing.T) {
	for _, seed := range []uint64{1, 2, 5, 21} { // some of them with outages of the key-value store
		first, second := simulateDay(seed), simulateDay(seed)
		a, b := first.Store, second.Store
		if first.World.seq != second.World.seq || a.revision != b.revision || a.Changes != b.Changes {
			t.Errorf("seed %d: events %d and %d, revisions %d and %d, changes %d and %d, want the same",
				seed, first.World.seq, second.World.seq, a.revision, b.revision, a.Changes, b.Changes)
		}
	}
}

// dayOfUpgrade starts a deployment whose controllers either run the new version from the beginning or are
// upgraded at some time, perhaps only after the faults. On most days the store's limits tighten at a random
// time, whichever controllers have been upgraded by then.
func dayOfUpgrade(w *World) *Deployment {
	set := testSettings()
	announceTighterLimits(set)
	old := w.chance(0.5)
	d := newDeployment(w, set, testTypes(), 0.01, old)
	d.Store.SetLimits(set.Deployment.KVStore, false)
	d.Store.CheckPut = d.checkFormat
	if old {
		upgrade := w.Between(10*clock.Second, dayLength*5/4)
		w.After(upgrade, func() {
			d.Upgrade(w.Between(clock.Second, 15*clock.Second),
				w.Between(50*clock.Millisecond, 6*clock.Second))
		})
	}
	if w.chance(0.7) {
		w.After(w.Between(0, dayLength), func() { d.Store.SetLimits(set.Deployment.KVStore.Tightest(), true) })
	}
	return d
}

// mixedWorkload is a mix of all job shapes.
var mixedWorkload = workload{services: 0.15, spec: randomSpec, maxRunTime: 120 * clock.Second}
