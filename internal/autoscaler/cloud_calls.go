package autoscaler

import (
	"context"
	"sync"
)

const (
	// maxConcurrentCalls is how many calls to the cloud are under way at a time: its rate limit
	// is low, and a slow list must not hold launches up.
	maxConcurrentCalls = 2
	// callQueueLength is how many calls may wait. Each kind of call has few under way at
	// a time, so more would wait only if the cloud has not answered for long.
	callQueueLength = 64
)

// call makes a call to the cloud and hands its result to the event loop.
type cloudCall func(ctx context.Context)

// queueCall queues a call to the cloud. It reports false if too many wait.
func (a *Autoscaler) queueCall(call cloudCall) bool {
	select {
	case a.queuedCalls <- call:
		return true
	default:
		return false
	}
}

// Run makes the calls to the cloud until ctx ends.
func (a *Autoscaler) Run(ctx context.Context) {
	var workers sync.WaitGroup
	for range maxConcurrentCalls {
		workers.Go(func() { a.runCalls(ctx) })
	}
	workers.Wait()
}

// runQueuedCalls makes one call after the other.
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
