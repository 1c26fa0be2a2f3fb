// Package admission handles the requests of users. Any controller, leader or not, accepts, shows and
// cancels jobs by reading and writing their records in the key-value store directly.
//
// The package owns the HTTP server of a controller with its connections, the admission of submissions, the
// record of a job until the leader first changes it, and the attestations that a controller gives to a
// leader that can't reach the store (see Attestation). It doesn't schedule: it passes heartbeats to a
// LeaderHandler and makes no placements.
//
// Package controller starts the server, package node wires the actor to the rest of a controller, and
// package peer delivers the requests that another controller forwards.
package admission
