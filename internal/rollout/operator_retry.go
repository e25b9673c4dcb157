package rollout

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"eiderhitch/internal/store"
	"eiderhitch/internal/wire"
)

const (
	// minRetryDelay and maxRetryDelay bound how long an operator's command waits before it
	// tries a call again: twice as long each time, less up to a half, so that commands which
	// were refused together don't come back together.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 2 * time.Second
)

// OutcomeUnknownError says that it is not known whether a request was stored, or may be yet.
type OutcomeUnknownError struct {
	Request Request
	Err     error
}

// Error says so in one line.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("it is not known whether %s was stored: %v", e.Request, e.Err)
}

// Unwrap returns why it is not known.
func (e *OutcomeUnknownError) Unwrap() error { return e.Err }

// isTransient tells whether a call that failed may succeed when it is made again.
func isTransient(err error) bool {
	return errors.Is(err, store.ErrNotExecuted) || errors.Is(err, store.ErrOutcomeUnknown)
}

// retry makes a call until it succeeds, fails for good or the time to retry is over. The call
// must be one that may be made twice.
func (o *OperatorClient) retry(ctx context.Context, call func() error) error {
	for delay := minRetryDelay; ; delay = min(2*delay, maxRetryDelay) {
		err := call()
		wait := delay - rand.N(delay/2)
		if err == nil || !isTransient(err) || time.Now().Add(wait).After(o.RetryDeadline) {
			return err
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return err
		}
	}
}

// storeRequest stores a state with a request in it in place of the state of a revision. The
// transaction may be sent several times: all copies have the condition that the state is of
// that revision, so that one of them at most is carried out, whenever it arrives.
func (o *OperatorClient) storeRequest(ctx context.Context, next State, revision uint64) error {
	txn := &wire.Txn{
		Conditions: []wire.Condition{{Key: StateKey, Revision: revision}},
		Changes:    []wire.Change{{Put: StateKey, Value: next.Encode()}},
	}
	maybeStored := false
	err := o.retry(ctx, func() error {
		_, err := o.Store.Txn(ctx, txn)
		maybeStored = maybeStored || errors.Is(err, store.ErrOutcomeUnknown)
		return err
	})
	switch {
	case err == nil:
		return nil
	case maybeStored:
		return o.resolveOutcome(ctx, next, err)
	case errors.Is(err, store.ErrConflict):
		return ErrStateChanged
	}
	return err
}

// settle finds out by reading whether a request was stored of which an answer was lost. cause
// is how the last try failed.
func (o *OperatorClient) resolveOutcome(ctx context.Context, next State, cause error) error {
	current, _, err := o.readState(ctx)
	if err != nil {
		return &OutcomeUnknownError{next.Request, err}
	}
	if current == next || next.canLeadTo(current) {
		return nil
	}
	return &OutcomeUnknownError{next.Request, cause}
}

// canLeadTo tells whether a state is what a leader makes of the request in this one.
func (s State) canLeadTo(current State) bool {
	outcomes := []State{s.withLevelFinalized(ClusterView{})}
	if s.Request == RequestAbort || s.OnHold || s.Phase == PhaseReverting {
		_, next := decideRequest(s, ClusterView{})
		outcomes = []State{next}
	}
	for _, outcome := range outcomes {
		outcome.PhaseStartedAt = current.PhaseStartedAt
		if outcome == current {
			return true
		}
	}
	return false
}
