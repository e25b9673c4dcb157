package store

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"eiderhitch/internal/wire"
)

// Write is a set of changes that apply together or not at all.
type Write struct {
	Conditions []wire.Condition
	Changes    []wire.Change
	// Urgent units (submissions, cancellations) go first.
	Urgent bool
	// Prompt units go with the urgent ones, but are tried until their outcome is known:
	// few, on which others' work waits.
	Prompt bool
	// Early units go before usual ones: many others' work waits for them.
	Early bool
	// Contested units may well find a condition failed, since others write the
	// same keys. They share a transaction with few: what a failed one carries is
	// counted against the limit, and all the others in it must be sent again.
	Contested bool
	// Expires: if not zero, the unit is given up after this time.
	Expires time.Time
	// Done is called once, with the revision on success, ErrConflict when a
	// condition failed (perhaps since an earlier try of this very unit was
	// applied: the caller reads back), or ErrOutcomeUnknown when given up.
	Done      func(revision uint64, err error)
	size      int
	tries     int
	cancelled atomic.Bool
}

// Cancel says that a condition of the unit is known to have failed meanwhile. It is
// not tried any more: each that is found out by the state service fails all that
// shares its transaction, which is sent, and counted, once more.
func (u *Write) Cancel() { u.cancelled.Store(true) }

// ahead tells whether a unit goes before all others and doesn't wait for the pace.
func (u *Write) ahead() bool { return u.Urgent || u.Prompt }

// MaxTxnBytes leaves room below the 64 KiB that a transaction may have.
const MaxTxnBytes = 56 << 10

// maxContested is how many changes a transaction with contested ones may have.
const maxContested = 4

// urgentTries is how often an urgent unit is offered to a refusing service.
const urgentTries = 3

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

func fitsTransaction(batch []*Write, ops int) bool {
	n, conds, size, contested := 0, 0, 0, false
	// Units that touch a key which another unit of the batch writes must not
	// share a transaction: their conditions would both hold, and "cancelled"
	// and "done" of one job could both be granted.
	written := map[string]bool{}
	for _, u := range batch {
		for _, c := range u.Conditions {
			if written[c.Key] {
				return false
			}
		}
		for _, c := range u.Changes {
			if written[c.Key()] {
				return false
			}
		}
		for _, c := range u.Changes {
			written[c.Key()] = true
		}
		n += len(u.Changes)
		conds += len(u.Conditions)
		size += u.size
		contested = contested || u.Contested
	}
	if contested {
		ops = min(ops, maxContested)
	}
	return n <= ops && conds <= 3*ops && size <= MaxTxnBytes
}

// gather waits for a unit and takes those that are queued behind it and fit, and
// the first that doesn't, which is for the next batch.
func (w *Writer) gather(ctx context.Context, early, usual <-chan *Write, carry *Write) (batch []*Write, over *Write) {
	first := carry
	if first == nil {
		first = w.next(early, usual)
	}
	if first == nil {
		select {
		case first = <-w.urgent:
		case first = <-early:
		case first = <-usual:
		case <-ctx.Done():
			return nil, nil
		}
	}
	batch = []*Write{first}
	ops := w.rate.batch(w.maxChanges)
	for fitsTransaction(batch, ops) {
		var u *Write
		if first.ahead() {
			select {
			case u = <-w.urgent:
			default:
			}
		} else {
			u = poll(early, usual)
		}
		if u == nil {
			return batch, nil
		}
		batch = append(batch, u)
	}
	if n := len(batch) - 1; n > 0 {
		return batch[:n], batch[n]
	}
	return batch, nil // larger alone than a batch should be
}

// next is the unit whose turn it is, or nil.
func (w *Writer) next(early, usual <-chan *Write) *Write {
	select {
	case u := <-w.urgent:
		return u
	default:
		return poll(early, usual)
	}
}

// poll takes a unit from the first queue that has one.
func poll(queues ...<-chan *Write) *Write {
	for _, q := range queues {
		select {
		case u := <-q:
			return u
		default:
		}
	}
	return nil
}

// commit tries until the outcome of every unit is known. A try without an
// answer is repeated with the same conditions: if the first one was or will be
// applied, the repeat fails by them, so nothing is applied twice.
func (w *Writer) commit(ctx context.Context, batch []*Write) {
	pause := 50 * time.Millisecond
	for len(batch) > 0 {
		now := time.Now()
		batch = slices.DeleteFunc(batch, func(u *Write) bool {
			if u.cancelled.Load() {
				w.resolve(u, 0, ErrConflict)
				return true
			}
			if u.Expires.IsZero() || now.Before(u.Expires) {
				return false
			}
			w.resolve(u, 0, ErrOutcomeUnknown)
			return true
		})
		if len(batch) == 0 {
			return
		}
		t := &wire.Txn{}
		seen := map[wire.Condition]bool{}
		for _, u := range batch {
			for _, c := range u.Conditions {
				if !seen[c] {
					seen[c] = true
					t.If = append(t.If, c)
				}
			}
			t.Then = append(t.Then, u.Changes...)
		}
		// Users' writes don't queue behind the records' for the local limit:
		// they are few, and after an outage there are records for seconds.
		if err := w.rate.wait(ctx, len(t.Then), batch[0].ahead()); err != nil {
			for _, u := range batch {
				w.resolve(u, 0, ErrOutcomeUnknown)
			}
			return
		}
		ans, err := w.client.Txn(ctx, t)
		w.rate.answered(time.Now(), err)
		switch {
		case err == nil:
			for _, u := range batch {
				w.resolve(u, ans.Revision, nil)
			}
			return
		case errors.Is(err, ErrConflict):
			rest := batch[:0]
			for _, u := range batch {
				if slices.ContainsFunc(u.Conditions, func(c wire.Condition) bool { return slices.Contains(ans.Failed, c.Key) }) {
					w.resolve(u, 0, ErrConflict)
				} else {
					rest = append(rest, u)
				}
			}
			if len(rest) == len(batch) { // names no key of ours: don't loop
				for _, u := range rest {
					w.resolve(u, 0, ErrConflict)
				}
				return
			}
			batch = rest
			continue
		case errors.Is(err, ErrLeaseExpired), errors.Is(err, ErrInvalid):
			if len(batch) == 1 {
				w.resolve(batch[0], 0, err)
				return
			}
			for _, u := range batch { // find the guilty one
				w.commit(ctx, []*Write{u})
			}
			return
		case errors.Is(err, ErrNotExecuted), errors.Is(err, ErrOutcomeUnknown):
			// A user's request that can't be taken is answered at once, so that
			// the user knows when to come back: no long tries for urgent units.
			batch = slices.DeleteFunc(batch, func(u *Write) bool {
				u.tries++
				if !u.Urgent || errors.Is(err, ErrNotExecuted) && u.tries < urgentTries {
					return false
				}
				w.resolve(u, 0, err)
				return true
			})
		default:
			for _, u := range batch {
				w.resolve(u, 0, err)
			}
			return
		}
		select {
		case <-ctx.Done():
			for _, u := range batch {
				w.resolve(u, 0, ErrOutcomeUnknown)
			}
			return
		case <-time.After(pause + w.jitter(pause)):
			pause = min(2*pause, 200*time.Millisecond)
		}
	}
}
