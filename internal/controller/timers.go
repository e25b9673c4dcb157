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
	// passRestFactor is how many times a pass's duration passes before the next.
	passRestFactor = 5
	// maxPlanningDelay is how long the leader's planning waits for heartbeats that wait.
	maxPlanningDelay = time.Second
	// maxLag is how late a tick is when answers to direct commands may well be here
	// and not be looked at yet.
	maxLag = workerclient.PingTimeout / 4
)

// schedule is when the event loop's timers are next due.
type schedule struct{ status, metrics, leader, pass time.Time }

// onTick does what is due by the time.
func (c *controller) onTick(due *schedule) {
	c.noteTick()
	c.noteStoreOutage()
	c.updateAcceptsHeartbeats()
	c.UpdateReadiness()
	if !c.replica.Loaded() {
		return
	}
	c.campaign()
	c.advanceRollout()
	c.stepDownIfUnreachable()
	c.autoscaler.Sync()
	c.passTimer(due)
	c.planningTimer(due)
	c.statusTimer(due)
	c.metricsTimer(due)
}

// noteTick notes the time, and by how much the tick is late.
func (c *controller) noteTick() {
	c.now = time.Now()
	if !c.lastTick.IsZero() {
		sinceLast := c.now.Sub(c.lastTick)
		c.metrics.noteLag(sinceLast - tickInterval)
		if sinceLast > pauseThreshold {
			c.resumedFromPauseAt = c.now
			c.log.Info("process stood still", "lasted", (sinceLast - tickInterval).Round(time.Millisecond))
		}
		if c.lagging() {
			c.lastLaggedAt = c.now
		}
	}
	c.lastTick = c.now
}

// noteStoreOutage notes whether the key-value store can be read.
func (c *controller) noteStoreOutage() {
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

// passTimer runs a scheduling pass that no event has asked for.
func (c *controller) passTimer(due *schedule) {
	if !c.now.Before(due.pass) {
		c.runPass(due, c.now)
	}
}

// runPass runs a scheduling pass. Passes that take long are taken less often: heartbeats,
// lease renewals and users must not wait for them.
func (c *controller) runPass(due *schedule, now time.Time) {
	c.passDue = false
	c.schedulePartitions()
	due.pass = now.Add(max(minPassInterval, passRestFactor*time.Since(now)))
}

// planningTimer has the leader plan. Heartbeats and the key-value store's answers that wait
// come first, but not for long.
func (c *controller) planningTimer(due *schedule) {
	late := c.now.Sub(due.leader)
	if late < 0 || late <= maxPlanningDelay && c.events.hasBefore(priorityUsers) {
		return
	}
	begun := time.Now()
	c.runLeaderPass()
	due.leader = c.now.Add(max(minPlanningInterval, passRestFactor*time.Since(begun)))
}

// statusTimer checks the machines and tells the peers this controller's status.
func (c *controller) statusTimer(due *schedule) {
	if c.now.Before(due.status) {
		return
	}
	due.status = c.now.Add(statusInterval)
	defer c.metrics.addBusyTime(activityStatus, time.Now())
	c.probeMachines()
	c.autoscaler.TerminateUnreachable()
	c.broadcastStatus()
}

// metricsTimer logs the counters.
func (c *controller) metricsTimer(due *schedule) {
	if !c.now.After(due.metrics) {
		return
	}
	due.metrics = c.now.Add(metricsInterval)
	c.archiveFinishedJobs(c.replica)
	c.metrics.log(c.log, len(c.jobs)+len(c.finalStates), len(c.machines), c.stateClient.Stats())
	c.logRollout(c.log)
}
