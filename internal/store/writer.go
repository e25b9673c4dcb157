package store

import (
	"context"
	"sync/atomic"
	"time"
)

// Writer commits units in groups, a few transactions at a time.
type Writer struct {
	client     *Client
	maxChanges int
	rate       *rateController
	urgent     chan *Write
	early      chan *Write
	usual      chan *Write
	workers    int
	jitter     func(time.Duration) time.Duration
	backlog    atomic.Int64 // changes submitted whose outcome is not known
}

// NewWriter returns a writer for transactions of at most ops changes. The state
// service's limit of writeRPS changes a second is for all sharers together. jitter draws
// a duration below the given one, by which a retry is put off.
func NewWriter(c *Client, ops int, writeRPS float64, sharers int, jitter func(time.Duration) time.Duration) *Writer {
	// What the service takes in a quarter of a minute may queue, and of usual units,
	// which may be one for each of a thousand machines' tasks, in a whole one.
	most := max(1024, int(writeRPS*15))
	return &Writer{client: c, maxChanges: ops, jitter: jitter, rate: newRateController(writeRPS, sharers, ops),
		urgent: make(chan *Write, most), early: make(chan *Write, most), usual: make(chan *Write, 4*most), workers: 4}
}

// Backlog is about how long it takes until what is queued is stored.
func (w *Writer) Backlog() time.Duration {
	return time.Duration(float64(w.backlog.Load()) / w.rate.rate() * float64(time.Second))
}

// fullShare is the part of a queue from which on units that can wait should.
const fullShare = 0.75

// NearlyFull tells whether units that can wait should not be submitted now: the rest of the
// queue is for those that can't.
func (w *Writer) NearlyFull(early bool) bool {
	q := w.usual
	if early {
		q = w.early
	}
	return float64(len(q)) >= fullShare*float64(cap(q))
}

// resolve reports a unit's outcome.
func (w *Writer) resolve(u *Write, revision uint64, err error) {
	w.backlog.Add(-int64(len(u.Changes)))
	u.Done(revision, err)
}

// Submit queues a unit; false means that the queue is full.
func (w *Writer) Submit(u *Write) bool {
	for i := range u.Changes {
		u.size += len(u.Changes[i].Value) + 2*len(u.Changes[i].Key()) + 64
	}
	for i := range u.Conditions {
		u.size += len(u.Conditions[i].Key) + 40
	}
	q := w.usual
	switch {
	case u.ahead():
		q = w.urgent
	case u.Early:
		q = w.early
	}
	w.backlog.Add(int64(len(u.Changes)))
	select {
	case q <- u:
		return true
	default:
		w.backlog.Add(-int64(len(u.Changes)))
		return false
	}
}

// Run commits until ctx ends.
func (w *Writer) Run(ctx context.Context) {
	done := make(chan struct{})
	for i := range w.workers {
		early, usual := w.early, w.usual
		if i == 0 {
			// One worker is for users alone: the others may all be held up by
			// transactions that the service refuses.
			early, usual = nil, nil
		}
		go func() {
			defer func() { done <- struct{}{} }()
			w.work(ctx, early, usual)
		}()
	}
	for range w.workers {
		<-done
	}
}

func (w *Writer) work(ctx context.Context, early, usual <-chan *Write) {
	var carry *Write
	for {
		var batch []*Write
		if batch, carry = w.gather(ctx, early, usual, carry); batch == nil {
			return
		}
		w.commit(ctx, batch)
	}
}
