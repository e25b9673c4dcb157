package controller

import (
	"testing"
	"time"

	"eiderhitch/internal/config"
	"eiderhitch/internal/wire"
)

// A service that exceeds its team's limit beside the team's other services reserved the limit for ever,
// and stopped the team's tasks of lower priority, although only a user could make room for it.
func TestLimitIsNotReservedForServiceBesideServices(t *testing.T) {
	runCluster(t, func(c *cluster) {
		service := func(id string, cpus float64) *submission {
			return newSubmission(submission{ID: id, Kind: wire.KindService, Team: "red", Priority: "urgent", Tasks: 1, CPUs: cpus})
		}
		c.submit(service("wk-1", 14))
		c.submit(newSubmission(submission{ID: "wk-2", Kind: wire.KindArray, Team: "red", Priority: "low", Tasks: 1, CPUs: 2, EstimateS: 600}))
		c.await("the service and the array run", time.Minute, func() bool {
			return c.env.CountRunningTasks("wk-1") == 1 && c.env.CountRunningTasks("wk-2") == 1
		})
		running := c.env.CountStartedTasks()
		c.submit(service("wk-3", 12)) // 26 CPUs of 24
		c.startServiceOn("wk-4", "large")
		time.Sleep(10 * time.Second)
		c.submit(newSubmission(submission{ID: "wk-5", Kind: wire.KindArray, Team: "red", Priority: "normal", Tasks: 2, CPUs: 2, EstimateS: 5}))
		c.submit(service("wk-6", 2))
		c.awaitDone("wk-5", time.Minute)
		c.await("the smaller service runs", time.Minute, func() bool { return c.env.CountRunningTasks("wk-6") == 1 })
		const newTasks = 4 // the service on another team's quota, the array's two tasks and the smaller service
		if started := c.env.CountStartedTasks() - running; started != newTasks {
			t.Errorf("%d tasks started, want %d: a task was stopped and started again", started, newTasks)
		}
		c.cancelJob("wk-1")
		c.await("the larger service runs once there is room", time.Minute, func() bool { return c.env.CountRunningTasks("wk-3") == 1 })
	})
}

// A job found no room in the zone that its first tasks had chosen, and the leader concluded that
// similar jobs find none in other zones: they never started.
func TestJobWithoutRoomInItsZoneDoesNotHoldUpOthers(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.env.Cloud.SetZoneCapacity("a", 1)
		c.startServiceOn("wk-9", "large")
		newArray := func(id string, tasks int, estimateS float64) *submission {
			return newSubmission(submission{ID: id, Kind: wire.KindArray, Team: "blue", Priority: "normal", Tasks: tasks, CPUs: 3, EstimateS: estimateS, SingleZone: true})
		}
		c.submit(newArray("wk-1", 60, 3600))
		c.await("the first array takes the room in zone a", time.Minute, func() bool { return c.env.CountRunningTasks("wk-1") == 4 })
		c.submitZonalServices(10, 1, "b")
		c.submit(newArray("wk-2", 3, 5))
		c.await("a machine in zone b runs a service", time.Minute, func() bool { return c.env.CountRunningTasks("wk-10") == 1 })
		c.cancelJob("wk-10")
		c.awaitDone("wk-2", 2*time.Minute)
	})
}

// The second task of a job that spreads over zones found no room beside the first one, and the leader
// concluded that similar jobs find none: they never started.
func TestSpreadJobDoesNotHoldUpOthers(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.env.Cloud.SetZoneCapacity("b", 0)
		c.startServiceOn("wk-9", "large")
		first := newSubmission(submission{ID: "wk-1", Kind: wire.KindArray, Team: "blue", Priority: "normal", Tasks: 2, CPUs: 3, EstimateS: 3600})
		first.Spread = true
		c.submit(first)
		c.await("the first task runs in zone a", time.Minute, func() bool { return c.env.CountRunningTasks("wk-1") == 1 })
		c.submit(newSubmission(submission{ID: "wk-2", Kind: wire.KindArray, Team: "blue", Priority: "normal", Tasks: 3, CPUs: 3, EstimateS: 5}))
		c.awaitDone("wk-2", 2*time.Minute)
	})
}

// withoutHeadroom makes a node keep no machines free for future services.
func withoutHeadroom(n *node) {
	n.operatorConfig = config.DefaultOperatorSettings()
	n.operatorConfig.Headroom = 0
}

// The plan of machines counts the room of a zone that may have no more tasks of a job with spread: no
// machine is launched for its other tasks in another zone (issue 53, 1).
func TestSpreadArrayGetsMachine(t *testing.T) {
	runClusterWithSetup(t, withoutHeadroom, func(c *cluster) {
		c.startServiceOn("wk-9", "large")
		array := newSubmission(submission{ID: "wk-1", Kind: wire.KindArray, Team: "blue", Priority: "normal", Tasks: 2, CPUs: 2, EstimateS: 1800})
		array.Spread = true
		c.submit(array)
		c.await("a task runs in each zone", 3*time.Minute, func() bool { return c.env.CountRunningTasks("wk-1") == 2 })
	})
}

// The plan of machines counted the room of all zones for a service whose replicas must be in one: it
// launched no machine although no zone had room for them. Headroom would hide this.
func TestSingleZoneServiceGetsMachine(t *testing.T) {
	runClusterWithSetup(t, withoutHeadroom, func(c *cluster) {
		c.submitZonalServices(1, 1, "a")
		c.submitZonalServices(2, 1, "b")
		c.await("a machine with room in each zone is up", time.Minute, func() bool { return c.areServicesRunning(2, 1) })
		service := newSubmission(submission{ID: "wk-3", Kind: wire.KindService, Team: "blue", Priority: "urgent", Tasks: 2, CPUs: 2, SingleZone: true})
		service.MachineTypes = []string{"small"}
		c.submit(service)
		c.await("the service runs", 2*time.Minute, func() bool { return c.env.CountRunningTasks("wk-3") == 2 })
	})
}

// An array whose tasks must be in one zone lost all machines there, and the cloud had none left in that
// zone: it was bound to the zone and got no machine in another one.
func TestSingleZoneJobLeavesZoneWithoutOffers(t *testing.T) {
	for _, kind := range []string{wire.KindArray, wire.KindService, wire.KindGang} {
		t.Run(kind, func(t *testing.T) {
			runCluster(t, func(c *cluster) {
				job := newSubmission(submission{ID: "wk-1", Kind: kind, Team: "blue", Priority: "normal", Tasks: 2, CPUs: 2, EstimateS: 60, SingleZone: true, MachineTypes: []string{"small"}})
				c.submit(job)
				c.await("the job runs", time.Minute, func() bool { return c.env.CountRunningTasks("wk-1") == 2 })
				lost := c.agentWithJob("wk-1")
				c.env.Cloud.SetZoneCapacity(lost.Zone(), 0)
				lost.Terminate()
				c.await("the job runs in the other zone", 3*time.Minute, func() bool { return c.env.CountRunningTasks("wk-1") == 2 })
			})
		})
	}
}
