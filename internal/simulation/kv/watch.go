package kv

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"eiderhitch/internal/wire"
)

// expiryInterval is how often a watch looks for leases that have expired.
const expiryInterval = 200 * time.Millisecond

// watchRequest asks for the changes below a prefix after a revision.
type watchRequest struct {
	prefix   string
	after    uint64
	wait     time.Duration
	deadline time.Time
}

func parseWatch(r *http.Request) watchRequest {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("since"), 10, 64) // from the start, if it is missing
	waitMS, _ := strconv.Atoi(query.Get("waitMs"))            // no wait, if it is missing
	wait := time.Duration(waitMS) * time.Millisecond
	return watchRequest{prefix: query.Get("starts"), after: after, wait: wait, deadline: time.Now().Add(wait)}
}

// serveWatch answers as soon as there are changes, or the wait is over. During an outage it
// answers one that doesn't wait; the others hang.
func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	request := parseWatch(r)
	for {
		s.mu.Lock()
		s.expireLeases()
		down, changed := s.down, s.changed
		var response wire.WatchResponse
		if !down {
			response = s.changesFor(request)
		}
		s.mu.Unlock()
		if down && request.wait == 0 {
			reply(w, http.StatusServiceUnavailable, struct{}{})
			return
		}
		if !down && (len(response.Events) > 0 || !time.Now().Before(request.deadline)) {
			reply(w, http.StatusOK, response)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-time.After(expiryInterval):
		}
	}
}

// changesFor are the changes that a watch asks for; called with the lock held.
func (s *Store) changesFor(request watchRequest) wire.WatchResponse {
	response := wire.WatchResponse{Revision: s.revision, Events: []wire.Event{}}
	for _, e := range s.history {
		if e.Revision > request.after && strings.HasPrefix(e.Put+e.Delete, request.prefix) {
			response.Events = append(response.Events, e)
		}
	}
	return response
}
