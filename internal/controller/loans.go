package controller

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"eiderhitch/internal/config"
	"eiderhitch/internal/planning"
	"eiderhitch/internal/record"
	"eiderhitch/internal/scheduling"
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

func (loan *machineLoan) claim(teams *catalog) scheduling.Claim {
	return scheduling.Claim{Priority: loan.Priority, Guaranteed: loan.Guaranteed, Team: teams.team(loan.Team)}
}

// loanedMachines are the machines that are lent, in one order for all that is decided.
func (c *machineRegistry) loanedMachines() []string {
	if len(c.loans) == 0 {
		return nil
	}
	return slices.Sorted(maps.Keys(c.loans))
}

// loanPartition is the number of the leader's own part.
func (c *machineRegistry) loanPartition() int { return len(c.partitions) - 1 }

func (c *controller) putLoan(name string, v *record.MachineLoan, stamp uint64) {
	m := c.machineNamed(name)
	loan := c.loans[name]
	if loan == nil {
		loan = &machineLoan{since: c.now, lentRevision: stamp}
		c.loans[name] = loan
	}
	loan.MachineLoan, loan.revision = *v, stamp
	if !c.updatePartition(m) && !loan.Acknowledged {
		c.sendCommandsNow(m) // stops what the group may evict
	}
}

func (c *clusterState) deleteLoan(name string) {
	m := c.machineNamed(name)
	delete(c.loans, name)
	if p := c.partitions[m.hashPartition]; c.updatePartition(m) && p.token != 0 {
		p.tokenRaiseDue = true
	}
}

// updatePartition takes a machine out of the part that it was in, if it is in another now.
func (c *clusterState) updatePartition(m *machine) bool {
	before, now := m.partition, c.partitionOfMachine(m)
	if now == before {
		return false
	}
	c.log.Info("machine changes parts", "machine", m.name, "from", before, "to", now)
	p := c.partitions[before]
	p.removeMachines(func(o *machine) bool { return o == m })
	m.partition, m.inPartitionSince = now, c.now
	c.addToPartition(m)
	if p.token != 0 {
		for _, x := range m.bindings { // services that go along
			c.freeCell(p, x.task)
		}
		p.cells.RemoveMachine(m.index)
	}
	for _, x := range m.bindings {
		c.adoptBindings(x.group)
	}
	c.requestPass()
	return true
}

// acknowledgeLoans hands over machines of a part of ours on which nothing is bound
// or about to be, apart from services that go along.
func (c *partitionOwner) acknowledgeLoans(p *partition) {
	for _, name := range c.loanedMachines() {
		loan, m := c.loans[name], c.machineNamed(name)
		if loan.Acknowledged || loan.writing || m.hashPartition != p.index || len(m.bindings) > 0 && !c.movesWithServices(loan, m, p) {
			continue
		}
		if p.hasReservationOn(m) {
			continue
		}
		loan.writing = true
		v := loan.MachineLoan
		v.Acknowledged = true
		c.SubmitWrite(&store.Write{Prompt: true,
			Conditions: []wire.Condition{{Key: p.key, Revision: p.token}, {Key: loanKey(name), Revision: loan.revision}},
			Changes:    []wire.Change{{Put: loanKey(name), Value: record.JSON(v)}},
		}, func(error) { loan.writing = false })
	}
}

// movesWithServices tells whether all that is bound to a machine is services that go with it to the
// leader's part: they stay, and were there before the machine was chosen.
func (c *partitionOwner) movesWithServices(loan *machineLoan, m *machine, p *partition) bool {
	if loan.Job == reserveLoanJob || !c.runsOnlyServices(m, p) {
		return false
	}
	for _, x := range m.bindings {
		if x.group.revision > loan.lentRevision || loan.claim(c.catalog).CanPreempt(x.group.claim()) {
			return false
		}
	}
	return true
}

// runsOnlyServices tells whether all that is bound to a machine of ours is services that run, and
// no command of ours can still be under way there. Such a machine may change hands with
// them: whatever ends them later is proven, and stored, as after any take-over.
func (c *clusterState) runsOnlyServices(m *machine, p *partition) bool {
	if !c.usable(m, p) || m.token != p.token || m.direct.inFlight || m.startMayArrive(p) {
		return false
	}
	for _, x := range m.bindings {
		group := x.group
		if group.job.spec == nil || !group.job.spec.Service || group.job.finalState != record.Unfinished || group.writing {
			return false
		}
		bound, cell := group.binding(x.task.Number), p.cells.CellOf(x.task)
		if bound == nil || cell == nil || cell.State != scheduling.Used || !m.runs(taskName(group.job.id, bound.task), bound) {
			return false
		}
	}
	return true
}

// runs tells whether a machine's newest report shows an attempt running.
func (m *machine) runs(task string, bound *binding) bool {
	return slices.ContainsFunc(m.tasks, func(t wire.TaskStatus) bool {
		return t.Task == task && t.Attempt == bound.attempt && t.State == wire.Running && bound.incarnation == m.incarnation
	})
}

// hasLoanFor tells whether machines are lent, or being lent, for a job.
func (c *machineRegistry) hasLoanFor(j *job) bool {
	for _, loan := range c.loans {
		if loan.Job == j.id {
			return true
		}
	}
	return false
}

// reserveMachinesAfter is how long a group waits for whole room before machines are kept for it.
const reserveMachinesAfter = 8 * time.Second

// loanRequest asks for machines for tasks of a job that start together.
type loanRequest struct {
	zone  string // in which they must be; "" for any
	tasks int
	claim scheduling.Claim
}

// borrow takes machines from other parts for a whole group of n tasks. It
// reports whether they are on their way.
func (c *leader) borrow(summaries []*planning.MachineSummary, j *job, request loanRequest) bool {
	zone, n, claim := request.zone, request.tasks, request.claim
	coming := c.expectedRoom(summaries, j, zone, n)
	if coming >= n {
		return true
	}
	// Among endless work of its own priority a group would never find whole room: what
	// comes free is taken one cell at a time. One that has waited has machines kept for
	// it on which nothing is that stays, until they are empty (the paper leaves room for
	// "reservation during waiting").
	keep := c.now.Sub(j.acceptedAt) > reserveMachinesAfter
	var can []*planning.MachineSummary
	for _, summary := range summaries {
		if summary.Booting || summary.Partition == c.loanPartition() || summary.InUse || c.autoscaler.DrainedByLeader(c.machineByIndex[summary.ID].name) || !allowed(j.spec, zone, summary.Type, summary.Zone, summary.Spot) {
			continue
		}
		if keep && !summary.RunsService || !slices.ContainsFunc(summary.Usages, func(x planning.Usage) bool { return !claim.CanPreempt(x.Claim) }) {
			can = append(can, summary)
		}
	}
	slices.SortFunc(can, func(x, y *planning.MachineSummary) int {
		return cmp.Or(cmp.Compare(len(x.Usages), len(y.Usages)), cmp.Compare(y.Size.CountFitting(j.taskSize, n), x.Size.CountFitting(j.taskSize, n)), cmp.Compare(x.ID, y.ID))
	})
	var chosen []*planning.MachineSummary
	for _, summary := range can {
		if coming >= n {
			break
		}
		coming += summary.Size.CountFitting(j.taskSize, n)
		chosen = append(chosen, summary)
	}
	if coming < n || len(chosen) == 0 {
		if chosen = c.machinesBesideServices(summaries, j, zone, n); len(chosen) == 0 {
			return false
		}
	}
	// As many as one change can be; the others follow in the next steps.
	chosen = chosen[:min(len(chosen), c.cfg.Settings.Store.TxnOps)]
	c.log.Info("machines are borrowed for a group", "job", j.id, "machines", len(chosen))
	c.borrowMachines(chosen, []wire.Condition{{Key: jobKey(j.id), Revision: j.revision}}, record.MachineLoan{Job: j.id, Priority: claim.Priority, Guaranteed: claim.Guaranteed, Team: j.spec.Team})
	return true
}

// borrowServiceMachinesAfter is how long a group waits for room until machines are borrowed with the
// services on them: before that others may well come free.
const borrowServiceMachinesAfter = 30 * time.Second

// machinesBesideServices are machines that together have room for a group beside services that
// stay. They are in several parts, or the group would be dealt to one: it waited for ever
// beside room, since no machine with a service was lent.
func (c *leader) machinesBesideServices(summaries []*planning.MachineSummary, j *job, zone string, n int) []*planning.MachineSummary {
	if c.now.Sub(j.acceptedAt) < borrowServiceMachinesAfter {
		return nil
	}
	var can []*planning.MachineSummary
	coming := 0
	for _, summary := range summaries {
		fits := summary.Free.CountFitting(j.taskSize, n)
		if summary.Booting || fits == 0 || c.autoscaler.DrainedByLeader(c.machineByIndex[summary.ID].name) || !allowed(j.spec, zone, summary.Type, summary.Zone, summary.Spot) {
			continue
		}
		switch {
		case summary.Partition == c.loanPartition():
			coming += fits
		case !summary.InUse:
			can = append(can, summary)
		}
	}
	slices.SortFunc(can, func(x, y *planning.MachineSummary) int {
		return cmp.Or(cmp.Compare(y.Free.CountFitting(j.taskSize, n), x.Free.CountFitting(j.taskSize, n)), cmp.Compare(x.ID, y.ID))
	})
	var chosen []*planning.MachineSummary
	for _, summary := range can {
		if coming >= n {
			break
		}
		coming += summary.Free.CountFitting(j.taskSize, n)
		chosen = append(chosen, summary)
	}
	if coming < n {
		return nil
	}
	return chosen
}

// expectedRoom is for how many of n tasks of a job there is room in the leader's part, or
// will be once the machines that are being lent for it have come.
func (c *machineRegistry) expectedRoom(summaries []*planning.MachineSummary, j *job, zone string, n int) int {
	room := 0
	listed := map[scheduling.MachineIndex]bool{}
	for _, summary := range summaries {
		listed[summary.ID] = true
		loan := c.loans[c.machineByIndex[summary.ID].name]
		if summary.Partition != c.loanPartition() || loan == nil || loan.Job != j.id && !j.spec.Gang || !allowed(j.spec, zone, summary.Type, summary.Zone, summary.Spot) {
			continue
		}
		room += summary.Free.CountFitting(j.taskSize, n)
	}
	for name, loan := range c.loans {
		m := c.machineNamed(name)
		t := c.machineTypes[m.machineType]
		if loan.Job != j.id || listed[m.index] || t == nil || !allowed(j.spec, zone, m.machineType, m.zone, m.spot) {
			continue
		}
		room += scheduling.NewResources(t.CPUs, t.GPUs, t.RAMGB).Minus(m.serviceUse()).CountFitting(j.taskSize, n)
	}
	return room
}

// serviceUse is what services have of a machine.
func (m *machine) serviceUse() scheduling.Resources {
	var use scheduling.Resources
	for _, x := range m.bindings {
		if spec := x.group.job.spec; spec != nil && spec.Service {
			use = use.Plus(x.group.job.taskSize)
		}
	}
	return use
}

// borrowMachines lends machines to the leader's part, if the parts that they are in have
// not changed hands meanwhile.
func (c *leader) borrowMachines(chosen []*planning.MachineSummary, cond []wire.Condition, v record.MachineLoan) {
	write := &store.Write{Prompt: true, Conditions: append([]wire.Condition{c.leaderCondition()}, cond...)}
	parts := map[int]bool{}
	for _, summary := range chosen {
		summary.InUse, summary.Free = true, scheduling.Resources{}
		key := loanKey(c.machineByIndex[summary.ID].name)
		write.Conditions = append(write.Conditions, wire.Condition{Key: key})
		if !parts[summary.Partition] {
			parts[summary.Partition] = true
			write.Conditions = append(write.Conditions, wire.Condition{Key: c.partitions[summary.Partition].key, Revision: c.replica.Revision(c.partitions[summary.Partition].key)})
		}
		write.Changes = append(write.Changes, wire.Change{Put: key, Value: record.JSON(v)})
	}
	c.submitDecision(write)
}

// reviewLoans fences machines that came in and hands back those that are not
// needed: nothing stays lent for ever.
func (c *leader) reviewLoans() {
	p := c.partitions[c.loanPartition()]
	for _, name := range c.loanedMachines() {
		loan, m := c.loans[name], c.machineNamed(name)
		if loan.Acknowledged && loan.revision > p.token {
			p.tokenRaiseDue = true // the former owner's tokens are below this stamp
		}
		// What has claimed a cell there may be bound any moment: handed back meanwhile, the
		// machine was its former owner's and the binding ours, and neither could end it.
		// Services that were lent with it, or came since, go back with it.
		stays := len(m.bindings) > 0 && (loan.Job == reserveLoanJob || !c.runsOnlyServices(m, p))
		if loan.writing || loan.Acknowledged && (stays || p.hasReservationOn(m)) {
			continue
		}
		if !c.loanStillNeeded(loan, m, p) {
			c.returnLoan(name, loan)
		}
	}
}

// loanStillNeeded tells whether a machine is still wanted where it is lent to, and can be had.
func (c *leader) loanStillNeeded(loan *machineLoan, m *machine, p *partition) bool {
	if loan.Job == reserveLoanJob {
		return loan.Acknowledged && c.reserveKeeps(m) || !loan.Acknowledged && c.now.Sub(loan.since) < reserveLoanTimeout
	}
	job := c.jobs[loan.Job]
	if job == nil || job.finalState != record.Unfinished || job.spec == nil || m.terminated || !c.jobNeedsLoan(job, p.index) {
		return false
	}
	if m.machineType != "" && !allowed(job.spec, c.zoneOfJob(job), m.machineType, m.zone, m.spot) {
		return false
	}
	if loan.Acknowledged {
		// One that has not reported since it came died on the way: it is its
		// owner's again, who finds out what has become of it.
		return m.heartbeatAt.After(p.ownsMachineSince(m)) || c.now.Sub(p.ownsMachineSince(m)) < c.unreachableAfter()+5*time.Second
	}
	// An owner that does not let go in time may have higher work there by now.
	patience := c.leaseExpiry + 2*config.Seconds(c.cfg.Settings.Workers.ReportS) + 10*time.Second
	return c.now.Sub(loan.since) < patience
}

// jobNeedsLoan tells whether a job has tasks that machines lent to a part are for: some that
// wait there, or a whole group that waits and has found no room where it was dealt to.
func (c *clusterState) jobNeedsLoan(j *job, part int) bool {
	waits, bound := len(j.groups) == 0, 0
	for _, group := range j.groups {
		waits = waits || group.boundTasks() < len(group.bindings)
		bound += group.boundTasks()
		if group.partition == part && group.boundTasks() < len(group.bindings) {
			return true
		}
	}
	return waits && bound == 0
}

// hasReservationOn tells whether a cell of a machine is claimed whose binding is not known yet.
func (p *partition) hasReservationOn(m *machine) bool {
	for _, a := range p.reservations {
		if a.machine == m {
			return true
		}
	}
	return false
}

// returnLoan ends a lending.
func (c *leader) returnLoan(name string, loan *machineLoan) {
	loan.writing, loan.returning = true, true
	c.SubmitWrite(&store.Write{
		Conditions: []wire.Condition{c.leaderCondition(), {Key: loanKey(name), Revision: loan.revision}},
		Changes:    []wire.Change{{Delete: loanKey(name)}},
	}, func(error) { loan.writing, loan.returning = false, false })
}
