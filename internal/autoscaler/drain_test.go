package autoscaler

import (
	"slices"
	"testing"
	"time"

	"eiderhitch/internal/planning"
	"eiderhitch/internal/store"
	"eiderhitch/internal/wire"
)

// surplusWorkload returns a workload in which a quarter of each machine is in use and there is no
// unplaced demand.
func (c *fakeCluster) surplusWorkload() *Workload {
	workload := c.newWorkload()
	for _, summary := range workload.Machines {
		used := summary.Size
		used.CPU /= 4
		summary.InUse, summary.FreeResources, summary.Usages = true, summary.Size.Minus(used), []planning.TaskUsage{{Size: used}}
	}
	return workload
}

// scaleFor calls Scale once a second for a duration of the fake clock.
func (c *fakeCluster) scaleFor(a *Autoscaler, duration time.Duration, newWorkload func() *Workload) {
	for range int(duration / time.Second) {
		a.Scale(newWorkload())
		c.now = c.now.Add(time.Second)
	}
}

// idleWindow is the idle timeout of an on-demand machine of type small: 0.4 times its boot time
// of 40 s.
const idleWindow = 16 * time.Second

// A new leader drains no machine before it has observed a surplus for the whole window.
func TestNewLeaderDrainsNothingBeforeFullWindow(t *testing.T) {
	c := newFakeCluster()
	c.leadership.StartedAt = c.now
	c.addMachines(2)
	a := c.newAutoscaler(t)
	c.scaleFor(a, idleWindow, c.surplusWorkload)
	if names := a.DrainingMachines(); len(names) != 0 {
		t.Errorf("machines %v are draining within the window, want none", names)
	}
	a.Scale(c.surplusWorkload())
	if names := a.DrainingMachines(); len(names) != 1 {
		t.Errorf("machines %v are draining after the window, want one", names)
	}
}

// After a shortage, no machine is drained until the surplus has lasted for the whole window again.
func TestShortageRestartsSurplusWindow(t *testing.T) {
	c := newFakeCluster()
	c.addMachines(2)
	a := c.newAutoscaler(t)
	c.scaleFor(a, idleWindow-2*time.Second, c.surplusWorkload)
	shortage := c.surplusWorkload()
	shortage.UnplacedDemands = []planning.Demand{c.newDemand(9)}
	a.Scale(shortage)
	c.now = c.now.Add(time.Second)
	c.scaleFor(a, idleWindow/2, c.surplusWorkload)
	if names := a.DrainingMachines(); len(names) != 0 {
		t.Errorf("machines %v are draining soon after a shortage, want none", names)
	}
}

// Capacity that is needed as headroom for services does not count as surplus.
func TestHeadroomIsNotSurplus(t *testing.T) {
	c := newFakeCluster()
	c.addMachines(2)
	a := c.newAutoscaler(t)
	a.Operator.Headroom = 1
	c.scaleFor(a, 2*idleWindow, func() *Workload {
		workload := c.surplusWorkload()
		demand := c.newDemand(0)
		demand.TaskSize.CPU = 3000
		workload.Services = slices.Values([]Service{{Class: "c", Priority: 1, TaskCount: 1, Demand: func() planning.Demand { return demand }}})
		return workload
	})
	if names := a.DrainingMachines(); len(names) != 0 {
		t.Errorf("machines %v are draining, want none: with 3 of 6 free CPUs as headroom, no machine is surplus", names)
	}
}

// The free capacity of a draining machine no longer counts as surplus, and neither do earlier
// samples of it.
func TestDrainingMachinesDoNotCountAsSurplus(t *testing.T) {
	c := newFakeCluster()
	c.addMachines(2)
	a := c.newAutoscaler(t)
	for len(a.DrainingMachines()) == 0 {
		a.Scale(c.surplusWorkload())
		c.now = c.now.Add(time.Second)
	}
	workload := c.surplusWorkload()
	for _, summary := range workload.Machines { // the tasks of the other machine have ended
		if !a.IsDrainingAsLeader(a.machineName(summary)) {
			summary.FreeResources, summary.Usages = summary.Size, nil
		}
	}
	a.Scale(workload)
	if names := a.DrainingMachines(); len(names) != 1 {
		t.Errorf("machines %v are draining, want one: the other has only just become free", names)
	}
}

// A machine that is in use, or was in use recently, is not terminated as idle.
func TestMachineInUseRestartsIdleTime(t *testing.T) {
	c := newFakeCluster()
	c.addMachines(1)
	c.machines[0].Partition = loanPartition
	a := c.newAutoscaler(t)
	c.scaleFor(a, 2*idleWindow, c.surplusWorkload) // the machine is in use
	c.scaleFor(a, idleWindow-time.Second, func() *Workload { return c.newWorkload() })
	c.machines[0].HasBoundTasks = true
	a.Scale(c.newWorkload())
	c.machines[0].HasBoundTasks = false
	c.scaleFor(a, idleWindow, func() *Workload { return c.newWorkload() })
	if len(a.queuedCalls) != 0 {
		t.Error("the machine is terminated although it was in use recently")
	}
}

// After its termination, a machine no longer counts as an instance, as draining or as idle.
func TestTerminationDropsLeaderState(t *testing.T) {
	c := newFakeCluster()
	c.addMachines(1)
	a := c.newAutoscaler(t)
	a.ObserveMachine(c.machines[0].Machine)
	a.term.drainingMachines["host-000000"], a.term.idleSince["host-000000"] = true, c.now
	a.terminate([]string{"host-000000"})
	c.runQueuedCalls(a)
	if len(a.term.drainingMachines)+len(a.term.idleSince)+len(a.term.instances) != 0 {
		t.Errorf("after the termination: draining %v, idle %v, instances %v; want none", a.term.drainingMachines, a.term.idleSince, a.term.instances)
	}
}

// Machines that have been or are being terminated are ignored in the instance list, since the
// list lags.
func TestInstanceListIgnoresTerminatedMachines(t *testing.T) {
	c := newFakeCluster()
	c.addMachines(2)
	c.machines[0].Terminated = true
	a := c.newAutoscaler(t)
	a.terminatingMachines["host-000001"] = true
	for _, state := range []string{"", wire.InstanceFailed} {
		a.applyInstanceList([]wire.Instance{{Name: "host-000000", Type: "small", State: state}, {Name: "host-000001", Type: "small", State: state}})
	}
	if len(a.term.instances) != 0 || len(a.queuedCalls) != 0 {
		t.Errorf("%v are known instances, %d calls are queued; want none", a.term.instances, len(a.queuedCalls))
	}
}

// Tombstones are not deleted while many writes are queued for the key-value store.
func TestTombstoneDeletionWaitsForWriteBacklog(t *testing.T) {
	c := newFakeCluster()
	c.tombstones["e/gone/x"] = Tombstone{Key: "e/gone/x", FirstSeenAt: c.now.Add(-hour)}
	c.writer.Submit(&store.Write{Changes: make([]wire.Change, 200)})
	if c.BacklogDuration() <= time.Second {
		t.Fatalf("backlog of %v, want more than a second", c.BacklogDuration())
	}
	c.newAutoscaler(t).deleteTombstones()
	if len(c.writes) != 0 {
		t.Errorf("writes %+v, want none", c.writes)
	}
}

// If a zone becomes isolated a second time, its machines are kept for the full time again.
func TestZoneIsolationTimeRestarts(t *testing.T) {
	c := newFakeCluster()
	c.addMachines(6)
	c.isolateZone("a", "b")
	a := c.newAutoscaler(t)
	a.DetectIsolatedZones()
	for _, reachable := range []bool{true, false} {
		for _, m := range c.machines[:6] {
			m.Reachable = reachable
		}
		c.now = c.now.Add(time.Minute)
		a.DetectIsolatedZones()
	}
	if !a.term.isolatedZones["a"] {
		t.Error("the machines of the zone are not kept the second time")
	}
}

// Tasks below the priority of all services count as headroom, since services preempt them. A
// machine that is up does not count as booting.
func TestLowerPriorityTasksCountAsHeadroom(t *testing.T) {
	c := newFakeCluster()
	c.addMachines(1)
	c.machines[0].HasBoundTasks = true
	a := c.newAutoscaler(t)
	a.Operator.Headroom = 1
	a.ObserveMachine(c.machines[0].Machine)
	if booting, _ := a.MachineCounts(); booting != 0 {
		t.Errorf("%d machines count as booting, want none", booting)
	}
	demand := c.newDemand(0)
	for priority, launches := range map[int]int{0: 1, 1: 0} {
		workload := c.newWorkload()
		workload.Services = slices.Values([]Service{{Class: "c", Priority: priority, TaskCount: 1, Demand: func() planning.Demand { return demand }}})
		plan, _ := a.planLaunches(workload, a.computeHeadroom(workload.Services))
		if plan.Launches[smallOffer] != launches {
			t.Errorf("services of priority %d, running tasks of priority 0: launches %v, want %d", priority, plan.Launches, launches)
		}
	}
}
