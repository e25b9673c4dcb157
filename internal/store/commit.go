package store

import (
	"context"
	"errors"
	"slices"
	"time"

	"eiderhitch/internal/wire"
)

const (
	// maxInteractiveAttempts is the number of attempts after which an interactive write that the
	// store refuses is given up.
	maxInteractiveAttempts = 3
	// minBackoff and maxBackoff are the limits of the pause between two attempts. Jitter is
	// added to the pause.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 200 * time.Millisecond
)

// commit is the process of storing a batch of writes. A write whose outcome is known is resolved
// and removed from pendingWrites.
type commit struct {
	writer        *Writer
	pendingWrites []*Write
	backoff       time.Duration // pause after the next attempt without an outcome, before jitter
}

// commit attempts writes until the outcome of each is known. An attempt without a response is
// repeated with the same conditions. If the first attempt was or will be applied, the conditions
// make one of the two fail, so that nothing is applied twice.
func (w *Writer) commit(ctx context.Context, writes []*Write) {
	c := &commit{writer: w, pendingWrites: writes, backoff: minBackoff}
	for {
		c.dropCancelledAndExpired(time.Now())
		if len(c.pendingWrites) == 0 {
			return
		}
		c.attempt(ctx)
	}
}

// dropCancelledAndExpired resolves writes that were cancelled or have expired, without sending
// them.
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

// attempt sends the pending writes in one transaction and processes its result.
func (c *commit) attempt(ctx context.Context) {
	txn := buildTransaction(c.pendingWrites)
	// Immediate writes don't wait for the local rate limit. They are few, and after an outage
	// other writes can keep the limiter busy for seconds.
	if err := c.writer.limiter.wait(ctx, len(txn.Changes), c.pendingWrites[0].isImmediate()); err != nil {
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

// buildTransaction returns a transaction with all conditions and changes of the writes. A condition
// that several writes have is included once.
func buildTransaction(writes []*Write) *wire.Txn {
	txn := &wire.Txn{}
	added := map[wire.Condition]bool{}
	for _, write := range writes {
		for _, condition := range write.Conditions {
			if !added[condition] {
				added[condition] = true
				txn.Conditions = append(txn.Conditions, condition)
			}
		}
		txn.Changes = append(txn.Changes, write.Changes...)
	}
	return txn
}

// resolveConflicts resolves the writes that have a condition on one of the failed keys. The others
// stay pending for another attempt.
func (c *commit) resolveConflicts(failed []string, err error) {
	before := len(c.pendingWrites)
	c.resolveWhere(func(write *Write) error {
		for _, condition := range write.Conditions {
			if slices.Contains(failed, condition.Key) {
				return err
			}
		}
		return nil
	})
	if len(c.pendingWrites) == before { // no write has a failed key, so a retry would fail in the same way
		c.resolveAll(0, err)
	}
}

// resolveInvalid determines which write makes a transaction invalid by committing each write
// separately.
func (c *commit) resolveInvalid(ctx context.Context, err error) {
	if len(c.pendingWrites) == 1 {
		c.resolveAll(0, err)
		return
	}
	writes := c.pendingWrites
	c.pendingWrites = nil
	for _, write := range writes {
		c.writer.commit(ctx, []*Write{write})
	}
}

// giveUpInteractive resolves the interactive writes that must not be retried further. An
// interactive write is not repeated after an unknown outcome, and only a few times after a refusal,
// so that users get a response soon and can retry later.
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

// wait pauses before the next attempt. If ctx ends during the pause, it resolves all pending
// writes.
func (c *commit) wait(ctx context.Context) {
	select {
	case <-ctx.Done():
		c.resolveAll(0, errWriterStopped)
	case <-time.After(c.backoff + c.writer.jitter(c.backoff)):
		c.backoff = min(2*c.backoff, maxBackoff)
	}
}

// resolveWhere resolves the pending writes for which errorOf returns an error, with that error.
func (c *commit) resolveWhere(errorOf func(*Write) error) {
	c.pendingWrites = slices.DeleteFunc(c.pendingWrites, func(write *Write) bool {
		err := errorOf(write)
		if err != nil {
			c.writer.resolve(write, 0, err)
		}
		return err != nil
	})
}

// resolveAll resolves all pending writes with the same outcome.
func (c *commit) resolveAll(revision uint64, err error) {
	for _, write := range c.pendingWrites {
		c.writer.resolve(write, revision, err)
	}
	c.pendingWrites = nil
}
