package controller

import (
	"cmp"
	"slices"
	"time"

	"eiderhitch/internal/record"
	"eiderhitch/internal/scheduling"
	"eiderhitch/internal/workerclient"
)

// partitionOwner schedules tasks on the machines of the partitions that this controller owns, and
// sends commands to those machines.
type partitionOwner struct {
	*clusterState
	// workerClient sends direct commands and pings to machines; directSlots limits how many of
	// these requests are in flight.
	workerClient *workerclient.Client
	directSlots  *workerclient.Slots[*machine]
}

// preemptionDelayFactor is the multiple of evict-after that an array's task at the head of the
// queue waits for a free cell before it may preempt others.
const preemptionDelayFactor = 2

// schedulePartitions runs a scheduling pass over all partitions that this controller owns.
func (c *partitionOwner) schedulePartitions() {
	defer c.metrics.addBusyTime(activityScheduling, time.Now())
	for _, p := range c.partitions {
		if p.takeoverComplete && c.isFresh(c.operator.LeaseTTL) {
			c.schedulePartition(p)
		}
	}
}

// schedulePartition reserves cells for the pending tasks of a partition, in order of priority,
// and stores the ended attempts and new bindings.
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

// endExpiredAttempts ends the attempts on machines that are terminated or whose lease has
// expired.
func (c *partitionOwner) endExpiredAttempts(p *partition) {
	for _, m := range p.machines {
		if len(m.bindings) == 0 {
			continue
		}
		expiration := c.leaseExpiration(m, p)
		switch {
		case m.terminated:
			c.endAllAttempts(m, terminationProof())
		case expiration.IsCertain():
			c.endAllAttempts(m, leaseProof(expiration))
		}
	}
}

// groupsToSchedule returns the task groups of a partition that a scheduling pass may change, in
// the order in which they may reserve cells. Most groups need nothing, because all their tasks
// run.
func (c *partitionOwner) groupsToSchedule(p *partition) []*taskGroup {
	byUrgency := c.urgencyComparator()
	var groups []*taskGroup
	for _, group := range p.groups {
		if c.needsScheduling(group) {
			groups = append(groups, group)
		}
	}
	slices.SortFunc(groups, func(first, second *taskGroup) int {
		firstClaim, secondClaim := first.claim(), second.claim()
		return cmp.Or(
			cmp.Compare(secondClaim.Priority, firstClaim.Priority),
			compareBool(secondClaim.Guaranteed, firstClaim.Guaranteed),
			byUrgency(first.job, second.job),
			cmp.Compare(first.number, second.number))
	})
	return groups
}

// needsScheduling reports whether a task group has ends to store, has pending tasks, or is stored
// in a form larger than the value limit.
func (c *partitionOwner) needsScheduling(group *taskGroup) bool {
	if group.job.spec == nil {
		return false
	}
	hasPendingTasks := group.job.finalState == record.StateUnfinished && group.boundCount < len(group.bindings)
	return group.hasUnstoredEnds || group.storedSize > c.maxValueBytes() || hasPendingTasks
}

// placeGroups reserves cells for the pending tasks of groups, in their order.
func (c *partitionOwner) placeGroups(p *partition, groups []*taskGroup) {
	clear(p.exhaustedClasses)
	p.unplacedInPass = 0
	for _, group := range groups {
		if !group.writeInFlight && group.job.finalState == record.StateUnfinished && !c.now.Before(group.job.retryAt) {
			c.placeGroup(p, group)
		}
	}
}

// storeGroups stores the changes of task groups that have no write in flight.
func (c *partitionOwner) storeGroups(p *partition, groups []*taskGroup) {
	for _, group := range groups {
		if !group.writeInFlight {
			c.storeGroup(p, group)
		}
	}
}

// storeOtherPartitionsGroups stores the ends, on machines of this partition, of tasks whose
// groups belong to other partitions.
func (c *partitionOwner) storeOtherPartitionsGroups(p *partition) {
	for group := range p.otherPartitionsGroups {
		if c.groups[group.index] != group || !group.hasUnstoredEnds || group.partition == p.index {
			delete(p.otherPartitionsGroups, group)
		} else if !group.writeInFlight && group.job.spec != nil {
			c.storeGroup(p, group)
		}
	}
}

// placeGroup reserves cells for a group's pending tasks. The tasks of a gang, and of a service
// that has never started, are placed all together; other tasks are placed one by one.
func (c *partitionOwner) placeGroup(p *partition, group *taskGroup) {
	pending, started := c.unplacedTasks(p, group)
	bindableCount := max(0, group.bindLimit()-(len(group.bindings)-len(pending)))
	pending = pending[:min(len(pending), bindableCount)]
	if len(pending) == 0 {
		return
	}
	spec := group.job.spec
	// The owner may have ended after it had bound only some groups of a service.
	started = started || spec.Service && group.job.hasBeenBound()
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

// hasBeenBound reports whether any task of the job has been bound to a machine.
func (j *job) hasBeenBound() bool {
	for bound := range j.allBindings() {
		if bound.attempt > 0 {
			return true
		}
	}
	return false
}

// isFirstOfJob reports whether a group is its job's first one of its zone in the partition. The
// other groups of a gang, or of a service that has never started, are placed together with the first
// one. Groups of other zones are not: all tasks of a placement go to one zone.
func (p *partition) isFirstOfJob(group *taskGroup) bool {
	for _, other := range group.job.groups {
		if other.partition == p.index && other.zone == group.zone && other.number < group.number {
			return false
		}
	}
	return true
}

// unplacedTasksOfOtherGroups returns the unplaced tasks of the job's other task groups of the same
// zone in the partition. started reports whether a task of those groups has been bound before.
func (c *partitionOwner) unplacedTasksOfOtherGroups(p *partition, group *taskGroup) (unplaced []scheduling.TaskID, started bool) {
	for _, other := range group.job.groups {
		if other == group || other.partition != p.index || other.zone != group.zone {
			continue
		}
		more, otherStarted := c.unplacedTasks(p, other)
		unplaced, started = append(unplaced, more...), started || otherStarted
	}
	return unplaced, started
}

// stopVictims sends commands at once to the machines on which a Preempting group waits for
// victims, so that the victims are stopped.
func (c *partitionOwner) stopVictims(j *job, request *scheduling.AffinityGroup) {
	c.metrics.count(countPreemptedTasks, request.VictimCount())
	c.log.Debug("group preempts", "job", j.id, "tasks", len(request.Tasks))
	for _, index := range request.Machines {
		c.sendCommandsNow(c.machineByIndex[index])
	}
}

// unplacedTasks returns a group's tasks that are not placed (see isPlaced) and for which no cell
// is reserved or being preempted. started reports whether a task of the group has been bound
// before.
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

// isPlaced reports whether a task is bound and not known to be lost. Except in a gang, a lost
// task is placed again before its end is stored, so that one write stores the end and the next
// binding. With two separate writes, replicas of services waited twice for the key-value store
// after a hundred or more machines had failed.
func (c *partitionOwner) isPlaced(group *taskGroup, bound *binding) bool {
	return bound.machine != nil && (group.job.spec.Gang || !c.isLost(group, bound))
}
