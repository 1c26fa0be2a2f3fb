// Package federation runs jobs across cells. Origin delegates this cell's own jobs to other cells, Host
// runs the jobs that other cells have delegated to this one, and Links holds the state of the other cells
// that both use.
//
// The leader of a cell has both roles: it is the origin for its own users' jobs and the host for hosted jobs.
// As host it sends heartbeats to the leaders of the origin cells, as workers send heartbeats to the leader of
// their cell. As origin it responds to such heartbeats: see docs/cells.md. Package delegation defines the
// permissions and messages, and package offload plans which tasks to offload to which cell. Neither of these
// packages has side effects.
package federation

import (
	"postpoint/internal/cells"
	"postpoint/internal/clock"
	"postpoint/internal/delegation"
	"postpoint/internal/leader/term"
	"postpoint/internal/protocol"
)

// Links owns the state of the other cells. Its directory is nil if federation is disabled.
type Links struct {
	*term.State
	Directory *cells.Directory
	exchange  Exchanger

	ByCell map[string]*Link // by cell name
}

// NewLinks returns links for which federation is disabled until Connect is called.
func NewLinks(term *term.State) *Links { return &Links{State: term} }

// Connect enables federation with the cells of a directory. The exchange carries heartbeats to them.
func (l *Links) Connect(directory *cells.Directory, exchange Exchanger) {
	l.Directory, l.exchange = directory, exchange
}

// Enabled reports whether federation is enabled and all of this cell's controllers support it.
func (l *Links) Enabled() bool { return l.Directory != nil && l.Format.Cells }

// Begin drops the state of earlier terms.
func (l *Links) Begin() {
	l.ByCell = map[string]*Link{}
	if l.Directory == nil {
		return
	}
	for _, c := range l.Directory.Others() {
		l.ByCell[c.Name] = &Link{cell: c.Name}
	}
}

// draining reports whether a host cell has to return even running tasks, because this cell or the host is
// being drained or the directory no longer lists the host.
func (l *Links) draining(host string) bool {
	c := l.Directory.Cell(host)
	return c == nil || c.Draining || l.Directory.Own.Draining
}

// Link is the state of one other cell. That cell may be a host of this cell's jobs and at the same time the
// origin of jobs that this cell runs.
type Link struct {
	cell string
	// outgoing schedules the heartbeats that this cell, as host, sends to the other cell as origin.
	outgoing heartbeatStream
	// host is the status that the other cell, as host, has sent in its heartbeats.
	host hostStatus
}

// heartbeatStream schedules the heartbeats to one origin cell.
type heartbeatStream struct {
	inFlight bool
	nextAt   clock.Micros
	// sequence counts the heartbeats of this term.
	sequence int64
	// failures counts the heartbeats since the last usable response.
	failures int
	// leader is the address of the controller that processed the last heartbeat, or that another controller
	// named as the leader. If it is empty, attempt selects one of the cell's controllers.
	leader      string
	attempt     int
	respondedAt clock.Micros
}

// hostStatus is the newest status that a host cell has sent of itself.
type hostStatus struct {
	load   delegation.Load
	loadAt clock.Micros // 0 if the cell hasn't sent a heartbeat in this term
	// epoch and sequence identify the newest heartbeat.
	epoch    protocol.Epoch
	sequence int64
}

// loadLifetime is how long the load that a host cell has sent counts as current.
const loadLifetime = 6 * clock.Second

// update records the load of a heartbeat, unless a newer heartbeat arrived earlier.
func (s *hostStatus) update(heartbeat *delegation.Heartbeat, now clock.Micros) {
	if heartbeat.Epoch < s.epoch || heartbeat.Epoch == s.epoch && heartbeat.Sequence <= s.sequence {
		return
	}
	s.epoch, s.sequence = heartbeat.Epoch, heartbeat.Sequence
	s.load, s.loadAt = heartbeat.Load, now
}

// known reports whether the cell has sent a heartbeat in this term.
func (s *hostStatus) known() bool { return s.loadAt != 0 }

// outdated reports whether the load is older than loadLifetime.
func (s *hostStatus) outdated(now clock.Micros) bool { return now > s.loadAt+loadLifetime }

// Reachable reports whether heartbeats pass in both directions. A direction in which no heartbeat was sent in
// this term counts as working.
func (l *Link) Reachable(now clock.Micros) bool {
	return !l.outgoing.circuitOpen() && (!l.host.known() || !l.host.outdated(now))
}

// OwnWait returns how long the cell's own jobs have been waiting for capacity, according to its last
// heartbeat.
func (l *Link) OwnWait() clock.Micros { return l.host.load.OwnWait }

// CellOverview describes another cell for operators.
type CellOverview struct {
	Cell string `json:"cell"`
	// Reachable reports whether heartbeats between the two cells pass: see Link.Reachable.
	Reachable bool `json:"reachable"`
	// DelegatedTasks counts this cell's tasks that are delegated to the other cell. HostedTasks counts the
	// other cell's tasks that this cell hosts.
	DelegatedTasks int `json:"lent_tasks"`
	HostedTasks    int `json:"borrowed_tasks"`
	// Recalled counts the delegations that this cell has recalled.
	Recalled int `json:"recalled"`
	// OldestStatusAgeS is the age of the oldest among the last statuses of all delegations to the cell.
	OldestStatusAgeS float64 `json:"oldest_unanswered_s"`
	// OwnWaitS is how long the cell's own jobs have been waiting for capacity, according to its last
	// heartbeat.
	OwnWaitS float64 `json:"short_s,omitempty"`
}
