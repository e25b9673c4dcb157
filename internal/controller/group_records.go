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
func (c *controller) putGroupValue(key string, raw json.RawMessage, revision uint64) error {
	v, encoding, err := record.DecodeTaskGroup(key, raw)
	if err != nil {
		return err
	}
	return c.putGroup(key, v, storedValue{revision: revision, size: len(raw), encoding: encoding})
}

// putGroup takes a task group in.
func (c *controller) putGroup(key string, v *record.TaskGroup, stored storedValue) error {
	id, number, ok := splitGroupKey(key)
	if !ok {
		c.log.Error("stored key is malformed; it is left alone", "key", key)
		return nil
	}
	if v.Partition < 0 || v.Partition >= len(c.partitions) {
		return fmt.Errorf("partition %d does not exist", v.Partition)
	}
	c.markGroupReadable(key)
	group := c.groupByKey[key]
	if group == nil {
		group = c.newGroup(key, id, number, c.now)
	} else {
		c.rollout.groupsByEncoding[group.encoding]--
		c.releaseChanged(group, v)
	}
	c.rollout.groupsByEncoding[stored.encoding]++
	c.unlinkBindings(group)
	c.moveToPartition(group, v.Partition)
	group.setContent(v, stored)
	c.putBindings(group, v.Tasks)
	c.adoptBindings(group)
	c.stopThrottled(group)
	c.requestPass()
	return nil
}

// releaseChanged gives up the cells that a known task group keeps no longer by its new content.
func (c *controller) releaseChanged(group *taskGroup, v *record.TaskGroup) {
	if group.partition != v.Partition || group.zone != v.Zone {
		// A binding of ours that is being stored fails, or came before. What waits
		// for cells in another zone must not get them there.
		c.cancelReservations(group, true)
		group.inPartitionSince = c.now
	}
	kept := make(map[int32]bool, len(v.Tasks))
	for _, x := range v.Tasks {
		kept[x.Task] = true
	}
	c.releaseCells(group, kept)
}

// setContent sets what a group's record says of the group as a whole.
func (group *taskGroup) setContent(v *record.TaskGroup, stored storedValue) {
	group.revision, group.size, group.encoding = stored.revision, stored.size, stored.encoding
	group.partition, group.zone, group.guaranteed = v.Partition, v.Zone, v.Guaranteed
	group.done, group.throttle = v.Done, v.Throttle
}

// putBindings takes in a group's tasks, with the machines that they are bound to.
func (c *controller) putBindings(group *taskGroup, tasks []record.Binding) {
	bindings, boundCount := make([]binding, 0, len(tasks)), 0
	for i := range tasks {
		task := &tasks[i]
		bound := binding{task: task.Task, attempt: task.Attempt, incarnation: task.Incarnation}
		if task.Machine != "" {
			bound.machine = c.bindMachine(group, task)
			boundCount++
		}
		bindings = append(bindings, bound)
		group.job.groupOfTask[task.Task] = group
	}
	group.bindings, group.boundCount = bindings, boundCount
}

// bindMachine links the machine that a task is bound to with the task. The group has its
// former bindings still.
func (c *controller) bindMachine(group *taskGroup, task *record.Binding) *machine {
	m := c.machineNamed(task.Machine)
	if m.partition == c.loanPartition() && !group.binds(task.Task, task.Attempt, m) {
		m.lastBoundAt = c.now
	}
	m.bindings.add(group.task(task.Task), group)
	m.introduce(task.Addr, task.Incarnation)
	c.addToPartition(m) // a terminated one may have been removed
	return m
}

// stopThrottled has the tasks stopped that a group's throttle does not allow.
func (c *controller) stopThrottled(group *taskGroup) {
	for i := range group.bindings {
		if m := group.bindings[i].machine; m != nil && group.exceedsThrottle(group.bindings[i].task) {
			c.sendCommandsNow(m)
		}
	}
}

// deleteGroup forgets a task group.
func (c *controller) deleteGroup(key string) {
	c.markGroupReadable(key)
	group := c.groupByKey[key]
	if group == nil {
		return
	}
	c.rollout.groupsByEncoding[group.encoding]--
	c.releaseCells(group, nil)
	c.unlinkBindings(group)
	c.moveToPartition(group, noPartition)
	c.removeGroup(group)
}

// markGroupReadable notes that a group's record can be decoded, or is deleted.
func (c *controller) markGroupReadable(key string) {
	delete(c.rollout.unreadable, key)
	if id, _, ok := splitGroupKey(key); ok {
		if job := c.jobs[id]; job != nil {
			job.markReadable(key)
		}
	}
}
