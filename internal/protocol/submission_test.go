package protocol

import (
	"errors"
	"math"
	"strings"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
)

func submission() map[string]any {
	return map[string]any{
		"Uid": "job-000412", "Lane": "train", "Desk": "vision", "Shape": "ensemble", "Rank": "urgent",
		"Legs": 4, "Vcpus": 8.0, "Gpus": 1.0, "MemGb": 64.0, "Bundle": "img-07", "PullGb": 6.2,
		"Fleets": []string{"g8"}, "Hall": nil, "SamePlace": true, "Spread": false, "Loaners": true,
		"ExpectedS": 240.0, "SnapshotS": 30, "FlushS": 4.0, "DueS": 900.0,
		"Unknown": "ignored",
	}
}

func parse(t *testing.T, fields any) (JobSpec, error) {
	raw, err := msgpack.Marshal(fields)
	if err != nil {
		t.Fatal(err)
	}
	return DecodeSubmission(raw)
}

// A valid submission is decoded completely, with optional fields null or missing too. Each invalid field
// gives an error that names it.
func TestSubmissionsAreCheckedFieldByField(t *testing.T) {
	spec, err := parse(t, submission())
	if err != nil || spec.Tasks != 4 || spec.CheckpointS != 30 || *spec.DeadlineS != 900 ||
		!spec.OneZone || spec.Types[0] != "g8" {
		t.Fatalf("decoded as %+v (%v), want the submitted values", spec, err)
	}
	s := submission()
	delete(s, "Hall")
	delete(s, "DueS")
	s["Fleets"] = nil
	if spec, err := parse(t, s); err != nil || spec.Zone != "" || spec.DeadlineS != nil || spec.Types != nil {
		t.Fatalf("decoded as %+v (%v), want no zone, no deadline and any type", spec, err)
	}
	bad := map[string][]any{
		"Uid":       {nil, 3, "", "job-", "job 1", "task-1", strings.Repeat("job-1", 50)},
		"Legs":      {nil, 0, -1, 2.5, 100_001, "4", uint64(math.MaxUint64)},
		"Vcpus":     {nil, -1.0, math.NaN(), math.Inf(1), "8", true},
		"ExpectedS": {nil, -0.5},
		"Shape":     {nil, "gang", ""},
		"Rank":      {nil, "high"},
		"SamePlace": {nil, 1, "true"},
		"Fleets":    {"g8", []any{1}, []any{""}},
		"Hall":      {1, ""},
		"DueS":      {"soon", -1},
		"Bundle":    {nil, strings.Repeat("x", 300)},
	}
	for field, values := range bad {
		for _, v := range values {
			s := submission()
			s[field] = v
			_, err := parse(t, s)
			var invalid *FieldError
			if !errors.As(err, &invalid) || invalid.Field != field || !strings.Contains(err.Error(), field) {
				t.Errorf("%s = %v: %v, want a FieldError of %s", field, v, err, field)
			}
		}
	}
	trailing := append(Encode(submission()), 0)
	for _, raw := range [][]byte{nil, {0xc1}, {0x93, 1, 2, 3}, []byte("hello"), {0x81}, trailing} {
		if _, err := DecodeSubmission(raw); err == nil {
			t.Errorf("% x was accepted, want it rejected", raw)
		}
	}
}

// DecodeSubmission never panics and accepts only valid submissions.
func FuzzDecodeSubmission(f *testing.F) {
	f.Add(Encode(submission()))
	f.Add([]byte{0xdf, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, raw []byte) {
		spec, err := DecodeSubmission(raw)
		if err == nil && (spec.Tasks < 1 || !ValidJobID(spec.ID) || !(spec.Cpus >= 0)) {
			t.Fatalf("accepted: %+v, want only valid submissions", spec)
		}
	})
}

// A service has no estimate, checkpoint times or deadline, even if the submission has them: its replicas
// run until the job is cancelled.
func TestServicesHaveNoEnd(t *testing.T) {
	s := submission()
	s["Shape"], s["ExpectedS"] = "daemon", 0.0
	for _, estimate := range []float64{0, 240} {
		s["ExpectedS"] = estimate
		spec, err := parse(t, s)
		if err != nil || !spec.IsService() || spec.EstimateS != 0 || spec.CheckpointS != 0 ||
			spec.SaveS != 0 || spec.DeadlineS != nil {
			t.Errorf("decoded as %+v (%v), want a service without times", spec, err)
		}
	}
	s["ExpectedS"] = -1.0
	if _, err := parse(t, s); err == nil || !strings.Contains(err.Error(), "ExpectedS") {
		t.Errorf("a negative estimate: %v, want an error of ExpectedS", err)
	}
}
