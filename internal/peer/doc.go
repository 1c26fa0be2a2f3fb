// Package peer carries messages between controllers in its own binary format. Between the controllers of
// one cell it carries users' requests, attestations and zone reports for a controller that can't reach the
// key-value store. Between the leaders of different cells it carries the exchanges of package delegation.
//
// The package owns the frames, their limits and the connections that carry them. It neither interprets
// bodies nor takes decisions: package admission handles the requests of controllers, and a CellHandler
// those of cells. Package controller starts the servers and passes the clients to package node.
package peer
