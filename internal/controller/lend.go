package controller

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"eiderhitch/internal/config"
	"eiderhitch/internal/core"
	"eiderhitch/internal/record"
	"eiderhitch/internal/store"
	"eiderhitch/internal/wire"
)

// A group that no single part can hold goes to the leader, which takes whole
// machines from other parts: it writes e/lend/MACHINE under the version of the
// part's key. The owner places nothing there any more, stops what the group may
// evict and, once nothing is bound there, acknowledges. From then on the machine
// is in the leader's own part, whose key and term are the leader's; there the
// same core runs as in any part. A new term of the leader, higher than any token
// that the former owner has used, fences that owner's commands; a new term of
// the owner does the same when the machine is handed back.

type lend struct {
	record.MachineLoan
	stamp   uint64
	lentAt  uint64 // version of the write that lent it, as far as that was seen
	writing bool
	leaving bool // it is being handed back: nothing is placed on it any more
	since   time.Time
}

func (l *lend) claim(b *brain) core.Claim {
	return core.Claim{Priority: l.Priority, Guaranteed: l.Guaranteed, Team: b.team(l.Team)}
}

// lentNames are the machines that are lent, in one order for all that is decided.
func (b *brain) lentNames() []string {
	if len(b.lends) == 0 {
		return nil
	}
	return slices.Sorted(maps.Keys(b.lends))
}

// lentPart is the number of the leader's own part.
func (b *brain) loanPartition() int { return len(b.partitions) - 1 }

func (b *brain) putLoan(name string, v *record.MachineLoan, stamp uint64) {
	m := b.machine(name)
	l := b.lends[name]
	if l == nil {
		l = &lend{since: b.now, lentAt: stamp}
		b.lends[name] = l
	}
	l.MachineLoan, l.stamp = *v, stamp
	if !b.moved(m) && !l.Acknowledged {
		b.kick(m) // stops what the group may evict
	}
}

func (b *brain) deleteLoan(name string) {
	m := b.machine(name)
	delete(b.lends, name)
	if p := b.partitions[m.hash]; b.moved(m) && p.token != 0 {
		p.tokenRaiseDue = true
	}
}

// moved takes a machine out of the part that it was in, if it is in another now.
func (b *brain) moved(m *machine) bool {
	before, now := m.home, b.homeOf(m)
	if now == before {
		return false
	}
	b.log.Info("machine changes parts", "machine", m.name, "from", before, "to", now)
	p := b.partitions[before]
	p.removeMachines(func(o *machine) bool { return o == m })
	m.home, m.homeAt = now, b.now
	b.enlist(m)
	if p.token != 0 {
		for _, x := range m.bound { // services that go along
			b.freeCell(p, x.task)
		}
		p.cells.DropMachine(m.idx)
	}
	for _, x := range m.bound {
		b.adopt(x.group)
	}
	b.step()
	return true
}

// acknowledge hands over machines of a part of ours on which nothing is bound
// or about to be, apart from services that go along.
func (b *brain) acknowledge(p *partition) {
	for _, name := range b.lentNames() {
		l, m := b.lends[name], b.machine(name)
		if l.Acknowledged || l.writing || m.hash != p.index || len(m.bound) > 0 && !b.goAlong(l, m, p) {
			continue
		}
		if p.hasReservationOn(m) {
			continue
		}
		l.writing = true
		v := l.MachineLoan
		v.Acknowledged = true
		b.submitWrite(&store.Write{Prompt: true,
			Conditions: []wire.Condition{{Key: p.key, Revision: p.token}, {Key: loanPrefix + name, Revision: l.stamp}},
			Changes:    []wire.Change{{Put: loanPrefix + name, Value: record.JSON(v)}},
		}, func(error) { l.writing = false })
	}
}

// goAlong tells whether all that is bound to a machine is services that go with it to the
// leader's part: they stay, and were there before the machine was chosen.
func (b *brain) goAlong(l *lend, m *machine, p *partition) bool {
	if l.Job == poolJob || !b.onlyServes(m, p) {
		return false
	}
	for _, x := range m.bound {
		if x.group.revision > l.lentAt || l.claim(b).CanPreempt(x.group.claim()) {
			return false
		}
	}
	return true
}

// onlyServes tells whether all that is bound to a machine of ours is services that run, and
// no command of ours can still be under way there. Such a machine may change hands with
// them: whatever ends them later is proven, and stored, as after any take-over.
func (b *brain) onlyServes(m *machine, p *partition) bool {
	if !b.up(m, p) || m.token != p.token || m.openDo == p.token || m.doBusy || m.doStart || m.respOpen {
		return false
	}
	for _, x := range m.bound {
		r := x.group
		if r.job.spec == nil || !r.job.spec.Service || r.job.finalState != unfinishedJob || r.writing {
			return false
		}
		e, cell := r.binding(x.task.Num), p.cells.CellOf(x.task)
		if e == nil || cell == nil || cell.State != core.Used || !m.runs(taskName(r.job.id, e.task), e) {
			return false
		}
	}
	return true
}

// runs tells whether a machine's newest report shows an attempt running.
func (m *machine) runs(task string, e *binding) bool {
	return slices.ContainsFunc(m.tasks, func(t wire.TaskStatus) bool {
		return t.Task == task && t.Attempt == e.attempt && t.State == wire.Running && e.incarnation == m.session
	})
}

// lentFor tells whether machines are lent, or being lent, for a job.
func (b *brain) lentFor(j *job) bool {
	for _, l := range b.lends {
		if l.Job == j.id {
			return true
		}
	}
	return false
}

// keepAfter is how long a group waits for whole room before machines are kept for it.
const keepAfter = 8 * time.Second

// borrow takes machines from other parts for a whole group of n tasks. It
// reports whether they are on their way.
func (b *brain) borrow(hosts []*core.MachineSummary, j *job, zone string, n int, c core.Claim) bool {
	coming := b.roomComing(hosts, j, zone, n)
	if coming >= n {
		return true
	}
	// Among endless work of its own priority a group would never find whole room: what
	// comes free is taken one cell at a time. One that has waited has machines kept for
	// it on which nothing is that stays, until they are empty (the paper leaves room for
	// "reservation during waiting").
	keep := b.now.Sub(j.acceptedAt) > keepAfter
	var can []*core.MachineSummary
	for _, h := range hosts {
		if h.Booting || h.Partition == b.loanPartition() || h.InUse || b.leadership.closing[b.byIdx[h.ID].name] || !allowed(j.spec, zone, h.Type, h.Zone, h.Spot) {
			continue
		}
		if keep && !h.RunsService || !slices.ContainsFunc(h.Usages, func(x core.Usage) bool { return !c.CanPreempt(x.Claim) }) {
			can = append(can, h)
		}
	}
	slices.SortFunc(can, func(x, y *core.MachineSummary) int {
		return cmp.Or(cmp.Compare(len(x.Usages), len(y.Usages)), cmp.Compare(y.Size.CountFitting(j.taskSize, n), x.Size.CountFitting(j.taskSize, n)), cmp.Compare(x.ID, y.ID))
	})
	var chosen []*core.MachineSummary
	for _, h := range can {
		if coming >= n {
			break
		}
		coming += h.Size.CountFitting(j.taskSize, n)
		chosen = append(chosen, h)
	}
	if coming < n || len(chosen) == 0 {
		if chosen = b.besideServices(hosts, j, zone, n); len(chosen) == 0 {
			return false
		}
	}
	// As many as one change can be; the others follow in the next steps.
	chosen = chosen[:min(len(chosen), b.cfg.Settings.State.TxnOps)]
	b.log.Info("machines are borrowed for a group", "job", j.id, "machines", len(chosen))
	b.borrowMachines(chosen, []wire.Condition{{Key: jobKey(j.id), Revision: j.revision}}, record.MachineLoan{Job: j.id, Priority: c.Priority, Guaranteed: c.Guaranteed, Team: j.spec.Team})
	return true
}

// besideAfter is how long a group waits for room until machines are borrowed with the
// services on them: before that others may well come free.
const besideAfter = 30 * time.Second

// besideServices are machines that together have room for a group beside services that
// stay. They are in several parts, or the group would be dealt to one: it waited for ever
// beside room, since no machine with a service was lent.
func (b *brain) besideServices(hosts []*core.MachineSummary, j *job, zone string, n int) []*core.MachineSummary {
	if b.now.Sub(j.acceptedAt) < besideAfter {
		return nil
	}
	var can []*core.MachineSummary
	coming := 0
	for _, h := range hosts {
		fits := h.Free.CountFitting(j.taskSize, n)
		if h.Booting || fits == 0 || b.leadership.closing[b.byIdx[h.ID].name] || !allowed(j.spec, zone, h.Type, h.Zone, h.Spot) {
			continue
		}
		switch {
		case h.Partition == b.loanPartition():
			coming += fits
		case !h.InUse:
			can = append(can, h)
		}
	}
	slices.SortFunc(can, func(x, y *core.MachineSummary) int {
		return cmp.Or(cmp.Compare(y.Free.CountFitting(j.taskSize, n), x.Free.CountFitting(j.taskSize, n)), cmp.Compare(x.ID, y.ID))
	})
	var chosen []*core.MachineSummary
	for _, h := range can {
		if coming >= n {
			break
		}
		coming += h.Free.CountFitting(j.taskSize, n)
		chosen = append(chosen, h)
	}
	if coming < n {
		return nil
	}
	return chosen
}

// roomComing is for how many of n tasks of a job there is room in the leader's part, or
// will be once the machines that are being lent for it have come.
func (b *brain) roomComing(hosts []*core.MachineSummary, j *job, zone string, n int) int {
	room := 0
	listed := map[int32]bool{}
	for _, h := range hosts {
		listed[h.ID] = true
		l := b.lends[b.byIdx[h.ID].name]
		if h.Partition != b.loanPartition() || l == nil || l.Job != j.id && !j.spec.Gang || !allowed(j.spec, zone, h.Type, h.Zone, h.Spot) {
			continue
		}
		room += h.Free.CountFitting(j.taskSize, n)
	}
	for name, l := range b.lends {
		m := b.machine(name)
		t := b.machineTypes[m.typ]
		if l.Job != j.id || listed[m.idx] || t == nil || !allowed(j.spec, zone, m.typ, m.zone, m.spot) {
			continue
		}
		room += core.NewResources(t.CPUs, t.GPUs, t.RAM).Minus(m.serving()).CountFitting(j.taskSize, n)
	}
	return room
}

// serving is what services have of a machine.
func (m *machine) serving() core.Resources {
	var use core.Resources
	for _, x := range m.bound {
		if spec := x.group.job.spec; spec != nil && spec.Service {
			use = use.Plus(x.group.job.taskSize)
		}
	}
	return use
}

// borrowMachines lends machines to the leader's part, if the parts that they are in have
// not changed hands meanwhile.
func (b *brain) borrowMachines(chosen []*core.MachineSummary, cond []wire.Condition, v record.MachineLoan) {
	u := &store.Write{Prompt: true, Conditions: append([]wire.Condition{b.leaderCondition()}, cond...)}
	parts := map[int]bool{}
	for _, h := range chosen {
		h.InUse, h.Free = true, core.Resources{}
		key := loanPrefix + b.byIdx[h.ID].name
		u.Conditions = append(u.Conditions, wire.Condition{Key: key})
		if !parts[h.Partition] {
			parts[h.Partition] = true
			u.Conditions = append(u.Conditions, wire.Condition{Key: b.partitions[h.Partition].key, Revision: b.revisions[b.partitions[h.Partition].key]})
		}
		u.Changes = append(u.Changes, wire.Change{Put: key, Value: record.JSON(v)})
	}
	b.leadership.writes++
	epoch := b.leadership.epoch
	b.submitWrite(u, func(err error) { b.leaderWriteDone(epoch, err) })
}

// tendLends fences machines that came in and hands back those that are not
// needed: nothing stays lent for ever.
func (b *brain) tendLends() {
	p := b.partitions[b.loanPartition()]
	for _, name := range b.lentNames() {
		l, m := b.lends[name], b.machine(name)
		if l.Acknowledged && l.stamp > p.token {
			p.tokenRaiseDue = true // the former owner's tokens are below this stamp
		}
		// What has claimed a cell there may be bound any moment: handed back meanwhile, the
		// machine was its former owner's and the binding ours, and neither could end it.
		// Services that were lent with it, or came since, go back with it.
		stays := len(m.bound) > 0 && (l.Job == poolJob || !b.onlyServes(m, p))
		if l.writing || l.Acknowledged && (stays || p.hasReservationOn(m)) {
			continue
		}
		if !b.staysLent(l, m, p) {
			b.handBack(name, l)
		}
	}
}

// staysLent tells whether a machine is still wanted where it is lent to, and can be had.
func (b *brain) staysLent(l *lend, m *machine, p *partition) bool {
	if l.Job == poolJob {
		return l.Acknowledged && b.poolKeeps(m) || !l.Acknowledged && b.now.Sub(l.since) < poolPatience
	}
	j := b.jobs[l.Job]
	if j == nil || j.finalState != unfinishedJob || j.spec == nil || m.gone || !b.needsLoan(j, p.index) {
		return false
	}
	if m.typ != "" && !allowed(j.spec, b.pinned(j), m.typ, m.zone, m.spot) {
		return false
	}
	if l.Acknowledged {
		// One that has not reported since it came died on the way: it is its
		// owner's again, who finds out what has become of it.
		return m.heard.After(p.ownsMachineSince(m)) || b.now.Sub(p.ownsMachineSince(m)) < b.silentAfter()+5*time.Second
	}
	// An owner that does not let go in time may have higher work there by now.
	patience := b.leaseExpiry + 2*config.Seconds(b.cfg.Settings.Workers.ReportS) + 10*time.Second
	return b.now.Sub(l.since) < patience
}

// needsLoan tells whether a job has tasks that machines lent to a part are for: some that
// wait there, or a whole group that waits and has found no room where it was dealt to.
func (b *brain) needsLoan(j *job, part int) bool {
	waits, bound := len(j.groups) == 0, 0
	for _, r := range j.groups {
		waits = waits || r.boundTasks() < len(r.bindings)
		bound += r.boundTasks()
		if r.partition == part && r.boundTasks() < len(r.bindings) {
			return true
		}
	}
	return waits && bound == 0
}

// claimed tells whether a cell of a machine is claimed whose binding is not known yet.
func (p *partition) hasReservationOn(m *machine) bool {
	for _, a := range p.reservations {
		if a.machine == m {
			return true
		}
	}
	return false
}

// handBack ends a lending.
func (b *brain) handBack(name string, l *lend) {
	l.writing, l.leaving = true, true
	b.submitWrite(&store.Write{
		Conditions: []wire.Condition{b.leaderCondition(), {Key: loanPrefix + name, Revision: l.stamp}},
		Changes:    []wire.Change{{Delete: loanPrefix + name}},
	}, func(error) { l.writing, l.leaving = false, false })
}
