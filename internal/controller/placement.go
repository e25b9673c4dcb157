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

// evictionDelayFactor is how many times evict-after a task at the head of the queue waits.
const evictionDelayFactor = 2

// schedulePartitions runs a scheduling pass over all partitions that this controller owns.
func (c *partitionOwner) schedulePartitions() {
	defer c.metrics.addBusyTime(activityScheduling, time.Now())
	for _, p := range c.partitions {
		if p.takeoverComplete && c.isFresh(c.operator.LeaseTTL) {
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
	c.storeOtherPartitionsGroups(p)
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
		if len(m.bindings) > 0 && (m.terminated || c.isLeaseExpired(m, p)) {
			c.endAllAttempts(m, "its lease is over")
		}
	}
}

// groupsToSchedule lists the task groups of a partition that a pass may change, in the order
// in which they may reserve cells. Most groups have nothing to do: all their tasks run.
func (c *partitionOwner) groupsToSchedule(p *partition) []*taskGroup {
	byUrgency := c.urgencyComparator()
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
	return group.hasUnstoredEnds || group.storedSize > c.maxValueBytes() || waits
}

// placeGroups reserves cells for the task groups that wait for them.
func (c *partitionOwner) placeGroups(p *partition, groups []*taskGroup) {
	clear(p.exhaustedClasses)
	p.unplacedInPass = 0
	for _, group := range groups {
		if !group.writeInFlight && group.job.finalState == record.Unfinished && !c.now.Before(group.job.retryAt) {
			c.placeGroup(p, group)
		}
	}
}

// storeGroups stores what changed of a partition's task groups.
func (c *partitionOwner) storeGroups(p *partition, groups []*taskGroup) {
	for _, group := range groups {
		if !group.writeInFlight {
			c.storeGroup(p, group)
		}
	}
}

// storeOtherPartitionsGroups stores the ends of other partitions' tasks on machines of this one.
func (c *partitionOwner) storeOtherPartitionsGroups(p *partition) {
	for group := range p.otherPartitionsGroups {
		if c.groups[group.index] != group || !group.hasUnstoredEnds || group.partition == p.index {
			delete(p.otherPartitionsGroups, group)
		} else if !group.writeInFlight && group.job.spec != nil {
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
	prefersFreedCells bool
}

// newPlacement prepares the search for one task group. An array's tasks wait a little before
// they preempt others: cells come free all the time, and what is preempted has run for
// nothing.
func (c *partitionOwner) newPlacement(p *partition, group *taskGroup) placement {
	waited := c.now.Sub(group.partitionAssignedAt)
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
		score:             c.scorer(p, group),
		prefersFreedCells: array && waited < evictionDelayFactor*c.operator.EvictAfter,
	}
}

// placeGroup reserves cells for a group's pending tasks: all of a gang, and all of a service
// that has never started, together, everything else one by one.
func (c *partitionOwner) placeGroup(p *partition, group *taskGroup) {
	pending, started := c.unplacedTasks(p, group)
	unthrottled := max(0, group.bindLimit()-(len(group.bindings)-len(pending)))
	pending = pending[:min(len(pending), unthrottled)]
	if len(pending) == 0 {
		return
	}
	spec := group.job.spec
	if spec.Gang || spec.Service && !started {
		if !p.isFirstOfJob(group) {
			return
		}
		more, otherStarted := c.unplacedTasksOfOtherGroups(p, group)
		pending, started = append(pending, more...), started || otherStarted
	}
	search := c.newPlacement(p, group)
	switch {
	case spec.Gang:
		if c.canReserveGang(p, group) {
			search.requestCells(pending...)
		}
	case spec.Service && !started:
		search.requestCells(pending...)
	default:
		search.placeIndividually(pending)
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

// unplacedTasksOfOtherGroups lists the unplaced tasks of a job's other task groups in the partition;
// started: some of them have been bound before.
func (c *partitionOwner) unplacedTasksOfOtherGroups(p *partition, group *taskGroup) (unplaced []scheduling.TaskID, started bool) {
	for _, other := range group.job.groups {
		if other == group || other.partition != p.index {
			continue
		}
		more, otherStarted := c.unplacedTasks(p, other)
		unplaced, started = append(unplaced, more...), started || otherStarted
	}
	return unplaced, started
}

// placeIndividually requests cells for tasks one by one, until there is no room for the next.
func (s *placement) placeIndividually(tasks []scheduling.TaskID) {
	for i, task := range tasks {
		if s.requestCells(task) {
			continue
		}
		// The first tasks wait for the cells that come free; those behind them may preempt.
		laterMayPreempt := s.prefersFreedCells && !s.class.noPreemption && i < s.expectedFreedCells()
		if !laterMayPreempt {
			return
		}
	}
}

// expectedFreedCells is about how many cells come free before a task that waits may preempt.
func (s *placement) expectedFreedCells() int {
	return s.partition.estimateFreedCells(s.owner.now, s.owner.operator.EvictAfter)
}

// currentClass is the group's class at this point of the pass. Where tasks end all the time,
// those at the head of the queue have a free cell before long; only what is behind them
// preempts others, until all have waited.
func (s *placement) currentClass() placementClass {
	class := s.class
	if s.prefersFreedCells && !class.noPreemption {
		class.noPreemption = s.partition.unplacedInPass < s.expectedFreedCells()
	}
	return class
}

// request asks for cells for tasks that are placed together; false: there is no room. Tasks
// of one class are alike, so the first that finds no room speaks for all behind it.
func (s *placement) requestCells(tasks ...scheduling.TaskID) bool {
	class := s.currentClass()
	// A job that avoids machines on which it failed is alike to no other.
	alike := len(tasks) == 1 && len(s.group.job.failedMachines) == 0
	if alike && s.partition.exhaustedClasses[class] {
		s.partition.unplacedInPass++
		return false
	}
	request := &scheduling.AffinityGroup{
		Tasks: tasks, TaskSize: s.group.job.taskSize,
		Claim: class.claim, NoPreemption: class.noPreemption,
	}
	s.partition.cells.Schedule(request, s.score)
	switch request.State {
	case scheduling.GroupAllocated:
		s.owner.recordReservations(s.partition, request)
	case scheduling.GroupPreempting:
		s.owner.stopVictims(s.group.job, request)
	case scheduling.GroupPending:
		if alike {
			s.partition.markExhausted(class)
		}
		s.partition.unplacedInPass++
	}
	return request.State != scheduling.GroupPending
}

// markExhausted notes that there is no room for a class in this pass.
func (p *partition) markExhausted(class placementClass) {
	if p.exhaustedClasses == nil {
		p.exhaustedClasses = map[placementClass]bool{}
	}
	p.exhaustedClasses[class] = true
}

// preempt has the victims of a Preempting group stopped.
func (c *partitionOwner) stopVictims(j *job, request *scheduling.AffinityGroup) {
	c.metrics.count(countPreemptedTasks, request.VictimCount())
	c.log.Debug("group preempts", "job", j.id, "tasks", len(request.Tasks))
	for _, index := range request.Machines {
		c.sendCommandsNow(c.machineByIndex[index])
	}
}

// unplacedTasks lists a group's tasks that neither are bound nor have, or wait for, a
// reservation; started: some have been bound before.
func (c *partitionOwner) unplacedTasks(p *partition, group *taskGroup) (unplaced []scheduling.TaskID, started bool) {
	for i := range group.bindings {
		bound := &group.bindings[i]
		task := group.task(bound.task)
		started = started || bound.attempt > 0
		if c.isPlaced(group, bound) || p.cells.PreemptingGroup(task) != nil {
			continue
		}
		if _, reserved := p.reservations[task]; !reserved {
			unplaced = append(unplaced, task)
		}
	}
	return unplaced, started
}

// isPlaced tells whether a task is bound and not known to be lost. A lost task is placed
// again, unless it is a gang's, before its end is stored: its end and its next binding are
// then stored together. Stored one after the other, they had the replicas of some hundred
// dead machines wait twice for the key-value store.
func (c *partitionOwner) isPlaced(group *taskGroup, bound *binding) bool {
	return bound.machine != nil && (group.job.spec.Gang || !c.isLost(group, bound))
}
