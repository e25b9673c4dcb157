package controller

import (
	"context"
	"time"
)

// eventLoop is the queue of events and the time of the event in work. Its methods that queue
// events may be called by any goroutine; all else belongs to the one that runs the events.
type eventLoop struct {
	// ctx ends the event loop.
	ctx    context.Context
	events *eventQueue
	// now is the time of the event in work.
	now time.Time
	// resumedFromPauseAt is until when this process last stood still.
	resumedFromPauseAt time.Time
	// lastTickAt is when the event loop last came to its timers, lastLaggedAt when it last
	// came late to them: see lagging.
	lastTickAt, lastLaggedAt time.Time
	// passRequested: a scheduling pass is wanted.
	passRequested bool
}

func newEventLoop(ctx context.Context) *eventLoop {
	return &eventLoop{ctx: ctx, events: newEventQueue(), now: time.Now()}
}

// enqueue has the event loop run an event; it blocks while the queue is full.
func (l *eventLoop) enqueue(p priority, event func()) { l.events.put(l.ctx, p, event) }

// call has the event loop run an event and waits for it. False means that it has not been run
// and won't be, or that ctx ended meanwhile: nobody waits for what it says any more.
func (l *eventLoop) call(ctx context.Context, p priority, event func()) bool {
	done := make(chan struct{})
	runUnlessCanceled := func() {
		if ctx.Err() == nil {
			event()
			close(done)
		}
	}
	if !l.enqueueCall(ctx, p, runUnlessCanceled) {
		return false
	}
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// enqueueCall queues an event that somebody waits for; false: it won't be run.
func (l *eventLoop) enqueueCall(ctx context.Context, p priority, event func()) bool {
	if p == priorityUsers {
		return l.events.putUserRequest(event)
	}
	return l.events.put(ctx, p, event)
}

// requestSchedulingPass asks for a scheduling pass soon: events in a burst share one.
func (l *eventLoop) requestSchedulingPass() { l.passRequested = true }

// lagging tells whether this process gets so little processor time just now that it can't
// tell who is late: others or itself.
func (l *eventLoop) isLagging() bool {
	return !l.lastTickAt.IsZero() && l.now.Sub(l.lastTickAt) > tickInterval+maxLag
}

// hasLaggedSince tells whether it did at any time since t.
func (l *eventLoop) hasLaggedSince(t time.Time) bool { return l.isLagging() || l.lastLaggedAt.After(t) }

// priorityLoop is the event loop as components see it that queue functions at one priority.
type priorityLoop struct {
	*eventLoop
	priority priority
}

// Now is the time of the event that the loop works on.
func (l priorityLoop) Now() time.Time { return l.now }

// Enqueue queues an event; it blocks while the queue is full.
func (l priorityLoop) Enqueue(event func()) { l.enqueue(l.priority, event) }

// Call runs an event and waits for it; false if ctx ended first.
func (l priorityLoop) Call(ctx context.Context, f func()) bool { return l.call(ctx, l.priority, f) }

// RetryAfterS is in how many seconds a user who was turned away should come back.
func (l priorityLoop) RetryAfterS() int { return l.events.retryAfterS() }

// loop is the event loop: it alone touches the controller's state.
//
// The order of work when there is too little processor time for all: first the timers, which
// acquire leases and notice their loss, then the events by their priority, then the
// scheduling passes of the partitions, which start services before arrays, and last the
// leader's planning. Each pass rests for several times as long as it took, so that with less
// processor time it is taken less often, and what comes later in the order still gets a
// share.
func (c *controller) runEventLoop(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	due := timerDeadlines{metrics: time.Now().Add(metricsInterval)}
	for ctx.Err() == nil {
		event, ticked := c.events.take(ctx.Done(), ticker.C)
		if ticked {
			c.onTick(&due)
		}
		if event != nil {
			c.runEvent(event, &due)
		}
	}
}

// runEvent runs an event, and a scheduling pass if one is wanted and not too soon.
func (c *controller) runEvent(event func(), due *timerDeadlines) {
	c.now = time.Now()
	event()
	c.metrics.observeLatency(latencyEvent, time.Since(c.now))
	if c.passRequested && c.now.After(due.pass) && !c.events.hasEventsAbove(priorityUsers) {
		c.runSchedulingPass(due, time.Now())
	}
}
