package delegation

import (
	"postpoint/internal/clock"
	"postpoint/internal/planner"
	"postpoint/internal/protocol"
)

// Version is that of the messages' form, the first byte of each.
const Version = 1

// The binary form is big endian: texts follow their length (2 bytes), lists their count (2), amounts
// are floating-point numbers (8 each), times and counts whole numbers (8), flags and kinds one byte.

// Encode returns the binary form.
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
		w.status(&r.Tasks[i])
	}
	return w
}

func (w *writer) status(s *Status) {
	w.number(s.Number)
	w.text(s.Job)
	w.flag(s.Closed)
	w.text(s.Done.String())
	w.text(s.Held.String())
	w.number(int64(s.Running))
	w.number(int64(s.Waiting))
	w.text(s.Reason[:min(len(s.Reason), maxReason)])
}

func (w *writer) load(l *Load) {
	w.amounts(l.Room)
	w.number(int64(l.Short))
	w.number(int64(l.MaxTasks))
	types := l.Types[:min(len(l.Types), maxTypes)]
	w.count(len(types))
	for i := range types {
		w.typeLoad(&types[i])
	}
}

func (w *writer) typeLoad(t *TypeLoad) {
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

// DecodeReport reads the binary form. Errors are a *MalformedError or a VersionError.
func DecodeReport(raw []byte) (Report, error) {
	r := newReader(raw)
	r.version()
	var report Report
	report.Host = r.text(maxNameText)
	report.Home = r.text(maxNameText)
	report.Epoch = r.number()
	report.Counter = r.number()
	report.Clear = clock.Micros(r.number())
	report.Load = r.load()
	for range r.count(MaxReported) {
		report.Tasks = append(report.Tasks, r.status())
	}
	if err := r.end(); err != nil {
		return Report{}, err
	}
	return report, nil
}

func (r *reader) status() Status {
	var s Status
	s.Number = r.number()
	s.Job = r.text(protocol.MaxText)
	s.Closed = r.flag()
	s.Done = r.ranges()
	s.Held = r.ranges()
	s.Running = r.small()
	s.Waiting = r.small()
	s.Reason = r.text(maxReason)
	return s
}

func (r *reader) load() Load {
	var l Load
	l.Room = r.amounts()
	l.Short = clock.Micros(r.number())
	l.MaxTasks = r.small()
	for range r.count(maxTypes) {
		l.Types = append(l.Types, r.typeLoad())
	}
	return l
}

func (r *reader) typeLoad() TypeLoad {
	var t TypeLoad
	t.Type.Name = r.text(protocol.MaxText)
	whole := r.amounts()
	t.Type.Cpus, t.Type.Gpus, t.Type.MemoryGB = whole.Cpus, whole.Gpus, whole.MemoryGB
	t.Type.FetchGBPerS = r.amount()
	t.Type.BootS = r.amount()
	for range r.count(maxZones) {
		t.Type.Zones = append(t.Type.Zones, r.text(protocol.MaxText))
	}
	t.Free = r.amounts()
	t.Refused = r.flag()
	return t
}

// Encode returns the binary form.
func (a *Answer) Encode() []byte {
	w := writer{Version, byte(a.Result)}
	w.text(a.Leader)
	w.count(len(a.Rulings))
	for i := range a.Rulings {
		w.ruling(&a.Rulings[i])
	}
	w.count(len(a.Offers))
	for i := range a.Offers {
		w.offer(&a.Offers[i])
	}
	return w
}

func (w *writer) ruling(r *Ruling) {
	w.number(r.Number)
	w.byte(byte(r.Verdict))
	w.number(int64(r.For))
}

func (w *writer) offer(o *Offer) {
	w.number(o.Number)
	w.text(string(protocol.Encode(o.Spec)))
	w.text(o.Tasks.String())
	w.number(int64(o.Age))
}

// DecodeAnswer reads the binary form. Jobs that are offered are checked like submissions.
// Errors are a *MalformedError, an *OfferError or a VersionError.
func DecodeAnswer(raw []byte) (Answer, error) {
	r := newReader(raw)
	r.version()
	var a Answer
	a.Result = r.result()
	a.Leader = r.text(maxNameText)
	for range r.count(MaxReported) {
		a.Rulings = append(a.Rulings, r.ruling())
	}
	for range r.count(MaxPerHost) {
		a.Offers = append(a.Offers, r.offer())
	}
	if err := r.end(); err != nil {
		return Answer{}, err
	}
	return a, nil
}

func (r *reader) result() Result {
	result := Result(r.byte())
	if !result.valid() {
		r.fail("there is no such result")
	}
	return result
}

func (r *reader) ruling() Ruling {
	var ruling Ruling
	ruling.Number = r.number()
	ruling.Verdict = Verdict(r.byte())
	if !ruling.Verdict.valid() {
		r.fail("there is no such action")
	}
	ruling.For = clock.Micros(r.number())
	return ruling
}

func (r *reader) offer() Offer {
	var o Offer
	o.Number = r.number()
	spec, err := protocol.DecodeSubmission([]byte(r.text(protocol.MaxBody)))
	if err != nil {
		r.failWith(&OfferError{Number: o.Number, Err: err})
	}
	o.Spec = spec
	o.Tasks = r.ranges()
	o.Age = clock.Micros(r.number())
	return o
}
