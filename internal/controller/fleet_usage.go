package controller

import (
	"eiderhitch/internal/planning"
	"eiderhitch/internal/record"
	"eiderhitch/internal/scheduling"
)

// milliCPUsPerCPU is the number of units of scheduling.Resources.CPU that one CPU has.
const milliCPUsPerCPU = 1000

// logUsage logs every usageLogInterval how many CPUs the machines have and how many are free.
func (c *leader) logUsage(summaries []*planning.MachineSummary) {
	if c.now.Sub(c.leadership.usageLoggedAt) < usageLogInterval {
		return
	}
	c.leadership.usageLoggedAt = c.now
	var size, free, spot, spotFree scheduling.Resources
	for _, summary := range summaries {
		size, free = size.Plus(summary.Size), free.Plus(summary.FreeResources)
		if summary.Spot {
			spot, spotFree = spot.Plus(summary.Size), spotFree.Plus(summary.FreeResources)
		}
	}
	waiting, unplaced := c.countWaitingTasks()
	booting, draining := c.autoscaler.MachineCounts()
	c.log.Info("fleet", "up", len(summaries), "booting", booting,
		"cpus", size.CPU/milliCPUsPerCPU, "free_cpus", free.CPU/milliCPUsPerCPU,
		"spot_cpus", spot.CPU/milliCPUsPerCPU, "spot_free_cpus", spotFree.CPU/milliCPUsPerCPU,
		"draining", draining, "tasks_waiting", waiting, "tasks_unplaced", unplaced)
	c.logWaits()
}

// logWaits logs why tasks wait, as of the last pass, if any do.
func (c *leader) logWaits() {
	waits := c.autoscaler.WaitCounts()
	waits[planning.WaitsForLimit] += c.leadership.tasksOverLimit
	if waits.Total() > 0 {
		c.log.Info("tasks wait", "limit", waits[planning.WaitsForLimit], "room", waits[planning.WaitsForRoom],
			"launch", waits[planning.WaitsForLaunch], "completion", waits[planning.WaitsForCompletion], "offer", waits[planning.WaitsForOffer])
	}
}

// countWaitingTasks counts the tasks that are not assigned to a partition (waiting), and
// those that are assigned but not bound yet (unplaced).
func (c *catalog) countWaitingTasks() (waiting, unplaced int) {
	for _, job := range c.activeJobs {
		if job.finalState != record.StateUnfinished || job.spec == nil {
			continue
		}
		assigned, _ := job.countAssignedTasks()
		waiting += job.spec.TaskCount - assigned
		for _, group := range job.groups {
			unplaced += len(group.bindings) - group.boundTaskCount()
		}
	}
	return waiting, unplaced
}
