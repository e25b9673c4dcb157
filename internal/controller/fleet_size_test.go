package controller

import (
	"bytes"
	"flag"
	"fmt"
	"log/slog"
	"net/http"
	"testing"
	"time"

	"eiderhitch/internal/wire"
)

// fleetSize is the number of machines of TestLargeFleet. The run time grows with it.
var fleetSize = flag.Int("fleet", 400, "number of machines of the large fleet")

// fleetIsolationTime is how long TestLargeFleet isolates all machines at once. Leases of its machines
// last 50 s.
var fleetIsolationTime = flag.Duration("fleet-silence", 20*time.Second, "how long all machines of the large fleet are isolated")

// configureLargeFleet sets a node's timing and limits to those of a large deployment.
func configureLargeFleet(n *node) {
	s := &n.cfg.Settings
	s.Workers.HeartbeatIntervalS, s.Workers.LeaseDurationS, s.Workers.CancelDeadlineS = 10, 50, 110
	s.Store.RPS, s.Store.WriteRPS = 1000, 300
	s.Cloud.RPS = 12
	s.Limits.MaxSockets = 8000
}

// A large fleet is launched for an array and a service, its leader is killed, and then all machines
// are isolated at once for a while. All jobs must still complete and no rule may be broken. The
// simulated services refuse messages and transactions beyond their limits.
func TestLargeFleet(t *testing.T) {
	t.Parallel()
	for _, controllers := range []int{3, 5} {
		t.Run(fmt.Sprint(controllers, " controllers"), func(t *testing.T) {
			t.Parallel()
			runClusterOfSize(t, controllers, configureLargeFleet, func(c *cluster) { c.runLargeFleet(*fleetSize) })
		})
	}
}

// runLargeFleet runs the phases of TestLargeFleet with the given number of machines.
func (c *cluster) runLargeFleet(machines int) {
	env := c.env
	env.HeartbeatInterval, env.LeaseTTL, env.CancellationTimeout = 10*time.Second, 50*time.Second, 110*time.Second
	env.Cloud.SetCapacity(machines)
	// Each task occupies a small machine completely.
	array := newSubmission(submission{ID: "wk-1", Kind: wire.KindArray, Team: "blue", Priority: "normal", Tasks: machines, CPUs: 4, EstimateS: 200})
	array.MachineTypes = []string{"small"}
	c.submit(array)
	c.await("nine tenths of the array's tasks run or are complete", 15*time.Minute, func() bool { return env.CountRunningTasks("wk-1")+env.CountCompletedTasks("wk-1") >= machines*9/10 })
	c.submit(newSubmission(submission{ID: "wk-2", Kind: wire.KindService, Team: "blue", Priority: "urgent", Tasks: 20, CPUs: 2}))
	c.await("all tasks of the service run", 2*time.Minute, func() bool { return env.CountRunningTasks("wk-2") == 20 })
	leader := c.leaderIndex()
	c.kill(leader)
	time.Sleep(15 * time.Second)
	c.start(leader)
	time.Sleep(10 * time.Second)
	for _, a := range env.Cloud.Agents() {
		a.SetIsolated(true)
	}
	time.Sleep(*fleetIsolationTime)
	for _, a := range env.Cloud.Agents() {
		a.SetIsolated(false)
	}
	env.MarkFaultsEnded()
	c.await("the array is done", 40*time.Minute, func() bool { return c.jobState("wk-1") == wire.StateDone })
	c.await("all tasks of the service run again", 2*time.Minute, func() bool { return env.CountRunningTasks("wk-2") == 20 })
	if response := c.sendRequest(0, queryRequest("wk-1")); response.status != http.StatusOK {
		c.t.Errorf("query of the array: status %d, want 200", response.status)
	}
}

// When thousands of services are lost at once, their records exceed the length of the write queue.
// The remaining records must wait until the queue has room, without errors, and the end of each task
// must stay recorded until it is stored.
func TestMassTaskLossFitsWriteQueue(t *testing.T) {
	const machines = 4000
	c := newFullFleetController(t, machines)
	var log bytes.Buffer
	c.log = slog.New(slog.NewTextHandler(&log, &slog.HandlerOptions{Level: slog.LevelError}))
	p := c.partitions[0]
	for _, m := range p.machines {
		m.terminated = true
		c.endAllAttempts(m, terminationProof())
	}
	lostCount := len(c.unstoredEnds)
	for range 3 {
		c.schedulePartition(p)
	}
	if lostCount < 5000 || log.Len() > 0 {
		t.Errorf("%d tasks are lost, want at least 5000; logged errors, want none: %s", lostCount, log.String()[:min(log.Len(), 300)])
	}
	waitingCount := 0
	for _, group := range p.groups {
		if !group.writeInFlight && group.hasUnstoredEnds {
			waitingCount++
		}
	}
	if waitingCount == 0 || len(c.unstoredEnds) != lostCount {
		t.Errorf("%d records wait for the write queue, want at least 1; %d of %d ends of tasks are still recorded, want all", waitingCount, len(c.unstoredEnds), lostCount)
	}
}
