package controller

import (
	"cmp"
	"slices"

	"eiderhitch/internal/record"
	"eiderhitch/internal/store"
	"eiderhitch/internal/wire"
)

// recordOverheadBytes is the approximate size that a record adds to a transaction in addition
// to its value: its key, twice, and the JSON around it.
const recordOverheadBytes = 200

// submitDecision submits a write of the leader. The leader decides nothing else until the
// result is known (handleDecisionResult). Until then the groups are marked as having a write
// in flight.
func (c *leader) submitDecision(write *store.Write, groups ...*taskGroup) {
	for _, group := range groups {
		group.writeInFlight = true
	}
	c.leadership.writesInFlight++
	epoch := c.leadership.epoch
	c.SubmitWrite(write, func(err error) {
		for _, group := range groups {
			group.writeInFlight = false
		}
		c.handleDecisionResult(epoch, err)
	})
}

// newTaskGroupRecord returns the record for consecutive tasks, starting at first, that are
// assigned for the first time.
func newTaskGroupRecord(partition int, zone string, guaranteed bool, first int32, tasks int) record.TaskGroup {
	group := record.TaskGroup{Partition: partition, Zone: zone, Guaranteed: guaranteed}
	for number := first; number < first+int32(tasks); number++ {
		group.Tasks = append(group.Tasks, record.Binding{Task: number})
	}
	return group
}

// groupsFittingTransaction returns the longest prefix of groups that one transaction can
// create.
func (c *clusterState) groupsFittingTransaction(groups []record.TaskGroup) []record.TaskGroup {
	size := 0
	for i := range groups {
		size += groups[i].Encode(c.writeEncoding()).Size() + recordOverheadBytes
		if i > 0 && (i == c.cfg.Settings.Store.TxnOps || size > store.MaxTxnBytes) {
			return groups[:i]
		}
	}
	return groups
}

// assignRemainingGangTasks assigns the tasks of a gang that did not fit into the previous
// transactions, to the partition of the gang's first group. Tasks are assigned in the order
// of their numbers, and the next one follows from how many are assigned, so only one
// transaction is in flight at a time. A new leader continues where the last one stopped.
func (c *leader) assignRemainingGangTasks(j *job, assigned int) {
	first := j.firstGroup()
	var groups []record.TaskGroup
	for next := assigned; next < j.spec.TaskCount; next += c.maxGroupTasks {
		size := min(c.maxGroupTasks, j.spec.TaskCount-next)
		groups = append(groups, newTaskGroupRecord(first.partition, first.zone, first.guaranteed, int32(next), size))
	}
	c.writeAssignment(j, c.groupsFittingTransaction(groups))
}

// writeAssignment stores the groups of one assignment, all of them or none. The next task to
// assign follows from how many are assigned, so if a failed write left a gap, a later
// assignment would assign tasks twice.
func (c *leader) writeAssignment(j *job, groups []record.TaskGroup) {
	if len(groups) == 0 {
		return
	}
	write, reusedGroups := c.newAssignmentWrite(j, groups)
	j.assignedAt = c.now
	c.submitDecision(write, reusedGroups...)
	c.metrics.count(countAssignedGroups, len(groups))
	c.log.Debug("tasks assigned", "job", j.id, "tasks", countTasks(groups), "records", len(groups))
}

// countTasks returns the number of tasks in groups.
func countTasks(groups []record.TaskGroup) int {
	tasks := 0
	for i := range groups {
		tasks += len(groups[i].Tasks)
	}
	return tasks
}

// newAssignmentWrite returns the write that stores new groups of a job, and the groups without tasks
// whose keys it reuses.
func (c *leader) newAssignmentWrite(j *job, groups []record.TaskGroup) (write *store.Write, reusedGroups []*taskGroup) {
	write = &store.Write{HighPriority: j.spec.Gang, MediumPriority: true, Conditions: []wire.Condition{c.leaderCondition(), {Key: jobKey(j.id), Revision: j.revision}}}
	reusableGroups := j.emptyGroups()
	for _, group := range groups {
		var key string
		var revision uint64
		if len(reusableGroups) > 0 {
			empty := reusableGroups[0]
			reusedGroups, reusableGroups = append(reusedGroups, empty), reusableGroups[1:]
			key, revision, group.DoneTasks = empty.key, empty.revision, empty.doneTasks
		} else {
			key = groupKey(j.id, j.newGroupNumber())
		}
		write.Conditions = append(write.Conditions, wire.Condition{Key: key, Revision: revision})
		write.Changes = append(write.Changes, wire.Change{Put: key, Value: group.Encode(c.writeEncoding()).ValueForKey(key)})
	}
	return write, reusedGroups
}

// emptyGroups returns the groups whose tasks are all done, sorted by number. They are reused,
// so that a large array leaves few groups behind. No group is deleted while its job is
// unfinished: an assignment that is applied minutes late must not find the group's key absent
// again.
func (j *job) emptyGroups() []*taskGroup {
	var empty []*taskGroup
	for _, group := range j.groups {
		if len(group.bindings) == 0 && !group.writeInFlight {
			empty = append(empty, group)
		}
	}
	slices.SortFunc(empty, func(first, second *taskGroup) int { return cmp.Compare(first.number, second.number) })
	return empty
}
