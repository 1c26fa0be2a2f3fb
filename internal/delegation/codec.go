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
func (r *Heartbeat) Encode() []byte {
	w := writer{Version}
	w.text(r.Host)
	w.text(r.Origin)
	w.number(int64(r.Epoch))
	w.number(r.Sequence)
	w.number(int64(r.ClearTime))
	w.load(&r.Load)
	w.count(len(r.Statuses))
	for i := range r.Statuses {
		w.status(&r.Statuses[i])
	}
	return w
}

func (w *writer) status(s *Status) {
	w.number(s.Number)
	w.text(string(s.Job))
	w.flag(s.Closed)
	w.text(s.Done.String())
	w.text(s.Held.String())
	w.number(int64(s.Running))
	w.number(int64(s.Waiting))
	w.text(s.Reason[:min(len(s.Reason), maxReason)])
}

func (w *writer) load(l *Load) {
	w.amounts(l.QuotaLeft)
	w.number(int64(l.OwnWait))
	w.number(int64(l.MaxTasks))
	types := l.Types[:min(len(l.Types), maxTypes)]
	w.count(len(types))
	for i := range types {
		w.typeLoad(&types[i])
	}
}

func (w *writer) typeLoad(t *TypeLoad) {
	w.text(t.Type.Name)
	w.amounts(planner.Resources{Cpus: t.Type.Cpus, Gpus: t.Type.Gpus, MemoryGB: t.Type.MemoryGB})
	w.amount(t.Type.FetchGBPerS)
	w.amount(t.Type.BootS)
	zones := t.Type.Zones[:min(len(t.Type.Zones), maxZones)]
	w.count(len(zones))
	for _, zone := range zones {
		w.text(zone)
	}
	w.amounts(t.Free)
	w.flag(t.SoldOut)
}

// DecodeHeartbeat reads the binary form. Errors are a *MalformedError or a VersionError.
func DecodeHeartbeat(raw []byte) (Heartbeat, error) {
	r := newReader(raw)
	r.version()
	var report Heartbeat
	report.Host = r.text(maxNameText)
	report.Origin = r.text(maxNameText)
	report.Epoch = protocol.Epoch(r.number())
	report.Sequence = r.number()
	report.ClearTime = clock.Micros(r.number())
	report.Load = r.load()
	for range r.count(MaxStatuses) {
		report.Statuses = append(report.Statuses, r.status())
	}
	if err := r.end(); err != nil {
		return Heartbeat{}, err
	}
	return report, nil
}

func (r *reader) status() Status {
	var s Status
	s.Number = r.number()
	s.Job = protocol.JobID(r.text(protocol.MaxTextBytes))
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
	l.QuotaLeft = r.amounts()
	l.OwnWait = clock.Micros(r.number())
	l.MaxTasks = r.small()
	for range r.count(maxTypes) {
		l.Types = append(l.Types, r.typeLoad())
	}
	return l
}

func (r *reader) typeLoad() TypeLoad {
	var t TypeLoad
	t.Type.Name = r.text(protocol.MaxTextBytes)
	whole := r.amounts()
	t.Type.Cpus, t.Type.Gpus, t.Type.MemoryGB = whole.Cpus, whole.Gpus, whole.MemoryGB
	t.Type.FetchGBPerS = r.amount()
	t.Type.BootS = r.amount()
	for range r.count(maxZones) {
		t.Type.Zones = append(t.Type.Zones, r.text(protocol.MaxTextBytes))
	}
	t.Free = r.amounts()
	t.SoldOut = r.flag()
	return t
}

// Encode returns the binary form.
func (a *HeartbeatResponse) Encode() []byte {
	w := writer{Version, byte(a.Result)}
	w.text(a.Leader)
	w.count(len(a.Directives))
	for i := range a.Directives {
		w.directive(&a.Directives[i])
	}
	w.count(len(a.Offers))
	for i := range a.Offers {
		w.offer(&a.Offers[i])
	}
	return w
}

func (w *writer) directive(d *Directive) {
	w.number(d.Number)
	w.byte(byte(d.Action))
	w.number(int64(d.PermissionFor))
}

func (w *writer) offer(o *Offer) {
	w.number(o.Number)
	w.text(string(protocol.Encode(o.Spec)))
	w.text(o.Tasks.String())
	w.number(int64(o.JobAge))
}

// DecodeHeartbeatResponse reads the binary form. Jobs that are offered are checked like submissions.
// Errors are a *MalformedError, an *OfferError or a VersionError.
func DecodeHeartbeatResponse(raw []byte) (HeartbeatResponse, error) {
	r := newReader(raw)
	r.version()
	var a HeartbeatResponse
	a.Result = r.result()
	a.Leader = r.text(maxNameText)
	for range r.count(MaxStatuses) {
		a.Directives = append(a.Directives, r.directive())
	}
	for range r.count(MaxPerHost) {
		a.Offers = append(a.Offers, r.offer())
	}
	if err := r.end(); err != nil {
		return HeartbeatResponse{}, err
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

func (r *reader) directive() Directive {
	var d Directive
	d.Number = r.number()
	d.Action = Action(r.byte())
	if !d.Action.valid() {
		r.fail("there is no such action")
	}
	d.PermissionFor = clock.Micros(r.number())
	return d
}

func (r *reader) offer() Offer {
	var o Offer
	o.Number = r.number()
	spec, err := protocol.DecodeSubmission([]byte(r.text(protocol.MaxBodyBytes)))
	if err != nil {
		r.failWith(&OfferError{Number: o.Number, Err: err})
	}
	o.Spec = spec
	o.Tasks = r.ranges()
	o.JobAge = clock.Micros(r.number())
	return o
}
