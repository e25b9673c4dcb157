package wire

import "encoding/json"

// Condition of a transaction.
type Condition struct {
	Key      string `json:"k"`
	Revision uint64 `json:"stamp"`
}

// Change of a transaction: a put, or a delete.
type Change struct {
	Put    string          `json:"write,omitempty"`
	Value  json.RawMessage `json:"v,omitempty"`
	Lease  uint64          `json:"mooring,omitempty"`
	Delete string          `json:"drop,omitempty"`
}

// Key that the change is about.
func (c *Change) Key() string { return c.Put + c.Delete }

// Txn is a transaction.
type Txn struct {
	Conditions []Condition `json:"if"`
	Changes    []Change    `json:"then,omitempty"`
}

// TxnResponse is its answer.
type TxnResponse struct {
	Revision uint64   `json:"logmark"`
	Failed   []string `json:"failed"`
}

// Item is one stored key.
type Item struct {
	Key      string          `json:"k"`
	Value    json.RawMessage `json:"v"`
	Revision uint64          `json:"stamp"`
}

// Page is one page of stored keys.
type Page struct {
	Items    []Item `json:"rows"`
	More     bool   `json:"truncated"`
	Revision uint64 `json:"logmark"`
}

// Event is one change seen by a watch.
type Event struct {
	Put      string          `json:"write"`
	Delete   string          `json:"drop"`
	Value    json.RawMessage `json:"v"`
	Revision uint64          `json:"stamp"`
}

// WatchResponse are the answer of a watch.
type WatchResponse struct {
	Revision uint64  `json:"logmark"`
	Events   []Event `json:"news"`
}

// LeaseRequest asks for a lease of the state service.
type LeaseRequest struct {
	TTLMS int64 `json:"lifeMs"`
}

// LeaseResponse names it.
type LeaseResponse struct {
	Lease uint64 `json:"mooring"`
}
