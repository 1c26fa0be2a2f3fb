package protocol

import "github.com/vmihailenco/msgpack/v5"

// Item is a key of the key-value store with its value in wire form. Its version is the revision of
// its last change.
type Item struct {
	Key     string             `msgpack:"Path"`
	Value   msgpack.RawMessage `msgpack:"Data"`
	Version Revision           `msgpack:"Stamp"`
}

// ItemList is one page of items, as of one revision of the store.
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

// Change is one change of a transaction. It puts a value or deletes a key, whichever key is set.
type Change struct {
	Put    string             `msgpack:"Write,omitempty"`
	Value  msgpack.RawMessage `msgpack:"Data,omitempty"`
	Lease  LeaseID            `msgpack:"Permit,omitempty"` // whose expiry deletes the key
	Delete string             `msgpack:"Delete,omitempty"`
}

// Txn is a transaction (compare-and-swap): all its changes apply if all its conditions hold.
type Txn struct {
	Conditions []Condition `msgpack:"Guards"`
	Changes    []Change    `msgpack:"Writes"`
}

// TxnResponse is the response to a transaction: the revision at which it was applied, or the keys
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

// LeaseResponse is the response with the id of a lease.
type LeaseResponse struct {
	Lease LeaseID `msgpack:"Permit"`
}

// Event is one change that a watch reports. Put or Delete is the changed key.
type Event struct {
	Put     string             `msgpack:"Write"`
	Delete  string             `msgpack:"Delete"`
	Value   msgpack.RawMessage `msgpack:"Data"`
	Version Revision           `msgpack:"Stamp"`
}

// WatchResponse is the response to a watch: all changes since the revision that it names, and the
// revision to go on from.
type WatchResponse struct {
	Revision Revision `msgpack:"Ledger"`
	Events   []Event  `msgpack:"Log"`
}
