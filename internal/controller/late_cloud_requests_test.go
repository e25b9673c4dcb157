package controller

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"eiderhitch/internal/simulation/agent"
	"eiderhitch/internal/simulation/network"
	"eiderhitch/internal/wire"
)

// lateCloudCase is a kind of request to the cloud that is executed late, its response lost, and what
// happens to machines and controllers meanwhile.
type lateCloudCase struct {
	path  string
	delay time.Duration
	event cloudEvent
}

// cloudEvent is what happens a few times while requests to the cloud are late.
type cloudEvent struct {
	name   string
	happen func(c *cluster)
}

// onAllAgents returns an event that happens to all machines that are up.
func onAllAgents(name string, happen func(*agent.Agent)) cloudEvent {
	return cloudEvent{name, func(c *cluster) {
		for _, a := range c.env.Cloud.Agents() {
			if a.IsUp() {
				happen(a)
			}
		}
	}}
}

var cloudEvents = []cloudEvent{
	{"nothing else", func(*cluster) {}},
	onAllAgents("machines are back at once", (*agent.Agent).Restart),
	onAllAgents("machines are back at once without their tokens", (*agent.Agent).RestartWithoutToken),
	{"machines are back twice within a second, and the leader", func(c *cluster) {
		for range 2 {
			for _, a := range c.env.Cloud.Agents() {
				if a.IsUp() {
					a.Restart()
				}
			}
			time.Sleep(400 * time.Millisecond)
		}
		c.restartNode(c.leaderIndex())
	}},
	{"all controllers are back", func(c *cluster) { c.restartAll() }},
	onAllAgents("machines are cut off for a while", func(a *agent.Agent) {
		a.SetIsolated(true)
		time.AfterFunc(8*time.Second, func() { a.SetIsolated(false) })
	}),
	onAllAgents("machines are cut off for longer than their lease", func(a *agent.Agent) {
		a.SetIsolated(true)
		time.AfterFunc(20*time.Second, func() { a.SetIsolated(false) })
	}),
	onAllAgents("machines are mute for a while", func(a *agent.Agent) {
		a.SetOutboundBlocked(true)
		time.AfterFunc(15*time.Second, func() { a.SetOutboundBlocked(false) })
	}),
}

// Tasks on machines whose rental or deletion is carried out late, or that are back within a second,
// are known to a controller or stopped, and the machines are used or returned.
func TestLateRentalsAndDeletionsLeaveUnknownTasks(t *testing.T) {
	t.Parallel()
	for _, path := range []string{"/rentals", "/rentals/release"} {
		for _, delay := range []time.Duration{3 * time.Second, 20 * time.Second, 70 * time.Second} {
			for _, event := range cloudEvents {
				t.Run(fmt.Sprintf("%s, %s, %s", path, delay, event.name), func(t *testing.T) {
					t.Parallel()
					runCluster(t, func(c *cluster) { c.runLateCloud(lateCloudCase{path, delay, event}) })
				})
			}
		}
	}
}

// maxUnknownTime is how long a task may be on a reachable machine without a record that binds it to the
// machine: a heartbeat shows it, and a command stops it.
const maxUnknownTime = 15 * time.Second

// runLateCloud submits work in waves, so that machines are launched and terminated, while requests to
// the cloud are executed late.
func (c *cluster) runLateCloud(x lateCloudCase) {
	c.env.Cloud.SetCapacity(8)
	c.submit(newSubmission(submission{ID: "wk-1", Kind: wire.KindService, Team: "blue", Priority: "normal", Tasks: 2, CPUs: 2}))
	c.await("the service runs", time.Minute, func() bool { return c.env.CountRunningTasks("wk-1") == 2 })
	for _, n := range c.nodes {
		n.transport.SetDelay(x.delay, 0)
	}
	c.setFaultPolicies(policyForMatching(func(r *http.Request) bool {
		return isCloudRequest(r) && r.Method == http.MethodPost && r.URL.Path == x.path
	}, network.ExecuteLate))
	unknownSince := map[string]time.Time{}
	const waves = 3
	for wave := range waves {
		id := fmt.Sprintf("wk-%d", 10+wave)
		c.submit(newSubmission(submission{ID: id, Kind: wire.KindArray, Team: "blue", Priority: "normal", Tasks: 12, CPUs: 2, EstimateS: 8}))
		c.watchUnknownTasks(20*time.Second, unknownSince)
		x.event.happen(c)
		c.watchUnknownTasks(25*time.Second, unknownSince)
	}
	c.setFaultPolicies(nil)
	c.watchUnknownTasks(x.delay, unknownSince)
	for wave := range waves {
		c.awaitDone(fmt.Sprintf("wk-%d", 10+wave), 4*time.Minute)
	}
	c.await("the service runs", 2*time.Minute, func() bool { return c.env.CountRunningTasks("wk-1") == 2 })
	c.cancelJob("wk-1")
	c.await("all machines are returned", 3*time.Minute, func() bool { return len(c.env.Cloud.Agents()) == 0 })
}

// watchUnknownTasks checks once a second, for a duration, that no task stays unknown on a reachable
// machine for longer than maxUnknownTime.
func (c *cluster) watchUnknownTasks(duration time.Duration, unknownSince map[string]time.Time) {
	c.t.Helper()
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(time.Second) {
		unknown := c.unknownTasks()
		for task := range unknownSince {
			if !unknown[task] {
				delete(unknownSince, task)
			}
		}
		for task := range unknown {
			if unknownSince[task].IsZero() {
				unknownSince[task] = time.Now()
			}
			if unknownFor := time.Since(unknownSince[task]); unknownFor > maxUnknownTime {
				c.t.Fatalf("%s is unknown to all controllers for %v, want at most %v", task, unknownFor, maxUnknownTime)
			}
		}
	}
}

// unknownTasks returns the attempts that run on reachable machines and that no controller has a
// binding for.
func (c *cluster) unknownTasks() map[string]bool {
	unknown := map[string]bool{}
	for _, a := range c.env.Cloud.Agents() {
		var heartbeat wire.Heartbeat
		if !a.IsReachable() || json.Unmarshal(a.LastHeartbeat(), &heartbeat) != nil {
			continue
		}
		for _, task := range heartbeat.Tasks {
			if task.State != wire.StateExited && !c.isBound(task, heartbeat.Machine) {
				unknown[fmt.Sprintf("%s attempt %d on %s", task.Task, task.Attempt, heartbeat.Machine)] = true
			}
		}
	}
	return unknown
}

// isBound reports whether any controller has a binding of an attempt to a machine.
func (c *cluster) isBound(status wire.TaskStatus, machineName string) bool {
	bound := false
	for _, n := range c.nodes {
		ctl := n.controller()
		if ctl == nil {
			continue
		}
		ctl.call(c.ctx, priorityStore, func() {
			records := machineRecords{clusterState: ctl.clusterState, machine: ctl.getOrAddMachine(machineName)}
			record := records.Lookup(status.Task)
			bound = bound || record.Bound && record.Binding.Attempt == status.Attempt
		})
	}
	return bound
}
