package controller

import (
	"iter"
	"slices"
	"time"

	"eiderhitch/internal/config"
	"eiderhitch/internal/record"
	"eiderhitch/internal/wire"
)

// A gang's tasks run at the same time or none does. They find each other by the number
// of their attempt, which is one for all of them and only rises. An attempt begins when
// every task of the one before is proven gone, with cells for all of them. Until it has
// run, a task that is lost is replaced under the same number; a gang that has run, or
// that can't be completed any more, stops whole and starts whole.

// gangAttempt is the present attempt of a gang, and whether any task of it may still be
// on a machine. Without one the next binding is a new attempt.
func (j *job) gangAttempt() (attempt uint64, there bool) {
	for _, group := range j.groups {
		for i := range group.bindings {
			bound := &group.bindings[i]
			attempt = max(attempt, bound.attempt)
			there = there || bound.machine != nil
		}
	}
	return attempt, there
}

// missingMembers counts the members of a gang's present attempt that are gone.
func (c *clusterState) missingMembers(j *job, attempt uint64) int {
	n := 0
	for _, group := range j.groups {
		for i := range group.bindings {
			bound := &group.bindings[i]
			o, ended := c.attemptEnds[group.task(bound.task)]
			if bound.machine == nil && bound.attempt == attempt || bound.machine != nil && ended && o.attempt == bound.attempt && !o.done {
				n++
			}
		}
	}
	return n
}

// gangBroken tells whether a gang has lost a member of an attempt that has run, or can't be
// completed: the others stop, and the gang starts whole again.
func (c *clusterState) gangBroken(j *job) bool {
	attempt, there := j.gangAttempt()
	if !there || attempt == 0 || j.startedAttempt != attempt && j.failedAttempt != attempt {
		return false
	}
	return j.failedAttempt == attempt || c.missingMembers(j, attempt) > 0
}

// gangMustStop tells whether a gang is to be stopped: one of its tasks has to go.
func (c *clusterState) gangMustStop(j *job) bool {
	if j.finalState != record.Unfinished {
		return true
	}
	for _, group := range j.groups {
		for i := range group.bindings {
			m := group.bindings[i].machine
			if m == nil || c.partitions[m.partition].token == 0 {
				continue // nowhere, or another's to say
			}
			if c.mustPreempt(group, group.task(group.bindings[i].task), m, c.partitions[m.partition]) {
				return true
			}
		}
	}
	return c.gangBroken(j)
}

// stopGangs has gangs that are to be stopped hear it at once, on all their machines: an
// orderly stop has to reach every task within gang_peer_s of the first, and what runs on
// without the others is of no use.
func (c *partitionOwner) stopGangs(p *partition) {
	for _, group := range p.groups {
		job := group.job
		if group.boundCount == 0 || job.spec == nil || !job.spec.Gang || job.finalState != record.Unfinished {
			continue
		}
		c.failIncompleteGang(job)
		attempt, _ := job.gangAttempt()
		if job.stoppedAttempt == attempt || !c.gangMustStop(job) {
			continue
		}
		job.stoppedAttempt = attempt
		for _, other := range job.groups {
			c.cancelReservations(other, !other.writing) // what was to replace a task of it
		}
		c.log.Debug("gang is stopped", "job", job.id, "attempt", attempt, "broken", c.gangBroken(job))
		for m := range job.machines() {
			c.sendCommandsNow(m)
		}
	}
}

// noteGangTask learns from the state of a gang's task. After a take-over the reports are all
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

// stopGraceS is what a task is given to save when it is stopped: what it asks for, unless
// there is nothing to save. A gang saves together or not at all.
func (c *clusterState) stopGraceS(j *job) float64 {
	if j.finalState != record.Unfinished || j.spec == nil || j.spec.CheckpointS == 0 || j.spec.Gang && c.gangBroken(j) {
		return 0
	}
	return j.spec.SaveS
}

// gangMayReserve tells whether cells may be reserved for a gang's unplaced tasks: for all of
// its tasks, or for those that were lost before it ran, which complete the attempt that waits
// for them. All of it must be assigned to one partition, and nothing of it being written.
func (c *partitionOwner) gangMayReserve(p *partition, group *taskGroup) bool {
	job := group.job
	if assigned, _ := job.assignedTasks(); assigned < job.spec.Tasks || !job.groupsTogether(p.index, group.zone) {
		return false
	}
	for _, other := range job.groups {
		if other.writing {
			return false
		}
	}
	attempt, bound := job.gangAttempt()
	mustEnd := bound && (job.startedAttempt == attempt || job.failedAttempt == attempt || job.stoppedAttempt == attempt)
	return !mustEnd && !job.gangIsDone() // it starts again when all tasks of the attempt have ended
}

// gangBound tells whether every task of a gang's present attempt has a stored binding.
// None is started before: a gang that takes several transactions to bind would hold
// machines for tasks that can't run, if the rest fails.
func (j *job) gangBound() bool {
	n := 0
	for _, group := range j.groups {
		if group.boundCount < len(group.bindings) {
			return false
		}
		n += group.boundCount
	}
	return n == j.spec.Tasks
}

// gangIsDone tells whether a gang is done. Its tasks complete together, so one that is
// stored as done speaks for all, also to a controller that never saw its report.
func (j *job) gangIsDone() bool {
	return j.gangCompleted || slices.ContainsFunc(j.groups, func(group *taskGroup) bool { return group.done > 0 })
}

// failIncompleteGang ends an attempt that was bound in part and can't be completed: without
// room for the rest nothing would be started, nor given back.
func (c *partitionOwner) failIncompleteGang(j *job) {
	attempt, there := j.gangAttempt()
	switch {
	case !there || j.gangBound():
		j.incompleteSince = time.Time{}
	case j.incompleteSince.IsZero():
		j.incompleteSince = c.now
	case c.now.Sub(j.incompleteSince) > config.Seconds(c.cfg.Settings.Workers.GangWaitS):
		j.incompleteSince = time.Time{}
		j.failedAttempt = max(j.failedAttempt, attempt)
		c.log.Info("gang can't be completed and is bound anew", "job", j.id, "attempt", attempt)
	}
}

// machines goes through the machines that a job's tasks are bound to, one for each task.
func (j *job) machines() iter.Seq[*machine] {
	return func(yield func(*machine) bool) {
		for _, group := range j.groups {
			for i := range group.bindings {
				if m := group.bindings[i].machine; m != nil && !yield(m) {
					return
				}
			}
		}
	}
}
