package controller

// checkAll checks that no rule and no limit of the state service was broken.
func (c *cluster) checkAll() {
	c.t.Helper()
	for i := range c.nodes {
		c.checkClaims(i)
	}
	for _, b := range c.env.Violations() {
		c.t.Error(b)
	}
	c.checkStored()
	if c.env.Store.OverLimits > 0 {
		c.t.Errorf("%d transactions were beyond the limits", c.env.Store.OverLimits)
	}
}

// checkClaims looks into a controller: its cells are consistent, and everything
// that holds one is a task of a record.
func (c *cluster) checkClaims(i int) {
	n := c.nodes[i]
	if !n.isRunning() {
		return
	}
	ctl := n.controller()
	if !ctl.call(c.ctx, priorityState, func() {
		for _, p := range ctl.partitions {
			if p.token == 0 || !p.active {
				continue
			}
			if err := p.cells.CheckInvariants(); err != nil {
				c.t.Errorf("node %d part %d: %v", i, p.index, err)
			}
			for _, t := range p.cells.Tasks() {
				if group := ctl.groups[t.Group]; group == nil || group.binding(t.Number) == nil {
					c.t.Errorf("node %d part %d: cell of %v, which no record has", i, p.index, t)
				}
			}
			for t := range p.reservations {
				if p.cells.CellOf(t) == nil {
					c.t.Errorf("node %d part %d: %v is allocated without a cell", i, p.index, t)
				}
			}
		}
	}) {
		c.t.Errorf("node %d does not answer", i)
	}
}
