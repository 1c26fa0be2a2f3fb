// Package node connects the actors of one controller with each other: who is told of a term, of a
// leader, of a format. What lies outside of the node is passed in: real clients in a controller's
// process, simulated ones in tests.
package node

import (
	"postpoint/internal/actor"
	"postpoint/internal/admission"
	"postpoint/internal/cells"
	"postpoint/internal/clock"
	"postpoint/internal/cloudclient"
	"postpoint/internal/election"
	"postpoint/internal/kvstore"
	"postpoint/internal/leader"
	"postpoint/internal/leader/federation"
	"postpoint/internal/protocol"
	"postpoint/internal/rollout"
	"postpoint/internal/settings"
	"postpoint/internal/workerclient"
	"postpoint/internal/zonerecovery"
)

// Mailboxes are those of a node's actors.
type Mailboxes struct {
	Leader, Election, Admission, Rollout actor.Mailbox
}

// Environment is what a node's actors talk to.
type Environment struct {
	Settings  *settings.Settings
	Election  election.Config
	Mailboxes Mailboxes
	// Store returns the key-value store whose results arrive in a mailbox.
	Store func(actor.Mailbox) kvstore.Store
	// Cloud and Agent respond to the mailbox of Leader, Forward to that of Admission.
	Cloud   cloudclient.API
	Agent   workerclient.API
	Forward admission.Forward
	// Cells lists the cells, nil if they are switched off; Exchange reaches them and responds to the
	// mailbox of Leader.
	Cells    *cells.Directory
	Exchange federation.Exchanger
	// Recovery has the settings of zone recovery, nil if it is switched off.
	Recovery *zonerecovery.Settings
	// Everyone asks all nodes, given this one's own actor; ok reports whether all have responded.
	Everyone func(own *admission.Admission, r admission.Request,
		done func(answers []admission.Response, ok bool))
}

// Node has the actors of one controller.
type Node struct {
	Leader    *leader.Leader
	Candidate *election.Candidate
	Admission *admission.Admission
	Rollout   *rollout.Rollout
}

// New returns a node that does nothing yet.
func New(e Environment) *Node {
	n := &Node{}
	n.Admission = admission.New(e.Mailboxes.Admission, e.Store(e.Mailboxes.Admission), e.Settings,
		e.Forward)
	n.Leader = n.newLeader(e)
	n.Candidate = n.newCandidate(e)
	n.Admission.ZoneReportsFrom(n.Leader.ZoneReports)
	if e.Recovery != nil {
		n.Leader.EnableZoneRecovery(e.Recovery, n.zoneReports(e))
	}
	if e.Cells != nil {
		n.Leader.EnableCells(e.Cells, e.Exchange)
	}
	n.Rollout = n.newRollout(e)
	return n
}

// newLeader returns the leader's actor.
func (n *Node) newLeader(e Environment) *leader.Leader {
	box := e.Mailboxes.Leader
	return leader.New(leader.Dependencies{
		Mailbox:          box,
		Settings:         e.Settings,
		Store:            e.Store(box),
		Cloud:            e.Cloud,
		Workers:          e.Agent,
		Deposed:          func(epoch protocol.Epoch) { n.Candidate.ObserveEpoch(epoch) },
		Resign:           func() { n.Candidate.Resign() },
		Attest:           n.attestations(e),
		CatalogueChanged: func(types []protocol.MachineType) { n.Admission.SetMachineTypes(types) },
	})
}

// attestations returns how the leader asks all nodes to vouch for what they have told users.
func (n *Node) attestations(e Environment) func(back clock.Micros, done func([]admission.Attestation, bool)) {
	return func(back clock.Micros, done func([]admission.Attestation, bool)) {
		e.Everyone(n.Admission, admission.NewAttestationRequest(back),
			func(answers []admission.Response, ok bool) {
				done(admission.DecodeAttestations(answers, ok))
			})
	}
}

// zoneReports returns how the leader asks all nodes which zones' machines they hear from.
func (n *Node) zoneReports(e Environment) func(done func([]admission.ZoneReports)) {
	return func(done func([]admission.ZoneReports)) {
		e.Everyone(n.Admission, admission.Request{Kind: admission.GetZoneReports},
			func(answers []admission.Response, _ bool) {
				done(admission.DecodeAllZoneReports(answers))
			})
	}
}

func (n *Node) newCandidate(e Environment) *election.Candidate {
	box := e.Mailboxes.Election
	publishTerm := func(t election.Term) {
		n.Admission.NoteElection(t.Epoch) // first: nothing is vouched for after the term has begun
		n.Leader.SetTerm(t)
	}
	return election.New(box, e.Store(box), e.Election, publishTerm, n.Leader.SetLeader)
}

func (n *Node) newRollout(e Environment) *rollout.Rollout {
	format := rollout.FormatServices
	if e.Cells != nil {
		format = rollout.FormatCells
	}
	onStatus := func(s rollout.Status) {
		n.Leader.SetFormat(s)
		n.Admission.SetFormatStatus(s)
	}
	box := e.Mailboxes.Rollout
	// The election waits: what this node writes comes after the format that it reads.
	return rollout.New(box, e.Store(box), e.Settings.Node, e.Settings.Nodes(), format,
		n.Candidate.Start, onStatus)
}

// Start lets the node publish its format, stand for election and serve.
func (n *Node) Start() {
	n.Leader.Start()
	n.Rollout.Start()
}

// StartUnpublished starts it like a version that publishes no format, for tests of versions side by
// side.
func (n *Node) StartUnpublished() {
	n.Leader.Start()
	n.Candidate.Start()
}
