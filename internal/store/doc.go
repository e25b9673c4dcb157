// Package store is the client of the key-value store in which controllers keep their
// state: reads and watches of keys, multi-key compare-and-swap transactions, and leases
// (Client); and group commit of writes within the store's rate limit (Writer).
//
// A call without an answer has an unknown outcome (ErrOutcomeUnknown): the store may execute
// it minutes later. Every write therefore has conditions by which it fails when it is
// repeated after it was applied.
package store
