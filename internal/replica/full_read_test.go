package replica_test

import (
	"fmt"
	"maps"
	"testing"
	"testing/synctest"
	"time"
)

// fullReadCase is a full read of many pages while other things happen.
type fullReadCase struct {
	name string
	// refuses reports whether the request with a number, counted from 1, is refused.
	refuses func(call int) bool
	// during is called every 100 ms until the read is complete.
	during func(kv *fakeStore, step int)
	// maxRequests is the largest number of requests for pages that the read may need.
	maxRequests int
}

// testKeyCount is the number of keys before a full read, on testPageCount pages.
const (
	testKeyCount  = 300
	testPageCount = testKeyCount / fakePageSize
)

// A full read gets to its end whatever others do, and the replica then has the content of the store.
// Controllers that started together refused each other requests, and each began again at the first
// page: with 150,000 finished jobs none of them ever answered a user again (review/1, forgotten).
func TestFullReadMakesProgress(t *testing.T) {
	nothing := func(*fakeStore, int) {}
	never := func(int) bool { return false }
	for _, x := range []fullReadCase{
		{"undisturbed", never, nothing, testPageCount},
		{"every second request is refused", func(call int) bool { return call%2 == 0 }, nothing, 2*testPageCount + 1},
		{"all but every tenth request are refused", func(call int) bool { return call%10 != 0 }, nothing, 10*testPageCount + 10},
		{"keys are put and deleted between the pages", func(call int) bool { return call%3 == 0 }, func(kv *fakeStore, step int) {
			kv.put(fmt.Sprintf("key-%04d", step*7%testKeyCount), "")
			kv.put(fmt.Sprintf("key-%04d", step*11%testKeyCount), fmt.Sprint(step))
			kv.put(fmt.Sprintf("new-%04d", step), "1")
		}, 2 * testPageCount},
	} {
		t.Run(x.name, func(t *testing.T) { synctest.Test(t, x.check) })
	}
}

// check runs the full read and compares the replica with the store.
func (x *fullReadCase) check(t *testing.T) {
	kv := newFakeStore()
	for i := range testKeyCount {
		kv.put(fmt.Sprintf("key-%04d", i), "0")
	}
	kv.refusePage = x.refuses
	values := valueMap{}
	reader, r, loop := newReaderInto(t, kv, values)
	go reader.Follow(t.Context())
	const limit = 10 * time.Minute
	start, step := time.Now(), 0
	loaded := false
	for !loaded && time.Since(start) < limit {
		step++
		x.during(kv, step)
		advanceTime(100 * time.Millisecond)
		loop.Call(t.Context(), func() { loaded = r.IsLoaded() })
	}
	if pages := kv.pageCount(); pages > x.maxRequests {
		t.Errorf("%d requests for pages, want at most %d", pages, x.maxRequests)
	}
	advanceTime(10 * time.Second)
	loop.Call(t.Context(), func() {
		if want := kv.contents(); !loaded || !maps.Equal(values, want) {
			t.Errorf("loaded: %v after %v; %d keys in the replica, want the %d of the store", loaded, time.Since(start), len(values), len(want))
		}
	})
}

// A full read that takes so long that the changes since its first page are no longer available begins
// again.
func TestFullReadRestartsAfterCompaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv, values := newFakeStore(), valueMap{}
		for i := range testKeyCount {
			kv.put(fmt.Sprintf("key-%04d", i), "0")
		}
		reader, r, loop := newReaderInto(t, kv, values)
		go reader.Follow(t.Context())
		advanceTime(100 * time.Millisecond)
		kv.mu.Lock()
		kv.compacted = testKeyCount + 1
		kv.mu.Unlock()
		kv.put("key-0000", "")
		advanceTime(time.Minute)
		loop.Call(t.Context(), func() {
			if !r.IsLoaded() || !maps.Equal(values, kv.contents()) {
				t.Errorf("loaded: %v, %d keys, want those of the store", r.IsLoaded(), len(values))
			}
		})
	})
}

// All controllers together send at most their share of the store's request rate for full reads, and at
// most the share of one second at once.
func TestFullReadIsPaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := newFakeStore()
		for i := range 3 * testKeyCount {
			kv.put(fmt.Sprintf("key-%04d", i), "0")
		}
		reader, _, _ := newReaderInto(t, kv, valueMap{}) // one controller, 100 requests a second
		go reader.Follow(t.Context())
		const share, burst = 50, 50
		for second := 1; second <= 4; second++ {
			advanceTime(time.Second)
			if pages, limit := kv.pageCount(), burst+share*second; pages > limit {
				t.Errorf("%d requests after %d s, want at most %d", pages, second, limit)
			}
		}
		if pages := kv.pageCount(); pages < 4*share {
			t.Errorf("%d requests after 4 s, want at least %d", pages, 4*share)
		}
	})
}
