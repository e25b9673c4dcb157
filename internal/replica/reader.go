package replica

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"eiderhitch/internal/store"
	"eiderhitch/internal/wire"
)

// ErrNotLoaded is the result of a shared read while no full read has succeeded.
var ErrNotLoaded = errors.New("replica: not loaded yet")

const (
	// readShare is the share of the key-value store's request rate limit that all controllers
	// together use for reads.
	readShare = 0.25
	// minSharedReadInterval is the minimum time between the starts of two shared reads. Users
	// wait up to 2 s for a response, so that reads need not be more frequent.
	minSharedReadInterval = 200 * time.Millisecond
	// minWatchInterval is the minimum pause between two watches of Follow.
	minWatchInterval = 100 * time.Millisecond
	// watchWait is the time that a watch of Follow waits for a change.
	watchWait = 1500 * time.Millisecond
	// retryDelay is the delay before Follow retries a failed read. A random duration of up to
	// retryJitter is added to it.
	retryDelay  = 200 * time.Millisecond
	retryJitter = 100 * time.Millisecond
)

// Store is the part of the key-value store's client that a Reader uses.
type Store interface {
	// ListPage returns the first keys below prefix that follow the key after, in their order. An empty
	// after stands for the start.
	ListPage(ctx context.Context, prefix, after string) (*wire.ItemPage, error)
	// Watch returns the changes below prefix after the revision since. If there are none, it
	// waits up to wait for one.
	Watch(ctx context.Context, prefix string, since uint64, wait time.Duration) (*wire.WatchResponse, error)
}

// EventLoop runs functions on the goroutine that owns the replica.
type EventLoop interface {
	// Now returns the time of the event that the loop is processing.
	Now() time.Time
	// Enqueue queues f without waiting for it to run. It blocks while the queue is full.
	Enqueue(f func())
	// Call runs f and waits until it has returned. It returns false if ctx ended before f ran.
	Call(ctx context.Context, f func()) bool
}

// Config holds the settings of a Reader.
type Config struct {
	// KeyPrefix is the common prefix of all keys of the replica.
	KeyPrefix string
	// ControllerCount is the number of controllers that share RequestsPerSecond.
	ControllerCount int
	// RequestsPerSecond is the store's request rate limit.
	RequestsPerSecond float64
	// Jitter returns a random duration below the given one.
	Jitter func(time.Duration) time.Duration
	// Archive is called on the event loop with each page of a full read, in the order of the keys, and
	// the revision of the first page. It returns the items that the replica has to track. The others
	// never change again.
	Archive func(items []wire.Item, revision uint64) []wire.Item
	// OnLoaded is called on the event loop after a full read has been applied.
	OnLoaded func()
	// Log receives the errors of failed reads.
	Log *slog.Logger
}

// Reader keeps a replica up to date. Follow does so in the background; AfterRead does so for
// callers that need a read that begins now. Concurrent calls of AfterRead share reads.
type Reader struct {
	// ctx ends shared reads. It is a field because callers on the event loop have no context
	// to pass.
	ctx     context.Context
	config  Config
	replica *Replica
	store   Store
	loop    EventLoop

	readInFlight        bool          // whether a shared read is in progress
	readScheduled       bool          // whether a timer will start the next shared read
	sharedReadStartedAt time.Time     // time at which the last shared read began
	waitingCallbacks    []func(error) // callers that wait for the next shared read
	// fullRead and fullReadLimiter are used only by Follow, on its own goroutine and while that waits
	// for the event loop.
	fullRead        fullRead
	fullReadLimiter *rate.Limiter
	// sharedReadSucceededAt is the time at which the last shared read succeeded; nil if none
	// has. Follow reads it on its own goroutine.
	sharedReadSucceededAt atomic.Pointer[time.Time]
}

// NewReader returns a reader that keeps replica up to date. Shared reads end when ctx ends.
func NewReader(ctx context.Context, config Config, replica *Replica, store Store, loop EventLoop) *Reader {
	return &Reader{ctx: ctx, config: config, replica: replica, store: store, loop: loop, fullReadLimiter: newFullReadLimiter(&config)}
}

// AfterRead calls f on the event loop with the result of a read that begins after this call. If
// the read succeeds, the replica has every change that was stored before the call, which makes
// responses to clients linearizable.
func (r *Reader) AfterRead(f func(err error)) {
	r.waitingCallbacks = append(r.waitingCallbacks, f)
	r.startSharedRead()
}

// AfterSuccessfulRead calls f on the event loop after a successful read that begins after this
// call. Failed reads are repeated until one succeeds.
func (r *Reader) AfterSuccessfulRead(f func()) {
	r.AfterRead(func(err error) {
		if err != nil {
			r.AfterSuccessfulRead(f)
			return
		}
		f()
	})
}

// startSharedRead starts a shared read for all waiting callers, unless one is in progress or
// scheduled. If the last one began too recently, it schedules the next one.
func (r *Reader) startSharedRead() {
	if r.readInFlight || len(r.waitingCallbacks) == 0 || r.readScheduled {
		return
	}
	if wait := r.sharedReadInterval() - r.loop.Now().Sub(r.sharedReadStartedAt); wait > 0 {
		r.readScheduled = true
		time.AfterFunc(wait, func() {
			r.loop.Enqueue(func() {
				r.readScheduled = false
				r.startSharedRead()
			})
		})
		return
	}
	callbacks := r.waitingCallbacks
	r.waitingCallbacks = nil
	r.readInFlight, r.sharedReadStartedAt = true, r.loop.Now()
	go r.runSharedRead(r.sharedReadStartedAt, r.replica.Cursor(), r.replica.IsLoaded(), callbacks)
}

// runSharedRead executes a shared read and applies its result on the event loop.
func (r *Reader) runSharedRead(start time.Time, cursor uint64, loaded bool, callbacks []func(error)) {
	err := ErrNotLoaded
	var response *wire.WatchResponse
	if loaded {
		response, err = r.store.Watch(r.ctx, r.config.KeyPrefix, cursor, 0)
	}
	r.loop.Enqueue(func() {
		r.readInFlight = false
		if err == nil {
			r.replica.Apply(response)
			r.replica.AdvanceReadTime(start)
			now := r.loop.Now()
			r.sharedReadSucceededAt.Store(&now)
		}
		for _, f := range callbacks {
			f(err)
		}
		r.startSharedRead()
	})
}

// sharedReadInterval returns the minimum time between the starts of two shared reads.
func (r *Reader) sharedReadInterval() time.Duration {
	return max(r.fairReadInterval(), minSharedReadInterval)
}

// fairReadInterval returns the time between two reads of one controller at which all controllers
// together stay within readShare of the store's rate limit.
func (r *Reader) fairReadInterval() time.Duration {
	perSecond := r.config.RequestsPerSecond * readShare
	return time.Duration(float64(time.Second) * float64(r.config.ControllerCount) / perSecond)
}

// Follow keeps the replica up to date until ctx ends. It pauses while shared reads do so, because
// both would request and decode the same changes.
func (r *Reader) Follow(ctx context.Context) {
	interval := max(r.fairReadInterval(), minWatchInterval)
	var cursor uint64
	loaded := false
	for ctx.Err() == nil {
		start := time.Now()
		if covered := r.sharedReadCoverage(start); loaded && covered > 0 {
			sleep(ctx, covered)
			continue
		}
		var err error
		if loaded {
			err = r.watchOnce(ctx, start, &cursor)
			loaded = !errors.Is(err, store.ErrCompacted)
		} else {
			err = r.loadAll(ctx, &cursor)
			loaded = err == nil
		}
		wait := interval
		if err != nil {
			r.config.Log.Debug("read of the key-value store failed", "err", err)
			wait = retryDelay + r.config.Jitter(retryJitter)
		}
		sleep(ctx, wait)
	}
}

// sharedReadCoverage returns how long after now the replica counts as up to date because of the
// last shared read. It is zero or negative if a watch is needed.
func (r *Reader) sharedReadCoverage(now time.Time) time.Duration {
	at := r.sharedReadSucceededAt.Load()
	if at == nil {
		return 0
	}
	return 2*r.sharedReadInterval() - now.Sub(*at)
}

// watchOnce waits for changes after cursor, applies them and advances cursor.
func (r *Reader) watchOnce(ctx context.Context, start time.Time, cursor *uint64) error {
	response, err := r.store.Watch(ctx, r.config.KeyPrefix, *cursor, watchWait)
	if err != nil {
		return fmt.Errorf("watch: %w", err)
	}
	r.loop.Call(ctx, func() {
		r.replica.Apply(response)
		r.replica.AdvanceReadTime(start)
		*cursor = r.replica.Cursor()
	})
	return nil
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
