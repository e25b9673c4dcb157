package controller

import "eiderhitch/internal/scheduling"

// Claims of tasks on cells, kept in line with the stored records.

// adoptBindings brings the cells of a part of ours in line with a stored record.
func (c *clusterState) adoptBindings(group *taskGroup) {
	if group.job.spec == nil {
		return
	}
	for i := range group.bindings {
		bound := &group.bindings[i]
		if bound.machine == nil {
			continue
		}
		p := c.partitions[bound.machine.partition]
		if p.token == 0 {
			continue
		}
		t := group.task(bound.task)
		if o, ok := c.attemptEnds[t]; ok && o.attempt == bound.attempt {
			continue // its cell is free already, on proof
		}
		delete(p.reservations, t)
		p.cells.Adopt(t, bound.machine.index, group.job.taskSize, group.claim())
		c.noteFetch(bound.machine, group.job.spec.Image)
	}
}

// cancelReservations gives up what a record's tasks claim without a stored binding; of
// cells whose binding may be on its way only if those, too, are void.
func (c *clusterState) cancelReservations(group *taskGroup, all bool) {
	p := c.partitions[group.partition]
	if p.token == 0 {
		return
	}
	for i := range group.bindings {
		t := group.task(group.bindings[i].task)
		if g := p.cells.PreemptingGroup(t); g != nil {
			p.cells.Cancel(g)
		}
		if _, ok := p.reservations[t]; ok && all {
			delete(p.reservations, t)
			c.freeCell(p, t)
		}
	}
}

// releaseCells gives up whatever tasks hold in a part of ours that leave a
// record. Left behind, their cells would never be free again, and a look at
// their record would find none.
func (c *clusterState) releaseCells(group *taskGroup, kept map[int32]bool) {
	p := c.partitions[group.partition]
	if p.token == 0 {
		return
	}
	for i := range group.bindings {
		if kept[group.bindings[i].task] {
			continue
		}
		t := group.task(group.bindings[i].task)
		if g := p.cells.PreemptingGroup(t); g != nil {
			p.cells.Cancel(g)
		}
		delete(p.reservations, t)
		c.freeCell(p, t)
	}
}

// freeCell ends a task's use of its cell; a group that waited for it may now
// be Allocated.
func (c *clusterState) freeCell(p *partition, t scheduling.Task) {
	if g := p.cells.Release(t); g != nil {
		c.reserveCells(p, g)
	}
}

func (c *clusterState) reserveCells(p *partition, g *scheduling.Group) {
	for i, t := range g.Tasks {
		m := c.machineByIndex[g.Machines[i]]
		p.reservations[t] = reservation{m, m.incarnation}
		c.noteFetch(m, c.groups[t.Group].job.spec.Image)
	}
	c.requestPass()
}

// noteFetch notes that a machine fetches an image for a task that it is given.
func (c *clusterState) noteFetch(m *machine, image string) {
	if image != "" && !m.images[image] {
		m.fetching[image] = c.now
	}
}
