package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeServer is a stand-in for the state service. Each controller reaches it at an address of
// its own, so that the record shows which controller sent a request.
type storeServer struct {
	mu       sync.Mutex
	log      *record
	revision uint64
	entries  map[string]entry
	keys     []string // sorted
	history  []storeEvent
	leases   map[uint64]*storeLease
	nextID   uint64
	changed  chan struct{}
	requests *bucket
	writes   *bucket
	maxOps   int
	maxValue int
	// latency is the time that each answer takes.
	latency time.Duration
	// tooMany counts the answers 429 by controller, listed the pages of keys.
	tooMany, listed map[string]int
}

type entry struct {
	value    json.RawMessage
	revision uint64
	lease    uint64
}

type storeEvent struct {
	key      string
	value    json.RawMessage // nil: deleted
	revision uint64
}

type storeLease struct {
	ttl     time.Duration
	expires time.Time
}

const maxHistory = 10000

func newStore(log *record) *storeServer {
	s := &storeServer{log: log, entries: map[string]entry{}, leases: map[uint64]*storeLease{}, changed: make(chan struct{}),
		requests: newBucket(150, 150), writes: newBucket(60, 60), maxOps: 32, maxValue: 8 << 10,
		latency: 5 * time.Millisecond, tooMany: map[string]int{}, listed: map[string]int{}}
	go s.expireLeases()
	return s
}

// holder returns the controller that holds a leased key, and the key's revision.
func (s *storeServer) holder(key string) (string, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[key]
	if !ok {
		return "", 0
	}
	var v struct {
		N string `json:"n"`
	}
	_ = json.Unmarshal(e.value, &v)
	return v.N, e.revision
}

// heldBy returns the leased keys that a controller holds.
func (s *storeServer) heldBy(node string) []string {
	var held []string
	for _, key := range []string{"e/leader", "e/part/0", "e/part/1", "e/part/2"} {
		if name, _ := s.holder(key); name == node {
			held = append(held, key)
		}
	}
	return held
}

func (s *storeServer) expireLeases() {
	for {
		time.Sleep(20 * time.Millisecond)
		s.mu.Lock()
		now := time.Now()
		for id, l := range s.leases {
			if now.After(l.expires) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *storeServer) endLease(id uint64) {
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
	sort.Strings(keys)
	s.revision++
	for _, key := range keys {
		s.remove(key)
		s.history = append(s.history, storeEvent{key: key, revision: s.revision})
		s.log.add("state service: %s deleted, lease %d ended", key, id)
	}
	s.notify()
}

// put stores an entry. The caller holds the lock.
func (s *storeServer) put(key string, e entry) {
	if _, ok := s.entries[key]; !ok {
		i, _ := slices.BinarySearch(s.keys, key)
		s.keys = slices.Insert(s.keys, i, key)
	}
	s.entries[key] = e
}

// remove removes an entry. The caller holds the lock.
func (s *storeServer) remove(key string) {
	i, _ := slices.BinarySearch(s.keys, key)
	s.keys = slices.Delete(s.keys, i, i+1)
	delete(s.entries, key)
}

// value returns the value of a key, nil if there is none.
func (s *storeServer) value(key string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entries[key].value
}

// countBelow returns the number of keys with a prefix.
func (s *storeServer) countBelow(prefix string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, key := range s.keys {
		if strings.HasPrefix(key, prefix) {
			n++
		}
	}
	return n
}

// age stores a value under further keys, as if the days in which they were written had passed
// in a short time.
func (s *storeServer) age(keys []string, value json.RawMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, key := range keys {
		s.revision++
		s.put(key, entry{value: value, revision: s.revision})
		s.history = append(s.history, storeEvent{key: key, value: value, revision: s.revision})
	}
	s.notify()
}

func (s *storeServer) notify() {
	if n := len(s.history) - maxHistory; n > 0 {
		s.history = append([]storeEvent(nil), s.history[n:]...)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func reply(w http.ResponseWriter, status int, body any) {
	raw, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

type object map[string]any

// handler returns the service as one controller sees it.
func (s *storeServer) handler(node string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.requests.take(1) {
			s.mu.Lock()
			s.tooMany[node]++
			s.mu.Unlock()
			reply(w, 429, object{"error": "too many requests"})
			return
		}
		time.Sleep(s.latency)
		switch path := r.URL.Path; {
		case path == "/txn":
			s.txn(w, r, node)
		case path == "/watch":
			s.watch(w, r)
		case path == "/kv":
			s.list(w, r, node)
		case strings.HasPrefix(path, "/kv/"):
			s.get(w, strings.TrimPrefix(path, "/kv/"))
		case strings.HasPrefix(path, "/leases"):
			s.lease(w, r)
		default:
			reply(w, 400, object{"error": "malformed"})
		}
	})
}

type txnBody struct {
	If []struct {
		K     string `json:"k"`
		Stamp uint64 `json:"stamp"`
	} `json:"if"`
	Then []struct {
		Write   string          `json:"write"`
		Drop    string          `json:"drop"`
		V       json.RawMessage `json:"v"`
		Mooring uint64          `json:"mooring"`
	} `json:"then"`
}

func (s *storeServer) txn(w http.ResponseWriter, r *http.Request, node string) {
	var t txnBody
	if r.ContentLength > 64<<10 || json.NewDecoder(r.Body).Decode(&t) != nil || len(t.Then) > s.maxOps || len(t.If) > 4*s.maxOps {
		reply(w, 400, object{"error": "malformed"})
		return
	}
	for _, c := range t.Then {
		if len(c.V) > s.maxValue {
			reply(w, 400, object{"error": "value too large"})
			return
		}
	}
	if !s.writes.take(float64(len(t.Then))) {
		reply(w, 429, object{"error": "too many changes"})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range t.Then {
		if c.Mooring != 0 && s.leases[c.Mooring] == nil {
			reply(w, 400, object{"error": "no such lease"})
			return
		}
	}
	var failed []string
	for _, c := range t.If {
		if s.entries[c.K].revision != c.Stamp {
			failed = append(failed, c.K)
		}
	}
	if len(failed) > 0 {
		reply(w, 409, object{"failed": failed, "logmark": s.revision})
		return
	}
	if len(t.Then) > 0 {
		s.revision++
		for _, c := range t.Then {
			if c.Drop != "" {
				if _, ok := s.entries[c.Drop]; ok {
					s.remove(c.Drop)
					s.history = append(s.history, storeEvent{key: c.Drop, revision: s.revision})
				}
				s.log.add("state service: %s deletes %s at %d", node, c.Drop, s.revision)
				continue
			}
			s.put(c.Write, entry{value: c.V, revision: s.revision, lease: c.Mooring})
			s.history = append(s.history, storeEvent{key: c.Write, value: c.V, revision: s.revision})
			s.log.add("state service: %s writes %s = %s at %d", node, c.Write, shorten(c.V), s.revision)
		}
		s.notify()
	}
	reply(w, 200, object{"logmark": s.revision})
}

func shorten(raw []byte) string {
	if len(raw) > 160 {
		return string(raw[:160]) + "..."
	}
	return string(raw)
}

func (s *storeServer) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, _ := strconv.ParseUint(q.Get("since"), 10, 64)
	waitMS, _ := strconv.Atoi(q.Get("waitMs"))
	prefix := q.Get("starts")
	deadline := time.Now().Add(time.Duration(waitMS) * time.Millisecond)
	for {
		s.mu.Lock()
		if len(s.history) == maxHistory && since+1 < s.history[0].revision {
			s.mu.Unlock()
			reply(w, 410, object{"error": "too old"})
			return
		}
		news := []object{}
		i := sort.Search(len(s.history), func(i int) bool { return s.history[i].revision > since })
		for _, e := range s.history[i:] {
			switch {
			case !strings.HasPrefix(e.key, prefix):
			case e.value == nil:
				news = append(news, object{"drop": e.key, "stamp": e.revision})
			default:
				news = append(news, object{"write": e.key, "v": e.value, "stamp": e.revision})
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		left := time.Until(deadline)
		if len(news) > 0 || left <= 0 {
			reply(w, 200, object{"logmark": revision, "news": news})
			return
		}
		select {
		case <-changed:
		case <-time.After(left):
		case <-r.Context().Done():
			return
		}
	}
}

func (s *storeServer) list(w http.ResponseWriter, r *http.Request, node string) {
	q := r.URL.Query()
	most, err := strconv.Atoi(q.Get("most"))
	if err != nil || most > 1000 {
		most = 1000
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	prefix, since := q.Get("starts"), max(q.Get("starts"), q.Get("since"))
	first, found := slices.BinarySearch(s.keys, since)
	if found && since == q.Get("since") {
		first++
	}
	s.listed[node]++
	rows, size := []object{}, 0
	truncated := false
	for _, key := range s.keys[first:] {
		if !strings.HasPrefix(key, prefix) {
			break
		}
		e := s.entries[key]
		if size += len(key) + len(e.value) + 64; len(rows) == most || size > 512<<10 {
			truncated = true
			break
		}
		rows = append(rows, object{"k": key, "v": e.value, "stamp": e.revision})
	}
	reply(w, 200, object{"rows": rows, "truncated": truncated, "logmark": s.revision})
}

func (s *storeServer) get(w http.ResponseWriter, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[key]
	if !ok {
		reply(w, 404, object{"logmark": s.revision})
		return
	}
	reply(w, 200, object{"k": key, "v": e.value, "stamp": e.revision, "mooring": e.lease})
}

func (s *storeServer) lease(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.URL.Path == "/leases" {
		var body struct {
			LifeMS int64 `json:"lifeMs"`
		}
		if json.NewDecoder(r.Body).Decode(&body) != nil || body.LifeMS < 100 || body.LifeMS > 600000 {
			reply(w, 400, object{"error": "malformed"})
			return
		}
		s.nextID++
		ttl := time.Duration(body.LifeMS) * time.Millisecond
		s.leases[s.nextID] = &storeLease{ttl, time.Now().Add(ttl)}
		reply(w, 200, object{"mooring": s.nextID})
		return
	}
	var id uint64
	parts := strings.Split(r.URL.Path, "/")
	_, _ = fmt.Sscan(parts[2], &id)
	l := s.leases[id]
	if l == nil {
		reply(w, 404, object{"error": "no such lease"})
		return
	}
	if r.Method == http.MethodDelete {
		s.endLease(id)
	} else {
		l.expires = time.Now().Add(l.ttl)
	}
	reply(w, 200, object{"mooring": id})
}

// bucket is a rate limit that allows bursts.
type bucket struct {
	mu         sync.Mutex
	rate, size float64
	tokens     float64
	at         time.Time
}

func newBucket(rate, size float64) *bucket {
	return &bucket{rate: rate, size: size, tokens: size, at: time.Now()}
}

func (b *bucket) take(n float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.tokens = min(b.size, b.tokens+b.rate*now.Sub(b.at).Seconds())
	b.at = now
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}
