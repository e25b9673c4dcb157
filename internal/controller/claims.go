package controller

import "eiderhitch/internal/core"

// Claims of tasks on cells, kept in line with the stored records.

// adopt brings the cells of a part of ours in line with a stored record.
func (b *controller) adoptBindings(r *taskGroup) {
	if r.job.spec == nil {
		return
	}
	for i := range r.bindings {
		e := &r.bindings[i]
		if e.machine == nil {
			continue
		}
		p := b.partitions[e.machine.partition]
		if p.token == 0 {
			continue
		}
		t := r.task(e.task)
		if o, ok := b.attemptEnds[t]; ok && o.attempt == e.attempt {
			continue // its cell is free already, on proof
		}
		delete(p.reservations, t)
		p.cells.Adopt(t, e.machine.index, r.job.taskSize, r.claim())
		b.noteFetch(e.machine, r.job.spec.Image)
	}
}

// cancelClaims gives up what a record's tasks claim without a stored binding; of
// cells whose binding may be on its way only if those, too, are void.
func (b *controller) cancelReservations(r *taskGroup, all bool) {
	p := b.partitions[r.partition]
	if p.token == 0 {
		return
	}
	for i := range r.bindings {
		t := r.task(r.bindings[i].task)
		if g := p.cells.PreemptingGroup(t); g != nil {
			p.cells.Cancel(g)
		}
		if _, ok := p.reservations[t]; ok && all {
			delete(p.reservations, t)
			b.freeCell(p, t)
		}
	}
}

// releaseClaims gives up whatever tasks hold in a part of ours that leave a
// record. Left behind, their cells would never be free again, and a look at
// their record would find none.
func (b *controller) releaseCells(r *taskGroup, kept map[int32]bool) {
	p := b.partitions[r.partition]
	if p.token == 0 {
		return
	}
	for i := range r.bindings {
		if kept[r.bindings[i].task] {
			continue
		}
		t := r.task(r.bindings[i].task)
		if g := p.cells.PreemptingGroup(t); g != nil {
			p.cells.Cancel(g)
		}
		delete(p.reservations, t)
		b.freeCell(p, t)
	}
}

// freeCell ends a task's use of its cell; a group that waited for it may now
// be Allocated.
func (b *controller) freeCell(p *partition, t core.Task) {
	if g := p.cells.Release(t); g != nil {
		b.reserveCells(p, g)
	}
}

func (b *controller) reserveCells(p *partition, g *core.Group) {
	for i, t := range g.Tasks {
		m := b.machineByIndex[g.Machines[i]]
		p.reservations[t] = reservation{m, m.incarnation}
		b.noteFetch(m, b.groups[t.Group].job.spec.Image)
	}
	b.requestPass()
}

// willFetch notes that a machine fetches an image for a task that it is given.
func (b *controller) noteFetch(m *machine, image string) {
	if image != "" && !m.images[image] {
		m.fetching[image] = b.now
	}
}
