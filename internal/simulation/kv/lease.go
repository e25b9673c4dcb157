package kv

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"eiderhitch/internal/wire"
)

// lease is a lease of the store. When it expires, its keys are deleted.
type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// renew makes the lease valid for its full TTL from now on.
func (l *lease) renew() { l.expiresAt = time.Now().Add(l.ttl) }

// expireLeases ends expired leases in the order of their IDs, so that runs are reproducible.
// Leases don't expire during an outage. The caller holds s.mu.
func (s *Store) expireLeases() {
	if s.unavailable {
		return
	}
	now := time.Now()
	for _, id := range slices.Sorted(maps.Keys(s.leases)) {
		if now.After(s.leases[id].expiresAt) {
			s.endLease(id)
		}
	}
}

// endLease deletes a lease and its keys, all at one revision. The caller holds s.mu.
func (s *Store) endLease(id uint64) {
	delete(s.leases, id)
	var keys []string
	for key, e := range s.entries {
		if e.lease == id {
			keys = append(keys, key)
		}
	}
	if len(keys) == 0 {
		return
	}
	slices.Sort(keys)
	s.revision++
	for _, key := range keys {
		s.delete(key)
	}
	s.notifyWatches()
}

// serveGrant handles a request for a new lease. The caller holds s.mu.
func (s *Store) serveGrant(w http.ResponseWriter, body []byte) {
	var request wire.LeaseRequest
	if json.Unmarshal(body, &request) != nil {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.lastLease++
	l := &lease{ttl: time.Duration(request.TTLMS) * time.Millisecond}
	l.renew()
	s.leases[s.lastLease] = l
	reply(w, http.StatusOK, wire.LeaseResponse{Lease: s.lastLease})
}

// serveLease handles a request that renews or ends a lease. The caller holds s.mu.
func (s *Store) serveLease(w http.ResponseWriter, r *http.Request) {
	text, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, leasesPath), "/")
	id, _ := strconv.ParseUint(text, 10, 64) // a malformed ID gives 0, which no lease has
	l := s.leases[id]
	switch {
	case l == nil:
		reply(w, http.StatusNotFound, struct{}{})
		return
	case r.Method == http.MethodDelete:
		s.endLease(id)
	default:
		l.renew()
	}
	reply(w, http.StatusOK, struct{}{})
}
