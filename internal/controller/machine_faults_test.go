package controller

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"eiderhitch/internal/record"
	"eiderhitch/internal/simulation/agent"
	"eiderhitch/internal/wire"
	"eiderhitch/internal/workerclient"
)

// A machine that is isolated or fails all of its tasks does not delay work for long.
func TestFaultyMachinesDoNotBlockWork(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.submit(newSubmission(submission{ID: "wk-1", Kind: wire.KindService, Team: "blue", Priority: "urgent", Tasks: 3, CPUs: 2}))
		c.await("the service runs", time.Minute, func() bool { return c.env.CountRunningTasks("wk-1") == 3 })
		c.env.Cloud.Agents()[0].SetIsolated(true)
		time.Sleep(40 * time.Second)
		if n := c.env.CountRunningTasks("wk-1"); n != 3 {
			t.Errorf("%d replicas after a machine was isolated, want 3", n)
		}
		c.env.Cloud.Agents()[0].SetTasksFailing(true)
		for i := range 4 {
			c.submit(newSubmission(submission{ID: fmt.Sprintf("wk-%d", i+2), Kind: wire.KindArray, Team: "blue", Priority: "normal", Tasks: 8, CPUs: 1, EstimateS: 2}))
		}
		for i := range 4 {
			c.awaitDone(fmt.Sprintf("wk-%d", i+2), 3*time.Minute)
		}
	})
}

// countTasksBoundTo returns the number of tasks that the records bind to a machine, or -1 if no
// controller is running.
func (c *cluster) countTasksBoundTo(name string) int {
	for _, n := range c.nodes {
		if !n.isRunning() {
			continue
		}
		bound := -1
		if n.controller().call(c.ctx, priorityStore, func() { bound = len(n.controller().getOrAddMachine(name).bindings) }) {
			return bound
		}
	}
	return -1
}

// A machine whose heartbeats arrive, but which receives neither responses nor commands, seems
// reachable. Its tasks must run elsewhere soon after its lease has expired, and it must get no new
// ones: it would accept them and lose them again and again.
func TestMachineNotReceiving(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.startServices(4, 2)
		// There is more work than room, and no machine can be launched or terminated.
		c.submit(newSubmission(submission{ID: "wk-9", Kind: wire.KindArray, Team: "blue", Priority: "low", Tasks: 600, CPUs: 1, EstimateS: 6}))
		time.Sleep(15 * time.Second)
		c.env.Cloud.SetUnavailable(true)
		w := c.env.Cloud.Agents()[0]
		w.SetInboundBlocked(true)
		time.Sleep(25 * time.Second)
		if !c.areServicesRunning(4, 2) {
			t.Error("replicas are missing long after the lease expired")
		}
		for range 20 {
			time.Sleep(time.Second)
			if n := c.countTasksBoundTo(w.Name()); n > 0 {
				t.Fatalf("%d tasks are bound to a machine that receives nothing, want none", n)
			}
		}
		w.SetInboundBlocked(false)
		c.submit(newSubmission(submission{ID: "wk-8", Kind: wire.KindArray, Team: "blue", Priority: "low", Tasks: 600, CPUs: 1, EstimateS: 6}))
		c.await("the machine is used again", 20*time.Second, func() bool { return c.countTasksBoundTo(w.Name()) > 0 })
		c.env.Cloud.SetUnavailable(false)
		c.awaitDone("wk-9", 10*time.Minute)
	})
}

// A heartbeat without a fencing token of this owner may be a copy from before a failover. No
// task is placed on its machine until a heartbeat shows such a token.
func TestHeartbeatFromBeforeAFailover(t *testing.T) {
	c := newTestController(t)
	p := c.partitions[0]
	p.token, p.firstToken = 20, 20
	m := c.getOrAddMachine("host-1")
	for _, x := range []struct {
		token, incarnation, sequence uint64
		usable                       bool
	}{{0, 1, 7, false}, {12, 1, 8, false}, {20, 1, 9, true}, {12, 1, 8, true}, {12, 2, 1, false}, {21, 2, 2, true}} {
		c.now = c.now.Add(time.Second)
		c.applyHeartbeat(m, &wire.Heartbeat{Machine: "host-1", Type: "small", Zone: "a", Incarnation: x.incarnation, Sequence: x.sequence, FencingToken: x.token}, p, workerRequest)
		if got := c.isUsable(m, p); got != x.usable {
			t.Errorf("after heartbeat %+v: usable %v, want %v", x, got, x.usable)
		}
	}
}

// Copies of a dead machine's heartbeats arrive for half a minute, also right after all
// controllers were replaced and have no earlier heartbeats to compare them with. The copies
// must neither make the machine usable nor delay the proof that its lease has expired.
func TestLateCopiesOfHeartbeats(t *testing.T) {
	for _, x := range []struct {
		name     string
		failover bool
	}{
		{"same controllers", false},
		{"all controllers are replaced", true},
	} {
		t.Run(x.name, func(t *testing.T) {
			runCluster(t, func(c *cluster) { c.checkLateCopies(x.failover) })
		})
	}
}

// checkLateCopies terminates a machine, sends copies of its last heartbeat to all controllers, and
// checks that its replicas run elsewhere.
func (c *cluster) checkLateCopies(failover bool) {
	c.t.Helper()
	c.submit(newSubmission(submission{ID: "wk-9", Kind: wire.KindArray, Team: "blue", Priority: "low", Tasks: 30, CPUs: 1, EstimateS: 90})) // low-priority tasks that the services can preempt
	c.startServices(4, 2)
	deadAgent := c.env.Cloud.Agents()[0]
	if c.countTasksBoundTo(deadAgent.Name()) == 0 {
		c.t.Fatal("no task is bound to the first machine")
	}
	heartbeat := deadAgent.LastHeartbeat()
	deadAgent.Terminate()
	c.env.Cloud.SetUnavailable(true) // so that only the lease can prove the machine's end
	if failover {
		c.restartOneByOne()
	}
	for i := range 70 {
		if status, err := c.postHeartbeat(i%len(c.nodes), heartbeat); err == nil && !isHeartbeatStatus(status) {
			c.t.Errorf("a copied heartbeat got status %d, want 200, 421 or 503", status)
		}
		time.Sleep(500 * time.Millisecond)
	}
	// The wait is a whole lease, plus after a failover the time for which a former owner may
	// have answered heartbeats.
	c.await("the replicas run elsewhere", c.nodes[0].maxStaleness(), func() bool { return c.areServicesRunning(4, 2) })
	if n := c.countTasksBoundTo(deadAgent.Name()); n > 0 {
		c.t.Errorf("%d tasks are bound to the dead machine %s, want none", n, deadAgent.Name())
	}
}

// isHeartbeatStatus reports whether a well-formed heartbeat may be answered with the status.
func isHeartbeatStatus(status int) bool {
	return status < http.StatusBadRequest || status == http.StatusMisdirectedRequest || status == http.StatusServiceUnavailable
}

// A machine dies together with all controllers, so that no process knows the machines'
// addresses any more. They are taken from the records: a dead machine must be pinged and
// terminated as soon as by an owner that did not restart, not only after the longest possible
// heartbeat interval. Machines without a heartbeat so far must not be mistaken for an isolated
// zone.
func TestMachinesThatDiedWithAllControllers(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.submitZonalServices(1, 8, "b")
		c.submitZonalServices(9, 8, "a")
		c.await("the services run", time.Minute, func() bool { return c.areServicesRunning(16, 1) })
		time.Sleep(10 * time.Second)
		deadAgent := c.busyMachine()
		deadAgent.Terminate()
		c.killAll()
		time.Sleep(2 * time.Second)
		c.startAll()
		limit := c.nodes[0].controller().heartbeatTimeout() + unansweredLimit*workerclient.PingTimeout + 2*time.Second
		for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
			c.checkNoZoneIsolated()
		}
		if slices.Contains(c.env.Cloud.Agents(), deadAgent) {
			t.Errorf("the dead machine %s is not terminated within %v", deadAgent.Name(), limit)
		}
		c.await("the services run", 20*time.Second, func() bool { return c.areServicesRunning(16, 1) })
	})
}

// busyMachine returns a machine with bound tasks.
func (c *cluster) busyMachine() *agent.Agent {
	c.t.Helper()
	for _, a := range c.env.Cloud.Agents() {
		if c.countTasksBoundTo(a.Name()) > 0 {
			return a
		}
	}
	c.t.Fatal("no task is bound to any machine")
	return nil
}

// checkNoZoneIsolated checks that the leader considers no zone isolated.
func (c *cluster) checkNoZoneIsolated() {
	c.t.Helper()
	for i, n := range c.nodes {
		ctl := n.controller()
		ctl.call(c.ctx, priorityStore, func() {
			if ctl.isLeader() && len(ctl.autoscaler.IsolatedZones()) > 0 {
				c.t.Errorf("controller %d considers zones %v isolated, want none", i, ctl.autoscaler.IsolatedZones())
			}
		})
	}
}

// After a crash of all controllers, the only machine of a partition may be the one that died.
// Heartbeats from machines of other partitions show that this controller can be reached.
func TestOnlyMachineOfAPartitionDied(t *testing.T) {
	c := newTestController(t)
	p := c.partitions[0]
	p.ownedSince, p.formerOwnerMaxStaleness, p.firstToken = c.now, c.maxStaleness, p.token
	c.replica.Put(jobKey("wk-1"), marshalJSON(t, record.Job{Spec: &wire.Job{ID: "wk-1", Service: true, TaskCount: 1, CPUs: 1}}), 5)
	c.replica.Put(groupKey("wk-1", 0), marshalJSON(t, record.TaskGroup{Tasks: []record.Binding{{Attempt: 1, Machine: "host-1", Incarnation: 1, Addr: "10.1.0.1:1"}}}), 6)
	m := c.getOrAddMachine("host-1")
	m.commandState.unanswered = unansweredLimit
	for _, reached := range []bool{false, true} {
		c.now = c.now.Add(6 * time.Second)
		if reached {
			c.lastHeartbeatAt = c.now
		}
		if got := c.isUnreachable(m, p); got != reached {
			t.Errorf("other heartbeats arrive: %v; the machine is unreachable: %v, want %v", reached, got, reached)
		}
	}
}

// After an outage that lasts longer than heartbeats may be answered, no machine is considered
// unreachable, because the controllers accepted no heartbeats during the outage.
func TestMachinesAreKeptAfterALongOutage(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.startServices(4, 2)
		var busyAgents []*agent.Agent
		for _, w := range c.env.Cloud.Agents() {
			if c.countTasksBoundTo(w.Name()) > 0 {
				busyAgents = append(busyAgents, w)
			}
		}
		c.env.Store.SetUnavailable(true)
		time.Sleep(90 * time.Second)
		c.env.Store.SetUnavailable(false)
		c.env.MarkFaultsEnded()
		for range 40 {
			time.Sleep(250 * time.Millisecond)
			for _, w := range busyAgents {
				if !slices.Contains(c.env.Cloud.Agents(), w) {
					t.Fatalf("healthy machine %s was terminated", w.Name())
				}
			}
		}
		c.await("the services run", 40*time.Second, func() bool { return c.areServicesRunning(4, 2) })
	})
}

// A machine can't reach any controller, but receives their requests. Its replicas run elsewhere
// as soon as its lease has expired, which it reports when it is pinged. The machine is replaced
// even though it answers every ping. (Moving the replicas before the lease expires was tried:
// they were missing for just as long.)
func TestMachineNotSending(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.startServices(5, 2)
		time.Sleep(10 * time.Second)
		var w *agent.Agent
		for _, x := range c.env.Cloud.Agents() {
			if c.countTasksBoundTo(x.Name()) > 0 {
				w = x
			}
		}
		w.SetOutboundBlocked(true)
		began := time.Now()
		missingDuration := time.Duration(0)
		for time.Since(began) < 20*time.Second {
			time.Sleep(100 * time.Millisecond)
			if !c.areServicesRunning(5, 2) {
				missingDuration += 100 * time.Millisecond
			}
		}
		if missingDuration == 0 || missingDuration > 2*time.Second {
			t.Errorf("replicas were missing for %v, want more than 0 and at most 2 s", missingDuration)
		}
		c.await("the machine is replaced", 40*time.Second, func() bool { return !slices.Contains(c.env.Cloud.Agents(), w) })
	})
}

// Jobs that fail on every machine don't count against machines. A machine on which tasks of
// several other jobs fail is cordoned. A machine avoids a failed job only for a limited time.
func TestFailuresAreAttributedToMachineOrJob(t *testing.T) {
	c := newTestController(t)
	job := func(id string) *job {
		c.replica.Put(jobKey(id), marshalJSON(t, record.Job{Spec: &wire.Job{ID: id, TaskCount: 9, CPUs: 1, Team: "t"}}), uint64(len(c.jobs))+5)
		return c.jobs[id]
	}
	failing1, failing2 := job("wk-1"), job("wk-2")
	for i := range 4 {
		m := c.getOrAddMachine(fmt.Sprint("host-", i))
		c.handleTaskEnd(m, failing1, wire.ReasonError)
		c.handleTaskEnd(m, failing2, wire.ReasonError)
	}
	for i := range 4 {
		if c.getOrAddMachine(fmt.Sprint("host-", i)).cordoned {
			t.Errorf("machine %d is cordoned because of two jobs that fail everywhere", i)
		}
	}
	faultyMachine := c.getOrAddMachine("host-9")
	sound1, sound2 := job("wk-3"), job("wk-4")
	c.handleTaskEnd(faultyMachine, sound1, wire.ReasonError)
	if faultyMachine.cordoned {
		t.Error("a machine is cordoned after the failure of one job")
	}
	c.handleTaskEnd(faultyMachine, sound2, wire.ReasonError)
	if !faultyMachine.cordoned {
		t.Error("a machine that failed tasks of two jobs is not cordoned")
	}
	if !c.avoidsJob(faultyMachine, sound1) {
		t.Error("the machine does not avoid the job after its failure")
	}
	c.now = c.now.Add(jobAvoidanceTime + time.Second)
	if c.avoidsJob(faultyMachine, sound1) {
		t.Error("the machine still avoids the job after the avoidance time")
	}
}
