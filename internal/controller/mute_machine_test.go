package controller

import (
	"testing"
	"time"

	"eiderhitch/internal/simulation/agent"
	"eiderhitch/internal/wire"
)

// muteMachineScenario is a machine whose heartbeats are lost and which restarts shortly after the
// last one that arrived, while direct commands still reach it.
type muteMachineScenario struct {
	kind string // of the job that runs on the machine
	// restartDelay is the time from the last heartbeat to the restart. It is shorter than the time
	// for which a silent machine may be given tasks.
	restartDelay time.Duration
	restarts     int
}

// muteRestartDelay is just below the time for which a silent machine may be given tasks.
const muteRestartDelay = 2400 * time.Millisecond

// The lease of a session that only a direct answer has shown begins with the session.
func TestTaskRunsTwiceAfterMuteMachineRestarts(t *testing.T) {
	t.Parallel()
	for name, scenario := range map[string]muteMachineScenario{
		"array":         {wire.KindArray, muteRestartDelay, 1},
		"service":       {wire.KindService, muteRestartDelay, 1},
		"restart twice": {wire.KindArray, 2100 * time.Millisecond, 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runCluster(t, func(c *cluster) { c.runMuteMachine(scenario) })
		})
	}
}

// runMuteMachine runs a task on a machine that falls mute and restarts. Another machine has
// room for the task before the lease of the first one is over.
func (c *cluster) runMuteMachine(scenario muteMachineScenario) {
	c.env.Cloud.SetCapacity(2)
	c.submit(newSubmission(submission{ID: "wk-2", Kind: wire.KindService, Team: "blue", Priority: "normal", Tasks: 1, CPUs: 16, MachineTypes: []string{"large"}}))
	c.await("the service runs", time.Minute, func() bool { return c.env.CountRunningTasks("wk-2") == 1 })
	job := newSubmission(submission{ID: "wk-1", Kind: scenario.kind, Team: "blue", Priority: "normal", Tasks: 1, CPUs: 16, EstimateS: 300})
	job.ImageGB = 0
	c.submit(job)
	c.await("the job runs", time.Minute, func() bool { return c.env.CountRunningTasks("wk-1") == 1 })
	time.Sleep(c.nodes[0].maxStaleness()) // a former owner may answer heartbeats until then
	machine := c.agentWithJob("wk-1")
	c.muteAndRestart(machine, scenario)
	c.await("the task is started on the mute machine again", 2*time.Second, func() bool { return machine.TaskState("wk-1/0") != "" })
	time.Sleep(c.env.LeaseTTL / 2)
	c.cancelJob("wk-2")
	time.Sleep(c.env.LeaseTTL)
	c.await("the job runs elsewhere", time.Minute, func() bool { return c.env.CountRunningTasks("wk-1") == 1 })
}

// mute loses a machine's heartbeats from the second one from now on.
func (c *cluster) mute(machine *agent.Agent) {
	sent := make(chan struct{}, 1)
	machine.SetHeartbeatHook(func([]byte) {
		select {
		case sent <- struct{}{}:
		default:
		}
	})
	<-sent
	machine.SetHeartbeatHook(nil)
	time.Sleep(50 * time.Millisecond) // the heartbeat is answered
	machine.SetOutboundBlocked(true)
}

// muteAndRestart makes a machine mute and restarts it, once or again within a second.
func (c *cluster) muteAndRestart(machine *agent.Agent, scenario muteMachineScenario) {
	c.mute(machine)
	time.Sleep(scenario.restartDelay)
	for range scenario.restarts {
		machine.Restart()
		time.Sleep(300 * time.Millisecond)
	}
}
