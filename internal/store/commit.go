package store

import (
	"context"
	"errors"
	"slices"
	"time"

	"eiderhitch/internal/wire"
)

// urgentTries is how often an urgent unit is offered to a refusing service.
const urgentTries = 3

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
