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
	// minRetryDelay and maxRetryDelay are the limits of the delay between two tries of a call. The
	// delay doubles with each try and is then shortened by a random part of up to a half, so that
	// commands that were refused at the same time do not retry at the same time.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 2 * time.Second
)

// OutcomeUnknownError means that it is not known whether a request was stored or still will be.
type OutcomeUnknownError struct {
	Request Request
	Err     error
}

// Error returns the request and the cause in one line.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("it is not known whether %s was stored: %v", e.Request, e.Err)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Err }

// isTransient reports whether a failed call may succeed if it is repeated.
func isTransient(err error) bool {
	return errors.Is(err, store.ErrNotExecuted) || errors.Is(err, store.ErrOutcomeUnknown)
}

// retry makes a call until it succeeds, fails permanently, or RetryDeadline is reached. The call
// must be safe to repeat.
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

// storeRequest replaces the state at the given revision by next, which contains a request. The
// transaction may be sent several times. Since each copy is conditional on that revision, at most
// one of them is applied, whenever it arrives.
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

// resolveOutcome reads the state to find out whether a request was stored after a response was
// lost. cause is the error of the last try.
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

// canLeadTo reports whether current can result from the leader carrying out the request in s.
func (s State) canLeadTo(current State) bool {
	outcomes := []State{s.withLevelFinalized(ClusterView{})}
	if s.Request == RequestAbort || s.OnHold || s.Phase == PhaseReverting {
		_, next := decideRequest(s, ClusterView{})
		outcomes = []State{next}
	}
	for _, outcome := range outcomes {
		outcome.PhaseStartedAtMS = current.PhaseStartedAtMS
		if outcome == current {
			return true
		}
	}
	return false
}
