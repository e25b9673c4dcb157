package controller

import (
	"context"
	"time"
)

// eventLoop holds the event queue and the time of the event that is being processed. The methods
// that queue events are safe for concurrent use; all other methods and fields may only be used
// by the goroutine that runs the events.
type eventLoop struct {
	// ctx ends the event loop when it is canceled.
	ctx    context.Context
	events *eventQueue
	// now is the time at which processing of the current event began.
	now time.Time
	// resumedFromPauseAt is the time at which this process last resumed after a pause longer
	// than pauseThreshold. It is zero if there was none.
	resumedFromPauseAt time.Time
	// lastTickAt is the time of the last tick. lastLaggedAt is the time of the last tick that
	// was late (see isLagging). Both are zero if there was none.
	lastTickAt, lastLaggedAt time.Time
	// passRequested is set when an event has requested a scheduling pass that has not run yet.
	passRequested bool
}

// newEventLoop returns an event loop with an empty queue. Canceling ctx ends it.
func newEventLoop(ctx context.Context) *eventLoop {
	return &eventLoop{ctx: ctx, events: newEventQueue(), now: time.Now()}
}

// enqueue queues an event of a priority for the event loop. It blocks while the queue is full.
func (l *eventLoop) enqueue(p priority, event func()) { l.events.put(l.ctx, p, event) }

// call queues an event and waits until it has run. It returns false if the event was not queued
// or ctx ended before it completed; in the latter case the event may still be running, and the
// caller must not use its results. An event that has not begun when ctx ends does not run.
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

// enqueueCall queues an event whose caller waits for it. It returns false if the event was not
// queued and will not run.
func (l *eventLoop) enqueueCall(ctx context.Context, p priority, event func()) bool {
	if p == priorityUsers {
		return l.events.putUserRequest(event)
	}
	return l.events.put(ctx, p, event)
}

// requestSchedulingPass requests a scheduling pass. Requests in quick succession share one pass.
func (l *eventLoop) requestSchedulingPass() { l.passRequested = true }

// isLagging reports whether the current event is so long after the last tick that this process
// is short of processor time. It then can't tell whether a peer or a machine is late, or whether
// it has not yet processed a message that arrived in time.
func (l *eventLoop) isLagging() bool {
	return !l.lastTickAt.IsZero() && l.now.Sub(l.lastTickAt) > tickInterval+maxLag
}

// hasLaggedSince reports whether the event loop is lagging now or has lagged at any time after t.
func (l *eventLoop) hasLaggedSince(t time.Time) bool { return l.isLagging() || l.lastLaggedAt.After(t) }

// priorityLoop is the event loop as seen by a component whose events all have one priority.
type priorityLoop struct {
	*eventLoop
	priority priority
}

// Now returns the time at which processing of the current event began.
func (l priorityLoop) Now() time.Time { return l.now }

// Enqueue queues an event. It blocks while the queue is full.
func (l priorityLoop) Enqueue(event func()) { l.enqueue(l.priority, event) }

// Call runs f on the event loop and waits until it has run. It returns false if f was not queued
// or ctx ended first.
func (l priorityLoop) Call(ctx context.Context, f func()) bool { return l.call(ctx, l.priority, f) }

// RetryAfterS returns the number of seconds after which a rejected user should retry.
func (l priorityLoop) RetryAfterS() int { return l.events.retryAfterS() }

// runEventLoop processes ticks and events until ctx ends. Only the goroutine that runs it
// accesses the controller's state.
//
// When there is too little processor time for everything, work is done in this order: first the
// timers, which acquire leases and detect their loss; then the events by priority; then the
// scheduling passes of the partitions, which start services before arrays; and last the
// leader's planning. The interval between two passes is at least a multiple of the duration of the
// first one. With less processor time, passes thus run less often, and the work that comes later
// in the order still gets a share.
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

// runEvent runs an event. It then runs a scheduling pass if one was requested, the interval since
// the last pass has elapsed, and no event of the key-value store or of a worker is queued.
func (c *controller) runEvent(event func(), due *timerDeadlines) {
	c.now = time.Now()
	event()
	c.metrics.observeLatency(latencyEvent, time.Since(c.now))
	if c.passRequested && c.now.After(due.pass) && !c.events.hasEventsAbove(priorityUsers) {
		c.runSchedulingPass(due, time.Now())
	}
}
