package controller

import (
	"time"

	"eiderhitch/internal/workerclient"
)

const (
	// tickInterval is the interval at which the event loop checks its timers.
	tickInterval = 100 * time.Millisecond
	// statusInterval is the interval at which this controller sends its status to its peers.
	statusInterval = 500 * time.Millisecond
	// metricsInterval is the interval at which the counters are logged.
	metricsInterval = 30 * time.Second
	// ownershipLogInterval is the interval at which the leased keys that this controller holds
	// are logged.
	ownershipLogInterval = 10 * time.Second
	// usageLogInterval is the interval at which the leader logs the use of the machines.
	usageLogInterval = 10 * time.Second
	// pauseThreshold is the time between two ticks above which this process is considered to
	// have been paused.
	pauseThreshold = time.Second
	// maxReadAge is the maximum time since the start of the last successful read while the
	// key-value store is healthy. A watch waits for a change for half of it.
	maxReadAge = 3 * time.Second
	// storeOutageGracePeriod is how long reads have to be overdue, beyond maxReadAge, before
	// that counts as an outage.
	storeOutageGracePeriod = 3 * time.Second
	// minPassInterval is the minimum time between the starts of two scheduling passes.
	minPassInterval = 50 * time.Millisecond
	// minPlanningInterval is the minimum time between the starts of two planning passes of
	// the leader.
	minPlanningInterval = 2 * tickInterval
	// passIntervalFactor is the minimum interval between two passes as a multiple of the
	// duration of the first one.
	passIntervalFactor = 5
	// maxPlanningDelay is how long the leader's planning is delayed at most while events of
	// the key-value store or of workers are queued.
	maxPlanningDelay = time.Second
	// maxLag is the delay of a tick above which responses to direct commands may have arrived
	// without having been processed yet.
	maxLag = workerclient.PingTimeout / 4
)

// timerDeadlines holds the times at which the event loop's timers are next due. A zero time is
// due at once.
type timerDeadlines struct{ status, metrics, ownership, planning, pass time.Time }

// onTick updates the controller's view of its own health and runs the timers that are due.
// Before all records have been read, it does only the former.
func (c *controller) onTick(due *timerDeadlines) {
	c.recordTick()
	c.checkStoreOutage()
	c.updateAcceptsHeartbeats()
	c.UpdateReadiness()
	if !c.replica.IsLoaded() {
		return
	}
	c.campaign()
	c.advanceRollout()
	c.stepDownIfUnreachable()
	c.autoscaler.SyncWithCloud()
	c.runSchedulingPassIfDue(due)
	c.runPlanningIfDue(due)
	c.updateStatusIfDue(due)
	c.logOwnershipIfDue(due)
	c.logMetricsIfDue(due)
}

// recordTick updates the current time and records by how much the tick is late.
func (c *controller) recordTick() {
	c.now = time.Now()
	if !c.lastTickAt.IsZero() {
		sinceLast := c.now.Sub(c.lastTickAt)
		c.metrics.recordLag(sinceLast - tickInterval)
		if sinceLast > pauseThreshold {
			c.resumedFromPauseAt = c.now
			c.log.Info("process was paused", "lasted", (sinceLast - tickInterval).Round(time.Millisecond))
		}
		if c.isLagging() {
			c.lastLaggedAt = c.now
		}
	}
	c.lastTickAt = c.now
}

// checkStoreOutage updates the outage monitor of the key-value store.
func (c *controller) checkStoreOutage() {
	if c.isFresh(maxReadAge) {
		c.storeOutage.ReportSuccess(c.now)
	} else {
		c.storeOutage.ReportFailure(c.now)
	}
}

// updateAcceptsHeartbeats updates whether this controller answers heartbeats. When it does so
// again after an interruption, the time is recorded, because no heartbeat could be received until
// then.
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

// runSchedulingPassIfDue runs a scheduling pass if its interval has elapsed, even if no event has
// requested one.
func (c *controller) runSchedulingPassIfDue(due *timerDeadlines) {
	if !c.now.Before(due.pass) {
		c.runSchedulingPass(due, c.now)
	}
}

// runSchedulingPass runs a scheduling pass that begins at now. The longer a pass takes, the less
// often passes run, so that they do not delay heartbeats, lease renewals and user requests.
func (c *controller) runSchedulingPass(due *timerDeadlines, now time.Time) {
	c.passRequested = false
	c.schedulePartitions()
	due.pass = now.Add(max(minPassInterval, passIntervalFactor*time.Since(now)))
}

// runPlanningIfDue runs the leader's planning if its interval has elapsed. Queued events of the
// key-value store and of workers are processed first, but delay it by at most maxPlanningDelay.
func (c *controller) runPlanningIfDue(due *timerDeadlines) {
	overdueBy := c.now.Sub(due.planning)
	if overdueBy < 0 || overdueBy <= maxPlanningDelay && c.events.hasEventsAbove(priorityUsers) {
		return
	}
	startedAt := time.Now()
	c.runLeaderPass()
	due.planning = c.now.Add(max(minPlanningInterval, passIntervalFactor*time.Since(startedAt)))
}

// updateStatusIfDue probes silent machines, terminates unreachable ones and sends this
// controller's status to its peers if the interval has elapsed.
func (c *controller) updateStatusIfDue(due *timerDeadlines) {
	if c.now.Before(due.status) {
		return
	}
	due.status = c.now.Add(statusInterval)
	defer c.metrics.addBusyTime(activityStatus, time.Now())
	c.probeMachines()
	c.autoscaler.TerminateUnreachableMachines()
	c.broadcastStatus()
}

// logMetricsIfDue archives finished jobs and logs the counters if the interval has elapsed.
func (c *controller) logMetricsIfDue(due *timerDeadlines) {
	if !c.now.After(due.metrics) {
		return
	}
	due.metrics = c.now.Add(metricsInterval)
	c.archiveFinishedJobs(c.replica)
	c.metrics.logAndReset(c.log, len(c.jobs)+len(c.finalStates), len(c.machines), c.storeClient.TakeStats())
	c.logRollout(c.log)
}
