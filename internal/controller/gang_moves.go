package controller

import (
	"cmp"
	"slices"

	"eiderhitch/internal/planning"
	"eiderhitch/internal/record"
	"eiderhitch/internal/store"
)

// moveGang moves a gang without bound tasks as a whole to a partition that has room for it,
// and reports whether a move or a loan of machines is under way. If no partition has room, it
// borrows machines of several partitions for the gang. Without this, a gang whose partition
// lost its room waited forever although machines of several partitions together had room for
// it.
func (c *leader) moveGang(summaries []*planning.MachineSummary, j *job) bool {
	first, tasks := j.firstGroup(), 0
	for _, group := range j.groups {
		if group.boundTaskCount() > 0 {
			return false // the current attempt is completed or ends in its partition
		}
		tasks += len(group.bindings)
	}
	if tasks < j.spec.TaskCount {
		return false // the other tasks are assigned first
	}
	mayUse := func(summary *planning.MachineSummary) bool {
		return !summary.Booting && summary.Partition != first.partition && allowsMachine(j.spec, first.zone, summary.Type, summary.Zone, summary.Spot)
	}
	request := &planning.Assignment{TaskSize: j.taskSize, Count: tasks, Claim: first.claim(), AllowsMachine: mayUse}
	partition, ok := request.ChoosePartition(summaries, len(c.partitions))
	if !ok {
		return tasks > 1 && c.borrowForJob(summaries, j, loanRequest{zone: first.zone, tasks: tasks, claim: first.claim()})
	}
	c.metrics.count(countMovedGroups, 1)
	c.log.Debug("gang moves to another partition", "job", j.id, "tasks", tasks, "partition", partition)
	return c.relocateGang(j, partition, first.zone)
}

// relocateGang moves a gang's groups to a partition and zone, the first group first, as many
// as fit into one transaction. The others follow later (completeGangMoves), and cells are
// reserved once all groups are together. It returns false if the gang can't move now.
func (c *leader) relocateGang(j *job, partition int, zone string) bool {
	write := c.newMoveWrite(j)
	var moving []*taskGroup
	size := 0
	for _, group := range j.groupsByNumber() {
		if group.partition == partition && group.zone == zone {
			continue
		}
		if group.writeInFlight || group.boundTaskCount() > 0 || group.storedSize > c.maxValueBytes() {
			return false // its owner has to end bindings or split the group first
		}
		moved := *group
		moved.partition, moved.zone = partition, zone
		value := c.encodeGroup(&moved, group.doneTasks, group.bindings).ValueForKey(group.key)
		size += len(value) + recordOverheadBytes
		if n := len(write.Changes); n > 0 && (n == c.cfg.Settings.Store.TxnOps || size > store.MaxTxnBytes) {
			break
		}
		addGroupUpdate(write, group, value)
		moving = append(moving, group)
	}
	if len(write.Changes) == 0 {
		return false
	}
	c.submitDecision(write, moving...)
	return true
}

// completeGangMoves continues the moves of gangs of which only some groups have moved yet,
// whether this leader or a former one started the move. The other groups follow the first
// one.
func (c *leader) completeGangMoves() {
	for _, job := range c.activeJobs {
		if job.finalState != record.StateUnfinished || job.spec == nil || !job.spec.Gang || job.revision == 0 || len(job.groups) < 2 {
			continue
		}
		if first := job.firstGroup(); !job.hasAllGroupsIn(first.partition, first.zone) {
			c.relocateGang(job, first.partition, first.zone)
		}
	}
}

// groupsByNumber returns a job's groups sorted by number.
func (j *job) groupsByNumber() []*taskGroup {
	groups := slices.Clone(j.groups)
	slices.SortFunc(groups, func(first, second *taskGroup) int { return cmp.Compare(first.number, second.number) })
	return groups
}

// firstGroup returns the group with the lowest number, whose partition and zone the other
// groups of a gang follow.
func (j *job) firstGroup() *taskGroup {
	return slices.MinFunc(j.groups, func(first, second *taskGroup) int { return cmp.Compare(first.number, second.number) })
}

// hasAllGroupsIn reports whether all groups of a job are in one partition and zone.
func (j *job) hasAllGroupsIn(partition int, zone string) bool {
	for _, group := range j.groups {
		if group.partition != partition || group.zone != zone {
			return false
		}
	}
	return true
}
