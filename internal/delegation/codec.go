package delegation

import (
	"postpoint/internal/clock"
	"postpoint/internal/planner"
	"postpoint/internal/protocol"
)

// Version is the version of the binary form. It is the first byte of each message.
const Version = 1

// The binary form is big-endian. A text is its length (2 bytes) and its bytes; a list is its count (2 bytes)
// and its elements. Amounts are floating-point numbers (8 bytes). Times and numbers are integers (8 bytes).
// Flags, actions and results have 1 byte.

// Encode returns the binary form of the heartbeat. It cuts reasons, machine types and zones beyond their
// bounds.
func (h *Heartbeat) Encode() []byte {
	w := writer{Version}
	w.text(h.Host)
	w.text(h.Origin)
	w.number(int64(h.Epoch))
	w.number(h.Sequence)
	w.number(int64(h.MaxTerminationTime))
	w.load(&h.Load)
	w.count(len(h.Statuses))
	for i := range h.Statuses {
		w.status(&h.Statuses[i])
	}
	return w
}

// status appends the status of a delegation.
func (w *writer) status(s *Status) {
	w.number(s.Number)
	w.text(string(s.Job))
	w.flag(s.Closed)
	w.text(s.Done.String())
	w.text(s.Held.String())
	w.number(int64(s.Running))
	w.number(int64(s.Pending))
	w.text(s.Reason[:min(len(s.Reason), maxReasonBytes)])
}

// load appends the load of a host.
func (w *writer) load(l *Load) {
	w.resources(l.QuotaLeft)
	w.number(int64(l.OwnWait))
	w.number(int64(l.MaxTasks))
	types := l.Types[:min(len(l.Types), maxTypes)]
	w.count(len(types))
	for i := range types {
		w.typeLoad(&types[i])
	}
}

// typeLoad appends the load of a machine type.
func (w *writer) typeLoad(t *TypeLoad) {
	w.text(t.Type.Name)
	w.resources(planner.Resources{Cpus: t.Type.Cpus, Gpus: t.Type.Gpus, MemoryGB: t.Type.MemoryGB})
	w.amount(t.Type.FetchGBPerS)
	w.amount(t.Type.BootS)
	zones := t.Type.Zones[:min(len(t.Type.Zones), maxZones)]
	w.count(len(zones))
	for _, zone := range zones {
		w.text(zone)
	}
	w.resources(t.Free)
	w.flag(t.OutOfCapacity)
}

// DecodeHeartbeat decodes the binary form of a heartbeat. Errors are a *MalformedError or a VersionError.
func DecodeHeartbeat(raw []byte) (Heartbeat, error) {
	r := newReader(raw)
	r.version()
	var heartbeat Heartbeat
	heartbeat.Host = r.text(maxNameBytes)
	heartbeat.Origin = r.text(maxNameBytes)
	heartbeat.Epoch = protocol.Epoch(r.number())
	heartbeat.Sequence = r.number()
	heartbeat.MaxTerminationTime = clock.Micros(r.number())
	heartbeat.Load = r.load()
	for range r.count(MaxStatuses) {
		heartbeat.Statuses = append(heartbeat.Statuses, r.status())
	}
	if err := r.end(); err != nil {
		return Heartbeat{}, err
	}
	return heartbeat, nil
}

// status reads the status of a delegation.
func (r *reader) status() Status {
	var s Status
	s.Number = r.number()
	s.Job = protocol.JobID(r.text(protocol.MaxTextBytes))
	s.Closed = r.flag()
	s.Done = r.taskSet()
	s.Held = r.taskSet()
	s.Running = r.cappedInt()
	s.Pending = r.cappedInt()
	s.Reason = r.text(maxReasonBytes)
	return s
}

// load reads the load of a host.
func (r *reader) load() Load {
	var l Load
	l.QuotaLeft = r.resources()
	l.OwnWait = clock.Micros(r.number())
	l.MaxTasks = r.cappedInt()
	for range r.count(maxTypes) {
		l.Types = append(l.Types, r.typeLoad())
	}
	return l
}

// typeLoad reads the load of a machine type.
func (r *reader) typeLoad() TypeLoad {
	var t TypeLoad
	t.Type.Name = r.text(protocol.MaxTextBytes)
	resources := r.resources()
	t.Type.Cpus, t.Type.Gpus, t.Type.MemoryGB = resources.Cpus, resources.Gpus, resources.MemoryGB
	t.Type.FetchGBPerS = r.amount()
	t.Type.BootS = r.amount()
	for range r.count(maxZones) {
		t.Type.Zones = append(t.Type.Zones, r.text(protocol.MaxTextBytes))
	}
	t.Free = r.resources()
	t.OutOfCapacity = r.flag()
	return t
}

// Encode returns the binary form of the response.
func (r *HeartbeatResponse) Encode() []byte {
	w := writer{Version, byte(r.Result)}
	w.text(r.Leader)
	w.count(len(r.Directives))
	for i := range r.Directives {
		w.directive(&r.Directives[i])
	}
	w.count(len(r.Offers))
	for i := range r.Offers {
		w.offer(&r.Offers[i])
	}
	return w
}

// directive appends a directive.
func (w *writer) directive(d *Directive) {
	w.number(d.Number)
	w.byte(byte(d.Action))
	w.number(int64(d.PermissionFor))
}

// offer appends an offer.
func (w *writer) offer(o *Offer) {
	w.number(o.Number)
	w.text(string(protocol.Encode(o.Spec)))
	w.text(o.Tasks.String())
	w.number(int64(o.JobAge))
}

// DecodeHeartbeatResponse decodes the binary form of a response. It validates offered jobs like submissions.
// Errors are a *MalformedError, an *OfferError or a VersionError.
func DecodeHeartbeatResponse(raw []byte) (HeartbeatResponse, error) {
	r := newReader(raw)
	r.version()
	var response HeartbeatResponse
	response.Result = r.result()
	response.Leader = r.text(maxNameBytes)
	for range r.count(MaxStatuses) {
		response.Directives = append(response.Directives, r.directive())
	}
	for range r.count(MaxPerHost) {
		response.Offers = append(response.Offers, r.offer())
	}
	if err := r.end(); err != nil {
		return HeartbeatResponse{}, err
	}
	return response, nil
}

// result reads a result and fails if this version doesn't know it.
func (r *reader) result() Result {
	result := Result(r.byte())
	if !result.valid() {
		r.fail("there is no such result")
	}
	return result
}

// directive reads a directive and fails if this version doesn't know its action.
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

// offer reads an offer and fails if its job would be invalid as a submission.
func (r *reader) offer() Offer {
	var o Offer
	o.Number = r.number()
	spec, err := protocol.DecodeSubmission([]byte(r.text(protocol.MaxBodyBytes)))
	if err != nil {
		r.failWith(&OfferError{Number: o.Number, Err: err})
	}
	o.Spec = spec
	o.Tasks = r.taskSet()
	o.JobAge = clock.Micros(r.number())
	return o
}
