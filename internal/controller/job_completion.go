package controller

import (
	"time"

	"eiderhitch/internal/record"
	"eiderhitch/internal/store"
	"eiderhitch/internal/wire"
)

const (
	// maxFinishWrites is the maximum number of writes per pass that store final states of
	// jobs or delete their groups.
	maxFinishWrites = 8
	// maxCleanupBacklog is the backlog of the write queue below which the groups of final jobs
	// are deleted. Deleting them can wait while the key-value store is busy.
	maxCleanupBacklog = time.Second
)

// finishJobs archives finished jobs, stores the final state of jobs whose tasks are all done,
// and deletes the groups of jobs that are final.
func (c *leader) finishJobs() {
	c.archiveFinishedJobs(c.replica)
	budget := maxFinishWrites
	canDelete := c.storeWriter.BacklogDuration() < maxCleanupBacklog
	for _, job := range c.activeJobs {
		if budget == 0 {
			return
		}
		if job.revision == 0 || len(job.groups) == 0 {
			continue
		}
		switch {
		case job.finalState != record.StateUnfinished:
			if canDelete {
				budget -= c.deleteGroups(job, budget)
			}
		case job.isReadyToFinish():
			budget--
			c.storeJobDone(job)
		}
	}
}

// isReadyToFinish reports whether all tasks of a job are done and its final state is not
// being stored yet. It is false for services, and for jobs with records that can't be
// decoded.
func (j *job) isReadyToFinish() bool {
	if j.hasUnreadableRecords() || j.spec == nil || j.spec.Service || j.finalWriteInFlight {
		return false
	}
	assigned, finished := j.countAssignedTasks()
	return assigned == finished && finished == j.spec.TaskCount
}

// storeJobDone stores that a job is done.
func (c *leader) storeJobDone(j *job) {
	j.finalWriteInFlight = true
	c.SubmitWrite(&store.Write{
		Conditions: []wire.Condition{c.leaderCondition(), {Key: jobKey(j.id), Revision: j.revision}},
		Changes:    []wire.Change{{Put: jobKey(j.id), Value: record.JSON(record.Job{FinalState: record.StateDone})}},
	}, func(error) { j.finalWriteInFlight = false })
}

// deleteGroups deletes groups of a final job that have no bound tasks, at most limit of them,
// and returns how many it deleted.
func (c *leader) deleteGroups(j *job, limit int) int {
	deleted := 0
	for _, group := range j.groups {
		if deleted == limit {
			break
		}
		if !group.writeInFlight && group.boundTaskCount() == 0 {
			deleted++
			c.deleteGroupRecord(group)
		}
	}
	return deleted
}

// deleteGroupRecord deletes a group's record.
func (c *leader) deleteGroupRecord(group *taskGroup) {
	group.writeInFlight = true
	c.SubmitWrite(&store.Write{
		Conditions: []wire.Condition{c.leaderCondition(), {Key: group.key, Revision: group.revision}},
		Changes:    []wire.Change{{Delete: group.key}},
	}, func(err error) {
		if err != nil { // the owner may have written the group meanwhile; don't retry before that write has been read
			c.reader.AfterSuccessfulRead(func() { group.writeInFlight = false })
			return
		}
		group.writeInFlight = false
		group.job.releaseDetails(c.replica.Cursor())
	})
}
