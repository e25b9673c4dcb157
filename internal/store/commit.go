package store

import (
	"context"
	"errors"
	"slices"
	"time"

	"eiderhitch/internal/wire"
)

const (
	// maxInteractiveAttempts is how often an urgent write is offered to a store that refuses it.
	maxInteractiveAttempts = 3
	// minBackoff and maxBackoff bound the pause between two attempts, before jitter.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 200 * time.Millisecond
)

// commit is a batch of writes on its way into the store. Once a write's outcome is known it
// is resolved and leaves pending.
type commit struct {
	writer  *Writer
	pending []*Write
	backoff time.Duration // the pause after the next attempt without an outcome
}

// commit attempts writes until the outcome of each is known. An attempt without an answer is
// repeated with the same conditions: if the first one was or will be applied, the repeat
// fails by them, so that nothing is applied twice.
func (w *Writer) commit(ctx context.Context, writes []*Write) {
	c := &commit{writer: w, pending: writes, backoff: minBackoff}
	for {
		c.dropCancelledAndExpired(time.Now())
		if len(c.pending) == 0 {
			return
		}
		c.attempt(ctx)
	}
}

// dropCancelledAndExpired resolves the writes that were cancelled or have expired.
func (c *commit) dropCancelledAndExpired(now time.Time) {
	c.resolveWhere(func(write *Write) error {
		switch {
		case write.cancelled.Load():
			return errWriteCancelled
		case !write.ExpiresAt.IsZero() && !now.Before(write.ExpiresAt):
			return errWriteExpired
		default:
			return nil
		}
	})
}

// attempt sends the pending writes in one transaction and acts on its outcome.
func (c *commit) attempt(ctx context.Context) {
	txn := buildTransaction(c.pending)
	// Users' writes don't queue behind those of records for the local rate limit: they
	// are few, and after an outage there are seconds' worth of records.
	if err := c.writer.limiter.wait(ctx, len(txn.Changes), c.pending[0].isImmediate()); err != nil {
		c.resolveAll(0, errWriterStopped)
		return
	}
	response, err := c.writer.client.Txn(ctx, txn)
	c.writer.limiter.observeResult(time.Now(), err)
	switch {
	case err == nil:
		c.resolveAll(response.Revision, nil)
	case errors.Is(err, ErrConflict):
		c.resolveConflicts(response.FailedKeys, err)
	case errors.Is(err, ErrLeaseExpired), errors.Is(err, ErrInvalid):
		c.resolveInvalid(ctx, err)
	case errors.Is(err, ErrNotExecuted), errors.Is(err, ErrOutcomeUnknown):
		c.giveUpInteractive(err)
		c.wait(ctx)
	default:
		c.resolveAll(0, err)
	}
}

// buildTransaction returns the transaction that has all conditions and changes of some writes.
func buildTransaction(writes []*Write) *wire.Txn {
	txn := &wire.Txn{}
	known := map[wire.Condition]bool{}
	for _, write := range writes {
		for _, condition := range write.Conditions {
			if !known[condition] {
				known[condition] = true
				txn.Conditions = append(txn.Conditions, condition)
			}
		}
		txn.Changes = append(txn.Changes, write.Changes...)
	}
	return txn
}

// resolveConflicts resolves the writes that have a condition on one of the failed keys. The
// others are to be attempted again.
func (c *commit) resolveConflicts(failed []string, err error) {
	before := len(c.pending)
	c.resolveWhere(func(write *Write) error {
		for _, condition := range write.Conditions {
			if slices.Contains(failed, condition.Key) {
				return err
			}
		}
		return nil
	})
	if len(c.pending) == before { // no failed key is one of ours: a retry would fail alike
		c.resolveAll(0, err)
	}
}

// resolveInvalid finds which write makes a transaction invalid by committing each by itself.
func (c *commit) resolveInvalid(ctx context.Context, err error) {
	if len(c.pending) == 1 {
		c.resolveAll(0, err)
		return
	}
	writes := c.pending
	c.pending = nil
	for _, write := range writes {
		c.writer.commit(ctx, []*Write{write})
	}
}

// giveUpInteractive resolves the urgent writes that have been attempted often enough. Users are
// answered soon, so that they know when to come back: an urgent write is not repeated
// after an unknown outcome, and seldom after a refusal.
func (c *commit) giveUpInteractive(err error) {
	refused := errors.Is(err, ErrNotExecuted)
	c.resolveWhere(func(write *Write) error {
		write.attempts++
		if !write.Interactive || refused && write.attempts < maxInteractiveAttempts {
			return nil
		}
		return err
	})
}

// wait pauses before the next attempt. If ctx ends meanwhile nothing is attempted any more.
func (c *commit) wait(ctx context.Context) {
	select {
	case <-ctx.Done():
		c.resolveAll(0, errWriterStopped)
	case <-time.After(c.backoff + c.writer.jitter(c.backoff)):
		c.backoff = min(2*c.backoff, maxBackoff)
	}
}

// resolveWhere resolves the pending writes that outcome returns an error for.
func (c *commit) resolveWhere(outcome func(*Write) error) {
	c.pending = slices.DeleteFunc(c.pending, func(write *Write) bool {
		err := outcome(write)
		if err != nil {
			c.writer.resolve(write, 0, err)
		}
		return err != nil
	})
}

// resolveAll resolves all pending writes alike.
func (c *commit) resolveAll(revision uint64, err error) {
	for _, write := range c.pending {
		c.writer.resolve(write, revision, err)
	}
	c.pending = nil
}
