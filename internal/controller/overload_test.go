package controller

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"eiderhitch/internal/simulation/agent"
	"eiderhitch/internal/wire"
)

// blockEventLoops simulates a lack of processor time: it repeatedly blocks each controller's event
// loop for blockDuration, with pauses of pauseDuration in between, until stop is called. The
// controllers are blocked at different times.
func (c *cluster) blockEventLoops(blockDuration, pauseDuration time.Duration) (stop func()) {
	ctx, cancel := context.WithCancel(c.ctx)
	var wg sync.WaitGroup
	for i, n := range c.nodes {
		ctl := n.controller()
		wg.Go(func() {
			time.Sleep(time.Duration(i) * (blockDuration + pauseDuration) / time.Duration(len(c.nodes)))
			for ctx.Err() == nil {
				ctl.enqueue(priorityStore, func() { time.Sleep(blockDuration) })
				time.Sleep(blockDuration + pauseDuration)
			}
		})
	}
	return func() { cancel(); wg.Wait() }
}

// leaseHolderNodes returns the name of the node that holds each leased key.
func (c *cluster) leaseHolderNodes() map[string]string {
	out := map[string]string{}
	ctl := c.nodes[0].controller()
	ctl.call(c.ctx, priorityStore, func() {
		for key, h := range ctl.election.Holders() {
			out[key] = h.Node
		}
	})
	return out
}

// If all controllers are short of processor time, their leases must not move, since the next
// holder would be just as slow. Machines whose heartbeats and responses only wait to be processed
// must not be terminated as unreachable, and submissions must be accepted after some retries.
func TestSlowControllersKeepLeasesAndServe(t *testing.T) {
	for _, blockDuration := range []time.Duration{700 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second} {
		t.Run(blockDuration.String(), func(t *testing.T) {
			runCluster(t, func(c *cluster) { c.checkSlowControllers(blockDuration) })
		})
	}
}

// checkSlowControllers checks a cluster whose event loops are repeatedly blocked for
// blockDuration.
func (c *cluster) checkSlowControllers(blockDuration time.Duration) {
	c.t.Helper()
	c.startServices(4, 2)
	time.Sleep(10 * time.Second)
	owners, usedAgents := c.leaseHolderNodes(), c.usedMachines()
	stop := c.blockEventLoops(blockDuration, 300*time.Millisecond)
	time.Sleep(time.Minute)
	if now := c.leaseHolderNodes(); !maps.Equal(owners, now) {
		c.t.Errorf("holders of leased keys changed from %v to %v", owners, now)
	}
	c.submit(newSubmission(submission{ID: "wk-9", Kind: wire.KindArray, Team: "blue", Priority: "normal", Tasks: 6, CPUs: 2, EstimateS: 5}))
	c.await("the array starts", 40*time.Second, func() bool { return c.env.CountRunningTasks("wk-9")+c.env.CountCompletedTasks("wk-9") > 0 })
	if !c.areServicesRunning(4, 2) {
		c.t.Error("replicas are missing, want all to run")
	}
	remaining := c.env.Cloud.Agents()
	for _, a := range usedAgents {
		if !slices.Contains(remaining, a) {
			c.t.Errorf("machine %s was terminated although it is running", a.Name())
		}
	}
	stop()
	c.awaitDone("wk-9", 2*time.Minute)
}

// usedMachines returns the agents of the machines that have tasks bound to them.
func (c *cluster) usedMachines() []*agent.Agent {
	var used []*agent.Agent
	for _, a := range c.env.Cloud.Agents() {
		if c.countTasksBoundTo(a.Name()) > 0 {
			used = append(used, a)
		}
	}
	return used
}

// A controller whose event loop is blocked must lose its leases. Renewals that did not depend on
// the event loop would keep them for as long as the process lives.
func TestBlockedControllerLosesItsLeases(t *testing.T) {
	runCluster(t, func(c *cluster) {
		const blockedNode = 2
		c.startServices(4, 2)
		time.Sleep(10 * time.Second)
		before := c.leaseHolderNodes()
		c.nodes[blockedNode].controller().enqueue(priorityStore, func() { time.Sleep(time.Minute) })
		time.Sleep(3*c.nodes[0].controller().operator.LeaseTTL + time.Second)
		name := c.nodes[blockedNode].cfg.Name
		for key, node := range c.leaseHolderNodes() {
			if before[key] == name && node == name {
				t.Errorf("%s is still held by the blocked controller %s", key, name)
			}
		}
		time.Sleep(time.Minute)
		if !c.areServicesRunning(4, 2) {
			t.Error("replicas are missing, want all to run")
		}
	})
}

// userQueryTimeout is how long the users of TestOverloadedControllerRejectsUsersAtOnce wait for the
// response to a query.
const userQueryTimeout = 1800 * time.Millisecond

// A controller without processor time for users must reject their requests at once with a time
// after which to retry, rather than let them time out in the queue, and serve users again once it
// has time.
func TestOverloadedControllerRejectsUsersAtOnce(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.submit(newSubmission(submission{ID: "wk-1", Kind: wire.KindArray, Team: "blue", Priority: "normal", Tasks: 2, CPUs: 2, EstimateS: 5}))
		c.awaitDone("wk-1", 2*time.Minute)
		ctl := c.nodes[0].controller()
		ctx, cancel := context.WithCancel(c.ctx)
		var wg sync.WaitGroup
		wg.Go(func() {
			for ctx.Err() == nil {
				ctl.call(c.ctx, priorityStore, func() { time.Sleep(900 * time.Millisecond) })
				time.Sleep(time.Millisecond) // lets queued user requests run; otherwise this would depend on timing
			}
		})
		const users = 400
		counts := &userResponseCounts{t: t}
		for i := range users {
			time.Sleep(25 * time.Millisecond)
			id := "wk-1"
			if i%2 != 0 {
				id = fmt.Sprintf("wk-%d", 1000+i)
			}
			wg.Go(func() { counts.query(c.ctx, ctl, id) })
		}
		cancel()
		wg.Wait()
		if counts.rejected < 100 || counts.served < 4 {
			t.Errorf("of %d users, %d were rejected at once and %d served; want at least 100 and 4", users, counts.rejected, counts.served)
		}
		time.Sleep(time.Second)
		queryCtx, cancelQuery := context.WithTimeout(c.ctx, userQueryTimeout)
		defer cancelQuery()
		if answer := ctl.Poll(queryCtx, "wk-1"); answer.Status != http.StatusOK {
			t.Errorf("status %d after the overload, want 200", answer.Status)
		}
	})
}

// userResponseCounts counts users by the response that they got. Its method query is safe for
// concurrent use.
type userResponseCounts struct {
	t *testing.T

	mu               sync.Mutex
	rejected, served int
}

// query queries a job and counts the response.
func (u *userResponseCounts) query(ctx context.Context, ctl *controller, id string) {
	queryCtx, cancelQuery := context.WithTimeout(ctx, userQueryTimeout)
	defer cancelQuery()
	begun := time.Now()
	answer := ctl.Poll(queryCtx, id)
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case answer.Status == http.StatusServiceUnavailable && answer.RetryAfterS < 1:
		u.t.Error("a user is rejected without a time after which to retry")
	case answer.Status == http.StatusServiceUnavailable && time.Since(begun) == 0:
		u.rejected++
	case answer.Status == http.StatusOK:
		u.served++
	}
}

// Events must run in the order of their priorities, whatever the order in which they were queued.
func TestEventQueueOrdersByPriority(t *testing.T) {
	queue := newEventQueue()
	var got []priority
	for _, p := range []priority{priorityUsers, priorityWorkers, priorityStore, priorityUsers, priorityStore, priorityWorkers} {
		f := func() { got = append(got, p) }
		if p == priorityUsers {
			queue.putUserRequest(f)
		} else {
			queue.put(t.Context(), p, f)
		}
	}
	if !queue.hasEventsAbove(priorityUsers) {
		t.Error("hasEventsAbove(priorityUsers) is false, want true: events of higher priorities are queued")
	}
	for f := queue.tryTake(); f != nil; f = queue.tryTake() {
		f()
	}
	if !slices.Equal(got, []priority{priorityStore, priorityStore, priorityWorkers, priorityWorkers, priorityUsers, priorityUsers}) {
		t.Errorf("events ran in the order %v, want the highest priority first", got)
	}
	if queue.hasEventsAbove(numPriorities) {
		t.Error("events are queued after all were taken, want none")
	}
}
