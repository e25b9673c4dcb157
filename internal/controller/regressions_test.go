package controller

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"eiderhitch/internal/config"
	"eiderhitch/internal/record"
	"eiderhitch/internal/rollout"
	"eiderhitch/internal/simulation/agent"
	"eiderhitch/internal/wire"

	"pgregory.net/rapid"
)

// Tests of what reading the code for the fault combinations brought up (docs/fault-combinations.md).

// A samePlace job whose zone has lost all its machines goes to one that has room, once
// all its tasks are proven gone; before, it waited for the first zone for ever.
func TestSamePlaceJobLeavesALostZone(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.submitZonalServices(1, 3, "a")
		c.submitZonalServices(4, 3, "b")
		c.await("the services run", time.Minute, func() bool { return c.servicesRun(6, 1) })
		b := newSubmission(submission{ID: "wk-9", Kind: wire.Array, Team: "blue", Priority: "normal", Tasks: 2, CPUs: 1, EstimateS: 30})
		b.SingleZone = true
		c.submit(b)
		c.await("the job runs", time.Minute, func() bool { return c.env.Running("wk-9") == 2 })
		zone := map[string]bool{}
		for _, n := range c.nodes {
			n.controller().call(c.ctx, priorityState, func() {
				for _, group := range n.controller().jobs["wk-9"].groups {
					zone[group.zone] = true
				}
			})
		}
		c.env.Cloud.SetDown(true)
		for _, w := range c.env.Cloud.Agents() {
			if zone[w.Zone()] {
				w.Terminate()
			}
		}
		c.env.SetSettled()
		c.awaitDone("wk-9", 3*time.Minute)
		c.env.Cloud.SetDown(false)
	})
}

// After an outage for longer than heartbeats may be answered, no machine is taken to be
// silent: this controller heard none since it did not listen.
func TestMachinesAreKeptAfterALongOutage(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.runServices(4, 2)
		var busy []*agent.Agent
		for _, w := range c.env.Cloud.Agents() {
			if c.countBoundTo(w.Name()) > 0 {
				busy = append(busy, w)
			}
		}
		c.env.Store.SetDown(true)
		time.Sleep(90 * time.Second)
		c.env.Store.SetDown(false)
		c.env.SetSettled()
		for range 40 {
			time.Sleep(250 * time.Millisecond)
			for _, w := range busy {
				if !slices.Contains(c.env.Cloud.Agents(), w) {
					t.Fatalf("%s is returned", w.Name())
				}
			}
		}
		c.await("the services run", 40*time.Second, func() bool { return c.servicesRun(4, 2) })
	})
}

// A machine that reaches no controller while it hears them: its replicas run elsewhere
// as soon as its lease has ended, which it tells when it is asked, and it is replaced
// however well it answers. (Moving the replicas before the lease ends was tried: they
// lacked for as long.)
func TestMachineNotSending(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.runServices(5, 2)
		time.Sleep(10 * time.Second)
		var w *agent.Agent
		for _, x := range c.env.Cloud.Agents() {
			if c.countBoundTo(x.Name()) > 0 {
				w = x
			}
		}
		w.SetNotSending(true)
		began := time.Now()
		lacking := time.Duration(0)
		for time.Since(began) < 20*time.Second {
			time.Sleep(100 * time.Millisecond)
			if !c.servicesRun(5, 2) {
				lacking += 100 * time.Millisecond
			}
		}
		if lacking == 0 || lacking > 2*time.Second {
			t.Errorf("replicas lack for %v", lacking)
		}
		c.await("it is replaced", 40*time.Second, func() bool { return !slices.Contains(c.env.Cloud.Agents(), w) })
	})
}

// An owner starts nothing on the strength of an old read: somebody may have told a user
// "cancelled" since. It goes on answering heartbeats, so that what runs goes on.
func TestNoStartAfterAnOldRead(t *testing.T) {
	c := lone(t)
	p := c.partitions[0]
	m := c.machineNamed("host-1")
	c.applyHeartbeat(m, &wire.Heartbeat{Machine: "host-1", Type: "small", Zone: "a", Incarnation: 1, Sequence: 1, Token: 1}, p, workerRequest)
	c.replica.Put(jobKey("wk-1"), raw(t, record.Job{Spec: &wire.Job{ID: "wk-1", Tasks: 1, CPUs: 1, Team: "t"}}), 2)
	c.replica.Put(groupKey("wk-1", 0), raw(t, record.TaskGroup{Tasks: []record.Binding{{Attempt: 1, Machine: "host-1", Incarnation: 1}}}), 3)
	if cmds := c.commands(m, p); len(cmds) != 1 || cmds[0].Op != wire.OpStart {
		t.Fatalf("commands %v", cmds)
	}
	c.now = c.now.Add(c.operator.LeaseTTL + time.Second)
	if cmds := c.commands(m, p); len(cmds) != 0 {
		t.Errorf("commands %v on an old read", cmds)
	}
	if !c.isFresh(c.maxStaleness) {
		t.Error("heartbeats are not answered any more")
	}
}

// Jobs that fail wherever they are put don't speak against machines; a machine that
// fails others' tasks is sick; and neither is barred from the other for good.
func TestFailuresBlameMachineOrJob(t *testing.T) {
	c := lone(t)
	job := func(id string) *job {
		c.replica.Put(jobKey(id), raw(t, record.Job{Spec: &wire.Job{ID: id, Tasks: 9, CPUs: 1, Team: "t"}}), uint64(len(c.jobs))+5)
		return c.jobs[id]
	}
	bad, worse := job("wk-1"), job("wk-2")
	for i := range 4 {
		m := c.machineNamed(fmt.Sprint("host-", i))
		c.noteTaskEnd(m, bad, wire.ReasonError)
		c.noteTaskEnd(m, worse, wire.ReasonError)
	}
	for i := range 4 {
		if c.machineNamed(fmt.Sprint("host-", i)).cordoned {
			t.Errorf("machine %d is blamed for two mistaken jobs", i)
		}
	}
	sick := c.machineNamed("host-9")
	good, fine := job("wk-3"), job("wk-4")
	c.noteTaskEnd(sick, good, wire.ReasonError)
	if sick.cordoned {
		t.Error("a machine is blamed for one failure")
	}
	c.noteTaskEnd(sick, fine, wire.ReasonError)
	if !sick.cordoned {
		t.Error("a machine that fails several jobs is not found")
	}
	if !c.avoidsJob(sick, good) {
		t.Error("the job is put there again at once")
	}
	c.now = c.now.Add(jobAvoidance + time.Second)
	if c.avoidsJob(sick, good) {
		t.Error("the machine is barred to the job for good")
	}
}

// Tasks of a record that may not run all move to a partition that has room, and take so much
// of its cap along: no more may run than before, and none waits beside the room.
func TestThrottledRecordIsSplit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 20).Draw(t, "tasks")
		may := rapid.IntRange(1, n).Draw(t, "may run")
		bound := rapid.IntRange(0, may-1).Draw(t, "are bound")
		group := &taskGroup{throttle: may + 1, boundCount: bound}
		for i := range n {
			e := binding{task: int32(i)}
			if i < bound {
				e.machine = &machine{}
			}
			group.bindings = append(group.bindings, e)
		}
		leave := rapid.IntRange(1, may-bound).Draw(t, "leave")
		left, moved := group.split(slices.Concat(group.bindings[:bound], group.bindings[bound+leave:]), group.bindings[bound:bound+leave])
		if len(left.bindings) == 0 {
			left.throttle = 1 // it is the same record
		}
		if left.allowedTasks()+moved.allowedTasks() != may || len(left.bindings)+len(moved.bindings) != n || moved.allowedTasks() != leave || left.allowedTasks() < bound {
			t.Fatalf("%d and %d of %d may run", left.allowedTasks(), moved.allowedTasks(), may)
		}
	})
}

// Whatever the settings, what is answered last, within the hold time of a read that began
// before a cancellation, has ended on the slowest clock within cancel_s; and a former
// owner's time and a successor's don't add up, since each counts from a read of its own.
func TestMaxStalenessKeepsCancellations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lease := rapid.Float64Range(0.5, 600).Draw(t, "lease")
		cancel := lease + rapid.Float64Range(0.05, 600).Draw(t, "more")
		hold := config.MaxStaleness(cancel, lease)
		if hold <= 0 {
			return // refused as a setting
		}
		// The controller's clock is slow, the agent's too, by the bound of each.
		const drift = 0.0005
		read := rapid.Float64Range(-5, 0).Draw(t, "read before the cancellation")
		last := read + hold.Seconds()*(1+drift)
		if end := last + lease*(1+drift); end >= cancel {
			t.Fatalf("lease %v, cancel %v: gone %v after", lease, cancel, end)
		}
		if end := config.LeaseExpiry(cancel, lease).Seconds() * (1 - drift); end <= lease*(1+drift) {
			t.Fatalf("lease %v is taken to be over after %v", lease, end)
		}
	})
}

// A job for which there is no machine has nothing of its team stopped: the room that
// came of that went to others of the team, which were stopped for it in turn.
func TestNothingIsStoppedForAJobWithoutAMachine(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.submit(newSubmission(submission{ID: "wk-1", Kind: wire.Array, Team: "red", Priority: "low", Tasks: 40, CPUs: 2, EstimateS: 60}))
		c.await("the limit is used up", time.Minute, func() bool { return c.env.Running("wk-1") == 12 })
		c.submit(newSubmission(submission{ID: "wk-2", Kind: wire.Array, Team: "red", Priority: "low", Tasks: 40, CPUs: 2, EstimateS: 60}))
		c.env.Cloud.SetDown(true)
		for _, w := range c.env.Cloud.Agents() {
			if w.Zone() == "b" {
				t.Fatal("there is a machine in zone b")
			}
		}
		b := newSubmission(submission{ID: "wk-3", Kind: wire.Array, Team: "red", Priority: "normal", Tasks: 8, CPUs: 2, EstimateS: 5})
		b.Zone = "b"
		c.submit(b)
		before := c.env.Starts()
		time.Sleep(20 * time.Second)
		if n := c.env.Starts() - before; n > 0 || c.env.Running("wk-1") != 12 {
			t.Errorf("%d starts, %d tasks run; want none and 12", n, c.env.Running("wk-1"))
		}
		c.env.Cloud.SetDown(false)
		c.awaitDone("wk-3", 3*time.Minute)
	})
}

// Where all machines have died and the cloud gives no others, no agent reaches anybody. The
// leased keys don't go round for that: each change of hands would begin the wait for the
// leases anew, and what ran would never be proven gone.
func TestLeasesStayWhereNoAgentReachesAnybody(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.runServices(6, 2)
		time.Sleep(10 * time.Second)
		c.env.Cloud.SetDown(true)
		for _, w := range c.env.Cloud.Agents() {
			w.Terminate()
		}
		time.Sleep(30 * time.Second)
		before := c.leaseHolders()
		time.Sleep(30 * time.Second)
		if after := c.leaseHolders(); !maps.Equal(before, after) {
			t.Errorf("leased keys went from %v to %v", before, after)
		}
		for i := range 6 {
			if s := c.state(fmt.Sprintf("wk-%d", i+1)); s != wire.Queued {
				t.Errorf("a service of dead machines is %s, want %s", s, wire.Queued)
			}
		}
		c.env.Cloud.SetDown(false)
		c.await("the services run", time.Minute, func() bool { return c.servicesRun(6, 2) })
	})
}

// A task of a record that another partition is in charge of ends on a machine of ours, which
// was lent and is back: its cell is free again, and its end is stored by us, since nobody
// else will ever know. Its job waited for ever.
func TestEndOfAnotherPartitionsTask(t *testing.T) {
	c := lone(t)
	c.partitions = append([]*partition{c.partitions[0], {index: 1, key: rollout.Initial.Keys().Partition(1)}}, &partition{index: 2, key: rollout.Initial.Keys().Leader()})
	p := c.partitions[0]
	c.replica.Put(jobKey("wk-1"), raw(t, record.Job{Spec: &wire.Job{ID: "wk-1", Tasks: 2, CPUs: 1, Team: "t", NoDeadline: true}}), 6)
	key := groupKey("wk-1", 0)
	value := func(machine string) record.TaskGroup {
		return record.TaskGroup{Partition: 2, Tasks: []record.Binding{{Attempt: 1, Machine: machine, Incarnation: 1}, {Task: 1}}}
	}
	c.replica.Put(key, raw(t, value("host-1")), 7)
	group := c.groupByKey[key]
	m := c.machineNamed("host-1")
	if m.partition != 0 || p.cells.CellOf(group.task(0)) == nil {
		t.Fatalf("partition %d, cell %v; want 0 and a cell", m.partition, p.cells.CellOf(group.task(0)))
	}
	m.heartbeatAt, m.incarnation = c.now, 2 // a later incarnation: the first one's task is gone
	c.reconcile(m, p)
	c.schedulePartition(p)
	c.now = c.now.Add(maxEndsDelay + time.Second) // ends wait for each other
	c.schedulePartition(p)
	if !group.writing || c.stateWriter.Backlog() == 0 {
		t.Error("its end is not stored")
	}
	// The same where the record's own partition has stored the end.
	group.writing = false
	key = groupKey("wk-1", 1)
	c.replica.Put(key, raw(t, value("host-2")), 8)
	c.replica.Put(key, raw(t, value("")), 9)
	if len(p.cells.Tasks()) != 0 {
		t.Errorf("cells %v are left", p.cells.Tasks())
	}
}
