package controller

import (
	"cmp"
	"slices"

	"eiderhitch/internal/planning"
	"eiderhitch/internal/record"
	"eiderhitch/internal/store"
)

// moveGang has a gang of which nothing is bound go whole to a partition that has room for
// it. Where none has, machines of several partitions are borrowed for it: a gang that was
// assigned to a partition which then lost its room waited for ever beside machines that had
// room for it together.
func (c *leader) moveGang(summaries []*planning.MachineSummary, j *job) bool {
	first, tasks := j.firstGroup(), 0
	for _, group := range j.groups {
		if group.boundTaskCount() > 0 {
			return false // its present attempt is completed, or ends, where it is
		}
		tasks += len(group.bindings)
	}
	if tasks < j.spec.Tasks {
		return false // the rest is assigned first
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

// relocate has a gang's groups go to a partition and zone, the first one first and as many
// as one transaction holds. The others follow (completeGangMoves); the gang is reserved when
// all are together. It reports false if that can't be now.
func (c *leader) relocateGang(j *job, partition int, zone string) bool {
	write := c.newMoveWrite(j)
	size := 0
	for _, group := range j.groupsByNumber() {
		if group.partition == partition && group.zone == zone {
			continue
		}
		if group.writeInFlight || group.boundTaskCount() > 0 || group.storedSize > c.maxValueBytes() {
			return false // its owner ends bindings, or splits it, first
		}
		moved := *group
		moved.partition, moved.zone = partition, zone
		value := c.encodeGroup(&moved, group.doneTasks, group.bindings).At(group.key)
		size += len(value) + recordOverheadBytes
		if n := len(write.Changes); n > 0 && (n == c.cfg.Settings.Store.TxnOps || size > store.MaxTxnBytes) {
			break
		}
		addGroupUpdate(write, group, value)
	}
	if len(write.Changes) == 0 {
		return false
	}
	c.submitDecision(write)
	return true
}

// completeGangMoves has the groups of gangs that have moved incompletely, by this leader or
// one before it, follow their first one.
func (c *leader) completeGangMoves() {
	for _, job := range c.activeJobs {
		if job.finalState != record.Unfinished || job.spec == nil || !job.spec.Gang || job.revision == 0 || len(job.groups) < 2 {
			continue
		}
		if first := job.firstGroup(); !job.hasAllGroupsIn(first.partition, first.zone) {
			c.relocateGang(job, first.partition, first.zone)
		}
	}
}

// groupsByNumber are a job's groups by their numbers.
func (j *job) groupsByNumber() []*taskGroup {
	groups := slices.Clone(j.groups)
	slices.SortFunc(groups, func(first, second *taskGroup) int { return cmp.Compare(first.number, second.number) })
	return groups
}

// firstGroup is the group that a gang's others follow.
func (j *job) firstGroup() *taskGroup {
	return slices.MinFunc(j.groups, func(first, second *taskGroup) int { return cmp.Compare(first.number, second.number) })
}

// hasAllGroupsIn tells whether all groups of a job are in one partition and zone.
func (j *job) hasAllGroupsIn(partition int, zone string) bool {
	for _, group := range j.groups {
		if group.partition != partition || group.zone != zone {
			return false
		}
	}
	return true
}
