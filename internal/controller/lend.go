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

type machineLoan struct {
	record.MachineLoan
	revision     uint64
	lentRevision uint64 // version of the write that lent it, as far as that was seen
	writing      bool
	returning    bool // it is being handed back: nothing is placed on it any more
	since        time.Time
}

func (l *machineLoan) claim(b *controller) core.Claim {
	return core.Claim{Priority: l.Priority, Guaranteed: l.Guaranteed, Team: b.team(l.Team)}
}

// lentNames are the machines that are lent, in one order for all that is decided.
func (b *controller) loanedMachines() []string {
	if len(b.loans) == 0 {
		return nil
	}
	return slices.Sorted(maps.Keys(b.loans))
}

// lentPart is the number of the leader's own part.
func (b *controller) loanPartition() int { return len(b.partitions) - 1 }

func (b *controller) putLoan(name string, v *record.MachineLoan, stamp uint64) {
	m := b.machineNamed(name)
	l := b.loans[name]
	if l == nil {
		l = &machineLoan{since: b.now, lentRevision: stamp}
		b.loans[name] = l
	}
	l.MachineLoan, l.revision = *v, stamp
	if !b.updatePartition(m) && !l.Acknowledged {
		b.sendCommandsNow(m) // stops what the group may evict
	}
}

func (b *controller) deleteLoan(name string) {
	m := b.machineNamed(name)
	delete(b.loans, name)
	if p := b.partitions[m.hashPartition]; b.updatePartition(m) && p.token != 0 {
		p.tokenRaiseDue = true
	}
}

// moved takes a machine out of the part that it was in, if it is in another now.
func (b *controller) updatePartition(m *machine) bool {
	before, now := m.partition, b.partitionOfMachine(m)
	if now == before {
		return false
	}
	b.log.Info("machine changes parts", "machine", m.name, "from", before, "to", now)
	p := b.partitions[before]
	p.removeMachines(func(o *machine) bool { return o == m })
	m.partition, m.inPartitionSince = now, b.now
	b.addToPartition(m)
	if p.token != 0 {
		for _, x := range m.bindings { // services that go along
			b.freeCell(p, x.task)
		}
		p.cells.DropMachine(m.index)
	}
	for _, x := range m.bindings {
		b.adoptBindings(x.group)
	}
	b.requestPass()
	return true
}

// acknowledge hands over machines of a part of ours on which nothing is bound
// or about to be, apart from services that go along.
func (b *controller) acknowledgeLoans(p *partition) {
	for _, name := range b.loanedMachines() {
		l, m := b.loans[name], b.machineNamed(name)
		if l.Acknowledged || l.writing || m.hashPartition != p.index || len(m.bindings) > 0 && !b.movesWithServices(l, m, p) {
			continue
		}
		if p.hasReservationOn(m) {
			continue
		}
		l.writing = true
		v := l.MachineLoan
		v.Acknowledged = true
		b.submitWrite(&store.Write{Prompt: true,
			Conditions: []wire.Condition{{Key: p.key, Revision: p.token}, {Key: loanPrefix + name, Revision: l.revision}},
			Changes:    []wire.Change{{Put: loanPrefix + name, Value: record.JSON(v)}},
		}, func(error) { l.writing = false })
	}
}

// goAlong tells whether all that is bound to a machine is services that go with it to the
// leader's part: they stay, and were there before the machine was chosen.
func (b *controller) movesWithServices(l *machineLoan, m *machine, p *partition) bool {
	if l.Job == reserveLoanJob || !b.runsOnlyServices(m, p) {
		return false
	}
	for _, x := range m.bindings {
		if x.group.revision > l.lentRevision || l.claim(b).CanPreempt(x.group.claim()) {
			return false
		}
	}
	return true
}

// onlyServes tells whether all that is bound to a machine of ours is services that run, and
// no command of ours can still be under way there. Such a machine may change hands with
// them: whatever ends them later is proven, and stored, as after any take-over.
func (b *controller) runsOnlyServices(m *machine, p *partition) bool {
	if !b.usable(m, p) || m.token != p.token || m.unansweredStartToken == p.token || m.directInFlight || m.directCarriesStart || m.startInResponse {
		return false
	}
	for _, x := range m.bindings {
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
		return t.Task == task && t.Attempt == e.attempt && t.State == wire.Running && e.incarnation == m.incarnation
	})
}

// lentFor tells whether machines are lent, or being lent, for a job.
func (b *controller) hasLoanFor(j *job) bool {
	for _, l := range b.loans {
		if l.Job == j.id {
			return true
		}
	}
	return false
}

// keepAfter is how long a group waits for whole room before machines are kept for it.
const reserveMachinesAfter = 8 * time.Second

// borrow takes machines from other parts for a whole group of n tasks. It
// reports whether they are on their way.
func (b *controller) borrow(hosts []*core.MachineSummary, j *job, zone string, n int, c core.Claim) bool {
	coming := b.expectedRoom(hosts, j, zone, n)
	if coming >= n {
		return true
	}
	// Among endless work of its own priority a group would never find whole room: what
	// comes free is taken one cell at a time. One that has waited has machines kept for
	// it on which nothing is that stays, until they are empty (the paper leaves room for
	// "reservation during waiting").
	keep := b.now.Sub(j.acceptedAt) > reserveMachinesAfter
	var can []*core.MachineSummary
	for _, h := range hosts {
		if h.Booting || h.Partition == b.loanPartition() || h.InUse || b.leadership.draining[b.machineByIndex[h.ID].name] || !allowed(j.spec, zone, h.Type, h.Zone, h.Spot) {
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
		if chosen = b.machinesBesideServices(hosts, j, zone, n); len(chosen) == 0 {
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
const borrowServiceMachinesAfter = 30 * time.Second

// besideServices are machines that together have room for a group beside services that
// stay. They are in several parts, or the group would be dealt to one: it waited for ever
// beside room, since no machine with a service was lent.
func (b *controller) machinesBesideServices(hosts []*core.MachineSummary, j *job, zone string, n int) []*core.MachineSummary {
	if b.now.Sub(j.acceptedAt) < borrowServiceMachinesAfter {
		return nil
	}
	var can []*core.MachineSummary
	coming := 0
	for _, h := range hosts {
		fits := h.Free.CountFitting(j.taskSize, n)
		if h.Booting || fits == 0 || b.leadership.draining[b.machineByIndex[h.ID].name] || !allowed(j.spec, zone, h.Type, h.Zone, h.Spot) {
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
func (b *controller) expectedRoom(hosts []*core.MachineSummary, j *job, zone string, n int) int {
	room := 0
	listed := map[int32]bool{}
	for _, h := range hosts {
		listed[h.ID] = true
		l := b.loans[b.machineByIndex[h.ID].name]
		if h.Partition != b.loanPartition() || l == nil || l.Job != j.id && !j.spec.Gang || !allowed(j.spec, zone, h.Type, h.Zone, h.Spot) {
			continue
		}
		room += h.Free.CountFitting(j.taskSize, n)
	}
	for name, l := range b.loans {
		m := b.machineNamed(name)
		t := b.machineTypes[m.machineType]
		if l.Job != j.id || listed[m.index] || t == nil || !allowed(j.spec, zone, m.machineType, m.zone, m.spot) {
			continue
		}
		room += core.NewResources(t.CPUs, t.GPUs, t.RAM).Minus(m.serviceUse()).CountFitting(j.taskSize, n)
	}
	return room
}

// serving is what services have of a machine.
func (m *machine) serviceUse() core.Resources {
	var use core.Resources
	for _, x := range m.bindings {
		if spec := x.group.job.spec; spec != nil && spec.Service {
			use = use.Plus(x.group.job.taskSize)
		}
	}
	return use
}

// borrowMachines lends machines to the leader's part, if the parts that they are in have
// not changed hands meanwhile.
func (b *controller) borrowMachines(chosen []*core.MachineSummary, cond []wire.Condition, v record.MachineLoan) {
	u := &store.Write{Prompt: true, Conditions: append([]wire.Condition{b.leaderCondition()}, cond...)}
	parts := map[int]bool{}
	for _, h := range chosen {
		h.InUse, h.Free = true, core.Resources{}
		key := loanPrefix + b.machineByIndex[h.ID].name
		u.Conditions = append(u.Conditions, wire.Condition{Key: key})
		if !parts[h.Partition] {
			parts[h.Partition] = true
			u.Conditions = append(u.Conditions, wire.Condition{Key: b.partitions[h.Partition].key, Revision: b.revisions[b.partitions[h.Partition].key]})
		}
		u.Changes = append(u.Changes, wire.Change{Put: key, Value: record.JSON(v)})
	}
	b.leadership.writesInFlight++
	epoch := b.leadership.epoch
	b.submitWrite(u, func(err error) { b.leaderWriteDone(epoch, err) })
}

// tendLends fences machines that came in and hands back those that are not
// needed: nothing stays lent for ever.
func (b *controller) reviewLoans() {
	p := b.partitions[b.loanPartition()]
	for _, name := range b.loanedMachines() {
		l, m := b.loans[name], b.machineNamed(name)
		if l.Acknowledged && l.revision > p.token {
			p.tokenRaiseDue = true // the former owner's tokens are below this stamp
		}
		// What has claimed a cell there may be bound any moment: handed back meanwhile, the
		// machine was its former owner's and the binding ours, and neither could end it.
		// Services that were lent with it, or came since, go back with it.
		stays := len(m.bindings) > 0 && (l.Job == reserveLoanJob || !b.runsOnlyServices(m, p))
		if l.writing || l.Acknowledged && (stays || p.hasReservationOn(m)) {
			continue
		}
		if !b.loanStillNeeded(l, m, p) {
			b.returnLoan(name, l)
		}
	}
}

// staysLent tells whether a machine is still wanted where it is lent to, and can be had.
func (b *controller) loanStillNeeded(l *machineLoan, m *machine, p *partition) bool {
	if l.Job == reserveLoanJob {
		return l.Acknowledged && b.reserveKeeps(m) || !l.Acknowledged && b.now.Sub(l.since) < reserveLoanTimeout
	}
	j := b.jobs[l.Job]
	if j == nil || j.finalState != unfinishedJob || j.spec == nil || m.terminated || !b.jobNeedsLoan(j, p.index) {
		return false
	}
	if m.machineType != "" && !allowed(j.spec, b.zoneOfJob(j), m.machineType, m.zone, m.spot) {
		return false
	}
	if l.Acknowledged {
		// One that has not reported since it came died on the way: it is its
		// owner's again, who finds out what has become of it.
		return m.heartbeatAt.After(p.ownsMachineSince(m)) || b.now.Sub(p.ownsMachineSince(m)) < b.unreachableAfter()+5*time.Second
	}
	// An owner that does not let go in time may have higher work there by now.
	patience := b.leaseExpiry + 2*config.Seconds(b.cfg.Settings.Workers.ReportS) + 10*time.Second
	return b.now.Sub(l.since) < patience
}

// needsLoan tells whether a job has tasks that machines lent to a part are for: some that
// wait there, or a whole group that waits and has found no room where it was dealt to.
func (b *controller) jobNeedsLoan(j *job, part int) bool {
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
func (b *controller) returnLoan(name string, l *machineLoan) {
	l.writing, l.returning = true, true
	b.submitWrite(&store.Write{
		Conditions: []wire.Condition{b.leaderCondition(), {Key: loanPrefix + name, Revision: l.revision}},
		Changes:    []wire.Change{{Delete: loanPrefix + name}},
	}, func(error) { l.writing, l.returning = false, false })
}
