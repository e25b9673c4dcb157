package controller

import (
	"time"

	"eiderhitch/internal/planning"
	"eiderhitch/internal/record"
	"eiderhitch/internal/scheduling"
	"eiderhitch/internal/store"
	"eiderhitch/internal/wire"
)

// leader decides for the whole cluster while this controller leads: which partition gets
// which tasks, within the teams' quotas, and which machines are lent to its own partition.
type leader struct {
	*clusterState
	leadership leadership
}

// leadership is what only the leader knows. It is rebuilt after a take-over.
type leadership struct {
	epoch          uint64 // version of the write that gave the lead: tells one lead from another
	token          uint64 // present version of the key; rises with each new term
	active         bool
	since          time.Time
	writesInFlight int // in flight
	assignAhead    []int
	usageLoggedAt  time.Time
	// since when, and by whom, each part is vouched for without a gap
	ownerInTouchSince []time.Time
	ownerInTouch      []string
	gangReserve       gangReserve
}

func (c *leader) becomeLeader(stamp uint64) {
	c.leadership = leadership{epoch: stamp, token: stamp, since: c.now}
	c.autoscaler.StartTerm()
	// A former leader's late writes fail by its key's version; what it did
	// store is read before anything is dealt.
	c.reader.AfterSuccessfulRead(func() {
		if c.leadership.epoch == stamp {
			c.leadership.active = true
		}
	})
}

// isLeader tells whether this controller acts as the leader now.
func (c *leader) isLeader() bool { return c.leadership.active && c.isFresh(c.operator.LeaseTTL) }

// runLeader assigns work to partitions and launches and terminates machines.
func (c *leader) runLeader() {
	if !c.isLeader() {
		return
	}
	defer c.metrics.addBusyTime(activityLeader, time.Now())
	c.finishJobs()
	c.updateOwnersInTouch()
	summaries := c.machineSummaries() // first: it notes which machines are up
	c.autoscaler.DetectIsolatedZones()
	// What is lost goes back at once, however long it takes until what is dealt is
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
	waiting := c.assign(summaries)
	c.autoscaler.Scale(c.workload(summaries, waiting))
}

// logUsage logs now and then how full the machines are.
func (c *leader) logUsage(summaries []*planning.MachineSummary) {
	if c.now.Sub(c.leadership.usageLoggedAt) < usageLogInterval {
		return
	}
	c.leadership.usageLoggedAt = c.now
	var size, free, spot, spotFree scheduling.Resources
	for _, summary := range summaries {
		size, free = size.Plus(summary.Size), free.Plus(summary.Free)
		if summary.Spot {
			spot, spotFree = spot.Plus(summary.Size), spotFree.Plus(summary.Free)
		}
	}
	waiting, dealt := 0, 0
	for _, job := range c.unfinished {
		if job.finalState == record.Unfinished && job.spec != nil {
			n, _ := job.assignedTasks()
			waiting += job.spec.Tasks - n
			for _, group := range job.groups {
				dealt += len(group.bindings) - group.boundTasks()
			}
		}
	}
	booting, draining := c.autoscaler.Counts()
	c.log.Info("fleet", "up", len(summaries), "booting", booting, "cpus", size.CPU/1000, "free_cpus", free.CPU/1000,
		"spot_cpus", spot.CPU/1000, "spot_free_cpus", spotFree.CPU/1000, "closing", draining,
		"tasks_waiting", waiting, "tasks_dealt", dealt)
}

// finishJobs ends jobs whose tasks are all done and clears up behind final ones.
func (c *leader) finishJobs() {
	c.archiveFinished(c.replica)
	budget := 8
	// What is over can wait while the state service has more to do.
	clear := c.stateWriter.Backlog() < time.Second
	for _, job := range c.unfinished {
		if budget == 0 {
			return
		}
		if job.revision == 0 || len(job.groups) == 0 {
			continue
		}
		if job.finalState == record.Unfinished && job.hasUnreadableRecords() {
			continue
		}
		if job.finalState == record.Unfinished {
			n, finished := job.assignedTasks()
			if job.spec != nil && !job.spec.Service && !job.finishing && n == finished && finished == job.spec.Tasks {
				budget--
				job.finishing = true
				c.SubmitWrite(&store.Write{
					Conditions: []wire.Condition{c.leaderCondition(), {Key: jobKey(job.id), Revision: job.revision}},
					Changes:    []wire.Change{{Put: jobKey(job.id), Value: record.JSON(record.Job{FinalState: record.Done})}},
				}, func(error) { job.finishing = false })
			}
			continue
		}
		for _, group := range job.groups {
			if budget == 0 || !clear || group.writing || group.boundTasks() > 0 {
				continue
			}
			budget--
			group.writing = true
			c.SubmitWrite(&store.Write{
				Conditions: []wire.Condition{c.leaderCondition(), {Key: group.key, Revision: group.revision}},
				Changes:    []wire.Change{{Delete: group.key}},
			}, func(err error) {
				if err != nil { // its owner wrote it meanwhile: not before that is known
					c.reader.AfterSuccessfulRead(func() { group.writing = false })
					return
				}
				group.writing = false
				job.releaseDetails(c.replica.Cursor())
			})
		}
	}
}

// leaderWriteDone counts a leader's write off. After a failed one the replica is
// read before anything more is dealt: it may have been applied all the same.
func (c *leader) leaderWriteDone(epoch uint64, err error) {
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
