package controller

import (
	"eiderhitch/internal/reconcile"
	"eiderhitch/internal/scheduling"
	"eiderhitch/internal/wire"
	"eiderhitch/internal/workerlease"
)

// reconcile compares a machine's newest heartbeat with the tasks that are bound to it, and
// records the ends of attempts that the heartbeat proves.
func (c *partitionOwner) reconcile(m *machine, p *partition) {
	// A start command that got no response may still arrive until the machine has received a
	// higher token.
	if m.hasUnansweredStart() && m.commandState.unansweredStartToken >= p.commandToken(m) && !m.commandState.inFlight {
		p.tokenRaiseDue = true
	}
	view, records := c.reconcileView(m, p)
	for observation := range reconcile.Observations(view, records) {
		c.applyObservation(m, observation)
	}
}

// applyObservation handles what a heartbeat shows about one attempt.
func (c *partitionOwner) applyObservation(m *machine, observation reconcile.Observation) {
	task := observation.Binding.Task
	group := c.groups[task.Group]
	if observation.Status != nil {
		c.observeTask(m, group.job, observation.Status)
	}
	if !observation.ProvesEnd() {
		return
	}
	bound := group.binding(task.Number)
	if observation.Status != nil && !c.hasUnstoredEnd(task, bound.boundAttempt()) {
		c.handleTaskEnd(m, group.job, observation.Status.Reason)
	}
	if observation.Kind == reconcile.IncarnationReplaced && !c.hasUnstoredEnd(task, bound.boundAttempt()) {
		c.metrics.count(countReplacedTasks, 1)
	}
	c.endAttempt(group, bound, attemptEnd{
		attempt: bound.boundAttempt(),
		done:    observation.Kind == reconcile.TaskCompleted,
		failed:  observation.Kind == reconcile.TaskFailed,
	})
}

// observeTask updates what is known from a bound task in a heartbeat: the state of its gang, and
// that the machine has the image in its cache.
func (c *partitionOwner) observeTask(m *machine, j *job, status *wire.TaskStatus) {
	if j.spec == nil {
		return
	}
	if j.spec.Gang {
		j.observeGangTask(status)
	}
	hasImage := status.State == wire.StateRunning || status.State == wire.StateAwaitingGang || status.State == wire.StateSavingCheckpoint
	if hasImage && j.spec.Image != "" {
		m.cachedImages[j.spec.Image] = true
		delete(m.fetchStartedAt, j.spec.Image)
	}
}

// hasUnstoredEnd reports whether an attempt is proven to have ended and its end is not stored
// yet.
func (c *cellRegistry) hasUnstoredEnd(task scheduling.TaskID, attempt boundAttempt) bool {
	end, known := c.unstoredEnds[task]
	return known && end.attempt == attempt
}

// endAttempt records the proven end of an attempt and frees its cell. The next scheduling pass
// stores the end.
func (c *clusterState) endAttempt(group *taskGroup, bound *binding, end attemptEnd) {
	task := group.task(bound.task)
	if c.hasUnstoredEnd(task, bound.boundAttempt()) {
		return
	}
	c.unstoredEnds[task] = end
	group.hasUnstoredEnds = true
	if end.done {
		c.metrics.count(countDoneTasks, 1)
	} else {
		c.metrics.count(countLostTasks, 1)
	}
	c.log.Debug("attempt ended", "task", taskName(group.job.id, bound.task), "attempt", bound.attempt, "machine", bound.machine.name, "done", end.done)
	p := c.partitions[bound.machine.partition]
	if p.index != group.partition {
		if p.otherPartitionsGroups == nil {
			p.otherPartitionsGroups = map[*taskGroup]bool{}
		}
		p.otherPartitionsGroups[group] = true
	}
	p.countFreedCell(c.now)
	c.freeCell(p, task)
	c.requestSchedulingPass()
}

// lossProof says why all tasks of a machine have certainly ended.
type lossProof struct {
	counter    counter
	attributes []any // of the log line
}

// terminationProof is the proof for a machine that the cloud has terminated.
func terminationProof() lossProof {
	return lossProof{countTerminatedTasks, []any{"why", "machine is terminated"}}
}

// leaseProof returns the proof for a machine whose lease has expired.
func leaseProof(expiration workerlease.Expiration) lossProof {
	return lossProof{countExpiredLeaseTasks, []any{
		"why", "its lease is over", "incarnation", expiration.Session, "lease_counted_from", expiration.CountedFrom,
		"counted_by", expiration.Basis, "margin_ms", expiration.Margin.Milliseconds(),
	}}
}

// endAllAttempts ends every attempt on a machine that is terminated or whose lease has expired,
// and releases the cells reserved there. proof says why they have ended.
func (c *clusterState) endAllAttempts(m *machine, proof lossProof) {
	p := c.partitions[m.partition]
	if p.token == 0 {
		return
	}
	before := len(c.unstoredEnds)
	for _, entry := range m.bindings {
		if bound := entry.group.binding(entry.task.Number); bound != nil && bound.machine == m {
			c.endAttempt(entry.group, bound, attemptEnd{attempt: bound.boundAttempt()})
		}
	}
	if ended := len(c.unstoredEnds) - before; ended > 0 {
		c.metrics.count(proof.counter, ended)
		c.log.Info("tasks of a machine are lost", append([]any{"machine", m.name, "tasks", ended}, proof.attributes...)...)
	}
	for task, reserved := range p.reservations {
		if reserved.machine == m && !c.groups[task.Group].writeInFlight {
			delete(p.reservations, task)
			c.freeCell(p, task)
		}
	}
	p.cells.RemoveMachine(m.index)
}
