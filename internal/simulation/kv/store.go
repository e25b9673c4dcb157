// Package kv is a small in-process key-value store for tests, written from the protocol:
// transactions on conditions, leases, watches, and the limits of a real one. It runs on
// whatever clock the test runs on.
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

// The limits that a store has unless SetTxnLimits says otherwise.
const (
	defaultMaxChanges    = 32
	defaultMaxValueBytes = 8 << 10
	// conditionsPerChange is how many conditions a transaction may have for each change
	// that it may have.
	conditionsPerChange = 4
	// maxBodyBytes is how large a transaction may be as it is sent.
	maxBodyBytes = 64 << 10
)

// Stats are counts of transactions.
type Stats struct {
	// RejectedTxns are those that were refused for good: too many changes, too large a value.
	RejectedTxns int
	// Throttled are those that were too much at the time, Admitted the others. Both count
	// only if there is a limit of changes a second.
	ThrottledTxns, AdmittedTxns int
	// MaxChangesPerTxn is the most changes that one had.
	MaxChangesPerTxn int
}

// Store is a key-value store. It may be used from several goroutines.
type Store struct {
	mu            sync.Mutex
	revision      uint64
	entries       map[string]entry
	history       []wire.Event
	leases        map[uint64]*lease
	lastLease     uint64
	changed       chan struct{} // closed at the next change
	down          bool
	maxChanges    int
	maxValueBytes int
	beforeTxn     func(*wire.Txn)
	stats         Stats
	rate          float64 // changes a second that are admitted; 0: no limit
	budget        float64 // changes that may be made now
	budgetAt      time.Time
}

// entry is the value of a key.
type entry struct {
	value    json.RawMessage
	revision uint64
	lease    uint64 // 0: none
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{entries: map[string]entry{}, leases: map[uint64]*lease{}, changed: make(chan struct{}),
		maxChanges: defaultMaxChanges, maxValueBytes: defaultMaxValueBytes}
}

// SetUnavailable begins or ends an outage; afterwards every lease has its full time.
func (s *Store) SetUnavailable(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down && !down {
		for _, l := range s.leases {
			l.renew()
		}
	}
	s.down = down
}

// SetTxnLimits sets how large a value and how many the changes of a transaction may be.
func (s *Store) SetTxnLimits(maxValueBytes, maxChanges int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxValueBytes, s.maxChanges = maxValueBytes, maxChanges
}

// SetChangeRateLimit limits the changes a second of all callers together, with bursts of one second's
// worth; 0: no limit.
func (s *Store) SetChangeRateLimit(changes float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rate = changes
}

// Stats are the counts so far.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// SetTxnHook has a function change each transaction before it is carried out, as if another
// caller's change came at that very moment; nil: none does.
func (s *Store) SetTxnHook(f func(*wire.Txn)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beforeTxn = f
}

// CountValuesLargerThan counts the values beyond a size in bytes.
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

// Values are the stored values below prefix, by key.
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

// Keys lists the stored keys below prefix, in order.
func (s *Store) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keysAfter(prefix, "")
}

// keysAfter lists the keys below prefix that come after one; called with the lock held.
func (s *Store) keysAfter(prefix, after string) []string {
	var out []string
	for key := range s.entries {
		if strings.HasPrefix(key, prefix) && key > after {
			out = append(out, key)
		}
	}
	sort.Strings(out)
	return out
}

// History is every change so far.
func (s *Store) History() []wire.Event {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.history)
}

// put stores a value at the present revision; called with the lock held.
func (s *Store) put(key string, value json.RawMessage, lease uint64) {
	s.entries[key] = entry{value, s.revision, lease}
	s.history = append(s.history, wire.Event{Put: key, Value: value, Revision: s.revision})
}

// delete removes a key at the present revision; called with the lock held.
func (s *Store) delete(key string) {
	if _, ok := s.entries[key]; !ok {
		return
	}
	delete(s.entries, key)
	s.history = append(s.history, wire.Event{Delete: key, Revision: s.revision})
}

// notifyWatches wakes all watches; called with the lock held.
func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}
