package autoscaler

import (
	"errors"
	"slices"
	"testing"
	"time"

	"eiderhitch/internal/planning"
	"eiderhitch/internal/wire"
)

// isolate has all machines of a zone out of reach, and one of another zone well.
func (c *fakeCluster) isolateZone(zone, reachableZone string) {
	for _, m := range c.machines {
		m.Zone, m.Reachable = zone, false
	}
	c.addMachines(1)
	c.machines[len(c.machines)-1].Zone = reachableZone
}

func TestIsolatedZones(t *testing.T) {
	for _, test := range []struct {
		name     string
		cluster  func(c *fakeCluster)
		isolated bool
	}{
		{"isolated", func(c *fakeCluster) { c.addMachines(6); c.isolateZone("a", "b") }, true},
		{"few machines", func(c *fakeCluster) { c.addMachines(4); c.isolateZone("a", "b") }, false},
		{"no other zone", func(c *fakeCluster) { c.addMachines(6); c.isolateZone("a", "a") }, false},
		{"zone is not known", func(c *fakeCluster) { c.addMachines(6); c.isolateZone("", "b") }, false},
		{"half of it is well", func(c *fakeCluster) { c.addMachines(6); c.isolateZone("a", "b"); c.addMachines(6) }, false},
		{"owners have only just come", func(c *fakeCluster) {
			c.addMachines(6)
			c.isolateZone("a", "b")
			for _, m := range c.machines {
				m.AwaitingFirstHeartbeat = true
			}
		}, false},
		{"owners have only just come, and asked", func(c *fakeCluster) {
			c.addMachines(6)
			for _, m := range c.machines {
				m.AwaitingFirstHeartbeat, m.Unreachable = true, true
			}
			c.isolateZone("a", "b")
		}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newFakeCluster()
			test.cluster(c)
			a := c.newAutoscaler(t)
			a.DetectIsolatedZones()
			if got := slices.Equal(a.IsolatedZones(), []string{"a"}); got != test.isolated || !got && len(a.IsolatedZones()) != 0 {
				t.Errorf("isolated: %v, want a: %v", a.IsolatedZones(), test.isolated)
			}
		})
	}
}

// The machines of an isolated zone are kept until what runs there has ended anyhow.
func TestIsolatedZoneMachinesAreKeptUntilWorkExpires(t *testing.T) {
	c := newFakeCluster()
	c.addMachines(6)
	for _, m := range c.machines {
		m.Unreachable, m.HasBoundTasks = true, true
	}
	c.isolateZone("a", "b")
	a := c.newAutoscaler(t)
	a.term.hasInstanceList = true
	step := func() {
		a.DetectIsolatedZones()
		a.TerminateLostMachines()
		c.runQueuedCalls(a)
	}
	step()
	c.now = c.now.Add(59 * time.Second)
	step()
	if len(c.cloud.terminations) != 0 {
		t.Fatalf("terminated: %v, want none yet", c.cloud.terminations)
	}
	c.now = c.now.Add(time.Second)
	step()
	if len(c.cloud.terminations) != 1 || len(c.cloud.terminations[0]) != 6 {
		t.Errorf("terminated: %v, want all 6", c.cloud.terminations)
	}
}

func TestLostMachinesAreTerminated(t *testing.T) {
	for _, test := range []struct {
		name    string
		cluster func(c *fakeCluster, a *Autoscaler)
		want    int
	}{
		{"well", func(*fakeCluster, *Autoscaler) {}, 0},
		{"unreachable", func(c *fakeCluster, _ *Autoscaler) { c.machines[0].Unreachable = true }, 1},
		{"unreachable, not listed yet", func(c *fakeCluster, a *Autoscaler) { c.machines[0].Unreachable, a.term.hasInstanceList = true, false }, 0},
		{"cordoned and idle", func(c *fakeCluster, _ *Autoscaler) { c.machines[0].Cordoned = true }, 1},
		{"cordoned of late, in use", func(c *fakeCluster, _ *Autoscaler) {
			m := c.machines[0]
			m.Cordoned, m.HasBoundTasks, m.CordonedAt = true, true, c.now.Add(-15*time.Second)
		}, 0},
		{"cordoned, in use", func(c *fakeCluster, _ *Autoscaler) {
			m := c.machines[0]
			m.Cordoned, m.HasBoundTasks, m.CordonedAt = true, true, c.now.Add(-16*time.Second)
		}, 1},
		{"boots", func(c *fakeCluster, a *Autoscaler) {
			a.addInstances(smallOffer, []string{"new-1"}, c.now.Add(-110*time.Second)) // 2.5 times of 40 s, and 10 s
		}, 0},
		{"does not come up", func(c *fakeCluster, a *Autoscaler) {
			a.addInstances(smallOffer, []string{"new-1"}, c.now.Add(-111*time.Second))
		}, 1},
		{"does not come up in an isolated zone", func(c *fakeCluster, a *Autoscaler) {
			a.addInstances(smallOffer, []string{"new-1"}, c.now.Add(-111*time.Second))
			a.term.isolatedZones = map[string]bool{"a": true}
		}, 0},
		{"does not come up, its owner has only just come", func(c *fakeCluster, a *Autoscaler) {
			a.addInstances(smallOffer, []string{"new-1"}, c.now.Add(-111*time.Second))
			c.ownersUnresponsive = true
		}, 0},
		{"long up, and told of", func(c *fakeCluster, a *Autoscaler) {
			a.addInstances(smallOffer, []string{"host-000000"}, c.now.Add(-hour))
			a.ObserveMachine(c.machines[0].Machine)
		}, 0},
		{"long up, not told of any more", func(c *fakeCluster, a *Autoscaler) {
			a.ObserveMachine(c.machines[0].Machine)
			c.now = c.now.Add(111 * time.Second)
		}, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newFakeCluster()
			c.addMachines(1)
			a := c.newAutoscaler(t)
			a.term.hasInstanceList = true
			test.cluster(c, a)
			a.TerminateLostMachines()
			c.runQueuedCalls(a)
			if len(c.cloud.terminations) != test.want {
				t.Errorf("terminated: %v, want %d", c.cloud.terminations, test.want)
			}
		})
	}
}

// An owner terminates unreachable machines itself only while it hears nothing of the leader.
func TestOwnerTerminatesUnreachableMachinesWithoutLeader(t *testing.T) {
	for _, test := range []struct {
		name    string
		cluster func(c *fakeCluster)
		want    bool
	}{
		{"leader is heard", func(c *fakeCluster) { c.demote(); c.leaderLastHeardAt = c.now.Add(-3 * time.Second) }, false},
		{"leader is not heard", func(c *fakeCluster) { c.demote(); c.leaderLastHeardAt = c.now.Add(-4 * time.Second) }, true},
		{"there is none", func(c *fakeCluster) { c.demote() }, true},
		{"it leads itself", func(*fakeCluster) {}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newFakeCluster()
			c.unreachableWithTasks, c.partitionCondition = []string{"host-000000"}, partitionCondition
			test.cluster(c)
			a := c.newAutoscaler(t)
			a.TerminateUnreachableMachines()
			c.runQueuedCalls(a)
			if got := len(c.cloud.terminations) == 1; got != test.want {
				t.Errorf("terminated: %v, want %v", got, test.want)
			}
		})
	}
}

// A machine is terminated once it has been idle for as long as waiting for it to be needed
// pays: that is longer for a spot instance, which costs less.
func TestIdleMachinesAreTerminated(t *testing.T) {
	const onDemand, spot = 16 * time.Second, 64 * time.Second // 0.4 boot times of 40 s; a quarter of the price
	for _, test := range []struct {
		name    string
		cluster func(c *fakeCluster)
		idle    time.Duration
		want    bool
	}{
		{"idle for a little", func(c *fakeCluster) { c.machines[0].Partition = loanPartition }, onDemand, false},
		{"idle for long", func(c *fakeCluster) { c.machines[0].Partition = loanPartition }, onDemand + time.Second, true},
		{"surplus", func(*fakeCluster) {}, onDemand, true},
		{"spot instance", func(c *fakeCluster) { c.machines[0].Spot = true }, onDemand + time.Second, false},
		{"spot instance, for long", func(c *fakeCluster) { c.machines[0].Spot = true }, spot + time.Second, true},
		{"in use", func(c *fakeCluster) { c.machines[0].HasBoundTasks = true }, hour, false},
		{"records that can't be decoded", func(c *fakeCluster) { c.hasUnreadableRecords = true }, hour, false},
		{"outage meanwhile", func(c *fakeCluster) { c.heartbeatsResumedAt = c.now.Add(time.Second) }, onDemand + time.Second, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newFakeCluster()
			c.addMachines(1)
			test.cluster(c)
			a := c.newAutoscaler(t)
			a.Scale(c.newWorkload())
			c.now = c.now.Add(test.idle)
			a.Scale(c.newWorkload())
			c.runQueuedCalls(a)
			if got := len(c.cloud.terminations) == 1; got != test.want {
				t.Errorf("terminated: %v, want %v", got, test.want)
			}
		})
	}
}

// When more is free all the time than a machine has, the least used one is drained, and
// its owner and others learn of it. In a shortage none is.
func TestSurplusMachineIsDrained(t *testing.T) {
	c := newFakeCluster()
	c.addMachines(2)
	a := c.newAutoscaler(t)
	work := func() *Workload {
		work := c.newWorkload()
		for _, summary := range work.Machines { // a quarter of each is in use
			used := summary.Size
			used.CPU /= 4
			summary.InUse, summary.FreeResources, summary.Usages = true, summary.Size.Minus(used), []planning.TaskUsage{{Size: used}}
		}
		return work
	}
	for range 20 {
		a.Scale(work())
		c.now = c.now.Add(time.Second)
	}
	drained := a.DrainingMachines()
	if len(drained) != 1 || !a.IsDrainingAsLeader(drained[0]) || !a.IsDraining(drained[0]) {
		t.Fatalf("drained: %v, want one, as announced", drained)
	}
	short := work()
	short.UnplacedDemands = []planning.Demand{c.newDemand(9)}
	a.Scale(short)
	if _, draining := a.MachineCounts(); draining != 0 || a.IsDraining(drained[0]) {
		t.Errorf("%d machines are drained in a shortage", draining)
	}
}

// Who does not lead goes by what the leader announced last.
func TestFollowerUsesAnnouncedDraining(t *testing.T) {
	c := newFakeCluster()
	c.demote()
	a := c.newAutoscaler(t)
	a.ObserveDraining([]string{"host-1"})
	a.ObserveDraining([]string{"host-2"})
	if a.IsDraining("host-1") || !a.IsDraining("host-2") || a.IsDrainingAsLeader("host-2") || len(a.DrainingMachines()) != 0 {
		t.Error("want host-2 alone as announced, and none of its own")
	}
}

// The cloud's list tells of instances that a former leader launched, and of failed ones.
func TestInstanceListUpdatesInstances(t *testing.T) {
	c := newFakeCluster()
	c.addMachines(1)
	a := c.newAutoscaler(t)
	a.ObserveMachine(c.machines[0].Machine) // not on the list, which lags: it stays
	a.addInstances(smallOffer, []string{"new-1", "new-2"}, c.now.Add(-17*time.Second))
	a.addInstances(smallOffer, []string{"new-3"}, c.now.Add(-16*time.Second)) // twice the lag of 3 s, and 10 s
	c.cloud.instances = []wire.Instance{
		{Name: "new-1", Type: "small", Zone: "a"},
		{Name: "old-1", Type: "small", Zone: "a", AgeS: 30},
		{Name: "bad-1", Type: "small", Zone: "a", State: wire.InstanceFailed},
	}
	a.SyncWithCloud()
	c.runQueuedCalls(a)
	var known []string
	for name := range a.term.instances {
		known = append(known, name)
	}
	slices.Sort(known)
	if want := []string{"host-000000", "new-1", "new-3", "old-1"}; !slices.Equal(known, want) {
		t.Errorf("instances %v, want %v", known, want)
	}
	if age := c.now.Sub(a.term.instances["old-1"].launchedAt); age != 30*time.Second {
		t.Errorf("it is %v old, want 30 s", age)
	}
	if len(c.cloud.terminations) != 1 || !slices.Equal(c.cloud.terminations[0], []string{"bad-1"}) {
		t.Errorf("terminated: %v, want the failed one", c.cloud.terminations)
	}
	c.cloud.instances = nil
	c.now = c.now.Add(hour)
	a.SyncWithCloud()
	c.runQueuedCalls(a)
	if len(a.term.instances) != 1 {
		t.Errorf("%d instances, want only the one that is up", len(a.term.instances))
	}
}

// Everybody reads the machine types while none are known, the leader every minute. They are
// stored once.
func TestMachineTypesAreSynced(t *testing.T) {
	for _, test := range []struct {
		name    string
		cluster func(c *fakeCluster)
		reads   int // within a minute
		writes  int
	}{
		{"leader", func(*fakeCluster) {}, 1, 1},
		{"follower", func(c *fakeCluster) { c.demote() }, 0, 0},
		{"follower, types are not known", func(c *fakeCluster) { c.demote(); c.types = nil }, 1, 1},
		{"starting", func(c *fakeCluster) { c.demote(); c.types, c.loadingRecords = nil, true }, 0, 0},
		{"cloud is out of reach", func(c *fakeCluster) { c.demote(); c.types, c.cloud.typesErr = nil, errors.New("no answer") }, 20, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newFakeCluster()
			c.cloud.machineTypes = []wire.MachineType{{Name: "large"}}
			test.cluster(c)
			a := c.newAutoscaler(t)
			for range 60 {
				a.SyncWithCloud()
				c.runQueuedCalls(a)
				c.now = c.now.Add(time.Second)
			}
			if c.cloud.machineTypesCalls != test.reads || len(c.writes) != test.writes {
				t.Errorf("%d reads and %d transactions, want %d and %d", c.cloud.machineTypesCalls, len(c.writes), test.reads, test.writes)
			}
		})
	}
}
