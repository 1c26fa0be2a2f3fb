// Package federation runs work across cells. Origin delegates this cell's own jobs to other cells, Host
// runs the jobs that others have delegated to this one, and Links holds what both know of the other cells.
//
// A leader is the origin for the jobs of its own cell's users and the host for those of other cells. As
// host it sends heartbeats to the leaders of the origin cells, as workers send theirs to it; as origin it
// responds to them: docs/cells.md. Permissions and messages are those of package delegation, and which work
// goes to which cell is planned by a package of its own; neither has side effects.
package federation

import (
	"postpoint/internal/cells"
	"postpoint/internal/clock"
	"postpoint/internal/delegation"
	"postpoint/internal/leader/term"
	"postpoint/internal/protocol"
)

// Links owns what is known of the other cells. Its directory is nil if cells are switched off.
type Links struct {
	*term.State
	Directory *cells.Directory
	exchange  Exchanger

	ByCell map[string]*Link // by the cells' names
}

// NewLinks returns links that are switched off until they are connected.
func NewLinks(term *term.State) *Links { return &Links{State: term} }

// Connect switches cells on.
func (l *Links) Connect(directory *cells.Directory, exchange Exchanger) {
	l.Directory, l.exchange = directory, exchange
}

// Enabled reports whether cells are switched on and all of this cell's controllers support them.
func (l *Links) Enabled() bool { return l.Directory != nil && l.Format.Cells }

// Begin drops what was known in earlier terms.
func (l *Links) Begin() {
	l.ByCell = map[string]*Link{}
	if l.Directory == nil {
		return
	}
	for _, c := range l.Directory.Others() {
		l.ByCell[c.Name] = &Link{cell: c.Name}
	}
}

// drained reports whether a cell has to give back even running tasks: one of the two cells is draining, or
// the directory no longer lists it.
func (l *Links) drained(host string) bool {
	c := l.Directory.Cell(host)
	return c == nil || c.Draining || l.Directory.Own.Draining
}

// Link is what this leader knows of one other cell, which may be both a host of this cell's jobs and the
// origin of jobs that this cell runs.
type Link struct {
	cell string
	// outgoing are the heartbeats that this cell, as host, sends to the other one as origin.
	outgoing heartbeatStream
	// host is what the other cell, as host, has told in its heartbeats.
	host hostStatus
}

// heartbeatStream schedules the heartbeats to one origin cell.
type heartbeatStream struct {
	inFlight bool
	nextAt   clock.Micros
	// sequence counts the heartbeats of this term.
	sequence int64
	// failures counts those without a usable response since the last one that had one.
	failures int
	// leader is the address of the controller that responded last, or was named as the leader. Without one,
	// attempt chooses among the cell's controllers.
	leader      string
	attempt     int
	respondedAt clock.Micros
}

// hostStatus is the newest word of a host cell on itself.
type hostStatus struct {
	load   delegation.Load
	loadAt clock.Micros // 0 if it hasn't sent a heartbeat in this term
	// epoch and sequence are those of the newest heartbeat.
	epoch    protocol.Epoch
	sequence int64
}

// loadLifetime is how long a host cell's load counts.
const loadLifetime = 6 * clock.Second

// update notes a heartbeat unless a newer one has come before it.
func (s *hostStatus) update(r *delegation.Heartbeat, now clock.Micros) {
	if r.Epoch < s.epoch || r.Epoch == s.epoch && r.Sequence <= s.sequence {
		return
	}
	s.epoch, s.sequence = r.Epoch, r.Sequence
	s.load, s.loadAt = r.Load, now
}

// known reports whether the cell has sent a heartbeat in this term.
func (s *hostStatus) known() bool { return s.loadAt != 0 }

// outdated reports whether the load no longer counts.
func (s *hostStatus) outdated(now clock.Micros) bool { return now > s.loadAt+loadLifetime }

// Reachable reports whether the cell responds to this one's heartbeats, as far as it is sent any, and
// sends its own, if it has sent any in this term.
func (l *Link) Reachable(now clock.Micros) bool {
	return !l.outgoing.circuitOpen() && (!l.host.known() || !l.host.outdated(now))
}

// OwnWait returns how long the cell's own work has been waiting for room, by its last heartbeat.
func (l *Link) OwnWait() clock.Micros { return l.host.load.OwnWait }

// CellOverview is what operators are shown of another cell.
type CellOverview struct {
	Cell string `json:"cell"`
	// Reachable reports whether the cell responds to this one's heartbeats and sends its own, if it does
	// either.
	Reachable bool `json:"reachable"`
	// LentTasks counts this cell's tasks that the other one has, Borrowed the other one's tasks that this
	// cell has.
	LentTasks     int `json:"lent_tasks"`
	BorrowedTasks int `json:"borrowed_tasks"`
	// Recalled counts delegations that this cell has asked back.
	Recalled int `json:"recalled"`
	// OldestUnansweredS is the time since the last status of the delegation that the cell has been silent
	// about for longest.
	OldestUnansweredS float64 `json:"oldest_unanswered_s"`
	// OwnWaitS is how long the cell's own work has been waiting for room, by its last heartbeat.
	OwnWaitS float64 `json:"short_s,omitempty"`
}
