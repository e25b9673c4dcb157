package controller

import (
	"fmt"
	"testing"
	"time"

	"eiderhitch/internal/planning"
	"eiderhitch/internal/record"
	"eiderhitch/internal/scheduling"
	"eiderhitch/internal/wire"
)

// A gang requests cells once all of its tasks are assigned and all of its groups are in one
// partition and zone, and for the missing members of an attempt that waits for them. In any
// other state it requests none.
func TestGangIsReservedWhole(t *testing.T) {
	all := []record.TaskGroup{{Zone: "a", Tasks: []record.Binding{{Task: 0}, {Task: 1}}}, {Zone: "a", Tasks: []record.Binding{{Task: 2}, {Task: 3}}}}
	for _, test := range []struct {
		name       string
		records    []record.TaskGroup
		canReserve bool
	}{
		{"all tasks assigned", all, true},
		{"some tasks not assigned", all[:1], false},
		{"in two partitions", []record.TaskGroup{all[0], {Partition: 1, Zone: "a", Tasks: all[1].Tasks}}, false},
		{"in two zones", []record.TaskGroup{all[0], {Zone: "b", Tasks: all[1].Tasks}}, false},
		{"some tasks done", []record.TaskGroup{all[0], {Zone: "a", DoneTasks: 2, Tasks: []record.Binding{}}}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newTestController(t)
			c.replica.Put(jobKey("wk-1"), marshalJSON(t, record.Job{AcceptedAtMS: c.now.UnixMilli(), Spec: &wire.Job{ID: "wk-1", Team: "t", Gang: true, TaskCount: 4, CPUs: 1}}), 2)
			for k, v := range test.records {
				c.replica.Put(groupKey("wk-1", k), marshalJSON(t, v), uint64(3+k))
			}
			if canReserve := c.canReserveGang(c.partitions[0], c.groupByKey[groupKey("wk-1", 0)]); canReserve != test.canReserve {
				t.Errorf("the gang may request cells: %v, want %v", canReserve, test.canReserve)
			}
		})
	}
}

// Room that is reserved for gangs, or on loan for a job, becomes available to other jobs once it
// has been unused for long, even if those jobs were assigned tasks in the meantime.
func TestUnusedReserveIsAvailableToOtherJobs(t *testing.T) {
	for _, test := range []struct {
		name      string
		job       string // the job that the machine is on loan for
		unused    time.Duration
		available bool
	}{
		{"reserve used recently", gangReserveJobID, reserveMaxUnused - time.Second, false},
		{"reserve unused for long", gangReserveJobID, reserveMaxUnused + time.Second, true},
		{"loan used recently", "wk-2", reserveMaxUnused + time.Second, false},
		{"loan unused for long", "wk-2", loanMaxUnused + time.Second, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newTestController(t)
			m := c.getOrAddMachine("host-1")
			c.loans["host-1"] = &machineLoan{MachineLoan: record.MachineLoan{Job: test.job, Acknowledged: true}}
			c.leadership.startedAt, m.partitionChangedAt, m.lastBoundAt = c.now.Add(-time.Hour), c.now.Add(-time.Hour), c.now.Add(-test.unused)
			summary := &planning.MachineSummary{Index: m.index, Partition: c.loanPartition(), Type: "small", Zone: "a", Size: scheduling.NewResources(4, 0, 8), FreeResources: scheduling.NewResources(4, 0, 8)}
			array := &job{id: "wk-1", spec: &wire.Job{ID: "wk-1", TaskCount: 9}, acceptedAt: c.now.Add(-time.Hour), assignedAt: c.now}
			if got := c.reserveAllows(array, summary); got != test.available {
				t.Errorf("the machine is available to arrays: %v, want %v", got, test.available)
			}
			if gang := (&job{id: "wk-3", spec: &wire.Job{ID: "wk-3", Gang: true}}); !c.reserveAllows(gang, summary) {
				t.Error("the machine is not available to gangs")
			}
			// A gang that is assigned to the leader's partition but lacks room must not hold
			// room there that other jobs may use.
			c.replica.Put(jobKey("wk-3"), marshalJSON(t, record.Job{AcceptedAtMS: c.now.UnixMilli(), Spec: &wire.Job{ID: "wk-3", Team: "t", Gang: true, TaskCount: 4, CPUs: 2}}), 2)
			c.replica.Put(groupKey("wk-3", 0), marshalJSON(t, record.TaskGroup{Partition: c.loanPartition(), Tasks: []record.Binding{{Task: 0}, {Task: 1}, {Task: 2}, {Task: 3}}}), 3)
			c.placeAssignedTasks([]*planning.MachineSummary{summary}, c.urgencyComparator())
			if held := summary.FreeResources.CPU < 4000; held == test.available {
				t.Errorf("a gang without room for all of its tasks holds room: %v, want %v", held, !test.available)
			}
		})
	}
}

// A single-zone gang moves to another zone if the free room there suffices together with the
// room that is reserved for gangs.
func TestZoneMoveCountsGangReserve(t *testing.T) {
	c := newTestControllerInCluster(t, 3)
	c.replica.Put(jobKey("wk-1"), marshalJSON(t, record.Job{AcceptedAtMS: c.now.UnixMilli(), Spec: &wire.Job{ID: "wk-1", Team: "t", Gang: true, SingleZone: true, TaskCount: 3, CPUs: 2}}), 2)
	c.replica.Put(groupKey("wk-1", 0), marshalJSON(t, record.TaskGroup{Partition: 1, Zone: "a", Tasks: []record.Binding{{Task: 0}, {Task: 1}, {Task: 2}}}), 3)
	group := c.groupByKey[groupKey("wk-1", 0)]
	group.partitionAssignedAt = c.now.Add(-zoneMoveDelay - time.Second)
	var summaries []*planning.MachineSummary
	for i, partition := range []int{0, c.loanPartition()} {
		m := c.getOrAddMachine([]string{"host-1", "host-2"}[i])
		summaries = append(summaries, &planning.MachineSummary{Index: m.index, Partition: partition, Type: "small", Zone: "b", Size: scheduling.NewResources(4, 0, 8), FreeResources: scheduling.NewResources(4, 0, 8)})
	}
	if !c.moveToOtherZone(summaries, group) || c.leadership.writesInFlight != 1 {
		t.Errorf("the gang stays in a zone without room for it (%d transactions)", c.leadership.writesInFlight)
	}
	c.leadership.writesInFlight = 0
	if c.moveToOtherZone(summaries[:1], group) {
		t.Error("the gang moves to a zone without room for it")
	}
}

// The reservation for a replacement of a gang's lost task is cancelled when the gang's
// attempt fails.
func TestReplacementReservationIsCancelledWithAttempt(t *testing.T) {
	c := newTestController(t)
	p := c.partitions[0]
	m := c.getOrAddMachine("host-1")
	heartbeat := func(sequence uint64, state, reason string) {
		c.applyHeartbeat(m, &wire.Heartbeat{Machine: "host-1", Type: "small", Zone: "a", Incarnation: 1, Sequence: sequence, FencingToken: 1,
			Tasks: []wire.TaskStatus{{Task: "wk-1/0", Attempt: 1, State: state, Reason: reason}, {Task: "wk-1/1", Attempt: 1, State: wire.StateAwaitingGang}}}, p, workerRequest)
	}
	c.replica.Put(jobKey("wk-1"), marshalJSON(t, record.Job{AcceptedAtMS: c.now.UnixMilli(), Spec: &wire.Job{ID: "wk-1", Team: "t", Gang: true, TaskCount: 3, CPUs: 1, RAMGB: 1}}), 2)
	bound := func(num int32) record.Binding {
		return record.Binding{Task: num, Attempt: 1, Machine: "host-1", Incarnation: 1}
	}
	c.replica.Put(groupKey("wk-1", 0), marshalJSON(t, record.TaskGroup{Tasks: []record.Binding{bound(0), bound(1), {Task: 2, Attempt: 1}}}), 3)
	heartbeat(2, wire.StateAwaitingGang, "")
	c.placeGroup(p, c.groupByKey[groupKey("wk-1", 0)])
	if len(p.reservations) != 1 {
		t.Fatalf("%d tasks have reserved cells, want 1, the lost one", len(p.reservations))
	}
	heartbeat(3, wire.StateExited, wire.ReasonIncompleteGang)
	c.stopGangs(p)
	if len(p.reservations) != 0 {
		t.Errorf("%d reservations are left, want none", len(p.reservations))
	}
}

// runGangWithServices starts a service on each of three machines of several partitions, and then
// a gang that needs the room left on all three. It calls check once the gang runs.
func runGangWithServices(t *testing.T, check func(c *cluster)) {
	runCluster(t, func(c *cluster) {
		c.env.Cloud.SetCapacity(3)
		for n := range 3 {
			service := newSubmission(submission{ID: fmt.Sprint("wk-", n+1), Kind: wire.KindService, Team: "blue", Priority: "urgent", Tasks: 1, CPUs: 10})
			service.MachineTypes = []string{"large"}
			c.submit(service)
		}
		c.await("a service runs on each machine", time.Minute, func() bool { return c.countRunningServices() == 3 })
		partitions := map[int]bool{}
		for _, w := range c.env.Cloud.Agents() {
			partitions[hashPartitionIndex(w.Name(), 3)] = true
		}
		if len(partitions) < 2 {
			t.Fatal("all machines are in one partition")
		}
		c.env.MarkFaultsEnded()
		gang := gangSubmission("wk-4", "blue", "normal", 9, 20)
		gang.CPUs, gang.MachineTypes = 2, []string{"large"}
		c.submit(gang)
		c.await("the gang runs", time.Minute, func() bool { return c.env.CountRunningTasks("wk-4") == 9 })
		check(c)
	})
}

// countRunningServices returns how many of the three services run.
func (c *cluster) countRunningServices() int {
	return c.env.CountRunningTasks("wk-1") + c.env.CountRunningTasks("wk-2") + c.env.CountRunningTasks("wk-3")
}

// A gang must not wait forever when the room for it is spread over partitions. Machines are
// loaned together with their services, which keep running, and are returned with them.
func TestGangBorrowsMachinesWithServices(t *testing.T) {
	runGangWithServices(t, func(c *cluster) {
		starts := c.env.CountStartedTasks()
		c.awaitDone("wk-4", time.Minute)
		c.await("the machines are returned", time.Minute, func() bool { return len(c.env.Store.Keys(loanPrefix)) == 0 })
		time.Sleep(15 * time.Second)
		if c.countRunningServices() != 3 || c.env.CountStartedTasks() != starts {
			t.Errorf("%d of 3 services run and %d tasks were started after the gang, want 3 and 0", c.countRunningServices(), c.env.CountStartedTasks()-starts)
		}
		c.cancelJob("wk-1")
		c.await("the cancelled service has stopped", 30*time.Second, func() bool { return c.env.CountRunningTasks("wk-1") == 0 })
	})
}

// Services on loaned machines are cancelled, and restarted after the loss of a machine, like any
// others, and their records are deleted, even if the leader changes meanwhile.
func TestServicesOnLoanedMachines(t *testing.T) {
	runGangWithServices(t, func(c *cluster) {
		c.cancelJob("wk-1")
		c.await("the cancelled service has stopped", 30*time.Second, func() bool { return c.env.CountRunningTasks("wk-1") == 0 })
		c.await("its record is deleted", 30*time.Second, func() bool { return len(c.env.Store.Keys(groupKey("wk-1", 0))) == 0 })
		leader := c.leaderIndex()
		c.kill(leader)
		time.Sleep(9 * time.Second)
		c.start(leader)
		if n := c.env.CountRunningTasks("wk-2") + c.env.CountRunningTasks("wk-3"); n != 2 {
			c.t.Errorf("%d of 2 services run after a change of leader, want both", n)
		}
		for _, w := range c.env.Cloud.Agents() {
			if w.TaskState("wk-2/0") != "" {
				w.Terminate()
			}
		}
		c.await("a lost service runs again", 2*time.Minute, func() bool { return c.env.CountRunningTasks("wk-2") == 1 })
		c.awaitDone("wk-4", 3*time.Minute)
		c.await("no machine stays on loan", 2*time.Minute, func() bool { return len(c.env.Store.Keys(loanPrefix)) == 0 })
	})
}

// A machine may change partitions only while it runs nothing but services and no command to
// it is in flight.
func TestRunsOnlyServices(t *testing.T) {
	c := newFullFleetController(t, 50)
	p := c.partitions[0]
	var m *machine
	for _, x := range p.machines {
		if len(x.bindings) > 0 && x.bindings[0].group.job.spec.Service {
			m = x
		}
	}
	m.token = p.token
	for _, x := range m.bindings {
		bound := x.group.binding(x.task.Number)
		m.tasks = append(m.tasks, wire.TaskStatus{Task: taskName(x.group.job.id, bound.task), Attempt: bound.attempt, State: wire.StateRunning})
	}
	if !c.runsOnlyServices(m, p) {
		t.Fatal("runsOnlyServices is false for a machine that runs only services")
	}
	spec := m.bindings[0].group.job.spec
	for name, change := range map[string]struct{ do, undo func() }{
		"a direct command without an answer":      {func() { m.commandState.unansweredStartToken = p.token }, func() { m.commandState.unansweredStartToken = 0 }},
		"a direct command in flight":              {func() { m.commandState.inFlight = true }, func() { m.commandState.inFlight = false }},
		"a start command in a heartbeat response": {func() { m.responseCarriesStart = true }, func() { m.responseCarriesStart = false }},
		"an older token on the machine":           {func() { m.token-- }, func() { m.token++ }},
		"a task that is no service":               {func() { spec.Service = false }, func() { spec.Service = true }},
		"a job that is cancelled":                 {func() { m.bindings[0].group.job.finalState = record.StateCancelled }, func() { m.bindings[0].group.job.finalState = record.StateUnfinished }},
		"a write in flight":                       {func() { m.bindings[0].group.writeInFlight = true }, func() { m.bindings[0].group.writeInFlight = false }},
		"a task that fetches its image":           {func() { m.tasks[0].State = wire.StateFetchingImage }, func() { m.tasks[0].State = wire.StateRunning }},
		"a binding to an earlier incarnation":     {func() { m.incarnation++ }, func() { m.incarnation-- }},
	} {
		change.do()
		if c.runsOnlyServices(m, p) {
			t.Errorf("%s: runsOnlyServices is true, want false", name)
		}
		change.undo()
	}
}
