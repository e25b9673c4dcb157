package controller

import (
	"time"

	"eiderhitch/internal/record"
	"eiderhitch/internal/store"
	"eiderhitch/internal/wire"
)

const (
	// maxFinishWrites is how many writes of one step end jobs and delete their groups.
	maxFinishWrites = 8
	// maxCleanupBacklog is the delay of stored writes from which on groups of final jobs
	// are not deleted: they can wait while the key-value store has more to do.
	maxCleanupBacklog = time.Second
)

// finishJobs ends jobs whose tasks are all done and deletes the groups of final ones.
func (c *leader) finishJobs() {
	c.archiveFinishedJobs(c.replica)
	budget := maxFinishWrites
	canDelete := c.stateWriter.Backlog() < maxCleanupBacklog
	for _, job := range c.activeJobs {
		if budget == 0 {
			return
		}
		if job.revision == 0 || len(job.groups) == 0 {
			continue
		}
		switch {
		case job.finalState != record.Unfinished:
			if canDelete {
				budget -= c.deleteGroups(job, budget)
			}
		case job.isReadyToFinish():
			budget--
			c.storeJobDone(job)
		}
	}
}

// isReadyToFinish tells whether a job is to be ended: all of its tasks are done, and that is
// not being stored yet.
func (j *job) isReadyToFinish() bool {
	if j.hasUnreadableRecords() || j.spec == nil || j.spec.Service || j.finalWriteInFlight {
		return false
	}
	assigned, finished := j.countAssignedTasks()
	return assigned == finished && finished == j.spec.Tasks
}

// storeJobDone stores that a job is done.
func (c *leader) storeJobDone(j *job) {
	j.finalWriteInFlight = true
	c.SubmitWrite(&store.Write{
		Conditions: []wire.Condition{c.leaderCondition(), {Key: jobKey(j.id), Revision: j.revision}},
		Changes:    []wire.Change{{Put: jobKey(j.id), Value: record.JSON(record.Job{FinalState: record.Done})}},
	}, func(error) { j.finalWriteInFlight = false })
}

// deleteGroups deletes groups of a final job that bind nothing any more, at most limit of
// them, and returns how many.
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

func (c *leader) deleteGroupRecord(group *taskGroup) {
	group.writeInFlight = true
	c.SubmitWrite(&store.Write{
		Conditions: []wire.Condition{c.leaderCondition(), {Key: group.key, Revision: group.revision}},
		Changes:    []wire.Change{{Delete: group.key}},
	}, func(err error) {
		if err != nil { // its owner wrote it meanwhile: not before that is known
			c.reader.AfterSuccessfulRead(func() { group.writeInFlight = false })
			return
		}
		group.writeInFlight = false
		group.job.releaseDetails(c.replica.Cursor())
	})
}
