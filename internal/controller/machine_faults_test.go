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

// A machine that is cut off or fails everything doesn't hold work up for long.
func TestFaultyMachinesDoNotBlockWork(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.submit(newSubmission(submission{ID: "wk-1", Kind: wire.Service, Team: "blue", Priority: "urgent", Tasks: 3, CPUs: 2}))
		c.await("the service runs", time.Minute, func() bool { return c.env.Running("wk-1") == 3 })
		c.env.Cloud.Agents()[0].SetIsolated(true)
		time.Sleep(40 * time.Second)
		if n := c.env.Running("wk-1"); n != 3 {
			t.Errorf("%d replicas after a machine was cut off, want 3", n)
		}
		c.env.Cloud.Agents()[0].SetFailing(true)
		for i := range 4 {
			c.submit(newSubmission(submission{ID: fmt.Sprintf("wk-%d", i+2), Kind: wire.Array, Team: "blue", Priority: "normal", Tasks: 8, CPUs: 1, EstimateS: 2}))
		}
		for i := range 4 {
			c.awaitDone(fmt.Sprintf("wk-%d", i+2), 3*time.Minute)
		}
	})
}

// countTasksBoundTo counts the tasks that the records bind to a machine.
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

// A machine whose heartbeats arrive while neither answers nor commands reach it
// looks alive. Its tasks run elsewhere soon after its lease is over, and it is
// given none again: it would take them, and lose them, time after time.
func TestMachineNotReceiving(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.runServices(4, 2)
		// More work than room, and no machine can be launched or terminated.
		c.submit(newSubmission(submission{ID: "wk-9", Kind: wire.Array, Team: "blue", Priority: "low", Tasks: 600, CPUs: 1, EstimateS: 6}))
		time.Sleep(15 * time.Second)
		c.env.Cloud.SetDown(true)
		w := c.env.Cloud.Agents()[0]
		w.SetNotReceiving(true)
		time.Sleep(25 * time.Second)
		if !c.servicesRun(4, 2) {
			t.Error("replicas are missing long after the lease is over")
		}
		for range 20 {
			time.Sleep(time.Second)
			if n := c.countTasksBoundTo(w.Name()); n > 0 {
				t.Fatalf("%d tasks are bound to a machine that nothing reaches, want none", n)
			}
		}
		w.SetNotReceiving(false)
		c.submit(newSubmission(submission{ID: "wk-8", Kind: wire.Array, Team: "blue", Priority: "low", Tasks: 600, CPUs: 1, EstimateS: 6}))
		c.await("it is used again", 20*time.Second, func() bool { return c.countTasksBoundTo(w.Name()) > 0 })
		c.env.Cloud.SetDown(false)
		c.awaitDone("wk-9", 10*time.Minute)
	})
}

// A heartbeat that shows no fencing token of ours may be a copy from before a failover:
// until one does, nothing is placed on its machine.
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
		c.applyHeartbeat(m, &wire.Heartbeat{Machine: "host-1", Type: "small", Zone: "a", Incarnation: x.incarnation, Sequence: x.sequence, Token: x.token}, p, workerRequest)
		if got := c.isUsable(m, p); got != x.usable {
			t.Errorf("after heartbeat %+v the machine is usable: %v, want %v", x, got, x.usable)
		}
	}
}

// Copies of the heartbeats of a machine that is dead come for half a minute, also
// right after all controllers are new and know nothing to compare them with.
// They neither make the machine usable nor put off the proof that it is gone.
func TestLateCopiesOfHeartbeats(t *testing.T) {
	for _, x := range []struct {
		name     string
		failover bool
	}{
		{"same controllers", false},
		{"all controllers are new", true},
	} {
		t.Run(x.name, func(t *testing.T) {
			runCluster(t, func(c *cluster) { c.checkLateCopies(x.failover) })
		})
	}
}

func (c *cluster) checkLateCopies(failover bool) {
	c.t.Helper()
	c.submit(newSubmission(submission{ID: "wk-9", Kind: wire.Array, Team: "blue", Priority: "low", Tasks: 30, CPUs: 1, EstimateS: 90})) // there is room to take
	c.runServices(4, 2)
	dead := c.env.Cloud.Agents()[0]
	if c.countTasksBoundTo(dead.Name()) == 0 {
		c.t.Fatal("nothing runs on the first machine")
	}
	heartbeat := dead.LastHeartbeat()
	dead.Terminate()
	c.env.Cloud.SetDown(true) // so that only the lease can prove it
	if failover {
		c.replaceEach()
	}
	for i := range 70 {
		if status, err := c.postHeartbeat(i%len(c.nodes), heartbeat); err == nil && !isHeartbeatStatus(status) {
			c.t.Errorf("a copy is answered with status %d, want 200, 421 or 503", status)
		}
		time.Sleep(500 * time.Millisecond)
	}
	// A whole lease, and after a failover what a former owner may have answered on top of it.
	c.await("the replicas run elsewhere", c.nodes[0].maxStaleness(), func() bool { return c.servicesRun(4, 2) })
	if n := c.countTasksBoundTo(dead.Name()); n > 0 {
		c.t.Errorf("%d tasks are bound to the dead machine %s, want none", n, dead.Name())
	}
}

// isHeartbeatStatus tells whether a well-formed heartbeat may be answered with a status.
func isHeartbeatStatus(status int) bool {
	return status < http.StatusBadRequest || status == http.StatusMisdirectedRequest || status == http.StatusServiceUnavailable
}

// Machines die, and all controllers with them: nobody is left who knows where the
// machines were. The records tell, so dead ones are asked and terminated as soon as by an
// owner who goes on, not after the longest pause that a heartbeat may have; and that no
// heartbeat has come yet is not taken for a zone that is cut off.
func TestMachinesThatDiedWithAllControllers(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.submitZonalServices(1, 8, "b")
		c.submitZonalServices(9, 8, "a")
		c.await("the services run", time.Minute, func() bool { return c.servicesRun(16, 1) })
		time.Sleep(10 * time.Second)
		dead := c.busyMachine()
		dead.Terminate()
		c.killAll()
		time.Sleep(2 * time.Second)
		c.startAll()
		limit := c.nodes[0].controller().heartbeatTimeout() + unansweredLimit*workerclient.PingTimeout + 2*time.Second
		for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
			c.checkNoZoneIsolated()
		}
		if slices.Contains(c.env.Cloud.Agents(), dead) {
			t.Errorf("the dead machine %s is not terminated within %v", dead.Name(), limit)
		}
		c.await("the services run", 20*time.Second, func() bool { return c.servicesRun(16, 1) })
	})
}

// busyMachine is a machine that tasks are bound to.
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

// checkNoZoneIsolated checks that the leader takes no zone to be cut off.
func (c *cluster) checkNoZoneIsolated() {
	c.t.Helper()
	for i, n := range c.nodes {
		ctl := n.controller()
		ctl.call(c.ctx, priorityStore, func() {
			if ctl.isLeader() && len(ctl.autoscaler.IsolatedZones()) > 0 {
				c.t.Errorf("controller %d takes zones %v to be cut off, want none", i, ctl.autoscaler.IsolatedZones())
			}
		})
	}
}

// After a crash of all the only machine of a partition may be the one that died. Heartbeats
// of other partitions' machines show that it is not we who can't be reached.
func TestOnlyMachineOfAPartitionDied(t *testing.T) {
	c := newTestController(t)
	p := c.partitions[0]
	p.ownedSince, p.formerOwnerMaxStaleness, p.firstToken = c.now, c.maxStaleness, p.token
	c.replica.Put(jobKey("wk-1"), marshalJSON(t, record.Job{Spec: &wire.Job{ID: "wk-1", Service: true, Tasks: 1, CPUs: 1}}), 5)
	c.replica.Put(groupKey("wk-1", 0), marshalJSON(t, record.TaskGroup{Tasks: []record.Binding{{Attempt: 1, Machine: "host-1", Incarnation: 1, Addr: "10.1.0.1:1"}}}), 6)
	m := c.getOrAddMachine("host-1")
	m.commandState.unanswered = unansweredLimit
	for _, reached := range []bool{false, true} {
		c.now = c.now.Add(6 * time.Second)
		if reached {
			c.lastHeartbeatAt = c.now
		}
		if got := c.isUnreachable(m, p); got != reached {
			t.Errorf("agents reach us: %v; the machine is found unreachable: %v, want %v", reached, got, reached)
		}
	}
}

// After an outage for longer than heartbeats may be answered, no machine is taken to be
// silent: this controller heard none since it did not listen.
func TestMachinesAreKeptAfterALongOutage(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.runServices(4, 2)
		var busy []*agent.Agent
		for _, w := range c.env.Cloud.Agents() {
			if c.countTasksBoundTo(w.Name()) > 0 {
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
					t.Fatalf("%s, which is well, was terminated", w.Name())
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
			if c.countTasksBoundTo(x.Name()) > 0 {
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
			t.Errorf("replicas lack for %v, want more than 0 and at most 2 s", lacking)
		}
		c.await("it is replaced", 40*time.Second, func() bool { return !slices.Contains(c.env.Cloud.Agents(), w) })
	})
}

// Jobs that fail wherever they are put don't speak against machines; a machine on which
// others' tasks fail is cordoned; and neither is barred from the other for good.
func TestFailuresAreAttributedToMachineOrJob(t *testing.T) {
	c := newTestController(t)
	job := func(id string) *job {
		c.replica.Put(jobKey(id), marshalJSON(t, record.Job{Spec: &wire.Job{ID: id, Tasks: 9, CPUs: 1, Team: "t"}}), uint64(len(c.jobs))+5)
		return c.jobs[id]
	}
	bad, worse := job("wk-1"), job("wk-2")
	for i := range 4 {
		m := c.getOrAddMachine(fmt.Sprint("host-", i))
		c.handleTaskEnd(m, bad, wire.ReasonError)
		c.handleTaskEnd(m, worse, wire.ReasonError)
	}
	for i := range 4 {
		if c.getOrAddMachine(fmt.Sprint("host-", i)).cordoned {
			t.Errorf("machine %d is blamed for two mistaken jobs", i)
		}
	}
	failing := c.getOrAddMachine("host-9")
	good, fine := job("wk-3"), job("wk-4")
	c.handleTaskEnd(failing, good, wire.ReasonError)
	if failing.cordoned {
		t.Error("a machine is blamed for one failure")
	}
	c.handleTaskEnd(failing, fine, wire.ReasonError)
	if !failing.cordoned {
		t.Error("a machine that fails several jobs is not found")
	}
	if !c.avoidsJob(failing, good) {
		t.Error("the job is put there again at once")
	}
	c.now = c.now.Add(jobAvoidanceTime + time.Second)
	if c.avoidsJob(failing, good) {
		t.Error("the machine is barred to the job for good")
	}
}
