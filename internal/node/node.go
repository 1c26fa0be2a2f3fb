// Package node connects the actors of one controller with each other. What lies outside of
// it is passed in: real clients in a controller's process, stand-ins in tests.
package node

import (
	"postpoint/internal/actor"
	"postpoint/internal/agent"
	"postpoint/internal/cells"
	"postpoint/internal/clock"
	"postpoint/internal/cloud"
	"postpoint/internal/intake"
	"postpoint/internal/leader"
	"postpoint/internal/leader/federation"
	"postpoint/internal/leadership"
	"postpoint/internal/protocol"
	"postpoint/internal/recovery"
	"postpoint/internal/rollout"
	"postpoint/internal/settings"
	"postpoint/internal/statestore"
)

// Mailboxes are those of a node's actors.
type Mailboxes struct {
	Dispatch, Leadership, Intake, Rollout actor.Mailbox
}

// Environment is what a node's actors talk to.
type Environment struct {
	Settings   *settings.Settings
	Leadership leadership.Config
	Mailboxes  Mailboxes
	// Store gives the state service whose answers arrive in a mailbox.
	Store func(actor.Mailbox) statestore.Store
	// Cloud and Agent answer into the mailbox of Dispatch, Forward into that of Intake.
	Cloud   cloud.API
	Agent   agent.API
	Forward intake.Forward
	// Cells lists the cells, nil if they are switched off; Exchange reaches them and answers into
	// the mailbox of Dispatch.
	Cells    *cells.Directory
	Exchange federation.Exchanger
	// Recovery has the settings of recoveries from the loss of a zone, nil if they are switched off.
	Recovery *recovery.Settings
	// Everyone asks all nodes, given this one's own actor; ok tells that all have answered.
	Everyone func(own *intake.Intake, r intake.Request, done func(answers []intake.Answer, ok bool))
}

// Node has the actors of one controller.
type Node struct {
	Dispatch   *leader.Leader
	Leadership *leadership.Leadership
	Intake     *intake.Intake
	Rollout    *rollout.Rollout
}

// New makes a node that does nothing yet.
func New(e Environment) *Node {
	n := &Node{}
	boxes := e.Mailboxes
	n.Intake = intake.New(boxes.Intake, e.Store(boxes.Intake), e.Settings, e.Forward)
	n.Dispatch = leader.New(boxes.Dispatch, e.Store(boxes.Dispatch), e.Cloud, e.Agent, e.Settings,
		func(epoch int64) { n.Leadership.Deposed(epoch) },
		func() { n.Leadership.Resign() },
		func(back clock.Micros, done func([]intake.Attestation, bool)) {
			e.Everyone(n.Intake, intake.AttestRequest(back), func(answers []intake.Answer, ok bool) {
				done(intake.Attestations(answers, ok))
			})
		},
		func(types []protocol.MachineType) { n.Intake.Types(types) })
	n.Leadership = leadership.New(boxes.Leadership, e.Store(boxes.Leadership), e.Leadership,
		func(t leadership.Term) {
			n.Intake.Elected(t.Epoch) // first: nothing is vouched for after the term has begun
			n.Dispatch.SetTerm(t)
		}, n.Dispatch.SetLeader)
	n.Intake.ZoneReportsFrom(n.Dispatch.ZoneReports)
	if e.Recovery != nil {
		n.Dispatch.Recover(e.Recovery, func(done func([]intake.ZoneReports)) {
			e.Everyone(n.Intake, intake.Request{Kind: intake.Zones}, func(answers []intake.Answer, _ bool) {
				done(intake.AllZoneReports(answers))
			})
		})
	}
	format := rollout.Present
	if e.Cells != nil {
		format = rollout.WithCells
		n.Dispatch.JoinCells(e.Cells, e.Exchange)
	}
	n.Rollout = rollout.New(boxes.Rollout, e.Store(boxes.Rollout), e.Settings.Node, e.Settings.Nodes(), format,
		n.Leadership.Start, // what this node writes comes after the format that it reads
		func(s rollout.Status) {
			n.Dispatch.SetFormat(s)
			n.Intake.Format(s)
		})
	return n
}

// Start lets the node publish its format, stand for election and serve.
func (n *Node) Start() {
	n.Dispatch.Start()
	n.Rollout.Start()
}

// StartUnpublished starts it like a version that publishes no format, for tests of versions
// side by side.
func (n *Node) StartUnpublished() {
	n.Dispatch.Start()
	n.Leadership.Start()
}
