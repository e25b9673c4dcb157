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

// withWriter runs f with a writer of at most 32 changes per transaction and a client, both connected
// to the simulated store. Requests of both are subject to the fault policy, which may be nil.
func withWriter(t *testing.T, policy network.FaultPolicy, f func(t *testing.T, env *simulation.Environment, writer *store.Writer, client *store.Client)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		env := simulation.New(ctx, nil, nil)
		net := env.Network.NewTransport()
		net.SetFaultPolicy(policy)
		client := store.NewClient("state:1", net)
		writer := store.NewWriter(client, 32, 60, 3, halfJitter)
		done := make(chan struct{})
		go func() { defer close(done); writer.Run(ctx) }()
		defer func() { cancel(); <-done; time.Sleep(time.Minute) }()
		f(t, env, writer, client)
	})
}

// put returns the condition that key has this revision, and a change that puts it.
func put(key string, revision uint64) ([]wire.Condition, []wire.Change) {
	return []wire.Condition{{Key: key, Revision: revision}}, []wire.Change{{Put: key, Value: json.RawMessage("1")}}
}

// Every write gets exactly one result, regardless of the other writes in its transaction, and no
// transaction exceeds the limits.
func TestWritesAreIndependent(t *testing.T) {
	withWriter(t, nil, func(t *testing.T, env *simulation.Environment, writer *store.Writer, _ *store.Client) {
		var mu sync.Mutex
		got := map[int]error{}
		var wg sync.WaitGroup
		for i := range 200 {
			write := &store.Write{}
			write.Conditions, write.Changes = put(fmt.Sprintf("k%d", i), uint64(i%5/4)) // every fifth one has a condition that fails
			wg.Add(1)
			write.OnDone = func(_ uint64, err error) {
				defer wg.Done()
				mu.Lock()
				defer mu.Unlock()
				if _, ok := got[i]; ok {
					t.Errorf("write %d got two results", i)
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
				t.Errorf("write %d: unexpected result %v", i, got[i])
			}
		}
		if env.Store.Stats().RejectedTxns > 0 {
			t.Error("a transaction exceeded the limits of the store")
		}
	})
}

// If two writes of one key shared a transaction, the conditions of both would hold. The cancellation
// and the completion of a job could then both succeed.
func TestConflictingWritesDoNotShareTransaction(t *testing.T) {
	withWriter(t, nil, func(t *testing.T, _ *simulation.Environment, writer *store.Writer, _ *store.Client) {
		results := make(chan error, 8)
		for range 8 {
			write := &store.Write{OnDone: func(_ uint64, err error) { results <- err }}
			write.Conditions, write.Changes = put("job", 0)
			writer.Submit(write)
		}
		succeeded := 0
		for range 8 {
			if err := <-results; err == nil {
				succeeded++
			} else if !errors.Is(err, store.ErrConflict) {
				t.Error(err)
			}
		}
		if succeeded != 1 {
			t.Errorf("%d conflicting writes succeeded, want 1", succeeded)
		}
	})
}

// A write whose first attempt gets no response and is executed late is applied only once. While the
// store refuses requests, an interactive write fails within a second.
func TestLateExecutionAndRefusedWrite(t *testing.T) {
	requests := 0
	withWriter(t, func(_ *http.Request) network.Fault {
		if requests++; requests == 1 {
			return network.ExecuteLate
		}
		return network.Deliver
	}, func(t *testing.T, env *simulation.Environment, writer *store.Writer, client *store.Client) {
		results := make(chan error, 2)
		write := &store.Write{OnDone: func(_ uint64, err error) { results <- err }}
		write.Conditions, write.Changes = put("k", 0)
		writer.Submit(write)
		if err := <-results; err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Second)
		items, _, err := client.List(t.Context(), "k")
		if err != nil || len(items) != 1 || items[0].Revision != 1 {
			t.Fatalf("want one item at revision 1, got %v, error %v", items, err)
		}
		env.Store.SetUnavailable(true)
		start := time.Now()
		write = &store.Write{Interactive: true, OnDone: func(_ uint64, err error) { results <- err }}
		write.Conditions, write.Changes = put("k2", 0)
		writer.Submit(write)
		if err := <-results; !errors.Is(err, store.ErrNotExecuted) || time.Since(start) > time.Second {
			t.Errorf("interactive write: got %v after %v, want a refusal within a second", err, time.Since(start))
		}
	})
}

// submitSteadily submits writes at a constant rate until ctx ends, each with its own key below
// prefix. It skips writes while the backlog is two seconds or more, and counts those that are stored.
func submitSteadily(ctx context.Context, writer *store.Writer, prefix string, perSecond int, storedCount *atomic.Int64) {
	for n := 0; ctx.Err() == nil; n++ {
		write := &store.Write{OnDone: func(_ uint64, err error) {
			if err == nil {
				storedCount.Add(1)
			}
		}}
		write.Conditions, write.Changes = put(fmt.Sprintf("%s/%d", prefix, n), 0)
		if writer.BacklogDuration() < 2*time.Second {
			writer.Submit(write)
		}
		time.Sleep(time.Second / time.Duration(perSecond))
	}
}

// All controllers share the store's rate limit and need different shares of it. Three writers that
// don't communicate, one of which submits more than the whole limit, neither overload the store nor
// leave much of its limit unused.
func TestWritersShareRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		env := simulation.New(ctx, nil, nil)
		env.Store.SetChangeRateLimit(60)
		var wg sync.WaitGroup
		var stored [3]atomic.Int64
		for i, changesPerSecond := range []int{200, 10, 10} {
			writer := store.NewWriter(store.NewClient("state:1", env.Network.NewTransport()), 32, 60, 3, halfJitter)
			wg.Go(func() { writer.Run(ctx) })
			wg.Go(func() { submitSteadily(ctx, writer, fmt.Sprintf("k%d", i), changesPerSecond, &stored[i]) })
		}
		time.Sleep(time.Minute)
		cancel()
		wg.Wait()
		time.Sleep(time.Minute)
		a, b, c := stored[0].Load(), stored[1].Load(), stored[2].Load()
		if a+b+c < 60*60*3/4 || b < 500 || c < 500 {
			t.Errorf("%d, %d and %d changes stored in a minute, want at least 2700 in total and 500 of each of the last two", a, b, c)
		}
		if env.Store.Stats().ThrottledTxns*5 > env.Store.Stats().AdmittedTxns {
			t.Errorf("%d transactions throttled, %d admitted; want at most a fifth as many throttled", env.Store.Stats().ThrottledTxns, env.Store.Stats().AdmittedTxns)
		}
	})
}

// A conflict-prone write may fail its transaction, whose other writes are then sent again and count
// twice against the rate limit. It therefore shares a transaction with few others.
func TestConflictProneWritesShareSmallTransactions(t *testing.T) {
	withWriter(t, nil, func(t *testing.T, env *simulation.Environment, writer *store.Writer, _ *store.Client) {
		var wg sync.WaitGroup
		for i := range 60 {
			wg.Add(1)
			write := &store.Write{ConflictProne: true, OnDone: func(uint64, error) { wg.Done() }}
			write.Conditions, write.Changes = put(fmt.Sprintf("k%d", i), 0)
			writer.Submit(write)
		}
		wg.Wait()
		if env.Store.Stats().MaxChangesPerTxn == 0 || env.Store.Stats().MaxChangesPerTxn > 8 {
			t.Errorf("%d conflict-prone changes in one transaction, want 1 to 8", env.Store.Stats().MaxChangesPerTxn)
		}
	})
}

// Medium-priority writes don't wait for normal ones that were submitted before them.
func TestMediumPriorityWritesGoFirst(t *testing.T) {
	withWriter(t, nil, func(t *testing.T, env *simulation.Environment, writer *store.Writer, _ *store.Client) {
		env.Store.SetChangeRateLimit(60)
		var mu sync.Mutex
		var order []bool
		var wg sync.WaitGroup
		for i := range 400 {
			mediumPriority := i >= 350
			wg.Add(1)
			write := &store.Write{MediumPriority: mediumPriority, OnDone: func(uint64, error) {
				defer wg.Done()
				mu.Lock()
				defer mu.Unlock()
				order = append(order, mediumPriority)
			}}
			write.Conditions, write.Changes = put(fmt.Sprintf("k%d", i), 0)
			writer.Submit(write)
		}
		wg.Wait()
		late := 0
		for _, mediumPriority := range order[150:] {
			if mediumPriority {
				late++
			}
		}
		if late > 0 {
			t.Errorf("%d of 50 medium-priority writes are not among the first 150 of 400", late)
		}
	})
}

// A write that is cancelled while it is queued is not sent, so that it can't fail the transaction of
// other writes.
func TestCancelledWritesFailNoTransaction(t *testing.T) {
	withWriter(t, nil, func(t *testing.T, env *simulation.Environment, writer *store.Writer, client *store.Client) {
		env.Store.SetChangeRateLimit(60)
		var wg sync.WaitGroup
		var stored, cancelled atomic.Int64
		var cancelledWrites []*store.Write
		for i := range 300 {
			wg.Add(1)
			willConflict := i >= 100 && i%10 == 0
			write := &store.Write{OnDone: func(_ uint64, err error) {
				defer wg.Done()
				switch {
				case err == nil:
					stored.Add(1)
				case willConflict && errors.Is(err, store.ErrConflict):
					cancelled.Add(1)
				}
			}}
			write.Conditions, write.Changes = put(fmt.Sprintf("k%d", i), 0)
			if willConflict {
				write.Conditions[0].Revision = 99 // a condition that would fail
				cancelledWrites = append(cancelledWrites, write)
			}
			writer.Submit(write)
		}
		for _, write := range cancelledWrites {
			write.Cancel()
		}
		wg.Wait()
		if stored.Load() != 280 || cancelled.Load() != 20 {
			t.Errorf("%d writes stored and %d cancelled, want 280 and 20", stored.Load(), cancelled.Load())
		}
		if n := client.TakeStats().Conflicts; n > 0 {
			t.Errorf("%d transactions failed because of cancelled writes", n)
		}
	})
}

// halfJitter is a deterministic jitter.
func halfJitter(d time.Duration) time.Duration { return d / 2 }
