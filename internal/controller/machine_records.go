package controller

import (
	"eiderhitch/internal/reconcile"
	"eiderhitch/internal/record"
	"eiderhitch/internal/scheduling"
)

// machineRecords provides the stored records that concern one machine, which package reconcile
// compares with the machine's heartbeats. It implements reconcile.Records.
type machineRecords struct {
	*clusterState
	machine   *machine
	partition *partition
	// lastGang is the gang for which MustStop was called last, and lastGangMustStop the result.
	// The result depends on all tasks of the gang, of which there may be thousands.
	lastGang         *job
	lastGangMustStop bool
}

// reconcileView returns a machine's heartbeat state and records for package reconcile. The
// records are valid until the next call: hundreds of heartbeats arrive each second, and all calls
// share one value.
func (c *clusterState) reconcileView(m *machine, p *partition) (reconcile.MachineState, *machineRecords) {
	view := reconcile.MachineState{
		Incarnation:     m.incarnation,
		TokenConfirmed:  p.isOwnToken(m, m.token),
		StartInFlight:   m.hasStartInFlight(),
		StartRepeatable: !c.canRaiseCommandToken(m, p, m.commandState.directStartToken),
		StartsAllowed:   c.isFresh(c.operator.LeaseTTL),
		Tasks:           m.tasks,
	}
	c.reconcileRecords = machineRecords{clusterState: c, machine: m, partition: p}
	return view, &c.reconcileRecords
}

// Lookup returns what the records contain about a task.
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
		found.Unreadable = job.hasUnreadableRecords() && job.finalState == record.StateUnfinished
		return found
	}
	found.Bound = bound.machine == r.machine
	found.Binding = group.reconcileBinding(bound)
	return found
}

// reconcileBinding converts a binding to the form that package reconcile uses.
func (group *taskGroup) reconcileBinding(bound *binding) reconcile.Binding {
	return reconcile.Binding{Task: group.task(bound.task), Attempt: bound.attempt, Incarnation: bound.incarnation}
}

// BindingCount returns how many tasks are bound to the machine.
func (r *machineRecords) BindingCount() int { return len(r.machine.bindings) }

// Binding returns the binding at an index below BindingCount. It returns false if the task's
// record no longer binds it to the machine.
func (r *machineRecords) Binding(index int) (reconcile.Binding, bool) {
	entry := r.machine.bindings[index]
	bound := entry.group.binding(entry.task.Number)
	if bound == nil || bound.machine != r.machine {
		return reconcile.Binding{}, false
	}
	return entry.group.reconcileBinding(bound), true
}

// TaskName returns the name of a bound task.
func (r *machineRecords) TaskName(task scheduling.TaskID) string {
	return taskName(r.groups[task.Group].job.id, task.Number)
}

// MustStop reports whether a bound task has to leave the machine. For consecutive tasks of one
// gang it is computed once.
func (r *machineRecords) MustStop(task scheduling.TaskID) bool {
	group := r.groups[task.Group]
	job := group.job
	if job.spec == nil || !job.spec.Gang {
		return job.finalState != record.StateUnfinished || r.mustLeaveMachine(group, task, r.machine, r.partition)
	}
	if r.lastGang != job {
		r.lastGang, r.lastGangMustStop = job, r.mustStopGang(job)
	}
	return r.lastGangMustStop
}

// StopGraceS returns how many seconds a bound task gets to save its progress when it is stopped;
// see clusterState.stopGraceS.
func (r *machineRecords) StopGraceS(task scheduling.TaskID) float64 {
	return r.stopGraceS(r.groups[task.Group].job)
}

// HasEnded reports whether an attempt is proven to have ended and its end is not stored yet.
func (r *machineRecords) HasEnded(binding reconcile.Binding) bool {
	return r.hasUnstoredEnd(binding.Task, boundAttempt{attempt: binding.Attempt, machine: r.machine, incarnation: binding.Incarnation})
}

// IsGangComplete reports whether all tasks of a bound task's gang are bound. It returns true for
// tasks that belong to no gang.
func (r *machineRecords) IsGangComplete(task scheduling.TaskID) bool {
	job := r.groups[task.Group].job
	return job.spec == nil || !job.spec.Gang || job.isGangBound()
}
