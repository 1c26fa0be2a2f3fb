// Package admission answers the requests of users: any node, leader or not, accepts, shows and cancels
// jobs, straight from and to their records in the key-value store.
//
// It owns the HTTP server of a node with its connections, the admission of submissions, the record
// of a job until the leader first changes it, and what a node vouches for to a new leader (see
// Attestation). It doesn't schedule: heartbeats go to a LeaderHandler, and placements are none
// of its business.
//
// Package controller starts the server; package node wires the actor to the rest of a node; package
// peer brings requests that another node has forwarded.
package admission
