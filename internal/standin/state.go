// Package standin has small in-process stand-ins for the state service, the
// cloud and the workers, written from the protocols, for tests. They run on
// whatever clock the test runs on.
package standin

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"eiderhitch/internal/wire"
)

type stored struct {
	raw   json.RawMessage
	stamp uint64
	lease uint64
}

type leaseState struct {
	ttl  time.Duration
	ends time.Time
}

// State is a stand-in for the state service.
type State struct {
	mu      sync.Mutex
	rev     uint64
	keys    map[string]stored
	log     []wire.Event
	leases  map[uint64]*leaseState
	nextID  uint64
	changed chan struct{}
	down    bool
	// MaxOps and MaxValue are the limits that a transaction must keep.
	MaxOps, MaxValue int
	// Excess counts transactions beyond the limits.
	Excess int
	// WriteRPS limits the changes a second of all callers together, with bursts
	// of one second's worth; 0: no limit.
	WriteRPS float64
	// Refused counts the transactions that were too much, Taken the others.
	Refused, Taken int
	// Largest is the most changes that a transaction had.
	Largest int
	// before changes a transaction before it is carried out; nil: none.
	before func(*wire.Txn)
	bucket float64
	filled time.Time
}

// NewState returns an empty state service.
func NewState() *State {
	return &State{keys: map[string]stored{}, leases: map[uint64]*leaseState{}, changed: make(chan struct{}), MaxOps: 32, MaxValue: 8 << 10}
}

// SetDown begins or ends an outage; afterwards every lease has its full time.
func (s *State) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down && !down {
		for _, l := range s.leases {
			l.ends = time.Now().Add(l.ttl)
		}
	}
	s.down = down
}

// SetLimits sets how large a value and how many the changes of a transaction may be.
func (s *State) SetLimits(value, ops int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.MaxValue, s.MaxOps = value, ops
}

// Before has a function change each transaction before it is carried out, as if another
// caller's change came at that very moment.
func (s *State) Before(f func(*wire.Txn)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.before = f
}

// Larger counts the values beyond a size.
func (s *State) Larger(than int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, v := range s.keys {
		if len(v.raw) > than {
			n++
		}
	}
	return n
}

// Values are the stored values below prefix, by key.
func (s *State) Values(prefix string) map[string]json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]json.RawMessage{}
	for k, v := range s.keys {
		if strings.HasPrefix(k, prefix) {
			out[k] = v.raw
		}
	}
	return out
}

// History is every change so far.
func (s *State) History() []wire.Event {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.log)
}

// Keys lists the stored keys below prefix.
func (s *State) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for k := range s.keys {
		if strings.HasPrefix(k, prefix) {
			out = append(out, k)
		}
	}
	sort.Strings(out)
	return out
}

// expire ends overdue leases; called with the lock held.
func (s *State) expire() {
	if s.down {
		return
	}
	now := time.Now()
	for _, id := range slices.Sorted(maps.Keys(s.leases)) {
		if now.After(s.leases[id].ends) {
			s.end(id)
		}
	}
}

func (s *State) end(id uint64) {
	delete(s.leases, id)
	first := true
	for _, k := range slices.Sorted(maps.Keys(s.keys)) {
		if s.keys[k].lease == id {
			if first {
				s.rev++
				first = false
			}
			delete(s.keys, k)
			s.log = append(s.log, wire.Event{Delete: k, Revision: s.rev})
		}
	}
	if !first {
		s.wake()
	}
}

func (s *State) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func reply(w http.ResponseWriter, status int, v any) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// ServeHTTP answers as the protocol says.
func (s *State) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/watch" {
		s.watch(w, r)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if s.down {
		reply(w, http.StatusServiceUnavailable, struct{}{})
		return
	}
	body, _ := io.ReadAll(r.Body)
	switch {
	case r.URL.Path == "/kv":
		s.list(w, r)
	case strings.HasPrefix(r.URL.Path, "/kv/"):
		s.get(w, strings.TrimPrefix(r.URL.Path, "/kv/"))
	case r.URL.Path == "/txn":
		s.txn(w, body)
	case r.URL.Path == "/leases":
		var q wire.LeaseRequest
		_ = json.Unmarshal(body, &q)
		s.nextID++
		ttl := time.Duration(q.TTLMS) * time.Millisecond
		s.leases[s.nextID] = &leaseState{ttl: ttl, ends: time.Now().Add(ttl)}
		reply(w, http.StatusOK, wire.LeaseResponse{Lease: s.nextID})
	case strings.HasPrefix(r.URL.Path, "/leases/"):
		part := strings.Split(strings.TrimPrefix(r.URL.Path, "/leases/"), "/")
		id, _ := strconv.ParseUint(part[0], 10, 64)
		l := s.leases[id]
		if l == nil {
			reply(w, http.StatusNotFound, struct{}{})
			return
		}
		if r.Method == http.MethodDelete {
			s.end(id)
		} else {
			l.ends = time.Now().Add(l.ttl)
		}
		reply(w, http.StatusOK, struct{}{})
	default:
		reply(w, http.StatusBadRequest, struct{}{})
	}
}

func (s *State) get(w http.ResponseWriter, key string) {
	v, ok := s.keys[key]
	if !ok {
		reply(w, http.StatusNotFound, wire.TxnResponse{Revision: s.rev})
		return
	}
	reply(w, http.StatusOK, wire.Item{Key: key, Value: v.raw, Revision: v.stamp})
}

func (s *State) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	most, _ := strconv.Atoi(q.Get("most"))
	var keys []string
	for k := range s.keys {
		if strings.HasPrefix(k, q.Get("starts")) && k > q.Get("since") {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	page := wire.Page{Revision: s.rev, More: len(keys) > most}
	for _, k := range keys[:min(len(keys), most)] {
		page.Items = append(page.Items, wire.Item{Key: k, Value: s.keys[k].raw, Revision: s.keys[k].stamp})
	}
	reply(w, http.StatusOK, page)
}

func (s *State) txn(w http.ResponseWriter, body []byte) {
	var t wire.Txn
	if err := json.Unmarshal(body, &t); err != nil {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	if s.before != nil {
		s.before(&t)
	}
	tooMuch := len(t.Changes) > s.MaxOps || len(t.Conditions) > 4*s.MaxOps || len(body) > 64<<10
	for _, c := range t.Changes {
		tooMuch = tooMuch || len(c.Value) > s.MaxValue
	}
	if tooMuch {
		s.Excess++
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.Largest = max(s.Largest, len(t.Changes))
	if !s.admit(len(t.Changes)) {
		reply(w, http.StatusTooManyRequests, struct{}{})
		return
	}
	for _, c := range t.Changes {
		if c.Lease != 0 && s.leases[c.Lease] == nil {
			reply(w, http.StatusBadRequest, map[string]string{"error": "no such lease"})
			return
		}
	}
	ans := wire.TxnResponse{Revision: s.rev}
	for _, c := range t.Conditions {
		if s.keys[c.Key].stamp != c.Revision {
			ans.Failed = append(ans.Failed, c.Key)
		}
	}
	if len(ans.Failed) > 0 {
		reply(w, http.StatusConflict, ans)
		return
	}
	if len(t.Changes) > 0 {
		s.rev++
	}
	for _, c := range t.Changes {
		if c.Delete != "" {
			if _, ok := s.keys[c.Delete]; ok {
				delete(s.keys, c.Delete)
				s.log = append(s.log, wire.Event{Delete: c.Delete, Revision: s.rev})
			}
			continue
		}
		s.keys[c.Put] = stored{c.Value, s.rev, c.Lease}
		s.log = append(s.log, wire.Event{Put: c.Put, Value: c.Value, Revision: s.rev})
	}
	s.wake()
	ans.Revision = s.rev
	reply(w, http.StatusOK, ans)
}

// admit tells whether the limit of changes a second allows some more, and counts them.
func (s *State) admit(changes int) bool {
	if s.WriteRPS <= 0 {
		return true
	}
	now := time.Now()
	s.bucket = min(s.WriteRPS, s.bucket+now.Sub(s.filled).Seconds()*s.WriteRPS)
	s.filled = now
	if s.bucket < float64(changes) {
		s.Refused++
		return false
	}
	s.bucket -= float64(changes)
	s.Taken++
	return true
}

func (s *State) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, _ := strconv.ParseUint(q.Get("since"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	deadline := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		s.expire()
		if s.down && wait == 0 {
			s.mu.Unlock()
			reply(w, http.StatusServiceUnavailable, struct{}{})
			return
		}
		if !s.down {
			out := wire.WatchResponse{Revision: s.rev, Events: []wire.Event{}}
			for _, e := range s.log {
				if e.Revision > since && strings.HasPrefix(e.Put+e.Delete, q.Get("starts")) {
					out.Events = append(out.Events, e)
				}
			}
			if len(out.Events) > 0 || !time.Now().Before(deadline) {
				s.mu.Unlock()
				reply(w, http.StatusOK, out)
				return
			}
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-time.After(200 * time.Millisecond):
		}
	}
}
