package kv

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"eiderhitch/internal/wire"
)

// expiryInterval is how often a waiting watch request checks for expired leases.
const expiryInterval = 200 * time.Millisecond

// watchRequest is a request for the changes of keys with a prefix after a revision.
type watchRequest struct {
	prefix        string
	afterRevision uint64
	wait          time.Duration // 0 means that the request doesn't wait for changes
	deadline      time.Time
}

// parseWatch parses the query of a watch request.
func parseWatch(r *http.Request) watchRequest {
	query := r.URL.Query()
	afterRevision, _ := strconv.ParseUint(query.Get("since"), 10, 64) // 0 if it is missing: all changes
	waitMS, _ := strconv.Atoi(query.Get("waitMs"))                    // 0 if it is missing: no wait
	wait := time.Duration(waitMS) * time.Millisecond
	return watchRequest{prefix: query.Get("starts"), afterRevision: afterRevision, wait: wait, deadline: time.Now().Add(wait)}
}

// serveWatch responds as soon as there are changes or the request's wait time is over. During
// an outage it rejects requests without a wait time and doesn't respond to others.
func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	request := parseWatch(r)
	for {
		s.mu.Lock()
		s.expireLeases()
		unavailable, changeSignal := s.unavailable, s.changeSignal
		var response wire.WatchResponse
		if !unavailable {
			response = s.changesFor(request)
		}
		s.mu.Unlock()
		if unavailable && request.wait == 0 {
			reply(w, http.StatusServiceUnavailable, struct{}{})
			return
		}
		if !unavailable && (len(response.Events) > 0 || !time.Now().Before(request.deadline)) {
			reply(w, http.StatusOK, response)
			return
		}
		select {
		case <-changeSignal:
		case <-r.Context().Done():
			return
		case <-time.After(expiryInterval):
		}
	}
}

// changesFor returns the changes that match a watch request. The caller holds s.mu.
func (s *Store) changesFor(request watchRequest) wire.WatchResponse {
	response := wire.WatchResponse{Revision: s.revision, Events: []wire.Event{}}
	for _, e := range s.history {
		if e.Revision > request.afterRevision && strings.HasPrefix(e.Put+e.Delete, request.prefix) {
			response.Events = append(response.Events, e)
		}
	}
	return response
}
