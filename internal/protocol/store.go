package protocol

import "github.com/vmihailenco/msgpack/v5"

// Item is a key of the key-value store with its encoded value. Its version is the revision of its last
// change.
type Item struct {
	Key     string             `msgpack:"Path"`
	Value   msgpack.RawMessage `msgpack:"Data"`
	Version Revision           `msgpack:"Stamp"`
}

// ItemList is one page of items, read at one revision of the store.
type ItemList struct {
	Items    []Item   `msgpack:"Items"`
	More     bool     `msgpack:"HasNext"`
	Revision Revision `msgpack:"Ledger"`
}

// Condition is a condition of a transaction: the version that a key must have, 0 if it must not exist.
type Condition struct {
	Key     string   `msgpack:"Path"`
	Version Revision `msgpack:"Stamp"`
}

// Change is one write of a transaction. It puts a value if Put is set, or deletes a key if Delete is set.
type Change struct {
	Put    string             `msgpack:"Write,omitempty"`
	Value  msgpack.RawMessage `msgpack:"Data,omitempty"`
	Lease  LeaseID            `msgpack:"Permit,omitempty"` // its expiry deletes the key
	Delete string             `msgpack:"Delete,omitempty"`
}

// Txn is a transaction (compare-and-swap): the store applies all its changes if all its conditions hold,
// and none otherwise.
type Txn struct {
	Conditions []Condition `msgpack:"Guards"`
	Changes    []Change    `msgpack:"Writes"`
}

// TxnResponse is the response to a transaction: the revision at which the store applied it, or the keys
// whose conditions failed.
type TxnResponse struct {
	Revision Revision `msgpack:"Ledger"`
	Failed   []string `msgpack:"failed"`
	Error    string   `msgpack:"error"`
}

// LeaseRequest is a request for a lease.
type LeaseRequest struct {
	TTLMs int64 `msgpack:"TtlMs"`
}

// LeaseResponse is the response to a request for a lease.
type LeaseResponse struct {
	Lease LeaseID `msgpack:"Permit"`
}

// Event is one change in the response to a watch. Put or Delete is the changed key.
type Event struct {
	Put     string             `msgpack:"Write"`
	Delete  string             `msgpack:"Delete"`
	Value   msgpack.RawMessage `msgpack:"Data"`
	Version Revision           `msgpack:"Stamp"`
}

// WatchResponse is the response to a watch: all changes after the revision in the request, and the
// revision from which to resume.
type WatchResponse struct {
	Revision Revision `msgpack:"Ledger"`
	Events   []Event  `msgpack:"Log"`
}
