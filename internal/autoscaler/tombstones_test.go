package autoscaler

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"eiderhitch/internal/cloud"
	"eiderhitch/internal/wire"
)

// Only one deletion of tombstones is pending at a time. Guards against a fault in which the
// deletion was submitted again at each tick until the first was stored: with a hundred tombstones,
// it used up all changes that the key-value store allows and delayed assignment by seconds.
func TestTombstonesAreDeletedOnce(t *testing.T) {
	c := newFakeCluster()
	a := c.newAutoscaler(t)
	conditions := []wire.Condition{leaderCondition}
	for i := range 3 {
		key, revision := fmt.Sprint("e/gone/host-", i), uint64(10+i)
		conditions = append(conditions, wire.Condition{Key: key, Revision: revision})
		c.tombstones[key] = Tombstone{Key: key, Revision: revision, MachineNames: []string{fmt.Sprint("host-", i)}, FirstSeenAt: c.now}
	}
	c.now = c.now.Add(hour)
	a.deleteTombstones()
	queued := c.BacklogDuration()
	for range 20 {
		a.deleteTombstones()
	}
	if queued == 0 || c.BacklogDuration() != queued {
		t.Errorf("backlog of %v after one call, %v after many; want the same, and not 0", queued, c.BacklogDuration())
	}
	byKey := func(x, y wire.Condition) int { return strings.Compare(x.Key, y.Key) }
	slices.SortFunc(conditions, byKey)
	if len(c.writes) != 1 || len(c.writes[0].Changes) != 3 || !slices.Equal(slices.SortedFunc(slices.Values(c.writes[0].Conditions), byKey), conditions) {
		t.Errorf("writes %+v, want one that deletes 3 tombstones under the leader's token and their revisions", c.writes)
	}
	c.writeCallbacks[0](nil)
	a.deleteTombstones()
	if len(c.writes) != 2 {
		t.Errorf("%d writes, want another one once the first is stored", len(c.writes))
	}
}

// The result of a deletion from an earlier term does not allow a second deletion while that of the
// current term is pending.
func TestFormerTermDeletionResultIsIgnored(t *testing.T) {
	c := newFakeCluster()
	c.tombstones["e/gone/x"] = Tombstone{Key: "e/gone/x", FirstSeenAt: c.now.Add(-hour)}
	a := c.newAutoscaler(t)
	a.deleteTombstones()
	c.leadership.Epoch++
	a.StartTerm()
	a.deleteTombstones()
	c.writeCallbacks[0](nil)
	a.deleteTombstones()
	if len(c.writes) != 2 {
		t.Errorf("%d writes, want one in each term", len(c.writes))
	}
}

// A tombstone is kept while the instance list may contain its machines, and while tasks are bound
// to one of them.
func TestNeededTombstonesAreKept(t *testing.T) {
	for _, test := range []struct {
		name string
		age  time.Duration
		used bool
		want int
	}{
		{"new", 130 * time.Second, false, 0},
		{"old", 133 * time.Second, false, 1},
		{"old and in use", 133 * time.Second, true, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newFakeCluster()
			c.addMachines(2)
			c.machines[1].HasBoundTasks = test.used
			c.tombstones["e/gone/x"] = Tombstone{Key: "e/gone/x", MachineNames: []string{"host-000000", "host-000001"}, FirstSeenAt: c.now.Add(-test.age)}
			c.newAutoscaler(t).deleteTombstones()
			if len(c.writes) != test.want {
				t.Errorf("%d writes, want %d", len(c.writes), test.want)
			}
		})
	}
}

// Machines that are terminated together share a tombstone, which is a single change. Guards
// against a write backlog that delays the replacement of their tasks.
func TestMachinesTerminatedTogetherShareATombstone(t *testing.T) {
	c := newFakeCluster()
	a := c.newAutoscaler(t)
	c.addMachines(240)
	var names []string
	for _, m := range c.machines {
		names = append(names, m.Name)
	}
	a.storeTombstones(names)
	if n := c.BacklogDuration(); n > time.Second/10 {
		t.Errorf("backlog of %v, want at most 100 ms", n)
	}
	if len(c.writes) != 1 || len(c.writes[0].Changes) != 1 {
		t.Fatalf("%d writes, want one with a single change", len(c.writes))
	}
	var stored []string
	change := c.writes[0].Changes[0]
	if err := json.Unmarshal(change.Value, &stored); err != nil || change.Put != "e/gone/host-000000" || !slices.Equal(stored, names) {
		t.Errorf("key %s, names %v, error %v; want all names under the first one", change.Put, stored, err)
	}
}

// A tombstone is at most as large as half the maximum size of a value plus one name.
func TestLargeBatchIsSplitIntoSeveralTombstones(t *testing.T) {
	c := newFakeCluster()
	a := c.newAutoscaler(t)
	c.addMachines(600)
	var names []string
	for _, m := range c.machines {
		names = append(names, m.Name)
	}
	a.storeTombstones(names)
	var all []string
	for _, write := range c.writes {
		var stored []string
		if err := json.Unmarshal(write.Changes[0].Value, &stored); err != nil || len(write.Changes[0].Value) > 4<<10+20 {
			t.Errorf("tombstone of %d bytes, error %v; want at most half of the value size and a name", len(write.Changes[0].Value), err)
		}
		all = append(all, stored...)
	}
	if !slices.Equal(all, names) || len(c.writes) != 3 {
		t.Errorf("%d names in %d tombstones, want all %d in 3", len(all), len(c.writes), len(names))
	}
}

// A tombstone is stored under the leader's fencing token or that of the partition's owner. A
// controller that is neither stores none, and a machine that has never come up has none.
func TestTombstoneFencingCondition(t *testing.T) {
	for _, test := range []struct {
		name      string
		setup     func(c *fakeCluster)
		launched  bool // launched by this leader, not up yet
		condition *wire.Condition
	}{
		{"leader", func(*fakeCluster) {}, false, &leaderCondition},
		{"leader who owns the partition", func(c *fakeCluster) { c.partitionCondition = partitionCondition }, false, &leaderCondition},
		{"owner", func(c *fakeCluster) { c.demote(); c.partitionCondition = partitionCondition }, false, &partitionCondition},
		{"neither", func(c *fakeCluster) { c.demote() }, false, nil},
		{"leader, machine never up", func(*fakeCluster) {}, true, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newFakeCluster()
			test.setup(c)
			a := c.newAutoscaler(t)
			c.addMachines(1)
			if test.launched {
				a.addInstances(smallOffer, []string{"host-000000"}, c.now)
			}
			a.terminate([]string{"host-000000"})
			c.runQueuedCalls(a)
			if test.condition == nil {
				checkNoTombstone(t, c, a, test.launched)
			} else {
				checkTombstone(t, c, a, *test.condition)
			}
		})
	}
}

// checkNoTombstone checks that no tombstone is stored for host-000000, and that the machine is
// marked as terminated if, and only if, it has never come up.
func checkNoTombstone(t *testing.T, c *fakeCluster, a *Autoscaler, neverUp bool) {
	t.Helper()
	if len(c.writes) != 0 || a.IsTerminating("host-000000") {
		t.Errorf("%d writes, machine is being terminated: %v; want neither", len(c.writes), a.IsTerminating("host-000000"))
	}
	if got := len(c.terminated) == 1; got != neverUp {
		t.Errorf("machine is marked as terminated: %v, want %v", got, neverUp)
	}
}

// checkTombstone checks that a tombstone for host-000000 is submitted under a condition, and that
// the machine counts as being terminated until the tombstone is stored.
func checkTombstone(t *testing.T, c *fakeCluster, a *Autoscaler, condition wire.Condition) {
	t.Helper()
	if len(c.writes) != 1 || c.writes[0].Conditions[0] != condition || c.writes[0].Conditions[1] != (wire.Condition{Key: "e/gone/host-000000"}) {
		t.Fatalf("writes %+v, want one tombstone under %v", c.writes, condition)
	}
	if !c.writes[0].MediumPriority {
		t.Error("the tombstone has normal priority, which delays the replacement of tasks")
	}
	if !a.IsTerminating("host-000000") {
		t.Error("the machine is not being terminated while its tombstone is pending")
	}
	c.writeCallbacks[0](nil)
	if a.IsTerminating("host-000000") {
		t.Error("the machine is still being terminated after its tombstone is stored")
	}
}

// One call terminates all machines that were queued since the previous call, up to the limit of
// the cloud's API. After a failed call, the machines can be queued again.
func TestTerminationsAreBatched(t *testing.T) {
	c := newFakeCluster()
	a := c.newAutoscaler(t)
	c.addMachines(1 + cloud.MaxTerminateNames + 5)
	for _, m := range c.machines {
		a.terminate([]string{m.Name})
		a.terminate([]string{m.Name})
	}
	c.runQueuedCalls(a)
	var sizes []int
	for _, names := range c.cloud.terminations {
		sizes = append(sizes, len(names))
	}
	if !slices.Equal(sizes, []int{1, cloud.MaxTerminateNames, 5}) {
		t.Errorf("calls for %v machines, want calls for 1, %d and 5", sizes, cloud.MaxTerminateNames)
	}

	c = newFakeCluster()
	a = c.newAutoscaler(t)
	c.addMachines(1)
	c.cloud.terminateErr = errors.New("no answer")
	for range 2 {
		a.terminate([]string{"host-000000"})
		c.runQueuedCalls(a)
		if a.IsTerminating("host-000000") || len(c.writes) != 0 {
			t.Errorf("machine is being terminated: %v, %d writes; want neither after a failed call", a.IsTerminating("host-000000"), len(c.writes))
		}
	}
	if len(c.cloud.terminations) != 2 {
		t.Errorf("%d calls, want 2", len(c.cloud.terminations))
	}
}
