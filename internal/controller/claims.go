package controller

import "eiderhitch/internal/core"

// Claims of tasks on cells, kept in line with the stored records.

// adopt brings the cells of a part of ours in line with a stored record.
func (b *brain) adopt(r *rec) {
	if r.job.spec == nil {
		return
	}
	for i := range r.entries {
		e := &r.entries[i]
		if e.m == nil {
			continue
		}
		p := b.parts[e.m.home]
		if p.term == 0 {
			continue
		}
		t := r.task(e.num)
		if o, ok := b.outcomes[t]; ok && o.attempt == e.attempt {
			continue // its cell is free already, on proof
		}
		delete(p.alloc, t)
		p.cells.Adopt(t, e.m.idx, r.job.need, r.claim())
		b.willFetch(e.m, r.job.spec.Image)
	}
}

// cancelClaims gives up what a record's tasks claim without a stored binding; of
// cells whose binding may be on its way only if those, too, are void.
func (b *brain) cancelClaims(r *rec, all bool) {
	p := b.parts[r.part]
	if p.term == 0 {
		return
	}
	for i := range r.entries {
		t := r.task(r.entries[i].num)
		if g := p.cells.PreemptingGroup(t); g != nil {
			p.cells.Cancel(g)
		}
		if _, ok := p.alloc[t]; ok && all {
			delete(p.alloc, t)
			b.freeCell(p, t)
		}
	}
}

// releaseClaims gives up whatever tasks hold in a part of ours that leave a
// record. Left behind, their cells would never be free again, and a look at
// their record would find none.
func (b *brain) releaseClaims(r *rec, kept map[int32]bool) {
	p := b.parts[r.part]
	if p.term == 0 {
		return
	}
	for i := range r.entries {
		if kept[r.entries[i].num] {
			continue
		}
		t := r.task(r.entries[i].num)
		if g := p.cells.PreemptingGroup(t); g != nil {
			p.cells.Cancel(g)
		}
		delete(p.alloc, t)
		b.freeCell(p, t)
	}
}

// freeCell ends a task's use of its cell; a group that waited for it may now
// be Allocated.
func (b *brain) freeCell(p *part, t core.Task) {
	if g := p.cells.Release(t); g != nil {
		b.allocated(p, g)
	}
}

func (b *brain) allocated(p *part, g *core.Group) {
	for i, t := range g.Tasks {
		m := b.byIdx[g.Machines[i]]
		p.alloc[t] = alloc{m, m.session}
		b.willFetch(m, b.recs[t.Group].job.spec.Image)
	}
	b.step()
}

// willFetch notes that a machine fetches an image for a task that it is given.
func (b *brain) willFetch(m *machine, image string) {
	if image != "" && !m.images[image] {
		m.fetching[image] = b.now
	}
}
