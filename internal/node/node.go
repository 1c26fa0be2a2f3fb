// Package node connects the actors of one controller: it passes terms, the name of the leader and format
// versions from the actor that determines them to the others. Callers supply the clients of external systems:
// real ones in a controller's process, simulated ones in tests.
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

// Mailboxes are the mailboxes of a node's actors.
type Mailboxes struct {
	Leader, Election, Admission, Rollout actor.Mailbox
}

// Environment has the settings, mailboxes and clients that a node's actors use.
type Environment struct {
	Settings  *settings.Settings
	Election  election.Config
	Mailboxes Mailboxes
	// Store returns a client of the key-value store that posts its results to the given mailbox. The
	// priority is that of the actor's reads.
	Store func(m actor.Mailbox, reads kvstore.ReadPriority) kvstore.Store
	// Cloud and Workers post their results to the mailbox of Leader. Forward posts to that of Admission.
	Cloud   cloudclient.API
	Workers workerclient.API
	Forward admission.Forward
	// Cells lists the cells that offload jobs to each other, nil for a single cell. CellClient is the client
	// of the other cells, which posts its results to the mailbox of Leader.
	Cells      *cells.Directory
	CellClient federation.Exchanger
	// Recovery has the settings of zone recovery, nil if it is disabled.
	Recovery *zonerecovery.Settings
	// AskAllControllers sends a request to all controllers. own serves the request on this one. ok reports
	// whether all have responded.
	AskAllControllers func(own *admission.Admission, r admission.Request,
		done func(responses []admission.Response, ok bool))
}

// Node has the actors of one controller.
type Node struct {
	Leader    *leader.Leader
	Candidate *election.Candidate
	Admission *admission.Admission
	Rollout   *rollout.Rollout
}

// New returns a node that does nothing until Start is called.
func New(e Environment) *Node {
	n := &Node{}
	n.Admission = admission.New(e.Mailboxes.Admission, e.Store(e.Mailboxes.Admission, kvstore.ReadsOfUsers),
		e.Settings, e.Forward)
	n.Leader = n.newLeader(e)
	n.Candidate = n.newCandidate(e)
	n.Admission.SetZoneReporter(n.Leader.ZoneReports)
	if e.Recovery != nil {
		n.Leader.EnableZoneRecovery(e.Recovery, n.zoneReports(e))
	}
	if e.Cells != nil {
		n.Leader.EnableCells(e.Cells, e.CellClient)
	}
	n.Rollout = n.newRollout(e)
	return n
}

// newLeader returns the Leader, connected to the node's other actors.
func (n *Node) newLeader(e Environment) *leader.Leader {
	mailbox := e.Mailboxes.Leader
	return leader.New(leader.Dependencies{
		Mailbox:          mailbox,
		Settings:         e.Settings,
		Store:            e.Store(mailbox, kvstore.ReadsOfLeader),
		Cloud:            e.Cloud,
		Workers:          e.Workers,
		Deposed:          func(epoch protocol.Epoch) { n.Candidate.ObserveEpoch(epoch) },
		Resign:           func() { n.Candidate.Resign() },
		Attest:           n.attestations(e),
		CatalogueChanged: func(types []protocol.MachineType) { n.Admission.SetMachineTypes(types) },
	})
}

// attestations returns the function with which the leader requests attestations from all controllers, which
// list the cancellations that they have confirmed to users within the period `lookback`.
func (n *Node) attestations(
	e Environment,
) func(lookback clock.Micros, done func([]admission.Attestation, bool)) {
	return func(lookback clock.Micros, done func([]admission.Attestation, bool)) {
		e.AskAllControllers(n.Admission, admission.NewAttestationRequest(lookback),
			func(responses []admission.Response, ok bool) {
				done(admission.DecodeAttestations(responses, ok))
			})
	}
}

// zoneReports returns the function with which the leader asks all controllers from which zones they receive
// heartbeats.
func (n *Node) zoneReports(e Environment) func(done func([]admission.ZoneReports)) {
	return func(done func([]admission.ZoneReports)) {
		e.AskAllControllers(n.Admission, admission.Request{Kind: admission.GetZoneReports},
			func(responses []admission.Response, _ bool) {
				done(admission.DecodeAllZoneReports(responses))
			})
	}
}

// newCandidate returns the Candidate, which passes terms to Admission and Leader.
func (n *Node) newCandidate(e Environment) *election.Candidate {
	mailbox := e.Mailboxes.Election
	publishTerm := func(t election.Term) {
		// First, so that every attestation after the term has begun reports this election.
		n.Admission.RecordElection(t.Epoch)
		n.Leader.SetTerm(t)
	}
	store := e.Store(mailbox, kvstore.ReadsOfElection)
	return election.New(mailbox, store, e.Election, publishTerm, n.Leader.SetLeader)
}

// newRollout returns the Rollout, which starts the election after it has published this node's format.
func (n *Node) newRollout(e Environment) *rollout.Rollout {
	format := rollout.FormatServices
	if e.Cells != nil {
		format = rollout.FormatCells
	}
	onStatus := func(s rollout.Status) {
		n.Leader.SetFormat(s)
		n.Admission.SetFormatStatus(s)
	}
	mailbox := e.Mailboxes.Rollout
	// The election starts after the publication, so that other controllers know which format this node reads
	// before it writes records.
	store := e.Store(mailbox, kvstore.ReadsOfElection) // the election waits for the rollout
	return rollout.New(mailbox, store, e.Settings.Node, e.Settings.Nodes(), format, n.Candidate.Start,
		onStatus)
}

// Start starts the leader's actor and the publication of this node's format, which starts the election.
func (n *Node) Start() {
	n.Leader.Start()
	n.Rollout.Start()
}

// StartWithoutFormat starts the node like a version that publishes no format, for tests of several versions
// in one deployment.
func (n *Node) StartWithoutFormat() {
	n.Leader.Start()
	n.Candidate.Start()
}
