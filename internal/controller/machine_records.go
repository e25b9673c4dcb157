package controller

import (
	"eiderhitch/internal/reconcile"
	"eiderhitch/internal/record"
	"eiderhitch/internal/scheduling"
)

// machineRecords are the stored records as far as they concern one machine: what package
// reconcile compares its heartbeats with.
type machineRecords struct {
	*clusterState
	machine   *machine
	partition *partition
	// gang is the last gang that was asked about, lastGangMustStop whether it has to stop: that is
	// known only from all of its tasks, of which there may be thousands.
	lastGang         *job
	lastGangMustStop bool
}

// reconcileView is what package reconcile is told of a machine. It holds until the next
// call: heartbeats come hundreds of times a second, and share one view.
func (c *clusterState) reconcileView(m *machine, p *partition) (reconcile.MachineState, *machineRecords) {
	view := reconcile.MachineState{
		Incarnation:    m.incarnation,
		TokenConfirmed: m.token == p.token,
		StartInFlight:  m.startMayArrive(p),
		StartsAllowed:  c.isFresh(c.operator.LeaseTTL),
		Tasks:          m.tasks,
	}
	c.reconcileRecords = machineRecords{clusterState: c, machine: m, partition: p}
	return view, &c.reconcileRecords
}

// Lookup returns what the records have of a task.
func (r *machineRecords) Lookup(task string) reconcile.TaskRecord {
	id, number, ok := parseTaskName(task)
	if !ok {
		return reconcile.TaskRecord{}
	}
	job := r.jobs[id]
	if job == nil {
		return reconcile.TaskRecord{}
	}
	found := reconcile.TaskRecord{RunsToCompletion: job.spec != nil && !job.spec.Service}
	group := job.groupOfTask[number]
	var bound *binding
	if group != nil {
		bound = group.binding(number)
	}
	if bound == nil {
		found.Unreadable = job.hasUnreadableRecords() && job.finalState == record.Unfinished
		return found
	}
	found.Bound = bound.machine == r.machine
	found.Binding = group.reconcileBinding(bound)
	return found
}

// reconcileBinding is a binding as package reconcile sees it.
func (group *taskGroup) reconcileBinding(bound *binding) reconcile.Binding {
	return reconcile.Binding{Task: group.task(bound.task), Attempt: bound.attempt, Incarnation: bound.incarnation}
}

// BindingCount returns how many tasks are bound to the machine.
func (r *machineRecords) BindingCount() int { return len(r.machine.bindings) }

// Binding returns the binding at an index.
func (r *machineRecords) Binding(index int) (reconcile.Binding, bool) {
	entry := r.machine.bindings[index]
	bound := entry.group.binding(entry.task.Number)
	if bound == nil || bound.machine != r.machine {
		return reconcile.Binding{}, false
	}
	return entry.group.reconcileBinding(bound), true
}

// TaskName returns a bound task's name.
func (r *machineRecords) TaskName(task scheduling.TaskID) string {
	return taskName(r.groups[task.Group].job.id, task.Number)
}

// MustStop tells whether a bound task has to leave the machine. It is worked out once for
// consecutive tasks of one gang.
func (r *machineRecords) MustStop(task scheduling.TaskID) bool {
	group := r.groups[task.Group]
	job := group.job
	if job.spec == nil || !job.spec.Gang {
		return job.finalState != record.Unfinished || r.mustLeaveMachine(group, task, r.machine, r.partition)
	}
	if r.lastGang != job {
		r.lastGang, r.lastGangMustStop = job, r.mustStopGang(job)
	}
	return r.lastGangMustStop
}

// StopGraceS returns how many seconds a bound task has to save.
func (r *machineRecords) StopGraceS(task scheduling.TaskID) float64 {
	return r.stopGraceS(r.groups[task.Group].job)
}

// Ended tells whether an attempt is proven to have ended, though that is not stored yet.
func (r *machineRecords) HasEnded(binding reconcile.Binding) bool {
	return r.hasUnstoredEnd(binding.Task, boundAttempt{attempt: binding.Attempt, machine: r.machine, incarnation: binding.Incarnation})
}

// IsGangComplete tells whether a bound task is of no gang, or all of its gang are bound.
func (r *machineRecords) IsGangComplete(task scheduling.TaskID) bool {
	job := r.groups[task.Group].job
	return job.spec == nil || !job.spec.Gang || job.isGangBound()
}
