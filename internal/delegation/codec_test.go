package delegation

import (
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"postpoint/internal/clock"
	"postpoint/internal/ledger"
	"postpoint/internal/planner"
	"postpoint/internal/protocol"
	"postpoint/internal/rapidtest"
)

// TestMain fixes what rapid draws: the result is the same every time.
func TestMain(m *testing.M) { rapidtest.Main(m, 1500) }

func ranges(tasks ...int) ledger.Ranges {
	var r ledger.Ranges
	for _, task := range tasks {
		r.Add(task)
	}
	return r
}

var drawRanges = rapid.Custom(func(t *rapid.T) ledger.Ranges {
	return ranges(rapid.SliceOfN(rapid.IntRange(0, 40), 0, 12).Draw(t, "tasks")...)
})

var (
	drawText   = rapid.StringN(0, 10, 20)
	drawNumber = rapid.Int64Range(0, 1<<40)
	drawMicros = rapid.Map(drawNumber, func(n int64) clock.Micros { return clock.Micros(n) })
)

var drawAmounts = rapid.Custom(func(t *rapid.T) planner.Amounts {
	amount := rapid.Float64Range(-1e6, 1e6)
	return planner.Amounts{
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
		Free:    drawAmounts.Draw(t, "free"),
		Refused: rapid.Bool().Draw(t, "refused"),
	}
})

var drawStatus = rapid.Custom(func(t *rapid.T) Status {
	return Status{
		Number:  drawNumber.Draw(t, "number"),
		Job:     drawText.Draw(t, "job"),
		Closed:  rapid.Bool().Draw(t, "closed"),
		Done:    drawRanges.Draw(t, "done"),
		Held:    drawRanges.Draw(t, "held"),
		Running: 3,
		Waiting: 4,
		Reason:  drawText.Draw(t, "reason"),
	}
})

var drawHeartbeat = rapid.Custom(func(t *rapid.T) Report {
	r := Report{
		Host:    drawText.Draw(t, "host"),
		Home:    drawText.Draw(t, "home"),
		Epoch:   drawNumber.Draw(t, "epoch"),
		Counter: drawNumber.Draw(t, "counter"),
		Clear:   drawMicros.Draw(t, "clear"),
		Load: Load{
			Room:     drawAmounts.Draw(t, "room"),
			Short:    drawMicros.Draw(t, "short"),
			MaxTasks: 7,
		},
	}
	for range rapid.IntRange(0, 3).Draw(t, "types") {
		r.Load.Types = append(r.Load.Types, drawTypeLoad.Draw(t, "load of a type"))
	}
	for range rapid.IntRange(0, MaxReported).Draw(t, "statuses") {
		r.Tasks = append(r.Tasks, drawStatus.Draw(t, "status"))
	}
	return r
})

var drawResponse = rapid.Custom(func(t *rapid.T) Answer {
	spec := protocol.JobSpec{
		ID:       "job-1",
		Class:    "c",
		Team:     "t",
		Shape:    "batch",
		Rank:     "normal",
		Tasks:    9,
		Cpus:     2,
		MemoryGB: 1,
		Image:    "i",
		ImageGB:  1,
	}
	return Answer{
		Result:  Taken,
		Leader:  "10.0.0.1:1",
		Rulings: []Ruling{{Number: 7, Verdict: Close, For: clock.Second}},
		Offers:  []Offer{{Number: 8, Spec: spec, Tasks: drawRanges.Draw(t, "offered"), Age: clock.Second}},
	}
})

var unexported = cmp.AllowUnexported(ledger.Ranges{})

func equal(a, b any) bool {
	return cmp.Equal(a, b, cmp.Comparer(func(x, y ledger.Ranges) bool { return x.String() == y.String() }))
}

func TestMessagesAreDecodedAsTheyWereEncoded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		heartbeat := drawHeartbeat.Draw(t, "heartbeat")
		if got, err := DecodeReport(heartbeat.Encode()); err != nil || !equal(heartbeat, got) {
			t.Fatalf("heartbeat: error %v, decoded minus encoded: %s", err, cmp.Diff(heartbeat, got, unexported))
		}
		response := drawResponse.Draw(t, "response")
		if got, err := DecodeAnswer(response.Encode()); err != nil || !equal(response, got) {
			t.Fatalf("response: error %v, decoded minus encoded: %s", err, cmp.Diff(response, got, unexported))
		}
	})
}

func TestHeartbeatsOfAnotherLengthAreRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		heartbeat := drawHeartbeat.Draw(t, "heartbeat")
		raw := heartbeat.Encode()
		cut := rapid.IntRange(0, len(raw)-1).Draw(t, "cut")
		if _, err := DecodeReport(raw[:cut]); !errors.Is(err, ErrMalformed) {
			t.Fatalf("%d of %d bytes: error %v, want %v", cut, len(raw), err, ErrMalformed)
		}
		_, err := DecodeReport(append(raw, 0))
		var malformed *MalformedError
		if !errors.As(err, &malformed) || malformed.Offset != len(raw) {
			t.Fatalf("a byte too many: error %v, want a *MalformedError at byte %d", err, len(raw))
		}
	})
}

// Whatever becomes of garbled messages, decoding them doesn't panic.
func TestDecodingGarbageDoesNotPanic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		response := drawResponse.Draw(t, "response")
		garbled := response.Encode()
		garbled[rapid.IntRange(0, len(garbled)-1).Draw(t, "at")] ^= rapid.Byte().Draw(t, "bits")
		_, _ = DecodeAnswer(garbled)
		_, _ = DecodeReport(rapid.SliceOf(rapid.Byte()).Draw(t, "garbage"))
	})
}

func TestHeartbeatsOfAnotherVersionAreRefused(t *testing.T) {
	_, err := DecodeReport([]byte{Version + 1})
	if want := VersionError(Version + 1); err != want {
		t.Errorf("error %v, want %v", err, want)
	}
}

// An unknown result, an unknown action and a job that wouldn't be accepted as a submission are refused.
func TestResponsesThatMakeNoSenseAreRefused(t *testing.T) {
	for _, response := range []Answer{
		{},
		{Result: NotLeader + 1},
		{Result: Taken, Rulings: []Ruling{{Number: 7}}},
		{Result: Taken, Rulings: []Ruling{{Number: 7, Verdict: Forget + 1}}},
	} {
		if _, err := DecodeAnswer(response.Encode()); !errors.Is(err, ErrMalformed) {
			t.Errorf("%+v: error %v, want %v", response, err, ErrMalformed)
		}
	}
	response := Answer{Result: Taken, Offers: []Offer{{Number: 8}}}
	var offer *OfferError
	if _, err := DecodeAnswer(response.Encode()); !errors.As(err, &offer) || offer.Number != 8 {
		t.Errorf("offer without a job: error %v, want an *OfferError for number 8", err)
	}
}

func TestRecordOfUnknownStateIsRefused(t *testing.T) {
	record := Record{Number: 7, State: "lost"}
	var refused *RecordError
	if _, err := DecodeRecord(Key(7), record.Encode()); !errors.As(err, &refused) || refused.Key != Key(7) {
		t.Errorf("error %v, want a *RecordError for %s", err, Key(7))
	}
}
