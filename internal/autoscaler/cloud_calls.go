package autoscaler

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"eiderhitch/internal/cloud"
)

const (
	// maxConcurrentCalls limits the calls to the cloud that are in flight at a time, since the
	// cloud's rate limit is low. It is more than one so that a slow list does not delay
	// launches.
	maxConcurrentCalls = 2
	// callQueueLength is the number of calls that may be queued. Each kind of call has few
	// outstanding at a time, so the queue fills up only if the cloud has not answered for
	// long.
	callQueueLength = 64
)

// maxCallDelayFactor, times the lifetime of the leader's lease, is the longest time from a decision to
// the request to the cloud. It leaves the calls queued before it some seconds at a low rate limit.
const maxCallDelayFactor = 2

// The errors of calls that are not made any more.
var (
	errCallExpired = errors.New("the decision is too old")
	errTermEnded   = errors.New("the leadership term has ended")
)

// cloudCall makes a call to the cloud and passes its result to the event loop.
type cloudCall func(ctx context.Context)

// queuedCall is a call to the cloud with the conditions under which its requests are sent. A process
// that was suspended, or whose calls wait for the rate limit, must not act on a decision that the
// next leader may regret: meanwhile that one may have given the machine tasks.
type queuedCall struct {
	call cloudCall
	// sendBy is the time after which no request is sent.
	sendBy time.Time
	// termEnded is set at the end of the term in which the call was decided. It is nil if this
	// controller was not the leader.
	termEnded *atomic.Bool
}

// checkSend returns an error if a request of the call must not be sent at now.
func (c *queuedCall) checkSend(now time.Time) error {
	if c.termEnded != nil && c.termEnded.Load() {
		return errTermEnded
	}
	if !now.Before(c.sendBy) {
		return errCallExpired
	}
	return nil
}

// queueCall queues a call to the cloud that was decided on now. It returns false if the queue is full.
func (a *Autoscaler) queueCall(call cloudCall) bool { return a.queueCallUntil(a.sendBy(), call) }

// sendBy returns the time until which a decision that is made now may be acted on.
func (a *Autoscaler) sendBy() time.Time {
	return a.Loop.Now().Add(maxCallDelayFactor * a.Operator.LeaseTTL)
}

// queueCallUntil is like queueCall for a call whose requests may be sent until sendBy.
func (a *Autoscaler) queueCallUntil(sendBy time.Time, call cloudCall) bool {
	select {
	case a.queuedCalls <- queuedCall{call: call, sendBy: sendBy, termEnded: a.term.ended}:
		return true
	default:
		return false
	}
}

// Run makes the queued calls to the cloud until ctx is done. It returns after the calls that
// are then in flight.
func (a *Autoscaler) Run(ctx context.Context) {
	var workers sync.WaitGroup
	for range maxConcurrentCalls {
		workers.Go(func() { a.runCalls(ctx) })
	}
	workers.Wait()
}

// runCalls makes queued calls one after the other until ctx is done.
func (a *Autoscaler) runCalls(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case queued := <-a.queuedCalls:
			a.makeCall(ctx, queued)
		}
	}
}

// makeCall makes a queued call. Its requests are sent only as long as its conditions hold.
func (a *Autoscaler) makeCall(ctx context.Context, queued queuedCall) {
	queued.call(cloud.WithSendCheck(ctx, func() error { return queued.checkSend(a.Clock()) }))
}
