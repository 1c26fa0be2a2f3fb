package dispatch

import (
	"net/http"

	"postpoint/internal/clock"
	"postpoint/internal/protocol"
)

// Heartbeat handles a worker's report. The reply is called from the actor.
func (d *Dispatch) Heartbeat(r protocol.Report, reply func(status int, body any)) {
	arrived := d.now()
	d.mailbox.Post(func() { d.heartbeat(r, arrived, reply) })
}

// earlyTime is less than workers wait by far.
const earlyTime = clock.Second

// deferReport keeps a report until the records are read, but not for long: a new leader knows
// what it may answer a moment later, and a refusal would send each worker round the
// other nodes and back.
func (d *Dispatch) deferReport(heartbeat func()) {
	if len(d.deferred) == 0 {
		d.inTerm(earlyTime, d.answerDeferred)
	}
	d.deferred = append(d.deferred, heartbeat)
}

// answerDeferred lets the reports that were held be answered as things stand.
func (d *Dispatch) answerDeferred() {
	heartbeats := d.deferred
	d.deferring, d.deferred = false, nil
	for _, heartbeat := range heartbeats {
		heartbeat()
	}
}

func (d *Dispatch) heartbeat(r protocol.Report, arrived clock.Micros, reply func(status int, body any)) {
	if d.deferring {
		d.deferReport(func() { d.heartbeat(r, arrived, reply) })
		return
	}
	// After a stand of the process, or behind more than the processor can do, a
	// report is no news of now and its worker is about to give up: a refusal
	// costs next to nothing, lets those be taken whose answers will be in time,
	// and isn't taken for an answer that the worker didn't heed.
	if d.now() > arrived+reportTimeout {
		reply(http.StatusServiceUnavailable, protocol.Redirect{})
		return
	}
	d.noteAddress(r.Machine, r.Address)
	if !d.leads() && !d.keeps() || d.wasReleased(r.Machine) {
		hint := d.leader
		if hint == d.set.Node {
			hint = ""
		}
		d.noteZoneReport(&r)
		reply(http.StatusMisdirectedRequest, protocol.Redirect{Node: hint})
		return
	}
	m := d.machine(r.Machine)
	d.observe(m, r)
	// An old report may come late. One that is only older than what a
	// direct command's answer told is the worker's current one.
	newest := r.Session > m.heartbeatSession || r.Session == m.heartbeatSession && r.Counter > m.heartbeatCounter
	if !newest {
		d.challenge(m)
	}
	if !newest || r.Session != m.session || m.expired || r.Epoch > d.term.Epoch {
		reply(http.StatusMisdirectedRequest, protocol.Redirect{})
		return
	}
	d.checkGuestsOn(m)
	if !d.mayRenew(m) {
		reply(http.StatusServiceUnavailable, protocol.Redirect{})
		return
	}
	m.heartbeatSession, m.heartbeatCounter = r.Session, r.Counter
	for _, s := range m.sent {
		// The worker has one report in flight: the answer to the last one
		// was carried out or dropped by now.
		s.inHeartbeat = false
	}
	answer := protocol.HeartbeatAnswer{Epoch: d.term.Epoch, Orders: d.orders(m, true)}
	m.answeredAt = d.now()
	reply(http.StatusOK, answer)
}

// noteAddress keeps where a machine can be reached, for a term that this node may come to
// lead. Of machines that were replaced in the meantime only so many are kept.
func (d *Dispatch) noteAddress(machine, address string) {
	if len(d.addresses) > 2*len(d.roster)+maxAddresses {
		clear(d.addresses) // reports bring those of live machines back
	}
	d.addresses[machine] = address
}

// maxAddresses is beyond the machines of any deployment and a day's replacements.
const maxAddresses = 32 << 10

// challenge asks a machine that has only old reports to give what it has to say
// now: either they are late copies, or it has started over, and counts from one
// again. The answer to a command is never older than the command. A machine that
// has started over goes back: late copies of its former life would look newer than
// all that it says, and what it still holds is known for certain once it is gone.
func (d *Dispatch) challenge(m *machine) {
	if !d.leads() || m.calling || m.releasing || m.addr == "" || d.heardRecently(m) || d.now() < m.challengedAt+challengeTime {
		return
	}
	m.challengedAt = d.now()
	session, counter := m.session, m.counter
	d.command(m, session, []protocol.Order{}, func(_ int, answer *protocol.Report) {
		if answer != nil && (answer.Session < session || answer.Session == session && answer.Counter <= counter) {
			d.release(m, "it has started over")
		}
	})
}

const (
	challengeTime = 5 * clock.Second
	// reportTimeout is less than the four seconds that a worker waits.
	reportTimeout = 3 * clock.Second
)
