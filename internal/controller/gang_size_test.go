package controller

import (
	"encoding/json"
	"testing"
	"time"

	"eiderhitch/internal/planning"
	"eiderhitch/internal/record"
	"eiderhitch/internal/scheduling"
	"eiderhitch/internal/wire"
)

// storedBindings counts, in the key-value store, a job's tasks that are bound to a machine and
// those that are assigned to a partition.
func (c *cluster) storedBindings(id string) (bound, assigned int) {
	for _, raw := range c.env.Store.Values(groupPrefix + id + "/") {
		var group record.TaskGroup
		if err := json.Unmarshal(raw, &group); err != nil {
			c.t.Error(err)
		}
		for _, task := range group.Tasks {
			if task.Machine != "" {
				bound++
			}
		}
		assigned += len(group.Tasks)
	}
	return bound, assigned
}

// setStoreLimits changes the limits of the key-value store and restarts all controllers with
// these limits in their settings.
func (c *cluster) setStoreLimits(valueKB float64, txnChanges int) {
	c.killAll()
	c.env.Store.SetTxnLimits(int(valueKB*1024), txnChanges)
	time.Sleep(500 * time.Millisecond)
	for i, n := range c.nodes {
		n.cfg.Settings.Store.ValueKB, n.cfg.Settings.Store.TxnOps = valueKB, txnChanges
		c.start(i)
	}
}

// largeGangSubmission returns a gang whose records and bindings take several transactions to
// write.
func largeGangSubmission(tasks int, cpus float64) *submission {
	gang := gangSubmission("wk-9", "blue", "urgent", tasks, 10)
	gang.CPUs, gang.RAM, gang.MachineTypes = cpus, 0.01, []string{"large"}
	return gang
}

// checkStartsAfterBindings checks, until all tasks of the gang have been started, that none is
// started before the last of them has a stored binding.
func (c *cluster) checkStartsAfterBindings(tasks int) {
	c.t.Helper()
	for until := time.Now().Add(4 * time.Minute); time.Now().Before(until); time.Sleep(2 * time.Millisecond) {
		started := c.env.Trace.CountAcceptedStarts("wk-9")
		if started == 0 {
			continue
		}
		if bound, _ := c.storedBindings("wk-9"); bound < tasks {
			c.t.Fatalf("%d tasks are started while %d of %d are bound, want none started before all are bound", started, bound, tasks)
		}
		if started == tasks {
			return
		}
	}
	c.t.Fatal("not all tasks of the gang are started within 4 minutes")
}

// A gang whose records and bindings exceed one transaction runs, at the current limits and at
// lower ones. No task of it is started before all have a stored binding.
func TestGangLargerThanOneTransaction(t *testing.T) {
	for _, x := range []struct {
		name    string
		valueKB float64
		ops     int
		tasks   int
		cpus    float64
	}{
		{"current limits", 8, 32, 3700, 0.04},
		{"announced limits", 2, 10, 400, 0.25},
		{"lowest limits", 0.5, 4, 60, 1},
	} {
		t.Run(x.name, func(t *testing.T) {
			runCluster(t, func(c *cluster) {
				c.setStoreLimits(x.valueKB, x.ops)
				c.submit(largeGangSubmission(x.tasks, x.cpus))
				c.checkStartsAfterBindings(x.tasks)
				c.awaitDone("wk-9", 2*time.Minute)
				if n := c.env.CountCompletedTasks("wk-9"); n != x.tasks {
					t.Errorf("%d tasks are done, want %d", n, x.tasks)
				}
			})
		})
	}
}

// partialGangTasks is the number of tasks of the gangs that are interrupted between two of their
// transactions.
const partialGangTasks = 400

// While a gang is only partly assigned or bound, a controller that takes over completes it or
// releases its cells, a cancellation leaves nothing behind, and lower limits split the records.
func TestPartiallyBoundGang(t *testing.T) {
	isPartial := func(count int) bool { return count > 0 && count < partialGangTasks }
	for _, phase := range []struct {
		name  string
		holds func(bound, assigned int) bool
	}{
		{"assigned", func(_, assigned int) bool { return isPartial(assigned) }},
		{"bound", func(bound, _ int) bool { return isPartial(bound) }},
	} {
		for _, x := range []struct {
			name  string
			check func(c *cluster)
		}{
			{"all controllers restart", checkDoneAfter((*cluster).restartAll)},
			{"one controller restarts", checkDoneAfter(func(c *cluster) {
				c.kill(0)
				time.Sleep(8 * time.Second)
				c.start(0)
			})},
			{"cancelled", (*cluster).checkPartialGangCancelled},
			{"lower limits", checkDoneAfter(func(c *cluster) { c.setStoreLimits(1, 8) })},
			{"machine terminated", checkDoneAfter(func(c *cluster) { c.env.Cloud.Agents()[0].Terminate() })},
		} {
			t.Run(phase.name+" in part, "+x.name, func(t *testing.T) {
				runCluster(t, func(c *cluster) {
					c.setStoreLimits(2, 10)
					c.env.Store.SetChangeRateLimit(12) // keeps the gang incomplete for a while
					c.submit(largeGangSubmission(partialGangTasks, 0.25))
					c.awaitBindings(phase.holds)
					x.check(c)
				})
			})
		}
	}
}

// checkDoneAfter returns a check that calls happen and then expects the gang to complete.
func checkDoneAfter(event func(*cluster)) func(*cluster) {
	return func(c *cluster) {
		c.t.Helper()
		event(c)
		c.env.MarkFaultsEnded()
		c.awaitDone("wk-9", 3*time.Minute)
	}
}

// awaitBindings waits until holds returns true for the numbers of bound and assigned tasks of the
// gang, which may be the case only between two transactions.
func (c *cluster) awaitBindings(holds func(bound, assigned int) bool) {
	c.t.Helper()
	for until := time.Now().Add(2 * time.Minute); time.Now().Before(until); time.Sleep(time.Millisecond) {
		if holds(c.storedBindings("wk-9")) {
			return
		}
	}
	c.t.Fatal("the gang does not reach this phase within 2 minutes")
}

// checkPartialGangCancelled cancels the gang and checks that nothing of it is left.
func (c *cluster) checkPartialGangCancelled() {
	c.t.Helper()
	c.cancelJob("wk-9")
	started := c.env.Trace.CountAcceptedStarts("wk-9") // all tasks may have been bound in the meantime
	c.await("its task group records are deleted", time.Minute, func() bool { return len(c.env.Store.Keys(groupPrefix)) == 0 })
	if n := c.env.Trace.CountAcceptedStarts("wk-9"); started == 0 && n > 0 || c.env.CountRunningTasks("wk-9") > 0 {
		c.t.Errorf("%d tasks were started after the cancellation was confirmed and %d run, want none", n-started, c.env.CountRunningTasks("wk-9"))
	}
	c.submit(largeGangSubmission(partialGangTasks, 0.25)) // stays cancelled; its cells are free
	other := largeGangSubmission(partialGangTasks, 0.25)
	other.ID = "wk-10"
	c.submit(other)
	c.awaitDone("wk-10", 2*time.Minute)
}

// A gang that waits in a partition without room moves to another partition with room for all of
// it, or to machines of several partitions that are loaned for it. A leader may end after the first
// transaction of a move: the next leader moves the remaining records to the partition of the first.
func TestGangMovesTogether(t *testing.T) {
	c := newTestControllerInCluster(t, 3)
	spec := &wire.Job{ID: "wk-1", Team: "t", Gang: true, TaskCount: 4, CPUs: 2, Priority: 1, SingleZone: true}
	c.replica.Put(jobKey("wk-1"), marshalJSON(t, record.Job{AcceptedAtMS: c.now.UnixMilli(), Spec: spec}), 2)
	c.replica.Put(groupKey("wk-1", 0), marshalJSON(t, record.TaskGroup{Partition: 1, Zone: "a", Tasks: []record.Binding{{Task: 0}, {Task: 1}}}), 3)
	c.replica.Put(groupKey("wk-1", 1), marshalJSON(t, record.TaskGroup{Partition: 0, Zone: "a", Tasks: []record.Binding{{Task: 2}, {Task: 3}}}), 4)
	job := c.jobs["wk-1"]
	if job.hasAllGroupsIn(1, "a") {
		t.Fatal("the gang's records are already in one partition")
	}
	c.becomeLeader(1)
	c.leadership.isActive = true
	c.runLeaderPass()
	if c.leadership.writesInFlight != 1 {
		t.Errorf("%d transactions move records to the first record's partition, want 1", c.leadership.writesInFlight)
	}
	c.endDecisions()
	c.replica.Put(groupKey("wk-1", 1), marshalJSON(t, record.TaskGroup{Partition: 1, Zone: "a", Tasks: []record.Binding{{Task: 2}, {Task: 3}}}), 5)
	c.completeGangMoves()
	if c.leadership.writesInFlight != 0 {
		t.Error("records that are already in one partition are moved")
	}
	host := func(id scheduling.MachineIndex, partition int, free float64) *planning.MachineSummary {
		name := []string{"host-1", "host-2", "host-3"}[id]
		if m := c.getOrAddMachine(name); m.index != id {
			t.Fatal("a machine has another index than expected")
		}
		summary := &planning.MachineSummary{Index: id, Type: "small", Zone: "a", Partition: partition, Size: scheduling.NewResources(4, 0, 8), FreeResources: scheduling.NewResources(free, 0, 8)}
		if free < 4 {
			summary.Usages = []planning.TaskUsage{{Claim: scheduling.Claim{Priority: 3}, Size: summary.Size.Minus(summary.FreeResources)}}
		}
		return summary
	}
	if c.moveGang([]*planning.MachineSummary{host(0, 0, 4), host(1, 1, 2), host(2, 1, 2)}, job) {
		t.Error("the gang moves, or machines are loaned, although there is no room for all of it")
	}
	if !c.moveGang([]*planning.MachineSummary{host(0, 0, 4), host(1, 0, 4), host(2, 1, 0)}, job) || c.leadership.writesInFlight != 1 {
		t.Error("the gang does not move to the partition with room")
	}
	c.endDecisions()
	if !c.moveGang([]*planning.MachineSummary{host(0, 0, 4), host(1, 1, 4), host(2, 1, 0)}, job) || c.leadership.writesInFlight != 1 {
		t.Error("no machines of two partitions are loaned for the gang")
	}
}

// endDecisions ends the leader's writes in flight as their results would.
func (c *controller) endDecisions() {
	c.leadership.writesInFlight = 0
	for group := range c.allGroups() {
		group.writeInFlight = false
	}
}

// A gang that is partly assigned counts with all its tasks toward its team's quota, and toward
// its guarantee if it runs within that. The capacity for its remaining tasks is not given to
// other jobs in between.
func TestPartiallyAssignedGangCountsWholeTowardQuota(t *testing.T) {
	for _, guaranteed := range []bool{false, true} {
		c := newTestController(t)
		c.replica.Put(jobKey("wk-1"), marshalJSON(t, record.Job{AcceptedAtMS: c.now.UnixMilli(), Spec: &wire.Job{ID: "wk-1", Team: "t", Gang: true, TaskCount: 5, CPUs: 2}}), 2)
		c.replica.Put(groupKey("wk-1", 0), marshalJSON(t, record.TaskGroup{Guaranteed: guaranteed, Tasks: []record.Binding{{Task: 0}, {Task: 1}}}), 3)
		quota := c.quotas()[c.getOrAddTeam("t")]
		if quota.Usage.CPU != 10_000 || (quota.GuaranteedUsage.CPU == 10_000) != guaranteed {
			t.Errorf("gang uses %v of the quota, want 10 CPUs; guaranteed: %v, using %v of the guarantee", quota.Usage, guaranteed, quota.GuaranteedUsage)
		}
	}
}
