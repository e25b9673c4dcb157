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

// What happens: a gang that is given new machines is never finished: two of its tasks are bound
// and ended again every second, for good.
// Why: it lost a machine before it ran; the write that stored that was carried out and its answer
// lost, so the owner still remembered the ends of attempt 1. Replacements have the number of the
// attempt that they complete, so the new bindings of attempt 1, on other machines, counted as
// ended as well: an end that nothing had proven was stored, the reservations of the cells were
// never given up, and bound the tasks anew whenever they ended.
// Shown by (seed 304): "record write failed ... a condition failed", then "task bound" and
// "attempt ended" in turn for the same task and attempt=1, while no agent shows the task.
func TestGangMembersAreReplacedAfterLostWriteResponse(t *testing.T) {
	runCluster(t, func(c *cluster) {
		const services, left = 18, 2
		c.runServices(services, 2)
		for i := range services - left {
			c.cancelJob(fmt.Sprintf("wk-%d", i+1))
		}
		gang := gangSubmission("wk-99", "blue", "urgent", 4, 20)
		gang.ImageGB, gang.Image, gang.MachineTypes = 7, "gang", []string{"small"}
		c.submit(gang)
		c.await("it is placed", time.Minute, func() bool { return c.attemptCounts("wk-99")[1] == 4 })
		time.Sleep(4 * time.Second)
		c.setPolicies(dropOneResponse("e/group/wk-99/"))
		c.agentWithJob("wk-99").Restart()
		c.await("it runs", time.Minute, func() bool { return c.env.Running("wk-99") == 4 })
		for i := range c.nodes {
			c.checkPartitions(i)
		}
		c.agentWithJob("wk-99").Restart()
		c.awaitDone("wk-99", 2*time.Minute)
	})
}

// dropOneResponse has the answer to the first transaction lost that writes a key with a prefix.
func dropOneResponse(prefix string) network.Policy {
	var lost atomic.Bool
	return func(r *http.Request) network.Fault {
		if isTxnRequest(r) && strings.Contains(requestBody(r), `"write":"`+prefix) && lost.CompareAndSwap(false, true) {
			return network.DropResponse
		}
		return network.Deliver
	}
}

// requestBody is a copy of a request's body.
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

// What happens: a team's tasks exceed its limit by those of a gang that is done.
// Why: a gang's tasks complete together, so one that is shown as done speaks for all. The owner
// dropped the bindings of all of them with that, though a task whose machine hangs just then
// stays there until the machine goes on. Its room, and the team's limit, went to others.
// Shown by (seed 138): "job is over ... final_state=done" 2.5 s before the trace has the gang's
// task on the hanging machine stopped, and "tasks assigned" for the same team in between.
func TestDoneGangCountsTowardQuotaUntilTasksEnd(t *testing.T) {
	runCluster(t, func(c *cluster) {
		const runTime, hangsBefore = 40 * time.Second, 1300 * time.Millisecond
		gang := gangSubmission("wk-1", "red", "urgent", 4, runTime.Seconds())
		gang.MachineTypes = []string{"small"}
		c.submit(gang)
		c.await("the gang runs", time.Minute, func() bool { return c.env.Running("wk-1") == 4 })
		started := time.Now()
		// Two machines, with room for what the team may have once the gang is done.
		c.submit(newSubmission(submission{ID: "wk-3", Kind: wire.Service, Team: "blue", Priority: "urgent", Tasks: 1, CPUs: 6, MachineTypes: []string{"large"}}))
		c.submit(newSubmission(submission{ID: "wk-2", Kind: wire.Array, Team: "red", Priority: "normal", Tasks: 60, CPUs: 1, EstimateS: 300, MachineTypes: []string{"large"}}))
		c.await("its team is at its limit", runTime/2, func() bool { return c.env.Running("wk-2") == 16 })
		time.Sleep(runTime - time.Since(started) - hangsBefore)
		hanging := c.agentWithJob("wk-1")
		hanging.SetHanging(true)
		c.await("it is done", 10*time.Second, func() bool { return c.state("wk-1") == wire.Done })
		if n := countTasksOn(hanging, "wk-1", 4); n == 0 {
			t.Error("the machine that hangs has no task of the gang, want one")
		}
		time.Sleep(4 * time.Second)
		hanging.SetHanging(false)
		c.await("all of the array's tasks are bound", time.Minute, func() bool { return c.env.Running("wk-2") == 24 })
		c.await("nothing is left of the gang's cells", time.Minute, func() bool { return c.countBindings("wk-1") == 0 })
	})
}

// countBindings counts the bindings of a job that controllers know.
func (c *cluster) countBindings(id string) int {
	count := 0
	for _, attempts := range c.attemptCounts(id) {
		count += attempts
	}
	return count
}

// countTasksOn counts the tasks of a job that are on a machine.
func countTasksOn(machine *agent.Agent, job string, tasks int) int {
	count := 0
	for number := range tasks {
		if machine.TaskState(fmt.Sprint(job, "/", number)) != "" {
			count++
		}
	}
	return count
}
