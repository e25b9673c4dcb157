package store

import (
	"context"
	"errors"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Parameters relative to the store's limit on changes per second, which all controllers share.
const (
	initialShare    = 0.7 // initial rate of one controller
	maxShare        = 0.9 // largest rate of one controller
	minTotalShare   = 0.8 // sum of the lowest rates of all controllers
	maxBurstSeconds = 0.5 // largest burst of one controller, as changes in this time at the full rate
)

const (
	// rateIncrease is the share of the largest rate by which the rate increases with each
	// successful transaction.
	rateIncrease = 0.02
	// rateDecrease is the factor by which the rate is multiplied when a transaction is
	// throttled. That happens at most once in decreaseInterval, because several transactions
	// in flight can be throttled for the same reason.
	rateDecrease     = 0.75
	decreaseInterval = 500 * time.Millisecond

	// batchSeconds limits the changes of one transaction to those that the current rate allows
	// in this time.
	batchSeconds = 0.3
	// minBatchChanges is the number of changes that a transaction may have at any rate.
	minBatchChanges = 4
	// maxDebtSeconds is approximately the longest time by which immediate writes can delay the
	// others.
	maxDebtSeconds = 0.3
)

// adaptiveLimiter limits the rate at which one controller writes. The controllers share the store's
// limit and need very different shares of it. Each one increases its rate while its transactions
// succeed and decreases it when the store throttles them (additive increase, multiplicative
// decrease). With a fixed share, the leader's rate would be too low while the other controllers
// write little. Its methods may be called concurrently.
type adaptiveLimiter struct {
	limiter          *rate.Limiter
	minRate, maxRate rate.Limit // limits of the rate, in changes per second

	mu          sync.Mutex
	decreasedAt time.Time // time of the last decrease of the rate; guarded by mu
}

func newAdaptiveLimiter(changesPerSecond float64, controllers, maxChanges int) *adaptiveLimiter {
	fullRate := rate.Limit(changesPerSecond)
	return &adaptiveLimiter{
		limiter: rate.NewLimiter(fullRate*initialShare, max(maxChanges, int(changesPerSecond*maxBurstSeconds))),
		minRate: fullRate * minTotalShare / rate.Limit(max(controllers, 1)),
		maxRate: fullRate * maxShare,
	}
}

// maxBatchChanges returns the largest number of changes that one transaction should have: as many
// as the rate allows in a fraction of a second. A transaction with as many changes as the limit
// allows in a whole second would be throttled repeatedly, because smaller transactions of other
// controllers keep using up the limit.
func (r *adaptiveLimiter) maxBatchChanges(maxChanges int) int {
	return min(maxChanges, max(minBatchChanges, int(r.changesPerSecond()*batchSeconds)))
}

// changesPerSecond returns the current rate.
func (r *adaptiveLimiter) changesPerSecond() float64 { return float64(r.limiter.Limit()) }

// wait waits until a transaction with this number of changes may be sent, and returns an error if
// ctx ends first. Immediate changes don't wait. They count toward the rate until others would be
// delayed by more than maxDebtSeconds.
func (r *adaptiveLimiter) wait(ctx context.Context, changes int, immediate bool) error {
	changes = min(changes, r.limiter.Burst())
	if !immediate {
		return r.limiter.WaitN(ctx, changes)
	}
	// After an outage, the first controller that users reach receives all requests that they have
	// postponed. Without this limit on the debt, it could store no other writes for seconds.
	if now := time.Now(); r.limiter.TokensAt(now) > -maxDebtSeconds*r.changesPerSecond() {
		r.limiter.ReserveN(now, changes)
	}
	return nil
}

// observeResult adapts the rate to the result of a transaction.
func (r *adaptiveLimiter) observeResult(now time.Time, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	current := r.limiter.Limit()
	switch {
	case errors.Is(err, ErrThrottled):
		if now.Sub(r.decreasedAt) < decreaseInterval {
			return
		}
		r.decreasedAt = now
		r.limiter.SetLimitAt(now, max(current*rateDecrease, r.minRate))
	case err == nil:
		r.limiter.SetLimitAt(now, min(current+rateIncrease*r.maxRate, r.maxRate))
	}
}
