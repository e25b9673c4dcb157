package controller

import (
	"cmp"
	"slices"
	"time"

	"eiderhitch/internal/record"
	"eiderhitch/internal/scheduling"
	"eiderhitch/internal/workerclient"
)

// partitionOwner places tasks on the machines of the partitions that this controller owns,
// and sends commands to them.
type partitionOwner struct {
	*clusterState
	workerClient *workerclient.Client
	directSlots  *workerclient.Slots[*machine]
}

// requestPass has the decisions taken soon: events in a burst share one pass.
func (c *clusterState) requestPass() { c.passDue = true }

// schedulePartitions takes the decisions of all parts that are ours.
func (c *partitionOwner) schedulePartitions() {
	defer c.metrics.addBusyTime(activityPartitions, time.Now())
	for _, p := range c.partitions {
		if p.active && c.isFresh(c.operator.LeaseTTL) {
			c.schedulePartition(p)
		}
	}
}

// schedulePartition lets the pending tasks of a part claim cells, highest claims first,
// and stores what changed: ended attempts and new bindings.
func (c *partitionOwner) schedulePartition(p *partition) {
	p.removeMachines(func(m *machine) bool { return m.terminated && len(m.bindings) == 0 })
	for _, m := range p.machines {
		if len(m.bindings) > 0 && (m.terminated || c.leaseExpired(m, p)) {
			c.endAllAttempts(m, "its lease is over")
		}
	}
	c.schedulingPass++
	byUrgency := c.byUrgency()
	// Most records have nothing to do: all their tasks run.
	var mine []*taskGroup
	for _, group := range p.groups {
		if group.job.spec != nil && (group.hasUnstoredEnds || group.size > c.maxValueBytes() || group.job.finalState == record.Unfinished && group.boundCount < len(group.bindings)) {
			mine = append(mine, group)
		}
	}
	slices.SortFunc(mine, func(first, second *taskGroup) int {
		cx, cy := first.claim(), second.claim()
		return cmp.Or(cmp.Compare(cy.Priority, cx.Priority), compareBool(cy.Guaranteed, cx.Guaranteed), byUrgency(first.job, second.job), cmp.Compare(first.number, second.number))
	})
	full := map[placementClass]bool{}
	p.unplaced = 0
	for _, group := range mine {
		if !group.writing && group.job.finalState == record.Unfinished && !c.now.Before(group.job.retryAt) {
			c.placeGroup(p, group, full)
		}
	}
	for _, group := range mine {
		if !group.writing {
			c.storeGroup(p, group)
		}
	}
	for group := range p.foreignGroups {
		if c.groups[group.index] != group || !group.hasUnstoredEnds || group.partition == p.index {
			delete(p.foreignGroups, group)
		} else if !group.writing && group.job.spec != nil {
			c.storeGroup(p, group)
		}
	}
	c.rewriteGroups(p)
	c.stopGangs(p)
	c.acknowledgeLoans(p)
	if p.tokenRaiseDue {
		c.raiseToken(p)
	}
}

// placementClass is what decides where tasks may be placed: where there is no room for one,
// there is none for all others of the same shape.
type placementClass struct {
	equivalenceClass, zone string
	claim                  scheduling.Claim
	noPreemption           bool
}

// placeGroup asks for cells for a record's pending tasks: all of a service's first
// start together, everything else one by one. Tasks of one shape are alike, so
// the first that finds no room speaks for all behind it; full is what has found
// none in this step.
func (c *partitionOwner) placeGroup(p *partition, group *taskGroup, full map[placementClass]bool) {
	pending, busy, started := c.unplacedTasks(p, group)
	if over := len(pending) - max(0, group.allowedTasks()-(len(group.bindings)-len(pending))); over > 0 {
		pending = pending[:len(pending)-over]
	}
	if len(pending) == 0 {
		return
	}
	spec := group.job.spec
	if spec.Gang || spec.Service && !started {
		// All records of the job in this part are one group.
		for _, other := range group.job.groups {
			if other == group || other.partition != p.index {
				continue
			}
			if other.number < group.number {
				return // asked for with the first record
			}
			more, otherBusy, otherStarted := c.unplacedTasks(p, other)
			pending, busy, started = append(pending, more...), busy || otherBusy, started || otherStarted
		}
	}
	score := c.scorer(p, group)
	// An array's tasks wait a little before they stop others: cells come
	// free all the time, and what is stopped has run for nothing.
	s := placementClass{group.job.equivalenceClass, group.zone, group.claim(), !spec.AllOrNothing() && c.now.Sub(group.inPartitionSince) < c.operator.EvictAfter}
	// Where tasks end all the time, those at the head of the queue have a free cell
	// before long; only what is behind them stops others, until all have waited.
	patient := !spec.AllOrNothing() && c.now.Sub(group.inPartitionSince) < evictionPatience*c.operator.EvictAfter
	request := func(tasks ...scheduling.Task) bool {
		if patient && !s.noPreemption {
			s.noPreemption = p.unplaced < p.freedCellsWithin(c.now, c.operator.EvictAfter)
			defer func() { s.noPreemption = false }()
		}
		// Machines that failed a job are barred to it alone.
		alike := len(tasks) == 1 && len(group.job.failedOn) == 0
		if alike && full[s] {
			p.unplaced++
			return false
		}
		g := &scheduling.Group{Tasks: tasks, TaskSize: group.job.taskSize, Claim: s.claim, NoPreemption: s.noPreemption}
		p.cells.Request(g, score)
		switch g.State {
		case scheduling.Allocated:
			c.reserveCells(p, g)
		case scheduling.Preempting:
			c.metrics.count(countPreempting, g.Victims())
			c.log.Debug("group preempts", "job", group.job.id, "tasks", len(tasks))
			for _, mi := range g.Machines {
				c.sendCommandsNow(c.machineByIndex[mi])
			}
		case scheduling.Pending:
			full[s] = full[s] || alike
			p.unplaced++
		}
		return g.State != scheduling.Pending
	}
	if spec.Gang {
		c.placeGang(p, group, pending, request)
		return
	}
	if spec.Service && !started {
		request(pending...)
		return
	}
	for i, t := range pending {
		if !request(t) && (!patient || s.noPreemption || i >= p.freedCellsWithin(c.now, c.operator.EvictAfter)) {
			return
		}
	}
}

// evictionPatience is how many times evict-after a task at the head of the queue waits.
const evictionPatience = 2

// unplacedTasks lists a record's tasks that neither are nor claim to be anywhere;
// busy: others do; started: some have run before.
func (c *partitionOwner) unplacedTasks(p *partition, group *taskGroup) (out []scheduling.Task, busy, started bool) {
	for i := range group.bindings {
		bound := &group.bindings[i]
		t := group.task(bound.task)
		started = started || bound.attempt > 0
		there := bound.machine != nil
		if o, ok := c.attemptEnds[t]; there && ok && o.attempt == bound.attempt && !o.done && !group.job.spec.Gang {
			// Proven gone: its end and its next cell are stored together. Stored one
			// after the other, they had the replicas of some hundred dead machines
			// wait twice for the state service.
			there = false
		}
		if _, ok := p.reservations[t]; ok || there || p.cells.PreemptingGroup(t) != nil {
			busy = true
			continue
		}
		out = append(out, t)
	}
	return out, busy, started
}
