package jobrecord

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"postpoint/internal/goldentest"
	"postpoint/internal/protocol"
	"postpoint/internal/protocol/protocoltest"
)

// smallSpec returns a job with only the fields that every test sets.
func smallSpec(shape string, tasks int) protocol.JobSpec {
	return protocol.JobSpec{ID: "job-1", Shape: shape, Tasks: tasks}
}

// goldenRanges returns the set with the given spans.
func goldenRanges(spans ...span) TaskSet {
	r := TaskSet{spans: spans}
	for _, s := range spans {
		r.count += s.hi - s.lo + 1
	}
	return r
}

// goldenPlacements returns placements on two machines and one in another cell.
func goldenPlacements() map[int]Placement {
	return map[int]Placement{
		5:  {Task: 5, Attempt: 2, Machine: "m-000001", Incarnation: 3},
		6:  {Task: 6, Attempt: 2, Machine: "m-000001", Incarnation: 3},
		8:  {Task: 8, Attempt: 2, Machine: "m-000001", Incarnation: 3},
		9:  {Task: 9, Attempt: 1, Machine: "m-000001", Incarnation: 3},
		10: {Task: 10, Attempt: 4, Machine: DelegatedTo("beta"), Incarnation: 7},
		11: {Task: 11, Attempt: 1, Machine: "m-000002", Incarnation: 70_000},
	}
}

// goldenRecord is a record with its recorded values.
type goldenRecord struct {
	name string
	job  Record
	head string
	// shards has the values of a sharded record's shards.
	shards []string
}

var goldenRecords = []goldenRecord{
	{
		name: "a new job",
		job: Record{
			Spec:        smallSpec(protocol.ShapeArray, 3),
			SubmittedAt: 1764668400000000,
			NextAttempt: 1,
			Placements:  map[int]Placement{},
		},
		head: "\x83\xa4spec\xde\x00\x13\xa3Uid\xa5job-1\xa4Lane\xa0\xa4Desk\xa0\xa5Shape\xa5batch\xa4Ra" +
			"nk\xa0\xa4Legs\x03\xa5Vcpus\xcb\x00\x00\x00\x00\x00\x00\x00\x00\xa4Gpus\xcb\x00\x00\x00" +
			"\x00\x00\x00\x00\x00\xa5MemGb\xcb\x00\x00\x00\x00\x00\x00\x00\x00\xa6Bundle\xa0\xa6PullG" +
			"b\xcb\x00\x00\x00\x00\x00\x00\x00\x00\xa6Fleets\xc0\xa9SamePlace\xc2\xa6Spread\xc2\xa7Lo" +
			"aners\xc2\xa9ExpectedS\xcb\x00\x00\x00\x00\x00\x00\x00\x00\xa9SnapshotS\xcb\x00\x00\x00" +
			"\x00\x00\x00\x00\x00\xa6FlushS\xcb\x00\x00\x00\x00\x00\x00\x00\x00\xa4DueS\xc0\xa2at\xcf" +
			"\x00\x06D\xf4\xe1 \xdc\x00\xa3try\x01",
	},
	{
		name: "a whole record with every field that it can have",
		job: Record{
			Spec:          protocoltest.FullJobSpec(),
			Status:        protocol.StatusCancelled,
			SubmittedAt:   1764668400000000,
			CancelledAt:   1764668460000000,
			Done:          goldenRanges(span{0, 3}, span{7, 7}),
			NextAttempt:   5,
			Placements:    goldenPlacements(),
			Lenders:       []protocol.JobID{"job-000001", "job-000002"},
			Cause:         "error on m-000001",
			Hosted:        &HostedJob{OriginCell: "gamma", Delegation: 9, Closed: true},
			ReturnCount:   2,
			DisplacedFrom: "b",
		},
		head: "\x8b\xa4spec\xde\x00\x14\xa3Uid\xaajob-000412\xa4Lane\xa5train\xa4Desk\xa6vision\xa5Shap" +
			"e\xa5batch\xa4Rank\xa6urgent\xa4Legs\x0c\xa5Vcpus\xcb@ \x00\x00\x00\x00\x00\x00\xa4Gpus" +
			"\xcb?\xf0\x00\x00\x00\x00\x00\x00\xa5MemGb\xcb@P\x00\x00\x00\x00\x00\x00\xa6Bundle\xa6im" +
			"g-07\xa6PullGb\xcb@\x19\x00\x00\x00\x00\x00\x00\xa6Fleets\x91\xa2g8\xa4Hall\xa1a\xa9Same" +
			"Place\xc3\xa6Spread\xc3\xa7Loaners\xc3\xa9ExpectedS\xcb@n\x00\x00\x00\x00\x00\x00\xa9Sna" +
			"pshotS\xcb@>\x00\x00\x00\x00\x00\x00\xa6FlushS\xcb@\x10\x00\x00\x00\x00\x00\x00\xa4DueS" +
			"\xcb@\x8c \x00\x00\x00\x00\x00\xa6status\xa7aborted\xa2at\xcf\x00\x06D\xf4\xe1 \xdc\x00" +
			"\xa9cancelled\xcf\x00\x06D\xf4\xe4\xb4c\x00\xa4done\xa50-3,7\xa3try\x05\xa6placed\x95" +
			"\xb4guest gamma 9 closed\xb0cell beta 7 4 10\xaem-000001 3 1 9\xb2m-000001 3 2 5-6,8\xb3" +
			"m-000002 70000 1 11\xa7lenders\x92\xaajob-000001\xaajob-000002\xa5cause\xb1error on m-00" +
			"0001\xa8returned\x02\xa9displaced\xa1b",
	},
	{
		name: "a truncated record",
		job: Record{
			Spec:        smallSpec(protocol.ShapeGang, 3),
			Status:      protocol.StatusCancelled,
			SubmittedAt: 1764668400000000,
			CancelledAt: 1764668460000000,
			NextAttempt: 5,
			Placements:  map[int]Placement{},
			Truncated:   true,
		},
		head: "\x86\xa4spec\xde\x00\x13\xa3Uid\xa5job-1\xa4Lane\xa0\xa4Desk\xa0\xa5Shape\xa8ensemble" +
			"\xa4Rank\xa0\xa4Legs\x03\xa5Vcpus\xcb\x00\x00\x00\x00\x00\x00\x00\x00\xa4Gpus\xcb\x00" +
			"\x00\x00\x00\x00\x00\x00\x00\xa5MemGb\xcb\x00\x00\x00\x00\x00\x00\x00\x00\xa6Bundle\xa0" +
			"\xa6PullGb\xcb\x00\x00\x00\x00\x00\x00\x00\x00\xa6Fleets\xc0\xa9SamePlace\xc2\xa6Spread" +
			"\xc2\xa7Loaners\xc2\xa9ExpectedS\xcb\x00\x00\x00\x00\x00\x00\x00\x00\xa9SnapshotS\xcb" +
			"\x00\x00\x00\x00\x00\x00\x00\x00\xa6FlushS\xcb\x00\x00\x00\x00\x00\x00\x00\x00\xa4DueS" +
			"\xc0\xa6status\xa7aborted\xa2at\xcf\x00\x06D\xf4\xe1 \xdc\x00\xa9cancelled\xcf\x00\x06D" +
			"\xf4\xe4\xb4c\x00\xa3try\x05\xa9truncated\xc3",
	},
	{
		name: "a job that is done",
		job: Record{
			Spec:        smallSpec(protocol.ShapeArray, 3),
			Status:      protocol.StatusDone,
			SubmittedAt: 1764668400000000,
			Done:        goldenRanges(span{0, 2}),
			NextAttempt: 2,
			Placements:  map[int]Placement{},
		},
		head: "\x85\xa4spec\xde\x00\x13\xa3Uid\xa5job-1\xa4Lane\xa0\xa4Desk\xa0\xa5Shape\xa5batch\xa4Ra" +
			"nk\xa0\xa4Legs\x03\xa5Vcpus\xcb\x00\x00\x00\x00\x00\x00\x00\x00\xa4Gpus\xcb\x00\x00\x00" +
			"\x00\x00\x00\x00\x00\xa5MemGb\xcb\x00\x00\x00\x00\x00\x00\x00\x00\xa6Bundle\xa0\xa6PullG" +
			"b\xcb\x00\x00\x00\x00\x00\x00\x00\x00\xa6Fleets\xc0\xa9SamePlace\xc2\xa6Spread\xc2\xa7Lo" +
			"aners\xc2\xa9ExpectedS\xcb\x00\x00\x00\x00\x00\x00\x00\x00\xa9SnapshotS\xcb\x00\x00\x00" +
			"\x00\x00\x00\x00\x00\xa6FlushS\xcb\x00\x00\x00\x00\x00\x00\x00\x00\xa4DueS\xc0\xa6status" +
			"\xa4done\xa2at\xcf\x00\x06D\xf4\xe1 \xdc\x00\xa4done\xa30-2\xa3try\x02",
	},
	{
		name: "a service, not marked",
		job: Record{
			Spec:        smallSpec(protocol.ShapeService, 3),
			SubmittedAt: 1764668400000000,
			NextAttempt: 2,
			Placements:  map[int]Placement{1: {Task: 1, Attempt: 1, Machine: "m-000005", Incarnation: 1}},
		},
		head: "\x84\xa4spec\xde\x00\x13\xa3Uid\xa5job-1\xa4Lane\xa0\xa4Desk\xa0\xa5Shape\xa6daemon\xa4R" +
			"ank\xa0\xa4Legs\x03\xa5Vcpus\xcb\x00\x00\x00\x00\x00\x00\x00\x00\xa4Gpus\xcb\x00\x00\x00" +
			"\x00\x00\x00\x00\x00\xa5MemGb\xcb\x00\x00\x00\x00\x00\x00\x00\x00\xa6Bundle\xa0\xa6PullG" +
			"b\xcb\x00\x00\x00\x00\x00\x00\x00\x00\xa6Fleets\xc0\xa9SamePlace\xc2\xa6Spread\xc2\xa7Lo" +
			"aners\xc2\xa9ExpectedS\xcb\x00\x00\x00\x00\x00\x00\x00\x00\xa9SnapshotS\xcb\x00\x00\x00" +
			"\x00\x00\x00\x00\x00\xa6FlushS\xcb\x00\x00\x00\x00\x00\x00\x00\x00\xa4DueS\xc0\xa2at\xcf" +
			"\x00\x06D\xf4\xe1 \xdc\x00\xa3try\x02\xa6placed\x91\xaem-000005 1 1 1",
	},
	{
		name: "a service",
		job: Record{
			Spec:         smallSpec(protocol.ShapeService, 3),
			SubmittedAt:  1764668400000000,
			NextAttempt:  2,
			Placements:   map[int]Placement{1: {Task: 1, Attempt: 1, Machine: "m-000005", Incarnation: 1}},
			FormatMarked: true,
		},
		head: "\x84\xa4spec\xde\x00\x13\xa3Uid\xa5job-1\xa4Lane\xa0\xa4Desk\xa0\xa5Shape\xa6daemon\xa4R" +
			"ank\xa0\xa4Legs\x03\xa5Vcpus\xcb\x00\x00\x00\x00\x00\x00\x00\x00\xa4Gpus\xcb\x00\x00\x00" +
			"\x00\x00\x00\x00\x00\xa5MemGb\xcb\x00\x00\x00\x00\x00\x00\x00\x00\xa6Bundle\xa0\xa6PullG" +
			"b\xcb\x00\x00\x00\x00\x00\x00\x00\x00\xa6Fleets\xc0\xa9SamePlace\xc2\xa6Spread\xc2\xa7Lo" +
			"aners\xc2\xa9ExpectedS\xcb\x00\x00\x00\x00\x00\x00\x00\x00\xa9SnapshotS\xcb\x00\x00\x00" +
			"\x00\x00\x00\x00\x00\xa6FlushS\xcb\x00\x00\x00\x00\x00\x00\x00\x00\xa4DueS\xc0\xa2at\xcf" +
			"\x00\x06D\xf4\xe1 \xdc\x00\xa3try\x02\xa6placed\x92\xa7service\xaem-000005 1 1 1",
	},
	{
		name: "a hosted job",
		job: Record{
			Spec:        smallSpec(protocol.ShapeGang, 2),
			SubmittedAt: 1764668400000000,
			NextAttempt: 2,
			Placements:  map[int]Placement{1: {Task: 1, Attempt: 1, Machine: "m-000005", Incarnation: 1}},
			Hosted:      &HostedJob{OriginCell: "gamma", Delegation: 9},
		},
		head: "\x84\xa4spec\xde\x00\x13\xa3Uid\xa5job-1\xa4Lane\xa0\xa4Desk\xa0\xa5Shape\xa8ensemble" +
			"\xa4Rank\xa0\xa4Legs\x02\xa5Vcpus\xcb\x00\x00\x00\x00\x00\x00\x00\x00\xa4Gpus\xcb\x00" +
			"\x00\x00\x00\x00\x00\x00\x00\xa5MemGb\xcb\x00\x00\x00\x00\x00\x00\x00\x00\xa6Bundle\xa0" +
			"\xa6PullGb\xcb\x00\x00\x00\x00\x00\x00\x00\x00\xa6Fleets\xc0\xa9SamePlace\xc2\xa6Spread" +
			"\xc2\xa7Loaners\xc2\xa9ExpectedS\xcb\x00\x00\x00\x00\x00\x00\x00\x00\xa9SnapshotS\xcb" +
			"\x00\x00\x00\x00\x00\x00\x00\x00\xa6FlushS\xcb\x00\x00\x00\x00\x00\x00\x00\x00\xa4DueS" +
			"\xc0\xa2at\xcf\x00\x06D\xf4\xe1 \xdc\x00\xa3try\x02\xa6placed\x92\xadguest gamma 9\xaem-" +
			"000005 1 1 1",
	},
	{
		name: "a hosted job that is a marked service",
		job: Record{
			Spec:         smallSpec(protocol.ShapeService, 2),
			SubmittedAt:  1764668400000000,
			NextAttempt:  2,
			Placements:   map[int]Placement{},
			FormatMarked: true,
			Hosted:       &HostedJob{OriginCell: "gamma", Delegation: 9},
		},
		head: "\x84\xa4spec\xde\x00\x13\xa3Uid\xa5job-1\xa4Lane\xa0\xa4Desk\xa0\xa5Shape\xa6daemon\xa4R" +
			"ank\xa0\xa4Legs\x02\xa5Vcpus\xcb\x00\x00\x00\x00\x00\x00\x00\x00\xa4Gpus\xcb\x00\x00\x00" +
			"\x00\x00\x00\x00\x00\xa5MemGb\xcb\x00\x00\x00\x00\x00\x00\x00\x00\xa6Bundle\xa0\xa6PullG" +
			"b\xcb\x00\x00\x00\x00\x00\x00\x00\x00\xa6Fleets\xc0\xa9SamePlace\xc2\xa6Spread\xc2\xa7Lo" +
			"aners\xc2\xa9ExpectedS\xcb\x00\x00\x00\x00\x00\x00\x00\x00\xa9SnapshotS\xcb\x00\x00\x00" +
			"\x00\x00\x00\x00\x00\xa6FlushS\xcb\x00\x00\x00\x00\x00\x00\x00\x00\xa4DueS\xc0\xa2at\xcf" +
			"\x00\x06D\xf4\xe1 \xdc\x00\xa3try\x02\xa6placed\x92\xadguest gamma 9\xa7service",
	},
	{
		name: "a sharded record",
		job: Record{
			Spec:          protocoltest.FullJobSpec(),
			SubmittedAt:   1764668400000000,
			Done:          goldenRanges(span{0, 3}, span{7, 7}),
			NextAttempt:   5,
			Placements:    goldenPlacements(),
			Lenders:       []protocol.JobID{"job-000001"},
			Cause:         "error on m-000001",
			ShardSize:     5,
			FormatMarked:  true,
			ReturnCount:   1,
			DisplacedFrom: "b",
		},
		head: "\x88\xa4spec\xde\x00\x14\xa3Uid\xaajob-000412\xa4Lane\xa5train\xa4Desk\xa6vision\xa5Shap" +
			"e\xa5batch\xa4Rank\xa6urgent\xa4Legs\x0c\xa5Vcpus\xcb@ \x00\x00\x00\x00\x00\x00\xa4Gpus" +
			"\xcb?\xf0\x00\x00\x00\x00\x00\x00\xa5MemGb\xcb@P\x00\x00\x00\x00\x00\x00\xa6Bundle\xa6im" +
			"g-07\xa6PullGb\xcb@\x19\x00\x00\x00\x00\x00\x00\xa6Fleets\x91\xa2g8\xa4Hall\xa1a\xa9Same" +
			"Place\xc3\xa6Spread\xc3\xa7Loaners\xc3\xa9ExpectedS\xcb@n\x00\x00\x00\x00\x00\x00\xa9Sna" +
			"pshotS\xcb@>\x00\x00\x00\x00\x00\x00\xa6FlushS\xcb@\x10\x00\x00\x00\x00\x00\x00\xa4DueS" +
			"\xcb@\x8c \x00\x00\x00\x00\x00\xa2at\xcf\x00\x06D\xf4\xe1 \xdc\x00\xa3try\x05\xa6placed" +
			"\x91\xa7parts 5\xa7lenders\x91\xaajob-000001\xa5cause\xb1error on m-000001\xa8returned" +
			"\x01\xa9displaced\xa1b",
		shards: []string{"\x82\xa4done\xa20f\xa4next\x05",
			"\x85\xa4done\xa204\xa4next\x05\xa5shift\x03\xa3try\x02\xa6placed\xbdm-000001 0-1,3;m-000" +
				"001 4 3 1",
			"\x84\xa4next\x05\xa5shift\x07\xa3try\x04\xa6placed\xbecell beta 0;m-000002 1 70000 1"},
	},
	{
		name: "a hosted sharded service",
		job: Record{
			Spec:         smallSpec(protocol.ShapeService, 3),
			SubmittedAt:  1764668400000000,
			NextAttempt:  2,
			Placements:   map[int]Placement{2: {Task: 2, Attempt: 1, Machine: "m-000005", Incarnation: 1}},
			ShardSize:    2,
			FormatMarked: true,
			Hosted:       &HostedJob{OriginCell: "gamma", Delegation: 9},
		},
		head: "\x84\xa4spec\xde\x00\x13\xa3Uid\xa5job-1\xa4Lane\xa0\xa4Desk\xa0\xa5Shape\xa6daemon\xa4R" +
			"ank\xa0\xa4Legs\x03\xa5Vcpus\xcb\x00\x00\x00\x00\x00\x00\x00\x00\xa4Gpus\xcb\x00\x00\x00" +
			"\x00\x00\x00\x00\x00\xa5MemGb\xcb\x00\x00\x00\x00\x00\x00\x00\x00\xa6Bundle\xa0\xa6PullG" +
			"b\xcb\x00\x00\x00\x00\x00\x00\x00\x00\xa6Fleets\xc0\xa9SamePlace\xc2\xa6Spread\xc2\xa7Lo" +
			"aners\xc2\xa9ExpectedS\xcb\x00\x00\x00\x00\x00\x00\x00\x00\xa9SnapshotS\xcb\x00\x00\x00" +
			"\x00\x00\x00\x00\x00\xa6FlushS\xcb\x00\x00\x00\x00\x00\x00\x00\x00\xa4DueS\xc0\xa2at\xcf" +
			"\x00\x06D\xf4\xe1 \xdc\x00\xa3try\x02\xa6placed\x93\xadguest gamma 9\xa7service\xa7parts" +
			" 2",
		shards: []string{"\x81\xa4next\x02",
			"\x84\xa4next\x02\xa5shift\x01\xa3try\x01\xa6placed\xaam-000005 0"},
	},
}

// Each kind of record encodes to the recorded bytes and decodes from them.
func TestGoldenRecords(t *testing.T) {
	for _, record := range goldenRecords {
		goldentest.Equal(t, record.name, record.job.Encode(), record.head)
		if record.job.ShardCount() != len(record.shards) {
			t.Errorf("%s: %d shards", record.name, record.job.ShardCount())
			continue
		}
		job, err := Decode([]byte(record.head))
		if err != nil {
			t.Errorf("%s: %v", record.name, err)
			continue
		}
		for i, shard := range record.shards {
			goldentest.Equal(t, record.name, record.job.EncodeShard(i), shard)
			if err := job.ApplyShard(i, []byte(shard)); err != nil {
				t.Errorf("%s: shard %d: %v", record.name, i, err)
			}
		}
		if d := cmp.Diff(&record.job, job, cmp.AllowUnexported(TaskSet{}, span{})); d != "" {
			t.Errorf("%s: decoded record differs: %s", record.name, d)
		}
	}
}

// Every field of the stored forms has its name in a tag, so that renaming the field doesn't change the
// stored format.
func TestRecordsHaveTags(t *testing.T) {
	goldentest.RequireTags(t, "msgpack", storedRecord{}, storedShard{})
}

// The stored forms with every field set encode to the recorded bytes. No real record sets them all.
func TestGoldenStoredForms(t *testing.T) {
	whole := storedRecord{
		Spec:        protocoltest.FullJobSpec(),
		Status:      protocol.StatusCancelled,
		SubmittedAt: 1764668400000000,
		CancelledAt: 1764668460000000,
		Done:        "0-3,7",
		NextAttempt: 5,
		Placed:      []string{"m-000001 3 2 5-6"},
		Lenders:     []protocol.JobID{"job-000001"},
		Cause:       "error on m-000001",
		Truncated:   true,
		Returned:    2,
		Displaced:   "b",
	}
	const wholeBytes = "" +
		"\x8c\xa4spec\xde\x00\x14\xa3Uid\xaajob-000412\xa4Lane\xa5train\xa4Desk\xa6vision\xa5Shape" +
		"\xa5batch\xa4Rank\xa6urgent\xa4Legs\x0c\xa5Vcpus\xcb@ \x00\x00\x00\x00\x00\x00\xa4Gpus\xcb?" +
		"\xf0\x00\x00\x00\x00\x00\x00\xa5MemGb\xcb@P\x00\x00\x00\x00\x00\x00\xa6Bundle\xa6img-07\xa6P" +
		"ullGb\xcb@\x19\x00\x00\x00\x00\x00\x00\xa6Fleets\x91\xa2g8\xa4Hall\xa1a\xa9SamePlace\xc3\xa6" +
		"Spread\xc3\xa7Loaners\xc3\xa9ExpectedS\xcb@n\x00\x00\x00\x00\x00\x00\xa9SnapshotS\xcb@>\x00" +
		"\x00\x00\x00\x00\x00\xa6FlushS\xcb@\x10\x00\x00\x00\x00\x00\x00\xa4DueS\xcb@\x8c \x00\x00" +
		"\x00\x00\x00\xa6status\xa7aborted\xa2at\xcf\x00\x06D\xf4\xe1 \xdc\x00\xa9cancelled\xcf\x00" +
		"\x06D\xf4\xe4\xb4c\x00\xa4done\xa50-3,7\xa3try\x05\xa6placed\x91\xb0m-000001 3 2 5-6\xa7lend" +
		"ers\x91\xaajob-000001\xa5cause\xb1error on m-000001\xa9truncated\xc3\xa8returned\x02\xa9disp" +
		"laced\xa1b"
	protocoltest.RequireGolden(t, "record", whole, wholeBytes)
	shard := storedShard{
		Done:        "8f00",
		NextAttempt: 5,
		Incarnation: 3,
		Attempt:     2,
		Placed:      "m-000001 0-2,4;m-000002 3 1 4",
	}
	const shardBytes = "" +
		"\x85\xa4done\xa48f00\xa4next\x05\xa5shift\x03\xa3try\x02\xa6placed\xbdm-000001 0-2,4;m-00000" +
		"2 3 1 4"
	protocoltest.RequireGolden(t, "shard", shard, shardBytes)
}

// The keys of records and shards, the markers, and the values in place of machine names are the
// recorded ones.
func TestGoldenKeys(t *testing.T) {
	for _, c := range []struct{ name, got, want string }{
		{"prefix of records", Prefix, "jobs/"},
		{"key of a record", Key("job-000412"), "jobs/job-000412"},
		{"prefix of shards", ShardsPrefix, "parts/"},
		{"prefix of a job's shards", JobShardsPrefix("job-000412"), "parts/job-000412/"},
		{"key of a shard", ShardKey("job-000412", 12), "parts/job-000412/12"},
		{"a delegated placement", string(DelegatedTo("beta")), "cell beta"},
		{"id of a hosted job", string(HostedJobID("alpha", "job-1", 7)), "alpha.job-1.7"},
		{"marker of a service", serviceMarker, "service"},
		{"marker of a sharded record", shardsMarker, "parts"},
		{"marker of a hosted job", hostedMarker, "guest"},
		{"a hosted job", (&HostedJob{OriginCell: "beta", Delegation: 7}).encode(), "beta 7"},
		{"a closed hosted job", (&HostedJob{OriginCell: "beta", Delegation: 7, Closed: true}).encode(),
			"beta 7 closed"},
		{"the host cell of a placement", Placement{Machine: "cell beta"}.HostCell(), "beta"},
		{"the host cell of a placement in this cell", Placement{Machine: "m-000001"}.HostCell(), ""},
	} {
		goldentest.Equal(t, c.name, []byte(c.got), c.want)
	}
	if job, shard, ok := ParseShardKey("parts/job-000412/12"); job != "job-000412" || shard != 12 || !ok {
		t.Errorf("a shard's key is parsed as %q %d %v", job, shard, ok)
	}
	cell, job, number, ok := ParseHostedJobID("alpha.job-1.7")
	if cell != "alpha" || job != "job-1" || number != 7 || !ok {
		t.Errorf("a hosted job's id is parsed as %q %q %d %v", cell, job, number, ok)
	}
	if _, _, _, ok := ParseHostedJobID("job-000412"); ok {
		t.Error("a job of this cell is classified as a hosted job")
	}
}

// Task sets encode to the recorded text and parse from it. ParseTaskSet rejects malformed texts.
func TestGoldenRanges(t *testing.T) {
	for text, r := range map[string]TaskSet{
		"":             {},
		"0":            goldenRanges(span{0, 0}),
		"0-5,7,9-10":   goldenRanges(span{0, 5}, span{7, 7}, span{9, 10}),
		"3,1073741824": goldenRanges(span{3, 3}, span{1 << 30, 1 << 30}),
	} {
		goldentest.Equal(t, "task set", []byte(r.String()), text)
		got, err := ParseTaskSet(text)
		if d := cmp.Diff(r, got, cmp.AllowUnexported(TaskSet{}, span{})); err != nil || d != "" {
			t.Errorf("%q: %v %s", text, err, d)
		}
	}
	for _, text := range []string{"0-", "-1", "1,2", "2-1", "a", "0-1073741825", "1,,3"} {
		if _, err := ParseTaskSet(text); err == nil {
			t.Errorf("%q is accepted", text)
		}
	}
}

// This version decodes values that earlier versions wrote and that it doesn't write itself: records
// without the fields that were added later, and placements in any order. It rejects malformed
// placements and markers.
func TestGoldenRecordsOfOtherForms(t *testing.T) {
	type stored struct {
		Spec   map[string]any `msgpack:"spec"`
		Placed []string       `msgpack:"placed"`
	}
	spec := map[string]any{"Uid": "job-1", "Shape": "batch", "Legs": 5}
	for _, c := range []struct {
		placed []string
		want   Record
	}{
		{nil, Record{}},
		{[]string{"m-2 1 3 1", "m-1 1 2 0,4-9"}, Record{Placements: map[int]Placement{
			0: {Task: 0, Attempt: 2, Machine: "m-1", Incarnation: 1},
			1: {Task: 1, Attempt: 3, Machine: "m-2", Incarnation: 1},
			4: {Task: 4, Attempt: 2, Machine: "m-1", Incarnation: 1},
		}}},
		{[]string{"cell beta 7 2 1"}, Record{Placements: map[int]Placement{
			1: {Task: 1, Attempt: 2, Machine: "cell beta", Incarnation: 7},
		}}},
		{[]string{"service"}, Record{FormatMarked: true}},
		{[]string{"parts 3"}, Record{FormatMarked: true, ShardSize: 3}},
		{[]string{"guest beta 7"}, Record{Hosted: &HostedJob{OriginCell: "beta", Delegation: 7}}},
		{
			[]string{"guest beta 7 closed", "service"},
			Record{Hosted: &HostedJob{OriginCell: "beta", Delegation: 7, Closed: true}, FormatMarked: true},
		},
	} {
		c.want.Spec = smallSpec(protocol.ShapeArray, 5)
		if c.want.Placements == nil {
			c.want.Placements = map[int]Placement{}
		}
		got, err := Decode(protocol.Encode(stored{spec, c.placed}))
		if err != nil {
			t.Errorf("%v: %v", c.placed, err)
			continue
		}
		if d := cmp.Diff(&c.want, got, cmp.AllowUnexported(TaskSet{}, span{})); d != "" {
			t.Errorf("%v: %s", c.placed, d)
		}
	}
	for _, placed := range []string{"m-1 1 2", "parts 0", "parts 100001", "parts x", "guest beta",
		"guest beta x", "guest beta 7 open", "", "m-1 1 2 3 4", "services"} {
		if job, err := Decode(protocol.Encode(stored{spec, []string{placed}})); err == nil {
			t.Errorf("%q is decoded as %+v", placed, job)
		}
	}
}

// The status that users receive has the expected fields for each state of a job.
func TestGoldenUserStatus(t *testing.T) {
	for _, c := range []struct {
		job  Record
		want protocol.JobStatus
	}{
		{Record{Spec: smallSpec(protocol.ShapeArray, 3)}, protocol.JobStatus{ID: "job-1", Status: "pending"}},
		{
			Record{
				Spec:       smallSpec(protocol.ShapeArray, 3),
				Done:       goldenRanges(span{0, 0}),
				Placements: map[int]Placement{1: {Task: 1, Attempt: 1, Machine: "m-1", Incarnation: 1}},
				Cause:      "error on m-1",
			},
			protocol.JobStatus{ID: "job-1", Status: "running", Done: 1, Running: 1, Cause: "error on m-1"},
		},
		{
			Record{
				Spec:       smallSpec(protocol.ShapeArray, 3),
				Status:     protocol.StatusCancelled,
				Placements: map[int]Placement{1: {Task: 1, Attempt: 1, Machine: "m-1", Incarnation: 1}},
			},
			protocol.JobStatus{ID: "job-1", Status: "aborted"},
		},
		{
			Record{Spec: smallSpec(protocol.ShapeArray, 3), Status: protocol.StatusDone, ShardSize: 2},
			protocol.JobStatus{ID: "job-1", Status: "done", Done: 3},
		},
	} {
		if d := cmp.Diff(c.want, c.job.UserStatus()); d != "" {
			t.Error(d)
		}
	}
}
