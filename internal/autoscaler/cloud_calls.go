package autoscaler

import (
	"context"
	"sync"
)

const (
	// callWorkers is how many calls to the cloud are under way at a time: its rate limit
	// is low, and a slow list must not hold launches up.
	callWorkers = 2
	// callQueueLength is how many calls may wait. Each kind of call has few under way at
	// a time, so more would wait only if the cloud has not answered for long.
	callQueueLength = 64
)

// call makes a call to the cloud and hands its result to the event loop.
type call func(ctx context.Context)

// queueCall queues a call to the cloud. It reports false if too many wait.
func (a *Autoscaler) queueCall(c call) bool {
	select {
	case a.calls <- c:
		return true
	default:
		return false
	}
}

// Run makes the calls to the cloud until ctx ends.
func (a *Autoscaler) Run(ctx context.Context) {
	var workers sync.WaitGroup
	for range callWorkers {
		workers.Go(func() { a.makeCalls(ctx) })
	}
	workers.Wait()
}

// makeCalls makes one call after the other.
func (a *Autoscaler) makeCalls(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-a.calls:
			c(ctx)
		}
	}
}
