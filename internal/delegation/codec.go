package delegation

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"

	"postpoint/internal/clock"
	"postpoint/internal/ledger"
	"postpoint/internal/planner"
	"postpoint/internal/protocol"
)

// Version is that of the messages' form, the first byte of each.
const Version = 1

// ErrMalformed is a message that makes no sense.
var ErrMalformed = errors.New("a malformed message between cells")

// VersionError is a message of another version.
type VersionError byte

func (e VersionError) Error() string {
	return fmt.Sprintf("version %d of the messages between cells, this is version %d", byte(e), Version)
}

// Encode gives the binary form, big endian: texts follow their length (2), lists their count
// (2), amounts are floating-point numbers (8 each), times and counts whole numbers (8).
func (r *Report) Encode() []byte {
	w := writer{Version}
	w.text(r.Host)
	w.text(r.Home)
	w.number(r.Epoch)
	w.number(r.Counter)
	w.number(int64(r.Clear))
	w.load(&r.Load)
	w.count(len(r.Tasks))
	for i := range r.Tasks {
		s := &r.Tasks[i]
		w.number(s.Number)
		w.text(s.Job)
		w.flag(s.Closed)
		w.text(s.Done.String())
		w.text(s.Held.String())
		w.number(int64(s.Running))
		w.number(int64(s.Waiting))
		w.text(s.Reason[:min(len(s.Reason), maxReason)])
	}
	return w
}

// DecodeReport reads the binary form.
func DecodeReport(raw []byte) (Report, error) {
	r := reader{rest: raw}
	r.version()
	report := Report{Host: r.text(maxNameText), Home: r.text(maxNameText), Epoch: r.number(), Counter: r.number(),
		Clear: clock.Micros(r.number()), Load: r.load()}
	for range r.count(MaxReported) {
		report.Tasks = append(report.Tasks, Status{Number: r.number(), Job: r.text(protocol.MaxText), Closed: r.flag(),
			Done: r.ranges(), Held: r.ranges(), Running: r.small(), Waiting: r.small(), Reason: r.text(maxReason)})
	}
	return report, r.end()
}

// Encode gives the binary form.
func (a *Answer) Encode() []byte {
	w := writer{Version, byte(a.Result)}
	w.text(a.Leader)
	w.count(len(a.Rulings))
	for _, x := range a.Rulings {
		w.number(x.Number)
		w = append(w, byte(x.Verdict))
		w.number(int64(x.For))
	}
	w.count(len(a.Offers))
	for i := range a.Offers {
		o := &a.Offers[i]
		w.number(o.Number)
		w.text(string(protocol.Encode(o.Spec)))
		w.text(o.Tasks.String())
		w.number(int64(o.Age))
	}
	return w
}

// DecodeAnswer reads the binary form. Jobs that are offered are checked like submissions.
func DecodeAnswer(raw []byte) (Answer, error) {
	r := reader{rest: raw}
	r.version()
	a := Answer{Result: Result(r.byte()), Leader: r.text(maxNameText)}
	for range r.count(MaxReported) {
		a.Rulings = append(a.Rulings, Ruling{r.number(), Verdict(r.byte()), clock.Micros(r.number())})
	}
	for range r.count(MaxPerHost) {
		o := Offer{Number: r.number()}
		spec, err := protocol.DecodeSubmission([]byte(r.text(protocol.MaxBody)))
		if r.err == nil {
			r.err = err
		}
		o.Spec, o.Tasks, o.Age = spec, r.ranges(), clock.Micros(r.number())
		a.Offers = append(a.Offers, o)
	}
	if a.Result < Taken || a.Result > NotLeader {
		r.fail()
	}
	for _, x := range a.Rulings {
		if x.Verdict < Continue || x.Verdict > Forget || x.For < 0 {
			r.fail()
		}
	}
	return a, r.end()
}

const maxNameText = 64

type writer []byte

func (w *writer) number(n int64) { *w = binary.BigEndian.AppendUint64(*w, uint64(n)) }

func (w *writer) amount(x float64) { w.number(int64(math.Float64bits(x))) }

func (w *writer) count(n int) { *w = binary.BigEndian.AppendUint16(*w, uint16(n)) }

func (w *writer) text(s string) {
	w.count(len(s))
	*w = append(*w, s...)
}

func (w *writer) flag(yes bool) {
	if yes {
		*w = append(*w, 1)
		return
	}
	*w = append(*w, 0)
}

func (w *writer) amounts(a planner.Amounts) {
	w.amount(a.Cpus)
	w.amount(a.Gpus)
	w.amount(a.MemoryGB)
}

func (w *writer) load(l *Load) {
	w.amounts(l.Room)
	w.number(int64(l.Short))
	w.number(int64(l.MaxTasks))
	types := l.Types[:min(len(l.Types), maxTypes)]
	w.count(len(types))
	for _, t := range types {
		w.text(t.Type.Name)
		w.amounts(planner.Amounts{Cpus: t.Type.Cpus, Gpus: t.Type.Gpus, MemoryGB: t.Type.MemoryGB})
		w.amount(t.Type.FetchGBPerS)
		w.amount(t.Type.BootS)
		zones := t.Type.Zones[:min(len(t.Type.Zones), maxZones)]
		w.count(len(zones))
		for _, zone := range zones {
			w.text(zone)
		}
		w.amounts(t.Free)
		w.flag(t.Refused)
	}
}

// reader reads a message; what comes after the first error is zero.
type reader struct {
	rest []byte
	err  error
}

func (r *reader) fail() {
	if r.err == nil {
		r.err = ErrMalformed
	}
	r.rest = nil
}

func (r *reader) take(n int) []byte {
	if n > len(r.rest) {
		r.fail()
		return make([]byte, min(n, 8))
	}
	taken := r.rest[:n]
	r.rest = r.rest[n:]
	return taken
}

func (r *reader) byte() byte { return r.take(1)[0] }

func (r *reader) flag() bool { return r.byte() == 1 }

func (r *reader) version() {
	if v := r.byte(); r.err == nil && v != Version {
		r.err, r.rest = VersionError(v), nil
	}
}

// number is never negative.
func (r *reader) number() int64 {
	n := int64(binary.BigEndian.Uint64(r.take(8)))
	if n < 0 {
		r.fail()
		return 0
	}
	return n
}

// small is a number that fits an int anywhere.
func (r *reader) small() int { return int(min(r.number(), math.MaxInt32)) }

func (r *reader) amount() float64 {
	x := math.Float64frombits(binary.BigEndian.Uint64(r.take(8)))
	if !(math.Abs(x) < maxAmount) { // NaN fails too
		r.fail()
		return 0
	}
	return x
}

const maxAmount = 1e9

func (r *reader) count(most int) int {
	n := int(binary.BigEndian.Uint16(r.take(2)))
	if n > most {
		r.fail()
		return 0
	}
	return n
}

func (r *reader) text(most int) string { return string(r.take(r.count(most))) }

func (r *reader) ranges() ledger.Ranges {
	tasks, err := ledger.ParseRanges(r.text(protocol.MaxBody))
	if err != nil {
		r.fail()
	}
	return tasks
}

func (r *reader) amounts() planner.Amounts {
	return planner.Amounts{Cpus: r.amount(), Gpus: r.amount(), MemoryGB: r.amount()}
}

func (r *reader) load() Load {
	l := Load{Room: r.amounts(), Short: clock.Micros(r.number()), MaxTasks: r.small()}
	for range r.count(maxTypes) {
		t := TypeLoad{Type: protocol.MachineType{Name: r.text(protocol.MaxText)}}
		whole := r.amounts()
		t.Type.Cpus, t.Type.Gpus, t.Type.MemoryGB = whole.Cpus, whole.Gpus, whole.MemoryGB
		t.Type.FetchGBPerS, t.Type.BootS = r.amount(), r.amount()
		for range r.count(maxZones) {
			t.Type.Zones = append(t.Type.Zones, r.text(protocol.MaxText))
		}
		t.Free, t.Refused = r.amounts(), r.flag()
		l.Types = append(l.Types, t)
	}
	return l
}

// end tells what was wrong, if anything.
func (r *reader) end() error {
	if r.err == nil && len(r.rest) > 0 {
		r.fail()
	}
	return r.err
}
