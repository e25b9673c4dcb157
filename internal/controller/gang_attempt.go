package controller

import (
	"iter"
	"slices"

	"eiderhitch/internal/wire"
)

// A gang's tasks run at the same time or none does. They find each other by the number
// of their attempt, which is one for all of them and only rises. An attempt begins when
// every task of the one before is proven to have ended, with cells for all of them. Until it
// has run, a task that is lost is replaced under the same number; a gang that has run, or
// that can't be completed any more, stops whole and starts whole.

// gangAttempt is the present attempt of a gang, and whether any task of it may still be on a
// machine. If none is, the next binding begins a new attempt.
func (j *job) gangAttempt() (attempt uint64, bound bool) {
	for b := range j.allBindings() {
		attempt = max(attempt, b.attempt)
		bound = bound || b.machine != nil
	}
	return attempt, bound
}

// isGangBound tells whether every task of a gang's present attempt has a stored binding.
// None is started before: a gang that takes several transactions to bind would hold
// machines for tasks that can't run, if the rest fails.
func (j *job) isGangBound() bool {
	n := 0
	for _, group := range j.groups {
		if group.boundCount < len(group.bindings) {
			return false
		}
		n += group.boundCount
	}
	return n == j.spec.Tasks
}

// isGangDone tells whether a gang is done. Its tasks complete together, so one that is
// stored as done speaks for all, also to a controller that never saw its heartbeat.
func (j *job) isGangDone() bool {
	return j.gangCompleted || slices.ContainsFunc(j.groups, func(group *taskGroup) bool { return group.doneTasks > 0 })
}

// observeGangTask learns from the state of a gang's task. After a failover the heartbeats are all
// there is to tell whether an attempt has run.
func (j *job) observeGangTask(t *wire.TaskStatus) {
	switch t.State {
	case wire.Running, wire.Saving:
		j.startedAttempt = max(j.startedAttempt, t.Attempt)
	case wire.Exited:
		j.observeGangExit(t)
	}
}

// observeGangExit learns from why a gang's task has exited.
func (j *job) observeGangExit(t *wire.TaskStatus) {
	switch t.Reason {
	case wire.ReasonDone:
		j.gangCompleted = true // they complete together
	case wire.ReasonIncompleteGang, wire.ReasonError:
		j.failedAttempt = max(j.failedAttempt, t.Attempt)
	case wire.ReasonPeersGone:
		j.startedAttempt = max(j.startedAttempt, t.Attempt)
	}
}

// bindings goes through the bindings of all of a job's tasks that are not done.
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

// machines goes through the machines that a job's tasks are bound to, one for each task.
func (j *job) boundMachines() iter.Seq[*machine] {
	return func(yield func(*machine) bool) {
		for bound := range j.allBindings() {
			if bound.machine != nil && !yield(bound.machine) {
				return
			}
		}
	}
}
