package controller

import "eiderhitch/internal/scheduling"

// cellRegistry keeps the cells and reservations of this controller's partitions consistent with
// the stored task groups and with the proven ends of attempts.
type cellRegistry struct {
	*eventLoop
	*catalog
	*machineRegistry

	// unstoredEnds holds the proven ends of attempts that are not stored yet.
	unstoredEnds map[scheduling.TaskID]attemptEnd
}

func newCellRegistry(loop *eventLoop, jobs *catalog, machines *machineRegistry) *cellRegistry {
	return &cellRegistry{
		eventLoop: loop, catalog: jobs, machineRegistry: machines,
		unstoredEnds: map[scheduling.TaskID]attemptEnd{},
	}
}

// adoptBindings updates the cells of this controller's partitions to the bindings of a stored
// task group.
func (c *cellRegistry) adoptBindings(group *taskGroup) {
	if group.job.spec == nil {
		return
	}
	for i := range group.bindings {
		c.adoptBinding(group, &group.bindings[i])
	}
}

// adoptBinding marks the cell of a bound task as used, unless the attempt is already proven to
// have ended.
func (c *cellRegistry) adoptBinding(group *taskGroup, bound *binding) {
	if bound.machine == nil {
		return
	}
	p := c.partitions[bound.machine.partition]
	if p.token == 0 {
		return
	}
	task := group.task(bound.task)
	if c.hasUnstoredEnd(task, bound.boundAttempt()) {
		return
	}
	delete(p.reservations, task)
	p.cells.ApplyBinding(task, bound.machine.index, group.job.taskSize, group.claim())
	c.trackFetch(bound.machine, group.job.spec.Image)
}

// cancelReservations cancels the preemptions that a group's tasks wait for. If includeReserved is
// set, it also releases the cells that are already reserved for the tasks; a write that binds the
// tasks to these cells may be in flight.
func (c *cellRegistry) cancelReservations(group *taskGroup, includeReserved bool) {
	p := c.partitions[group.partition]
	if p.token == 0 {
		return
	}
	for i := range group.bindings {
		task := group.task(group.bindings[i].task)
		p.cancelPreemption(task)
		if _, ok := p.reservations[task]; ok && includeReserved {
			delete(p.reservations, task)
			c.freeCell(p, task)
		}
	}
}

// releaseCellsExcept releases the cells and reservations, in this controller's partition, of the
// group's tasks that are not in kept. These tasks leave the group: without the release, their
// cells would never become free, and their group would not be found when the machine fails.
func (c *cellRegistry) releaseCellsExcept(group *taskGroup, kept map[int32]bool) {
	p := c.partitions[group.partition]
	if p.token == 0 {
		return
	}
	for i := range group.bindings {
		if kept[group.bindings[i].task] {
			continue
		}
		task := group.task(group.bindings[i].task)
		p.cancelPreemption(task)
		delete(p.reservations, task)
		c.freeCell(p, task)
	}
}

// cancelPreemption cancels the preemption that a task waits for, alone or as part of a group.
func (p *partition) cancelPreemption(task scheduling.TaskID) {
	if request := p.cells.PreemptingGroup(task); request != nil {
		p.cells.CancelReservations(request)
	}
}

// freeCell ends a task's use of its cell. If the group that preempted it has all its cells now,
// that group is Allocated and its reservations are recorded.
func (c *cellRegistry) freeCell(p *partition, task scheduling.TaskID) {
	if request := p.cells.Release(task); request != nil {
		c.recordReservations(p, request)
	}
}

// dropStaleEnds removes the ends of bindings that a group no longer has: these ends are already
// stored. A write that was executed but whose response was lost leaves such ends behind.
func (c *cellRegistry) dropStaleEnds(group *taskGroup, former []binding) {
	if len(c.unstoredEnds) == 0 {
		return
	}
	for i := range former {
		task := group.task(former[i].task)
		end, known := c.unstoredEnds[task]
		if !known {
			continue
		}
		if bound := group.binding(task.Number); bound == nil || end.attempt != bound.boundAttempt() {
			delete(c.unstoredEnds, task)
		}
	}
}

// recordReservations records the cells of an Allocated group as reserved. The next scheduling
// pass stores their bindings.
func (c *cellRegistry) recordReservations(p *partition, request *scheduling.AffinityGroup) {
	for i, task := range request.Tasks {
		m := c.machineByIndex[request.Machines[i]]
		p.reservations[task] = reservation{m, m.incarnation}
		c.trackFetch(m, c.groups[task.Group].job.spec.Image)
	}
	c.requestSchedulingPass()
}

// trackFetch records that a machine starts to fetch an image for a task placed on it.
func (c *cellRegistry) trackFetch(m *machine, image string) {
	if image != "" && !m.cachedImages[image] {
		m.fetchStartedAt[image] = c.now
	}
}

// isLost reports whether the attempt of a bound task is proven to have ended before the task
// completed.
func (c *cellRegistry) isLost(group *taskGroup, bound *binding) bool {
	end, ended := c.unstoredEnds[group.task(bound.task)]
	return ended && end.attempt == bound.boundAttempt() && !end.done
}
