package controller

import (
	"encoding/json"
	"fmt"

	"eiderhitch/internal/record"
)

// storedValue is what is known of a value besides its content.
type storedValue struct {
	revision uint64
	size     int
	encoding record.Encoding
}

// putGroupValue takes a stored task group in.
func (a recordApplier) putGroupValue(key string, raw json.RawMessage, revision uint64) error {
	v, encoding, err := record.DecodeTaskGroup(key, raw)
	if err != nil {
		return err
	}
	return a.putGroup(key, v, storedValue{revision: revision, size: len(raw), encoding: encoding})
}

// putGroup takes a task group in.
func (a recordApplier) putGroup(key string, v *record.TaskGroup, stored storedValue) error {
	id, number, ok := parseGroupKey(key)
	if !ok {
		a.log.Error("stored key is malformed; it is left alone", "key", key)
		return nil
	}
	if v.Partition < 0 || v.Partition >= len(a.partitions) {
		return fmt.Errorf("partition %d does not exist", v.Partition)
	}
	a.markGroupReadable(key)
	group := a.groupByKey[key]
	if group == nil {
		group = a.newGroup(key, id, number, a.now)
	} else {
		a.rollout.groupsByEncoding[group.encoding]--
		a.releaseDroppedCells(group, v)
	}
	a.rollout.groupsByEncoding[stored.encoding]++
	former := group.bindings
	a.unlinkBindings(group)
	a.moveToPartition(group, v.Partition)
	group.setContent(v, stored)
	a.putBindings(group, v.Tasks)
	a.dropStaleEnds(group, former)
	a.adoptBindings(group)
	a.stopThrottled(group)
	a.requestSchedulingPass()
	return nil
}

// releaseDroppedCells gives up the cells that a known task group keeps no longer by its new content.
func (a recordApplier) releaseDroppedCells(group *taskGroup, v *record.TaskGroup) {
	if group.partition != v.Partition || group.zone != v.Zone {
		// A binding of ours that is being stored fails, or came before. What waits
		// for cells in another zone must not get them there.
		a.cancelReservations(group, true)
		group.partitionAssignedAt = a.now
	}
	kept := make(map[int32]bool, len(v.Tasks))
	for _, x := range v.Tasks {
		kept[x.Task] = true
	}
	a.releaseCellsExcept(group, kept)
}

// setContent sets what a group's record says of the group as a whole.
func (group *taskGroup) setContent(v *record.TaskGroup, stored storedValue) {
	group.revision, group.storedSize, group.encoding = stored.revision, stored.size, stored.encoding
	group.partition, group.zone, group.guaranteed = v.Partition, v.Zone, v.Guaranteed
	group.doneTasks, group.throttle = v.Done, v.Throttle
}

// putBindings takes in a group's tasks, with the machines that they are bound to.
func (a recordApplier) putBindings(group *taskGroup, tasks []record.Binding) {
	bindings, boundCount := make([]binding, 0, len(tasks)), 0
	for i := range tasks {
		task := &tasks[i]
		bound := binding{task: task.Task, attempt: task.Attempt, incarnation: task.Incarnation}
		if task.Machine != "" {
			bound.machine = a.bindMachine(group, task)
			boundCount++
		}
		bindings = append(bindings, bound)
		group.job.groupOfTask[task.Task] = group
	}
	group.bindings, group.boundCount = bindings, boundCount
}

// bindMachine links the machine that a task is bound to with the task. The group has its
// former bindings still.
func (a recordApplier) bindMachine(group *taskGroup, task *record.Binding) *machine {
	m := a.getOrAddMachine(task.Machine)
	if m.partition == a.loanPartition() && !group.isBoundTo(task.Task, task.Attempt, m) {
		m.lastBoundAt = a.now
	}
	m.bindings.add(group.task(task.Task), group)
	m.mergeIdentity(task.Addr, task.Incarnation)
	a.addToPartition(m) // a terminated one may have been removed
	return m
}

// stopThrottled has the tasks stopped that a group's throttle does not allow.
func (a recordApplier) stopThrottled(group *taskGroup) {
	for i := range group.bindings {
		if m := group.bindings[i].machine; m != nil && group.exceedsThrottle(group.bindings[i].task) {
			a.sendCommandsNow(m)
		}
	}
}

// deleteGroup forgets a task group.
func (a recordApplier) deleteGroup(key string) {
	a.markGroupReadable(key)
	group := a.groupByKey[key]
	if group == nil {
		return
	}
	a.rollout.groupsByEncoding[group.encoding]--
	a.releaseCellsExcept(group, nil)
	a.unlinkBindings(group)
	former := group.bindings
	group.bindings = nil
	a.dropStaleEnds(group, former)
	a.moveToPartition(group, noPartition)
	a.removeGroup(group)
}

// markGroupReadable notes that a group's record can be decoded, or is deleted.
func (a recordApplier) markGroupReadable(key string) {
	delete(a.rollout.unreadableGroups, key)
	if id, _, ok := parseGroupKey(key); ok {
		if job := a.jobs[id]; job != nil {
			job.markReadable(key)
		}
	}
}

// unlinkBindings removes a group's tasks from the machines that they are bound to, and from
// their job.
func (c *cellRegistry) unlinkBindings(group *taskGroup) {
	for i := range group.bindings {
		bound := &group.bindings[i]
		task := group.task(bound.task)
		if m := bound.machine; m != nil {
			m.bindings.remove(task)
			// Of a machine that is in another partition than the group, as one that was on
			// loan and failed: adopted there, the cell would stay taken for good.
			if p := c.partitions[m.partition]; p.index != group.partition && p.token != 0 {
				c.freeCell(p, task)
			}
		}
		if group.job.groupOfTask[bound.task] == group {
			delete(group.job.groupOfTask, bound.task)
		}
	}
}
