package autoscaler

import (
	"errors"
	"slices"
	"testing"
	"time"

	"eiderhitch/internal/planning"
	"eiderhitch/internal/wire"
)

// isolateZone moves all machines to a zone and makes them not reachable, and adds a reachable
// machine in another zone.
func (c *fakeCluster) isolateZone(zone, reachableZone string) {
	for _, m := range c.machines {
		m.Zone, m.Reachable = zone, false
	}
	c.addMachines(1)
	c.machines[len(c.machines)-1].Zone = reachableZone
}

// A zone seems isolated if most of its machines are not reachable while those of another zone are.
func TestIsolatedZones(t *testing.T) {
	for _, test := range []struct {
		name     string
		setup    func(c *fakeCluster)
		isolated bool
	}{
		{"isolated", func(c *fakeCluster) { c.addMachines(6); c.isolateZone("a", "b") }, true},
		{"few machines", func(c *fakeCluster) { c.addMachines(4); c.isolateZone("a", "b") }, false},
		{"no other zone", func(c *fakeCluster) { c.addMachines(6); c.isolateZone("a", "a") }, false},
		{"zone is unknown", func(c *fakeCluster) { c.addMachines(6); c.isolateZone("", "b") }, false},
		{"half of the machines are reachable", func(c *fakeCluster) { c.addMachines(6); c.isolateZone("a", "b"); c.addMachines(6) }, false},
		{"new owners, no heartbeats yet", func(c *fakeCluster) {
			c.addMachines(6)
			c.isolateZone("a", "b")
			for _, m := range c.machines {
				m.AwaitingFirstHeartbeat = true
			}
		}, false},
		{"new owners, no heartbeats, machines unreachable", func(c *fakeCluster) {
			c.addMachines(6)
			for _, m := range c.machines {
				m.AwaitingFirstHeartbeat, m.Unreachable = true, true
			}
			c.isolateZone("a", "b")
		}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newFakeCluster()
			test.setup(c)
			a := c.newAutoscaler(t)
			a.DetectIsolatedZones()
			if got := slices.Equal(a.IsolatedZones(), []string{"a"}); got != test.isolated || !got && len(a.IsolatedZones()) != 0 {
				t.Errorf("isolated zones %v, want zone a to be one: %v", a.IsolatedZones(), test.isolated)
			}
		})
	}
}

// The machines of an isolated zone are kept until their tasks must have ended in any case.
func TestIsolatedZoneMachinesAreKeptUntilWorkExpires(t *testing.T) {
	c := newFakeCluster()
	c.addMachines(6)
	for _, m := range c.machines {
		m.Unreachable, m.HasBoundTasks = true, true
	}
	c.isolateZone("a", "b")
	a := c.newAutoscaler(t)
	a.term.hasInstanceList = true
	runPass := func() {
		a.DetectIsolatedZones()
		a.TerminateLostMachines()
		c.runQueuedCalls(a)
	}
	runPass()
	c.now = c.now.Add(59 * time.Second)
	runPass()
	if len(c.cloud.terminations) != 0 {
		t.Fatalf("terminated %v, want none yet", c.cloud.terminations)
	}
	c.now = c.now.Add(time.Second)
	runPass()
	if len(c.cloud.terminations) != 1 || len(c.cloud.terminations[0]) != 6 {
		t.Errorf("terminated %v, want all 6 machines", c.cloud.terminations)
	}
}

// The leader terminates machines that are unreachable, cordoned or overdue.
func TestLostMachinesAreTerminated(t *testing.T) {
	for _, test := range []struct {
		name  string
		setup func(c *fakeCluster, a *Autoscaler)
		want  int
	}{
		{"healthy", func(*fakeCluster, *Autoscaler) {}, 0},
		{"unreachable", func(c *fakeCluster, _ *Autoscaler) { c.machines[0].Unreachable = true }, 1},
		{"unreachable, no instance list yet", func(c *fakeCluster, a *Autoscaler) { c.machines[0].Unreachable, a.term.hasInstanceList = true, false }, 0},
		{"cordoned and idle", func(c *fakeCluster, _ *Autoscaler) { c.machines[0].Cordoned = true }, 1},
		{"cordoned recently, in use", func(c *fakeCluster, _ *Autoscaler) {
			m := c.machines[0]
			m.Cordoned, m.HasBoundTasks, m.CordonedAt = true, true, c.now.Add(-15*time.Second)
		}, 0},
		{"cordoned, in use", func(c *fakeCluster, _ *Autoscaler) {
			m := c.machines[0]
			m.Cordoned, m.HasBoundTasks, m.CordonedAt = true, true, c.now.Add(-16*time.Second)
		}, 1},
		{"boots", func(c *fakeCluster, a *Autoscaler) {
			a.addInstances(smallOffer, []string{"new-1"}, c.now.Add(-110*time.Second)) // 2.5 times the boot time of 40 s, and 10 s
		}, 0},
		{"does not come up", func(c *fakeCluster, a *Autoscaler) {
			a.addInstances(smallOffer, []string{"new-1"}, c.now.Add(-111*time.Second))
		}, 1},
		{"does not come up in an isolated zone", func(c *fakeCluster, a *Autoscaler) {
			a.addInstances(smallOffer, []string{"new-1"}, c.now.Add(-111*time.Second))
			a.term.isolatedZones = map[string]bool{"a": true}
		}, 0},
		{"does not come up, owner not responsive for long enough", func(c *fakeCluster, a *Autoscaler) {
			a.addInstances(smallOffer, []string{"new-1"}, c.now.Add(-111*time.Second))
			c.ownersUnresponsive = true
		}, 0},
		{"up for long, reported", func(c *fakeCluster, a *Autoscaler) {
			a.addInstances(smallOffer, []string{"host-000000"}, c.now.Add(-hour))
			a.ObserveMachine(c.machines[0].Machine)
		}, 0},
		{"up for long, no longer reported", func(c *fakeCluster, a *Autoscaler) {
			a.ObserveMachine(c.machines[0].Machine)
			c.now = c.now.Add(111 * time.Second)
		}, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newFakeCluster()
			c.addMachines(1)
			a := c.newAutoscaler(t)
			a.term.hasInstanceList = true
			test.setup(c, a)
			a.TerminateLostMachines()
			c.runQueuedCalls(a)
			if len(c.cloud.terminations) != test.want {
				t.Errorf("terminations %v, want %d", c.cloud.terminations, test.want)
			}
		})
	}
}

// An owner terminates unreachable machines itself only if it receives no statuses from the leader.
func TestOwnerTerminatesUnreachableMachinesWithoutLeader(t *testing.T) {
	for _, test := range []struct {
		name  string
		setup func(c *fakeCluster)
		want  bool
	}{
		{"leader responds", func(c *fakeCluster) { c.demote(); c.leaderLastStatusAt = c.now.Add(-3 * time.Second) }, false},
		{"leader does not respond", func(c *fakeCluster) { c.demote(); c.leaderLastStatusAt = c.now.Add(-4 * time.Second) }, true},
		{"no leader", func(c *fakeCluster) { c.demote() }, true},
		{"the owner is the leader", func(*fakeCluster) {}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newFakeCluster()
			c.unreachableWithTasks, c.partitionCondition = []string{"host-000000"}, partitionCondition
			test.setup(c)
			a := c.newAutoscaler(t)
			a.TerminateUnreachableMachines()
			c.runQueuedCalls(a)
			if got := len(c.cloud.terminations) == 1; got != test.want {
				t.Errorf("machine is terminated: %v, want %v", got, test.want)
			}
		})
	}
}

// A machine is terminated once it has been idle for its idle timeout. The timeout is longer for a
// spot instance, which costs less.
func TestIdleMachinesAreTerminated(t *testing.T) {
	const onDemand, spot = 16 * time.Second, 64 * time.Second // 0.4 times the boot time of 40 s; four times that at a quarter of the price
	for _, test := range []struct {
		name  string
		setup func(c *fakeCluster)
		idle  time.Duration
		want  bool
	}{
		{"idle for the timeout", func(c *fakeCluster) { c.machines[0].Partition = loanPartition }, onDemand, false},
		{"idle for longer than the timeout", func(c *fakeCluster) { c.machines[0].Partition = loanPartition }, onDemand + time.Second, true},
		{"surplus", func(*fakeCluster) {}, onDemand, true},
		{"spot instance", func(c *fakeCluster) { c.machines[0].Spot = true }, onDemand + time.Second, false},
		{"spot instance, idle for longer than its timeout", func(c *fakeCluster) { c.machines[0].Spot = true }, spot + time.Second, true},
		{"in use", func(c *fakeCluster) { c.machines[0].HasBoundTasks = true }, hour, false},
		{"records that can't be decoded", func(c *fakeCluster) { c.hasUnreadableRecords = true }, hour, false},
		{"outage in the meantime", func(c *fakeCluster) { c.heartbeatsResumedAt = c.now.Add(time.Second) }, onDemand + time.Second, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newFakeCluster()
			c.addMachines(1)
			test.setup(c)
			a := c.newAutoscaler(t)
			a.Scale(c.newWorkload())
			c.now = c.now.Add(test.idle)
			a.Scale(c.newWorkload())
			c.runQueuedCalls(a)
			if got := len(c.cloud.terminations) == 1; got != test.want {
				t.Errorf("machine is terminated: %v, want %v", got, test.want)
			}
		})
	}
}

// If more capacity than that of a machine is free for the whole window, the least used machine is
// drained and announced as draining. In a shortage no machine is draining.
func TestSurplusMachineIsDrained(t *testing.T) {
	c := newFakeCluster()
	c.addMachines(2)
	a := c.newAutoscaler(t)
	newWorkload := func() *Workload {
		workload := c.newWorkload()
		for _, summary := range workload.Machines { // a quarter of each is in use
			used := summary.Size
			used.CPU /= 4
			summary.InUse, summary.FreeResources, summary.Usages = true, summary.Size.Minus(used), []planning.TaskUsage{{Size: used}}
		}
		return workload
	}
	for range 20 {
		a.Scale(newWorkload())
		c.now = c.now.Add(time.Second)
	}
	names := a.DrainingMachines()
	if len(names) != 1 || !a.IsDrainingAsLeader(names[0]) || !a.IsDraining(names[0]) {
		t.Fatalf("machines %v are draining, want one that is also announced", names)
	}
	shortage := newWorkload()
	shortage.UnplacedDemands = []planning.Demand{c.newDemand(9)}
	a.Scale(shortage)
	if _, draining := a.MachineCounts(); draining != 0 || a.IsDraining(names[0]) {
		t.Errorf("%d machines are draining in a shortage, want none, nor any announced", draining)
	}
}

// On a follower, the machines that the leader announced last are draining.
func TestFollowerUsesAnnouncedDraining(t *testing.T) {
	c := newFakeCluster()
	c.demote()
	a := c.newAutoscaler(t)
	a.ObserveDraining([]string{"host-1"})
	a.ObserveDraining([]string{"host-2"})
	if a.IsDraining("host-1") || !a.IsDraining("host-2") || a.IsDrainingAsLeader("host-2") || len(a.DrainingMachines()) != 0 {
		t.Error("want only host-2 to be draining, and none drained by this controller")
	}
}

// The instance list adds machines that an earlier leader launched, removes instances that do not
// exist and reveals failed machines, which are terminated.
func TestInstanceListUpdatesInstances(t *testing.T) {
	c := newFakeCluster()
	c.addMachines(1)
	a := c.newAutoscaler(t)
	a.ObserveMachine(c.machines[0].Machine) // missing from the list, but kept since it is up
	a.addInstances(smallOffer, []string{"new-1", "new-2"}, c.now.Add(-17*time.Second))
	a.addInstances(smallOffer, []string{"new-3"}, c.now.Add(-16*time.Second)) // twice the lag of 3 s, and 10 s: not yet dropped
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
		t.Errorf("instance old-1 is %v old, want 30 s", age)
	}
	if len(c.cloud.terminations) != 1 || !slices.Equal(c.cloud.terminations[0], []string{"bad-1"}) {
		t.Errorf("terminated %v, want only the failed machine", c.cloud.terminations)
	}
	c.cloud.instances = nil
	c.now = c.now.Add(hour)
	a.SyncWithCloud()
	c.runQueuedCalls(a)
	if len(a.term.instances) != 1 {
		t.Errorf("%d instances after an empty list, want only the one that is up", len(a.term.instances))
	}
}

// The leader reads the machine types every minute. Followers read them only while none are known.
// They are stored once.
func TestMachineTypesAreSynced(t *testing.T) {
	for _, test := range []struct {
		name   string
		setup  func(c *fakeCluster)
		reads  int // within a minute
		writes int
	}{
		{"leader", func(*fakeCluster) {}, 1, 1},
		{"follower", func(c *fakeCluster) { c.demote() }, 0, 0},
		{"follower, types are unknown", func(c *fakeCluster) { c.demote(); c.types = nil }, 1, 1},
		{"starting", func(c *fakeCluster) { c.demote(); c.types, c.loadingRecords = nil, true }, 0, 0},
		{"cloud does not respond", func(c *fakeCluster) { c.demote(); c.types, c.cloud.typesErr = nil, errors.New("no answer") }, 20, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newFakeCluster()
			c.cloud.machineTypes = []wire.MachineType{{Name: "large"}}
			test.setup(c)
			a := c.newAutoscaler(t)
			for range 60 {
				a.SyncWithCloud()
				c.runQueuedCalls(a)
				c.now = c.now.Add(time.Second)
			}
			if c.cloud.machineTypesCalls != test.reads || len(c.writes) != test.writes {
				t.Errorf("%d reads and %d writes, want %d and %d", c.cloud.machineTypesCalls, len(c.writes), test.reads, test.writes)
			}
		})
	}
}
