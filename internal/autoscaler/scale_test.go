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

// Room is kept for as many services of a class as the operator's factor says for the number
// there is, in the order of the classes' names.
func TestHeadroomByClass(t *testing.T) {
	c := newFakeCluster()
	a := c.newAutoscaler(t)
	a.Operator.Headroom, a.Operator.ClassHeadroom = 1, map[string]float64{"web": 2}
	service := func(class string, priority, tasks int) Service {
		return Service{Class: class, Priority: priority, TaskCount: tasks, Demand: func() planning.Demand {
			return planning.Demand{Class: class, TaskSize: scheduling.NewResources(1, 0, 1)}
		}}
	}
	room := a.computeHeadroom(slices.Values([]Service{service("web", 7, 3), service("feed", 5, 4), service("web", 6, 6)}))
	var got []string
	for _, demand := range room.demands {
		got = append(got, fmt.Sprintf("%s %d", demand.Class, demand.Count))
	}
	if want := []string{"feed 2", "web 6"}; !slices.Equal(got, want) || room.minPriority != 5 {
		t.Errorf("room for %v, above priority %d; want %v, 5", got, room.minPriority, want)
	}
	none := a.computeHeadroom(slices.Values([]Service(nil)))
	if len(none.demands) != 0 || none.minPriority != math.MaxInt {
		t.Errorf("room for %v, above priority %d without any service", none.demands, none.minPriority)
	}
}

// Headroom has machines launched, but is no shortage: machines are drained all the same.
func TestHeadroomIsNoShortage(t *testing.T) {
	c := newFakeCluster()
	a := c.newAutoscaler(t)
	demand := c.newDemand(0)
	services := slices.Values([]Service{{Class: "c", TaskCount: 4, Demand: func() planning.Demand { return demand }}})
	work := &Workload{Services: services}
	room := a.computeHeadroom(services)
	plan, shortage := a.planLaunches(work, room)
	if shortage || plan.Launches[smallOffer] == 0 {
		t.Errorf("shortage: %v, launches %v; want launches without a shortage", shortage, plan.Launches)
	}
	work.GangReserveShortfall = []planning.Demand{c.newDemand(1)}
	if _, shortage = a.planLaunches(work, room); !shortage {
		t.Error("what the reserve lacks is no shortage")
	}
}

// Offers come in one order, whatever that of the types is; spot instances only if the operator
// allows them.
func TestOffersAreSorted(t *testing.T) {
	for _, spot := range []bool{false, true} {
		c := newFakeCluster()
		c.types["large"] = &wire.MachineType{Name: "large", CPUs: 16, RAMGB: 64, Price: 1.2, SpotPrice: 0.3, Zones: []string{"b", "a"}}
		a := c.newAutoscaler(t)
		a.Operator.Spot = spot
		var got []string
		for _, offer := range a.availableOffers() {
			got = append(got, fmt.Sprint(offer.Offer, offer.Price))
		}
		want := []string{"{large a false} 1.2", "{large b false} 1.2", "{small a false} 0.4"}
		if spot {
			want = []string{"{large a false} 1.2", "{large a true} 0.3", "{large b false} 1.2", "{large b true} 0.3", "{small a false} 0.4", "{small a true} 0.1"}
		}
		if !slices.Equal(got, want) {
			t.Errorf("spot %v: offers %q, want %q", spot, got, want)
		}
	}
}

// With its term a leader forgets what it knew of the fleet, but not which machines are being
// terminated: their tombstones are stored by whoever may by then.
func TestEndTermKeepsTerminations(t *testing.T) {
	c := newFakeCluster()
	c.addMachines(1)
	a := c.newAutoscaler(t)
	a.ObserveMachine(c.machines[0].Machine)
	a.term.draining["host-000000"] = true
	a.terminate([]string{"host-000000"})
	c.demote()
	c.partitionCondition = partitionCondition
	a.EndTerm()
	if booting, draining := a.MachineCounts(); booting != 0 || draining != 0 || len(a.term.instances) != 0 {
		t.Errorf("%d machines boot, %d are drained, instances %v; want none", booting, draining, a.term.instances)
	}
	if !a.IsTerminating("host-000000") {
		t.Error("it is not being terminated any more")
	}
	c.runQueuedCalls(a)
	if len(c.writes) != 1 || c.writes[0].Conditions[0] != partitionCondition {
		t.Errorf("written: %+v, want a tombstone under the partition's token", c.writes)
	}
	a.SyncWithCloud()
	if len(a.queuedCalls) != 0 {
		t.Error("who does not lead reads the list")
	}
}

// A list that fails is read again when the next one is due, and tells nothing.
func TestFailedInstanceListIsRetried(t *testing.T) {
	c := newFakeCluster()
	a := c.newAutoscaler(t)
	c.cloud.listErr = errors.New("no answer")
	a.syncInstances()
	a.syncInstances() // one is under way
	c.runQueuedCalls(a)
	a.syncInstances() // not due yet
	c.runQueuedCalls(a)
	if c.cloud.listCalls != 1 || a.term.hasInstanceList {
		t.Errorf("%d lists, listed: %v; want 1, and nothing known", c.cloud.listCalls, a.term.hasInstanceList)
	}
	c.now = c.now.Add(a.listInterval() + time.Millisecond)
	c.cloud.listErr = nil
	a.syncInstances()
	c.runQueuedCalls(a)
	if c.cloud.listCalls != 2 || !a.term.hasInstanceList {
		t.Errorf("%d lists, listed: %v; want 2, and known", c.cloud.listCalls, a.term.hasInstanceList)
	}
}

// A transaction deletes a limited number of tombstones.
func TestTombstoneDeletionIsLimited(t *testing.T) {
	c := newFakeCluster()
	for i := range 20 {
		key := fmt.Sprint("e/gone/host-", i)
		c.tombstones[key] = Tombstone{Key: key, FirstSeenAt: c.now.Add(-hour)}
	}
	c.newAutoscaler(t).deleteTombstones()
	if len(c.writes) != 1 || len(c.writes[0].Changes) != 8 {
		t.Errorf("written: %+v, want 8 deletions", c.writes)
	}
}

// Types that somebody has stored are not stored again.
func TestStoredMachineTypesAreNotStoredAgain(t *testing.T) {
	c := newFakeCluster()
	c.cloud.machineTypes = []wire.MachineType{{Name: "large"}}
	a := c.newAutoscaler(t)
	a.MarkMachineTypesStored()
	a.SyncWithCloud()
	c.runQueuedCalls(a)
	if len(c.writes) != 0 || c.types["large"] == nil {
		t.Errorf("%d transactions, types %v; want none, and the types known", len(c.writes), c.types)
	}
}
