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

// lease ends with its keys unless it is renewed in time.
type lease struct {
	ttl     time.Duration
	expires time.Time
}

func (l *lease) renew() { l.expires = time.Now().Add(l.ttl) }

// expireLeases ends overdue leases, in a fixed order; called with the lock held.
func (s *Store) expireLeases() {
	if s.down {
		return
	}
	now := time.Now()
	for _, id := range slices.Sorted(maps.Keys(s.leases)) {
		if now.After(s.leases[id].expires) {
			s.endLease(id)
		}
	}
}

// endLease removes a lease and its keys, all at one revision; called with the lock held.
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

// serveGrant grants a lease; called with the lock held.
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

// serveLease renews a lease or ends it; called with the lock held.
func (s *Store) serveLease(w http.ResponseWriter, r *http.Request) {
	text, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, leasesPath), "/")
	id, _ := strconv.ParseUint(text, 10, 64) // 0 is no lease
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
