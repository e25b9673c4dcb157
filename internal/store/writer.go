package store

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// committers is how many transactions are on their way at a time.
	committerCount = 4
	// queueCapacitySeconds is how many seconds' worth of changes a queue holds.
	queueCapacitySeconds = 15
	// minQueueCapacity is the least capacity of a queue, in writes.
	minQueueCapacity = 1024
	// normalQueueFactor is how much larger the queue of usual writes is: there may be one
	// for each of a thousand machines' tasks.
	normalQueueFactor = 4
	// nearlyFullShare is the share of a queue from which on writes that can wait should.
	nearlyFullShare = 0.75
)

// Writer commits writes in groups, a few transactions at a time, within the store's rate
// limit. Its methods may be called concurrently.
type Writer struct {
	client         *Client
	maxChanges     int
	limiter        *adaptiveLimiter
	highPriority   chan *Write
	mediumPriority chan *Write
	normalPriority chan *Write
	jitter         func(time.Duration) time.Duration
	backlogChanges atomic.Int64 // changes submitted whose outcome is not known
}

// NewWriter returns a writer for transactions of at most maxChanges changes. The store's
// limit of writeRPS changes a second is for all sharers together. jitter draws a duration
// below the given one, by which a retry is put off.
func NewWriter(client *Client, maxChanges int, writeRPS float64, controllers int, jitter func(time.Duration) time.Duration) *Writer {
	capacity := max(minQueueCapacity, int(writeRPS*queueCapacitySeconds))
	return &Writer{
		client:         client,
		maxChanges:     maxChanges,
		limiter:        newAdaptiveLimiter(writeRPS, controllers, maxChanges),
		highPriority:   make(chan *Write, capacity),
		mediumPriority: make(chan *Write, capacity),
		normalPriority: make(chan *Write, normalQueueFactor*capacity),
		jitter:         jitter,
	}
}

// BacklogDuration returns about how long it takes until what has been submitted is stored.
func (w *Writer) BacklogDuration() time.Duration {
	return time.Duration(float64(w.backlogChanges.Load()) / w.limiter.rate() * float64(time.Second))
}

// IsNearlyFull tells whether writes that can wait should not be submitted now: the rest of the
// queue, the one for early or for usual writes, is for those that can't.
func (w *Writer) IsNearlyFull(mediumPriority bool) bool {
	queue := w.normalPriority
	if mediumPriority {
		queue = w.mediumPriority
	}
	return float64(len(queue)) >= nearlyFullShare*float64(cap(queue))
}

// Submit queues a write. If the queue is full it returns false, and the write's Done will
// not be called.
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

// queueFor returns the queue that a write belongs to.
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

// resolve reports the outcome of a write.
func (w *Writer) resolve(write *Write, revision uint64, err error) {
	w.backlogChanges.Add(-int64(len(write.Changes)))
	write.OnDone(revision, err)
}

// Run commits submitted writes until ctx ends and all attempts have been answered. Writes
// still queued then stay without an outcome.
func (w *Writer) Run(ctx context.Context) {
	// One committer is for users' writes alone: the others may all be held up by
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

// commitFrom commits the writes of some queues until ctx ends.
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
