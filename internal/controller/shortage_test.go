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

	"eiderhitch/internal/api"
	"eiderhitch/internal/wire"
)

// starve gives every controller's actor processor time in bursts only, each at a
// phase of its own, until the function that it returns is called.
func (c *cluster) starve(busy, free time.Duration) (stop func()) {
	ctx, cancel := context.WithCancel(c.ctx)
	var wg sync.WaitGroup
	for i, n := range c.nodes {
		ctl := n.controller()
		wg.Go(func() {
			time.Sleep(time.Duration(i) * (busy + free) / time.Duration(len(c.nodes)))
			for ctx.Err() == nil {
				ctl.enqueue(priorityState, func() { time.Sleep(busy) })
				time.Sleep(busy + free)
			}
		})
	}
	return func() { cancel(); wg.Wait() }
}

// leaseOwners tells which node holds each right.
func (c *cluster) leaseOwners() map[string]string {
	out := map[string]string{}
	ctl := c.nodes[0].controller()
	ctl.call(c.ctx, priorityState, func() {
		for key, h := range ctl.holders {
			out[key] = h.Node
		}
	})
	return out
}

// Controllers that are all slow serve on: no right changes hands, since whoever got
// it would be as slow, no machine is taken for dead whose answers merely wait to be
// read, and what users are told to come back with is taken before long.
func TestSlowControllersServeOn(t *testing.T) {
	for _, busy := range []time.Duration{700 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second} {
		t.Run(busy.String(), func(t *testing.T) {
			runCluster(t, func(c *cluster) {
				c.runServices(4, 2)
				time.Sleep(10 * time.Second)
				before, used := c.leaseOwners(), []string{}
				for _, w := range c.env.Cloud.Agents() {
					if c.countBoundTo(w.Name()) > 0 {
						used = append(used, w.Name())
					}
				}
				stop := c.starve(busy, 300*time.Millisecond)
				time.Sleep(time.Minute)
				if after := c.leaseOwners(); !maps.Equal(before, after) {
					t.Errorf("rights changed hands: %v, %v", before, after)
				}
				c.submit(newSubmission(submission{ID: "wk-9", Kind: wire.Array, Team: "blue", Priority: "normal", Tasks: 6, CPUs: 2, EstimateS: 5}))
				c.await("the array begins", 40*time.Second, func() bool { return c.env.Running("wk-9")+c.env.Completed("wk-9") > 0 })
				if !c.servicesRun(4, 2) {
					t.Error("replicas are missing")
				}
				names := []string{}
				for _, w := range c.env.Cloud.Agents() {
					names = append(names, w.Name())
				}
				for _, name := range used {
					if !slices.Contains(names, name) {
						t.Errorf("%s was returned though it answers", name)
					}
				}
				stop()
				c.awaitDone("wk-9", 2*time.Minute)
			})
		})
	}
}

// One that does not come round at all lets its rights go: its lease is not renewed
// behind its back for ever.
func TestStuckControllerLosesItsRights(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.runServices(4, 2)
		time.Sleep(10 * time.Second)
		lost := c.leaseOwners()
		stuck := 2
		c.nodes[stuck].controller().enqueue(priorityState, func() { time.Sleep(time.Minute) })
		name := c.nodes[stuck].cfg.Name
		time.Sleep(3*c.nodes[0].controller().operator.LeaseTTL + time.Second)
		for key, node := range c.leaseOwners() {
			if lost[key] == name && node == name {
				t.Errorf("%s is still with a controller that does not come round", key)
			}
		}
		time.Sleep(time.Minute)
		if !c.servicesRun(4, 2) {
			t.Error("replicas are missing")
		}
	})
}

// Users of a controller that has no time for them are told at once when to come
// back, instead of waiting in vain behind others, and are served when it has.
func TestUsersAreTurnedAwayAtOnce(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.submit(newSubmission(submission{ID: "wk-1", Kind: wire.Array, Team: "blue", Priority: "normal", Tasks: 2, CPUs: 2, EstimateS: 5}))
		c.awaitDone("wk-1", 2*time.Minute)
		ctl := c.nodes[0].controller()
		ctx, cancel := context.WithCancel(c.ctx)
		var wg sync.WaitGroup
		wg.Go(func() {
			for ctx.Err() == nil {
				ctl.call(c.ctx, priorityState, func() { time.Sleep(900 * time.Millisecond) })
				time.Sleep(time.Millisecond) // or it would be luck whether users have a turn
			}
		})
		var mu sync.Mutex
		atOnce, served := 0, 0
		for i := range 400 {
			time.Sleep(25 * time.Millisecond)
			wg.Go(func() {
				limit, done := context.WithTimeout(c.ctx, 1800*time.Millisecond)
				defer done()
				begun := time.Now()
				var ans api.Response
				if i%2 == 0 {
					ans = ctl.Poll(limit, "wk-1")
				} else {
					ans = ctl.Poll(limit, fmt.Sprintf("wk-%d", 1000+i))
				}
				mu.Lock()
				defer mu.Unlock()
				switch {
				case ans.Status == http.StatusServiceUnavailable && ans.RetryAfter < 1:
					t.Error("a user is turned away without a time to come back")
				case ans.Status == http.StatusServiceUnavailable && time.Since(begun) == 0:
					atOnce++
				case ans.Status == http.StatusOK:
					served++
				}
			})
		}
		cancel()
		wg.Wait()
		if atOnce < 100 || served < 4 {
			t.Errorf("of 400 users %d were turned away at once, %d served", atOnce, served)
		}
		time.Sleep(time.Second)
		limit, done := context.WithTimeout(c.ctx, 1800*time.Millisecond)
		defer done()
		if ans := ctl.Poll(limit, "wk-1"); ans.Status != http.StatusOK {
			t.Errorf("status %d when there is time again", ans.Status)
		}
	})
}

// What comes first in the order of duties is done first, whatever came first in time.
func TestLanesInOrder(t *testing.T) {
	in := newEventQueue()
	var got []priority
	for _, l := range []priority{priorityUsers, priorityWorkers, priorityState, priorityUsers, priorityState, priorityWorkers} {
		f := func() { got = append(got, l) }
		if l == priorityUsers {
			in.putUserRequest(f)
		} else {
			in.put(t.Context(), l, f)
		}
	}
	if !in.hasBefore(priorityUsers) {
		t.Error("reports wait, and nothing is said of it")
	}
	for f := in.next(); f != nil; f = in.next() {
		f()
	}
	if !slices.Equal(got, []priority{priorityState, priorityState, priorityWorkers, priorityWorkers, priorityUsers, priorityUsers}) {
		t.Errorf("done in the order %v", got)
	}
	if in.hasBefore(priorities) {
		t.Error("something is left")
	}
}
