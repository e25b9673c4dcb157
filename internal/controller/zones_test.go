package controller

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"eiderhitch/internal/record"
	"eiderhitch/internal/simulation/agent"
	"eiderhitch/internal/wire"
)

// An isolated zone keeps working for as long as its controllers may answer heartbeats,
// and then until its machines' leases expire. Its machines must not be terminated in that
// time: that would stop all tasks in the zone, and other zones may have no room for them.
func TestIsolatedZoneIsNotTerminated(t *testing.T) {
	for _, test := range []struct {
		name        string
		leaderFails bool
	}{
		{"the leader stays", false},
		{"the leader ends", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			runCluster(t, func(c *cluster) { c.checkIsolatedZone(test.leaderFails) })
		})
	}
}

// checkIsolatedZone isolates a zone for almost the duration of a lease and checks that none of
// its machines is terminated.
func (c *cluster) checkIsolatedZone(leaderFails bool) {
	c.t.Helper()
	c.submitZonalServices(1, 14, "b")
	c.submitZonalServices(15, 14, "a")
	c.await("the services run", time.Minute, func() bool { return c.areServicesRunning(28, 1) })
	time.Sleep(15 * time.Second)
	var isolatedAgents []*agent.Agent
	for _, a := range c.env.Cloud.Agents() {
		if a.Zone() == "b" {
			isolatedAgents = append(isolatedAgents, a)
			a.SetIsolated(true)
		}
	}
	if leaderFails {
		leader := c.leaderIndex()
		c.kill(leader)
		c.start(leader)
	}
	time.Sleep(9500 * time.Millisecond) // a lease is 10 s
	for _, a := range isolatedAgents {
		if !slices.Contains(c.env.Cloud.Agents(), a) {
			c.t.Errorf("machine %s was terminated, although it is only isolated", a.Name())
		}
		a.SetIsolated(false)
	}
	c.await("the services run", 30*time.Second, func() bool { return c.areServicesRunning(28, 1) })
}

// A single-zone job whose zone has lost all of its machines moves to a zone with room once
// all of its tasks are proven to have ended. Otherwise it would wait forever for the first zone.
func TestSingleZoneJobLeavesLostZone(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.submitZonalServices(1, 3, "a")
		c.submitZonalServices(4, 3, "b")
		c.await("the services run", time.Minute, func() bool { return c.areServicesRunning(6, 1) })
		b := newSubmission(submission{ID: "wk-9", Kind: wire.KindArray, Team: "blue", Priority: "normal", Tasks: 2, CPUs: 1, EstimateS: 30})
		b.SingleZone = true
		c.submit(b)
		c.await("the job runs", time.Minute, func() bool { return c.env.CountRunningTasks("wk-9") == 2 })
		zones := map[string]bool{}
		for _, n := range c.nodes {
			n.controller().call(c.ctx, priorityStore, func() {
				for _, group := range n.controller().jobs["wk-9"].groups {
					zones[group.zone] = true
				}
			})
		}
		c.env.Cloud.SetUnavailable(true)
		for _, w := range c.env.Cloud.Agents() {
			if zones[w.Zone()] {
				w.Terminate()
			}
		}
		c.env.MarkFaultsEnded()
		c.awaitDone("wk-9", 3*time.Minute)
		c.env.Cloud.SetUnavailable(false)
	})
}

// A service with spread that has never started, with task groups of two zones in one partition, starts
// all tasks in the first group's zone (review/4).
func TestSpreadServiceStartsInOneZone(t *testing.T) {
	c := newTestController(t)
	for i, zone := range []string{"a", "b"} {
		name := fmt.Sprintf("host-%d", i)
		c.applyHeartbeat(c.getOrAddMachine(name), &wire.Heartbeat{Machine: name, Type: "small", Zone: zone, Incarnation: 1, Sequence: 1, FencingToken: 1}, c.partitions[0], workerRequest)
	}
	spec := &wire.Job{ID: "wk-1", Service: true, TaskCount: 2, CPUs: 1, Team: "t", SpreadsZones: true}
	c.replica.Put(jobKey("wk-1"), marshalJSON(t, record.Job{AcceptedAtMS: c.now.UnixMilli(), Spec: spec}), 2)
	for i, zone := range []string{"a", "b"} {
		group := record.TaskGroup{Zone: zone, Tasks: []record.Binding{{Task: int32(i)}}}
		c.replica.Put(groupKey("wk-1", i), marshalJSON(t, group), uint64(3+i))
	}
	c.schedulePartitions()
	for i, zone := range []string{"a", "b"} {
		group := c.groupByKey[groupKey("wk-1", i)]
		reserved, ok := c.partitions[0].reservations[group.task(int32(i))]
		if !ok {
			t.Errorf("task %d has no machine, want one in zone %s", i, zone)
		} else if reserved.machine.zone != zone {
			t.Errorf("task %d is placed in zone %s, want %s", i, reserved.machine.zone, zone)
		}
	}
}
