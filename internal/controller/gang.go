package controller

import (
	"time"

	"eiderhitch/internal/config"
	"eiderhitch/internal/record"
)

// This file has the decisions of a partition's owner about gangs. See gang_attempt.go for the
// rules of gangs and their attempts.

// isMemberMissing reports whether a member of a gang's current attempt has ended or is lost.
func (c *cellRegistry) isMemberMissing(group *taskGroup, bound *binding, attempt uint64) bool {
	if bound.machine == nil {
		return bound.attempt == attempt
	}
	return c.isLost(group, bound)
}

// hasMissingMember reports whether any member of a gang's current attempt has ended or is lost.
func (c *cellRegistry) hasMissingMember(j *job, attempt uint64) bool {
	for bound, group := range j.allBindings() {
		if c.isMemberMissing(group, bound, attempt) {
			return true
		}
	}
	return false
}

// isGangBroken reports whether the current attempt of a gang has lost a member after it ran, or
// can't be completed. The remaining members are then stopped, and the whole gang starts again.
func (c *cellRegistry) isGangBroken(j *job) bool {
	attempt, bound := j.gangAttempt()
	if !bound || attempt == 0 {
		return false
	}
	return j.failedAttempt == attempt || j.startedAttempt == attempt && c.hasMissingMember(j, attempt)
}

// mustStopGang reports whether a gang has to be stopped, because its job is final, one of its
// tasks has to leave its machine, or its attempt is broken.
func (c *clusterState) mustStopGang(j *job) bool {
	if j.finalState != record.StateUnfinished {
		return true
	}
	for bound, group := range j.allBindings() {
		m := bound.machine
		if m == nil {
			continue
		}
		p := c.partitions[m.partition]
		owned := p.token != 0 // other partitions' owners decide about their machines
		if owned && c.mustLeaveMachine(group, group.task(bound.task), m, p) {
			return true
		}
	}
	return c.isGangBroken(j)
}

// stopGraceS returns how many seconds a stopped task of a job gets to save its progress: the time
// that the job asks for, or 0 if there is nothing to save. The members of a gang save together or
// not at all, so a broken gang gets 0.
func (c *clusterState) stopGraceS(j *job) float64 {
	if j.finalState != record.StateUnfinished || j.spec == nil || j.spec.CheckpointIntervalS == 0 || j.spec.Gang && c.isGangBroken(j) {
		return 0
	}
	return j.spec.CheckpointSaveS
}

// stopGangs sends stop commands for the gangs that have to stop, at once and to all their
// machines. An orderly stop has to reach every task within gang_peer_s of the first one, and
// tasks that run on without the others do no useful work.
func (c *partitionOwner) stopGangs(p *partition) {
	for _, group := range p.groups {
		job := group.job
		if group.boundCount > 0 && job.spec != nil && job.spec.Gang && job.finalState == record.StateUnfinished {
			c.failIncompleteGang(job)
			c.stopGang(job)
		}
	}
}

// stopGang stops the current attempt of a gang if it has to stop and has not been stopped yet.
func (c *partitionOwner) stopGang(j *job) {
	attempt, _ := j.gangAttempt()
	if j.stoppedAttempt == attempt || !c.mustStopGang(j) {
		return
	}
	j.stoppedAttempt = attempt
	for _, group := range j.groups {
		c.cancelReservations(group, !group.writeInFlight) // of replacement tasks
	}
	c.log.Debug("gang is stopped", "job", j.id, "attempt", attempt, "broken", c.isGangBroken(j))
	for m := range j.boundMachines() {
		c.sendCommandsNow(m)
	}
}

// canReserveGang reports whether cells may be reserved for a gang's unplaced tasks: either for
// all of its tasks, or for those that were lost before the attempt ran and that complete it. All
// tasks must be assigned to one partition and zone, and no write of the gang's groups may be in
// flight.
func (c *partitionOwner) canReserveGang(p *partition, group *taskGroup) bool {
	job := group.job
	if assigned, _ := job.countAssignedTasks(); assigned < job.spec.TaskCount || !job.hasAllGroupsIn(p.index, group.zone) {
		return false
	}
	for _, other := range job.groups {
		if other.writeInFlight {
			return false
		}
	}
	attempt, bound := job.gangAttempt()
	mustEnd := bound && (job.startedAttempt == attempt || job.failedAttempt == attempt || job.stoppedAttempt == attempt)
	return !mustEnd && !job.isGangDone() // the next attempt begins once all tasks of this one have ended
}

// failIncompleteGang ends an attempt that is only partly bound and has not been completed within
// gang_wait_s. Without room for the rest, nothing of it would be started and no cell released.
func (c *partitionOwner) failIncompleteGang(j *job) {
	attempt, bound := j.gangAttempt()
	switch {
	case !bound || j.isGangBound():
		j.incompleteSince = time.Time{}
	case j.incompleteSince.IsZero():
		j.incompleteSince = c.now
	case c.now.Sub(j.incompleteSince) > config.Seconds(c.cfg.Settings.Workers.GangWaitTimeoutS):
		j.incompleteSince = time.Time{}
		j.failedAttempt = max(j.failedAttempt, attempt)
		c.log.Info("gang can't be completed; binding it again", "job", j.id, "attempt", attempt)
	}
}
