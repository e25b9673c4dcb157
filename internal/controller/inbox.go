package controller

import (
	"context"
	"sync/atomic"
	"time"
)

// lane is one of the actor's queues. Where there is more to do than processor time
// for it, a lane is looked at only while those before it are empty.
type lane int

const (
	// laneState is for what the state service has said: it tells that rights are
	// lost, and what of our own is stored.
	laneState lane = iota
	// laneWorkers is for reports, answers to direct commands, the cloud's answers
	// and siblings. A report that is answered too late costs a lease, and with it work
	// that must then be done once more.
	laneWorkers
	// laneUsers is for users, who can be told to come back.
	laneUsers
	lanes
)

// laneSize bounds each lane; who finds it full waits, users excepted.
const laneSize = 1024

// usersMost is how long a user's request may have waited for the actor for others to
// queue behind it. It is well below the time in which users give up.
const usersMost = 500 * time.Millisecond

// inbox holds what the actor is to do.
type inbox struct {
	lanes [lanes]chan func()
	// first is when the user's request that is next, or one before it, was queued.
	first atomic.Pointer[time.Time]
}

func newInbox() *inbox {
	in := &inbox{}
	for l := range in.lanes {
		in.lanes[l] = make(chan func(), laneSize)
	}
	return in
}

// put queues f; false if ctx ends while the lane is full.
func (in *inbox) put(ctx context.Context, l lane, f func()) bool {
	select {
	case in.lanes[l] <- f:
		return true
	case <-ctx.Done():
		return false
	}
}

// putUser queues a user's request unless those before it wait for too long already:
// then all are better off if it is told at once to come back.
func (in *inbox) putUser(f func()) bool {
	at := time.Now()
	if in.waiting(at) > usersMost {
		return false
	}
	if len(in.lanes[laneUsers]) == 0 {
		in.first.Store(&at)
	}
	select {
	case in.lanes[laneUsers] <- func() { in.first.Store(&at); f() }:
		return true
	default:
		return false
	}
}

// waiting is about how long the user's request that is next has waited.
func (in *inbox) waiting(now time.Time) time.Duration {
	first := in.first.Load()
	if first == nil || len(in.lanes[laneUsers]) == 0 {
		return 0
	}
	return now.Sub(*first)
}

// next is what comes first by the order of the lanes; nil if there is nothing.
func (in *inbox) next() func() {
	for _, c := range in.lanes {
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
func (in *inbox) take(done <-chan struct{}, tick <-chan time.Time) (f func(), ticked bool) {
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
	case f = <-in.lanes[laneState]:
	case f = <-in.lanes[laneWorkers]:
	case f = <-in.lanes[laneUsers]:
	}
	return f, false
}

// pressed tells whether anything waits in a lane before l.
func (in *inbox) pressed(l lane) bool {
	for _, c := range in.lanes[:l] {
		if len(c) > 0 {
			return true
		}
	}
	return false
}

// backIn is in how many seconds a user who is turned away should come back.
func (in *inbox) backIn() int {
	return 1 + int(min(in.waiting(time.Now()), 29*time.Second)/time.Second)
}
