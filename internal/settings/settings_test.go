package settings

import (
	"testing"

	"postpoint/internal/configfile/configtest"
)

const validText = `{"node":"worker-0","domain":"a","bind":"10.0.0.1:8080","internal_addr":"10.0.0.1:8081",
"known":[{"node":"worker-1","domain":"b","peer_addr":"10.0.0.2:8081"}],
"outside":{"cloud":"10.2.0.2:8443","state":"10.2.0.1:2379"},
"more":1,"deployment":{"initial_size":3,"zones":["a","b"],
"teams":[{"name":"t","cpus":0,"cpus_max":0,"gpus":4,"gpus_max":12}],
"objectives":[{"kind":"wait","class":"c","within_s":5,"share":0.85},
{"kind":"deadline","class":"c","times":1.5,"share":0.9}],
"workers":{"report_s":2.5,"lease_s":16,"gang_wait_s":40,"gang_peer_s":5,"cancel_s":36},
"state":{"rps":100,"write_rps":30,"value_kb":32,"txn_ops":12},"cloud":{"rps":8,"list_lag_s":10},
"machine_limits":{"cpu":0.096,"memory_mb":179,"max_sockets":1800},"clock_error_ms":250}}`

// withNext precedes announced limits of the key-value store in a replacement for `"txn_ops":12`.
const withNext = `"txn_ops":12,"next":`

// Parse accepts valid settings and ignores unknown fields.
func TestParseAcceptsGoodSettings(t *testing.T) {
	s, err := Parse([]byte(validText))
	if err != nil {
		t.Fatal(err)
	}
	if got := s.Deployment.Teams[0].GpusMax; got != 12 {
		t.Errorf("gpus_max %v, want 12", got)
	}
}

// The error for an invalid file names the first invalid field by its path.
func TestParseNamesFieldAtFault(t *testing.T) {
	faults := []configtest.Fault{
		{Old: `"node":"worker-0"`, New: `"node":""`, Field: "node"},
		{Old: `"10.0.0.1:8080"`, New: `"localhost:8080"`, Field: "bind"},
		{Old: `"10.2.0.1:2379"`, New: `"10.2.0.1"`, Field: "outside.state"},
		{Old: `"lease_s":16`, New: `"lease_s":0`, Field: "deployment.workers.lease_s"},
		{Old: `"cancel_s":36`, New: `"cancel_s":10`, Field: "deployment.workers.cancel_s"},
		{Old: `"txn_ops":12`, New: `"txn_ops":0`, Field: "deployment.state.txn_ops"},
		{Old: `"gpus_max":12`, New: `"gpus_max":2`, Field: "deployment.teams"},
		{Old: `"memory_mb":179`, New: `"memory_mb":"much"`, Field: "memory_mb"},
		{Old: `"node":"worker-1"`, New: `"node":"worker-0"`, Field: "known"},
		{Old: `"name":"t"`, New: `"name":""`, Field: "deployment.teams[0].name"},
		{Old: `"peer_addr":"10.0.0.2:8081"`, New: `"peer_addr":"x"`, Field: "known[0].peer_addr"},
		{Old: `"write_rps":30`, New: `"write_rps":-1`, Field: "deployment.state.write_rps"},
		{Old: `"initial_size":3`, New: `"initial_size":0`, Field: "deployment.initial_size"},
		{Old: `"clock_error_ms":250}}`, New: `"clock_error_ms":250}}}`},

		{Old: `"txn_ops":12`, New: withNext + `{"txn_ops":0}`, Field: "deployment.state.next.txn_ops"},
		{Old: `"txn_ops":12`, New: withNext + `{"value_kb":1}`, Field: "deployment.state.next.value_kb"},
		{Old: `"txn_ops":12`, New: withNext + `{"write_rps":-3}`, Field: "deployment.state.next.write_rps"},
		{Old: `"txn_ops":12`, New: withNext + `{"rps":0}`, Field: "deployment.state.next.rps"},
		{Old: `"txn_ops":12`, New: withNext + `{"value_kb":"more"}`, Field: "value_kb"},
	}
	configtest.RequireRejected(t, validText, faults, func(raw []byte) error {
		_, err := Parse(raw)
		return err
	})
}

// Announced limits apply where they are lower. Limits that the announcement leaves out stay.
func TestTightestTakesTheLowerLimits(t *testing.T) {
	for next, want := range map[string]KVStore{
		`null`: {Rps: 100, WriteRps: 30, ValueKb: 32, TxnOps: 12},
		`{}`:   {Rps: 100, WriteRps: 30, ValueKb: 32, TxnOps: 12},
		`{"write_rps":21,"value_kb":2,"txn_ops":4}`: {Rps: 100, WriteRps: 21, ValueKb: 2, TxnOps: 4},
		`{"value_kb":64,"txn_ops":4}`:               {Rps: 100, WriteRps: 30, ValueKb: 32, TxnOps: 4},
	} {
		s, err := Parse([]byte(configtest.Replace(t, validText, `"txn_ops":12`, withNext+next)))
		if err != nil {
			t.Fatalf("next %s: %v", next, err)
		}
		if got := s.Deployment.KVStore.Tightest(); got != want {
			t.Errorf("next %s: tightest limits %+v, want %+v", next, got, want)
		}
	}
}
