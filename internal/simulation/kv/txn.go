package kv

import (
	"encoding/json"
	"net/http"
	"time"

	"eiderhitch/internal/wire"
)

// serveTxn carries out a transaction; called with the lock held.
func (s *Store) serveTxn(w http.ResponseWriter, body []byte) {
	var txn wire.Txn
	if err := json.Unmarshal(body, &txn); err != nil {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	if s.beforeTxn != nil {
		s.beforeTxn(&txn)
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

// isWithinLimits tells whether a transaction of some bytes keeps to the limits.
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

// admit tells whether the limit of changes a second allows some more, and counts them.
func (s *Store) admit(changes int) bool {
	if s.rate <= 0 {
		return true
	}
	now := time.Now()
	s.budget = min(s.rate, s.budget+now.Sub(s.budgetAt).Seconds()*s.rate)
	s.budgetAt = now
	if s.budget < float64(changes) {
		s.stats.ThrottledTxns++
		return false
	}
	s.budget -= float64(changes)
	s.stats.AdmittedTxns++
	return true
}

// hasLeases tells whether the leases that a transaction's keys are to have exist.
func (s *Store) hasLeases(txn *wire.Txn) bool {
	for _, change := range txn.Changes {
		if change.Lease != 0 && s.leases[change.Lease] == nil {
			return false
		}
	}
	return true
}

// failedConditions are the keys whose revisions are not those that a transaction expects.
func (s *Store) failedConditions(txn *wire.Txn) []string {
	var failed []string
	for _, condition := range txn.Conditions {
		if s.entries[condition.Key].revision != condition.Revision {
			failed = append(failed, condition.Key)
		}
	}
	return failed
}

// apply makes a transaction's changes, all at one revision.
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
