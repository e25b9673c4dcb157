package controller

import (
	"context"
	"sync/atomic"
	"time"
)

// priority is that of an event. Where there is more to do than processor time for it, events
// of a priority run only while there are none of those before it.
type priority int

const (
	// priorityStore is for what the key-value store has said: it tells that leases are
	// lost, and what of our own is stored.
	priorityStore priority = iota
	// priorityWorkers is for heartbeats, answers to direct commands, the cloud's answers
	// and peers. A heartbeat that is answered too late costs a worker's lease, and with it
	// work that must then be done once more.
	priorityWorkers
	// priorityUsers is for users, who can be told to come back.
	priorityUsers
	numPriorities
)

// queueCapacity bounds the events of each priority; who finds it full waits, users excepted.
const queueCapacity = 1024

// maxUserWait is how long a user's request may have waited for the event loop for others to
// queue behind it. It is well below the time in which users give up.
const maxUserWait = 500 * time.Millisecond

// maxRetryAfter is the longest that a user is told to wait before the next try.
const maxRetryAfter = 30 * time.Second

// eventQueue holds what the event loop is to do.
type eventQueue struct {
	queues [numPriorities]chan func()
	// nextUserQueuedAt is when the user's request that is next, or one before it, was queued.
	nextUserQueuedAt atomic.Pointer[time.Time]
}

func newEventQueue() *eventQueue {
	q := &eventQueue{}
	for p := range q.queues {
		q.queues[p] = make(chan func(), queueCapacity)
	}
	return q
}

// put queues an event; false if ctx ends while the queue is full.
func (q *eventQueue) put(ctx context.Context, p priority, event func()) bool {
	select {
	case q.queues[p] <- event:
		return true
	case <-ctx.Done():
		return false
	}
}

// putUserRequest queues a user's request unless those before it wait for too long already:
// then all are better off if it is told at once to come back.
func (q *eventQueue) putUserRequest(request func()) bool {
	queuedAt := time.Now()
	if q.userWait(queuedAt) > maxUserWait {
		return false
	}
	users := q.queues[priorityUsers]
	if len(users) == 0 {
		q.nextUserQueuedAt.Store(&queuedAt)
	}
	event := func() {
		q.nextUserQueuedAt.Store(&queuedAt)
		request()
	}
	select {
	case users <- event:
		return true
	default:
		return false
	}
}

// userWait is about how long the user's request that is next has waited.
func (q *eventQueue) userWait(now time.Time) time.Duration {
	queuedAt := q.nextUserQueuedAt.Load()
	if queuedAt == nil || len(q.queues[priorityUsers]) == 0 {
		return 0
	}
	return now.Sub(*queuedAt)
}

// next is the first event by priority; nil if there is none.
func (q *eventQueue) tryTake() func() {
	for _, queue := range q.queues {
		select {
		case event := <-queue:
			return event
		default:
		}
	}
	return nil
}

// take waits for a tick, which comes before all events, or for the first event by priority;
// it returns neither once done is closed.
func (q *eventQueue) take(done <-chan struct{}, tick <-chan time.Time) (event func(), ticked bool) {
	select {
	case <-tick:
		return nil, true
	default:
	}
	if event = q.tryTake(); event != nil {
		return event, false
	}
	select {
	case <-done:
	case <-tick:
		return nil, true
	case event = <-q.queues[priorityStore]:
	case event = <-q.queues[priorityWorkers]:
	case event = <-q.queues[priorityUsers]:
	}
	return event, false
}

// hasEventsAbove tells whether an event of a priority before the given one waits.
func (q *eventQueue) hasEventsAbove(p priority) bool {
	for _, queue := range q.queues[:p] {
		if len(queue) > 0 {
			return true
		}
	}
	return false
}

// retryAfterS is in how many seconds a user who is turned away should come back: about when
// those that wait now are answered.
func (q *eventQueue) retryAfterS() int {
	return 1 + int(min(q.userWait(time.Now()), maxRetryAfter-time.Second)/time.Second)
}
