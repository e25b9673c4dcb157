package controller

import (
	"time"

	"eiderhitch/internal/workerclient"
)

// schedule are when the actor's duties are next due.
type schedule struct{ status, metrics, leader, pass time.Time }

// runPass has the parts decide. Steps that take long are taken less often: reports,
// renewals and users must not wait for them.
func (c *controller) runPass(due *schedule, now time.Time) {
	c.passDue = false
	c.schedulePartitions()
	due.pass = now.Add(max(minPassInterval, passRestFactor*time.Since(now)))
}

// maxPlanningDelay is how long the leader's planning waits for reports that wait.
const maxPlanningDelay = time.Second

// onTick does what is due by the time.
func (c *controller) onTick(due *schedule) {
	c.now = time.Now()
	if !c.lastTick.IsZero() {
		c.metrics.noteLag(c.now.Sub(c.lastTick) - tickInterval)
		if c.now.Sub(c.lastTick) > pauseThreshold {
			c.resumedFromPauseAt = c.now
		}
		if c.lagging() {
			c.lastLaggedAt = c.now
		}
	}
	c.lastTick = c.now
	if serves := c.isFresh(c.maxStaleness); serves != c.acceptsHeartbeats {
		c.acceptsHeartbeats = serves
		if serves && c.lastHeartbeatAt.After(c.startedAt) {
			c.heartbeatsResumedAt = c.now
		}
	}
	c.UpdateReadiness()
	if !c.replica.Loaded() {
		return
	}
	c.campaign()
	c.advanceRollout()
	c.stepDownIfUnreachable()
	c.autoscaler.Sync()
	if !c.now.Before(due.pass) {
		c.runPass(due, c.now)
	}
	if wait := c.now.Sub(due.leader); wait >= 0 && (wait > maxPlanningDelay || !c.events.hasBefore(priorityUsers)) {
		begun := time.Now()
		c.runLeader()
		due.leader = c.now.Add(max(2*tickInterval, passRestFactor*time.Since(begun)))
	}
	if !c.now.Before(due.status) {
		due.status = c.now.Add(statusInterval)
		begun := time.Now()
		c.probeUnreachable()
		c.autoscaler.TerminateUnreachable()
		c.broadcastStatus()
		c.metrics.addBusyTime(activityStatus, begun)
	}
	if c.now.After(due.metrics) {
		due.metrics = c.now.Add(metricsInterval)
		c.archiveFinished(c.replica)
		c.metrics.log(c.log, len(c.jobs)+len(c.finished), len(c.machines), c.stateClient.Stats())
		c.logRollout(c.log)
	}
}

// maxLag is how late a tick is when answers to direct commands may well be here
// and not be looked at yet.
const maxLag = workerclient.PingTimeout / 4

// lagging tells whether this process gets so little processor time just now that it
// can't tell who is late: others or itself.
func (c *clusterState) lagging() bool {
	return !c.lastTick.IsZero() && c.now.Sub(c.lastTick) > tickInterval+maxLag
}

// laggedSince tells whether it did at any time since t.
func (c *clusterState) laggedSince(t time.Time) bool { return c.lagging() || c.lastLaggedAt.After(t) }
