package store

import (
	"context"
	"errors"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Shares of the store's limit of changes a second, which is for all controllers together.
const (
	initialShare    = 0.7 // rate of one controller at its start
	maxShare        = 0.9 // largest rate of one controller
	minTotalShare   = 0.8 // least rates of all controllers, together
	maxBurstSeconds = 0.5 // largest burst, in seconds' worth of the whole limit
)

const (
	// rateIncrease is added, as a share of the largest rate, for each transaction that
	// succeeds.
	rateIncrease = 0.02
	// rateDecrease is the factor when a transaction is throttled, once in
	// decreaseInterval at most: several in flight are throttled for the same reason.
	rateDecrease     = 0.75
	decreaseInterval = 500 * time.Millisecond

	// batchSeconds is how many seconds' worth of changes one transaction has at most.
	batchSeconds = 0.3
	// minBatchChanges is how many changes a transaction may always have.
	minBatchChanges = 4
	// maxDebtSeconds is how many seconds' worth of changes immediate writes may put the
	// others back.
	maxDebtSeconds = 0.3
)

// adaptiveLimiter limits how fast one controller writes. The store's limit is for all
// controllers together, and they need very different shares of it: each goes faster while
// nothing is throttled, and slower when the store says that it is too much (additive
// increase, multiplicative decrease). A fixed share would leave the leader short while
// others need little. Its methods may be called concurrently.
type adaptiveLimiter struct {
	limiter          *rate.Limiter
	minRate, maxRate rate.Limit

	mu          sync.Mutex
	decreasedAt time.Time
}

func newAdaptiveLimiter(writeRPS float64, controllers, maxChanges int) *adaptiveLimiter {
	fullRate := rate.Limit(writeRPS)
	return &adaptiveLimiter{
		limiter: rate.NewLimiter(fullRate*initialShare, max(maxChanges, int(writeRPS*maxBurstSeconds))),
		minRate: fullRate * minTotalShare / rate.Limit(max(controllers, 1)),
		maxRate: fullRate * maxShare,
	}
}

// batch returns how many changes one transaction should have at most: what the limit frees
// in a fraction of a second. One that wants a whole second's worth at once would be
// throttled time after time while others take it change by change.
func (r *adaptiveLimiter) maxBatchChanges(maxChanges int) int {
	return min(maxChanges, max(minBatchChanges, int(r.rate()*batchSeconds)))
}

// rate returns the present rate in changes a second.
func (r *adaptiveLimiter) rate() float64 { return float64(r.limiter.Limit()) }

// wait waits until a number of changes may be sent. Immediate ones don't wait, but count.
func (r *adaptiveLimiter) wait(ctx context.Context, changes int, immediate bool) error {
	changes = min(changes, r.limiter.Burst())
	if !immediate {
		return r.limiter.WaitN(ctx, changes)
	}
	// After an outage the first controller that users reach gets all that they have put
	// off, for which it would else store nothing of its own for seconds.
	if now := time.Now(); r.limiter.TokensAt(now) > -maxDebtSeconds*r.rate() {
		r.limiter.ReserveN(now, changes)
	}
	return nil
}

// answered adapts the rate to the result of a transaction.
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
