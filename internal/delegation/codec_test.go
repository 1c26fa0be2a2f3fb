package delegation

import (
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"postpoint/internal/clock"
	"postpoint/internal/jobrecord"
	"postpoint/internal/planner"
	"postpoint/internal/protocol"
	"postpoint/internal/rapidtest"
)

// TestMain fixes the seed and the number of checks of rapid, so that every run draws the same values.
func TestMain(m *testing.M) { rapidtest.Main(m, 1500) }

func taskSet(tasks ...int) jobrecord.TaskSet {
	var set jobrecord.TaskSet
	for _, task := range tasks {
		set.Add(task)
	}
	return set
}

var drawTaskSet = rapid.Custom(func(t *rapid.T) jobrecord.TaskSet {
	return taskSet(rapid.SliceOfN(rapid.IntRange(0, 40), 0, 12).Draw(t, "tasks")...)
})

var (
	drawText   = rapid.StringN(0, 10, 20)
	drawNumber = rapid.Int64Range(0, 1<<40)
	drawMicros = rapid.Map(drawNumber, func(n int64) clock.Micros { return clock.Micros(n) })
)

var drawResources = rapid.Custom(func(t *rapid.T) planner.Resources {
	amount := rapid.Float64Range(-1e6, 1e6)
	return planner.Resources{
		Cpus:     amount.Draw(t, "cpus"),
		Gpus:     amount.Draw(t, "gpus"),
		MemoryGB: amount.Draw(t, "memory"),
	}
})

var drawTypeLoad = rapid.Custom(func(t *rapid.T) TypeLoad {
	return TypeLoad{
		Type: protocol.MachineType{
			Name:        drawText.Draw(t, "type"),
			Cpus:        8,
			BootS:       30,
			FetchGBPerS: 0.5,
			Zones:       []string{drawText.Draw(t, "zone")},
		},
		Free:          drawResources.Draw(t, "free"),
		OutOfCapacity: rapid.Bool().Draw(t, "sold out"),
	}
})

var drawStatus = rapid.Custom(func(t *rapid.T) Status {
	return Status{
		Number:  drawNumber.Draw(t, "number"),
		Job:     protocol.JobID(drawText.Draw(t, "job")),
		Closed:  rapid.Bool().Draw(t, "closed"),
		Done:    drawTaskSet.Draw(t, "done"),
		Held:    drawTaskSet.Draw(t, "held"),
		Running: 3,
		Pending: 4,
		Reason:  drawText.Draw(t, "reason"),
	}
})

var drawHeartbeat = rapid.Custom(func(t *rapid.T) Heartbeat {
	heartbeat := Heartbeat{
		Host:               drawText.Draw(t, "host"),
		Origin:             drawText.Draw(t, "origin"),
		Epoch:              protocol.Epoch(drawNumber.Draw(t, "epoch")),
		Sequence:           drawNumber.Draw(t, "sequence"),
		MaxTerminationTime: drawMicros.Draw(t, "clear time"),
		Load: Load{
			QuotaLeft: drawResources.Draw(t, "quota left"),
			OwnWait:   drawMicros.Draw(t, "own wait"),
			MaxTasks:  7,
		},
	}
	for range rapid.IntRange(0, 3).Draw(t, "types") {
		heartbeat.Load.Types = append(heartbeat.Load.Types, drawTypeLoad.Draw(t, "load of a type"))
	}
	for range rapid.IntRange(0, MaxStatuses).Draw(t, "statuses") {
		heartbeat.Statuses = append(heartbeat.Statuses, drawStatus.Draw(t, "status"))
	}
	return heartbeat
})

var drawResponse = rapid.Custom(func(t *rapid.T) HeartbeatResponse {
	spec := protocol.JobSpec{
		ID:       "job-1",
		Class:    "c",
		Team:     "t",
		Shape:    "batch",
		Priority: "normal",
		Tasks:    9,
		Cpus:     2,
		MemoryGB: 1,
		Image:    "i",
		ImageGB:  1,
	}
	return HeartbeatResponse{
		Result:     Processed,
		Leader:     "10.0.0.1:1",
		Directives: []Directive{{Number: 7, Action: Close, PermissionFor: clock.Second}},
		Offers: []Offer{{Number: 8, Spec: spec, Tasks: drawTaskSet.Draw(t, "offered"),
			JobAge: clock.Second}},
	}
})

var unexported = cmp.AllowUnexported(jobrecord.TaskSet{})

// equal compares two values; task sets are equal if they contain the same tasks.
func equal(a, b any) bool {
	return cmp.Equal(a, b,
		cmp.Comparer(func(x, y jobrecord.TaskSet) bool { return x.String() == y.String() }))
}

// Decoding a message must give the values that were encoded.
func TestMessagesAreDecodedAsTheyWereEncoded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		heartbeat := drawHeartbeat.Draw(t, "heartbeat")
		if got, err := DecodeHeartbeat(heartbeat.Encode()); err != nil || !equal(heartbeat, got) {
			t.Fatalf("heartbeat: error %v, decoded value differs (-want +got):\n%s", err,
				cmp.Diff(heartbeat, got, unexported))
		}
		response := drawResponse.Draw(t, "response")
		if got, err := DecodeHeartbeatResponse(response.Encode()); err != nil || !equal(response, got) {
			t.Fatalf("response: error %v, decoded value differs (-want +got):\n%s", err,
				cmp.Diff(response, got, unexported))
		}
	})
}

// DecodeHeartbeat must reject truncated heartbeats and heartbeats with an extra byte.
func TestHeartbeatsOfAnotherLengthAreRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		heartbeat := drawHeartbeat.Draw(t, "heartbeat")
		raw := heartbeat.Encode()
		cut := rapid.IntRange(0, len(raw)-1).Draw(t, "cut")
		if _, err := DecodeHeartbeat(raw[:cut]); !errors.Is(err, ErrMalformed) {
			t.Fatalf("%d of %d bytes: error %v, want %v", cut, len(raw), err, ErrMalformed)
		}
		_, err := DecodeHeartbeat(append(raw, 0))
		var malformed *MalformedError
		if !errors.As(err, &malformed) || malformed.Offset != len(raw) {
			t.Fatalf("one extra byte: error %v, want a *MalformedError at byte %d", err, len(raw))
		}
	})
}

// A corrupt message may be rejected or decoded to something else, but it must not cause a panic.
func TestDecodingGarbageDoesNotPanic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		response := drawResponse.Draw(t, "response")
		corrupt := response.Encode()
		corrupt[rapid.IntRange(0, len(corrupt)-1).Draw(t, "at")] ^= rapid.Byte().Draw(t, "bits")
		_, _ = DecodeHeartbeatResponse(corrupt)
		_, _ = DecodeHeartbeat(rapid.SliceOf(rapid.Byte()).Draw(t, "garbage"))
	})
}

// DecodeHeartbeat must reject a heartbeat of another version with an error that names the version.
func TestHeartbeatsOfAnotherVersionAreRefused(t *testing.T) {
	_, err := DecodeHeartbeat([]byte{Version + 1})
	if want := VersionError(Version + 1); err != want {
		t.Errorf("error %v, want %v", err, want)
	}
}

// Decoding a response must reject an unknown result, an unknown action, and an offer of a job that would be
// invalid as a submission.
func TestInvalidResponsesAreRejected(t *testing.T) {
	for _, response := range []HeartbeatResponse{
		{},
		{Result: NotLeader + 1},
		{Result: Processed, Directives: []Directive{{Number: 7}}},
		{Result: Processed, Directives: []Directive{{Number: 7, Action: Forget + 1}}},
	} {
		if _, err := DecodeHeartbeatResponse(response.Encode()); !errors.Is(err, ErrMalformed) {
			t.Errorf("%+v: error %v, want %v", response, err, ErrMalformed)
		}
	}
	response := HeartbeatResponse{Result: Processed, Offers: []Offer{{Number: 8}}}
	var offer *OfferError
	if _, err := DecodeHeartbeatResponse(response.Encode()); !errors.As(err, &offer) || offer.Number != 8 {
		t.Errorf("offer without a job: error %v, want an *OfferError for number 8", err)
	}
}

// DecodeRecord must reject a record in an unknown state with an error that names its key.
func TestRecordOfUnknownStateIsRefused(t *testing.T) {
	record := Record{Number: 7, State: "lost"}
	var invalid *RecordError
	if _, err := DecodeRecord(Key(7), record.Encode()); !errors.As(err, &invalid) || invalid.Key != Key(7) {
		t.Errorf("error %v, want a *RecordError for %s", err, Key(7))
	}
}
