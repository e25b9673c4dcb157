package controller

import (
	"context"
	"sync/atomic"
	"time"
)

// priority is the priority of an event; lower values come first. An event runs only when no
// event of a higher priority is queued.
type priority int

const (
	// priorityStore is the priority of responses and changes from the key-value store. They show
	// whether this controller has lost a lease and which of its writes are stored.
	priorityStore priority = iota
	// priorityWorkers is the priority of heartbeats, responses to direct commands, responses
	// of the cloud, and status frames of peers. If a heartbeat is answered too late, the
	// worker's lease expires and its tasks have to be run again.
	priorityWorkers
	// priorityUsers is the priority of user requests, which can be rejected and retried.
	priorityUsers
	numPriorities
)

// queueCapacity is the maximum number of queued events of each priority. When a queue is full,
// put blocks and putUserRequest rejects the request.
const queueCapacity = 1024

// maxUserWait is the longest time that the first queued user request may have waited for another
// one to be queued behind it. It is well below the time after which users give up.
const maxUserWait = 500 * time.Millisecond

// maxRetryAfter is the longest delay after which a rejected user is asked to retry.
const maxRetryAfter = 30 * time.Second

// eventQueue holds the events that wait for the event loop, in one queue for each priority. Its
// methods are safe for concurrent use.
type eventQueue struct {
	queues [numPriorities]chan func()
	// nextUserQueuedAt is the time at which the next user request, or one that has run before
	// it, was queued. It is nil if no user request was ever queued.
	nextUserQueuedAt atomic.Pointer[time.Time]
}

// newEventQueue returns an empty queue.
func newEventQueue() *eventQueue {
	q := &eventQueue{}
	for p := range q.queues {
		q.queues[p] = make(chan func(), queueCapacity)
	}
	return q
}

// put queues an event. It blocks while the queue of its priority is full, and returns false if
// ctx ends meanwhile.
func (q *eventQueue) put(ctx context.Context, p priority, event func()) bool {
	select {
	case q.queues[p] <- event:
		return true
	case <-ctx.Done():
		return false
	}
}

// putUserRequest queues a user request and returns true. It returns false without queuing the
// request if the queue is full or those before it have waited for longer than maxUserWait:
// rejecting the request at once shortens the wait of all users.
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

// userWait returns approximately how long the next user request has waited; 0 if none is queued.
func (q *eventQueue) userWait(now time.Time) time.Duration {
	queuedAt := q.nextUserQueuedAt.Load()
	if queuedAt == nil || len(q.queues[priorityUsers]) == 0 {
		return 0
	}
	return now.Sub(*queuedAt)
}

// tryTake removes and returns the first event of the highest priority; nil if none is queued.
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

// take waits for a tick or an event. A pending tick comes before all events, and events are
// taken by priority. It returns a nil event and false if done is closed first.
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

// hasEventsAbove reports whether an event of a higher priority than p is queued.
func (q *eventQueue) hasEventsAbove(p priority) bool {
	for _, queue := range q.queues[:p] {
		if len(queue) > 0 {
			return true
		}
	}
	return false
}

// retryAfterS returns the number of seconds after which a rejected user should retry: about the
// time until the queued requests are answered, and at most maxRetryAfter.
func (q *eventQueue) retryAfterS() int {
	return 1 + int(min(q.userWait(time.Now()), maxRetryAfter-time.Second)/time.Second)
}
