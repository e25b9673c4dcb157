package controller

import (
	"maps"
	"slices"
	"time"

	"eiderhitch/internal/record"
	"eiderhitch/internal/scheduling"
	"eiderhitch/internal/wire"
)

// A service or gang that no single partition can hold is assigned by the leader to machines that it
// borrows from other partitions. The leader writes a loan record for each machine, conditional on
// the revision of the partition's key. The partition's owner then places nothing on the machine,
// stops the tasks that the job may preempt, and acknowledges the loan once no task is bound there
// except services that may change partitions with the machine. From then on the machine belongs to
// the leader's own partition, whose key and fencing token are the leader's and which is scheduled
// like any other partition. A new token of the leader, higher than any that the former owner has
// used, fences the former owner's commands. When the machine is returned, a new token of the owner
// fences the leader's commands in the same way.
//
// This file holds the loans themselves. loan_owner.go has the owner's side, loan_leader.go and
// loan_selection.go have the leader's decisions.

// machineLoan is a machine that is on loan to the leader's partition or has been requested for
// it.
type machineLoan struct {
	record.MachineLoan
	revision       uint64
	firstRevision  uint64 // revision of the write that created the loan, or the first one that was seen
	writeInFlight  bool
	returnInFlight bool // a write that returns the machine is in flight; nothing is placed on it any more
	firstSeenAt    time.Time
}

// claim returns the claim of the job that the machine was borrowed for.
func (loan *machineLoan) claim(teams *catalog) scheduling.Claim {
	return scheduling.Claim{Priority: loan.Priority, Guaranteed: loan.Guaranteed, Team: teams.getOrAddTeam(loan.Team)}
}

// loanedMachines returns the names of the machines with a loan, sorted so that every decision
// iterates over them in the same order.
func (r *machineRegistry) loanedMachines() []string {
	if len(r.loans) == 0 {
		return nil
	}
	return slices.Sorted(maps.Keys(r.loans))
}

// hasLoanFor reports whether a machine is on loan or requested for the job.
func (r *machineRegistry) hasLoanFor(j *job) bool {
	for _, loan := range r.loans {
		if loan.Job == j.id {
			return true
		}
	}
	return false
}

// loanPartition returns the index of the leader's own partition.
func (r *machineRegistry) loanPartition() int { return len(r.partitions) - 1 }

// putLoan applies the record of a machine's loan.
func (c *controller) putLoan(name string, v *record.MachineLoan, revision uint64) {
	m := c.getOrAddMachine(name)
	loan := c.loans[name]
	if loan == nil {
		loan = &machineLoan{firstSeenAt: c.now, firstRevision: revision}
		c.loans[name] = loan
	}
	loan.MachineLoan, loan.revision = *v, revision
	if !c.updateMachinePartition(m, revision) && !loan.Acknowledged {
		c.sendCommandsNow(m) // stops the tasks that the job may preempt
	}
}

// deleteLoan applies the deletion of a loan at revision. If the machine returns to a partition of
// this controller, the partition's token is raised to fence the leader's commands.
func (a recordApplier) deleteLoan(name string, revision uint64) {
	m := a.getOrAddMachine(name)
	delete(a.loans, name)
	if p := a.partitions[m.hashPartition]; a.updateMachinePartition(m, revision) && p.token != 0 {
		p.tokenRaiseDue = true
	}
}

// updateMachinePartition moves a machine to the partition that it belongs to according to the
// records stored at revision, and reports whether that is a different one than before.
func (c *clusterState) updateMachinePartition(m *machine, revision uint64) bool {
	before, now := m.partition, c.partitionOfMachine(m)
	if now == before {
		return false
	}
	c.log.Info("machine changes partitions", "machine", m.name, "from", before, "to", now)
	p := c.partitions[before]
	p.removeMachines(func(other *machine) bool { return other == m })
	m.partition, m.partitionChangedAt, m.partitionSince = now, c.now, revision
	c.addMachineToPartition(m)
	if p.token != 0 {
		for _, x := range m.bindings { // services that change partitions with the machine
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

// runsOnlyServices reports whether every task bound to an owned machine is a running service,
// and no command that this controller sent to the machine may still arrive. Such a machine may
// change partitions with its tasks: their ends are proven and stored later, as after any
// failover.
func (c *clusterState) runsOnlyServices(m *machine, p *partition) bool {
	if !c.isUsable(m, p) || m.commandState.inFlight || m.hasStartInFlight() {
		return false
	}
	for _, x := range m.bindings {
		group := x.group
		if group.job.spec == nil || !group.job.spec.Service || group.job.finalState != record.StateUnfinished || group.writeInFlight {
			return false
		}
		bound, cell := group.binding(x.task.Number), p.cells.Cell(x.task)
		if bound == nil || cell == nil || cell.State != scheduling.CellUsed || !m.isRunning(taskName(group.job.id, bound.task), bound) {
			return false
		}
	}
	return true
}

// isRunning reports whether the machine's latest heartbeat shows the bound attempt of a task as
// running.
func (m *machine) isRunning(task string, bound *binding) bool {
	return slices.ContainsFunc(m.tasks, func(t wire.TaskStatus) bool {
		return t.Task == task && t.Attempt == bound.attempt && t.State == wire.StateRunning && bound.incarnation == m.incarnation
	})
}

// hasReservationOn reports whether a cell on the machine is reserved for a task whose binding
// is not stored yet.
func (p *partition) hasReservationOn(m *machine) bool {
	for _, a := range p.reservations {
		if a.machine == m {
			return true
		}
	}
	return false
}
