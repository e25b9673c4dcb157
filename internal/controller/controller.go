// Package controller runs a controller of the cluster: it wires the components together and
// runs the event loop that owns their state. Goroutines for connections, for the key-value
// store and for calls to the cloud and to workers talk to the event loop through its queue
// of events.
package controller

import (
	"context"
	"time"

	"eiderhitch/internal/frontend"
	"eiderhitch/internal/store"
)

// controller runs the event loop and wires the components together. Only the event loop's
// goroutine touches its state and that of the components, but for the methods of frontend
// and election that say otherwise.
type controller struct {
	*clusterState
	*partitionOwner
	*leader
	*frontend.Frontend

	send func(peer string, frame []byte)
}

// enqueue runs f in the actor; it blocks while the lane is full.
func (c *clusterState) enqueue(l priority, f func()) { c.events.put(c.ctx, l, f) }

// call runs f in the actor and waits for it. False means that f has not been run and
// won't be, or that ctx ended meanwhile: nobody waits for what it says any more.
func (c *clusterState) call(ctx context.Context, l priority, f func()) bool {
	ready := make(chan struct{})
	g := func() {
		if ctx.Err() == nil {
			f()
			close(ready)
		}
	}
	if l == priorityUsers {
		if !c.events.putUserRequest(g) {
			return false
		}
	} else if !c.events.put(ctx, l, g) {
		return false
	}
	select {
	case <-ready:
		return true
	case <-ctx.Done():
		return false
	}
}

// loopAt is the event loop as components see it that queue functions at one priority.
type loopAt struct {
	*clusterState
	at priority
}

// Now is the time of the event that the loop works on.
func (l loopAt) Now() time.Time { return l.now }

// Enqueue queues f; it blocks while the queue is full.
func (l loopAt) Enqueue(f func()) { l.enqueue(l.at, f) }

// Call runs f and waits for it; false if ctx ended first.
func (l loopAt) Call(ctx context.Context, f func()) bool { return l.call(ctx, l.at, f) }

// RetryAfterS is in how many seconds a user who was turned away should come back.
func (l loopAt) RetryAfterS() int { return l.events.retryAfterS() }

// isFresh tells whether the replica is current enough to act on: see MaxStaleness.
func (c *clusterState) isFresh(limit time.Duration) bool {
	return c.replica.FreshWithin(limit, c.now)
}

// SubmitWrite submits a unit; then runs in the actor with the result, after the
// replica has taken the changes in.
func (c *clusterState) SubmitWrite(write *store.Write, then func(err error)) {
	begun := c.now
	write.Done = func(rev uint64, err error) {
		// Never block the writer on a full inbox that waits for the writer.
		go c.enqueue(priorityState, func() {
			c.metrics.observe(latencyCommit, c.now.Sub(begun))
			if err == nil {
				c.replica.ApplyTxn(write.Changes, rev)
			}
			then(err)
		})
	}
	if !c.stateWriter.Submit(write) {
		c.log.Error("write queue is full")
		write.Done(0, store.ErrNotExecuted)
	}
}
