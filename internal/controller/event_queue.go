package controller

import (
	"context"
	"sync/atomic"
	"time"
)

// priority is one of the actor's queues. Where there is more to do than processor time
// for it, a lane is looked at only while those before it are empty.
type priority int

const (
	// priorityState is for what the state service has said: it tells that rights are
	// lost, and what of our own is stored.
	priorityState priority = iota
	// priorityWorkers is for reports, answers to direct commands, the cloud's answers
	// and siblings. A report that is answered too late costs a lease, and with it work
	// that must then be done once more.
	priorityWorkers
	// priorityUsers is for users, who can be told to come back.
	priorityUsers
	priorities
)

// queueSize bounds each lane; who finds it full waits, users excepted.
const queueSize = 1024

// maxUserWait is how long a user's request may have waited for the actor for others to
// queue behind it. It is well below the time in which users give up.
const maxUserWait = 500 * time.Millisecond

// eventQueue holds what the actor is to do.
type eventQueue struct {
	queues [priorities]chan func()
	// nextUserQueuedAt is when the user's request that is next, or one before it, was queued.
	nextUserQueuedAt atomic.Pointer[time.Time]
}

func newEventQueue() *eventQueue {
	in := &eventQueue{}
	for l := range in.queues {
		in.queues[l] = make(chan func(), queueSize)
	}
	return in
}

// put queues f; false if ctx ends while the lane is full.
func (in *eventQueue) put(ctx context.Context, l priority, f func()) bool {
	select {
	case in.queues[l] <- f:
		return true
	case <-ctx.Done():
		return false
	}
}

// putUserRequest queues a user's request unless those before it wait for too long already:
// then all are better off if it is told at once to come back.
func (in *eventQueue) putUserRequest(f func()) bool {
	at := time.Now()
	if in.userWait(at) > maxUserWait {
		return false
	}
	if len(in.queues[priorityUsers]) == 0 {
		in.nextUserQueuedAt.Store(&at)
	}
	select {
	case in.queues[priorityUsers] <- func() { in.nextUserQueuedAt.Store(&at); f() }:
		return true
	default:
		return false
	}
}

// userWait is about how long the user's request that is next has waited.
func (in *eventQueue) userWait(now time.Time) time.Duration {
	first := in.nextUserQueuedAt.Load()
	if first == nil || len(in.queues[priorityUsers]) == 0 {
		return 0
	}
	return now.Sub(*first)
}

// next is what comes first by the order of the lanes; nil if there is nothing.
func (in *eventQueue) next() func() {
	for _, c := range in.queues {
		select {
		case f := <-c:
			return f
		default:
		}
	}
	return nil
}

// take waits for a tick, which comes before everything, or for what comes first; it
// returns neither once done is closed.
func (in *eventQueue) take(done <-chan struct{}, tick <-chan time.Time) (f func(), ticked bool) {
	select {
	case <-tick:
		return nil, true
	default:
	}
	if f = in.next(); f != nil {
		return f, false
	}
	select {
	case <-done:
	case <-tick:
		return nil, true
	case f = <-in.queues[priorityState]:
	case f = <-in.queues[priorityWorkers]:
	case f = <-in.queues[priorityUsers]:
	}
	return f, false
}

// hasBefore tells whether anything waits in a lane before l.
func (in *eventQueue) hasBefore(l priority) bool {
	for _, c := range in.queues[:l] {
		if len(c) > 0 {
			return true
		}
	}
	return false
}

// retryAfterS is in how many seconds a user who is turned away should come back.
func (in *eventQueue) retryAfterS() int {
	return 1 + int(min(in.userWait(time.Now()), 29*time.Second)/time.Second)
}
