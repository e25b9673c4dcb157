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

// storedBindings counts a job's tasks that are bound to a machine by what is stored, and
// those that are assigned.
func (c *cluster) storedBindings(id string) (bound, assigned int) {
	for _, raw := range c.env.Store.Values(groupPrefix + id + "/") {
		var v record.TaskGroup
		if err := json.Unmarshal(raw, &v); err != nil {
			c.t.Error(err)
		}
		for _, e := range v.Tasks {
			if e.Machine != "" {
				bound++
			}
		}
		assigned += len(v.Tasks)
	}
	return bound, assigned
}

// setStoreLimits gives the key-value store other limits, and ends all controllers and starts
// them again with these in their settings.
func (c *cluster) setStoreLimits(valueKB float64, txnChanges int) {
	c.killAll()
	c.env.Store.SetLimits(int(valueKB*1024), txnChanges)
	time.Sleep(500 * time.Millisecond)
	for i, n := range c.nodes {
		n.cfg.Settings.Store.ValueKB, n.cfg.Settings.Store.TxnOps = valueKB, txnChanges
		c.start(i)
	}
}

// largeGangSubmission is a gang whose records and bindings take several transactions.
func largeGangSubmission(tasks int, cpus float64) *submission {
	b := gangSubmission("wk-9", "blue", "urgent", tasks, 10)
	b.CPUs, b.RAM, b.MachineTypes = cpus, 0.01, []string{"large"}
	return b
}

// checkStartsAfterBindings checks, until the gang runs, that no task of it is started before
// the last of them has a stored binding.
func (c *cluster) checkStartsAfterBindings(tasks int) {
	c.t.Helper()
	for until := time.Now().Add(4 * time.Minute); time.Now().Before(until); time.Sleep(2 * time.Millisecond) {
		started := c.env.Trace.Accepted("wk-9")
		if started == 0 {
			continue
		}
		if bound, _ := c.storedBindings("wk-9"); bound < tasks {
			c.t.Fatalf("%d tasks are started when %d of %d are bound", started, bound, tasks)
		}
		if started == tasks {
			return
		}
	}
	c.t.Fatal("it is not started")
}

// A gang whose records and bindings are more than a transaction may carry runs, at the
// present limits and at those that are to come; no task of it is started before all have
// a stored binding.
func TestGangLargerThanOneTransaction(t *testing.T) {
	for _, x := range []struct {
		name    string
		valueKB float64
		ops     int
		tasks   int
		cpus    float64
	}{
		{"present limits", 8, 32, 3700, 0.04},
		{"coming limits", 2, 10, 400, 0.25},
		{"least limits", 0.5, 4, 60, 1},
	} {
		t.Run(x.name, func(t *testing.T) {
			runCluster(t, func(c *cluster) {
				c.setStoreLimits(x.valueKB, x.ops)
				c.submit(largeGangSubmission(x.tasks, x.cpus))
				c.checkStartsAfterBindings(x.tasks)
				c.awaitDone("wk-9", 2*time.Minute)
				if n := c.env.Completed("wk-9"); n != x.tasks {
					t.Errorf("%d tasks are done, want %d", n, x.tasks)
				}
			})
		})
	}
}

// partialGangTasks is how many tasks the gangs have that meet something in the middle of
// their transactions.
const partialGangTasks = 400

// What happens while such a gang is assigned or bound in part: whoever takes over completes
// it or gives it back, a cancellation leaves nothing, lower limits split what is stored.
func TestPartiallyBoundGang(t *testing.T) {
	inPart := func(count int) bool { return count > 0 && count < partialGangTasks }
	for _, phase := range []struct {
		name  string
		holds func(bound, assigned int) bool
	}{
		{"assigned", func(_, assigned int) bool { return inPart(assigned) }},
		{"bound", func(bound, _ int) bool { return inPart(bound) }},
	} {
		for _, x := range []struct {
			name  string
			check func(c *cluster)
		}{
			{"all restart", checkDoneAfter((*cluster).restartAll)},
			{"one restarts", checkDoneAfter(func(c *cluster) {
				c.kill(0)
				time.Sleep(8 * time.Second)
				c.start(0)
			})},
			{"cancelled", (*cluster).checkPartialGangCancelled},
			{"lower limits", checkDoneAfter(func(c *cluster) { c.setStoreLimits(1, 8) })},
			{"machine dies", checkDoneAfter(func(c *cluster) { c.env.Cloud.Agents()[0].Terminate() })},
		} {
			t.Run(phase.name+" in part, "+x.name, func(t *testing.T) {
				runCluster(t, func(c *cluster) {
					c.setStoreLimits(2, 10)
					c.env.Store.SetRate(12) // it stays in part for a while
					c.submit(largeGangSubmission(partialGangTasks, 0.25))
					c.awaitBindings(phase.holds)
					x.check(c)
				})
			})
		}
	}
}

// checkDoneAfter has something happen to the gang, which must be done in the end.
func checkDoneAfter(happen func(*cluster)) func(*cluster) {
	return func(c *cluster) {
		c.t.Helper()
		happen(c)
		c.env.SetSettled()
		c.awaitDone("wk-9", 3*time.Minute)
	}
}

// awaitBindings waits until something holds of how many tasks of the gang are bound and
// assigned; it may do so for the time between two transactions.
func (c *cluster) awaitBindings(holds func(bound, assigned int) bool) {
	c.t.Helper()
	for until := time.Now().Add(2 * time.Minute); time.Now().Before(until); time.Sleep(time.Millisecond) {
		if holds(c.storedBindings("wk-9")) {
			return
		}
	}
	c.t.Fatal("the gang is never in this phase")
}

// checkPartialGangCancelled cancels the gang, of which nothing stays.
func (c *cluster) checkPartialGangCancelled() {
	c.t.Helper()
	c.cancelJob("wk-9")
	started := c.env.Trace.Accepted("wk-9") // it may have been bound whole meanwhile
	c.await("its records are gone", time.Minute, func() bool { return len(c.env.Store.Keys(groupPrefix)) == 0 })
	if n := c.env.Trace.Accepted("wk-9"); started == 0 && n > 0 || c.env.Running("wk-9") > 0 {
		c.t.Errorf("%d tasks were started after its user was told, %d run, want none", n-started, c.env.Running("wk-9"))
	}
	c.submit(largeGangSubmission(partialGangTasks, 0.25)) // it stays cancelled, and its cells are free
	other := largeGangSubmission(partialGangTasks, 0.25)
	other.ID = "wk-10"
	c.submit(other)
	c.awaitDone("wk-10", 2*time.Minute)
}

// A gang that waits in a partition without room goes to where there is room for it: another
// partition, or machines of several that are lent for it. The first transaction of a move
// may be the last of its leader: the other records follow the first one.
func TestGangMovesTogether(t *testing.T) {
	c := newTestControllerInCluster(t, 3)
	spec := &wire.Job{ID: "wk-1", Team: "t", Gang: true, Tasks: 4, CPUs: 2, Priority: 1, SingleZone: true}
	c.replica.Put(jobKey("wk-1"), marshalJSON(t, record.Job{AcceptedAtMS: c.now.UnixMilli(), Spec: spec}), 2)
	c.replica.Put(groupKey("wk-1", 0), marshalJSON(t, record.TaskGroup{Partition: 1, Zone: "a", Tasks: []record.Binding{{Task: 0}, {Task: 1}}}), 3)
	c.replica.Put(groupKey("wk-1", 1), marshalJSON(t, record.TaskGroup{Partition: 0, Zone: "a", Tasks: []record.Binding{{Task: 2}, {Task: 3}}}), 4)
	job := c.jobs["wk-1"]
	if job.hasAllGroupsIn(1, "a") {
		t.Fatal("the records are together")
	}
	c.becomeLeader(1)
	c.leadership.active = true
	c.runLeaderPass()
	if c.leadership.writesInFlight != 1 {
		t.Errorf("%d transactions have the records follow the first, want 1", c.leadership.writesInFlight)
	}
	c.leadership.writesInFlight = 0
	c.replica.Put(groupKey("wk-1", 1), marshalJSON(t, record.TaskGroup{Partition: 1, Zone: "a", Tasks: []record.Binding{{Task: 2}, {Task: 3}}}), 5)
	c.completeGangMoves()
	if c.leadership.writesInFlight != 0 {
		t.Error("records that are together move")
	}
	host := func(id scheduling.MachineIndex, partition int, free float64) *planning.MachineSummary {
		name := []string{"host-1", "host-2", "host-3"}[id]
		if m := c.getOrAddMachine(name); m.index != id {
			t.Fatal("machines are numbered otherwise")
		}
		summary := &planning.MachineSummary{Index: id, Type: "small", Zone: "a", Partition: partition, Size: scheduling.NewResources(4, 0, 8), FreeResources: scheduling.NewResources(free, 0, 8)}
		if free < 4 {
			summary.Usages = []planning.TaskUsage{{Claim: scheduling.Claim{Priority: 3}, Size: summary.Size.Minus(summary.FreeResources)}}
		}
		return summary
	}
	if c.moveGang([]*planning.MachineSummary{host(0, 0, 4), host(1, 1, 2), host(2, 1, 2)}, job) {
		t.Error("it moves, or machines are lent, where there is no room for all of it")
	}
	if !c.moveGang([]*planning.MachineSummary{host(0, 0, 4), host(1, 0, 4), host(2, 1, 0)}, job) || c.leadership.writesInFlight != 1 {
		t.Error("it does not move to the partition with room")
	}
	c.leadership.writesInFlight = 0
	if !c.moveGang([]*planning.MachineSummary{host(0, 0, 4), host(1, 1, 4), host(2, 1, 0)}, job) || c.leadership.writesInFlight != 1 {
		t.Error("no machines of two partitions are lent for it")
	}
}

// A gang that is assigned in part counts whole for its team's limit, within its guarantee or
// not: what it lacks is not given to others in between.
func TestPartiallyAssignedGangCountsWholeTowardQuota(t *testing.T) {
	for _, own := range []bool{false, true} {
		c := newTestController(t)
		c.replica.Put(jobKey("wk-1"), marshalJSON(t, record.Job{AcceptedAtMS: c.now.UnixMilli(), Spec: &wire.Job{ID: "wk-1", Team: "t", Gang: true, Tasks: 5, CPUs: 2}}), 2)
		c.replica.Put(groupKey("wk-1", 0), marshalJSON(t, record.TaskGroup{Guaranteed: own, Tasks: []record.Binding{{Task: 0}, {Task: 1}}}), 3)
		l := c.quotas()[c.getOrAddTeam("t")]
		if l.Usage.CPU != 10_000 || (l.GuaranteedUsage.CPU == 10_000) != own {
			t.Errorf("it counts for %v, within the guarantee (%v) for %v", l.Usage, own, l.GuaranteedUsage)
		}
	}
}
