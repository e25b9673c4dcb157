package controller

import (
	"eiderhitch/internal/planning"
	"eiderhitch/internal/store"
	"eiderhitch/internal/wire"
)

// newMoveWrite returns a write, still without changes, that moves groups of a job.
func (c *leader) newMoveWrite(j *job) *store.Write {
	return &store.Write{MediumPriority: true, ConflictProne: true, Conditions: []wire.Condition{c.leaderCondition(), {Key: jobKey(j.id), Revision: j.revision}}}
}

// addGroupUpdate adds to a write the replacement of a group's stored value.
func addGroupUpdate(write *store.Write, group *taskGroup, value []byte) {
	write.Conditions = append(write.Conditions, wire.Condition{Key: group.key, Revision: group.revision})
	write.Changes = append(write.Changes, wire.Change{Put: group.key, Value: value})
}

// moveUnplacedTasks moves count waiting tasks of a group, whose partition has no room for
// them, to a partition that has. It reports whether a move or a loan of machines is under
// way. Writes of the former partition's owner then fail on the revision of the group.
func (c *leader) moveUnplacedTasks(summaries []*planning.MachineSummary, group *taskGroup, count int) bool {
	if group.job.spec.Gang {
		return c.moveGang(summaries, group.job)
	}
	movesWhole := group.job.spec.IsAllOrNothing() && group.boundTaskCount() == 0
	if movesWhole {
		count = max(count, len(group.bindings)) // a job that has not started moves as a whole
	}
	mayUse := c.moveFilter(group)
	target := c.findMoveTarget(summaries, group, count, mayUse)
	if movesWhole && target.tasks < count {
		// A job that has not started, or has lost all of its tasks, may preempt other tasks
		// in the partition that it moves to.
		request := planning.Assignment{TaskSize: group.job.taskSize, Count: count, Claim: group.claim(), AllowsMachine: mayUse}
		partition, ok := request.ChoosePartition(summaries, len(c.partitions))
		if !ok {
			return count > 1 && c.borrowForJob(summaries, group.job, loanRequest{zone: group.zone, tasks: count, claim: group.claim()})
		}
		target = moveTarget{partition: partition, tasks: count, roomAllocated: true}
	}
	moving, staying := group.bindingsToMove(target.tasks)
	if len(moving) == 0 {
		return false
	}
	if !target.roomAllocated {
		inTarget := func(summary *planning.MachineSummary) bool {
			return summary.Partition == target.partition && mayUse(summary)
		}
		planning.PlaceWithoutPreemption(summaries, inTarget, group.job.taskSize, len(moving))
	}
	c.writeMove(group, target.partition, moving, staying)
	return true
}

// moveFilter returns a filter that allows the machines of other partitions to which a group
// may move. After a long wait these include the machines that are reserved for gangs.
func (c *leader) moveFilter(group *taskGroup) planning.MachineFilter {
	mayAssign := c.assignmentFilter(group.job, group.zone, c.now.Sub(group.partitionAssignedAt) > reserveAvailableAfter)
	return func(summary *planning.MachineSummary) bool {
		return summary.Partition != group.partition && mayAssign(summary)
	}
}

// moveTarget is a partition to which tasks may move, and how many of them. tasks is 0 if
// there is no such partition. roomAllocated is set if the room has already been allocated in
// the summaries.
type moveTarget struct {
	partition, tasks int
	roomAllocated    bool
}

// findMoveTarget returns the partition that has free room for the largest number of a group's
// tasks, up to count. For a single task it may also be a partition in which other tasks can
// be preempted.
func (c *leader) findMoveTarget(summaries []*planning.MachineSummary, group *taskGroup, count int, mayUse planning.MachineFilter) moveTarget {
	perPartition := make([]int, len(c.partitions))
	trial := planning.CloneSummaries(summaries)
	for summary, placed := range planning.PlaceWithoutPreemption(trial, mayUse, group.job.taskSize, count) {
		perPartition[summary.Partition] += placed
	}
	var best moveTarget
	for partition, placed := range perPartition {
		if placed > best.tasks {
			best = moveTarget{partition: partition, tasks: placed}
		}
	}
	if best.tasks == 0 && count == 1 {
		if summary := planning.PlaceByPreemption(trial, mayUse, group.job.taskSize, group.claim()); summary != nil {
			best = moveTarget{partition: summary.Partition, tasks: 1}
		}
	}
	return best
}

// bindingsToMove divides a group's bindings into those that move, which are the first limit
// ones without a machine, and those that stay.
func (group *taskGroup) bindingsToMove(limit int) (moving, staying []binding) {
	for _, bound := range group.bindings {
		if bound.machine == nil && len(moving) < limit {
			moving = append(moving, bound)
		} else {
			staying = append(staying, bound)
		}
	}
	return moving, staying
}

// writeMove stores that some bindings of a group move to another partition. Those that stay
// keep the group's key.
func (c *leader) writeMove(group *taskGroup, partition int, moving, staying []binding) {
	write := c.newMoveWrite(group.job)
	left, moved := group.split(staying, moving)
	moved.partition = partition
	if len(staying) == 0 {
		addGroupUpdate(write, group, c.encodeGroup(&moved, group.doneTasks, moving).ValueForKey(group.key))
	} else {
		addGroupUpdate(write, group, c.encodeGroup(&left, group.doneTasks, staying).ValueForKey(group.key))
		key := groupKey(group.job.id, group.job.newGroupNumber())
		write.Conditions = append(write.Conditions, wire.Condition{Key: key})
		write.Changes = append(write.Changes, wire.Change{Put: key, Value: c.encodeGroup(&moved, 0, moving).ValueForKey(key)})
	}
	c.metrics.count(countMovedGroups, 1)
	c.log.Debug("tasks move to another partition", "job", group.job.id, "tasks", len(moving), "partition", partition)
	c.submitDecision(write, group)
}
