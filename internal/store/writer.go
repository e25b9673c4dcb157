package store

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// committers is how many transactions are on their way at a time.
	committers = 4
	// queueSeconds is how many seconds' worth of changes a queue holds.
	queueSeconds = 15
	// minQueue is the least capacity of a queue, in writes.
	minQueue = 1024
	// usualQueueFactor is how much larger the queue of usual writes is: there may be one
	// for each of a thousand machines' tasks.
	usualQueueFactor = 4
	// nearlyFull is the share of a queue from which on writes that can wait should.
	nearlyFull = 0.75
)

// Writer commits writes in groups, a few transactions at a time, within the store's rate
// limit. Its methods may be called concurrently.
type Writer struct {
	client     *Client
	maxChanges int
	rate       *rateController
	urgent     chan *Write
	early      chan *Write
	usual      chan *Write
	jitter     func(time.Duration) time.Duration
	backlog    atomic.Int64 // changes submitted whose outcome is not known
}

// NewWriter returns a writer for transactions of at most maxChanges changes. The store's
// limit of writeRPS changes a second is for all sharers together. jitter draws a duration
// below the given one, by which a retry is put off.
func NewWriter(client *Client, maxChanges int, writeRPS float64, sharers int, jitter func(time.Duration) time.Duration) *Writer {
	capacity := max(minQueue, int(writeRPS*queueSeconds))
	return &Writer{
		client:     client,
		maxChanges: maxChanges,
		rate:       newRateController(writeRPS, sharers, maxChanges),
		urgent:     make(chan *Write, capacity),
		early:      make(chan *Write, capacity),
		usual:      make(chan *Write, usualQueueFactor*capacity),
		jitter:     jitter,
	}
}

// BacklogDuration returns about how long it takes until what has been submitted is stored.
func (w *Writer) BacklogDuration() time.Duration {
	return time.Duration(float64(w.backlog.Load()) / w.rate.rate() * float64(time.Second))
}

// IsNearlyFull tells whether writes that can wait should not be submitted now: the rest of the
// queue, the one for early or for usual writes, is for those that can't.
func (w *Writer) IsNearlyFull(mediumPriority bool) bool {
	queue := w.usual
	if mediumPriority {
		queue = w.early
	}
	return float64(len(queue)) >= nearlyFull*float64(cap(queue))
}

// Submit queues a write. If the queue is full it returns false, and the write's Done will
// not be called.
func (w *Writer) Submit(write *Write) bool {
	write.bytes = write.estimateBytes()
	w.backlog.Add(int64(len(write.Changes)))
	select {
	case w.queueOf(write) <- write:
		return true
	default:
		w.backlog.Add(-int64(len(write.Changes)))
		return false
	}
}

// queueOf returns the queue that a write belongs to.
func (w *Writer) queueOf(write *Write) chan<- *Write {
	switch {
	case write.immediate():
		return w.urgent
	case write.MediumPriority:
		return w.early
	default:
		return w.usual
	}
}

// resolve reports the outcome of a write.
func (w *Writer) resolve(write *Write, revision uint64, err error) {
	w.backlog.Add(-int64(len(write.Changes)))
	write.OnDone(revision, err)
}

// Run commits submitted writes until ctx ends and all attempts have been answered. Writes
// still queued then stay without an outcome.
func (w *Writer) Run(ctx context.Context) {
	// One committer is for users' writes alone: the others may all be held up by
	// transactions that the store refuses.
	users := queues{urgent: w.urgent}
	all := queues{urgent: w.urgent, early: w.early, usual: w.usual}
	var committing sync.WaitGroup
	committing.Go(func() { w.commitFrom(ctx, &users) })
	for range committers - 1 {
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
		writes, next = q.gather(first, w.rate.batch(w.maxChanges))
		w.commit(ctx, writes)
	}
}
