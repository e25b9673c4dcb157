package autoscaler

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"eiderhitch/internal/planning"
	"eiderhitch/internal/scheduling"
	"eiderhitch/internal/wire"
)

// The headroom of a class follows from its number of services and the operator's factor for the
// class. Classes are in alphabetical order.
func TestHeadroomByClass(t *testing.T) {
	c := newFakeCluster()
	a := c.newAutoscaler(t)
	a.Operator.Headroom, a.Operator.ClassHeadroom = 1, map[string]float64{"web": 2}
	service := func(class string, priority, tasks int) Service {
		return Service{Class: class, Priority: priority, TaskCount: tasks, Demand: func() planning.Demand {
			return planning.Demand{Class: class, TaskSize: scheduling.NewResources(1, 0, 1)}
		}}
	}
	headroom := a.computeHeadroom(slices.Values([]Service{service("web", 7, 3), service("feed", 5, 4), service("web", 6, 6)}))
	var got []string
	for _, demand := range headroom.demands {
		got = append(got, fmt.Sprintf("%s %d", demand.Class, demand.Count))
	}
	if want := []string{"feed 2", "web 6"}; !slices.Equal(got, want) || headroom.minPriority != 5 {
		t.Errorf("headroom for %v, lowest priority %d; want %v, 5", got, headroom.minPriority, want)
	}
	none := a.computeHeadroom(slices.Values([]Service(nil)))
	if len(none.demands) != 0 || none.minPriority != math.MaxInt {
		t.Errorf("headroom for %v, lowest priority %d without any service, want none", none.demands, none.minPriority)
	}
}

// A lack of headroom makes the plan launch machines but is no shortage, which would prevent
// draining. A lack in the gang reserve is one.
func TestHeadroomIsNoShortage(t *testing.T) {
	c := newFakeCluster()
	a := c.newAutoscaler(t)
	demand := c.newDemand(0)
	services := slices.Values([]Service{{Class: "c", TaskCount: 4, Demand: func() planning.Demand { return demand }}})
	workload := &Workload{Services: services}
	headroom := a.computeHeadroom(services)
	plan, shortage := a.planLaunches(workload, headroom)
	if shortage || plan.Launches[smallOffer] == 0 {
		t.Errorf("shortage: %v, launches %v; want launches without a shortage", shortage, plan.Launches)
	}
	workload.GangReserveShortfall = []planning.Demand{c.newDemand(1)}
	if _, shortage = a.planLaunches(workload, headroom); !shortage {
		t.Error("shortfall of the gang reserve is not reported as a shortage")
	}
}

// Offers are sorted, whatever the order of the machine types. Spot instances are offered only if
// the operator allows them.
func TestOffersAreSorted(t *testing.T) {
	for _, spot := range []bool{false, true} {
		c := newFakeCluster()
		c.types["large"] = &wire.MachineType{Name: "large", CPUs: 16, RAMGB: 64, Price: 1.2, SpotPrice: 0.3, Zones: []string{"b", "a"}}
		a := c.newAutoscaler(t)
		a.Operator.AllowSpot = spot
		var got []string
		for _, offer := range a.availableOffers() {
			got = append(got, fmt.Sprint(offer.Offer, offer.Price))
		}
		want := []string{"{large a false} 1.2", "{large b false} 1.2", "{small a false} 0.4"}
		if spot {
			want = []string{"{large a false} 1.2", "{large a true} 0.3", "{large b false} 1.2", "{large b true} 0.3", "{small a false} 0.4", "{small a true} 0.1"}
		}
		if !slices.Equal(got, want) {
			t.Errorf("spot instances allowed: %v: offers %q, want %q", spot, got, want)
		}
	}
}

// At the end of its term, a leader discards its view of the fleet but not the machines whose
// termination was sent. Their tombstones are stored under any token that it still has.
func TestEndTermKeepsTerminations(t *testing.T) {
	c := newFakeCluster()
	c.addMachines(1)
	a := c.newAutoscaler(t)
	a.ObserveMachine(c.machines[0].Machine)
	a.term.drainingMachines["host-000000"] = true
	a.terminate([]string{"host-000000"})
	c.cloud.duringTerminate = func() {
		c.demote()
		c.partitionCondition = partitionCondition
		a.EndTerm()
		if !a.IsTerminating("host-000000") {
			t.Error("the machine is no longer being terminated")
		}
	}
	c.runQueuedCalls(a)
	if booting, draining := a.MachineCounts(); booting != 0 || draining != 0 || len(a.term.instances) != 0 {
		t.Errorf("%d machines booting, %d draining, instances %v; want none", booting, draining, a.term.instances)
	}
	if len(c.writes) != 1 || c.writes[0].Conditions[0] != partitionCondition {
		t.Errorf("writes %+v, want a tombstone under the partition's token", c.writes)
	}
	a.SyncWithCloud()
	if len(a.queuedCalls) != 0 {
		t.Error("a follower reads the instance list")
	}
}

// If reading the instance list fails, nothing is known from it, and it is read again when the next
// read is due.
func TestFailedInstanceListIsRetried(t *testing.T) {
	c := newFakeCluster()
	a := c.newAutoscaler(t)
	c.cloud.listErr = errors.New("no answer")
	a.syncInstances()
	a.syncInstances() // not queued, since one is in flight
	c.runQueuedCalls(a)
	a.syncInstances() // not due yet
	c.runQueuedCalls(a)
	if c.cloud.listCalls != 1 || a.term.hasInstanceList {
		t.Errorf("%d reads, instance list known: %v; want 1, not known", c.cloud.listCalls, a.term.hasInstanceList)
	}
	c.now = c.now.Add(a.listInterval() + time.Millisecond)
	c.cloud.listErr = nil
	a.syncInstances()
	c.runQueuedCalls(a)
	if c.cloud.listCalls != 2 || !a.term.hasInstanceList {
		t.Errorf("%d reads, instance list known: %v; want 2, known", c.cloud.listCalls, a.term.hasInstanceList)
	}
}

// The number of tombstones that one transaction deletes is limited.
func TestTombstoneDeletionIsLimited(t *testing.T) {
	c := newFakeCluster()
	for i := range 20 {
		key := fmt.Sprint("e/gone/host-", i)
		c.tombstones[key] = Tombstone{Key: key, FirstSeenAt: c.now.Add(-hour)}
	}
	c.newAutoscaler(t).deleteTombstones()
	if len(c.writes) != 1 || len(c.writes[0].Changes) != 8 {
		t.Errorf("writes %+v, want one with 8 deletions", c.writes)
	}
}

// Machine types that are already in the key-value store are not written again.
func TestStoredMachineTypesAreNotStoredAgain(t *testing.T) {
	c := newFakeCluster()
	c.cloud.machineTypes = []wire.MachineType{{Name: "large"}}
	a := c.newAutoscaler(t)
	a.MarkMachineTypesStored()
	a.SyncWithCloud()
	c.runQueuedCalls(a)
	if len(c.writes) != 0 || c.types["large"] == nil {
		t.Errorf("%d writes, machine types %v; want no write, and type large known", len(c.writes), c.types)
	}
}

// A decision of a leader is not sent to the cloud after its term, nor long after it was made: the next
// leader may have given the machine tasks since (review, stale-leader). Such machines no longer count
// as being terminated, also those that waited for a call in flight.
func TestOldDecisionsAreNotSent(t *testing.T) {
	const maxDelay = maxCallDelayFactor * 4 * time.Second // the default lifetime of the leader's lease is 4 s
	for _, row := range []struct {
		name      string
		before    func(c *fakeCluster, a *Autoscaler) // before the queued calls are made
		sentNames int
	}{
		{"sent at once", func(*fakeCluster, *Autoscaler) {}, 2},
		{"just in time", func(c *fakeCluster, _ *Autoscaler) { c.now = c.now.Add(maxDelay - time.Millisecond) }, 2},
		{"process was suspended", func(c *fakeCluster, _ *Autoscaler) { c.now = c.now.Add(maxDelay) }, 0},
		{"term has ended", func(c *fakeCluster, a *Autoscaler) { c.demote(); a.EndTerm() }, 0},
		{"led again since", func(_ *fakeCluster, a *Autoscaler) { a.EndTerm(); a.StartTerm() }, 0},
	} {
		t.Run(row.name, func(t *testing.T) {
			c := newFakeCluster()
			c.addMachines(2)
			a := c.newAutoscaler(t)
			a.terminate([]string{"host-000000"})
			a.terminate([]string{"host-000001"}) // waits for the call for the first one
			a.launch(smallOffer, 1)
			row.before(c, a)
			c.runQueuedCalls(a)
			sent := 0
			for _, names := range c.cloud.terminations {
				sent += len(names)
			}
			launches := min(row.sentNames, 1)
			if sent != row.sentNames || len(c.cloud.launchRequests) != launches {
				t.Errorf("%d machines terminated, %d launches; want %d, %d", sent, len(c.cloud.launchRequests), row.sentNames, launches)
			}
			if row.sentNames == 0 && (a.IsTerminating("host-000000") || a.IsTerminating("host-000001") || a.terminationInFlight) {
				t.Error("machines still count as being terminated")
			}
		})
	}
}
