package controller

import (
	"maps"
	"slices"
	"time"

	"eiderhitch/internal/record"
	"eiderhitch/internal/scheduling"
	"eiderhitch/internal/wire"
)

// A job that starts whole and that no single partition can hold goes to the leader, which
// borrows whole machines from other partitions: it writes a record of the loan under the
// revision of the partition's key. The owner places nothing there any more, stops what the
// job may preempt and, once nothing is bound there, acknowledges. From then on the machine
// is in the leader's own partition, whose key and fencing token are the leader's; there the
// same scheduler runs as in any partition. A new token of the leader, higher than any that
// the former owner has used, fences that owner's commands; a new token of the owner does
// the same when the machine is handed back.
//
// This file has the loans themselves; what owners do with them is in loan_owner.go, what the
// leader decides in loan_leader.go and loan_selection.go.

// machineLoan is a machine that is on loan to the leader's partition, or is to be.
type machineLoan struct {
	record.MachineLoan
	revision       uint64
	firstRevision  uint64 // of the write that began the loan, as far as that was seen
	writeInFlight  bool
	returnInFlight bool // it is being handed back: nothing is placed on it any more
	firstSeenAt    time.Time
}

func (loan *machineLoan) claim(teams *catalog) scheduling.Claim {
	return scheduling.Claim{Priority: loan.Priority, Guaranteed: loan.Guaranteed, Team: teams.getOrAddTeam(loan.Team)}
}

// loanedMachines are the machines that are on loan, in one order for all that is decided.
func (r *machineRegistry) loanedMachines() []string {
	if len(r.loans) == 0 {
		return nil
	}
	return slices.Sorted(maps.Keys(r.loans))
}

// hasLoanFor tells whether machines are on loan, or are to be, for a job.
func (r *machineRegistry) hasLoanFor(j *job) bool {
	for _, loan := range r.loans {
		if loan.Job == j.id {
			return true
		}
	}
	return false
}

// loanPartition is the number of the leader's own partition.
func (r *machineRegistry) loanPartition() int { return len(r.partitions) - 1 }

func (c *controller) putLoan(name string, v *record.MachineLoan, revision uint64) {
	m := c.getOrAddMachine(name)
	loan := c.loans[name]
	if loan == nil {
		loan = &machineLoan{firstSeenAt: c.now, firstRevision: revision}
		c.loans[name] = loan
	}
	loan.MachineLoan, loan.revision = *v, revision
	if !c.updateMachinePartition(m) && !loan.Acknowledged {
		c.sendCommandsNow(m) // stops what the job may preempt
	}
}

func (a recordApplier) deleteLoan(name string) {
	m := a.getOrAddMachine(name)
	delete(a.loans, name)
	if p := a.partitions[m.hashPartition]; a.updateMachinePartition(m) && p.token != 0 {
		p.tokenRaiseDue = true
	}
}

// updateMachinePartition takes a machine out of the partition that it was in, if it is in another
// now.
func (c *clusterState) updateMachinePartition(m *machine) bool {
	before, now := m.partition, c.partitionOfMachine(m)
	if now == before {
		return false
	}
	c.log.Info("machine changes partitions", "machine", m.name, "from", before, "to", now)
	p := c.partitions[before]
	p.removeMachines(func(other *machine) bool { return other == m })
	m.partition, m.partitionChangedAt = now, c.now
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
	c.requestSchedulingPass()
	return true
}

// runsOnlyServices tells whether all that is bound to a machine of ours is services that
// run, and no command of ours can still be under way there. Such a machine may change
// partitions with them: whatever ends them later is proven, and stored, as after any
// failover.
func (c *clusterState) runsOnlyServices(m *machine, p *partition) bool {
	if !c.isUsable(m, p) || m.token != p.token || m.commandState.inFlight || m.startMayArrive(p) {
		return false
	}
	for _, x := range m.bindings {
		group := x.group
		if group.job.spec == nil || !group.job.spec.Service || group.job.finalState != record.Unfinished || group.writeInFlight {
			return false
		}
		bound, cell := group.binding(x.task.Number), p.cells.Cell(x.task)
		if bound == nil || cell == nil || cell.State != scheduling.CellUsed || !m.isRunning(taskName(group.job.id, bound.task), bound) {
			return false
		}
	}
	return true
}

// runs tells whether a machine's newest heartbeat shows an attempt running.
func (m *machine) isRunning(task string, bound *binding) bool {
	return slices.ContainsFunc(m.tasks, func(t wire.TaskStatus) bool {
		return t.Task == task && t.Attempt == bound.attempt && t.State == wire.Running && bound.incarnation == m.incarnation
	})
}

// hasReservationOn tells whether a cell of a machine is reserved for a task whose binding is
// not known yet.
func (p *partition) hasReservationOn(m *machine) bool {
	for _, a := range p.reservations {
		if a.machine == m {
			return true
		}
	}
	return false
}
