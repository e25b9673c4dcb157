package controller

import (
	"eiderhitch/internal/reconcile"
	"eiderhitch/internal/scheduling"
	"eiderhitch/internal/wire"
)

// commands returns what a machine should do, by its newest heartbeat.
func (c *partitionOwner) commandsFor(m *machine, p *partition) []wire.Command {
	var commands []wire.Command
	view, records := c.reconcileView(m, p)
	for _, difference := range reconcile.Differences(view, records) {
		if command, ok := difference.Command(); ok {
			commands = append(commands, command)
		}
	}
	return commands
}

// mustLeaveMachine tells whether a task has to leave its machine for other work, or since the
// machine itself is about to go.
func (c *clusterState) mustLeaveMachine(group *taskGroup, t scheduling.TaskID, m *machine, p *partition) bool {
	if cell := p.cells.Cell(t); cell != nil && cell.State == scheduling.CellReserving || group.exceedsThrottle(t.Number) {
		return true
	}
	if loan := c.loans[m.name]; loan != nil && !loan.Acknowledged && loan.claim(c.catalog).CanPreempt(group.claim()) {
		return true
	}
	// A task that can save is stopped before its machine is taken.
	return !m.terminationAt.IsZero() && group.job.spec != nil && group.job.spec.CheckpointS > 0 || m.cordoned
}
