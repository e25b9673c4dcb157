package replica

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"eiderhitch/internal/store"
	"eiderhitch/internal/wire"
)

// ErrNotLoaded is what waits for a shared read is told while no full read has succeeded.
var ErrNotLoaded = errors.New("replica: not loaded yet")

const (
	// readShare is the share of the key-value store's limit of requests that all
	// controllers together use for reads.
	readShare = 0.25
	// minSharedReadInterval spaces shared reads: who asks waits up to 2 s, and should cost
	// no more requests than that needs.
	minSharedReadInterval = 200 * time.Millisecond
	// minWatchInterval spaces the watches of Follow.
	minWatchInterval = 100 * time.Millisecond
	// watchWait is how long a watch of Follow waits for a change.
	watchWait = 1500 * time.Millisecond
	// retryAfter and retryJitter space tries after a failed read.
	retryDelay  = 200 * time.Millisecond
	retryJitter = 100 * time.Millisecond
)

// Store is the part of the key-value store's client that reads need.
type Store interface {
	// List returns all keys below prefix, and the revision of the first page.
	List(ctx context.Context, prefix string) ([]wire.Item, uint64, error)
	// Watch returns the changes below prefix after a revision; it waits for one.
	Watch(ctx context.Context, prefix string, since uint64, wait time.Duration) (*wire.WatchResponse, error)
}

// EventLoop runs functions on the goroutine that owns the replica.
type EventLoop interface {
	// Now is the time of the event that the loop works on.
	Now() time.Time
	// Enqueue queues f.
	Enqueue(f func())
	// Call runs f and waits for it; false if ctx ended first.
	Call(ctx context.Context, f func()) bool
}

// Config says what a reader reads and how often it may.
type Config struct {
	// Prefix is that of all keys of the replica.
	KeyPrefix string
	// Controllers is how many controllers share the limit of RequestsPerSecond.
	ControllerCount   int
	RequestsPerSecond float64
	// Jitter draws a duration below the given one.
	Jitter func(time.Duration) time.Duration
	// Loaded is called on the event loop when a full read has been taken in.
	OnLoaded func()
	// Log takes failed reads.
	Log *slog.Logger
}

// Reader keeps a replica current: Follow does so in the background, AfterRead for those
// who need a read that begins now. Reads asked for at the same time are shared.
type Reader struct {
	// ctx ends shared reads, which are begun from the event loop wherever one is needed.
	ctx     context.Context
	config  Config
	replica *Replica
	store   Store
	loop    EventLoop

	readInFlight        bool
	readScheduled       bool
	sharedReadStartedAt time.Time // when the last shared read began
	waitingCallbacks    []func(error)
	// sharedReadSucceededAt is when the last shared read succeeded; Follow looks at it.
	sharedReadSucceededAt atomic.Pointer[time.Time]
}

// NewReader returns a reader that keeps replica current. Shared reads end with ctx.
func NewReader(ctx context.Context, config Config, replica *Replica, store Store, loop EventLoop) *Reader {
	return &Reader{ctx: ctx, config: config, replica: replica, store: store, loop: loop}
}

// AfterRead runs f with the result of a read that begins after now: on success the
// replica has every change that was stored before the call. It is what makes an answer
// to a client linearizable.
func (r *Reader) AfterRead(f func(err error)) {
	r.waitingCallbacks = append(r.waitingCallbacks, f)
	r.startSharedRead()
}

// AfterSuccessfulRead runs f after a successful read that begins after now, however many
// tries that takes.
func (r *Reader) AfterSuccessfulRead(f func()) {
	r.AfterRead(func(err error) {
		if err != nil {
			r.AfterSuccessfulRead(f)
			return
		}
		f()
	})
}

// start begins a shared read for everybody who waits, unless one is under way or was
// begun just now.
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

// read carries a shared read out and has its result taken in on the event loop.
func (r *Reader) runSharedRead(start time.Time, cursor uint64, loaded bool, callbacks []func(error)) {
	err := ErrNotLoaded
	var changes *wire.WatchResponse
	if loaded {
		changes, err = r.store.Watch(r.ctx, r.config.KeyPrefix, cursor, 0)
	}
	r.loop.Enqueue(func() {
		r.readInFlight = false
		if err == nil {
			r.replica.Apply(changes)
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

// sharedReadInterval spaces shared reads.
func (r *Reader) sharedReadInterval() time.Duration {
	return max(r.fairReadInterval(), minSharedReadInterval)
}

// fairReadInterval is how far apart the reads of one controller have to be for all together
// to keep within their share of the store's limit.
func (r *Reader) fairReadInterval() time.Duration {
	perSecond := r.config.RequestsPerSecond * readShare
	return time.Duration(float64(time.Second) * float64(r.config.ControllerCount) / perSecond)
}

// Follow keeps the replica current until ctx ends. While shared reads do so it stands
// back: both would ask for, and decode, the same changes.
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
			err = r.loadAll(ctx, start, &cursor)
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

// sharedReadCoverage is how long shared reads still keep the replica current.
func (r *Reader) sharedReadCoverage(now time.Time) time.Duration {
	at := r.sharedReadSucceededAt.Load()
	if at == nil {
		return 0
	}
	return 2*r.sharedReadInterval() - now.Sub(*at)
}

// load reads everything and sets cursor to the replica's.
func (r *Reader) loadAll(ctx context.Context, start time.Time, cursor *uint64) error {
	items, revision, err := r.store.List(ctx, r.config.KeyPrefix)
	if err != nil {
		return fmt.Errorf("full read: %w", err)
	}
	changes, err := r.store.Watch(ctx, r.config.KeyPrefix, revision, 0)
	if err != nil {
		return fmt.Errorf("changes since the full read: %w", err)
	}
	r.loop.Call(ctx, func() {
		r.replica.Load(items, revision, changes)
		r.config.OnLoaded()
		r.replica.AdvanceReadTime(start)
		*cursor = r.replica.Cursor()
	})
	return nil
}

// follow waits for changes after cursor, takes them in and moves cursor on.
func (r *Reader) watchOnce(ctx context.Context, start time.Time, cursor *uint64) error {
	changes, err := r.store.Watch(ctx, r.config.KeyPrefix, *cursor, watchWait)
	if err != nil {
		return fmt.Errorf("watch: %w", err)
	}
	r.loop.Call(ctx, func() {
		r.replica.Apply(changes)
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
