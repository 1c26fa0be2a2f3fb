package settings

import (
	"strings"
	"testing"
)

const good = `{"node":"worker-0","domain":"a","bind":"10.0.0.1:8080","internal_addr":"10.0.0.1:8081",
"known":[{"node":"worker-1","domain":"b","peer_addr":"10.0.0.2:8081"}],"outside":{"cloud":"10.2.0.2:8443","state":"10.2.0.1:2379"},
"more":1,"deployment":{"initial_size":3,"zones":["a","b"],"teams":[{"name":"t","cpus":0,"cpus_max":0,"gpus":4,"gpus_max":12}],
"objectives":[{"kind":"wait","class":"c","within_s":5,"share":0.85},{"kind":"deadline","class":"c","times":1.5,"share":0.9}],
"workers":{"report_s":2.5,"lease_s":16,"gang_wait_s":40,"gang_peer_s":5,"cancel_s":36},
"state":{"rps":100,"write_rps":30,"value_kb":32,"txn_ops":12},"cloud":{"rps":8,"list_lag_s":10},
"machine_limits":{"cpu":0.096,"memory_mb":179,"max_sockets":1800},"clock_error_ms":250}}`

// Good settings are taken, unknown fields ignored, and the first bad field is
// named by its path.
func TestParse(t *testing.T) {
	s, err := Parse([]byte(good))
	if err != nil || s.Deployment.Teams[0].GpusMax != 12 {
		t.Fatalf("%+v %v", s, err)
	}
	for change, field := range map[[2]string]string{
		{`"node":"worker-0"`, `"node":""`}:                    "node",
		{`"10.0.0.1:8080"`, `"localhost:8080"`}:               "bind",
		{`"10.2.0.1:2379"`, `"10.2.0.1"`}:                     "outside.state",
		{`"lease_s":16`, `"lease_s":0`}:                       "deployment.workers.lease_s",
		{`"cancel_s":36`, `"cancel_s":10`}:                    "deployment.workers.cancel_s",
		{`"txn_ops":12`, `"txn_ops":0`}:                       "deployment.state.txn_ops",
		{`"gpus_max":12`, `"gpus_max":2`}:                     "deployment.teams",
		{`"memory_mb":179`, `"memory_mb":"much"`}:             "memory_mb",
		{`"node":"worker-1"`, `"node":"worker-0"`}:            "known",
		{`"name":"t"`, `"name":""`}:                           "deployment.teams[0].name",
		{`"peer_addr":"10.0.0.2:8081"`, `"peer_addr":"x"`}:    "known[0].peer_addr",
		{`"write_rps":30`, `"write_rps":-1`}:                  "deployment.state.write_rps",
		{`"initial_size":3`, `"initial_size":0`}:              "deployment.initial_size",
		{`"clock_error_ms":250}}`, `"clock_error_ms":250}}}`}: "",

		{`"txn_ops":12`, `"txn_ops":12,"next":{"txn_ops":0}`}:       "deployment.state.next.txn_ops",
		{`"txn_ops":12`, `"txn_ops":12,"next":{"value_kb":1}`}:      "deployment.state.next.value_kb",
		{`"txn_ops":12`, `"txn_ops":12,"next":{"write_rps":-3}`}:    "deployment.state.next.write_rps",
		{`"txn_ops":12`, `"txn_ops":12,"next":{"rps":0}`}:           "deployment.state.next.rps",
		{`"txn_ops":12`, `"txn_ops":12,"next":{"value_kb":"more"}`}: "value_kb",
	} {
		text := strings.Replace(good, change[0], change[1], 1)
		if text == good {
			t.Fatalf("%v changes nothing", change)
		}
		if _, err := Parse([]byte(text)); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%v: %v", change, err)
		}
	}
}

// Announced limits count where they are tighter; what they leave out stays.
func TestTightestLimits(t *testing.T) {
	for next, want := range map[string]State{
		`null`: {Rps: 100, WriteRps: 30, ValueKb: 32, TxnOps: 12},
		`{}`:   {Rps: 100, WriteRps: 30, ValueKb: 32, TxnOps: 12},
		`{"write_rps":21,"value_kb":2,"txn_ops":4}`: {Rps: 100, WriteRps: 21, ValueKb: 2, TxnOps: 4},
		`{"value_kb":64,"txn_ops":4}`:               {Rps: 100, WriteRps: 30, ValueKb: 32, TxnOps: 4},
	} {
		s, err := Parse([]byte(strings.Replace(good, `"txn_ops":12`, `"txn_ops":12,"next":`+next, 1)))
		if err != nil {
			t.Fatal(next, err)
		}
		if got := s.Deployment.State.Tightest(); got != want {
			t.Errorf("%s: %+v", next, got)
		}
	}
}
