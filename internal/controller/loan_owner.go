package controller

import (
	"eiderhitch/internal/record"
	"eiderhitch/internal/store"
	"eiderhitch/internal/wire"
)

// acknowledgeLoans acknowledges the loans of machines whose hash partition is p, once nothing is
// bound or about to be bound to a machine except services that move along with it.
func (c *partitionOwner) acknowledgeLoans(p *partition) {
	for _, name := range c.loanedMachines() {
		loan, m := c.loans[name], c.getOrAddMachine(name)
		if loan.Acknowledged || loan.writeInFlight || m.hashPartition != p.index {
			continue
		}
		if len(m.bindings) > 0 && !c.canMoveWithServices(loan, m, p) || p.hasReservationOn(m) {
			continue
		}
		c.acknowledgeLoan(name, loan, p)
	}
}

// acknowledgeLoan stores the acknowledgement of a loan, which moves the machine to the leader's
// partition.
func (c *partitionOwner) acknowledgeLoan(name string, loan *machineLoan, p *partition) {
	loan.writeInFlight = true
	acknowledged := loan.MachineLoan
	acknowledged.Acknowledged = true
	c.SubmitWrite(&store.Write{
		HighPriority: true,
		Conditions:   []wire.Condition{{Key: p.key, Revision: p.token}, {Key: loanKey(name), Revision: loan.revision}},
		Changes:      []wire.Change{{Put: loanKey(name), Value: record.JSON(acknowledged)}},
	}, func(error) { loan.writeInFlight = false })
}

// canMoveWithServices reports whether a machine may move to the leader's partition with
// everything that is bound to it. That must be services which keep running on it and were bound
// before the machine was chosen for the loan.
func (c *partitionOwner) canMoveWithServices(loan *machineLoan, m *machine, p *partition) bool {
	if loan.Job == gangReserveJobID || !c.runsOnlyServices(m, p) {
		return false
	}
	for _, entry := range m.bindings {
		if entry.group.revision > loan.firstRevision || loan.claim(c.catalog).CanPreempt(entry.group.claim()) {
			return false
		}
	}
	return true
}
