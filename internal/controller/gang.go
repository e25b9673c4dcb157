package controller

import (
	"iter"
	"slices"
	"time"

	"eiderhitch/internal/config"
	"eiderhitch/internal/core"
	"eiderhitch/internal/wire"
)

// A gang's tasks run at the same time or none does. They find each other by the number
// of their attempt, which is one for all of them and only rises. An attempt begins when
// every task of the one before is proven gone, with cells for all of them. Until it has
// run, a task that is lost is replaced under the same number; a gang that has run, or
// that can't be completed any more, stops whole and starts whole.

// gangAttempt is the present attempt of a gang, and whether any task of it may still be
// on a machine. Without one the next binding is a new attempt.
func (b *controller) gangAttempt(j *job) (attempt uint64, there bool) {
	for _, r := range j.groups {
		for i := range r.bindings {
			e := &r.bindings[i]
			attempt = max(attempt, e.attempt)
			there = there || e.machine != nil
		}
	}
	return attempt, there
}

// missing counts the members of a gang's present attempt that are gone.
func (b *controller) missingMembers(j *job, attempt uint64) int {
	n := 0
	for _, r := range j.groups {
		for i := range r.bindings {
			e := &r.bindings[i]
			o, ended := b.attemptEnds[r.task(e.task)]
			if e.machine == nil && e.attempt == attempt || e.machine != nil && ended && o.attempt == e.attempt && !o.done {
				n++
			}
		}
	}
	return n
}

// broken tells whether a gang has lost a member of an attempt that has run, or can't be
// completed: the others stop, and the gang starts whole again.
func (b *controller) gangBroken(j *job) bool {
	attempt, there := b.gangAttempt(j)
	if !there || attempt == 0 || j.startedAttempt != attempt && j.failedAttempt != attempt {
		return false
	}
	return j.failedAttempt == attempt || b.missingMembers(j, attempt) > 0
}

// gangStops tells whether a gang is to be stopped: one of its tasks has to go.
func (b *controller) gangMustStop(j *job) bool {
	if j.finalState != unfinishedJob {
		return true
	}
	for _, r := range j.groups {
		for i := range r.bindings {
			m := r.bindings[i].machine
			if m == nil || b.partitions[m.partition].token == 0 {
				continue // nowhere, or another's to say
			}
			if b.mustPreempt(r, r.task(r.bindings[i].task), m, b.partitions[m.partition]) {
				return true
			}
		}
	}
	return b.gangBroken(j)
}

// tellGangs has gangs that are to be stopped hear it at once, on all their machines: an
// orderly stop has to reach every task within gang_peer_s of the first, and what runs on
// without the others is of no use.
func (b *controller) stopGangs(p *partition) {
	for _, r := range p.groups {
		j := r.job
		if r.boundCount == 0 || j.spec == nil || !j.spec.Gang || j.finalState != unfinishedJob {
			continue
		}
		b.failIncompleteGang(j)
		attempt, _ := b.gangAttempt(j)
		if j.stoppedAttempt == attempt || !b.gangMustStop(j) {
			continue
		}
		j.stoppedAttempt = attempt
		for _, o := range j.groups {
			b.cancelReservations(o, !o.writing) // what was to replace a task of it
		}
		b.log.Debug("gang is stopped", "job", j.id, "attempt", attempt, "broken", b.gangBroken(j))
		for m := range j.machines() {
			b.sendCommandsNow(m)
		}
	}
}

// gangSeen learns from the state of a gang's task. After a take-over the reports are all
// there is to tell whether an attempt has run.
func (j *job) noteGangTask(t *wire.TaskStatus) {
	switch t.State {
	case wire.Running, wire.Saving:
		j.startedAttempt = max(j.startedAttempt, t.Attempt)
	case wire.Exited:
		switch t.Reason {
		case wire.ReasonDone:
			j.gangCompleted = true // they complete together
		case wire.ReasonIncompleteGang, wire.ReasonError:
			j.failedAttempt = max(j.failedAttempt, t.Attempt)
		case wire.ReasonPeersGone:
			j.startedAttempt = max(j.startedAttempt, t.Attempt)
		}
	}
}

// grace is what a task is given to save when it is stopped: what it asks for, unless
// there is nothing to save. A gang saves together or not at all.
func (b *controller) stopGraceS(j *job) float64 {
	if j.finalState != unfinishedJob || j.spec == nil || j.spec.CheckpointS == 0 || j.spec.Gang && b.gangBroken(j) {
		return 0
	}
	return j.spec.SaveS
}

// placeGang asks for cells for a gang: for all of its tasks, or for those that were lost
// before it ran, which complete the attempt that waits for them.
func (b *controller) placeGang(p *partition, r *taskGroup, pending []core.Task, request func(...core.Task) bool) {
	j := r.job
	if dealt, _ := j.assignedTasks(); dealt < j.spec.Tasks || !j.groupsTogether(p.index, r.zone) {
		return // a group is reserved whole, in one part
	}
	for _, o := range j.groups {
		if o.writing {
			return
		}
	}
	if attempt, there := b.gangAttempt(j); there && (j.startedAttempt == attempt || j.failedAttempt == attempt || j.stoppedAttempt == attempt) || j.gangIsDone() {
		return // it starts again when all are back
	}
	request(pending...)
}

// complete tells whether every task of a gang's present attempt has a stored binding.
// None is started before: a gang that takes several transactions to bind would hold
// machines for tasks that can't run, if the rest fails.
func (j *job) gangBound() bool {
	n := 0
	for _, r := range j.groups {
		if r.boundCount < len(r.bindings) {
			return false
		}
		n += r.boundCount
	}
	return n == j.spec.Tasks
}

// isFinished tells whether a gang is done. Its tasks complete together, so one that is
// stored as done speaks for all, also to a controller that never saw its report.
func (j *job) gangIsDone() bool {
	return j.gangCompleted || slices.ContainsFunc(j.groups, func(r *taskGroup) bool { return r.done > 0 })
}

// giveUpIncomplete ends an attempt that was bound in part and can't be completed: without
// room for the rest nothing would be started, nor given back.
func (b *controller) failIncompleteGang(j *job) {
	attempt, there := b.gangAttempt(j)
	switch {
	case !there || j.gangBound():
		j.incompleteSince = time.Time{}
	case j.incompleteSince.IsZero():
		j.incompleteSince = b.now
	case b.now.Sub(j.incompleteSince) > config.Seconds(b.cfg.Settings.Workers.GangWaitS):
		j.incompleteSince = time.Time{}
		j.failedAttempt = max(j.failedAttempt, attempt)
		b.log.Info("gang can't be completed and is bound anew", "job", j.id, "attempt", attempt)
	}
}

// machines goes through the machines that a job's tasks are bound to, one for each task.
func (j *job) machines() iter.Seq[*machine] {
	return func(yield func(*machine) bool) {
		for _, r := range j.groups {
			for i := range r.bindings {
				if m := r.bindings[i].machine; m != nil && !yield(m) {
					return
				}
			}
		}
	}
}
