package testkit

import (
	"postpoint/internal/clock"
	"postpoint/internal/dispatch"
	"postpoint/internal/ledger"
	"postpoint/internal/protocol"
	"postpoint/internal/settings"
	"slices"
	"strings"
	"testing"
)

// tighteningSettings announce limits of which a large array fills many values.
func tighteningSettings() *settings.Settings {
	set := testSettings()
	valueKb, txnOps, writeRps := 2.0, 4, 28.0
	set.Deployment.State.ValueKb, set.Deployment.State.TxnOps = 32, 12
	set.Deployment.State.Next = &settings.NextState{ValueKb: &valueKb, TxnOps: &txnOps, WriteRps: &writeRps}
	return set
}

// oldDay is a deployment of the version before with an array of 200 tasks at work.
func oldDay(seed uint64, run clock.Micros) (w *World, d *Deployment, j *Job) {
	w = NewWorld(seed)
	d = NewOldDeployment(w, tighteningSettings(), testTypes(), 0)
	d.State.Limit(d.Settings.Deployment.State, false)
	d.State.CheckPut = d.checkFormat
	j = d.Submit(array("job-000001", "open", 200, 1, run.Seconds()), run, false)
	w.Run(40 * clock.Second)
	return w, d, j
}

// parts are the keys of all parts that are stored.
func (s *State) parts() []string {
	var keys []string
	for key := range s.keys {
		if strings.HasPrefix(key, ledger.PartsPrefix) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// The leader ends at any instant while a running array's record is divided after an
// upgrade, and the state service's limits come as well: nothing runs twice, all of it gets
// done, and no part is left over.
func TestLeaderCrashWhileARecordIsSharded(t *testing.T) {
	t.Parallel()
	divided := 0
	for step := range clock.Micros(40) {
		w, d, j := oldDay(uint64(200+step), 60*clock.Second)
		d.Upgrade(2*clock.Second, 500*clock.Millisecond)
		w.Run(44*clock.Second + 800*clock.Millisecond + step*60*clock.Millisecond)
		if len(d.State.parts()) > 0 {
			divided++
		}
		for _, n := range d.Nodes {
			if n.Up() && n.Dispatch.Leads() {
				n.Crash()
				w.After(2*clock.Second, func() { d.StartNode(n) })
			}
		}
		d.State.Limit(d.Settings.Deployment.State.Tightest(), false)
		w.Run(400 * clock.Second)
		mustKeepRules(t, w)
		mustBeDone(t, w, j)
		if left := d.State.parts(); len(left) > 0 {
			t.Fatalf("step %d: parts are left: %v", step, left)
		}
	}
	if divided < 5 {
		t.Errorf("only %d of the leaders had written parts", divided)
	}
}

// One controller is left behind on the version before, the limits come all the same, and
// the leader ends: what is accepted stays known and goes on as far as records allow, a
// cancellation is carried out, services are put off with a time to come back, and once the
// last controller is new all of it gets done.
func TestLimitsTightenWhileOneControllerIsOld(t *testing.T) {
	t.Parallel()
	w, d, j := oldDay(250, 30*clock.Second)
	other := d.Submit(array("job-000002", "open", 200, 1, 300), 300*clock.Second, false)
	w.Run(70 * clock.Second)
	behind := d.Nodes[2]
	for _, n := range d.Nodes[:2] {
		n.Old = false
		n.Crash()
		d.StartNode(n)
		w.Run(w.Now() + 3*clock.Second)
	}
	d.State.Limit(d.Settings.Deployment.State.Tightest(), false)
	replicas := array("job-000003", "open", 4, 1, 0)
	replicas.Shape = protocol.ShapeService
	service := d.Submit(replicas, 0, false)
	confirmCancel(w, d, other)
	w.Run(w.Now() + 20*clock.Second)
	for _, n := range d.Nodes[:2] {
		if n.Dispatch.Leads() {
			n.Crash()
			w.After(clock.Second, func() { d.StartNode(n) })
		}
	}
	w.Run(w.Now() + 60*clock.Second)
	mustKeepRules(t, w)
	if service.accepted() {
		t.Fatal("a service is accepted while a controller would take it for an array")
	}
	missing := []string{}
	d.Nodes[0].Dispatch.Overview(func(o any) { missing = o.(dispatch.Overview).Missing })
	w.Run(w.Now() + clock.Second)
	if !slices.Equal(missing, []string{behind.Name}) {
		t.Errorf("missing: %v", missing)
	}
	behind.Old = false
	behind.Crash()
	d.StartNode(behind)
	opened := w.Now()
	for w.Now() < opened+20*clock.Second && !service.accepted() {
		w.Run(w.Now() + 500*clock.Millisecond)
	}
	if !service.accepted() || w.Now() > opened+8*clock.Second {
		t.Errorf("the service is accepted %.1f s after the last controller's start", (w.Now() - opened).Seconds())
	}
	w.Run(w.Now() + 300*clock.Second)
	mustKeepRules(t, w)
	mustBeDone(t, w, j)
}

// A day's roll: all controllers are replaced one after another while services and arrays
// run. Elections are few, and nothing that runs is lost to them.
func TestRollingUpgradeLosesNoTask(t *testing.T) {
	t.Parallel()
	w, d, j := oldDay(262, 100*clock.Second)
	d.Upgrade(10*clock.Second, 3*clock.Second)
	elections, leaderless := 0, 0
	epoch := int64(0)
	w.Every(100*clock.Millisecond, func() {
		leads := false
		for _, n := range d.Nodes {
			leads = leads || n.Up() && n.Dispatch.Leads()
		}
		if !leads {
			leaderless++
		}
		if e := d.State.keys["lead/controller"].version; e != 0 && e != epoch {
			epoch = e
			elections++
		}
	})
	w.Run(w.Now() + 60*clock.Second)
	t.Logf("%d elections, %.1f s without a leader", elections-1, float64(leaderless)/10)
	if elections-1 > 3 || leaderless > 150 {
		t.Errorf("%d elections, %.1f s without a leader", elections-1, float64(leaderless)/10)
	}
	if n := lost(d); n > 0 {
		t.Errorf("%d machines lost their sessions", n)
	}
	w.Run(w.Now() + 300*clock.Second)
	mustKeepRules(t, w)
	mustBeDone(t, w, j)
	for key := range d.State.keys {
		if strings.HasPrefix(key, "rollout/") {
			continue
		}
		if size := protocol.JSONSize(d.State.keys[key].value); size > 2<<10 {
			t.Errorf("%s has %d bytes", key, size)
		}
	}
}
