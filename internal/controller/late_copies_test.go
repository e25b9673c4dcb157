package controller

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"eiderhitch/internal/simulation/agent"
	"eiderhitch/internal/simulation/network"
	"eiderhitch/internal/simulation/trace"
	"eiderhitch/internal/wire"
)

// A start command that was carried out and answered reaches its machine again and again, from the
// moment it was answered and for minutes, while a controller or the machine is back within a second
// and the task is moved, cancelled or preempted in between. No copy may run the task: the machine
// must have a later incarnation, know the attempt, or have seen a higher token.
func TestLateCopiesOfStarts(t *testing.T) {
	t.Parallel()
	for _, comeback := range comebacks {
		for _, change := range taskChanges {
			t.Run(comeback.name+", "+change.name, func(t *testing.T) {
				t.Parallel()
				runCluster(t, func(c *cluster) { c.runLateCopies(comeback, change) })
			})
		}
	}
}

// comeback is the return of controllers or of a machine within a second.
type comeback struct {
	name   string
	happen func(c *cluster, machine *agent.Agent)
}

// comebackTime is how long a controller is away.
const comebackTime = 300 * time.Millisecond

var comebacks = []comeback{
	{"nothing is back", func(*cluster, *agent.Agent) {}},
	{"the owner is back", func(c *cluster, machine *agent.Agent) { c.restartOwnerOf(machine) }},
	{"the leader is back", func(c *cluster, _ *agent.Agent) { c.restartNode(c.leaderIndex()) }},
	{"all controllers are back", func(c *cluster, _ *agent.Agent) { c.restartAll() }},
	{"the machine is back", func(_ *cluster, machine *agent.Agent) { machine.Restart() }},
	{"the machine is back without its token", func(_ *cluster, machine *agent.Agent) { machine.RestartWithoutToken() }},
	{"the machine and its owner are back", func(c *cluster, machine *agent.Agent) {
		machine.RestartWithoutToken()
		c.restartOwnerOf(machine)
	}},
}

// restartNode kills a controller and starts it again after comebackTime.
func (c *cluster) restartNode(i int) {
	c.kill(i)
	time.Sleep(comebackTime)
	c.start(i)
}

// restartOwnerOf restarts the controller that owns a machine.
func (c *cluster) restartOwnerOf(machine *agent.Agent) {
	if owner := c.ownerOf(machine); owner >= 0 {
		c.restartNode(owner)
	}
}

// ownerOf returns the index of the controller that owns a machine, or -1 if none does.
func (c *cluster) ownerOf(machine *agent.Agent) int {
	for i, n := range c.nodes {
		owns := false
		n.controller().call(c.ctx, priorityStore, func() {
			m := n.controller().getOrAddMachine(machine.Name())
			owns = n.controller().partitions[m.partition].token != 0
		})
		if owns {
			return i
		}
	}
	return -1
}

// taskChange is what happens to the tasks of job wk-1 on a machine.
type taskChange struct {
	name string
	// happen changes the tasks, before or while something is back.
	happen func(c *cluster, machine *agent.Agent)
	// cancels is set if it cancels the job.
	cancels bool
}

var taskChanges = []taskChange{
	{"the tasks go on", func(*cluster, *agent.Agent) {}, false},
	{"the job is cancelled", func(c *cluster, _ *agent.Agent) { c.cancelJob("wk-1") }, true},
	{"the tasks are preempted", func(c *cluster, _ *agent.Agent) {
		c.submit(newSubmission(submission{ID: "wk-3", Kind: wire.KindArray, Team: "blue", Priority: "urgent", Tasks: 16, CPUs: 2, EstimateS: 5}))
		c.await("the urgent array runs", time.Minute, func() bool { return c.env.CountRunningTasks("wk-3") > 0 })
	}, false},
	{"the tasks move to other machines", func(c *cluster, machine *agent.Agent) {
		machine.SetIsolated(true)
		time.Sleep(c.env.LeaseTTL + 5*time.Second)
		machine.SetIsolated(false)
	}, false},
	{"the tasks fail and start again", func(c *cluster, machine *agent.Agent) {
		machine.SetTasksFailing(true)
		c.submit(newSubmission(submission{ID: "wk-3", Kind: wire.KindArray, Team: "blue", Priority: "normal", Tasks: 6, CPUs: 1, EstimateS: 3}))
		time.Sleep(5 * time.Second)
		machine.SetTasksFailing(false)
	}, false},
	{"the tasks complete", func(*cluster, *agent.Agent) { time.Sleep(40 * time.Second) }, false},
}

// copyDelays are the times between an answered start and its copies, and between the copies.
var copyDelays = []time.Duration{70 * time.Millisecond, 900 * time.Millisecond, 7 * time.Second}

// runLateCopies runs arrays and a service whose direct starts are executed again and again, and makes
// the change before and after the return, and once more.
func (c *cluster) runLateCopies(comeback comeback, change taskChange) {
	copied := c.copyStarts()
	c.env.Cloud.SetCapacity(3)
	c.submit(newSubmission(submission{ID: "wk-1", Kind: wire.KindArray, Team: "blue", Priority: "low", Tasks: 10, CPUs: 2, EstimateS: 30}))
	c.submit(newSubmission(submission{ID: "wk-2", Kind: wire.KindService, Team: "blue", Priority: "low", Tasks: 2, CPUs: 1}))
	c.await("the array and the service run", time.Minute, func() bool {
		return c.env.CountRunningTasks("wk-1") > 4 && c.env.CountRunningTasks("wk-2") == 2
	})
	machine := c.agentWithJob("wk-1")
	comeback.happen(c, machine)
	change.happen(c, machine)
	comeback.happen(c, machine)
	time.Sleep(20 * time.Second)
	comeback.happen(c, machine)
	if !change.cancels {
		c.awaitDone("wk-1", 5*time.Minute)
	}
	c.await("the service runs", 2*time.Minute, func() bool { return c.env.CountRunningTasks("wk-2") == 2 })
	c.cancelJob("wk-2")
	time.Sleep(time.Minute) // a copied start of a cancelled task would break a rule too
	if copied.Load() == 0 {
		c.t.Error("no start was copied, want some")
	}
}

// copyStarts makes the network execute direct requests with a start again and again once they were
// answered. It returns the number of these requests.
func (c *cluster) copyStarts() *atomic.Int64 {
	copied := &atomic.Int64{}
	for i, n := range c.nodes {
		n.transport.SetRepeatDelay(copyDelays[i%len(copyDelays)], 0)
	}
	c.setFaultPolicies(func(r *http.Request) network.Fault {
		if !isAgentRequest(r) || !c.carriesStart(r) {
			return network.Deliver
		}
		copied.Add(1)
		return network.RepeatOften
	})
	return copied
}

// carriesStart reports whether a direct request has a start command.
func (c *cluster) carriesStart(r *http.Request) bool {
	return slices.ContainsFunc(c.directCommandsIn(r), isStartCommand)
}

// carriesStartOf reports whether a direct request has a start command of a job.
func (c *cluster) carriesStartOf(r *http.Request, job string) bool {
	return slices.ContainsFunc(c.directCommandsIn(r), func(command wire.Command) bool {
		return isStartCommand(command) && trace.JobID(command.Task) == job
	})
}

// directCommandsIn returns the commands of a direct request.
func (c *cluster) directCommandsIn(r *http.Request) []wire.Command {
	if r.GetBody == nil {
		return nil
	}
	body, err := r.GetBody()
	if err != nil {
		c.t.Error(err)
		return nil
	}
	defer body.Close()
	var request wire.CommandRequest
	if err := json.NewDecoder(body).Decode(&request); err != nil {
		c.t.Error(err)
	}
	return request.Commands
}
