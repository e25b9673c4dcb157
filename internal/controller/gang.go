package controller

import (
	"time"

	"eiderhitch/internal/config"
	"eiderhitch/internal/record"
)

// What a partition's owner decides for gangs. See gang_attempt.go for what a gang is.

// isMemberMissing tells whether a member of a gang's present attempt has ended or is lost.
func (c *cellRegistry) isMemberMissing(group *taskGroup, bound *binding, attempt uint64) bool {
	if bound.machine == nil {
		return bound.attempt == attempt
	}
	return c.isLost(group, bound)
}

// hasMissingMember tells whether a member of a gang's present attempt has ended or is lost.
func (c *cellRegistry) hasMissingMember(j *job, attempt uint64) bool {
	for bound, group := range j.allBindings() {
		if c.isMemberMissing(group, bound, attempt) {
			return true
		}
	}
	return false
}

// isGangBroken tells whether a gang has lost a member of an attempt that has run, or can't be
// completed: the others stop, and the gang starts whole again.
func (c *cellRegistry) isGangBroken(j *job) bool {
	attempt, bound := j.gangAttempt()
	if !bound || attempt == 0 {
		return false
	}
	return j.failedAttempt == attempt || j.startedAttempt == attempt && c.hasMissingMember(j, attempt)
}

// mustStopGang tells whether a gang is to be stopped: one of its tasks has to leave its
// machine.
func (c *clusterState) mustStopGang(j *job) bool {
	if j.finalState != record.Unfinished {
		return true
	}
	for bound, group := range j.allBindings() {
		m := bound.machine
		if m == nil {
			continue
		}
		p := c.partitions[m.partition]
		owned := p.token != 0 // of other machines their owner decides
		if owned && c.mustLeaveMachine(group, group.task(bound.task), m, p) {
			return true
		}
	}
	return c.isGangBroken(j)
}

// stopGraceS is what a task is given to save when it is stopped: what it asks for, unless
// there is nothing to save. A gang saves together or not at all.
func (c *clusterState) stopGraceS(j *job) float64 {
	if j.finalState != record.Unfinished || j.spec == nil || j.spec.CheckpointS == 0 || j.spec.Gang && c.isGangBroken(j) {
		return 0
	}
	return j.spec.SaveS
}

// stopGangs has gangs that are to be stopped hear it at once, on all their machines: an
// orderly stop has to reach every task within gang_peer_s of the first, and what runs on
// without the others is of no use.
func (c *partitionOwner) stopGangs(p *partition) {
	for _, group := range p.groups {
		job := group.job
		if group.boundCount > 0 && job.spec != nil && job.spec.Gang && job.finalState == record.Unfinished {
			c.failIncompleteGang(job)
			c.stopGang(job)
		}
	}
}

// stopGang stops the present attempt of a gang if it must, and has not been stopped yet.
func (c *partitionOwner) stopGang(j *job) {
	attempt, _ := j.gangAttempt()
	if j.stoppedAttempt == attempt || !c.mustStopGang(j) {
		return
	}
	j.stoppedAttempt = attempt
	for _, group := range j.groups {
		c.cancelReservations(group, !group.writeInFlight) // what was to replace a task of it
	}
	c.log.Debug("gang is stopped", "job", j.id, "attempt", attempt, "broken", c.isGangBroken(j))
	for m := range j.boundMachines() {
		c.sendCommandsNow(m)
	}
}

// canReserveGang tells whether cells may be reserved for a gang's unplaced tasks: for all of
// its tasks, or for those that were lost before it ran, which complete the attempt that waits
// for them. All of it must be assigned to one partition, and nothing of it being written.
func (c *partitionOwner) canReserveGang(p *partition, group *taskGroup) bool {
	job := group.job
	if assigned, _ := job.countAssignedTasks(); assigned < job.spec.Tasks || !job.hasAllGroupsIn(p.index, group.zone) {
		return false
	}
	for _, other := range job.groups {
		if other.writeInFlight {
			return false
		}
	}
	attempt, bound := job.gangAttempt()
	mustEnd := bound && (job.startedAttempt == attempt || job.failedAttempt == attempt || job.stoppedAttempt == attempt)
	return !mustEnd && !job.isGangDone() // it starts again when all tasks of the attempt have ended
}

// failIncompleteGang ends an attempt that was bound in part and can't be completed: without
// room for the rest nothing would be started, nor given back.
func (c *partitionOwner) failIncompleteGang(j *job) {
	attempt, bound := j.gangAttempt()
	switch {
	case !bound || j.isGangBound():
		j.incompleteSince = time.Time{}
	case j.incompleteSince.IsZero():
		j.incompleteSince = c.now
	case c.now.Sub(j.incompleteSince) > config.Seconds(c.cfg.Settings.Workers.GangWaitS):
		j.incompleteSince = time.Time{}
		j.failedAttempt = max(j.failedAttempt, attempt)
		c.log.Info("gang can't be completed and is bound anew", "job", j.id, "attempt", attempt)
	}
}
