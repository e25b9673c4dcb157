package controller

import "eiderhitch/internal/scheduling"

// checkInvariants checks that no rule and no limit of the key-value store was broken.
func (c *cluster) checkInvariants() {
	c.t.Helper()
	for i := range c.nodes {
		c.checkPartitions(i)
	}
	for _, violation := range c.env.Violations() {
		c.t.Error(violation)
	}
	c.checkStoredRecords()
	if n := c.env.Store.Stats().OverLimits; n > 0 {
		c.t.Errorf("%d transactions were beyond the limits, want none", n)
	}
}

// checkPartitions looks into a node's controller at the partitions that it owns.
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
		c.t.Errorf("node %d does not answer", i)
	}
}

// checkPartition checks that cells are consistent, and that everything which holds one is a
// task of a record.
func (c *cluster) checkPartition(i int, ctl *controller, p *partition) {
	c.t.Helper()
	if err := p.cells.CheckInvariants(); err != nil {
		c.t.Errorf("node %d partition %d: %v", i, p.index, err)
	}
	for _, t := range p.cells.AllocatedTasks() {
		if group := ctl.groups[t.Group]; group == nil || group.binding(t.Number) == nil {
			c.t.Errorf("node %d partition %d: cell of %v, which no record has", i, p.index, t)
		}
	}
	for t := range p.reservations {
		if p.cells.Cell(t) == nil {
			c.t.Errorf("node %d partition %d: %v is reserved without a cell", i, p.index, t)
		}
		if group := ctl.groups[t.Group]; group != nil && ctl.hasLiveBinding(group, t) {
			c.t.Errorf("node %d partition %d: %v is reserved while it is bound", i, p.index, t)
		}
	}
}

// hasLiveBinding tells whether a task with a reservation has a binding that nobody takes
// for ended: the reservation would bind it anew as soon as it ends.
func (c *controller) hasLiveBinding(group *taskGroup, task scheduling.TaskID) bool {
	binding := group.binding(task.Number)
	return binding != nil && binding.machine != nil && !group.writeInFlight && !c.isLost(group, binding)
}
