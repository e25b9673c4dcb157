package controller

import (
	"slices"

	"eiderhitch/internal/reconcile"
	"eiderhitch/internal/scheduling"
	"eiderhitch/internal/wire"
)

const (
	// maxCommandsBytes is the maximum size of the commands in one message. The protocol allows
	// 64 KiB for a line of a response and for the body of a request.
	maxCommandsBytes = 60 << 10
	// commandOverheadBytes is the maximum size of an encoded command without the task's name.
	commandOverheadBytes = 100
)

// commandsInOneMessage returns the first commands that fit into one message. The others follow with
// the next one. A command whose task has a name that fits into none is left out.
func commandsInOneMessage(commands []wire.Command) []wire.Command {
	size := 0
	for i := 0; i < len(commands); i++ {
		commandSize := len(commands[i].Task) + commandOverheadBytes
		if commandSize > maxCommandsBytes {
			commands = slices.Delete(commands, i, i+1)
			i--
			continue
		}
		if size += commandSize; size > maxCommandsBytes {
			return commands[:i]
		}
	}
	return commands
}

// commandsFor returns the commands that bring a machine in line with the records, as far as its
// newest heartbeat shows. They must be sent under the token that partition.commandToken returns
// afterwards: a forget command raises it above the token of every start command that a direct
// request has carried to the machine. Once the worker has forgotten an attempt, it thus refuses a
// repeated request to start it.
func (c *partitionOwner) commandsFor(m *machine, p *partition) []wire.Command {
	var commands []wire.Command
	view, records := c.reconcileView(m, p)
	for _, difference := range reconcile.Differences(view, records) {
		if difference.Kind == reconcile.UnexpectedTask {
			c.log.Info("unexpected task on a machine", "machine", m.name, "task", difference.TaskName, "attempt", difference.Attempt, "token", m.token)
		}
		if command, ok := difference.Command(); ok {
			commands = append(commands, command)
		}
	}
	commands = commandsInOneMessage(commands)
	if slices.ContainsFunc(commands, isForgetCommand) {
		c.raiseCommandToken(m, p, m.commandState.directStartToken)
	}
	return commands
}

// mustLeaveMachine reports whether a task has to leave its machine because its cell is preempted,
// its group is throttled, the machine is being loaned to a job that may preempt the task, the
// machine is cordoned, or the machine is about to be terminated and the task can save its
// progress.
func (c *clusterState) mustLeaveMachine(group *taskGroup, task scheduling.TaskID, m *machine, p *partition) bool {
	if cell := p.cells.Cell(task); cell != nil && cell.State == scheduling.CellReserving || group.exceedsThrottle(task.Number) {
		return true
	}
	if loan := c.loans[m.name]; loan != nil && !loan.Acknowledged && loan.claim(c.catalog).CanPreempt(group.claim()) {
		return true
	}
	// A task that can save its progress is stopped before its machine is terminated.
	return !m.terminationAt.IsZero() && group.job.spec != nil && group.job.spec.CheckpointIntervalS > 0 || m.cordoned
}
