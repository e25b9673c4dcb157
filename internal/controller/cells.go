package controller

import "eiderhitch/internal/scheduling"

// cellRegistry keeps the cells and reservations of this controller's partitions in line with
// the stored task groups and with the ends of attempts.
type cellRegistry struct {
	*eventLoop
	*catalog
	*machineRegistry

	// unstoredEnds are proven ends of attempts that are not stored yet.
	unstoredEnds map[scheduling.TaskID]attemptEnd
}

func newCellRegistry(loop *eventLoop, jobs *catalog, machines *machineRegistry) *cellRegistry {
	return &cellRegistry{
		eventLoop: loop, catalog: jobs, machineRegistry: machines,
		unstoredEnds: map[scheduling.TaskID]attemptEnd{},
	}
}

// adoptBindings brings the cells of this controller's partitions in line with a stored task
// group.
func (c *cellRegistry) adoptBindings(group *taskGroup) {
	if group.job.spec == nil {
		return
	}
	for i := range group.bindings {
		c.adoptBinding(group, &group.bindings[i])
	}
}

// adoptBinding has a bound task use its cell, unless the cell is free already because the
// attempt is proven to have ended.
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

// cancelReservations gives up the cells that a group's tasks wait for; with all also those
// that they have reserved, for which a binding may be on its way to the key-value store.
func (c *cellRegistry) cancelReservations(group *taskGroup, all bool) {
	p := c.partitions[group.partition]
	if p.token == 0 {
		return
	}
	for i := range group.bindings {
		task := group.task(group.bindings[i].task)
		p.cancelPreemption(task)
		if _, ok := p.reservations[task]; ok && all {
			delete(p.reservations, task)
			c.freeCell(p, task)
		}
	}
}

// releaseCellsExcept gives up whatever tasks that leave a group hold in this controller's partition.
// Left behind, their cells would never be free again, and their group would not be found
// when their machine fails.
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

// cancelPreemption gives up what a task, together with others perhaps, waits for.
func (p *partition) cancelPreemption(task scheduling.TaskID) {
	if request := p.cells.PreemptingGroup(task); request != nil {
		p.cells.CancelReservations(request)
	}
}

// freeCell ends a task's use of its cell; a group that waited for it may now be Allocated.
func (c *cellRegistry) freeCell(p *partition, task scheduling.TaskID) {
	if request := p.cells.Release(task); request != nil {
		c.recordReservations(p, request)
	}
}

// dropStaleEnds forgets the ends of bindings that a group no longer has: somebody has stored
// them. A write that is carried out while its answer is lost leaves them behind.
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

// recordReservations notes the cells of an Allocated group. Their bindings are stored by the next
// scheduling pass.
func (c *cellRegistry) recordReservations(p *partition, request *scheduling.AffinityGroup) {
	for i, task := range request.Tasks {
		m := c.machineByIndex[request.Machines[i]]
		p.reservations[task] = reservation{m, m.incarnation}
		c.trackFetch(m, c.groups[task.Group].job.spec.Image)
	}
	c.requestSchedulingPass()
}

// trackFetch notes that a machine fetches an image for a task that it is given.
func (c *cellRegistry) trackFetch(m *machine, image string) {
	if image != "" && !m.cachedImages[image] {
		m.fetchStartedAt[image] = c.now
	}
}

// isLost tells whether the attempt that a task is bound for is proven to have ended before the
// task was done.
func (c *cellRegistry) isLost(group *taskGroup, bound *binding) bool {
	end, ended := c.unstoredEnds[group.task(bound.task)]
	return ended && end.attempt == bound.boundAttempt() && !end.done
}
