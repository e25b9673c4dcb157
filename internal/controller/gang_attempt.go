package controller

import (
	"iter"
	"slices"

	"eiderhitch/internal/wire"
)

// The tasks of a gang run at the same time or not at all. All tasks of one attempt have the same
// attempt number, by which they find each other; the number only increases. A new attempt begins
// once all tasks of the previous one are proven to have ended and cells are reserved for all of
// them. Until an attempt has run, a lost task is replaced under the same number. After it has run,
// or if it can't be completed, the whole gang stops and starts again.

// gangAttempt returns the number of a gang's current attempt. bound reports whether any task of
// it may still be on a machine; if none is, the next binding begins a new attempt.
func (j *job) gangAttempt() (attempt uint64, bound bool) {
	for b := range j.allBindings() {
		attempt = max(attempt, b.attempt)
		bound = bound || b.machine != nil
	}
	return attempt, bound
}

// isGangBound reports whether every task of a gang's current attempt has a stored binding. No
// task is started before that: a gang that needs several transactions to bind would otherwise
// occupy machines with tasks that can't run if a later transaction fails.
func (j *job) isGangBound() bool {
	n := 0
	for _, group := range j.groups {
		if group.boundCount < len(group.bindings) {
			return false
		}
		n += group.boundCount
	}
	return n == j.spec.TaskCount
}

// isGangDone reports whether a gang has completed. Its tasks complete together, so one task that
// is stored as done shows that all are, also to a controller that has not received its heartbeat.
func (j *job) isGangDone() bool {
	return j.gangCompleted || slices.ContainsFunc(j.groups, func(group *taskGroup) bool { return group.doneTasks > 0 })
}

// observeGangTask updates what is known of a gang's attempt from the state of one task. After a
// failover, only heartbeats show whether an attempt has run.
func (j *job) observeGangTask(t *wire.TaskStatus) {
	switch t.State {
	case wire.StateRunning, wire.StateSavingCheckpoint:
		j.startedAttempt = max(j.startedAttempt, t.Attempt)
	case wire.StateExited:
		j.observeGangExit(t)
	}
}

// observeGangExit updates what is known of a gang's attempt from the reason for which one task
// has exited.
func (j *job) observeGangExit(t *wire.TaskStatus) {
	switch t.Reason {
	case wire.ReasonDone:
		j.gangCompleted = true // all tasks complete together
	case wire.ReasonIncompleteGang, wire.ReasonError:
		j.failedAttempt = max(j.failedAttempt, t.Attempt)
	case wire.ReasonGangTaskEnded:
		j.startedAttempt = max(j.startedAttempt, t.Attempt)
	}
}

// allBindings iterates over the bindings of all tasks of a job that are assigned and not done.
func (j *job) allBindings() iter.Seq2[*binding, *taskGroup] {
	return func(yield func(*binding, *taskGroup) bool) {
		for _, group := range j.groups {
			for i := range group.bindings {
				if !yield(&group.bindings[i], group) {
					return
				}
			}
		}
	}
}

// boundMachines iterates over the machines that a job's tasks are bound to, once for each task.
func (j *job) boundMachines() iter.Seq[*machine] {
	return func(yield func(*machine) bool) {
		for bound := range j.allBindings() {
			if bound.machine != nil && !yield(bound.machine) {
				return
			}
		}
	}
}
