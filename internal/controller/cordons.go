package controller

import (
	"time"

	"eiderhitch/internal/wire"
)

const (
	// failedTaskBackoff is how long no task is placed on a machine after a task failed there,
	// until it is known whether the machine or the job is at fault. A faulty machine fails its
	// tasks at once, and would use up a whole job array.
	failedTaskBackoff = 5 * time.Second
	// refusedStartBackoff is the equivalent after the machine refused a start, until its
	// heartbeats show what it is running.
	refusedStartBackoff = time.Second

	// failedMachinesThreshold is the number of machines on which a job's tasks must have failed
	// before the job itself is suspected.
	failedMachinesThreshold = 3
	// When tasks of a job have failed on failedMachinesThreshold machines, none of its tasks is
	// placed for minFailedJobBackoff. Each further machine doubles the delay, at most
	// maxFailedJobDoublings times and up to maxFailedJobBackoff.
	minFailedJobBackoff   = time.Second
	maxFailedJobBackoff   = 30 * time.Second
	maxFailedJobDoublings = 5

	// cordonThreshold is the number of jobs whose tasks must have failed on a machine before it
	// is cordoned.
	cordonThreshold = 2
	// jobAvoidanceTime is how long a job's tasks are not placed on a machine that failed one of
	// them. The time is limited because the machine may be the only one that fits and may have
	// been faulty only temporarily: without a limit, a job waited forever while that machine
	// was empty.
	jobAvoidanceTime = time.Minute
)

// handleTaskEnd updates the state of the machine and the job according to the reason why a task
// exited.
func (c *partitionOwner) handleTaskEnd(m *machine, j *job, reason string) {
	switch reason {
	case wire.ReasonDone:
		clear(m.failedJobs)
	case wire.ReasonError:
		c.handleTaskFailure(m, j)
	case wire.ReasonNoCapacity, wire.ReasonOtherAttempt, wire.ReasonUnknownTask:
		m.placementBackoffUntil = c.now.Add(refusedStartBackoff)
		c.log.Info("start refused", "job", j.id, "machine", m.name, "why", reason)
	}
}

// handleTaskFailure handles a task that exited with an error. A machine that fails tasks of
// several jobs is faulty; a job that fails on several machines was submitted with a mistake.
// Until the cause is clear, both the machine and the job back off.
func (c *partitionOwner) handleTaskFailure(m *machine, j *job) {
	m.failedJobs[j.id] = c.now
	if j.failedMachines == nil {
		j.failedMachines = map[string]bool{}
	}
	j.failedMachines[m.name] = true
	if machines := len(j.failedMachines); machines >= failedMachinesThreshold {
		doublings := min(machines-failedMachinesThreshold, maxFailedJobDoublings)
		j.retryAt = c.now.Add(min(minFailedJobBackoff<<doublings, maxFailedJobBackoff))
	}
	m.placementBackoffUntil = c.now.Add(failedTaskBackoff)
	c.updateCordon(m)
	if j.failsEverywhere() {
		for name := range j.failedMachines {
			c.updateCordon(c.getOrAddMachine(name))
		}
	}
	c.log.Info("task failed", "job", j.id, "machine", m.name)
}

// failsEverywhere reports whether a job appears to fail on every machine because it was
// submitted with a mistake: its tasks have failed on several machines and none has completed.
func (j *job) failsEverywhere() bool {
	if len(j.failedMachines) < failedMachinesThreshold {
		return false
	}
	_, finished := j.countAssignedTasks()
	return finished == 0
}

// updateCordon cordons a machine on which tasks of several jobs failed recently, and uncordons
// it when that no longer holds. Jobs that fail everywhere don't count: otherwise two such jobs,
// failing on one machine after the other, would cause the whole fleet to be drained and
// terminated.
func (c *partitionOwner) updateCordon(m *machine) {
	jobCount := 0
	for id, at := range m.failedJobs {
		if job := c.jobs[id]; job == nil || c.now.Sub(at) > jobAvoidanceTime {
			delete(m.failedJobs, id)
		} else if !job.failsEverywhere() {
			jobCount++
		}
	}
	if cordoned := jobCount >= cordonThreshold; cordoned != m.cordoned {
		m.cordoned, m.cordonedAt = cordoned, c.now
		c.log.Info("machine cordon changed", "machine", m.name, "cordoned", cordoned)
	}
}

// avoidsJob reports whether no task of the job may currently be placed on the machine because
// one failed there recently.
func (c *clusterState) avoidsJob(m *machine, j *job) bool {
	at, failed := m.failedJobs[j.id]
	return failed && c.now.Sub(at) < jobAvoidanceTime
}
