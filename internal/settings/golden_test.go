package settings

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"postpoint/internal/goldentest"
)

const goldenText = `{"node":"worker-0","domain":"a","bind":"10.0.0.1:8080","internal_addr":"10.0.0.1:8081",` +
	`"known":[{"node":"worker-1","domain":"b","peer_addr":"10.0.0.2:8081"}],` +
	`"outside":{"cloud":"10.2.0.2:8443","state":"10.2.0.1:2379"},` +
	`"deployment":{"initial_size":3,"zones":["a","b"],` +
	`"teams":[{"name":"t","cpus":2,"cpus_max":6,"gpus":4,"gpus_max":12}],` +
	`"objectives":[{"kind":"deadline","class":"c","within_s":5,"share":0.85,"times":1.5}],` +
	`"workers":{"report_s":2.5,"lease_s":16,"gang_wait_s":40,"gang_peer_s":5,"cancel_s":36},` +
	`"state":{"rps":100,"write_rps":30,"value_kb":32,"txn_ops":12,` +
	`"next":{"rps":90,"write_rps":20.5,"value_kb":16,"txn_ops":6}},` +
	`"cloud":{"rps":8,"list_lag_s":10},` +
	`"machine_limits":{"cpu":0.096,"memory_mb":179,"max_sockets":1800},"clock_error_ms":250}}`

func pointerTo[T any](value T) *T { return &value }

func goldenSettings() Settings {
	return Settings{
		Node:         "worker-0",
		Domain:       "a",
		Bind:         "10.0.0.1:8080",
		InternalAddr: "10.0.0.1:8081",
		Peers:        []Peer{{Node: "worker-1", Domain: "b", PeerAddr: "10.0.0.2:8081"}},
		Endpoints:    Endpoints{Cloud: "10.2.0.2:8443", KVStore: "10.2.0.1:2379"},
		Deployment: Deployment{
			InitialSize: 3,
			Zones:       []string{"a", "b"},
			Teams:       []Team{{Name: "t", Cpus: 2, CpusMax: 6, Gpus: 4, GpusMax: 12}},
			Objectives:  []Objective{{Kind: "deadline", Class: "c", WithinS: 5, Share: 0.85, DeadlineFactor: 1.5}},
			Workers:     Workers{HeartbeatS: 2.5, LeaseS: 16, GangWaitS: 40, GangPeerTimeoutS: 5, CancelS: 36},
			KVStore: KVStore{
				Rps:      100,
				WriteRps: 30,
				ValueKb:  32,
				TxnOps:   12,
				Next: &NextKVStore{
					Rps:      pointerTo(90.0),
					WriteRps: pointerTo(20.5),
					ValueKb:  pointerTo(16.0),
					TxnOps:   pointerTo(6),
				},
			},
			Cloud:         Cloud{Rps: 8, ListLagS: 10},
			MachineLimits: MachineLimits{CPU: 0.096, MemoryMb: 179, MaxSockets: 1800},
			ClockErrorMs:  250,
		},
	}
}

// A file with every field is decoded as recorded, and the settings are encoded as the recorded text. This
// guards against accidental changes of names in the platform's file.
func TestGoldenFile(t *testing.T) {
	want := goldenSettings()
	goldentest.RequireFieldsSet(t, "settings", want)
	goldentest.RequireTags(t, "json", want)
	got, err := Parse([]byte(goldenText))
	if err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(&want, got); d != "" {
		t.Error(d)
	}
	written, err := json.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Equal(t, "file", written, goldenText)
}

// Operators receive the recorded error messages for invalid files.
func TestGoldenFileErrors(t *testing.T) {
	for _, c := range []struct{ old, replacement, want string }{
		{`"node":"worker-0"`, `"node":""`, "node: fails the check required  (is \"\")"},
		{`"10.0.0.1:8080"`, `"localhost:8080"`, "bind: fails the check ipv4port  (is \"localhost:8080\")"},
		{`"cancel_s":36`, `"cancel_s":10`,
			"deployment.workers.cancel_s: fails the check gtfield LeaseS (is \"10\")"},
		{`"gpus_max":12`, `"gpus_max":2`, "deployment.teams: \"t\" is guaranteed more than its limit"},
		{`"value_kb":16`, `"value_kb":1`,
			"deployment.state.next.value_kb: fails the check gte 2 (is \"1\")"},
		{`"node":"worker-1"`, `"node":"worker-0"`, "known: \"worker-0\" is this node itself"},
	} {
		_, err := Parse([]byte(strings.Replace(goldenText, c.old, c.replacement, 1)))
		if err == nil {
			t.Errorf("%s is accepted", c.replacement)
			continue
		}
		goldentest.Equal(t, c.replacement, []byte(err.Error()), c.want)
	}
}
