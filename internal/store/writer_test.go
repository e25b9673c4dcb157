package store_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"eiderhitch/internal/simulation"
	"eiderhitch/internal/simulation/network"
	"eiderhitch/internal/store"
	"eiderhitch/internal/wire"
)

func withWriter(t *testing.T, judge network.Policy, f func(t *testing.T, w *simulation.Environment, writer *store.Writer, c *store.Client)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w := simulation.New(ctx, nil, nil)
		net := w.Network.NewTransport()
		net.SetPolicy(judge)
		c := store.NewClient("state:1", net)
		writer := store.NewWriter(c, 32, 60, 3, halfOf)
		done := make(chan struct{})
		go func() { defer close(done); writer.Run(ctx) }()
		defer func() { cancel(); <-done; time.Sleep(time.Minute) }()
		f(t, w, writer, c)
	})
}

func put(key string, stamp uint64) ([]wire.Condition, []wire.Change) {
	return []wire.Condition{{Key: key, Revision: stamp}}, []wire.Change{{Put: key, Value: json.RawMessage("1")}}
}

// Every write gets one result, whatever else shares its transaction, and the
// limits of a transaction hold.
func TestWritesAreIndependent(t *testing.T) {
	withWriter(t, nil, func(t *testing.T, w *simulation.Environment, writer *store.Writer, _ *store.Client) {
		var mu sync.Mutex
		got := map[int]error{}
		var wg sync.WaitGroup
		for i := range 200 {
			write := &store.Write{}
			write.Conditions, write.Changes = put(fmt.Sprintf("k%d", i), uint64(i%5/4)) // each fifth must fail
			wg.Add(1)
			write.OnDone = func(_ uint64, err error) {
				defer wg.Done()
				mu.Lock()
				defer mu.Unlock()
				if _, ok := got[i]; ok {
					t.Errorf("write %d has two results", i)
				}
				got[i] = err
			}
			if !writer.Submit(write) {
				t.Fatal("queue is full")
			}
		}
		wg.Wait()
		for i := range 200 {
			if fails := i%5 == 4; errors.Is(got[i], store.ErrConflict) != fails || !fails && got[i] != nil {
				t.Errorf("write %d: %v", i, got[i])
			}
		}
		if w.Store.Stats().OverLimits > 0 {
			t.Error("a transaction was beyond the limits")
		}
	})
}

// "Cancelled" and "done" of one job, submitted together, must not both be granted.
func TestRivalsDoNotShareATransaction(t *testing.T) {
	withWriter(t, nil, func(t *testing.T, _ *simulation.Environment, writer *store.Writer, _ *store.Client) {
		results := make(chan error, 8)
		for range 8 {
			write := &store.Write{OnDone: func(_ uint64, err error) { results <- err }}
			write.Conditions, write.Changes = put("job", 0)
			writer.Submit(write)
		}
		granted := 0
		for range 8 {
			if err := <-results; err == nil {
				granted++
			} else if !errors.Is(err, store.ErrConflict) {
				t.Error(err)
			}
		}
		if granted != 1 {
			t.Errorf("%d rivals were granted", granted)
		}
	})
}

// A try without an answer that is applied late can't be applied twice, and an
// urgent write is answered at once while the store refuses.
func TestUnansweredAndRefused(t *testing.T) {
	tries := 0
	withWriter(t, func(_ *http.Request) network.Fault {
		if tries++; tries == 1 {
			return network.ExecuteLate
		}
		return network.Deliver
	}, func(t *testing.T, w *simulation.Environment, writer *store.Writer, c *store.Client) {
		results := make(chan error, 2)
		write := &store.Write{OnDone: func(_ uint64, err error) { results <- err }}
		write.Conditions, write.Changes = put("k", 0)
		writer.Submit(write)
		if err := <-results; err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Second)
		items, _, err := c.List(t.Context(), "k")
		if err != nil || len(items) != 1 || items[0].Revision != 1 {
			t.Fatalf("%v %v", items, err)
		}
		w.Store.SetDown(true)
		start := time.Now()
		write = &store.Write{Interactive: true, OnDone: func(_ uint64, err error) { results <- err }}
		write.Conditions, write.Changes = put("k2", 0)
		writer.Submit(write)
		if err := <-results; !errors.Is(err, store.ErrNotExecuted) || time.Since(start) > time.Second {
			t.Errorf("%v after %v", err, time.Since(start))
		}
	})
}

// submitSteadily submits writes, each of its own key below prefix, at a rate until ctx ends, as
// long as they don't queue for seconds. It counts those that are stored.
func submitSteadily(ctx context.Context, writer *store.Writer, prefix string, perSecond int, stored *atomic.Int64) {
	for n := 0; ctx.Err() == nil; n++ {
		write := &store.Write{OnDone: func(_ uint64, err error) {
			if err == nil {
				stored.Add(1)
			}
		}}
		write.Conditions, write.Changes = put(fmt.Sprintf("%s/%d", prefix, n), 0)
		if writer.BacklogDuration() < 2*time.Second {
			writer.Submit(write)
		}
		time.Sleep(time.Second / time.Duration(perSecond))
	}
}

// The limit of changes is for all controllers together, and they need different
// shares of it: without a word between them, three writers, one of whom wants
// almost all, neither overload the store nor leave much of its limit unused.
func TestWritersShareTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w := simulation.New(ctx, nil, nil)
		w.Store.SetRate(60)
		var wg sync.WaitGroup
		var stored [3]atomic.Int64
		for i, want := range []int{200, 10, 10} {
			writer := store.NewWriter(store.NewClient("state:1", w.Network.NewTransport()), 32, 60, 3, halfOf)
			wg.Go(func() { writer.Run(ctx) })
			wg.Go(func() { submitSteadily(ctx, writer, fmt.Sprintf("k%d", i), want, &stored[i]) })
		}
		time.Sleep(time.Minute)
		cancel()
		wg.Wait()
		time.Sleep(time.Minute)
		a, b, c := stored[0].Load(), stored[1].Load(), stored[2].Load()
		if a+b+c < 60*60*3/4 || b < 500 || c < 500 {
			t.Errorf("%d, %d and %d changes stored in a minute", a, b, c)
		}
		if w.Store.Stats().Throttled*5 > w.Store.Stats().Admitted {
			t.Errorf("%d transactions refused, %d taken", w.Store.Stats().Throttled, w.Store.Stats().Admitted)
		}
	})
}

// A contested write may fail, and then all that shares its transaction is sent,
// and counted, again: it shares with few.
func TestContestedShareWithFew(t *testing.T) {
	withWriter(t, nil, func(t *testing.T, w *simulation.Environment, writer *store.Writer, _ *store.Client) {
		var wg sync.WaitGroup
		for i := range 60 {
			wg.Add(1)
			write := &store.Write{ConflictProne: true, OnDone: func(uint64, error) { wg.Done() }}
			write.Conditions, write.Changes = put(fmt.Sprintf("k%d", i), 0)
			writer.Submit(write)
		}
		wg.Wait()
		if w.Store.Stats().MostChanges == 0 || w.Store.Stats().MostChanges > 8 {
			t.Errorf("%d contested changes in one transaction", w.Store.Stats().MostChanges)
		}
	})
}

// Early writes don't wait behind usual ones that were submitted before them.
func TestEarlyGoFirst(t *testing.T) {
	withWriter(t, nil, func(t *testing.T, w *simulation.Environment, writer *store.Writer, _ *store.Client) {
		w.Store.SetRate(60)
		var mu sync.Mutex
		var order []bool
		var wg sync.WaitGroup
		for i := range 400 {
			early := i >= 350
			wg.Add(1)
			write := &store.Write{MediumPriority: early, OnDone: func(uint64, error) {
				defer wg.Done()
				mu.Lock()
				defer mu.Unlock()
				order = append(order, early)
			}}
			write.Conditions, write.Changes = put(fmt.Sprintf("k%d", i), 0)
			writer.Submit(write)
		}
		wg.Wait()
		late := 0
		for _, early := range order[150:] {
			if early {
				late++
			}
		}
		if late > 0 {
			t.Errorf("%d of 50 early writes are not among the first 150 of 400", late)
		}
	})
}

// A write that is cancelled by the time of its turn fails nothing that would have shared
// its transaction.
func TestCancelledWrites(t *testing.T) {
	withWriter(t, nil, func(t *testing.T, w *simulation.Environment, writer *store.Writer, c *store.Client) {
		w.Store.SetRate(60)
		var wg sync.WaitGroup
		var stored, cancelled atomic.Int64
		var units []*store.Write
		for i := range 300 {
			wg.Add(1)
			bad := i >= 100 && i%10 == 0
			write := &store.Write{OnDone: func(_ uint64, err error) {
				defer wg.Done()
				switch {
				case err == nil:
					stored.Add(1)
				case bad && errors.Is(err, store.ErrConflict):
					cancelled.Add(1)
				}
			}}
			write.Conditions, write.Changes = put(fmt.Sprintf("k%d", i), 0)
			if bad {
				write.Conditions[0].Revision = 99 // would fail
				units = append(units, write)
			}
			writer.Submit(write)
		}
		for _, write := range units {
			write.Cancel()
		}
		wg.Wait()
		if stored.Load() != 280 || cancelled.Load() != 20 {
			t.Errorf("%d writes are stored and %d cancelled", stored.Load(), cancelled.Load())
		}
		if n := c.TakeStats().Conflicts; n > 0 {
			t.Errorf("%d transactions failed for cancelled writes", n)
		}
	})
}

// halfOf is a jitter without chance.
func halfOf(d time.Duration) time.Duration { return d / 2 }
