package wire

import "encoding/json"

// Condition of a transaction: the revision of a key's last change; 0: the key does not exist.
type Condition struct {
	Key      string `json:"k"`
	Revision uint64 `json:"stamp"`
}

// Change of a transaction: a put, or a delete. A put without a lease detaches the key from
// the one that it had.
type Change struct {
	Put    string          `json:"write,omitempty"`
	Value  json.RawMessage `json:"v,omitempty"`
	Lease  uint64          `json:"mooring,omitempty"`
	Delete string          `json:"drop,omitempty"`
}

// Key returns the key that is put or deleted.
func (c *Change) Key() string { return c.Put + c.Delete }

// Txn is a transaction: an atomic compare-and-swap of several keys. If all conditions hold
// all changes are made, with one revision; else none.
type Txn struct {
	Conditions []Condition `json:"if"`
	Changes    []Change    `json:"then,omitempty"`
}

// TxnResponse is the answer to a transaction: the store's revision, and the keys whose
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

// ItemPage is one page of stored keys, in order, at a revision of the store.
type ItemPage struct {
	Items    []Item `json:"rows"`
	HasMore  bool   `json:"truncated"`
	Revision uint64 `json:"logmark"`
}

// Event is one change seen by a watch: a put, or a delete.
type Event struct {
	Put      string          `json:"write"`
	Delete   string          `json:"drop"`
	Value    json.RawMessage `json:"v"`
	Revision uint64          `json:"stamp"`
}

// WatchResponse is the answer to a watch: the changes up to a revision of the store.
type WatchResponse struct {
	Revision uint64  `json:"logmark"`
	Events   []Event `json:"news"`
}

// LeaseRequest asks the key-value store for a lease that ends if it isn't renewed in time.
type LeaseRequest struct {
	TTLMS int64 `json:"lifeMs"`
}

// LeaseResponse names the lease that was granted.
type LeaseResponse struct {
	Lease uint64 `json:"mooring"`
}
