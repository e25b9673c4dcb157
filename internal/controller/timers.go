package controller

import (
	"time"

	"eiderhitch/internal/workerclient"
)

const (
	// tickInterval is how often the event loop looks at its timers.
	tickInterval = 100 * time.Millisecond
	// statusInterval is how often peers are told this controller's status.
	statusInterval = 500 * time.Millisecond
	// metricsInterval is how often the counters are logged.
	metricsInterval = 30 * time.Second
	// usageLogInterval is how often the leader logs the use of the machines.
	usageLogInterval = 10 * time.Second
	// pauseThreshold is how late a tick is when it is this process that did not run.
	pauseThreshold = time.Second
	// maxReadAge is how long ago the last successful read began at most while the key-value
	// store is well: a watch waits for a change for half of it.
	maxReadAge = 3 * time.Second
	// storeOutageGracePeriod is for how long reads fail, beyond that, until it is an outage.
	storeOutageGracePeriod = 3 * time.Second
	// minPassInterval is the least time between two scheduling passes.
	minPassInterval = 50 * time.Millisecond
	// minPlanningInterval is the least time between two passes of the leader's planning.
	minPlanningInterval = 2 * tickInterval
	// passIntervalFactor is how many times a pass's duration passes before the next.
	passIntervalFactor = 5
	// maxPlanningDelay is how long the leader's planning waits for heartbeats that wait.
	maxPlanningDelay = time.Second
	// maxLag is how late a tick is when answers to direct commands may well be here
	// and not be looked at yet.
	maxLag = workerclient.PingTimeout / 4
)

// schedule is when the event loop's timers are next due.
type timerDeadlines struct{ status, metrics, planning, pass time.Time }

// onTick does what is due by the time.
func (c *controller) onTick(due *timerDeadlines) {
	c.recordTick()
	c.checkStoreOutage()
	c.updateAcceptsHeartbeats()
	c.UpdateReadiness()
	if !c.replica.Loaded() {
		return
	}
	c.campaign()
	c.advanceRollout()
	c.stepDownIfUnreachable()
	c.autoscaler.Sync()
	c.runSchedulingPassIfDue(due)
	c.runPlanningIfDue(due)
	c.updateStatusIfDue(due)
	c.logMetricsIfDue(due)
}

// recordTick notes the time, and by how much the tick is late.
func (c *controller) recordTick() {
	c.now = time.Now()
	if !c.lastTickAt.IsZero() {
		sinceLast := c.now.Sub(c.lastTickAt)
		c.metrics.recordLag(sinceLast - tickInterval)
		if sinceLast > pauseThreshold {
			c.resumedFromPauseAt = c.now
			c.log.Info("process stood still", "lasted", (sinceLast - tickInterval).Round(time.Millisecond))
		}
		if c.isLagging() {
			c.lastLaggedAt = c.now
		}
	}
	c.lastTickAt = c.now
}

// checkStoreOutage notes whether the key-value store can be read.
func (c *controller) checkStoreOutage() {
	if c.isFresh(maxReadAge) {
		c.storeOutage.Answered(c.now)
	} else {
		c.storeOutage.Failed(c.now)
	}
}

// updateAcceptsHeartbeats notes whether heartbeats are answered, and since when they are
// again. No machine could be heard before.
func (c *controller) updateAcceptsHeartbeats() {
	accepts := c.isFresh(c.maxStaleness)
	if accepts == c.acceptsHeartbeats {
		return
	}
	c.acceptsHeartbeats = accepts
	if accepts && c.lastHeartbeatAt.After(c.startedAt) {
		c.heartbeatsResumedAt = c.now
	}
}

// runSchedulingPassIfDue runs a scheduling pass that no event has asked for.
func (c *controller) runSchedulingPassIfDue(due *timerDeadlines) {
	if !c.now.Before(due.pass) {
		c.runSchedulingPass(due, c.now)
	}
}

// runSchedulingPass runs a scheduling pass. Passes that take long are taken less often: heartbeats,
// lease renewals and users must not wait for them.
func (c *controller) runSchedulingPass(due *timerDeadlines, now time.Time) {
	c.passRequested = false
	c.schedulePartitions()
	due.pass = now.Add(max(minPassInterval, passIntervalFactor*time.Since(now)))
}

// runPlanningIfDue has the leader plan. Heartbeats and the key-value store's answers that wait
// come first, but not for long.
func (c *controller) runPlanningIfDue(due *timerDeadlines) {
	overdueBy := c.now.Sub(due.planning)
	if overdueBy < 0 || overdueBy <= maxPlanningDelay && c.events.hasEventsAbove(priorityUsers) {
		return
	}
	startedAt := time.Now()
	c.runLeaderPass()
	due.planning = c.now.Add(max(minPlanningInterval, passIntervalFactor*time.Since(startedAt)))
}

// updateStatusIfDue checks the machines and tells the peers this controller's status.
func (c *controller) updateStatusIfDue(due *timerDeadlines) {
	if c.now.Before(due.status) {
		return
	}
	due.status = c.now.Add(statusInterval)
	defer c.metrics.addBusyTime(activityStatus, time.Now())
	c.probeMachines()
	c.autoscaler.TerminateUnreachable()
	c.broadcastStatus()
}

// logMetricsIfDue logs the counters.
func (c *controller) logMetricsIfDue(due *timerDeadlines) {
	if !c.now.After(due.metrics) {
		return
	}
	due.metrics = c.now.Add(metricsInterval)
	c.archiveFinishedJobs(c.replica)
	c.metrics.logAndReset(c.log, len(c.jobs)+len(c.finalStates), len(c.machines), c.stateClient.Stats())
	c.logRollout(c.log)
}
