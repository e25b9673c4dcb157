package store

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// committerCount is the number of transactions that may be in flight at a time.
	committerCount = 4
	// queueCapacitySeconds sets the capacity of a queue to the number of changes that the store
	// accepts in this time.
	queueCapacitySeconds = 15
	// minQueueCapacity is the smallest capacity of a queue, in writes.
	minQueueCapacity = 1024
	// normalQueueFactor is the capacity of the queue for normal priority relative to the other
	// queues. It may hold a write for each task of a thousand machines.
	normalQueueFactor = 4
	// nearlyFullShare is the fill level, as a share of the capacity, at which a queue counts as
	// nearly full.
	nearlyFullShare = 0.75
)

// Writer queues writes and commits them in batches, with a few transactions in flight at a time,
// within the store's rate limit. Its methods may be called concurrently.
type Writer struct {
	client         *Client
	maxChanges     int
	limiter        *adaptiveLimiter
	highPriority   chan *Write // interactive and high-priority writes
	mediumPriority chan *Write // medium-priority writes
	normalPriority chan *Write // all other writes
	jitter         func(time.Duration) time.Duration
	backlogChanges atomic.Int64 // number of submitted changes whose outcome is not known
}

// NewWriter returns a writer that sends transactions of at most maxChanges changes. All
// controllers, whose number is given, share the store's limit of changesPerSecond. jitter returns a
// random duration below the given one, which is added to the delay of a retry.
func NewWriter(client *Client, maxChanges int, changesPerSecond float64, controllers int, jitter func(time.Duration) time.Duration) *Writer {
	capacity := max(minQueueCapacity, int(changesPerSecond*queueCapacitySeconds))
	return &Writer{
		client:         client,
		maxChanges:     maxChanges,
		limiter:        newAdaptiveLimiter(changesPerSecond, controllers, maxChanges),
		highPriority:   make(chan *Write, capacity),
		mediumPriority: make(chan *Write, capacity),
		normalPriority: make(chan *Write, normalQueueFactor*capacity),
		jitter:         jitter,
	}
}

// BacklogDuration estimates the time until all submitted writes are stored.
func (w *Writer) BacklogDuration() time.Duration {
	return time.Duration(float64(w.backlogChanges.Load()) / w.limiter.changesPerSecond() * float64(time.Second))
}

// IsNearlyFull reports whether the queue for medium priority, or otherwise the one for normal
// priority, is nearly full. The rest of the capacity is reserved for writes that can't be delayed;
// others should be submitted later.
func (w *Writer) IsNearlyFull(mediumPriority bool) bool {
	queue := w.normalPriority
	if mediumPriority {
		queue = w.mediumPriority
	}
	return float64(len(queue)) >= nearlyFullShare*float64(cap(queue))
}

// Submit queues a write. It returns false, and never calls the write's OnDone, if the queue is
// full.
func (w *Writer) Submit(write *Write) bool {
	write.estimatedBytes = write.estimateBytes()
	w.backlogChanges.Add(int64(len(write.Changes)))
	select {
	case w.queueFor(write) <- write:
		return true
	default:
		w.backlogChanges.Add(-int64(len(write.Changes)))
		return false
	}
}

// queueFor returns the queue for a write of this priority.
func (w *Writer) queueFor(write *Write) chan<- *Write {
	switch {
	case write.isImmediate():
		return w.highPriority
	case write.MediumPriority:
		return w.mediumPriority
	default:
		return w.normalPriority
	}
}

// resolve passes the outcome of a write to its OnDone.
func (w *Writer) resolve(write *Write, revision uint64, err error) {
	w.backlogChanges.Add(-int64(len(write.Changes)))
	write.OnDone(revision, err)
}

// Run commits submitted writes until ctx ends, and returns when no attempt is in progress. The
// OnDone of writes that are still queued then is not called.
func (w *Writer) Run(ctx context.Context) {
	// One committer takes only immediate writes, because all others may be waiting to retry
	// transactions that the store refuses.
	highPriorityOnly := queues{highPriority: w.highPriority}
	all := queues{highPriority: w.highPriority, mediumPriority: w.mediumPriority, normalPriority: w.normalPriority}
	var committing sync.WaitGroup
	committing.Go(func() { w.commitFrom(ctx, &highPriorityOnly) })
	for range committerCount - 1 {
		committing.Go(func() { w.commitFrom(ctx, &all) })
	}
	committing.Wait()
}

// commitFrom commits writes from the queues until ctx ends.
func (w *Writer) commitFrom(ctx context.Context, q *queues) {
	var next *Write
	for {
		first := next
		if first == nil {
			first = q.wait(ctx)
		}
		if first == nil {
			return
		}
		var writes []*Write
		writes, next = q.gatherBatch(first, w.limiter.maxBatchChanges(w.maxChanges))
		w.commit(ctx, writes)
	}
}
