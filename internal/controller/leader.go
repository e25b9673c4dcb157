package controller

import (
	"time"
)

// leader decides for the whole cluster while this controller leads: which partition gets
// which tasks, within the teams' quotas, and which machines are on loan to its own
// partition.
type leader struct {
	*clusterState
	leadership leadership
}

// leadership is what only the leader knows. It is rebuilt after a failover.
type leadership struct {
	// epoch is the revision of the write that elected this leader: it tells the times apart
	// in which this controller leads.
	epoch uint64
	// token is the fencing token, the present revision of the leader's key.
	token uint64
	// active is set once everything that a former leader stored has been read.
	active    bool
	startedAt time.Time
	// writesInFlight counts decisions that are not known to be stored, see submitDecision.
	writesInFlight int
	usageLoggedAt  time.Time
	// owners are the partitions' owners, by partition, see updateOwnerLiveness.
	owners      []ownerLiveness
	gangReserve gangReserve
}

// becomeLeader begins a leadership that a write of that revision gave to this controller.
func (c *leader) becomeLeader(revision uint64) {
	c.leadership = leadership{epoch: revision, token: revision, startedAt: c.now}
	c.autoscaler.StartTerm()
	// A former leader's late writes fail by its fencing token; what it did store is read
	// before anything is assigned.
	c.reader.AfterSuccessfulRead(func() {
		if c.leadership.epoch == revision {
			c.leadership.active = true
		}
	})
}

// isLeader tells whether this controller acts as the leader now.
func (c *leader) isLeader() bool { return c.leadership.active && c.isFresh(c.operator.LeaseTTL) }

// runLeaderPass is one step of the leader: it assigns work to partitions, and launches and
// terminates machines.
func (c *leader) runLeaderPass() {
	if !c.isLeader() {
		return
	}
	defer c.metrics.addBusyTime(activityPlanning, time.Now())
	c.finishJobs()
	c.updateOwnerLiveness()
	summaries := c.machineSummaries() // first: it notes which machines are up
	c.autoscaler.DetectIsolatedZones()
	// What is lost is terminated at once, however long it takes until assignments are
	// stored: others' tasks wait for the proof.
	c.autoscaler.TerminateLost()
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
	demands := c.assignWaitingTasks(summaries)
	c.autoscaler.Scale(c.workload(summaries, demands))
}

// handleDecisionResult notes that a decision of the leader has been answered. After a write that
// failed the replica is read before anything more is decided: it may have been applied all
// the same.
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
