package controller

import "eiderhitch/internal/scheduling"

// checkInvariants checks that the partitions are consistent, that all stored records are valid, and
// that no rule and no limit of the key-value store was broken.
func (c *cluster) checkInvariants() {
	c.t.Helper()
	for i := range c.nodes {
		c.checkPartitions(i)
	}
	for _, violation := range c.env.Violations() {
		c.t.Error(violation)
	}
	c.checkStoredRecords()
	if n := c.env.Store.Stats().RejectedTxns; n > 0 {
		c.t.Errorf("%d transactions exceeded the limits of the key-value store, want none", n)
	}
}

// checkPartitions checks the partitions that a node's controller owns and has completely taken over.
func (c *cluster) checkPartitions(i int) {
	c.t.Helper()
	ctl := c.nodes[i].controller()
	if ctl == nil {
		return
	}
	answered := ctl.call(c.ctx, priorityStore, func() {
		for _, p := range ctl.partitions {
			if p.token != 0 && p.takeoverComplete {
				c.checkPartition(i, ctl, p)
			}
		}
	})
	if !answered {
		c.t.Errorf("node %d: the event loop does not respond", i)
	}
}

// checkPartition checks that the cells of a partition are consistent, that each allocated cell
// belongs to a task of a record, and that reservations have cells and no live binding.
func (c *cluster) checkPartition(i int, ctl *controller, p *partition) {
	c.t.Helper()
	if err := p.cells.CheckInvariants(); err != nil {
		c.t.Errorf("node %d partition %d: %v", i, p.index, err)
	}
	for _, t := range p.cells.AllocatedTasks() {
		if group := ctl.groups[t.Group]; group == nil || group.binding(t.Number) == nil {
			c.t.Errorf("node %d partition %d: a cell is allocated to %v, which is in no record", i, p.index, t)
		}
	}
	for t := range p.reservations {
		if p.cells.Cell(t) == nil {
			c.t.Errorf("node %d partition %d: %v has a reservation but no cell", i, p.index, t)
		}
		if group := ctl.groups[t.Group]; group != nil && ctl.hasLiveBinding(group, t) {
			c.t.Errorf("node %d partition %d: %v has a reservation although it is bound", i, p.index, t)
		}
	}
}

// hasLiveBinding reports whether a task is bound to a machine, the binding is not lost and no write
// that could end it is in flight. Such a task must have no reservation, since that would bind it
// again as soon as the binding ends.
func (c *controller) hasLiveBinding(group *taskGroup, task scheduling.TaskID) bool {
	binding := group.binding(task.Number)
	return binding != nil && binding.machine != nil && !group.writeInFlight && !c.isLost(group, binding)
}
