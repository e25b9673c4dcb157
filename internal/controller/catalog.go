package controller

import (
	"slices"
	"time"

	"eiderhitch/internal/record"
	"eiderhitch/internal/replica"
	"eiderhitch/internal/scheduling"
	"eiderhitch/internal/wire"
)

// catalog indexes jobs and task groups. A job stays in it until it is final and all of its task
// groups are deleted. It is then archived: only its final state is kept.
type catalog struct {
	// jobs holds the jobs that are not archived, finalStates the final states of archived jobs.
	jobs        map[string]*job
	finalStates map[string]record.FinalState
	// jobsWithListedGroups holds the jobs of which the current full read has listed a task group.
	jobsWithListedGroups map[string]bool
	// activeJobs holds the jobs that have no final state yet, and final ones that are not
	// archived yet.
	activeJobs  []*job
	groups      []*taskGroup // by scheduling.TaskGroupIndex; nil if deleted
	groupByKey  map[string]*taskGroup
	teamIndexes map[string]scheduling.TeamIndex
}

func newCatalog() *catalog {
	return &catalog{
		jobs: map[string]*job{}, finalStates: map[string]record.FinalState{}, jobsWithListedGroups: map[string]bool{},
		groupByKey: map[string]*taskGroup{}, teamIndexes: map[string]scheduling.TeamIndex{},
	}
}

// lookupJob returns the job with the given ID, or nil if no such job was ever accepted.
func (c *catalog) lookupJob(id string) *job {
	if j := c.jobs[id]; j != nil && j.revision != 0 {
		return j
	}
	if final, ok := c.finalStates[id]; ok {
		return &job{id: id, revision: 1, finalState: final}
	}
	return nil
}

// getOrAddJob returns the job with the given ID and adds it if it is unknown.
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

// addToActiveJobs adds a job to the active jobs, over which the leader iterates. Final states
// are kept forever, so the cost of a pass must not grow with the number of past jobs.
func (c *catalog) addToActiveJobs(j *job) {
	if !j.inActiveJobs {
		j.inActiveJobs = true
		c.activeJobs = append(c.activeJobs, j)
	}
}

// archiveFinishedJobs archives the jobs that are final and have no task groups left. Only the
// final state of an archived job is kept, forever, at about fifty bytes per job. A job is known
// to have no task groups left only once the replica has all changes before the job's last one:
// a task group that was stored before a cancellation by this controller may be read after it,
// and its tasks count toward the team's quota.
func (c *catalog) archiveFinishedJobs(records *replica.Replica) {
	c.activeJobs = slices.DeleteFunc(c.activeJobs, func(j *job) bool {
		if !j.isArchivable(records.Cursor()) || j.hasUnreadableRecords() {
			return false
		}
		j.inActiveJobs = false
		c.finalStates[j.id] = j.finalState
		delete(c.jobs, j.id)
		records.Forget(jobKey(j.id)) // the record is never written again
		return true
	})
}

// archiveListedJobs archives the finished jobs of a page of a full read and returns the other items.
// The pages are passed in the order of their keys, so that the task groups come before the jobs.
// revision is that of the first page: a job that was final then has no task groups that were not on a
// page, and neither gets any nor changes. Of a history of many jobs only the final states are held,
// already while it is read.
func (c *catalog) archiveListedJobs(items []wire.Item, revision uint64) []wire.Item {
	return slices.DeleteFunc(items, func(item wire.Item) bool {
		kind, id := parseKey(item.Key)
		if kind == groupKind {
			id, _, _ := parseGroupKey(item.Key)
			c.jobsWithListedGroups[id] = true
			return false
		}
		if kind != jobKind || item.Revision > revision || c.jobs[id] != nil || c.jobsWithListedGroups[id] {
			return false
		}
		var v record.Job
		if wire.Decode(item.Value, &v) != nil || v.FinalState == record.StateUnfinished || v.Spec != nil {
			return false
		}
		c.finalStates[id] = v.FinalState
		return true
	})
}

// getOrAddTeam returns the index of a team. A team that is not configured gets the next free
// index.
func (c *catalog) getOrAddTeam(name string) scheduling.TeamIndex {
	t, ok := c.teamIndexes[name]
	if !ok {
		t = scheduling.TeamIndex(len(c.teamIndexes))
		c.teamIndexes[name] = t
	}
	return t
}

// newGroup adds a task group that was unknown so far.
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

// removeGroup removes a task group whose record was deleted.
func (c *catalog) removeGroup(group *taskGroup) {
	group.job.groups = slices.DeleteFunc(group.job.groups, func(other *taskGroup) bool { return other == group })
	delete(c.groupByKey, group.key)
	c.groups[group.index] = nil
}
