package jobrecord

import (
	"bytes"
	"encoding/hex"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"postpoint/internal/protocol"
)

var due = 90.0 // seconds

// format1Records are values that the first version in production, which wrote format 1, stored.
var format1Records = map[string]struct {
	hex  string
	want Record
}{
	"an array with done tasks and placements": {`
		87a473706563de0013a3556964aa6a6f622d303030303031a44c616e65a765787472617365a44465736ba86576616c756172
		65a55368617065a56261746368a452616e6ba66e6f726d616ca44c65677309a55663707573cb3ff8000000000000a4477075
		73cb0000000000000000a54d656d4762cb4000000000000000a642756e646c65a5696d672d31a650756c6c4762cb3ff00000
		00000000a6466c65657473c0a953616d65506c616365c2a6537072656164c2a74c6f616e657273c3a9457870656374656453
		cb4044000000000000a9536e617073686f7453cb0000000000000000a6466c75736853cb0000000000000000a444756553cb
		4056800000000000a26174cf000644f4e120dc00a4646f6e65a5302d312c34a374727903a6706c6163656492b06d2d303030
		3030312031203220322d33ae6d2d303030303037203420312038a76c656e6465727391aa6a6f622d303030303032a5636175
		7365b16572726f72206f6e206d2d303030303031`, Record{
		Spec: protocol.JobSpec{ID: "job-000001", Class: "extrase", Team: "evaluare", Shape: "batch",
			Priority: "normal",
			Tasks:    9, Cpus: 1.5, MemoryGB: 2, Image: "img-1", ImageGB: 1, Spot: true, EstimateS: 40,
			DeadlineS: &due},
		SubmittedAt: 1764668400000000, NextAttempt: 3, Lenders: []protocol.JobID{"job-000002"},
		Cause: "error on m-000001",
		Done:  TaskSet{spans: []span{{0, 1}, {4, 4}}, count: 3},
		Placements: map[int]Placement{
			2: {2, 2, "m-000001", 1}, 3: {3, 2, "m-000001", 1}, 8: {8, 1, "m-000007", 4},
		},
	}},
	"a cancelled gang that still runs": {`
		86a473706563de0014a3556964aa6a6f622d303030303032a44c616e65a774617269666661a44465736ba8706572636f7273
		69a55368617065a8656e73656d626c65a452616e6ba6757267656e74a44c65677302a55663707573cb404e000000000000a4
		47707573cb0000000000000000a54d656d4762cb4069000000000000a642756e646c65a5696d672d32a650756c6c4762cb40
		04000000000000a6466c6565747391a6617175696c61a448616c6ca6746f72696e6fa953616d65506c616365c3a653707265
		6164c2a74c6f616e657273c2a9457870656374656453cb4054000000000000a9536e617073686f7453cb4046800000000000
		a6466c75736853cb4018000000000000a444756553c0a6737461747573a761626f72746564a26174cf000644f4e120dc00a9
		63616e63656c6c6564cf000644f4e4b46300a374727902a6706c6163656492ae6d2d303030303033203120312030ae6d2d30
		3030303034203120312031`, Record{
		Spec: protocol.JobSpec{ID: "job-000002", Class: "tariffa", Team: "percorsi", Shape: "ensemble",
			Priority: "urgent", Tasks: 2, Cpus: 60, MemoryGB: 200, Image: "img-2", ImageGB: 2.5,
			Types: []string{"aquila"},
			Zone:  "torino", OneZone: true, EstimateS: 80, CheckpointS: 45, SaveS: 6},
		Status: "aborted", SubmittedAt: 1764668400000000, CancelledAt: 1764668460000000, NextAttempt: 2,
		Placements: map[int]Placement{0: {0, 1, "m-000003", 1}, 1: {1, 1, "m-000004", 1}},
	}},
	// That version recorded an exited replica as a done task, which decoding must ignore.
	"a service classified as an array": {`
		85a473706563de0013a3556964aa6a6f622d303030303033a44c616e65a6706f7274616ca44465736ba86576616c75617265
		a55368617065a66461656d6f6ea452616e6ba470726f64a44c65677302a55663707573cb3ff0000000000000a447707573cb
		0000000000000000a54d656d4762cb3ff999999999999aa642756e646c65a5696d672d33a650756c6c4762cb400000000000
		0000a6466c65657473c0a953616d65506c616365c2a6537072656164c3a74c6f616e657273c2a9457870656374656453cb00
		00000000000000a9536e617073686f7453cb0000000000000000a6466c75736853cb0000000000000000a444756553c0a261
		74cf000644f4e120dc00a4646f6e65a130a374727902a6706c6163656491ae6d2d303030303035203120312031`, Record{
		Spec: protocol.JobSpec{ID: "job-000003", Class: "portal", Team: "evaluare", Shape: "daemon",
			Priority: "prod",
			Tasks:    2, Cpus: 1, MemoryGB: 1.6, Image: "img-3", ImageGB: 2, Spread: true},
		SubmittedAt: 1764668400000000, NextAttempt: 2,
		Placements: map[int]Placement{1: {1, 1, "m-000005", 1}},
	}},
}

// After an upgrade this version must decode what controllers of format 1 stored, and encode it to the
// same bytes, so that such controllers can still read it. The values are an array with done tasks and
// placements on two machines, a cancelled gang, and a service that they classified as an array.
func TestRecordsOfFormat1AreReadAndWrittenBack(t *testing.T) {
	for name, stored := range format1Records {
		value, err := hex.DecodeString(strings.Join(strings.Fields(stored.hex), ""))
		if err != nil {
			t.Fatal(name, err)
		}
		record, err := Decode(value)
		if err != nil {
			t.Fatalf("%s: %v, want no error", name, err)
		}
		if d := cmp.Diff(&stored.want, record, allFields); d != "" {
			t.Fatalf("%s: decoded record differs (-want +got):\n%s", name, d)
		}
		if !record.Spec.IsService() && !bytes.Equal(record.Encode(), value) {
			t.Errorf("%s: encoded again as %x, want %x", name, record.Encode(), value)
		}
	}
}

// Controllers of format 1 would classify a service as an array, and the running tasks of a sharded
// record as pending. They must reject both as malformed: they accept only placements of four fields,
// so the marker must have another number of fields.
func TestMarkedRecordsAreRefusedByReadersOfFormat1(t *testing.T) {
	service := New(protocol.JobSpec{ID: "job-1", Shape: protocol.ShapeService, Tasks: 3}, 1)
	service.FormatMarked = true
	sharded := New(protocol.JobSpec{ID: "job-2", Shape: protocol.ShapeArray, Tasks: 3000}, 1)
	sharded.ShardSize, sharded.FormatMarked = 100, true
	for _, record := range []*Record{service, sharded} {
		var stored struct {
			Placed []string `msgpack:"placed"`
		}
		if err := protocol.Decode(record.Encode(), &stored); err != nil {
			t.Fatal(err)
		}
		if len(stored.Placed) == 0 || len(strings.Fields(stored.Placed[0])) == 4 {
			t.Errorf("%s: placements %q, want the first not to have four fields",
				record.Spec.Shape, stored.Placed)
		}
		if decoded := reassembled(t, record); !decoded.FormatMarked || decoded.ShardSize != record.ShardSize {
			t.Errorf("%s: decoded as %+v, want it marked, with %d tasks per shard",
				record.Spec.Shape, decoded, record.ShardSize)
		}
	}
}
