// Package peer carries messages between controllers in a binary format of its own: between the nodes
// of one cell, for a node that the key-value store doesn't serve, users' requests, attestations and
// zone reports; between the leaders of different cells, the exchanges of package delegation.
//
// It owns frames, their limits and the connections that carry them. It doesn't look into bodies and
// takes no decisions: package admission answers the requests of nodes, a CellHandler those of cells.
// Package controller starts the servers and hands the clients to package node.
package peer
