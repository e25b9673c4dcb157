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

// evictionPatience is how many times evict-after a task at the head of the queue waits.
const evictionPatience = 2

// schedulePartitions runs a scheduling pass over all partitions that this controller owns.
func (c *partitionOwner) schedulePartitions() {
	defer c.metrics.addBusyTime(activityPartitions, time.Now())
	for _, p := range c.partitions {
		if p.active && c.isFresh(c.operator.LeaseTTL) {
			c.schedulePartition(p)
		}
	}
}

// schedulePartition reserves cells for the pending tasks of a partition, those of the highest
// priority first, and stores what changed: ended attempts and new bindings.
func (c *partitionOwner) schedulePartition(p *partition) {
	p.removeMachines(func(m *machine) bool { return m.terminated && len(m.bindings) == 0 })
	c.endExpiredAttempts(p)
	c.schedulingPass++
	groups := c.groupsToSchedule(p)
	c.placeGroups(p, groups)
	c.storeGroups(p, groups)
	c.storeForeignGroups(p)
	c.rewriteGroups(p)
	c.stopGangs(p)
	c.acknowledgeLoans(p)
	if p.tokenRaiseDue {
		c.raiseToken(p)
	}
}

// endExpiredAttempts ends the attempts on machines that are terminated or whose leases have
// expired.
func (c *partitionOwner) endExpiredAttempts(p *partition) {
	for _, m := range p.machines {
		if len(m.bindings) > 0 && (m.terminated || c.leaseExpired(m, p)) {
			c.endAllAttempts(m, "its lease is over")
		}
	}
}

// groupsToSchedule lists the task groups of a partition that a pass may change, in the order
// in which they may reserve cells. Most groups have nothing to do: all their tasks run.
func (c *partitionOwner) groupsToSchedule(p *partition) []*taskGroup {
	byUrgency := c.byUrgency()
	var groups []*taskGroup
	for _, group := range p.groups {
		if c.needsScheduling(group) {
			groups = append(groups, group)
		}
	}
	slices.SortFunc(groups, func(first, second *taskGroup) int {
		claim, other := first.claim(), second.claim()
		return cmp.Or(
			cmp.Compare(other.Priority, claim.Priority),
			compareBool(other.Guaranteed, claim.Guaranteed),
			byUrgency(first.job, second.job),
			cmp.Compare(first.number, second.number))
	})
	return groups
}

// needsScheduling tells whether a task group has ends to store, is stored in too large a
// form, or waits for cells.
func (c *partitionOwner) needsScheduling(group *taskGroup) bool {
	if group.job.spec == nil {
		return false
	}
	waits := group.job.finalState == record.Unfinished && group.boundCount < len(group.bindings)
	return group.hasUnstoredEnds || group.size > c.maxValueBytes() || waits
}

// placeGroups reserves cells for the task groups that wait for them.
func (c *partitionOwner) placeGroups(p *partition, groups []*taskGroup) {
	clear(p.exhausted)
	p.unplaced = 0
	for _, group := range groups {
		if !group.writing && group.job.finalState == record.Unfinished && !c.now.Before(group.job.retryAt) {
			c.placeGroup(p, group)
		}
	}
}

// storeGroups stores what changed of a partition's task groups.
func (c *partitionOwner) storeGroups(p *partition, groups []*taskGroup) {
	for _, group := range groups {
		if !group.writing {
			c.storeGroup(p, group)
		}
	}
}

// storeForeignGroups stores the ends of other partitions' tasks on machines of this one.
func (c *partitionOwner) storeForeignGroups(p *partition) {
	for group := range p.foreignGroups {
		if c.groups[group.index] != group || !group.hasUnstoredEnds || group.partition == p.index {
			delete(p.foreignGroups, group)
		} else if !group.writing && group.job.spec != nil {
			c.storeGroup(p, group)
		}
	}
}

// placementClass is what decides where tasks may be placed: where there is no room for one,
// there is none for all others of the same class.
type placementClass struct {
	equivalenceClass, zone string
	claim                  scheduling.Claim
	noPreemption           bool
}

// placement is the search for cells for the pending tasks of one task group.
type placement struct {
	owner     *partitionOwner
	partition *partition
	group     *taskGroup
	class     placementClass
	score     scheduling.ScoreFunc
	// patient: the group may preempt only where too few cells come free by themselves.
	patient bool
}

// newPlacement prepares the search for one task group. An array's tasks wait a little before
// they preempt others: cells come free all the time, and what is preempted has run for
// nothing.
func (c *partitionOwner) newPlacement(p *partition, group *taskGroup) placement {
	waited := c.now.Sub(group.inPartitionSince)
	array := !group.job.spec.AllOrNothing()
	return placement{
		owner:     c,
		partition: p,
		group:     group,
		class: placementClass{
			equivalenceClass: group.job.equivalenceClass,
			zone:             group.zone,
			claim:            group.claim(),
			noPreemption:     array && waited < c.operator.EvictAfter,
		},
		score:   c.scorer(p, group),
		patient: array && waited < evictionPatience*c.operator.EvictAfter,
	}
}

// placeGroup reserves cells for a group's pending tasks: all of a gang, and all of a service
// that has never started, together, everything else one by one.
func (c *partitionOwner) placeGroup(p *partition, group *taskGroup) {
	pending, started := c.unplacedTasks(p, group)
	unthrottled := max(0, group.allowedTasks()-(len(group.bindings)-len(pending)))
	pending = pending[:min(len(pending), unthrottled)]
	if len(pending) == 0 {
		return
	}
	spec := group.job.spec
	if spec.Gang || spec.Service && !started {
		if !p.isFirstOfJob(group) {
			return
		}
		more, otherStarted := c.unplacedTasksOfOthers(p, group)
		pending, started = append(pending, more...), started || otherStarted
	}
	search := c.newPlacement(p, group)
	switch {
	case spec.Gang:
		if c.gangMayReserve(p, group) {
			search.request(pending...)
		}
	case spec.Service && !started:
		search.request(pending...)
	default:
		search.placeEach(pending)
	}
}

// isFirstOfJob tells whether a group is the job's first in a partition. Of a gang, or a service
// that has never started, the others are placed with it.
func (p *partition) isFirstOfJob(group *taskGroup) bool {
	for _, other := range group.job.groups {
		if other.partition == p.index && other.number < group.number {
			return false
		}
	}
	return true
}

// unplacedTasksOfOthers lists the unplaced tasks of a job's other task groups in the partition;
// started: some of them have been bound before.
func (c *partitionOwner) unplacedTasksOfOthers(p *partition, group *taskGroup) (unplaced []scheduling.Task, started bool) {
	for _, other := range group.job.groups {
		if other == group || other.partition != p.index {
			continue
		}
		more, otherStarted := c.unplacedTasks(p, other)
		unplaced, started = append(unplaced, more...), started || otherStarted
	}
	return unplaced, started
}

// placeEach requests cells for tasks one by one, until there is no room for the next.
func (s *placement) placeEach(tasks []scheduling.Task) {
	for i, task := range tasks {
		if s.request(task) {
			continue
		}
		// The first tasks wait for the cells that come free; those behind them may preempt.
		laterMayPreempt := s.patient && !s.class.noPreemption && i < s.freedCellsSoon()
		if !laterMayPreempt {
			return
		}
	}
}

// freedCellsSoon is about how many cells come free before a task that waits may preempt.
func (s *placement) freedCellsSoon() int {
	return s.partition.freedCellsWithin(s.owner.now, s.owner.operator.EvictAfter)
}

// classNow is the group's class at this point of the pass. Where tasks end all the time,
// those at the head of the queue have a free cell before long; only what is behind them
// preempts others, until all have waited.
func (s *placement) classNow() placementClass {
	class := s.class
	if s.patient && !class.noPreemption {
		class.noPreemption = s.partition.unplaced < s.freedCellsSoon()
	}
	return class
}

// request asks for cells for tasks that are placed together; false: there is no room. Tasks
// of one class are alike, so the first that finds no room speaks for all behind it.
func (s *placement) request(tasks ...scheduling.Task) bool {
	class := s.classNow()
	// A job that avoids machines on which it failed is alike to no other.
	alike := len(tasks) == 1 && len(s.group.job.failedOn) == 0
	if alike && s.partition.exhausted[class] {
		s.partition.unplaced++
		return false
	}
	request := &scheduling.Group{
		Tasks: tasks, TaskSize: s.group.job.taskSize,
		Claim: class.claim, NoPreemption: class.noPreemption,
	}
	s.partition.cells.Request(request, s.score)
	switch request.State {
	case scheduling.Allocated:
		s.owner.reserveCells(s.partition, request)
	case scheduling.Preempting:
		s.owner.preempt(s.group.job, request)
	case scheduling.Pending:
		if alike {
			s.partition.noteExhausted(class)
		}
		s.partition.unplaced++
	}
	return request.State != scheduling.Pending
}

// noteExhausted notes that there is no room for a class in this pass.
func (p *partition) noteExhausted(class placementClass) {
	if p.exhausted == nil {
		p.exhausted = map[placementClass]bool{}
	}
	p.exhausted[class] = true
}

// preempt has the victims of a Preempting group stopped.
func (c *partitionOwner) preempt(j *job, request *scheduling.Group) {
	c.metrics.count(countPreempting, request.Victims())
	c.log.Debug("group preempts", "job", j.id, "tasks", len(request.Tasks))
	for _, index := range request.Machines {
		c.sendCommandsNow(c.machineByIndex[index])
	}
}

// unplacedTasks lists a group's tasks that neither are bound nor have, or wait for, a
// reservation; started: some have been bound before.
func (c *partitionOwner) unplacedTasks(p *partition, group *taskGroup) (unplaced []scheduling.Task, started bool) {
	for i := range group.bindings {
		bound := &group.bindings[i]
		task := group.task(bound.task)
		started = started || bound.attempt > 0
		if c.holdsMachine(group, bound) || p.cells.PreemptingGroup(task) != nil {
			continue
		}
		if _, reserved := p.reservations[task]; !reserved {
			unplaced = append(unplaced, task)
		}
	}
	return unplaced, started
}

// holdsMachine tells whether a task is bound and not known to be lost. A lost task is placed
// again, unless it is a gang's, before its end is stored: its end and its next binding are
// then stored together. Stored one after the other, they had the replicas of some hundred
// dead machines wait twice for the key-value store.
func (c *partitionOwner) holdsMachine(group *taskGroup, bound *binding) bool {
	return bound.machine != nil && (group.job.spec.Gang || !c.isLost(group, bound))
}
