package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// This file is the stand-in for the state service (PROTOCOL, "Controller nodes -> state service").

type row struct {
	Key   string          `json:"k"`
	Value json.RawMessage `json:"v"`
	Stamp uint64          `json:"stamp"`
	Lease uint64          `json:"mooring,omitempty"`
}

type change struct {
	Write string          `json:"write,omitempty"`
	Drop  string          `json:"drop,omitempty"`
	Value json.RawMessage `json:"v,omitempty"`
	Lease uint64          `json:"mooring,omitempty"`
	Stamp uint64          `json:"stamp,omitempty"`
}

type transaction struct {
	If []struct {
		Key   string `json:"k"`
		Stamp uint64 `json:"stamp"`
	} `json:"if"`
	Then []change `json:"then"`
}

type stateLease struct {
	life    time.Duration
	expires time.Time
}

// bucket allows perSecond events a second, with bursts worth burst seconds.
type bucket struct {
	perSecond, burst, level float64
	at                      time.Time
}

func newBucket(perSecond, burst float64) *bucket {
	return &bucket{perSecond: perSecond, burst: burst, level: perSecond * burst, at: time.Now()}
}

func (b *bucket) take(n float64) bool {
	now := time.Now()
	b.level = min(b.perSecond*b.burst, b.level+now.Sub(b.at).Seconds()*b.perSecond)
	b.at = now
	if b.level < n {
		return false
	}
	b.level -= n
	return true
}

// historyLength is how many changes the service retains for watches.
const historyLength = 10000

// State is the state service.
type State struct {
	site *Site
	log  *Log

	mu        sync.Mutex
	logmark   uint64
	rows      map[string]row
	history   []change
	leases    map[uint64]*stateLease
	nextLease uint64
	changed   chan struct{}
	requests  *bucket
	writes    *bucket
}

func newState(site *Site, log *Log) *State {
	s := &State{site: site, log: log, rows: map[string]row{}, leases: map[uint64]*stateLease{}, changed: make(chan struct{}),
		requests: newBucket(site.StateRPS, 1), writes: newBucket(site.StateWriteRPS, 1)}
	go func() {
		for range time.Tick(50 * time.Millisecond) {
			s.mu.Lock()
			s.expire()
			s.mu.Unlock()
		}
	}()
	return s
}

func (s *State) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *State) record(c change) {
	s.history = append(s.history, c)
	if len(s.history) > 2*historyLength {
		s.history = append([]change(nil), s.history[len(s.history)-historyLength:]...)
	}
}

func (s *State) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.endLease(id)
		}
	}
}

func (s *State) endLease(id uint64) {
	delete(s.leases, id)
	var keys []string
	for k, r := range s.rows {
		if r.Lease == id {
			keys = append(keys, k)
		}
	}
	if len(keys) == 0 {
		return
	}
	sort.Strings(keys)
	s.logmark++
	for _, k := range keys {
		delete(s.rows, k)
		s.record(change{Drop: k, Stamp: s.logmark})
		s.log.printf("state: lease %d ended, %s is deleted", id, k)
	}
	s.notify()
}

func answer(w http.ResponseWriter, status int, body any) {
	raw, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

// handler serves the requests of one controller.
func (s *State) handler(node string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(io.LimitReader(r.Body, 70<<10))
		if err != nil {
			return
		}
		time.Sleep(2 * time.Millisecond)
		s.mu.Lock()
		if r.URL.Path == "/watch" {
			s.watch(w, r)
			return
		}
		defer s.mu.Unlock()
		s.expire()
		if !s.requests.take(1) {
			answer(w, 429, map[string]string{"error": "too many requests"})
			return
		}
		switch {
		case r.URL.Path == "/kv":
			s.list(w, r)
		case strings.HasPrefix(r.URL.Path, "/kv/"):
			if e, ok := s.rows[strings.TrimPrefix(r.URL.Path, "/kv/")]; ok {
				answer(w, 200, e)
			} else {
				answer(w, 404, map[string]uint64{"logmark": s.logmark})
			}
		case r.URL.Path == "/txn":
			s.txn(w, node, body)
		case r.URL.Path == "/leases":
			var q struct {
				LifeMs int64 `json:"lifeMs"`
			}
			if json.Unmarshal(body, &q) != nil || q.LifeMs < 100 || q.LifeMs > 600000 {
				answer(w, 400, map[string]string{"error": "malformed"})
				return
			}
			s.nextLease++
			life := time.Duration(q.LifeMs) * time.Millisecond
			s.leases[s.nextLease] = &stateLease{life, time.Now().Add(life)}
			answer(w, 200, map[string]uint64{"mooring": s.nextLease})
		case strings.HasPrefix(r.URL.Path, "/leases/"):
			id, _ := strconv.ParseUint(strings.Split(r.URL.Path, "/")[2], 10, 64)
			l := s.leases[id]
			if l == nil {
				answer(w, 404, map[string]string{"error": "no such lease"})
				return
			}
			if r.Method == http.MethodDelete {
				s.endLease(id)
			} else {
				l.expires = time.Now().Add(l.life)
			}
			answer(w, 200, struct{}{})
		default:
			answer(w, 400, map[string]string{"error": "malformed"})
		}
	})
}

func (s *State) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	most, err := strconv.Atoi(q.Get("most"))
	if err != nil || most > 1000 {
		most = 1000
	}
	var keys []string
	for k := range s.rows {
		if strings.HasPrefix(k, q.Get("starts")) && k > q.Get("since") {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	rows, bytes, truncated := []row{}, 0, false
	for _, k := range keys {
		e := s.rows[k]
		bytes += len(e.Value) + len(k) + 60
		if len(rows) == most || bytes > 500<<10 {
			truncated = true
			break
		}
		rows = append(rows, e)
	}
	answer(w, 200, map[string]any{"rows": rows, "truncated": truncated, "logmark": s.logmark})
}

func (s *State) txn(w http.ResponseWriter, node string, body []byte) {
	var t transaction
	bad := json.Unmarshal(body, &t) != nil || len(body) > 64<<10 || len(t.Then) > s.site.StateTxnOps || len(t.If) > 4*s.site.StateTxnOps
	for _, c := range t.Then {
		bad = bad || (c.Write == "") == (c.Drop == "") || len(c.Value) > int(s.site.StateValueKB*1024) || len(c.Write+c.Drop) > 200
	}
	if bad {
		s.log.printf("state: a transaction of %s is malformed or beyond the limits", node)
		answer(w, 400, map[string]string{"error": "malformed"})
		return
	}
	if !s.writes.take(float64(len(t.Then))) {
		answer(w, 429, map[string]string{"error": "too many changes"})
		return
	}
	for _, c := range t.Then {
		if c.Lease != 0 && s.leases[c.Lease] == nil {
			answer(w, 400, map[string]string{"error": "no such lease"})
			return
		}
	}
	failed := []string{}
	for _, c := range t.If {
		if s.rows[c.Key].Stamp != c.Stamp {
			failed = append(failed, c.Key)
		}
	}
	if len(failed) > 0 {
		answer(w, 409, map[string]any{"failed": failed, "logmark": s.logmark})
		return
	}
	if len(t.Then) > 0 {
		s.logmark++
		for _, c := range t.Then {
			c.Stamp = s.logmark
			if c.Drop != "" {
				if _, ok := s.rows[c.Drop]; !ok {
					continue
				}
				delete(s.rows, c.Drop)
			} else {
				s.rows[c.Write] = row{c.Write, c.Value, s.logmark, c.Lease}
				if c.Lease != 0 {
					s.log.printf("state: %s holds %s, revision %d", node, c.Write, s.logmark)
				}
			}
			c.Lease = 0
			s.record(c)
		}
		s.notify()
	}
	answer(w, 200, map[string]uint64{"logmark": s.logmark})
}

// watch answers a watch. It is called with s.mu held and releases it.
func (s *State) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, _ := strconv.ParseUint(q.Get("since"), 10, 64)
	waitMs, _ := strconv.Atoi(q.Get("waitMs"))
	deadline := time.Now().Add(time.Duration(min(waitMs, 60000)) * time.Millisecond)
	if !s.requests.take(1) {
		s.mu.Unlock()
		answer(w, 429, map[string]string{"error": "too many requests"})
		return
	}
	for {
		if len(s.history) > historyLength && s.history[len(s.history)-historyLength].Stamp > since {
			s.mu.Unlock()
			answer(w, 410, map[string]string{"error": "too old"})
			return
		}
		news := []change{}
		first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Stamp > since })
		for _, c := range s.history[first:] {
			if strings.HasPrefix(c.Write+c.Drop, q.Get("starts")) {
				news = append(news, c)
			}
		}
		if len(news) > 0 || !time.Now().Before(deadline) {
			mark := s.logmark
			s.mu.Unlock()
			answer(w, 200, map[string]any{"logmark": mark, "news": news})
			return
		}
		changed := s.changed
		s.mu.Unlock()
		wait := 100 * time.Millisecond
		if left := time.Until(deadline); left > 0 && left < wait {
			wait = left
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-time.After(wait):
		}
		s.mu.Lock()
		s.expire()
	}
}

// holder returns the controller that holds a leased key, or "".
func (s *State) holder(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var v struct {
		Node string `json:"n"`
	}
	if e, ok := s.rows[key]; ok {
		_ = json.Unmarshal(e.Value, &v)
	}
	return v.Node
}

// stored returns the values below a prefix, for the record.
func (s *State) stored(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for k, e := range s.rows {
		if strings.HasPrefix(k, prefix) {
			out = append(out, fmt.Sprintf("%s = %s", k, e.Value))
		}
	}
	sort.Strings(out)
	return out
}
