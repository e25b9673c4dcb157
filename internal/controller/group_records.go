package controller

import (
	"encoding/json"
	"fmt"

	"eiderhitch/internal/record"
)

// storedMetadata holds the metadata of a stored value.
type storedMetadata struct {
	revision uint64
	size     int
	encoding record.Encoding
}

// putGroupValue decodes and applies the record of a task group.
func (a recordApplier) putGroupValue(key string, raw json.RawMessage, revision uint64) error {
	v, encoding, err := record.DecodeTaskGroup(key, raw)
	if err != nil {
		return err
	}
	return a.putGroup(key, v, storedMetadata{revision: revision, size: len(raw), encoding: encoding})
}

// putGroup applies the record of a task group.
func (a recordApplier) putGroup(key string, v *record.TaskGroup, stored storedMetadata) error {
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
	a.moveGroupToPartition(group, v.Partition)
	group.setContent(v, stored)
	a.putBindings(group, v.Tasks)
	a.dropStaleEnds(group, former)
	a.adoptBindings(group)
	a.stopThrottled(group)
	a.requestSchedulingPass()
	return nil
}

// releaseDroppedCells frees the cells that a known task group no longer holds according to its
// new record.
func (a recordApplier) releaseDroppedCells(group *taskGroup, v *record.TaskGroup) {
	if group.partition != v.Partition || group.zone != v.Zone {
		// A binding that this controller is storing will fail, or was stored earlier. Tasks
		// that wait for cells must not get them in the previous partition or zone.
		a.cancelReservations(group, true)
		group.partitionAssignedAt = a.now
	}
	kept := make(map[int32]bool, len(v.Tasks))
	for _, x := range v.Tasks {
		kept[x.Task] = true
	}
	a.releaseCellsExcept(group, kept)
}

// setContent sets the fields of the group that don't concern single tasks from its record.
func (group *taskGroup) setContent(v *record.TaskGroup, stored storedMetadata) {
	group.revision, group.storedSize, group.encoding = stored.revision, stored.size, stored.encoding
	group.partition, group.zone, group.guaranteed = v.Partition, v.Zone, v.Guaranteed
	group.doneTasks, group.throttle = v.DoneTasks, v.Throttle
}

// putBindings replaces the group's bindings and links the bound tasks to their machines.
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

// bindMachine links a bound task to its machine and returns the machine. It must be called
// while the group still has its previous bindings.
func (a recordApplier) bindMachine(group *taskGroup, task *record.Binding) *machine {
	m := a.getOrAddMachine(task.Machine)
	if m.partition == a.loanPartition() && !group.isBoundTo(task.Task, task.Attempt, m) {
		m.lastBoundAt = a.now
	}
	m.bindings.add(group.task(task.Task), group)
	m.mergeIdentity(task.Addr, task.Incarnation, a.now)
	a.addMachineToPartition(m) // a terminated machine may have been removed from the list
	return m
}

// stopThrottled sends the commands that stop the tasks beyond the group's throttle.
func (a recordApplier) stopThrottled(group *taskGroup) {
	for i := range group.bindings {
		if m := group.bindings[i].machine; m != nil && group.exceedsThrottle(group.bindings[i].task) {
			a.sendCommandsNow(m)
		}
	}
}

// deleteGroup applies the deletion of a task group.
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
	a.moveGroupToPartition(group, noPartition)
	a.removeGroup(group)
}

// markGroupReadable records that the group's record can be decoded or has been deleted.
func (a recordApplier) markGroupReadable(key string) {
	delete(a.rollout.unreadableGroups, key)
	if id, _, ok := parseGroupKey(key); ok {
		if job := a.jobs[id]; job != nil {
			job.markReadable(key)
		}
	}
}

// unlinkBindings removes the group's tasks from the machines that they are bound to and from
// the job's index of tasks.
func (c *cellRegistry) unlinkBindings(group *taskGroup) {
	for i := range group.bindings {
		bound := &group.bindings[i]
		task := group.task(bound.task)
		if m := bound.machine; m != nil {
			m.bindings.remove(task)
			// The machine may be in another partition than the group, for example if it failed
			// while on loan. A cell adopted in the machine's partition would never be freed
			// otherwise.
			if p := c.partitions[m.partition]; p.index != group.partition && p.token != 0 {
				c.freeCell(p, task)
			}
		}
		if group.job.groupOfTask[bound.task] == group {
			delete(group.job.groupOfTask, bound.task)
		}
	}
}
