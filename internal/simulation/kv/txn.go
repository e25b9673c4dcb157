package kv

import (
	"encoding/json"
	"net/http"
	"time"

	"eiderhitch/internal/wire"
)

// serveTxn handles a transaction. The caller holds s.mu.
func (s *Store) serveTxn(w http.ResponseWriter, body []byte) {
	var txn wire.Txn
	if err := json.Unmarshal(body, &txn); err != nil {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	if s.txnHook != nil {
		s.txnHook(&txn)
	}
	if !s.isWithinLimits(&txn, len(body)) {
		s.stats.RejectedTxns++
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.stats.MaxChangesPerTxn = max(s.stats.MaxChangesPerTxn, len(txn.Changes))
	if !s.admit(len(txn.Changes)) {
		reply(w, http.StatusTooManyRequests, struct{}{})
		return
	}
	if !s.hasLeases(&txn) {
		reply(w, http.StatusBadRequest, map[string]string{"error": "no such lease"})
		return
	}
	if failed := s.failedConditions(&txn); len(failed) > 0 {
		reply(w, http.StatusConflict, wire.TxnResponse{Revision: s.revision, FailedKeys: failed})
		return
	}
	s.apply(&txn)
	reply(w, http.StatusOK, wire.TxnResponse{Revision: s.revision})
}

// isWithinLimits reports whether a transaction, whose request body has the given number of
// bytes, is within the size limits.
func (s *Store) isWithinLimits(txn *wire.Txn, bytes int) bool {
	if len(txn.Changes) > s.maxChanges || len(txn.Conditions) > conditionsPerChange*s.maxChanges || bytes > maxBodyBytes {
		return false
	}
	for _, change := range txn.Changes {
		if len(change.Value) > s.maxValueBytes {
			return false
		}
	}
	return true
}

// admit reports whether the rate limit allows this number of changes now. It updates the rate
// limit's budget and the statistics. The caller holds s.mu.
func (s *Store) admit(changes int) bool {
	if s.changeRateLimit <= 0 {
		return true
	}
	now := time.Now()
	s.changeBudget = min(s.changeRateLimit, s.changeBudget+now.Sub(s.changeBudgetUpdatedAt).Seconds()*s.changeRateLimit)
	s.changeBudgetUpdatedAt = now
	if s.changeBudget < float64(changes) {
		s.stats.ThrottledTxns++
		return false
	}
	s.changeBudget -= float64(changes)
	s.stats.AdmittedTxns++
	return true
}

// hasLeases reports whether all leases that a transaction refers to exist.
func (s *Store) hasLeases(txn *wire.Txn) bool {
	for _, change := range txn.Changes {
		if change.Lease != 0 && s.leases[change.Lease] == nil {
			return false
		}
	}
	return true
}

// failedConditions returns the keys whose current revision differs from the one that a
// condition of the transaction expects.
func (s *Store) failedConditions(txn *wire.Txn) []string {
	var failed []string
	for _, condition := range txn.Conditions {
		if s.entries[condition.Key].revision != condition.Revision {
			failed = append(failed, condition.Key)
		}
	}
	return failed
}

// apply makes a transaction's changes, all at one revision. The caller holds s.mu.
func (s *Store) apply(txn *wire.Txn) {
	if len(txn.Changes) > 0 {
		s.revision++
	}
	for _, change := range txn.Changes {
		if change.Delete != "" {
			s.delete(change.Delete)
		} else {
			s.put(change.Put, change.Value, change.Lease)
		}
	}
	s.notifyWatches()
}
