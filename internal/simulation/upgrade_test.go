package simulation

import (
	"slices"
	"strings"
	"testing"

	"postpoint/internal/clock"
	"postpoint/internal/jobrecord"
	"postpoint/internal/leader/overview"
	"postpoint/internal/protocol"
	"postpoint/internal/settings"
)

// tighteningSettings returns settings that announce store limits so low that the record of a large array
// needs many values.
func tighteningSettings() *settings.Settings {
	set := testSettings()
	valueKb, txnOps, writeRps := 2.0, 4, 28.0
	set.Deployment.KVStore.ValueKb, set.Deployment.KVStore.TxnOps = 32, 12
	set.Deployment.KVStore.Next = &settings.NextKVStore{ValueKb: &valueKb, TxnOps: &txnOps,
		WriteRps: &writeRps}
	return set
}

// oldDeployment starts a deployment of the previous version that runs an array of 200 tasks.
func oldDeployment(seed uint64, run clock.Micros) (w *World, d *Deployment, j *Job) {
	w = NewWorld(seed)
	d = NewOldVersionDeployment(w, tighteningSettings(), testTypes(), 0)
	d.Store.SetLimits(d.Settings.Deployment.KVStore, false)
	d.Store.CheckPut = d.checkFormat
	j = d.Submit(arraySpec("job-000001", "open", 200, 1, run.Seconds()), run, false)
	w.Run(40 * clock.Second)
	return w, d, j
}

// shards returns the keys of all shards of records in the store.
func (s *FakeStore) shards() []string {
	var keys []string
	for key := range s.entries {
		if strings.HasPrefix(key, jobrecord.ShardsPrefix) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// After an upgrade, the leader crashes at any moment while it shards the record of a running array, and the
// store's limits tighten as well. No task may run twice, the array must complete, and no shard may be left.
func TestLeaderCrashWhileARecordIsSharded(t *testing.T) {
	t.Parallel()
	sharded := 0
	for step := range clock.Micros(40) {
		w, d, j := oldDeployment(uint64(200+step), 60*clock.Second)
		d.Upgrade(2*clock.Second, 500*clock.Millisecond)
		w.Run(44*clock.Second + 800*clock.Millisecond + step*60*clock.Millisecond)
		if len(d.Store.shards()) > 0 {
			sharded++
		}
		for _, n := range d.Nodes {
			if n.Up() && n.Leader.Leads() {
				d.crashFor(n, 2*clock.Second)
			}
		}
		d.Store.SetLimits(d.Settings.Deployment.KVStore.Tightest(), false)
		w.Run(400 * clock.Second)
		mustKeepRules(t, w)
		mustBeDone(t, w, j)
		if remaining := d.Store.shards(); len(remaining) > 0 {
			t.Fatalf("step %d: shards are left: %v, want none", step, remaining)
		}
	}
	if sharded < 5 {
		t.Errorf("%d leaders had written shards before their crash, want at least 5", sharded)
	}
}

// One controller still runs the previous version, the store's limits tighten nevertheless, and the leader
// crashes. No accepted job may be lost, jobs must continue as far as their records allow, a cancellation must
// take effect, and controllers must accept no service, so that its user retries. The overview must name the
// old controller. After the upgrade of the last controller, a controller must accept the service within 8 s,
// and the array must complete.
func TestLimitsTightenWhileOneControllerIsOld(t *testing.T) {
	t.Parallel()
	w, d, j := oldDeployment(250, 30*clock.Second)
	other := d.Submit(arraySpec("job-000002", "open", 200, 1, 300), 300*clock.Second, false)
	w.Run(70 * clock.Second)
	behind := d.Nodes[2]
	for _, n := range d.Nodes[:2] {
		n.OldVersion = false
		n.Crash()
		d.StartNode(n)
		w.Run(w.Now() + 3*clock.Second)
	}
	d.Store.SetLimits(d.Settings.Deployment.KVStore.Tightest(), false)
	replicas := arraySpec("job-000003", "open", 4, 1, 0)
	replicas.Shape = protocol.ShapeService
	service := d.Submit(replicas, 0, false)
	confirmCancel(w, d, other)
	w.Run(w.Now() + 20*clock.Second)
	for _, n := range d.Nodes[:2] {
		if n.Leader.Leads() {
			d.crashFor(n, clock.Second)
		}
	}
	w.Run(w.Now() + 60*clock.Second)
	mustKeepRules(t, w)
	if service.accepted() {
		t.Fatal("a service is accepted while one controller would read it as an array, want it rejected")
	}
	missing := []string{}
	d.Nodes[0].Leader.Overview(func(o any) { missing = o.(overview.Overview).Missing })
	w.Run(w.Now() + clock.Second)
	if !slices.Equal(missing, []string{behind.Name}) {
		t.Errorf("controllers without the format: %v, want only %s", missing, behind.Name)
	}
	behind.OldVersion = false
	behind.Crash()
	d.StartNode(behind)
	restartedAt := w.Now()
	for w.Now() < restartedAt+20*clock.Second && !service.accepted() {
		w.Run(w.Now() + 500*clock.Millisecond)
	}
	if !service.accepted() || w.Now() > restartedAt+8*clock.Second {
		t.Errorf("the service is accepted: %v, %.1f s after the last controller's start; want it within 8 s",
			service.accepted(), (w.Now() - restartedAt).Seconds())
	}
	w.Run(w.Now() + 300*clock.Second)
	mustKeepRules(t, w)
	mustBeDone(t, w, j)
}

// All controllers are upgraded one after another while an array runs. There must be few elections and little
// time without a leader, no worker may lose its tasks, and the stored values must fit the tighter limits.
func TestRollingUpgradeLosesNoTask(t *testing.T) {
	t.Parallel()
	w, d, j := oldDeployment(262, 100*clock.Second)
	d.Upgrade(10*clock.Second, 3*clock.Second)
	elections, leaderless := 0, 0
	epoch := protocol.Epoch(0)
	w.Every(100*clock.Millisecond, func() {
		leads := false
		for _, n := range d.Nodes {
			leads = leads || n.Up() && n.Leader.Leads()
		}
		if !leads {
			leaderless++
		}
		if e := protocol.Epoch(d.Store.entries["lead/controller"].version); e != 0 && e != epoch {
			epoch = e
			elections++
		}
	})
	w.Run(w.Now() + 60*clock.Second)
	t.Logf("%d elections, %.1f s without a leader", elections-1, float64(leaderless)/10)
	if elections-1 > 3 || leaderless > 150 {
		t.Errorf("%d elections, want 3 at most; %.1f s without a leader, want 15 s at most",
			elections-1, float64(leaderless)/10)
	}
	if n := workersWithExpiredLease(d); n > 0 {
		t.Errorf("%d workers lost their tasks, want none", n)
	}
	w.Run(w.Now() + 300*clock.Second)
	mustKeepRules(t, w)
	mustBeDone(t, w, j)
	for key := range d.Store.entries {
		if strings.HasPrefix(key, "rollout/") {
			continue
		}
		if size := protocol.JSONSize(d.Store.entries[key].value); size > 2<<10 {
			t.Errorf("%s has %d bytes, want 2048 at most", key, size)
		}
	}
}
