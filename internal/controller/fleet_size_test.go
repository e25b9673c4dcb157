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

// fleetSize is how many machines the fleet has that is brought up, loses its leader and
// falls silent; more take longer.
var fleetSize = flag.Int("fleet", 400, "machines of the large fleet")

// fleetIsolationTime is for how long it falls silent; a lease is 50 s.
var fleetIsolationTime = flag.Duration("fleet-silence", 20*time.Second, "how long the large fleet falls silent")

// configureLargeFleet gives a node the settings of a large deployment.
func configureLargeFleet(n *node) {
	s := &n.cfg.Settings
	s.Workers.ReportS, s.Workers.LeaseS, s.Workers.CancelS = 10, 50, 110
	s.Store.RPS, s.Store.WriteRPS = 1000, 300
	s.Cloud.RPS = 12
	s.Limits.MaxSockets = 8000
}

// A fleet of thousands of machines comes up for an array and services, loses its leader,
// and falls silent as a whole for a while: nothing is lost, no queue overflows, and no
// message is beyond its limit (the simulated services refuse those).
func TestLargeFleet(t *testing.T) {
	t.Parallel()
	for _, controllers := range []int{3, 5} {
		t.Run(fmt.Sprint(controllers, " controllers"), func(t *testing.T) {
			t.Parallel()
			runClusterOfSize(t, controllers, configureLargeFleet, func(c *cluster) { c.runLargeFleet(*fleetSize) })
		})
	}
}

func (c *cluster) runLargeFleet(machines int) {
	env := c.env
	env.HeartbeatInterval, env.LeaseTTL, env.CancelWithin = 10*time.Second, 50*time.Second, 110*time.Second
	env.Cloud.SetCapacity(machines)
	// Each task takes a whole small machine.
	array := newSubmission(submission{ID: "wk-1", Kind: wire.KindArray, Team: "blue", Priority: "normal", Tasks: machines, CPUs: 4, EstimateS: 200})
	array.MachineTypes = []string{"small"}
	c.submit(array)
	c.await("the fleet is up and busy", 15*time.Minute, func() bool { return env.Running("wk-1")+env.Completed("wk-1") >= machines*9/10 })
	c.submit(newSubmission(submission{ID: "wk-2", Kind: wire.KindService, Team: "blue", Priority: "urgent", Tasks: 20, CPUs: 2}))
	c.await("services have room made for them", 2*time.Minute, func() bool { return env.Running("wk-2") == 20 })
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
	env.SetSettled()
	c.await("the array is done", 40*time.Minute, func() bool { return c.jobState("wk-1") == wire.StateDone })
	c.await("the services run", 2*time.Minute, func() bool { return env.Running("wk-2") == 20 })
	if answer := c.sendRequest(0, queryRequest("wk-1")); answer.status != http.StatusOK {
		c.t.Errorf("a query is answered with status %d, want 200", answer.status)
	}
}

// When thousands of services are lost at once there is more to store than may queue: the
// rest waits for its turn, and what waits is neither refused nor given up.
func TestMassTaskLossFitsWriteQueue(t *testing.T) {
	const machines = 4000
	c := newFullFleetController(t, machines)
	var log bytes.Buffer
	c.log = slog.New(slog.NewTextHandler(&log, &slog.HandlerOptions{Level: slog.LevelError}))
	p := c.partitions[0]
	for _, m := range p.machines {
		m.terminated = true
		c.endAllAttempts(m, "test")
	}
	lost := len(c.unstoredEnds)
	for range 3 {
		c.schedulePartition(p)
	}
	if lost < 5000 || log.Len() > 0 {
		t.Errorf("%d tasks are lost: %s", lost, log.String()[:min(log.Len(), 300)])
	}
	waiting := 0
	for _, group := range p.groups {
		if !group.writeInFlight && group.hasUnstoredEnds {
			waiting++
		}
	}
	if waiting == 0 || len(c.unstoredEnds) != lost {
		t.Errorf("%d records wait, %d of %d ends are remembered", waiting, len(c.unstoredEnds), lost)
	}
}
