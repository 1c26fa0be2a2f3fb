package delegation

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"postpoint/internal/clock"
	"postpoint/internal/ledger"
	"postpoint/internal/planner"
	"postpoint/internal/protocol"
	"postpoint/internal/rapidtest"
)

// TestMain fixes what rapid draws: the verdict is the same every time.
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

var drawReport = rapid.Custom(func(t *rapid.T) Report {
	text, number := rapid.StringN(0, 10, 20), rapid.Int64Range(0, 1<<40)
	amounts := rapid.Custom(func(t *rapid.T) planner.Amounts {
		x := rapid.Float64Range(-1e6, 1e6)
		return planner.Amounts{Cpus: x.Draw(t, "cpus"), Gpus: x.Draw(t, "gpus"), MemoryGB: x.Draw(t, "memory")}
	})
	r := Report{Host: text.Draw(t, "host"), Home: text.Draw(t, "home"), Epoch: number.Draw(t, "epoch"), Counter: number.Draw(t, "counter"),
		Clear: clock.Micros(number.Draw(t, "clear")), Load: Load{Room: amounts.Draw(t, "room"), Short: clock.Micros(number.Draw(t, "short")), MaxTasks: 7}}
	for range rapid.IntRange(0, 3).Draw(t, "types") {
		r.Load.Types = append(r.Load.Types, TypeLoad{Type: protocol.MachineType{Name: text.Draw(t, "type"), Cpus: 8, BootS: 30, FetchGBPerS: 0.5,
			Zones: []string{text.Draw(t, "zone")}}, Free: amounts.Draw(t, "free"), Refused: rapid.Bool().Draw(t, "refused")})
	}
	for range rapid.IntRange(0, MaxReported).Draw(t, "statuses") {
		r.Tasks = append(r.Tasks, Status{Number: number.Draw(t, "number"), Job: text.Draw(t, "job"), Closed: rapid.Bool().Draw(t, "closed"),
			Done: drawRanges.Draw(t, "done"), Held: drawRanges.Draw(t, "held"), Running: 3, Waiting: 4, Reason: text.Draw(t, "reason")})
	}
	return r
})

var unexported = cmp.AllowUnexported(ledger.Ranges{})

func equal(a, b any) bool {
	return cmp.Equal(a, b, cmp.Comparer(func(x, y ledger.Ranges) bool { return x.String() == y.String() }))
}

// What is sent is what is read; anything cut short or garbled is refused, not misread at length.
func TestMessagesSurviveTheirForm(t *testing.T) {
	spec := protocol.JobSpec{ID: "job-1", Class: "c", Team: "t", Shape: "batch", Rank: "normal", Tasks: 9, Cpus: 2, MemoryGB: 1, Image: "i", ImageGB: 1}
	rapid.Check(t, func(t *rapid.T) {
		r := drawReport.Draw(t, "report")
		raw := r.Encode()
		if got, err := DecodeReport(raw); err != nil || !equal(r, got) {
			t.Fatalf("%v: %s", err, cmp.Diff(r, got, unexported))
		}
		a := Answer{Result: Taken, Leader: "10.0.0.1:1", Rulings: []Ruling{{7, Close, clock.Second}},
			Offers: []Offer{{Number: 8, Spec: spec, Tasks: drawRanges.Draw(t, "offered"), Age: clock.Second}}}
		answer := a.Encode()
		if got, err := DecodeAnswer(answer); err != nil || !equal(a, got) {
			t.Fatalf("%v: %s", err, cmp.Diff(a, got, unexported))
		}
		cut := rapid.IntRange(0, len(raw)-1).Draw(t, "cut")
		if _, err := DecodeReport(raw[:cut]); err == nil {
			t.Fatalf("%d of %d bytes are taken for a report", cut, len(raw))
		}
		if _, err := DecodeReport(append(raw, 0)); err == nil {
			t.Fatal("a report with more behind it is taken")
		}
		garbled := append([]byte{}, answer...)
		garbled[rapid.IntRange(0, len(answer)-1).Draw(t, "at")] ^= rapid.Byte().Draw(t, "bits")
		_, _ = DecodeAnswer(garbled) // whatever comes of it, it doesn't panic
		_, _ = DecodeReport(rapid.SliceOf(rapid.Byte()).Draw(t, "garbage"))
	})
	if _, err := DecodeReport([]byte{Version + 1}); err != VersionError(Version+1) {
		t.Errorf("another version: %v", err)
	}
}

// plain is a slow, plain model of one delegation of three tasks: the truth that neither side
// knows. Messages are late, repeated, out of order and lost; both leaders may be replaced at
// any time; what a host is not permitted any more stays on its machines for as long as it may.
type plain struct {
	now clock.Micros // for both, apart from drift, which the margins cover

	home   *Delegation
	freed  map[int]bool // by home's record: home may start it
	wanted Verdict      // Cancel once the job is cancelled
	toldAt clock.Micros // when its user was told so

	accepted bool
	closed   bool
	done     map[int]bool // by the host's record
	onHost   map[int]bool // on its machines
	// lastUntil is the end of the latest permission of any leader of the host.
	lastUntil clock.Micros
	permit    *Permit

	reports []sentReport
	answers []sentAnswer
}

type sentReport struct {
	status Status
	sentAt clock.Micros
}

type sentAnswer struct {
	ruling Ruling
	sentAt clock.Micros
}

const (
	modelCancel = 30 * clock.Second
	modelClear  = 20 * clock.Second // E
	modelPermit = modelCancel - modelClear - clock.Second
)

func newPlain() *plain {
	p := &plain{now: 100 * clock.Second, freed: map[int]bool{}, done: map[int]bool{}, onHost: map[int]bool{}}
	p.home = New(Record{Number: 1, Host: "beta", Job: "job-1", Tasks: ranges(0, 1, 2), State: Offered})
	p.home.Offerable = true
	return p
}

// pass lets time go by; what may no longer be on the host's machines goes.
func (p *plain) pass(d clock.Micros) {
	p.now += d
	if p.permit != nil {
		p.permit.Check(p.now)
	}
	if p.now >= p.lastUntil+modelClear {
		clear(p.onHost)
	}
}

func (p *plain) status() Status {
	s := Status{Number: 1, Job: "job-1", Closed: p.closed}
	for task := range 3 {
		if p.done[task] {
			s.Done.Add(task)
		}
		if p.onHost[task] && !p.done[task] {
			s.Held.Add(task)
		}
	}
	return s
}

// hear is home's part of an exchange.
func (p *plain) hear(r sentReport, lag clock.Micros) {
	if p.home.Over() {
		p.answers = append(p.answers, sentAnswer{Ruling{1, Forget, 0}, r.sentAt})
		return
	}
	p.take(p.home.Hear(r.status, p.now))
	if p.wanted == Cancel {
		p.answers = append(p.answers, sentAnswer{Ruling{1, Cancel, 0}, r.sentAt})
		return
	}
	known := p.now - lag
	if length := known + modelPermit - p.now; length > 0 && !p.home.Over() {
		p.home.Permit(known, modelCancel)
		p.answers = append(p.answers, sentAnswer{Ruling{1, p.home.Verdict(false), length}, r.sentAt})
	}
}

func (p *plain) take(f Freed) {
	for _, task := range f.Unfinished {
		p.freed[task] = true
	}
}

// step lets one thing happen.
func (p *plain) step(t *rapid.T) {
	switch rapid.IntRange(0, 13).Draw(t, "step") {
	case 0, 1:
		longest := rapid.SampledFrom([]clock.Micros{clock.Second, 4 * clock.Second, 40 * clock.Second}).Draw(t, "longest")
		p.pass(clock.Micros(rapid.Int64Range(0, int64(longest)).Draw(t, "time")))
	case 2:
		if !p.accepted && !p.home.Over() {
			p.accepted, p.permit = true, Patient(p.now+4*clock.Second)
		}
	case 3:
		if p.accepted {
			p.reports = append(p.reports, sentReport{p.status(), p.now})
		}
	case 4, 5:
		if len(p.reports) > 0 { // any of them, as often as it likes
			lag := clock.Micros(rapid.Int64Range(0, int64(3*clock.Second)).Draw(t, "lag"))
			p.hear(p.reports[rapid.IntRange(0, len(p.reports)-1).Draw(t, "which")], lag)
		}
	case 6, 7:
		if len(p.answers) > 0 && p.permit != nil {
			a := p.answers[rapid.IntRange(0, len(p.answers)-1).Draw(t, "which")]
			p.permit.Take(a.ruling, a.sentAt, p.now)
			if p.permit.MayKeep(p.now) {
				p.lastUntil = max(p.lastUntil, p.permit.Until())
			}
		}
	case 8, 9:
		task := rapid.IntRange(0, 2).Draw(t, "task")
		if p.accepted && !p.closed && p.permit.MayStart(p.now) && !p.done[task] {
			p.onHost[task] = true
		}
	case 10:
		task := rapid.IntRange(0, 2).Draw(t, "task")
		if p.onHost[task] {
			delete(p.onHost, task)
			p.done[task] = p.done[task] || rapid.Bool().Draw(t, "completes")
		}
	case 11:
		if p.accepted && (p.permit.Closing || rapid.Bool().Draw(t, "gives back")) {
			p.closed = true
		}
	case 12: // either leader is replaced
		if p.accepted && rapid.Bool().Draw(t, "host's") {
			p.permit = Patient(p.now + 4*clock.Second)
			return
		}
		left := p.home.Left
		r := p.home.Record
		p.home = Resumed(r, p.now, modelCancel)
		p.home.Left = left
	case 13:
		switch rapid.IntRange(0, 2).Draw(t, "home") {
		case 0:
			p.home.Recall()
		case 1:
			if p.home.Clear(p.now) && !p.home.Over() {
				p.take(p.home.Expire())
			}
		case 2:
			if p.wanted != Cancel {
				p.wanted, p.toldAt = Cancel, p.now
			}
		}
	}
}

// Whatever is lost, late, repeated or replaced: no task is on the host's machines once home
// has it back, and none is there longer than cancel_s after its user was told.
func TestDelegationsAgreeWithThePlainModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPlain()
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			p.step(t)
			for task := range 3 {
				if p.freed[task] && p.onHost[task] && !p.done[task] {
					t.Fatalf("task %d is home's again and on the host's machines", task)
				}
				if p.toldAt != 0 && p.now > p.toldAt+modelCancel && p.onHost[task] {
					t.Fatalf("task %d is there %.1f s after its cancellation", task, (p.now - p.toldAt).Seconds())
				}
			}
		}
	})
}
