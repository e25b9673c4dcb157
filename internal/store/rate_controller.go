package store

import (
	"context"
	"errors"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// rateController is how fast one controller writes. The state service's limit is for all
// controllers together, and they need very different shares of it: each goes
// faster while nothing is refused, and slower when the service says that it is
// too much. A fixed share would leave the leader short while others need little.
type rateController struct {
	limit       *rate.Limiter
	least, most rate.Limit

	mu     sync.Mutex
	slowed time.Time
}

const (
	paceUp    = 0.02 // of the whole limit, for each transaction that is taken
	paceDown  = 0.75 // factor when one is too much
	paceEvery = 500 * time.Millisecond

	batchS     = 0.3 // seconds' worth of changes in one transaction
	leastBatch = 4
	debtS      = 0.3 // seconds' worth of changes that users may put the others back
)

func newRateController(writeRPS float64, sharers, ops int) *rateController {
	w := rate.Limit(writeRPS)
	return &rateController{limit: rate.NewLimiter(w*0.7, max(ops, int(writeRPS*0.5))),
		least: w * 0.8 / rate.Limit(max(sharers, 1)), most: w * 0.9}
}

// batch is how many changes one transaction should have at the most: what comes
// free in a fraction of a second. One that wants all of a second's worth at once
// would be refused time after time while others take it change by change.
func (p *rateController) batch(ops int) int { return min(ops, max(leastBatch, int(p.rate()*batchS))) }

// rate is the present one, in changes a second.
func (p *rateController) rate() float64 { return float64(p.limit.Limit()) }

// wait until n changes may be sent. Those of users don't wait, but are counted.
func (p *rateController) wait(ctx context.Context, n int, urgent bool) error {
	n = min(n, p.limit.Burst())
	if urgent {
		// After an outage the first controller that users reach gets all that they
		// have put off, for which it would else store nothing of its own for seconds.
		if now := time.Now(); p.limit.TokensAt(now) > -debtS*p.rate() {
			p.limit.ReserveN(now, n)
		}
		return nil
	}
	return p.limit.WaitN(ctx, n)
}

// answered learns from the result of a transaction.
func (p *rateController) answered(now time.Time, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.limit.Limit()
	switch {
	case errors.Is(err, ErrThrottled):
		if now.Sub(p.slowed) < paceEvery {
			return // several in flight were refused for the same reason
		}
		p.slowed = now
		p.limit.SetLimitAt(now, max(r*paceDown, p.least))
	case err == nil:
		p.limit.SetLimitAt(now, min(r+paceUp*p.most, p.most))
	}
}
