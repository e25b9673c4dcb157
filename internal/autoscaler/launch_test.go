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

// After a launch that was not filled, the offer is not requested again for some time. The time
// doubles while the cloud has no capacity, and is short if the call failed for another reason.
func TestLaunchBackoff(t *testing.T) {
	noCapacity := fmt.Errorf("cloud: %w", cloud.ErrNoCapacity)
	refused := fmt.Errorf("cloud: %w", cloud.ErrRefused)
	for _, test := range []struct {
		name     string
		results  []error // the errors of successive launches
		launched int     // machines that a successful launch returns, of 2 requested
		backoff  time.Duration
		calls    int
	}{
		{"filled", []error{nil}, 2, 0, 1},
		{"half filled", []error{nil}, 1, 5 * time.Second, 1},
		{"no capacity", []error{noCapacity}, 0, 5 * time.Second, 1},
		{"no capacity twice", []error{noCapacity, noCapacity}, 0, 10 * time.Second, 2},
		{"no capacity for long", []error{noCapacity, noCapacity, noCapacity, noCapacity, noCapacity}, 0, 40 * time.Second, 5},
		{"filled after no capacity", []error{noCapacity, nil}, 2, 0, 2},
		{"refused", []error{refused}, 0, 3 * time.Second, 1},
		{"no answer", []error{errors.New("no answer")}, 0, 3 * time.Second, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newFakeCluster()
			a := c.newAutoscaler(t)
			for _, result := range test.results {
				c.cloud.launchFunc = func(wire.LaunchRequest) ([]string, error) {
					return []string{"new-1", "new-2"}[:test.launched], result
				}
				c.now = c.now.Add(time.Minute)
				a.launch(smallOffer, 2)
				c.runQueuedCalls(a)
			}
			if a.term.backoffDelays[smallOffer] != test.backoff || len(c.cloud.launchRequests) != test.calls {
				t.Errorf("backoff %v after %d calls, want %v after %d", a.term.backoffDelays[smallOffer], len(c.cloud.launchRequests), test.backoff, test.calls)
			}
			if len(a.term.instances) != test.launched {
				t.Errorf("%d instances, want %d", len(a.term.instances), test.launched)
			}
			isSmall := func(offer planning.PricedOffer) bool { return offer.Offer == smallOffer }
			if offered := slices.ContainsFunc(a.availableOffers(), isSmall); offered != (test.backoff == 0) {
				t.Errorf("offer is available: %v, with a backoff of %v", offered, test.backoff)
			}
		})
	}
}

// A launch that got no answer is retried with the same idempotency key. The next launch has a new
// key.
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
	a.launch(smallOffer, 1) // not made, since the first is pending
	c.runQueuedCalls(a)
	a.launch(smallOffer, 1)
	c.runQueuedCalls(a)
	var keys []string
	for _, request := range c.cloud.launchRequests {
		keys = append(keys, request.IdempotencyKey)
	}
	if want := []string{"r-5-1", "r-5-1", "r-5-2"}; fmt.Sprint(keys) != fmt.Sprint(want) {
		t.Errorf("idempotency keys %v, want %v", keys, want)
	}
}

// The results of calls that were queued in an earlier term are dropped. The new
// leader finds the launched machines in the instance list.
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
		t.Errorf("%d launches, %d lists, instances %v, instance list known: %v; want one call each and nothing known", len(c.cloud.launchRequests), c.cloud.listCalls, a.term.instances, a.term.hasInstanceList)
	}
	a.launch(smallOffer, 1)
	if len(a.queuedCalls) != 1 {
		t.Error("the new term's launch is not queued because of one of an earlier term")
	}
}

// The leader launches no machines before it knows which machines are up or booting.
func TestNoLaunchBeforeFleetIsKnown(t *testing.T) {
	for _, test := range []struct {
		name    string
		setup   func(c *fakeCluster)
		hasList bool
		want    bool
	}{
		{"new leader, no instance list", func(*fakeCluster) {}, false, false},
		{"new leader, instance list", func(*fakeCluster) {}, true, true},
		{"new leader, instance list, an owner does not respond", func(c *fakeCluster) { c.ownersUnresponsive = true }, true, false},
		{"older leader, no instance list", func(c *fakeCluster) { c.leadership.StartedAt = c.now.Add(-11 * time.Second) }, false, true},
		{"heartbeats have only just resumed", func(c *fakeCluster) { c.heartbeatsResumedAt = c.now.Add(-2 * time.Second) }, true, false},
		{"no machine types", func(c *fakeCluster) { c.types = nil }, true, false},
		{"isolated zone", func(c *fakeCluster) { c.addMachines(6); c.isolateZone("a", "b") }, true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newFakeCluster()
			c.leadership.StartedAt = c.now
			waiting := c.newDemand(3)
			test.setup(c)
			a := c.newAutoscaler(t)
			a.term.hasInstanceList = test.hasList
			a.DetectIsolatedZones()
			a.Scale(&Workload{Services: c.newWorkload().Services})
			if len(a.queuedCalls) != 0 {
				t.Error("machines are launched without demand")
			}
			workload := c.newWorkload(waiting)
			workload.Machines = nil
			a.Scale(workload)
			c.runQueuedCalls(a)
			if got := len(c.cloud.launchRequests) > 0; got != test.want {
				t.Errorf("launch requests %+v, want any: %v", c.cloud.launchRequests, test.want)
			}
			if test.want && (c.cloud.launchRequests[0].Count != 3 || c.cloud.launchRequests[0].Spot) {
				t.Errorf("launch requests %+v, want one of 3 on-demand machines", c.cloud.launchRequests)
			}
		})
	}
}

// The number of machines in one launch request is limited.
func TestLaunchCountIsLimitedPerCall(t *testing.T) {
	c := newFakeCluster()
	a := c.newAutoscaler(t)
	a.Scale(c.newWorkload(c.newDemand(80)))
	c.runQueuedCalls(a)
	if len(c.cloud.launchRequests) != 1 || c.cloud.launchRequests[0].Count != 50 {
		t.Errorf("launch requests %+v, want one of 50 machines", c.cloud.launchRequests)
	}
}

// Booting machines count as capacity, so that they are not launched again, until they are late.
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
		t.Errorf("%d machines count as booting, want 2 without the one that is being terminated", booting)
	}
	c.now = c.now.Add(5 * time.Second) // 1.6 times the boot time of 40 s has passed
	if booting, _ := a.MachineCounts(); booting != 0 {
		t.Errorf("%d machines count as booting, want none when they are late", booting)
	}
}

// Run makes queued calls until its context is cancelled, and none after that.
func TestRunStopsWhenContextIsCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newFakeCluster()
		a := c.newAutoscaler(t)
		ctx, cancel := context.WithCancel(t.Context())
		stopped := false
		go func() { a.Run(ctx); stopped = true }()
		a.launch(smallOffer, 1)
		synctest.Wait()
		if len(c.cloud.launchRequests) != 1 {
			t.Errorf("%d launches, want 1", len(c.cloud.launchRequests))
		}
		cancel()
		synctest.Wait()
		if !stopped {
			t.Fatal("Run has not returned after its context was cancelled")
		}
		a.launch(smallOffer, 1)
		synctest.Wait()
		if len(c.cloud.launchRequests) != 1 {
			t.Errorf("%d launches after Run has returned, want still 1", len(c.cloud.launchRequests))
		}
	})
}

// A full queue rejects further calls, which then do not count as in flight.
func TestCallQueueIsBounded(t *testing.T) {
	c := newFakeCluster()
	a := c.newAutoscaler(t)
	for i := range callQueueLength {
		if !a.queueCall(func(context.Context) {}) {
			t.Fatalf("call %d is rejected", i)
		}
	}
	a.terminate([]string{"host-000000"})
	a.syncInstances()
	if a.IsTerminating("host-000000") || a.terminationInFlight || a.term.listInFlight {
		t.Error("rejected calls count as in flight")
	}
}

// A launch that does not fit into the full call queue, as in an outage of the cloud, is retried.
// Guards against a fault in which such a launch counted as pending. As there is only one pending
// launch per offer, no machines of the offer were launched until the leader's term ended: there
// was demand for it, but no call to the cloud and no log line "launch not filled".
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
		t.Errorf("launch requests %+v, want one of 3 machines", c.cloud.launchRequests)
	}
}

// Machines that do not come up are terminated once, and their demand is met from another offer if
// there is one. Their own offer is requested again after the usual backoff.
func TestFailedBootsMoveDemandToAnotherOffer(t *testing.T) {
	c := newFakeCluster()
	c.types["small"].Zones = []string{"a", "b"}
	a := c.newAutoscaler(t)
	a.term.hasInstanceList = true
	a.Scale(c.newWorkload(c.newDemand(3)))
	c.runQueuedCalls(a)
	firstRequest := c.cloud.launchRequests[0]
	c.now = c.now.Add(a.bootTimeout(c.types["small"]) + time.Second)
	for range 3 { // the leader runs several passes before the call to the cloud is made
		a.TerminateLostMachines()
	}
	a.Scale(c.newWorkload(c.newDemand(3)))
	c.runQueuedCalls(a)
	if len(c.cloud.terminations) != 1 || len(c.cloud.terminations[0]) != firstRequest.Count {
		t.Errorf("terminated %v, want all %d machines once", c.cloud.terminations, firstRequest.Count)
	}
	if len(c.cloud.launchRequests) != 2 || c.cloud.launchRequests[1].Zone == firstRequest.Zone || c.cloud.launchRequests[1].Count != firstRequest.Count {
		t.Fatalf("launch requests %+v, want a second one of as many machines in the other zone", c.cloud.launchRequests)
	}
	offer := planning.Offer{Type: firstRequest.Type, Zone: firstRequest.Zone, Spot: firstRequest.Spot}
	if backoff := a.term.backoffUntil[offer].Sub(c.now); backoff != minLaunchBackoff {
		t.Errorf("backoff of %v for the offer in the first zone, want %v", backoff, minLaunchBackoff)
	}
}
