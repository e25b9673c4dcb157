// Package store is the client of the key-value store in which controllers keep their state.
// Client reads and watches keys, executes multi-key compare-and-swap transactions and manages
// leases. Writer batches writes into transactions (group commit) within the store's rate limit.
//
// A call without a response has an unknown outcome (ErrOutcomeUnknown): the store may execute it
// minutes later. Every write therefore needs conditions that fail if the write is repeated after
// it was applied.
package store
