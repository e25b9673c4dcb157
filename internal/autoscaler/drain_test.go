package autoscaler

import (
	"slices"
	"testing"
	"time"

	"eiderhitch/internal/planning"
	"eiderhitch/internal/store"
	"eiderhitch/internal/wire"
)

// surplusWorkload is one of machines of which a quarter is in use, and no more is wanted.
func (c *fakeCluster) surplusWorkload() *Workload {
	work := c.newWorkload()
	for _, summary := range work.Machines {
		used := summary.Size
		used.CPU /= 4
		summary.InUse, summary.FreeResources, summary.Usages = true, summary.Size.Minus(used), []planning.TaskUsage{{Size: used}}
	}
	return work
}

// scaleFor has an autoscaler decide each second for a while.
func (c *fakeCluster) scaleFor(a *Autoscaler, duration time.Duration, newWorkload func() *Workload) {
	for range int(duration / time.Second) {
		a.Scale(newWorkload())
		c.now = c.now.Add(time.Second)
	}
}

// idleWindow is how long the small type's machines are kept: 0.4 boot times of 40 s.
const idleWindow = 16 * time.Second

// A new leader drains nothing before it has led for the whole window.
func TestNewLeaderDrainsNothingBeforeFullWindow(t *testing.T) {
	c := newFakeCluster()
	c.leadership.StartedAt = c.now
	c.addMachines(2)
	a := c.newAutoscaler(t)
	c.scaleFor(a, idleWindow, c.surplusWorkload)
	if names := a.DrainingMachines(); len(names) != 0 {
		t.Errorf("drained within the window: %v, want none", names)
	}
	a.Scale(c.surplusWorkload())
	if names := a.DrainingMachines(); len(names) != 1 {
		t.Errorf("drained after the window: %v, want one", names)
	}
}

// After a shortage the surplus has to last for the whole window once more.
func TestShortageRestartsSurplusWindow(t *testing.T) {
	c := newFakeCluster()
	c.addMachines(2)
	a := c.newAutoscaler(t)
	c.scaleFor(a, idleWindow-2*time.Second, c.surplusWorkload)
	short := c.surplusWorkload()
	short.UnplacedDemands = []planning.Demand{c.newDemand(9)}
	a.Scale(short)
	c.now = c.now.Add(time.Second)
	c.scaleFor(a, idleWindow/2, c.surplusWorkload)
	if names := a.DrainingMachines(); len(names) != 0 {
		t.Errorf("drained: %v, want none", names)
	}
}

// The headroom for services is no surplus.
func TestHeadroomIsNotSurplus(t *testing.T) {
	c := newFakeCluster()
	c.addMachines(2)
	a := c.newAutoscaler(t)
	a.Operator.Headroom = 1
	c.scaleFor(a, 2*idleWindow, func() *Workload {
		work := c.surplusWorkload()
		demand := c.newDemand(0)
		demand.TaskSize.CPU = 3000
		work.Services = slices.Values([]Service{{Class: "c", Priority: 1, TaskCount: 1, Demand: func() planning.Demand { return demand }}})
		return work
	})
	if names := a.DrainingMachines(); len(names) != 0 {
		t.Errorf("drained: %v, want none: with 3 of 6 CPUs kept free no machine is surplus", names)
	}
}

// What is free on a machine that is drained counts as free no more, nor as having been so.
func TestDrainingMachinesDoNotCountAsSurplus(t *testing.T) {
	c := newFakeCluster()
	c.addMachines(2)
	a := c.newAutoscaler(t)
	for len(a.DrainingMachines()) == 0 {
		a.Scale(c.surplusWorkload())
		c.now = c.now.Add(time.Second)
	}
	work := c.surplusWorkload()
	for _, summary := range work.Machines { // the tasks of the other one have ended
		if !a.IsDrainingAsLeader(a.machineName(summary)) {
			summary.FreeResources, summary.Usages = summary.Size, nil
		}
	}
	a.Scale(work)
	if names := a.DrainingMachines(); len(names) != 1 {
		t.Errorf("drained: %v, want one: the other has been free for a moment", names)
	}
}

// A machine that is wanted, or was in between, is not idle for long.
func TestMachineInUseRestartsIdleTime(t *testing.T) {
	c := newFakeCluster()
	c.addMachines(1)
	c.machines[0].Partition = loanPartition
	a := c.newAutoscaler(t)
	c.scaleFor(a, 2*idleWindow, c.surplusWorkload) // planned for
	c.scaleFor(a, idleWindow-time.Second, func() *Workload { return c.newWorkload() })
	c.machines[0].HasBoundTasks = true
	a.Scale(c.newWorkload())
	c.machines[0].HasBoundTasks = false
	c.scaleFor(a, idleWindow, func() *Workload { return c.newWorkload() })
	if len(a.queuedCalls) != 0 {
		t.Error("it is terminated, though it was in use of late")
	}
}

// A terminated machine is forgotten: it neither counts as drained nor as idle.
func TestTerminationDropsLeaderState(t *testing.T) {
	c := newFakeCluster()
	c.addMachines(1)
	a := c.newAutoscaler(t)
	a.ObserveMachine(c.machines[0].Machine)
	a.term.draining["host-000000"], a.term.idleSince["host-000000"] = true, c.now
	a.terminate([]string{"host-000000"})
	c.runQueuedCalls(a)
	if len(a.term.draining)+len(a.term.idleSince)+len(a.term.instances) != 0 {
		t.Errorf("draining %v, idle %v, instances %v; want none", a.term.draining, a.term.idleSince, a.term.instances)
	}
}

// The list lags: what it shows of machines that are terminated, or being so, says nothing.
func TestInstanceListIgnoresTerminatedMachines(t *testing.T) {
	c := newFakeCluster()
	c.addMachines(2)
	c.machines[0].Terminated = true
	a := c.newAutoscaler(t)
	a.terminating["host-000001"] = true
	for _, state := range []string{"", wire.InstanceFailed} {
		a.applyInstanceList([]wire.Instance{{Name: "host-000000", Type: "small", State: state}, {Name: "host-000001", Type: "small", State: state}})
	}
	if len(a.term.instances) != 0 || len(a.queuedCalls) != 0 {
		t.Errorf("instances %v, %d calls; want none", a.term.instances, len(a.queuedCalls))
	}
}

// Tombstones wait while the key-value store has much to do.
func TestTombstoneDeletionWaitsForWriteBacklog(t *testing.T) {
	c := newFakeCluster()
	c.tombstones["e/gone/x"] = Tombstone{Key: "e/gone/x", FirstSeenAt: c.now.Add(-hour)}
	c.writer.Submit(&store.Write{Changes: make([]wire.Change, 200)})
	if c.Backlog() <= time.Second {
		t.Fatalf("the backlog is %v, want more than a second", c.Backlog())
	}
	c.newAutoscaler(t).deleteTombstones()
	if len(c.writes) != 0 {
		t.Errorf("written: %+v, want nothing", c.writes)
	}
}

// A zone that was isolated once is given the whole time when it is again.
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
		t.Error("its machines are not kept")
	}
}

// Work of services preempts what is below them, so that room is headroom; and what is up is
// not booting.
func TestLowerPriorityTasksCountAsHeadroom(t *testing.T) {
	c := newFakeCluster()
	c.addMachines(1)
	c.machines[0].HasBoundTasks = true
	a := c.newAutoscaler(t)
	a.Operator.Headroom = 1
	a.ObserveMachine(c.machines[0].Machine)
	if booting, _ := a.MachineCounts(); booting != 0 {
		t.Errorf("%d machines are booting, want none", booting)
	}
	demand := c.newDemand(0)
	for priority, launches := range map[int]int{0: 1, 1: 0} {
		work := c.newWorkload()
		work.Services = slices.Values([]Service{{Class: "c", Priority: priority, TaskCount: 1, Demand: func() planning.Demand { return demand }}})
		plan, _ := a.planLaunches(work, a.computeHeadroom(work.Services))
		if plan.Launches[smallOffer] != launches {
			t.Errorf("priority %d above tasks of 0: launches %v, want %d", priority, plan.Launches, launches)
		}
	}
}
