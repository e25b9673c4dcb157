package controller

import (
	"time"

	"eiderhitch/internal/planning"
	"eiderhitch/internal/store"
	"eiderhitch/internal/wire"
)

// zoneMoveDelay is how long a single-zone job of which nothing runs waits for room in the
// zone that it was assigned to before it goes to another.
const zoneMoveDelay = 15 * time.Second

// newMoveWrite is a write that moves groups of a job, without any changes yet.
func (c *leader) newMoveWrite(j *job) *store.Write {
	return &store.Write{Early: true, Contested: true, Conditions: []wire.Condition{c.leaderCondition(), {Key: jobKey(j.id), Revision: j.revision}}}
}

// addGroup has a write replace the stored group by a changed one.
func addGroupUpdate(write *store.Write, group *taskGroup, value []byte) {
	write.Conditions = append(write.Conditions, wire.Condition{Key: group.key, Revision: group.revision})
	write.Changes = append(write.Changes, wire.Change{Put: group.key, Value: value})
}

// moveToOtherZone has a single-zone job of which no task is anywhere go to another zone, if
// there is no room in the one that it was assigned to, perhaps since that has lost its
// machines. Bound to it for good, the job waited beside other zones' empty machines
// for as long as the first one had none. Its tasks are all proven gone, so that nothing
// is in two zones; an owner that binds one meanwhile loses by its group's revision.
func (c *leader) moveToOtherZone(summaries []*planning.MachineSummary, group *taskGroup) bool {
	job := group.job
	if !c.canChangeZone(group) {
		return false
	}
	tasks, ok := tasksToMove(group)
	if !ok {
		return false
	}
	room := c.roomByZone(summaries, job, tasks)
	zone := zoneWithMostRoom(room, group.zone)
	if zone == group.zone || room[zone] < tasks || room[group.zone] >= tasks {
		return false
	}
	c.log.Info("job moves to another zone", "job", job.id, "from", group.zone, "to", zone)
	if job.spec.Gang {
		return c.relocateGang(job, job.firstGroup().partition, zone)
	}
	write := c.newMoveWrite(job)
	for _, other := range job.groups {
		moved := *other
		moved.zone = zone
		addGroupUpdate(write, other, c.encodeGroup(&moved, other.doneTasks, other.bindings).At(other.key))
	}
	c.submitDecision(write)
	return true
}

// canChangeZone tells whether the job of a group has waited for long enough in its zone, and
// may be in another. Only gangs move in several transactions.
func (c *leader) canChangeZone(group *taskGroup) bool {
	job := group.job
	if !job.spec.SingleZone || group.zone == "" || c.now.Sub(group.partitionAssignedAt) < zoneMoveDelay {
		return false
	}
	return job.spec.Gang || len(job.groups) <= c.cfg.Settings.Store.TxnOps
}

// tasksToMove is for how many tasks another zone must have room if the job of a group is to
// move there. It reports false if the job must stay: a task of it is placed, or some of its
// groups have moved already in this step, and the others follow them.
func tasksToMove(group *taskGroup) (tasks int, ok bool) {
	tasks = 1
	for _, other := range group.job.groups {
		if other.writeInFlight || other.zone != group.zone || other.boundTaskCount() > 0 {
			return 0, false
		}
		if group.job.spec.AllOrNothing() {
			tasks = max(tasks, len(other.bindings))
		}
	}
	return tasks, true
}

// roomByZone is for how many tasks of a job there is free room in each zone; no machine
// counts for more than limit of them.
func (c *leader) roomByZone(summaries []*planning.MachineSummary, j *job, limit int) map[string]int {
	room := map[string]int{}
	for _, summary := range summaries {
		if !summary.Booting && c.reserveAllows(j, summary) && allowsMachine(j.spec, "", summary.Type, summary.Zone, summary.Spot) {
			room[summary.Zone] += summary.FreeResources.CountFitting(j.taskSize, limit)
		}
	}
	return room
}

// zoneWithMostRoom is the zone with the most room, of equals the first by name.
func zoneWithMostRoom(room map[string]int, current string) string {
	best := current
	for zone, count := range room {
		if count > room[best] || count == room[best] && zone < best {
			best = zone
		}
	}
	return best
}

// moveUnplacedTasks gives count waiting tasks of a group whose partition has no room to a
// partition that has. Its owner's writes lose by the group's revision.
func (c *leader) moveUnplacedTasks(summaries []*planning.MachineSummary, group *taskGroup, count int) bool {
	if group.job.spec.Gang {
		return c.moveGang(summaries, group.job)
	}
	movesWhole := group.job.spec.AllOrNothing() && group.boundTaskCount() == 0
	if movesWhole {
		count = max(count, len(group.bindings)) // what has not started moves whole
	}
	mayUse := c.moveFilter(group)
	target := c.findMoveTarget(summaries, group, count, mayUse)
	if movesWhole && target.tasks < count {
		// What has not started, or lost all, may preempt others where it goes.
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

// moveFilter allows the machines of other partitions that a group may move to. After
// a long wait those that are kept for gangs are among them.
func (c *leader) moveFilter(group *taskGroup) planning.MachineFilter {
	ignoresReserve := c.now.Sub(group.partitionAssignedAt) > reserveOpensAfter
	return func(summary *planning.MachineSummary) bool {
		return !summary.Booting && summary.Partition != group.partition && (ignoresReserve || c.reserveAllows(group.job, summary)) &&
			allowsMachine(group.job.spec, group.zone, summary.Type, summary.Zone, summary.Spot)
	}
}

// moveTarget is the partition that tasks may move to, and how many of them; no tasks, if
// there is none. roomAllocated is set if their room is taken from the summaries already.
type moveTarget struct {
	partition, tasks int
	roomAllocated    bool
}

// findMoveTarget returns the partition with free room for the most of count tasks of a
// group; for a single one, where others can be preempted for it.
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

// bindingsToMove divides a group's bindings: of those that are not placed, limit move.
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

// writeMove stores that some bindings of a group go to another partition; those that stay
// keep the group's key.
func (c *leader) writeMove(group *taskGroup, partition int, moving, staying []binding) {
	write := c.newMoveWrite(group.job)
	left, moved := group.split(staying, moving)
	moved.partition = partition
	if len(staying) == 0 {
		addGroupUpdate(write, group, c.encodeGroup(&moved, group.doneTasks, moving).At(group.key))
	} else {
		addGroupUpdate(write, group, c.encodeGroup(&left, group.doneTasks, staying).At(group.key))
		key := groupKey(group.job.id, group.job.newGroupNumber())
		write.Conditions = append(write.Conditions, wire.Condition{Key: key})
		write.Changes = append(write.Changes, wire.Change{Put: key, Value: c.encodeGroup(&moved, 0, moving).At(key)})
	}
	c.metrics.count(countMovedGroups, 1)
	c.log.Debug("tasks move to another partition", "job", group.job.id, "tasks", len(moving), "partition", partition)
	c.submitDecision(write)
}
