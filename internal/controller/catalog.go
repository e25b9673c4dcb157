package controller

import (
	"slices"
	"time"

	"eiderhitch/internal/record"
	"eiderhitch/internal/replica"
	"eiderhitch/internal/scheduling"
)

// catalog is the index of jobs and task groups. A job stays in it until it is final and all
// of its task groups are deleted; then it is archived, and only its final state is kept.
type catalog struct {
	// jobs are those that are not archived; finished has the final states of the others.
	jobs        map[string]*job
	finalStates map[string]record.FinalState
	// unfinished are the jobs that are not final, and some that are and not archived yet.
	activeJobs  []*job
	groups      []*taskGroup // by dense index; nil where deleted
	groupByKey  map[string]*taskGroup
	teamIndexes map[string]scheduling.TeamIndex
}

func newCatalog() *catalog {
	return &catalog{
		jobs: map[string]*job{}, finalStates: map[string]record.FinalState{},
		groupByKey: map[string]*taskGroup{}, teamIndexes: map[string]scheduling.TeamIndex{},
	}
}

// lookupJob is the job of that id, if one was ever accepted.
func (c *catalog) lookupJob(id string) *job {
	if j := c.jobs[id]; j != nil && j.revision != 0 {
		return j
	}
	if final, ok := c.finalStates[id]; ok {
		return &job{id: id, revision: 1, finalState: final}
	}
	return nil
}

// job is the job of that id; one that was never seen is added.
func (c *catalog) getOrAddJob(id string) *job {
	j := c.jobs[id]
	if j == nil {
		if j = c.lookupJob(id); j == nil {
			j = &job{id: id}
		}
		c.jobs[id] = j
		c.addToActiveJobs(j)
	}
	return j
}

// addToActiveJobs puts a job among the unfinished ones, which the leader goes through. Jobs are
// remembered for ever: a pass must not cost more for each that has ever been.
func (c *catalog) addToActiveJobs(j *job) {
	if !j.inActiveJobs {
		j.inActiveJobs = true
		c.activeJobs = append(c.activeJobs, j)
	}
}

// archiveFinishedJobs archives the jobs that are final and have no task groups left. Of each no
// more is kept than its final state, for ever: some fifty bytes a job. That nothing of it is
// left is known only once all changes before its last one are: a task group that was stored
// before a cancellation by this controller may be read after it, and its tasks count for
// the team's quota.
func (c *catalog) archiveFinishedJobs(records *replica.Replica) {
	c.activeJobs = slices.DeleteFunc(c.activeJobs, func(j *job) bool {
		if !j.isArchivable(records.Cursor()) || j.hasUnreadableRecords() {
			return false
		}
		j.inActiveJobs = false
		c.finalStates[j.id] = j.finalState
		delete(c.jobs, j.id)
		records.Forget(jobKey(j.id)) // never written again
		return true
	})
}

// team is the index of a team; one that is not configured gets the next.
func (c *catalog) getOrAddTeam(name string) scheduling.TeamIndex {
	t, ok := c.teamIndexes[name]
	if !ok {
		t = scheduling.TeamIndex(len(c.teamIndexes))
		c.teamIndexes[name] = t
	}
	return t
}

// newGroup adds a task group that has not been seen before.
func (c *catalog) newGroup(key, id string, number int, now time.Time) *taskGroup {
	job := c.getOrAddJob(id)
	group := &taskGroup{
		key: key, index: scheduling.TaskGroupIndex(len(c.groups)), number: number, job: job,
		partitionAssignedAt: now, partition: noPartition,
	}
	c.groups = append(c.groups, group)
	c.groupByKey[key] = group
	c.addToActiveJobs(job)
	if job.groupOfTask == nil {
		job.groupOfTask = map[int32]*taskGroup{}
	}
	job.groups = append(job.groups, group)
	return group
}

// removeGroup removes a task group that is stored no more.
func (c *catalog) removeGroup(group *taskGroup) {
	group.job.groups = slices.DeleteFunc(group.job.groups, func(other *taskGroup) bool { return other == group })
	delete(c.groupByKey, group.key)
	c.groups[group.index] = nil
}
