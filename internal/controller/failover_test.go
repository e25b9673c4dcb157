package controller

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"testing"
	"time"

	"eiderhitch/internal/record"
	"eiderhitch/internal/simulation/agent"
	"eiderhitch/internal/simulation/network"
	"eiderhitch/internal/wire"
)

// Work continues while one controller after the other is stopped and restarted.
func TestFailoverOfEachController(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.submit(newSubmission(submission{ID: "wk-1", Kind: wire.KindArray, Team: "blue", Priority: "normal", Tasks: 40, CPUs: 2, EstimateS: 8}))
		c.await("the array runs", time.Minute, func() bool { return c.env.CountRunningTasks("wk-1") > 4 })
		for i := range 3 {
			c.kill(i)
			time.Sleep(9 * time.Second)
			c.start(i)
			time.Sleep(4 * time.Second)
		}
		c.awaitDone("wk-1", 3*time.Minute)
	})
}

// After a crash of all controllers, the stored records and machine types suffice to continue,
// even while the cloud is unavailable.
func TestAllControllersRestart(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.submit(newSubmission(submission{ID: "wk-1", Kind: wire.KindArray, Team: "blue", Priority: "normal", Tasks: 40, CPUs: 2, EstimateS: 8}))
		c.submit(newSubmission(submission{ID: "wk-2", Kind: wire.KindArray, Team: "blue", Priority: "normal", Tasks: 2, CPUs: 2, EstimateS: 1}))
		c.awaitDone("wk-2", time.Minute)
		c.killAll()
		time.Sleep(3 * time.Second)
		c.env.Cloud.SetUnavailable(true) // the stored machine types must suffice
		c.startAll()
		time.Sleep(5 * time.Second)
		if s := c.jobState("wk-2"); s != wire.StateDone {
			t.Errorf("state of a done job after the restart is %q, want %q", s, wire.StateDone)
		}
		c.submit(newSubmission(submission{ID: "wk-3", Kind: wire.KindArray, Team: "blue", Priority: "normal", Tasks: 1, CPUs: 1, EstimateS: 1}))
		c.env.Cloud.SetUnavailable(false)
		c.awaitDone("wk-1", 3*time.Minute)
		c.awaitDone("wk-3", time.Minute)
	})
}

// An owner whose connections to the key-value store are refused, but not those to peers and
// agents, can't read a cancellation. The tasks must nevertheless end in time (see
// config.MaxStaleness).
func TestCancelWhileOwnerCannotReachStore(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.submitServices(6, 2)
		c.await("the services run", time.Minute, func() bool { return c.env.CountStartedTasks() >= 12 })
		c.nodes[1].transport.SetFaultPolicy(policyForMatching(isStoreRequest, network.Refuse))
		time.Sleep(500 * time.Millisecond)
		for i := range 6 {
			c.cancelJob(fmt.Sprintf("wk-%d", i+1))
		}
		time.Sleep(40 * time.Second)
		for i := range 6 {
			if n := c.env.CountRunningTasks(fmt.Sprintf("wk-%d", i+1)); n != 0 {
				t.Errorf("%d tasks of cancelled service %d run, want none", n, i+1)
			}
		}
	})
}

// A new leader and new owners must not treat machines that have not sent them a heartbeat yet
// as machines that failed to boot.
func TestFailoverKeepsBusyMachines(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.submitServices(4, 2)
		c.await("the services run", time.Minute, func() bool { return c.env.CountStartedTasks() == 8 })
		time.Sleep(time.Minute) // longer than any boot timeout
		for i := range 3 {
			c.kill(i)
			time.Sleep(12 * time.Second)
			c.start(i)
			time.Sleep(8 * time.Second)
		}
		if n := c.env.CountStartedTasks(); n != 8 {
			t.Errorf("%d starts of 8 replicas, want 8", n)
		}
	})
}

// leaseHolders returns the holder of each leased key, with the revision of the write that made
// it the holder.
func (c *cluster) leaseHolders() map[string]leaseHolder {
	out := map[string]leaseHolder{}
	ctl := c.nodes[0].controller()
	ctl.call(c.ctx, priorityStore, func() {
		for key, h := range ctl.election.Holders() {
			out[key] = leaseHolder{h.Node, ctl.replica.Revision(key)}
		}
	})
	return out
}

// leaseHolder is the node that holds a leased key, with the revision of the write that made it
// the holder.
type leaseHolder struct {
	node     string
	revision uint64
}

// countAssignedPartitions returns the number of partitions to whose machines the leader assigns
// tasks.
func (c *cluster) countAssignedPartitions() int {
	partitions := map[int]bool{}
	for _, n := range c.nodes {
		n.controller().call(c.ctx, priorityStore, func() {
			if n.controller().isLeader() {
				for _, summary := range n.controller().machineSummaries() {
					partitions[summary.Partition] = true
				}
			}
		})
	}
	return len(partitions)
}

// A controller that is isolated from the key-value store and its peers, but not from its agents,
// can't read a cancellation. It must stop answering heartbeats in time, and the other controllers
// take over its work.
func TestOwnerIsolatedFromStoreAndPeers(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.startServices(6, 2)
		agents := c.env.Cloud.Agents()
		c.nodes[1].peersBlocked.Store(true)
		c.nodes[1].transport.SetFaultPolicy(policyForMatching(isStoreRequest, network.Drop))
		time.Sleep(time.Second)
		for i := range 3 {
			c.cancelJob(fmt.Sprintf("wk-%d", i+1))
		}
		time.Sleep(40 * time.Second)
		for _, a := range agents { // including agents that no other owner has contacted
			heartbeat, err := wire.ParseHeartbeat(a.LastHeartbeat())
			if err != nil {
				t.Fatal(err)
			}
			heartbeat.FencingToken = 0
			if status, err := c.postHeartbeat(1, record.JSON(heartbeat)); err != nil || status < http.StatusBadRequest {
				t.Errorf("a heartbeat long after the last read got status %d (error %v), want a refusal", status, err)
			}
		}
		for i := range 3 {
			if n := c.env.CountRunningTasks(fmt.Sprintf("wk-%d", i+1)); n != 0 {
				t.Errorf("%d tasks of cancelled service %d run, want none", n, i+1)
			}
			if n := c.env.CountRunningTasks(fmt.Sprintf("wk-%d", i+4)); n != 2 {
				t.Errorf("%d replicas of service %d run, want 2", n, i+4)
			}
		}
		c.submit(newSubmission(submission{ID: "wk-9", Kind: wire.KindArray, Team: "blue", Priority: "normal", Tasks: 12, CPUs: 2, EstimateS: 2}))
		c.awaitDone("wk-9", time.Minute)
		c.nodes[1].transport.SetFaultPolicy(nil)
		c.nodes[1].peersBlocked.Store(false)
	})
}

// Refused connections between controllers don't show that a controller has failed. No leased
// key passes to another node, and submitted jobs are assigned and run.
func TestRefusedPeerConnectionsMoveNoLease(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.startServices(4, 2)
		time.Sleep(10 * time.Second)
		holders, partitions := c.leaseHolders(), c.countAssignedPartitions()
		c.setPeersBlocked(true)
		time.Sleep(15 * time.Second)
		// A machine dies whose owner the leader can't reach. The machine is terminated, and its
		// replicas run elsewhere, before its lease alone would prove its end.
		lostAgent := c.busyMachineOfFollower()
		lostAgent.Terminate()
		time.Sleep(9 * time.Second)
		if slices.Contains(c.env.Cloud.Agents(), lostAgent) {
			t.Errorf("the dead machine %s has not been terminated", lostAgent.Name())
		}
		c.submit(newSubmission(submission{ID: "wk-8", Kind: wire.KindService, Team: "blue", Priority: "urgent", Tasks: 2, CPUs: 2}))
		c.submit(newSubmission(submission{ID: "wk-9", Kind: wire.KindArray, Team: "blue", Priority: "normal", Tasks: 12, CPUs: 2, EstimateS: 2}))
		c.await("the service runs", 30*time.Second, func() bool { return c.env.CountRunningTasks("wk-8") == 2 })
		c.awaitDone("wk-9", time.Minute)
		for i, n := range c.nodes {
			if !n.controller().IsReady() {
				t.Errorf("controller %d is not ready", i)
			}
		}
		if now := c.countAssignedPartitions(); now != partitions {
			t.Errorf("the leader assigns to machines of %d partitions, want %d as before", now, partitions)
		}
		c.checkHoldersUnchanged(holders)
		c.setPeersBlocked(false)
	})
}

// setPeersBlocked blocks or unblocks the connections between all controllers.
func (c *cluster) setPeersBlocked(blocked bool) {
	for _, n := range c.nodes {
		n.peersBlocked.Store(blocked)
	}
}

// busyMachineOfFollower returns a machine with bound tasks whose owner is not the leader.
func (c *cluster) busyMachineOfFollower() *agent.Agent {
	c.t.Helper()
	var found *agent.Agent
	for _, a := range c.env.Cloud.Agents() {
		for _, n := range c.nodes {
			ctl := n.controller()
			ctl.call(c.ctx, priorityStore, func() {
				m := ctl.getOrAddMachine(a.Name())
				if ctl.partitions[m.partition].token != 0 && !ctl.isLeader() && len(m.bindings) > 0 {
					found = a
				}
			})
		}
	}
	if found == nil {
		c.t.Fatal("no follower owns a machine with bound tasks")
	}
	return found
}

// checkHoldersUnchanged checks that no leased key has passed to another node. A higher fencing
// token of the same node is allowed.
func (c *cluster) checkHoldersUnchanged(before map[string]leaseHolder) {
	c.t.Helper()
	after := c.leaseHolders()
	for key, holder := range before {
		if after[key].node != holder.node {
			c.t.Errorf("%s passed from %+v to %+v", key, holder, after[key])
		}
	}
}

// Controllers and machines restart within a fraction of a second, also in the middle of an
// election. All work still completes.
func TestRestartsWithinASecond(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.startServices(3, 2)
		c.submit(newSubmission(submission{ID: "wk-9", Kind: wire.KindArray, Team: "blue", Priority: "normal", Tasks: 60, CPUs: 1, EstimateS: 4}))
		for i := range 9 {
			c.kill(i % 3)
			time.Sleep(time.Duration(50+100*(i%4)) * time.Millisecond)
			c.start(i % 3)
			ws := c.env.Cloud.Agents()
			ws[i%len(ws)].Restart()
			time.Sleep(time.Duration(100+700*(i%3)) * time.Millisecond)
		}
		c.await("the services run", 40*time.Second, func() bool { return c.areServicesRunning(3, 2) })
		c.awaitDone("wk-9", 2*time.Minute)
	})
}

// A restarted process takes over the leases of its predecessor at once, with fencing tokens of
// its own. It must not wait for the expiry of leases that are no longer renewed.
func TestRestartedProcessReacquiresLeases(t *testing.T) {
	runCluster(t, func(c *cluster) {
		time.Sleep(10 * time.Second)
		for i := range c.nodes {
			partitions, tokens := c.ownedPartitions(i)
			c.kill(i)
			time.Sleep(100 * time.Millisecond)
			c.start(i)
			c.await("the restarted process holds its leases again", 2500*time.Millisecond, func() bool {
				partitionsNow, tokensNow := c.ownedPartitions(i)
				return partitionsNow >= partitions && tokensNow > tokens
			})
		}
	})
}

// ownedPartitions returns the number of partitions that a node's controller owns, and the sum
// of their fencing tokens.
func (c *cluster) ownedPartitions(i int) (count int, tokens uint64) {
	ctl := c.nodes[i].controller()
	ctl.call(c.ctx, priorityStore, func() {
		for _, p := range ctl.partitions {
			if p.token != 0 && p.takeoverComplete {
				count, tokens = count+1, tokens+p.token
			}
		}
	})
	return count, tokens
}

// An owner must not start tasks based on a stale replica, because another controller may have
// confirmed a cancellation to a user since. It continues to answer heartbeats so that running
// tasks go on.
func TestNoStartOnStaleReplica(t *testing.T) {
	c := newTestController(t)
	p := c.partitions[0]
	m := c.getOrAddMachine("host-1")
	c.applyHeartbeat(m, &wire.Heartbeat{Machine: "host-1", Type: "small", Zone: "a", Incarnation: 1, Sequence: 1, FencingToken: 1}, p, workerRequest)
	c.replica.Put(jobKey("wk-1"), marshalJSON(t, record.Job{Spec: &wire.Job{ID: "wk-1", TaskCount: 1, CPUs: 1, Team: "t"}}), 2)
	c.replica.Put(groupKey("wk-1", 0), marshalJSON(t, record.TaskGroup{Tasks: []record.Binding{{Attempt: 1, Machine: "host-1", Incarnation: 1}}}), 3)
	if cmds := c.commandsFor(m, p); len(cmds) != 1 || cmds[0].Op != wire.OpStart {
		t.Fatalf("commands %v, want one start", cmds)
	}
	c.now = c.now.Add(c.operator.LeaseTTL + time.Second)
	if cmds := c.commandsFor(m, p); len(cmds) != 0 {
		t.Errorf("commands %v on a stale replica, want none", cmds)
	}
	if !c.isFresh(c.maxStaleness) {
		t.Error("heartbeats are no longer answered")
	}
}

// If all machines have died and the cloud provides no others, no agent reaches any controller.
// The leased keys must not pass to other nodes because of that: each change would restart the
// wait for the agents' leases, and the end of the tasks would never be proven.
func TestLeasesAreKeptWithoutAgents(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.startServices(6, 2)
		time.Sleep(10 * time.Second)
		c.env.Cloud.SetUnavailable(true)
		for _, w := range c.env.Cloud.Agents() {
			w.Terminate()
		}
		time.Sleep(30 * time.Second)
		before := c.leaseHolders()
		time.Sleep(30 * time.Second)
		if after := c.leaseHolders(); !maps.Equal(before, after) {
			t.Errorf("the holders of leased keys changed from %v to %v", before, after)
		}
		for i := range 6 {
			if s := c.jobState(fmt.Sprintf("wk-%d", i+1)); s != wire.StateQueued {
				t.Errorf("state of a service whose machines died is %s, want %s", s, wire.StateQueued)
			}
		}
		c.env.Cloud.SetUnavailable(false)
		c.await("the services run", time.Minute, func() bool { return c.areServicesRunning(6, 2) })
	})
}
