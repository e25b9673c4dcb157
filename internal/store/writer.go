package store

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"eiderhitch/internal/wire"
)

// Unit is a set of changes that apply together or not at all.
type Unit struct {
	If   []wire.Condition
	Then []wire.Change
	// Urgent units (submissions, cancellations) go first.
	Urgent bool
	// Expires: if not zero, the unit is given up after this time.
	Expires time.Time
	// Done is called once, with the revision on success, ErrConflict when a
	// condition failed (perhaps since an earlier try of this very unit was
	// applied: the caller reads back), or ErrUnknown when given up.
	Done  func(revision uint64, err error)
	size  int
	tries int
}

// maxTxnBytes leaves room below the 64 KiB that a transaction may have.
const maxTxnBytes = 56 << 10

// urgentTries is how often an urgent unit is offered to a refusing service.
const urgentTries = 3

// Writer commits units in groups, a few transactions at a time.
type Writer struct {
	c       *Client
	ops     int
	limit   *rate.Limiter
	urgent  chan *Unit
	usual   chan *Unit
	workers int
}

// NewWriter returns a writer for transactions of at most ops changes, using at
// most writeRPS changes a second.
func NewWriter(c *Client, ops int, writeRPS float64) *Writer {
	return &Writer{c: c, ops: ops, limit: rate.NewLimiter(rate.Limit(writeRPS*0.7), max(ops, int(writeRPS*0.5))),
		urgent: make(chan *Unit, 1024), usual: make(chan *Unit, 4096), workers: 4}
}

// Submit queues a unit; false means that the queue is full.
func (w *Writer) Submit(u *Unit) bool {
	for i := range u.Then {
		u.size += len(u.Then[i].Value) + 2*len(u.Then[i].Key()) + 64
	}
	for i := range u.If {
		u.size += len(u.If[i].Key) + 40
	}
	q := w.usual
	if u.Urgent {
		q = w.urgent
	}
	select {
	case q <- u:
		return true
	default:
		return false
	}
}

// Run commits until ctx ends.
func (w *Writer) Run(ctx context.Context) {
	done := make(chan struct{})
	for i := range w.workers {
		usual := w.usual
		if i == 0 {
			// One worker is for users alone: the others may all be held up by
			// transactions that the service refuses.
			usual = nil
		}
		go func() {
			defer func() { done <- struct{}{} }()
			w.work(ctx, usual)
		}()
	}
	for range w.workers {
		<-done
	}
}

func (w *Writer) work(ctx context.Context, usual <-chan *Unit) {
	var carry *Unit
	for {
		batch := w.gather(ctx, usual, carry)
		carry = nil
		if batch == nil {
			return
		}
		if last := batch[len(batch)-1]; len(batch) > 1 && !fits(batch, w.ops) {
			carry, batch = last, batch[:len(batch)-1]
		}
		w.commit(ctx, batch)
	}
}

func fits(batch []*Unit, ops int) bool {
	n, conds, size := 0, 0, 0
	// Units that touch a key which another unit of the batch writes must not
	// share a transaction: their conditions would both hold, and "cancelled"
	// and "done" of one job could both be granted.
	written := map[string]bool{}
	for _, u := range batch {
		for _, c := range u.If {
			if written[c.Key] {
				return false
			}
		}
		for _, c := range u.Then {
			if written[c.Key()] {
				return false
			}
		}
		for _, c := range u.Then {
			written[c.Key()] = true
		}
		n += len(u.Then)
		conds += len(u.If)
		size += u.size
	}
	return n <= ops && conds <= 3*ops && size <= maxTxnBytes
}

// gather waits for a unit and takes those that are queued behind it, up to one
// more than fits.
func (w *Writer) gather(ctx context.Context, usual <-chan *Unit, carry *Unit) []*Unit {
	var batch []*Unit
	if carry != nil {
		batch = append(batch, carry)
	} else {
		select {
		case u := <-w.urgent:
			batch = append(batch, u)
		default:
			select {
			case u := <-w.urgent:
				batch = append(batch, u)
			case u := <-usual:
				batch = append(batch, u)
			case <-ctx.Done():
				return nil
			}
		}
	}
	for fits(batch, w.ops) {
		if batch[0].Urgent {
			select {
			case u := <-w.urgent:
				batch = append(batch, u)
				continue
			default:
			}
			break
		}
		select {
		case u := <-usual:
			batch = append(batch, u)
			continue
		default:
		}
		break
	}
	return batch
}

// commit tries until the outcome of every unit is known. A try without an
// answer is repeated with the same conditions: if the first one was or will be
// applied, the repeat fails by them, so nothing is applied twice.
func (w *Writer) commit(ctx context.Context, batch []*Unit) {
	pause := 50 * time.Millisecond
	for len(batch) > 0 {
		now := time.Now()
		batch = slices.DeleteFunc(batch, func(u *Unit) bool {
			if u.Expires.IsZero() || now.Before(u.Expires) {
				return false
			}
			u.Done(0, ErrUnknown)
			return true
		})
		if len(batch) == 0 {
			return
		}
		t := &wire.Txn{}
		seen := map[wire.Condition]bool{}
		for _, u := range batch {
			for _, c := range u.If {
				if !seen[c] {
					seen[c] = true
					t.If = append(t.If, c)
				}
			}
			t.Then = append(t.Then, u.Then...)
		}
		// Users' writes don't queue behind the records' for the local limit:
		// they are few, and after an outage there are records for seconds.
		n := min(len(t.Then), w.limit.Burst())
		if batch[0].Urgent {
			w.limit.ReserveN(time.Now(), n)
		} else if err := w.limit.WaitN(ctx, n); err != nil {
			for _, u := range batch {
				u.Done(0, ErrUnknown)
			}
			return
		}
		ans, err := w.c.Txn(ctx, t)
		switch {
		case err == nil:
			for _, u := range batch {
				u.Done(ans.Revision, nil)
			}
			return
		case errors.Is(err, ErrConflict):
			rest := batch[:0]
			for _, u := range batch {
				if slices.ContainsFunc(u.If, func(c wire.Condition) bool { return slices.Contains(ans.Failed, c.Key) }) {
					u.Done(0, ErrConflict)
				} else {
					rest = append(rest, u)
				}
			}
			if len(rest) == len(batch) { // names no key of ours: don't loop
				for _, u := range rest {
					u.Done(0, ErrConflict)
				}
				return
			}
			batch = rest
			continue
		case errors.Is(err, ErrNoLease):
			if len(batch) == 1 {
				batch[0].Done(0, ErrNoLease)
				return
			}
			for _, u := range batch { // find the guilty one
				w.commit(ctx, []*Unit{u})
			}
			return
		case errors.Is(err, ErrRefused), errors.Is(err, ErrUnknown):
			// A user's request that can't be taken is answered at once, so that
			// the user knows when to come back: no long tries for urgent units.
			batch = slices.DeleteFunc(batch, func(u *Unit) bool {
				u.tries++
				if !u.Urgent || errors.Is(err, ErrRefused) && u.tries < urgentTries {
					return false
				}
				u.Done(0, err)
				return true
			})
		default:
			for _, u := range batch {
				u.Done(0, err)
			}
			return
		}
		select {
		case <-ctx.Done():
			for _, u := range batch {
				u.Done(0, ErrUnknown)
			}
			return
		case <-time.After(pause + rand.N(pause)):
			pause = min(2*pause, 200*time.Millisecond)
		}
	}
}
