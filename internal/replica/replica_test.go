package replica_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"eiderhitch/internal/replica"
	"eiderhitch/internal/store"
	"eiderhitch/internal/wire"
)

// valueMap is a Handler that keeps the current value of each key.
type valueMap map[string]string

func (m valueMap) PutValue(key string, value json.RawMessage, _ uint64) { m[key] = string(value) }
func (m valueMap) DeleteValue(key string, _ uint64)                     { delete(m, key) }
func (m valueMap) ChangesApplied(time.Time)                             {}

// fakeStore is an in-memory key-value store that keeps its whole history.
type fakeStore struct {
	mu      sync.Mutex
	values  map[string]wire.Item
	history []wire.Event
	err     error // result of all calls
	// watches is the number of calls of Watch.
	watches int
	// pages is the number of calls of ListPage. refusePage reports whether the call with a number is
	// refused; nil means that none is.
	pages      int
	refusePage func(call int) bool
	// compacted makes watches from before this revision fail.
	compacted uint64
}

func newFakeStore() *fakeStore { return &fakeStore{values: map[string]wire.Item{}} }

func (s *fakeStore) revision() uint64 { return uint64(len(s.history)) }

// put stores a value, or deletes the key if value is empty, and returns the new revision.
func (s *fakeStore) put(key, value string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	revision := s.revision() + 1
	event := wire.Event{Put: key, Value: json.RawMessage(value), Revision: revision}
	if value == "" {
		event = wire.Event{Delete: key, Revision: revision}
		delete(s.values, key)
	} else {
		s.values[key] = wire.Item{Key: key, Value: event.Value, Revision: revision}
	}
	s.history = append(s.history, event)
	return revision
}

// fail makes all calls return err until the next fail. With nil, calls succeed again.
func (s *fakeStore) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.err = err
}

// fakePageSize is the number of keys on a page of the fake store.
const fakePageSize = 3

// ListPage returns the next fakePageSize keys, or refuses the request.
func (s *fakeStore) ListPage(_ context.Context, _, after string) (*wire.ItemPage, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pages++
	if s.err != nil {
		return nil, s.err
	}
	if s.refusePage != nil && s.refusePage(s.pages) {
		return nil, store.ErrThrottled
	}
	items := slices.Collect(maps.Values(s.values))
	slices.SortFunc(items, func(x, y wire.Item) int { return strings.Compare(x.Key, y.Key) })
	items = slices.DeleteFunc(items, func(item wire.Item) bool { return item.Key <= after })
	return &wire.ItemPage{Items: items[:min(len(items), fakePageSize)], HasMore: len(items) > fakePageSize, Revision: s.revision()}, nil
}

// pageCount returns the number of requests for pages so far.
func (s *fakeStore) pageCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pages
}

// list returns all keys and the revision at which they were read.
func (s *fakeStore) list() ([]wire.Item, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Values(s.values)), s.revision()
}

func (s *fakeStore) Watch(_ context.Context, _ string, since uint64, _ time.Duration) (*wire.WatchResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watches++
	if s.err != nil {
		return nil, s.err
	}
	if since < s.compacted {
		return nil, store.ErrCompacted
	}
	return &wire.WatchResponse{Revision: s.revision(), Events: s.history[min(since, s.revision()):]}, nil
}

func (s *fakeStore) contents() valueMap {
	out := valueMap{}
	for key, item := range s.values {
		out[key] = string(item.Value)
	}
	return out
}

// deliveryModel makes random writes to a store and delivers them to a replica in a random order.
type deliveryModel struct {
	store   *fakeStore
	replica *replica.Replica
	// results apply the controller's own writes. They may arrive late and more than once.
	results []func()
}

// step makes one random write or one random delivery.
func (d *deliveryModel) step(t *rapid.T) {
	switch rapid.SampledFrom([]string{"write", "result", "watch", "load"}).Draw(t, "step") {
	case "write":
		key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
		change := wire.Change{Put: key, Value: json.RawMessage(fmt.Sprint(d.store.revision()))}
		if rapid.Bool().Draw(t, "delete") {
			change = wire.Change{Delete: key}
		}
		revision := d.store.put(key, string(change.Value))
		d.results = append(d.results, func() { d.replica.ApplyTxn([]wire.Change{change}, revision) })
	case "result":
		if len(d.results) > 0 {
			d.results[rapid.IntRange(0, len(d.results)-1).Draw(t, "result")]()
		}
	case "watch":
		changes, _ := d.store.Watch(t.Context(), "", d.replica.Cursor(), 0)
		d.replica.Apply(changes)
	case "load":
		items, revision := d.store.list()
		d.replica.Load(items, revision, &wire.WatchResponse{Revision: revision})
	}
}

// A replica that has seen all changes has the same content as the store, regardless of the order
// in which results of its own writes, watches and full reads arrived. Otherwise a late result
// could restore a deleted or outdated value.
func TestReplicaConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		kv, values := newFakeStore(), valueMap{}
		r := replica.New(values)
		r.Load(nil, 0, &wire.WatchResponse{})
		d := &deliveryModel{store: kv, replica: r}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			d.step(t)
		}
		changes, _ := kv.Watch(t.Context(), "", r.Cursor(), 0)
		r.Apply(changes)
		for _, result := range d.results {
			result()
		}
		if want := kv.contents(); !maps.Equal(values, want) {
			t.Fatalf("the replica contains %v, the store contains %v", values, want)
		}
		for key, item := range kv.values {
			if got := r.Revision(key); got != item.Revision {
				t.Fatalf("revision of %s: got %d, want %d", key, got, item.Revision)
			}
		}
	})
}

// A value that moved between two keys while the pages of a full read were listed is seen once,
// because Load also applies the changes since the first page.
func TestLoadAppliesChangesSinceFirstPage(t *testing.T) {
	values := valueMap{}
	r := replica.New(values)
	stale := []wire.Item{{Key: "a", Value: json.RawMessage("1"), Revision: 1}, {Key: "b", Value: json.RawMessage("1"), Revision: 3}}
	r.Load(stale, 1, &wire.WatchResponse{Revision: 3, Events: []wire.Event{{Delete: "a", Revision: 2}, {Put: "b", Value: json.RawMessage("1"), Revision: 3}}})
	if want := (valueMap{"b": "1"}); !maps.Equal(values, want) {
		t.Errorf("loaded %v, want %v", values, want)
	}
}

// eventLoop runs functions immediately, under a lock that replaces the loop's goroutine.
type eventLoop struct{ lock chan struct{} }

func newEventLoop() eventLoop { return eventLoop{make(chan struct{}, 1)} }

func (l eventLoop) Now() time.Time { return time.Now() }

func (l eventLoop) Enqueue(f func()) {
	l.lock <- struct{}{}
	defer func() { <-l.lock }()
	f()
}

func (l eventLoop) Call(_ context.Context, f func()) bool {
	l.Enqueue(f)
	return true
}

// advanceTime sleeps for d and then waits until all goroutines of the test are idle.
func advanceTime(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func newReader(t *testing.T, kv *fakeStore) (*replica.Reader, *replica.Replica, eventLoop) {
	return newReaderInto(t, kv, valueMap{})
}

// newReaderInto returns a reader whose replica passes the changes to values.
func newReaderInto(t *testing.T, kv *fakeStore, values valueMap) (*replica.Reader, *replica.Replica, eventLoop) {
	loop, r := newEventLoop(), replica.New(values)
	config := replica.Config{ControllerCount: 1, RequestsPerSecond: 100, OnLoaded: func() {}, Archive: func(items []wire.Item, _ uint64) []wire.Item { return items },
		Jitter: func(time.Duration) time.Duration { return 0 }, Log: slog.New(slog.DiscardHandler)}
	return replica.NewReader(t.Context(), config, r, kv, loop), r, loop
}

// Reads that are requested while one is in progress share the next one, which costs a single
// request and begins after all of them were requested.
func TestConcurrentReadsAreShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := newFakeStore()
		reader, r, loop := newReader(t, kv)
		r.Load(nil, 0, &wire.WatchResponse{})
		advanceTime(time.Second)
		succeeded := 0
		loop.Enqueue(func() {
			for range 5 {
				reader.AfterRead(func(err error) {
					if err == nil {
						succeeded++
					}
				})
			}
		})
		advanceTime(time.Second)
		if succeeded != 5 || kv.watches != 2 {
			t.Errorf("%d of 5 reads succeeded with %d requests, want all 5 with 2 requests", succeeded, kv.watches)
		}
	})
}

// AfterRead reports the failure of a read; AfterSuccessfulRead repeats the read until it succeeds.
func TestFailedReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := newFakeStore()
		reader, r, loop := newReader(t, kv)
		var readErr error
		loop.Enqueue(func() { reader.AfterRead(func(err error) { readErr = err }) })
		advanceTime(time.Second)
		if !errors.Is(readErr, replica.ErrNotLoaded) {
			t.Errorf("before a full read: got error %v, want %v", readErr, replica.ErrNotLoaded)
		}
		r.Load(nil, 0, &wire.WatchResponse{})
		kv.fail(store.ErrNotExecuted)
		succeeded := false
		loop.Enqueue(func() {
			reader.AfterRead(func(err error) { readErr = err })
			reader.AfterSuccessfulRead(func() { succeeded = true })
		})
		advanceTime(5 * time.Second)
		if !errors.Is(readErr, store.ErrNotExecuted) || succeeded {
			t.Errorf("while the store refuses requests: error %v, successful read: %v", readErr, succeeded)
		}
		kv.fail(nil)
		advanceTime(time.Second)
		if !succeeded {
			t.Error("AfterSuccessfulRead did not call back after the store recovered")
		}
	})
}

// Follow reads all keys once and then only changes. If the store no longer keeps the changes since
// the cursor, Follow reads all keys again.
func TestFollowLoadsThenWatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := newFakeStore()
		kv.put("a", "1")
		reader, r, _ := newReader(t, kv)
		ctx, cancel := context.WithCancel(t.Context())
		finished := make(chan struct{})
		go func() { defer close(finished); reader.Follow(ctx) }()
		advanceTime(time.Second)
		kv.put("b", "1")
		advanceTime(time.Second)
		if !r.IsLoaded() || r.Revision("b") != 2 || !r.IsFreshWithin(time.Second, time.Now()) {
			t.Errorf("the replica does not follow the store: loaded: %v, revision of b: %d, want 2", r.IsLoaded(), r.Revision("b"))
		}
		kv.fail(store.ErrCompacted)
		kv.put("a", "")
		advanceTime(time.Second)
		kv.fail(nil)
		advanceTime(time.Second)
		if r.Revision("a") != 0 || r.Cursor() != 3 {
			t.Errorf("after a compaction: revision of a is %d, want 0; cursor is %d, want 3", r.Revision("a"), r.Cursor())
		}
		cancel()
		<-finished
	})
}
