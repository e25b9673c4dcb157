package kv

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"

	"eiderhitch/internal/wire"
)

// The URL paths of the protocol.
const (
	listPath   = "/kv"
	itemsPath  = "/kv/"
	txnPath    = "/txn"
	watchPath  = "/watch"
	grantPath  = "/leases"
	leasesPath = "/leases/"
)

// ServeHTTP handles a request of the store's protocol.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == watchPath {
		s.serveWatch(w, r)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	if s.unavailable {
		reply(w, http.StatusServiceUnavailable, struct{}{})
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	switch path := r.URL.Path; {
	case path == listPath:
		s.serveList(w, r)
	case strings.HasPrefix(path, itemsPath):
		s.serveItem(w, strings.TrimPrefix(path, itemsPath))
	case path == txnPath:
		s.serveTxn(w, body)
	case path == grantPath:
		s.serveGrant(w, body)
	case strings.HasPrefix(path, leasesPath):
		s.serveLease(w, r)
	default:
		reply(w, http.StatusBadRequest, struct{}{})
	}
}

// serveItem handles a request for one key. The caller holds s.mu.
func (s *Store) serveItem(w http.ResponseWriter, key string) {
	e, ok := s.entries[key]
	if !ok {
		reply(w, http.StatusNotFound, wire.TxnResponse{Revision: s.revision})
		return
	}
	reply(w, http.StatusOK, wire.Item{Key: key, Value: e.value, Revision: e.revision})
}

// serveList handles a request for a page of keys. The caller holds s.mu.
func (s *Store) serveList(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, _ := strconv.Atoi(query.Get("most")) // 0 if it is missing or malformed: the page is empty
	keys := s.keysAfter(query.Get("starts"), query.Get("since"))
	page := wire.ItemPage{Revision: s.revision, HasMore: len(keys) > limit}
	for _, key := range keys[:min(len(keys), limit)] {
		e := s.entries[key]
		page.Items = append(page.Items, wire.Item{Key: key, Value: e.value, Revision: e.revision})
	}
	reply(w, http.StatusOK, page)
}

// reply writes a JSON response.
func reply(w http.ResponseWriter, status int, body any) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails only if the caller has closed the connection
}
