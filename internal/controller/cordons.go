package controller

import (
	"time"

	"eiderhitch/internal/wire"
)

// noteTaskEnd learns from how a task ended.
func (c *clusterState) noteTaskEnd(m *machine, j *job, why string) {
	switch why {
	case wire.ReasonDone:
		clear(m.failedJobs)
	case wire.ReasonError:
		// A machine that fails tasks of several jobs is sick; a job that fails
		// on several machines is its user's mistake. Until it is clear which,
		// both rest a while: a sick machine fails what it gets at once and
		// would else eat a whole array.
		m.failedJobs[j.id] = c.now
		if j.failedOn == nil {
			j.failedOn = map[string]bool{}
		}
		j.failedOn[m.name] = true
		if n := len(j.failedOn); n >= failedMachinesLimit {
			j.retryAt = c.now.Add(min(time.Second<<min(n-failedMachinesLimit, 5), 30*time.Second))
		}
		m.avoidUntil = c.now.Add(5 * time.Second)
		c.updateCordon(m)
		if j.failsEverywhere() {
			for name := range j.failedOn {
				c.updateCordon(c.machineNamed(name))
			}
		}
		c.log.Info("task failed", "job", j.id, "machine", m.name)
	case wire.ReasonNoRoom, wire.ReasonInUse, wire.ReasonUnknownTask:
		m.avoidUntil = c.now.Add(time.Second)
		c.log.Info("start refused", "job", j.id, "machine", m.name, "why", why)
	}
}

// failedMachinesLimit is on how many machines a job's tasks have failed when that begins to
// speak against the job.
const failedMachinesLimit = 3

// jobAvoidance is how long a machine that failed a job's task gets none of it. It may be
// the only one that fits, and have been sick for a while only: barred for good, the
// job waited beside an empty machine for ever.
const jobAvoidance = time.Minute

// failsEverywhere tells whether a job fails wherever it is put, as one does that its user
// submitted with a mistake. Nothing of it has ever got done.
func (j *job) failsEverywhere() bool {
	if len(j.failedOn) < failedMachinesLimit {
		return false
	}
	_, finished := j.assignedTasks()
	return finished == 0
}

// updateCordon decides whether a machine is sick: it has failed tasks of several jobs
// of late. Mistaken jobs say nothing of it: two of them, failing on each machine in
// turn, would else have the whole fleet emptied and returned.
func (c *clusterState) updateCordon(m *machine) {
	n := 0
	for id, at := range m.failedJobs {
		if job := c.jobs[id]; job == nil || c.now.Sub(at) > jobAvoidance {
			delete(m.failedJobs, id)
		} else if !job.failsEverywhere() {
			n++
		}
	}
	if sick := n >= 2; sick != m.cordoned {
		m.cordoned, m.cordonedAt = sick, c.now
		c.log.Info("machine fails tasks of several jobs", "machine", m.name, "sick", sick)
	}
}

// avoidsJob tells whether a machine gets none of a job just now.
func (c *clusterState) avoidsJob(m *machine, j *job) bool {
	at, ok := m.failedJobs[j.id]
	return ok && c.now.Sub(at) < jobAvoidance
}
