package controller

import (
	"time"
)

// leader makes the decisions for the whole cluster while this controller holds the
// leadership: it assigns tasks to partitions within the teams' quotas, borrows machines for
// its own partition, and launches and terminates machines.
type leader struct {
	*clusterState
	leadership leadership
}

// leadership holds the state that only the leader has. It is discarded when the leadership is
// lost, and the next leader rebuilds its own. The zero value means that this controller
// doesn't lead.
type leadership struct {
	// epoch is the revision of the write that elected this leader. It distinguishes the terms
	// in which this controller leads.
	epoch uint64
	// token is the fencing token: the current revision of the leader's key.
	token uint64
	// isActive is set once everything that a former leader stored has been read.
	isActive bool
	// startedAt is when this controller became the leader.
	startedAt time.Time
	// writesInFlight is the number of decisions whose result is not known yet, see
	// submitDecision.
	writesInFlight int
	usageLoggedAt  time.Time
	// tasksOverLimit is the number of tasks that waited for their team's limit in the last pass.
	tasksOverLimit int
	// movedToOtherZone holds the jobs that the current pass moves to another zone. No further tasks
	// of them are assigned in it, since the replica still shows the former zone.
	movedToOtherZone map[*job]bool
	// owners holds the liveness of each partition's owner, by partition index, see
	// updateOwnerLiveness.
	owners      []ownerLiveness
	gangReserve gangReserve
}

// becomeLeader starts a term as leader. revision is that of the write that acquired the
// leader's key.
func (c *leader) becomeLeader(revision uint64) {
	c.leadership = leadership{epoch: revision, token: revision, startedAt: c.now}
	c.autoscaler.StartTerm()
	// Late writes of a former leader fail on its fencing token. Its earlier writes have to be
	// read before anything is assigned.
	c.reader.AfterSuccessfulRead(func() {
		if c.leadership.epoch == revision {
			c.leadership.isActive = true
		}
	})
}

// isLeader reports whether this controller may act as the leader now: its term is active and
// its replica is fresh.
func (c *leader) isLeader() bool { return c.leadership.isActive && c.isFresh(c.operator.LeaseTTL) }

// runLeaderPass runs one planning pass of the leader, which assigns tasks to partitions and
// launches and terminates machines. It does nothing if this controller isn't the leader.
func (c *leader) runLeaderPass() {
	if !c.isLeader() {
		return
	}
	defer c.metrics.addBusyTime(activityPlanning, time.Now())
	c.finishJobs()
	c.updateOwnerLiveness()
	summaries := c.machineSummaries() // comes first, since it reports to the autoscaler which machines are up
	c.autoscaler.DetectIsolatedZones()
	// Lost machines are terminated at once, without waiting for pending writes: their tasks
	// can't be placed again before the machines are proven to be gone.
	c.autoscaler.TerminateLostMachines()
	if c.leadership.writesInFlight > 0 {
		return
	}
	c.logUsage(summaries)
	c.updateReserve(summaries)
	c.reviewLoans()
	c.fillReserve(summaries)
	c.completeGangMoves()
	if c.leadership.writesInFlight > 0 {
		return
	}
	c.leadership.movedToOtherZone = map[*job]bool{}
	demands := c.assignWaitingTasks(summaries)
	c.autoscaler.Scale(c.workload(summaries, demands))
}

// handleDecisionResult is called with the result of a write that submitDecision submitted in
// the given epoch. A failed write may have been applied all the same, so the replica is read
// before the leader decides anything else.
func (c *leader) handleDecisionResult(epoch uint64, err error) {
	if c.leadership.epoch != epoch {
		return
	}
	if err == nil {
		c.leadership.writesInFlight--
		return
	}
	c.reader.AfterSuccessfulRead(func() {
		if c.leadership.epoch == epoch {
			c.leadership.writesInFlight--
		}
	})
}
