package wire

import "encoding/json"

// Condition is a condition of a transaction: Key was last changed at Revision, or does not exist if
// Revision is 0.
type Condition struct {
	Key      string `json:"k"`
	Revision uint64 `json:"stamp"`
}

// Change is a change of a transaction: either a put of the key Put or a delete of the key Delete. A
// put with Lease 0 detaches the key from its lease, if it has one.
type Change struct {
	Put    string          `json:"write,omitempty"`
	Value  json.RawMessage `json:"v,omitempty"`
	Lease  uint64          `json:"mooring,omitempty"`
	Delete string          `json:"drop,omitempty"`
}

// Key returns the key that is put or deleted.
func (c *Change) Key() string { return c.Put + c.Delete }

// Txn is a transaction, an atomic compare-and-swap of several keys. If all conditions hold, all
// changes are made at the same revision of the store; otherwise none is made.
type Txn struct {
	Conditions []Condition `json:"if"`
	Changes    []Change    `json:"then,omitempty"`
}

// TxnResponse is the response to a transaction: the revision of the store, and the keys whose
// conditions failed.
type TxnResponse struct {
	Revision   uint64   `json:"logmark"`
	FailedKeys []string `json:"failed"`
}

// Item is a stored key with its value and the revision of its last change.
type Item struct {
	Key      string          `json:"k"`
	Value    json.RawMessage `json:"v"`
	Revision uint64          `json:"stamp"`
}

// ItemPage is one page of stored keys in their order, as of a revision of the store. HasMore is set
// if another page follows.
type ItemPage struct {
	Items    []Item `json:"rows"`
	HasMore  bool   `json:"truncated"`
	Revision uint64 `json:"logmark"`
}

// Event is one change in the response to a watch: either a put of the key Put or a delete of the key
// Delete.
type Event struct {
	Put      string          `json:"write"`
	Delete   string          `json:"drop"`
	Value    json.RawMessage `json:"v"`
	Revision uint64          `json:"stamp"`
}

// WatchResponse is the response to a watch: the changes up to a revision of the store.
type WatchResponse struct {
	Revision uint64  `json:"logmark"`
	Events   []Event `json:"news"`
}

// LeaseRequest asks the key-value store for a lease, which expires unless it is renewed within TTLMS
// milliseconds.
type LeaseRequest struct {
	TTLMS int64 `json:"lifeMs"`
}

// LeaseResponse contains the id of the granted lease.
type LeaseResponse struct {
	Lease uint64 `json:"mooring"`
}
