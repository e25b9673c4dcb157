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

// enqueue has the event loop run an event; it blocks while the queue is full.
func (c *clusterState) enqueue(at priority, event func()) { c.events.put(c.ctx, at, event) }

// call has the event loop run an event and waits for it. False means that it has not been run
// and won't be, or that ctx ended meanwhile: nobody waits for what it says any more.
func (c *clusterState) call(ctx context.Context, at priority, event func()) bool {
	done := make(chan struct{})
	awaited := func() {
		if ctx.Err() == nil {
			event()
			close(done)
		}
	}
	if !c.putCall(ctx, at, awaited) {
		return false
	}
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// putCall queues an event that somebody waits for; false: it won't be run.
func (c *clusterState) putCall(ctx context.Context, at priority, event func()) bool {
	if at == priorityUsers {
		return c.events.putUserRequest(event)
	}
	return c.events.put(ctx, at, event)
}

// loopAt is the event loop as components see it that queue functions at one priority.
type loopAt struct {
	*clusterState
	at priority
}

// Now is the time of the event that the loop works on.
func (l loopAt) Now() time.Time { return l.now }

// Enqueue queues an event; it blocks while the queue is full.
func (l loopAt) Enqueue(event func()) { l.enqueue(l.at, event) }

// Call runs an event and waits for it; false if ctx ended first.
func (l loopAt) Call(ctx context.Context, event func()) bool { return l.call(ctx, l.at, event) }

// RetryAfterS is in how many seconds a user who was turned away should come back.
func (l loopAt) RetryAfterS() int { return l.events.retryAfterS() }

// isFresh tells whether the replica is current enough to act on: see MaxStaleness.
func (c *clusterState) isFresh(limit time.Duration) bool {
	return c.replica.FreshWithin(limit, c.now)
}

// SubmitWrite submits a write; done runs on the event loop with the result, after the replica
// has taken the changes in.
func (c *clusterState) SubmitWrite(write *store.Write, done func(err error)) {
	begun := c.now
	write.Done = func(revision uint64, err error) {
		// The writer never waits for a full queue of events that waits for the writer.
		go c.enqueue(priorityState, func() {
			c.metrics.observe(latencyCommit, c.now.Sub(begun))
			if err == nil {
				c.replica.ApplyTxn(write.Changes, revision)
			}
			done(err)
		})
	}
	if !c.stateWriter.Submit(write) {
		c.log.Error("write queue is full")
		write.Done(0, store.ErrNotExecuted)
	}
}
