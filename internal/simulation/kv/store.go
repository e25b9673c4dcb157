// Package kv is a small in-process key-value store for tests. It implements the protocol of
// the real store: conditional transactions, leases, watches, and limits. It uses the time
// package, so it also runs on the fake clock of testing/synctest.
package kv

import (
	"encoding/json"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"eiderhitch/internal/wire"
)

// The limits of a store. SetTxnLimits changes the first two.
const (
	defaultMaxChanges    = 32
	defaultMaxValueBytes = 8 << 10
	// conditionsPerChange is the ratio of the maximum number of conditions of a transaction to
	// its maximum number of changes.
	conditionsPerChange = 4
	// maxBodyBytes is the maximum size of a transaction's request body.
	maxBodyBytes = 64 << 10
)

// Stats holds statistics of transactions.
type Stats struct {
	// RejectedTxns counts transactions that exceeded a size limit: the number of changes or
	// conditions, the size of a value or of the request. Retrying them is pointless.
	RejectedTxns int
	// ThrottledTxns counts transactions that exceeded the rate limit for changes, and
	// AdmittedTxns counts those that didn't. Both stay 0 while there is no rate limit.
	ThrottledTxns, AdmittedTxns int
	// MaxChangesPerTxn is the highest number of changes in a transaction within the size
	// limits.
	MaxChangesPerTxn int
}

// Store is a key-value store. It is safe for concurrent use.
type Store struct {
	mu                    sync.Mutex
	revision              uint64
	entries               map[string]entry
	history               []wire.Event
	leases                map[uint64]*lease
	lastLease             uint64
	changeSignal          chan struct{} // closed and replaced after each executed transaction and each end of a lease with keys
	unavailable           bool
	maxChanges            int
	maxValueBytes         int
	txnHook               func(*wire.Txn)
	stats                 Stats
	changeRateLimit       float64 // admitted changes per second; 0 means no limit
	changeBudget          float64 // changes admitted at changeBudgetUpdatedAt
	changeBudgetUpdatedAt time.Time
}

// entry is the stored value of a key.
type entry struct {
	value    json.RawMessage
	revision uint64 // of the latest change
	lease    uint64 // ID of the key's lease; 0 means none
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{entries: map[string]entry{}, leases: map[uint64]*lease{}, changeSignal: make(chan struct{}),
		maxChanges: defaultMaxChanges, maxValueBytes: defaultMaxValueBytes}
}

// SetUnavailable begins or ends an outage. At the end of an outage, all leases are renewed.
func (s *Store) SetUnavailable(unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable && !unavailable {
		for _, l := range s.leases {
			l.renew()
		}
	}
	s.unavailable = unavailable
}

// SetTxnLimits sets the maximum size of a value and the maximum number of changes of a
// transaction.
func (s *Store) SetTxnLimits(maxValueBytes, maxChanges int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxValueBytes, s.maxChanges = maxValueBytes, maxChanges
}

// SetChangeRateLimit limits the changes per second of all callers together. A burst may have
// the changes of one second. 0 means no limit.
func (s *Store) SetChangeRateLimit(changesPerSecond float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changeRateLimit = changesPerSecond
}

// Stats returns the statistics so far.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// SetTxnHook sets a function that may modify each transaction before it is executed. Tests use
// it to simulate a concurrent change by another caller. Nil removes the hook. The hook is
// called with the store's lock held and must not call the store's methods.
func (s *Store) SetTxnHook(hook func(*wire.Txn)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.txnHook = hook
}

// CountValuesLargerThan returns how many stored values are larger than size bytes.
func (s *Store) CountValuesLargerThan(size int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, e := range s.entries {
		if len(e.value) > size {
			count++
		}
	}
	return count
}

// Values returns the stored values whose keys begin with prefix, by key.
func (s *Store) Values(prefix string) map[string]json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]json.RawMessage{}
	for key, e := range s.entries {
		if strings.HasPrefix(key, prefix) {
			out[key] = e.value
		}
	}
	return out
}

// Keys returns the stored keys that begin with prefix, in lexical order.
func (s *Store) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keysAfter(prefix, "")
}

// keysAfter returns the keys that begin with prefix and sort after the key after, in lexical
// order. The caller holds s.mu.
func (s *Store) keysAfter(prefix, afterKey string) []string {
	var out []string
	for key := range s.entries {
		if strings.HasPrefix(key, prefix) && key > afterKey {
			out = append(out, key)
		}
	}
	sort.Strings(out)
	return out
}

// History returns all changes so far, in the order in which they were made.
func (s *Store) History() []wire.Event {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.history)
}

// put stores a value at the current revision. The caller holds s.mu.
func (s *Store) put(key string, value json.RawMessage, lease uint64) {
	s.entries[key] = entry{value, s.revision, lease}
	s.history = append(s.history, wire.Event{Put: key, Value: value, Revision: s.revision})
}

// delete deletes a key at the current revision, if it exists. The caller holds s.mu.
func (s *Store) delete(key string) {
	if _, ok := s.entries[key]; !ok {
		return
	}
	delete(s.entries, key)
	s.history = append(s.history, wire.Event{Delete: key, Revision: s.revision})
}

// notifyWatches makes all waiting watch requests check for changes. The caller holds s.mu.
func (s *Store) notifyWatches() {
	close(s.changeSignal)
	s.changeSignal = make(chan struct{})
}
