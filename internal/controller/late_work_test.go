package controller

import (
	"testing"
	"time"

	"eiderhitch/internal/wire"
)

const (
	// lateArrayEstimateS and lateArrayDeadlineS are the estimated run time and the deadline of
	// the arrays that become late, in seconds.
	lateArrayEstimateS = 20.0
	lateArrayDeadlineS = 60.0
	// lateAfter is the age from which no machine that is launched can be up in time for them.
	lateAfter = 45 * time.Second
	// maxLateRecovery is how long a late array may take once there are machines for it: two
	// run times, the boot time, image fetches, and the longest backoff of a launch.
	maxLateRecovery = 2 * time.Minute
)

// lateArray returns an array of two tasks, each of which needs most of a large machine.
func lateArray() *submission {
	job := newSubmission(submission{ID: "wk-1", Kind: wire.KindArray, Team: "blue", Priority: "normal", Tasks: 2, CPUs: 14, EstimateS: lateArrayEstimateS})
	job.DeadlineS = lateArrayDeadlineS
	return job
}

// startServiceOn starts a service of one task on a machine of the given type and waits until it runs.
func (c *cluster) startServiceOn(id, machineType string) {
	c.t.Helper()
	job := newSubmission(submission{ID: id, Kind: wire.KindService, Team: "blue", Priority: "production", Tasks: 1, CPUs: 4})
	job.MachineTypes = []string{machineType}
	c.submit(job)
	c.await(id+" runs", time.Minute, func() bool { return c.env.CountRunningTasks(id) == 1 })
}

// submitDuringOutage submits lateArray in an outage of the cloud's interface, which ends when the array
// is late. A machine of the given type runs a service.
func (c *cluster) submitDuringOutage(machineType string) {
	c.t.Helper()
	c.startServiceOn("wk-2", machineType)
	c.env.Cloud.SetUnavailable(true)
	c.submit(lateArray())
	time.Sleep(lateAfter)
	c.env.Cloud.SetUnavailable(false)
}

// An array that had become late never got a machine: the plan left its tasks to the capacity of the
// machines that there were, which only ran services and kept their capacity for good (review/7).
func TestLateArrayRuns(t *testing.T) {
	for _, row := range []struct {
		name string
		// makeLate submits lateArray, and returns when the array is late and there are machines
		// for it.
		makeLate func(c *cluster)
	}{
		{"the cloud's interface is down", func(c *cluster) { c.submitDuringOutage("large") }},
		{"the cloud has no capacity", func(c *cluster) {
			c.startServiceOn("wk-2", "large")
			capacity := c.env.Cloud.SetCapacity(0)
			c.submit(lateArray())
			time.Sleep(lateAfter)
			c.env.Cloud.SetCapacity(capacity)
		}},
		{"a machine stops under its task", func(c *cluster) {
			c.startServiceOn("wk-2", "large")
			c.submit(lateArray())
			c.await("the array runs", time.Minute, func() bool { return c.env.CountRunningTasks("wk-1") == 2 })
			c.env.Cloud.SetUnavailable(true)
			for _, agent := range c.env.Cloud.Agents() {
				if agent.TaskState("wk-1/0") != "" || agent.TaskState("wk-1/1") != "" {
					agent.Terminate()
				}
			}
			time.Sleep(lateAfter)
			c.env.Cloud.SetUnavailable(false)
		}},
		{"all controllers are away", func(c *cluster) {
			c.startServiceOn("wk-2", "large")
			job := lateArray()
			job.DeadlineS = lateArrayEstimateS + 10
			c.submit(job)
			c.killAll()
			time.Sleep(c.env.LeaseTTL / 2) // the service keeps its machine
			c.startAll()
		}},
		{"the machines are too small for its tasks", func(c *cluster) { c.submitDuringOutage("small") }},
	} {
		t.Run(row.name, func(t *testing.T) {
			runCluster(t, func(c *cluster) {
				row.makeLate(c)
				c.awaitDone("wk-1", maxLateRecovery)
			})
		})
	}
}

// A late array waits for the tasks that use its machines, and saves the price of further machines, but
// not for longer than until it is overdue: these tasks may run for hours (review/7).
func TestLateArrayWaitsForTasksUntilOverdue(t *testing.T) {
	runCluster(t, func(c *cluster) {
		longArray := newSubmission(submission{ID: "wk-2", Kind: wire.KindArray, Team: "blue", Priority: "normal", Tasks: 1, CPUs: 14, EstimateS: 3600})
		c.submit(longArray)
		c.await("the long task runs", time.Minute, func() bool { return c.env.CountRunningTasks("wk-2") == 1 })
		capacity := c.env.Cloud.SetCapacity(0)
		c.submit(lateArray())
		submittedAt := time.Now()
		time.Sleep(lateAfter)
		c.env.Cloud.SetCapacity(capacity)
		time.Sleep(time.Minute)
		if machines := len(c.env.Cloud.Agents()); machines != 1 {
			t.Errorf("%d machines while the late array waits for a task to complete, want 1", machines)
		}
		const overdueAfter = 4 * time.Minute
		c.awaitDone("wk-1", time.Until(submittedAt.Add(overdueAfter+maxLateRecovery)))
	})
}
