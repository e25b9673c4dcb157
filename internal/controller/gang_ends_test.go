package controller

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"eiderhitch/internal/simulation/agent"
	"eiderhitch/internal/simulation/network"
	"eiderhitch/internal/wire"
)

// A gang lost a machine before it ran, and the write that stored the lost tasks was executed
// while its response was lost, so the owner still regarded the tasks of attempt 1 as ended.
// Replacement tasks have the same attempt number, so their bindings on other machines counted as
// ended too. The owner stored an end that was not proven and never released the cells'
// reservations, and the tasks were bound and ended again every second without ever running. Seen
// with seed 304.
func TestGangMembersAreReplacedAfterLostWriteResponse(t *testing.T) {
	runCluster(t, func(c *cluster) {
		const services, remaining = 18, 2
		c.startServices(services, 2)
		for i := range services - remaining {
			c.cancelJob(fmt.Sprintf("wk-%d", i+1))
		}
		gang := gangSubmission("wk-99", "blue", "urgent", 4, 20)
		gang.ImageGB, gang.Image, gang.MachineTypes = 7, "gang", []string{"small"}
		c.submit(gang)
		c.await("the gang is bound", time.Minute, func() bool { return c.attemptCounts("wk-99")[1] == 4 })
		time.Sleep(4 * time.Second)
		c.setFaultPolicies(dropOneResponse("e/group/wk-99/"))
		c.agentWithJob("wk-99").Restart()
		c.await("all tasks of the gang run", time.Minute, func() bool { return c.env.CountRunningTasks("wk-99") == 4 })
		for i := range c.nodes {
			c.checkPartitions(i)
		}
		c.agentWithJob("wk-99").Restart()
		c.awaitDone("wk-99", 2*time.Minute)
	})
}

// dropOneResponse returns a policy that drops the response to the first transaction that writes a
// key with the prefix.
func dropOneResponse(prefix string) network.FaultPolicy {
	var lost atomic.Bool
	return func(r *http.Request) network.Fault {
		if isTransactionRequest(r) && strings.Contains(requestBody(r), `"write":"`+prefix) && lost.CompareAndSwap(false, true) {
			return network.DropResponse
		}
		return network.Deliver
	}
}

// requestBody returns a copy of a request's body, or "" if it can't be read.
func requestBody(r *http.Request) string {
	body, err := r.GetBody()
	if err != nil {
		return ""
	}
	defer body.Close()
	raw, err := io.ReadAll(body)
	if err != nil {
		return ""
	}
	return string(raw)
}

// A gang's tasks complete together, so the first task shown as done completes the job. The owner
// dropped the bindings of all its tasks at that point, although a task on a machine that hangs
// stays there until the machine resumes. Its room and its share of the quota went to other tasks
// of the team, which then exceeded its quota. Seen with seed 138.
func TestDoneGangCountsTowardQuotaUntilTasksEnd(t *testing.T) {
	runCluster(t, func(c *cluster) {
		const runTime, hangsBefore = 40 * time.Second, 1300 * time.Millisecond
		gang := gangSubmission("wk-1", "red", "urgent", 4, runTime.Seconds())
		gang.MachineTypes = []string{"small"}
		c.submit(gang)
		c.await("the gang runs", time.Minute, func() bool { return c.env.CountRunningTasks("wk-1") == 4 })
		started := time.Now()
		// Two machines, with room for all that the team's quota allows once the gang is done.
		c.submit(newSubmission(submission{ID: "wk-3", Kind: wire.KindService, Team: "blue", Priority: "urgent", Tasks: 1, CPUs: 6, MachineTypes: []string{"large"}}))
		c.submit(newSubmission(submission{ID: "wk-2", Kind: wire.KindArray, Team: "red", Priority: "normal", Tasks: 60, CPUs: 1, EstimateS: 300, MachineTypes: []string{"large"}}))
		c.await("the array runs as many tasks as the quota leaves", runTime/2, func() bool { return c.env.CountRunningTasks("wk-2") == 16 })
		time.Sleep(runTime - time.Since(started) - hangsBefore)
		hangingAgent := c.agentWithJob("wk-1")
		hangingAgent.SetHanging(true)
		c.await("the gang is done", 10*time.Second, func() bool { return c.jobState("wk-1") == wire.StateDone })
		if n := countTasksOn(hangingAgent, "wk-1", 4); n == 0 {
			t.Error("the machine that hangs has no task of the gang, want at least one")
		}
		time.Sleep(4 * time.Second)
		hangingAgent.SetHanging(false)
		c.await("the array runs as many tasks as the quota allows", time.Minute, func() bool { return c.env.CountRunningTasks("wk-2") == 24 })
		c.await("no binding of the gang is left", time.Minute, func() bool { return c.countBindings("wk-1") == 0 })
	})
}

// countBindings returns the number of a job's tasks that are not done, according to the first
// running controller.
func (c *cluster) countBindings(id string) int {
	count := 0
	for _, attempts := range c.attemptCounts(id) {
		count += attempts
	}
	return count
}

// countTasksOn returns how many of a job's tasks are on a machine.
func countTasksOn(machine *agent.Agent, job string, tasks int) int {
	count := 0
	for number := range tasks {
		if machine.TaskState(fmt.Sprint(job, "/", number)) != "" {
			count++
		}
	}
	return count
}
