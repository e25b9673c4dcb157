package autoscaler

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"eiderhitch/internal/cloud"
	"eiderhitch/internal/planning"
	"eiderhitch/internal/wire"
)

// An offer that was not filled is not asked for again for a while: for longer each time when
// the cloud has no capacity, for a short one when the call failed.
func TestLaunchBackoff(t *testing.T) {
	capacity := fmt.Errorf("cloud: %w", cloud.ErrNoCapacity)
	refused := fmt.Errorf("cloud: %w", cloud.ErrRefused)
	for _, test := range []struct {
		name    string
		results []error // of one launch after the other; nil: filled
		got     int     // machines that a filled launch brings, of 2
		backoff time.Duration
		calls   int
	}{
		{"filled", []error{nil}, 2, 0, 1},
		{"half filled", []error{nil}, 1, 5 * time.Second, 1},
		{"no capacity", []error{capacity}, 0, 5 * time.Second, 1},
		{"no capacity twice", []error{capacity, capacity}, 0, 10 * time.Second, 2},
		{"no capacity for long", []error{capacity, capacity, capacity, capacity, capacity}, 0, 40 * time.Second, 5},
		{"filled after no capacity", []error{capacity, nil}, 2, 0, 2},
		{"refused", []error{refused}, 0, 3 * time.Second, 1},
		{"no answer", []error{errors.New("no answer")}, 0, 3 * time.Second, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newFakeCluster()
			a := c.newAutoscaler(t)
			for _, result := range test.results {
				c.cloud.launchFunc = func(wire.LaunchRequest) ([]string, error) {
					return []string{"new-1", "new-2"}[:test.got], result
				}
				c.now = c.now.Add(time.Minute)
				a.launch(smallOffer, 2)
				c.runQueuedCalls(a)
			}
			if a.term.backoffDelays[smallOffer] != test.backoff || len(c.cloud.launchRequests) != test.calls {
				t.Errorf("backoff %v after %d calls, want %v after %d", a.term.backoffDelays[smallOffer], len(c.cloud.launchRequests), test.backoff, test.calls)
			}
			if len(a.term.instances) != test.got {
				t.Errorf("%d instances, want %d", len(a.term.instances), test.got)
			}
			isSmall := func(offer planning.PricedOffer) bool { return offer.Offer == smallOffer }
			if offered := slices.ContainsFunc(a.availableOffers(), isSmall); offered != (test.backoff == 0) {
				t.Errorf("it is on offer: %v, with a backoff of %v", offered, test.backoff)
			}
		})
	}
}

// Who got no answer repeats the very request, and a launch that follows is another one.
func TestLaunchIdempotencyKeys(t *testing.T) {
	c := newFakeCluster()
	a := c.newAutoscaler(t)
	c.cloud.launchFunc = func(wire.LaunchRequest) ([]string, error) {
		if len(c.cloud.launchRequests) == 1 {
			return nil, errors.New("no answer")
		}
		return []string{"new-1"}, nil
	}
	a.launch(smallOffer, 1)
	a.launch(smallOffer, 1) // while the first is under way: it is not made
	c.runQueuedCalls(a)
	a.launch(smallOffer, 1)
	c.runQueuedCalls(a)
	var keys []string
	for _, request := range c.cloud.launchRequests {
		keys = append(keys, request.IdempotencyKey)
	}
	if want := []string{"r-5-1", "r-5-1", "r-5-2"}; fmt.Sprint(keys) != fmt.Sprint(want) {
		t.Errorf("keys %v, want %v", keys, want)
	}
}

// What a call of a former term brings is not counted as the present term's: only the cloud's
// list tells of it.
func TestResultsOfFormerTermAreDropped(t *testing.T) {
	c := newFakeCluster()
	a := c.newAutoscaler(t)
	a.launch(smallOffer, 2)
	a.syncInstances()
	c.cloud.instances = []wire.Instance{{Name: "new-1", Type: "small", Zone: "a"}}
	c.leadership.Epoch++
	a.StartTerm()
	c.runQueuedCalls(a)
	if len(c.cloud.launchRequests) != 1 || c.cloud.listCalls != 1 || len(a.term.instances) != 0 || a.term.hasInstanceList {
		t.Errorf("%d launches, %d lists, instances %v, listed %v; want one each, and nothing known", len(c.cloud.launchRequests), c.cloud.listCalls, a.term.instances, a.term.hasInstanceList)
	}
	a.launch(smallOffer, 1)
	if len(a.queuedCalls) != 1 {
		t.Error("the new term's launch waits for the former term's")
	}
}

// Nothing is launched before the leader knows what there is.
func TestNoLaunchBeforeFleetIsKnown(t *testing.T) {
	for _, test := range []struct {
		name    string
		cluster func(c *fakeCluster)
		listed  bool
		want    bool
	}{
		{"new, not listed", func(*fakeCluster) {}, false, false},
		{"new, listed", func(*fakeCluster) {}, true, true},
		{"new, listed, an owner is not heard", func(c *fakeCluster) { c.ownersUnresponsive = true }, true, false},
		{"old, not listed", func(c *fakeCluster) { c.leadership.StartedAt = c.now.Add(-11 * time.Second) }, false, true},
		{"heartbeats have only just resumed", func(c *fakeCluster) { c.heartbeatsResumedAt = c.now.Add(-2 * time.Second) }, true, false},
		{"no types", func(c *fakeCluster) { c.types = nil }, true, false},
		{"isolated zone", func(c *fakeCluster) { c.addMachines(6); c.isolateZone("a", "b") }, true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newFakeCluster()
			c.leadership.StartedAt = c.now
			waiting := c.newDemand(3)
			test.cluster(c)
			a := c.newAutoscaler(t)
			a.term.hasInstanceList = test.listed
			a.DetectIsolatedZones()
			a.Scale(&Workload{Services: c.newWorkload().Services})
			if len(a.queuedCalls) != 0 {
				t.Error("machines are launched that nobody needs")
			}
			work := c.newWorkload(waiting)
			work.Machines = nil
			a.Scale(work)
			c.runQueuedCalls(a)
			if got := len(c.cloud.launchRequests) > 0; got != test.want {
				t.Errorf("launches: %+v, want some: %v", c.cloud.launchRequests, test.want)
			}
			if test.want && (c.cloud.launchRequests[0].Count != 3 || c.cloud.launchRequests[0].Spot) {
				t.Errorf("launches: %+v, want 3 on demand", c.cloud.launchRequests)
			}
		})
	}
}

// One call asks for a limited number of machines.
func TestLaunchCountIsLimitedPerCall(t *testing.T) {
	c := newFakeCluster()
	a := c.newAutoscaler(t)
	a.Scale(c.newWorkload(c.newDemand(80)))
	c.runQueuedCalls(a)
	if len(c.cloud.launchRequests) != 1 || c.cloud.launchRequests[0].Count != 50 {
		t.Errorf("launches: %+v, want one of 50", c.cloud.launchRequests)
	}
}

// What is booting is counted on, and not launched again, until it is overdue.
func TestBootingMachinesCountAsCapacity(t *testing.T) {
	c := newFakeCluster()
	a := c.newAutoscaler(t)
	a.Scale(c.newWorkload(c.newDemand(3)))
	a.Scale(c.newWorkload(c.newDemand(3)))
	c.runQueuedCalls(a)
	c.now = c.now.Add(60 * time.Second)
	a.Scale(c.newWorkload(c.newDemand(3)))
	c.runQueuedCalls(a)
	if booting, _ := a.MachineCounts(); booting != 3 || len(c.cloud.launchRequests) != 1 {
		t.Errorf("%d machines are booting after %d launches, want 3 after 1", booting, len(c.cloud.launchRequests))
	}
	a.terminate([]string{"r-5-1-0"})
	if booting, _ := a.MachineCounts(); booting != 2 {
		t.Errorf("%d machines are counted on, want 2 without the one that is being terminated", booting)
	}
	c.now = c.now.Add(5 * time.Second) // 1.6 times of 40 seconds
	if booting, _ := a.MachineCounts(); booting != 0 {
		t.Errorf("%d machines are counted on, want none when overdue", booting)
	}
}

// Run makes calls until its context ends, and not after.
func TestRunStopsWhenContextIsCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newFakeCluster()
		a := c.newAutoscaler(t)
		ctx, cancel := context.WithCancel(t.Context())
		ended := false
		go func() { a.Run(ctx); ended = true }()
		a.launch(smallOffer, 1)
		synctest.Wait()
		if len(c.cloud.launchRequests) != 1 {
			t.Errorf("%d launches, want 1", len(c.cloud.launchRequests))
		}
		cancel()
		synctest.Wait()
		if !ended {
			t.Fatal("it goes on")
		}
		a.launch(smallOffer, 1)
		synctest.Wait()
		if len(c.cloud.launchRequests) != 1 {
			t.Errorf("%d launches, want 1", len(c.cloud.launchRequests))
		}
	})
}

// A full queue takes no more, and says so.
func TestCallQueueIsBounded(t *testing.T) {
	c := newFakeCluster()
	a := c.newAutoscaler(t)
	for i := range callQueueLength {
		if !a.queueCall(func(context.Context) {}) {
			t.Fatalf("call %d is not taken", i)
		}
	}
	a.terminate([]string{"host-000000"})
	a.syncInstances()
	if a.IsTerminating("host-000000") || a.terminationInFlight || a.term.listInFlight {
		t.Error("calls that were not taken count as under way")
	}
}

// What happens: no machine of an offer is launched any more until the leader's term ends.
// Why: a launch that the queue of calls has no room for, as in an outage of the cloud, counted as
// under way, and no second one is made beside it.
// Shown by: demand for the offer, no call of the cloud and no "launch not filled".
func TestLaunchIsRetriedAfterFullQueue(t *testing.T) {
	c := newFakeCluster()
	a := c.newAutoscaler(t)
	for range callQueueLength {
		a.queueCall(func(context.Context) {})
	}
	a.Scale(c.newWorkload(c.newDemand(3)))
	c.runQueuedCalls(a)
	if len(c.cloud.launchRequests) != 0 {
		t.Fatalf("%d launches, want none while the queue is full", len(c.cloud.launchRequests))
	}
	c.now = c.now.Add(launchRetryDelay)
	a.Scale(c.newWorkload(c.newDemand(3)))
	c.runQueuedCalls(a)
	if len(c.cloud.launchRequests) != 1 || c.cloud.launchRequests[0].Count != 3 {
		t.Errorf("launches: %+v, want one of 3", c.cloud.launchRequests)
	}
}

// A machine that does not come up is given up once, and what it was for goes to another offer
// while there is one; its own is asked for again after the usual backoff.
func TestFailedBootsMoveDemandToAnotherOffer(t *testing.T) {
	c := newFakeCluster()
	c.types["small"].Zones = []string{"a", "b"}
	a := c.newAutoscaler(t)
	a.term.hasInstanceList = true
	a.Scale(c.newWorkload(c.newDemand(3)))
	c.runQueuedCalls(a)
	first := c.cloud.launchRequests[0]
	c.now = c.now.Add(a.bootTimeout(c.types["small"]) + time.Second)
	for range 3 { // the leader's steps until the call to the cloud is made
		a.TerminateLostMachines()
	}
	a.Scale(c.newWorkload(c.newDemand(3)))
	c.runQueuedCalls(a)
	if len(c.cloud.terminations) != 1 || len(c.cloud.terminations[0]) != first.Count {
		t.Errorf("terminations: %v, want all %d machines once", c.cloud.terminations, first.Count)
	}
	if len(c.cloud.launchRequests) != 2 || c.cloud.launchRequests[1].Zone == first.Zone || c.cloud.launchRequests[1].Count != first.Count {
		t.Fatalf("launches: %+v, want a second one of as many in the other zone", c.cloud.launchRequests)
	}
	offer := planning.Offer{Type: first.Type, Zone: first.Zone, Spot: first.Spot}
	if rest := a.term.backoffUntil[offer].Sub(c.now); rest != minLaunchBackoff {
		t.Errorf("the first zone rests for %v, want %v", rest, minLaunchBackoff)
	}
}
