package autoscaler

import (
	"context"
	"sync"
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

// cloudCall makes a call to the cloud and passes its result to the event loop.
type cloudCall func(ctx context.Context)

// queueCall queues a call to the cloud. It returns false if the queue is full.
func (a *Autoscaler) queueCall(call cloudCall) bool {
	select {
	case a.queuedCalls <- call:
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
		case c := <-a.queuedCalls:
			c(ctx)
		}
	}
}
