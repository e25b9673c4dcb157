package controller

import (
	"time"

	"eiderhitch/internal/wire"
)

const (
	// failedTaskBackoff is how long nothing is placed on a machine after a task failed there:
	// until it is known whether machine or job is at fault. A faulty machine fails what it
	// gets at once, and would take in a whole job array.
	failedTaskBackoff = 5 * time.Second
	// refusedStartBackoff is the same after it refused a start: until its heartbeats show what
	// it has.
	refusedStartBackoff = time.Second

	// failedMachinesThreshold is on how many machines a job's tasks have failed when that begins
	// to speak against the job.
	failedMachinesThreshold = 3
	// A job that failed there rests for minFailedJobBackoff, and twice as long with each
	// further machine, up to maxFailedJobBackoff.
	minFailedJobBackoff   = time.Second
	maxFailedJobBackoff   = 30 * time.Second
	maxFailedJobDoublings = 5

	// cordonThreshold is how many jobs' tasks a machine has failed when it is cordoned.
	cordonThreshold = 2
	// jobAvoidanceTime is how long a machine that failed a job's task gets none of it. It may be
	// the only one that fits, and have been faulty for a while only: with no limit the job
	// waited for ever beside an empty machine.
	jobAvoidanceTime = time.Minute
)

// handleTaskEnd learns from why a task exited.
func (c *partitionOwner) handleTaskEnd(m *machine, j *job, reason string) {
	switch reason {
	case wire.ReasonDone:
		clear(m.failedJobs)
	case wire.ReasonError:
		c.handleTaskFailure(m, j)
	case wire.ReasonNoRoom, wire.ReasonInUse, wire.ReasonUnknownTask:
		m.placementBackoffUntil = c.now.Add(refusedStartBackoff)
		c.log.Info("start refused", "job", j.id, "machine", m.name, "why", reason)
	}
}

// handleTaskFailure notes that a task exited with an error. A machine that fails tasks of
// several jobs is faulty; a job that fails on several machines was submitted with a mistake.
// Until it is clear which of them it is, both rest.
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

// failsEverywhere tells whether a job fails on every machine, as one does that was submitted
// with a mistake: it has failed on several, and no task of it has completed.
func (j *job) failsEverywhere() bool {
	if len(j.failedMachines) < failedMachinesThreshold {
		return false
	}
	_, finished := j.countAssignedTasks()
	return finished == 0
}

// updateCordon cordons a machine that has lately failed tasks of several jobs, or ends that.
// Jobs that fail everywhere don't count: two of them, failing on each machine in turn, would
// have the whole fleet drained and terminated.
func (c *partitionOwner) updateCordon(m *machine) {
	failed := 0
	for id, at := range m.failedJobs {
		if job := c.jobs[id]; job == nil || c.now.Sub(at) > jobAvoidanceTime {
			delete(m.failedJobs, id)
		} else if !job.failsEverywhere() {
			failed++
		}
	}
	if cordoned := failed >= cordonThreshold; cordoned != m.cordoned {
		m.cordoned, m.cordonedAt = cordoned, c.now
		c.log.Info("machine cordon changed", "machine", m.name, "cordoned", cordoned)
	}
}

// avoidsJob tells whether a machine gets no task of a job at present.
func (c *clusterState) avoidsJob(m *machine, j *job) bool {
	at, failed := m.failedJobs[j.id]
	return failed && c.now.Sub(at) < jobAvoidanceTime
}
